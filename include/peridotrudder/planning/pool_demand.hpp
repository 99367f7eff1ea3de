#pragma once

/// @file
/// How many VMs each pool needs now.

#include "peridotrudder/scheduling/scheduler_state.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace peridotrudder {

/// What one pool has to do, in thousandths of a core.
struct pool_load {
    /// Reserved by long-running tasks, placed or not.
    std::int64_t m_long_running{0};
    /// VMs that the long-running tasks need, since only so many of a step may share a worker.
    std::uint32_t m_spread_vms{0};
    /// Needed so that what is accepted ends within its objectives.
    std::int64_t m_accepted{0};
    /// Arriving, averaged over about half the time that a job takes.
    std::int64_t m_arriving{0};
    /// Expected to be needed when a VM that is ordered now has arrived.
    std::int64_t m_forecast{0};
    /// Waits for room now.
    std::int64_t m_waiting{0};
    /// Taken by short tasks that are placed.
    std::int64_t m_placed{0};
    /// Estimated work of tasks without a run, of jobs that can still end in time to be of use, in
    /// thousandths of a core times milliseconds.
    std::int64_t m_backlog{0};
};

/// Follows the demand of each pool.
///
/// Answers queues that take turns: each asks for several times its mean for some seconds and for
/// almost nothing in between. Arrivals tell a turn's beginning first, accepted work its end. What
/// is under way fades with the time that jobs take, and arrivals take its place. Pure; not
/// thread-safe.
class pool_demand {
public:
    /// `lead` is the time from an order until a VM serves.
    static pool_demand create(milliseconds lead);

    /// Returns the load of each pool. To be called at short intervals.
    std::map<std::string, pool_load> measure(const scheduler_state& state, moment now);

private:
    struct arrivals {
        accepted_total m_seen;
        double m_rate{0.0};
        /// Jobs a millisecond, averaged alike.
        double m_job_rate{0.0};
        /// How long a job takes, averaged by its work.
        double m_duration_ms{800.0};
    };

    void update_arrivals(const accepted_total& total, double passed_ms, arrivals& seen) const;

    milliseconds m_lead{0};

    std::map<std::string, arrivals> m_arrivals;
    time_point m_measured_at;
};

/// Returns how many VMs of `vm_cpu` thousandths of a core serve the load.
std::uint32_t required_vms(const pool_load& load, std::int64_t vm_cpu);

} // namespace peridotrudder
