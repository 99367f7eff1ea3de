#pragma once

/// @file
/// What the tenants' quotas leave of their demand for VMs.

#include "peridotrudder/jobs/job.hpp"
#include "peridotrudder/planning/pool_load.hpp"
#include "peridotrudder/scheduling/tenant_outlook.hpp"
#include "peridotrudder/tenants/tenant_directory.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace peridotrudder {

/// Collects the demand of the tenants that have a quota in one measurement of all pools, and adds
/// to the pools' loads what these tenants may run. Not thread-safe.
///
///     auto quotas = quota_demand::create(directory);
///     ... quotas.add_usage(job) for each active job ...
///     ... quotas.add_long_running(job, pool) for each active long-running job ...
///     ... quotas.add_short(job, pool) for each other one, and its load to quotas.load_of ...
///     auto outlooks = quotas.apply(loads);
class quota_demand {
public:
    static quota_demand create(const tenant_directory& directory);

    /// Returns whether the job's tenant has a quota.
    bool limits(const job& active) const;
    /// Counts the placed tasks of a job of a limited tenant.
    void add_usage(const job& active);
    /// Adds the demand of a long-running job. Tasks that have no run count if the quota has room
    /// for them.
    void add_long_running(const job& active, const std::string& pool);
    /// Adds the tasks of an occurrence that is due.
    void add_short(const job& active, std::uint32_t occurrence, const std::string& pool);
    /// Returns the load of the job's tenant in the pool, as if there were no quota.
    pool_load& load_of(const job& active, const std::string& pool);

    /// Adds what the tenants may run to the loads. Returns their outlooks.
    tenant_outlooks apply(std::map<std::string, pool_load>& loads) const;
    /// Returns the part of the arriving work that the tenant's quota leaves; 1 without a quota.
    /// `rate` is the tenant's arriving work in all pools, in thousandths of a core.
    double usable_share(std::string_view tenant, double rate) const;

private:
    struct limited_tenant {
        resources m_quota;
        /// Declared resources of placed tasks.
        resources m_used;
        /// Of these, long-running ones.
        resources m_used_long_running;
        /// What the quota leaves to tasks that have no run.
        resources m_room;
        bool m_room_known{false};
        /// Resources of long-running tasks, placed or with room in the quota.
        resources m_long_running;
        /// Resources of short tasks that are ready and have no run.
        work_amount m_ready;
        /// Work of short tasks without a run.
        work_amount m_waiting_work;
        /// Work of short tasks with a run, as if they had just started, and their CPU.
        double m_placed_work{0.0};
        double m_placed_cpu{0.0};
        std::map<std::string, pool_load> m_loads;

        const resources& room();
        resources room_now() const { return m_room_known ? m_room : left_of_quota(); }
        resources left_of_quota() const;
        /// Returns what the quota leaves to short tasks.
        resources short_quota() const;
        /// Returns the CPU that short tasks can use within the quota of every resource.
        double usable_cpu() const;
        /// Returns the part of the ready short tasks that the quota has room for.
        double startable_share() const;
        milliseconds until_within_quota() const;
        tenant_outlook outlook() const;
    };

    limited_tenant& tenant_of(const job& active);

    std::map<std::string, limited_tenant, std::less<>> m_tenants;
};

} // namespace peridotrudder
