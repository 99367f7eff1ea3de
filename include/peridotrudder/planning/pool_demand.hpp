#pragma once

/// @file
/// How many VMs each pool needs now.

#include "peridotrudder/planning/pool_load.hpp"
#include "peridotrudder/planning/quota_demand.hpp"
#include "peridotrudder/scheduling/scheduler_state.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace peridotrudder {

/// Measures and forecasts the demand of each pool.
///
/// Made for bursty queues that take turns: each demands several times its mean for some seconds
/// and almost nothing in between. The arrival rate shows the beginning of such a burst first, the
/// accepted work shows its end. In the forecast, the accepted work decays exponentially with the
/// time that jobs take, and newly arriving work replaces it. Has no side effects; not thread-safe.
class pool_demand {
public:
    /// `lead` is the time from an order until a VM serves.
    static pool_demand create(milliseconds lead);

    /// Returns the load of each pool. Call it at short intervals, since it averages the arrivals
    /// between calls. Work that its tenant's quota keeps from running now is not part of the load;
    /// it is part of the backlog.
    std::map<std::string, pool_load> measure(const scheduler_state& state, moment now);
    /// Returns the tenants that have a quota, as of the newest measurement.
    const tenant_outlooks& tenants() const { return m_tenants; }

private:
    struct tenant_average {
        double m_last_work{0.0};
        double m_work_rate{0.0};
    };
    struct arrival_average {
        accepted_total m_last_total;
        double m_work_rate{0.0};
        /// Jobs per millisecond, averaged like the work rate.
        double m_job_rate{0.0};
        /// Average duration of a job, weighted by its work.
        double m_duration_ms{800.0};
        double m_contracted_rate{0.0};
        /// Share of the time in which ready tasks have waited.
        double m_waited_share{0.0};
        /// Of the work rate, each tenant's part.
        std::map<std::string, tenant_average, std::less<>> m_tenants;
    };

    void update_arrivals(const accepted_total& total, double passed_ms,
                         arrival_average& average) const;
    static void update_tenants(const accepted_total& total, double passed_ms, double old_weight,
                               arrival_average& average);
    /// Returns the pools in which tasks have waited for so long that what they complete shows their
    /// capacity. None without tenants in the configuration.
    std::set<std::string, std::less<>> overloaded_pools(const scheduler_state& state) const;
    static void update_waited_share(const pool_load& load, double passed_ms,
                                    arrival_average& average);
    /// Returns the arriving work of a pool that its tenants may run.
    double usable_work_rate(const arrival_average& average, const quota_demand& quotas) const;
    /// Returns the tenant's arriving work in all pools.
    double work_rate_of(std::string_view tenant) const;

    milliseconds m_lead{0};

    std::map<std::string, arrival_average> m_arrivals;
    tenant_outlooks m_tenants;
    time_point m_measured_at;
};

/// Returns a pool's `m_served_rate`, or zero if it is too low for the CPU of its VMs, in
/// thousandths of a core, to show its capacity: after a stall, or while the pool grows.
double usable_served_rate(double served_rate, std::int64_t pool_cpu);

/// Returns how many VMs with `vm_cpu` thousandths of a core each the load requires.
std::uint32_t required_vms(const pool_load& load, std::int64_t vm_cpu);

} // namespace peridotrudder
