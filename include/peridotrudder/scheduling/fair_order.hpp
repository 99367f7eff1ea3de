#pragma once

/// @file
/// The order in which the waiting jobs of several tenants are offered the capacity of a pool.

#include "peridotrudder/scheduling/job_rank.hpp"
#include "peridotrudder/tenants/quota_ledger.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace peridotrudder {

/// A waiting job, its tenant's account and whether it is beyond the tenant's contracted rate.
struct fair_job {
    const job_rank* m_rank{nullptr};
    tenant_account* m_account{nullptr};
    bool m_excess{false};
};

/// Returns the largest fraction of a resource of the pool that is in use, divided by the weight.
double weighted_share(const resources& used, const resources& capacity, double weight);

/// Orders the waiting jobs of a pool by weighted max-min fairness between tenants.
///
/// Long-running jobs come first, then jobs by the priority of their queues, then jobs that can
/// still be useful, then contracted ones. Among equals in all of these, the tenant with the lowest
/// weighted share of the pool goes first, and its jobs by their ranks. Shares follow the accounts'
/// usage, which grows with each placement: a job keeps its turn only while its tenant's share is
/// the lowest. Costs a heap operation per change of the turn. Not thread-safe.
///
///     while (const auto index = order.next()) {
///         ... place tasks of the job while order.keeps_turn() ...
///         if (nothing more of it can be placed) { order.remove_current(); }
///     }
class fair_order {
public:
    /// The ranks and accounts must outlive the order.
    fair_order(const std::vector<fair_job>& jobs, const std::string& pool,
               const resources& capacity);

    /// Returns the index of the job to offer capacity now; nothing once all were removed.
    std::optional<std::size_t> next();
    /// Returns whether the job that `next` returned may place another task.
    bool keeps_turn() const;
    /// Removes the job that `next` returned.
    void remove_current();

private:
    struct entry {
        fair_job m_job;
        std::size_t m_index{0};
        /// Sorts before the tenant's share.
        std::uint64_t m_class{0};
        /// Copies from the rank, which sorting would otherwise have to fetch again and again.
        punctuality m_punctuality{punctuality::in_time};
        std::int64_t m_remaining_chain_ms{0};
        std::int64_t m_objective_ms{0};
    };

    /// The jobs of one tenant in one class that were not removed.
    struct tenant_queue {
        std::size_t m_next{0};
        std::size_t m_end{0};
        const resources* m_used{nullptr};
        double m_weight{1.0};
        /// As of its last turn.
        double m_share{0.0};
    };

    double share_of(const tenant_queue& queue) const;
    bool is_later(const tenant_queue& left, const tenant_queue& right) const;
    /// Fills the heap with the tenants of the next class. Returns whether there is one.
    bool begin_class();
    void push(const tenant_queue& queue);

    std::string m_pool;
    resources m_capacity;
    /// By class, then tenant, then rank.
    std::vector<entry> m_entries;
    std::size_t m_class_end{0};
    /// Heap with the lowest share on top.
    std::vector<tenant_queue> m_waiting;
    std::optional<tenant_queue> m_current;
};

} // namespace peridotrudder
