#pragma once

/// @file
/// How many VMs each pool needs now.

#include "peridotrudder/scheduling/scheduler_state.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace peridotrudder {

/// Processor demand of one pool, in thousandths of a core unless stated otherwise.
struct pool_load {
    /// Reserved by long-running tasks, whether placed or not.
    std::int64_t m_long_running{0};
    /// Number of VMs that the long-running tasks need because of the limit on tasks of a step per
    /// worker.
    std::uint32_t m_spread_vms{0};
    /// Needed to finish the accepted jobs within their objectives.
    std::int64_t m_accepted{0};
    /// Rate of arriving work, a moving average over about a dozen jobs.
    std::int64_t m_arriving{0};
    /// Demand expected at the time when a VM that is ordered now serves.
    std::int64_t m_forecast{0};
    /// Needed by the short tasks that are ready to run and not placed.
    std::int64_t m_waiting{0};
    /// Reserved by the short tasks that are placed.
    std::int64_t m_placed{0};
    /// Estimated work of the tasks without a run, in thousandths of a core times milliseconds.
    /// Jobs that can no longer end in time to be useful don't count.
    double m_backlog{0.0};
};

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
    /// between calls.
    std::map<std::string, pool_load> measure(const scheduler_state& state, moment now);

private:
    struct arrival_average {
        accepted_total m_last_total;
        double m_work_rate{0.0};
        /// Jobs per millisecond, averaged like the work rate.
        double m_job_rate{0.0};
        /// Average duration of a job, weighted by its work.
        double m_duration_ms{800.0};
    };

    void update_arrivals(const accepted_total& total, double passed_ms,
                         arrival_average& average) const;

    milliseconds m_lead{0};

    std::map<std::string, arrival_average> m_arrivals;
    time_point m_measured_at;
};

/// Returns how many VMs with `vm_cpu` thousandths of a core each the load requires.
std::uint32_t required_vms(const pool_load& load, std::int64_t vm_cpu);

} // namespace peridotrudder
