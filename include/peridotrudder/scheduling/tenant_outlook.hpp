#pragma once

/// @file
/// Waiting work and quota of each tenant, as admission control judges by them.

#include "peridotrudder/jobs/job_spec.hpp"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace peridotrudder {

/// Amount of each resource, or such an amount times milliseconds. Real numbers, since sums over
/// jobs may exceed any integer.
struct work_amount {
    double m_cpu{0.0};
    double m_memory{0.0};
    double m_accelerators{0.0};

    work_amount& operator+=(const work_amount& other);
    work_amount& operator-=(const work_amount& other);
};

work_amount operator+(work_amount left, const work_amount& right);

/// Returns the estimated work of `tasks` tasks of a step. Best-effort tasks count with the CPU that
/// they declare.
work_amount work_of(const step_spec& step, double tasks);

/// Returns what `tasks` tasks of a step take at the same time.
work_amount resources_of(const step_spec& step, double tasks);

/// Returns the estimated work of one occurrence of a job.
work_amount work_of(const job_spec& spec);

/// CPU work of jobs by the length of their chains, in classes a fifth wide: within a tenant,
/// shorter jobs come first.
class work_by_chain {
public:
    void add(milliseconds chain, double work);
    double total() const;
    /// Returns the work of jobs with shorter chains, and half that of jobs of the same class.
    double before(milliseconds chain) const;

private:
    /// Shortest first; empty without work.
    std::vector<double> m_work;
};

/// The order within one tenant and kind: what waits, in thousandths of a core times milliseconds,
/// and what is accepted, in thousandths of a core.
struct ranked_work {
    work_by_chain m_in_time;
    /// Served after all work of jobs that can be in time.
    work_by_chain m_late;
    /// Averaged over `overload_window`.
    work_by_chain m_accepted_rate;
};

/// Work of a tenant's tasks that have no run. Jobs that are too late to be useful are not counted,
/// since they are placed last.
struct tenant_backlog {
    work_amount m_contracted;
    work_amount m_excess;
    /// The same by rank, and what arrives; only while the pool's `m_served_rate` is known.
    ranked_work m_contracted_ranked;
    ranked_work m_excess_ranked;

    work_amount& of(bool excess) { return excess ? m_excess : m_contracted; }
    ranked_work& ranked(bool excess) { return excess ? m_excess_ranked : m_contracted_ranked; }
    const ranked_work& ranked(bool excess) const
    {
        return excess ? m_excess_ranked : m_contracted_ranked;
    }
};

/// By tenant. Jobs without a tenant are under the empty name.
using tenant_backlogs = std::map<std::string, tenant_backlog, std::less<>>;

/// Backlog of a pool by the priority of the jobs' queues.
using priority_backlogs = std::map<std::uint32_t, tenant_backlogs>;

/// Time over which accepted contracted work is averaged: as long as the burst that a tenant may
/// send at once, so that bursts of all tenants count as no more than their rates.
inline constexpr milliseconds contracted_averaging{2'000};

/// Time over which arriving and completed work are averaged in an overload that lasts. Longer than
/// a queue's peak, which the backlog shows well enough; a few hundred jobs, so that their sizes
/// average out.
inline constexpr milliseconds overload_window{15'000};

/// Amount of a resource that stands for no limit.
inline constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max();

inline constexpr double unlimited_amount = std::numeric_limits<double>::infinity();

/// What a tenant's quota means for its short tasks, in all pools together.
struct tenant_outlook {
    /// The quota keeps tasks from starting that are ready.
    bool m_at_quota{false};
    /// What the quota leaves beside the tasks that run or are ready. Decreases with each job that
    /// is accepted before the next measurement; below zero, ready tasks wait.
    work_amount m_room{unlimited_amount, unlimited_amount, unlimited_amount};
    /// What the quota leaves to short tasks once long-running ones have theirs; `unlimited` without
    /// a limit.
    resources m_quota{unlimited, unlimited, unlimited};
    /// Estimated time until enough runs have ended that the tenant is within its quota; zero if it
    /// is. Longer only after the quota was lowered.
    milliseconds m_until_within_quota{0};
    /// CPU that the tenant's short tasks use, by pool, in thousandths of a core.
    std::map<std::string, std::int64_t, std::less<>> m_used_cpu;
};

using tenant_outlooks = std::map<std::string, tenant_outlook, std::less<>>;

} // namespace peridotrudder
