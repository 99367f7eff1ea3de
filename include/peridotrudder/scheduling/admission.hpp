#pragma once

/// @file
/// Whether a job is taken, or turned away since it could only end too late.

#include "peridotrudder/jobs/job_spec.hpp"
#include "peridotrudder/jobs/queue_config.hpp"

#include <cstdint>

namespace peridotrudder {

/// What waits in a pool, and what there is to do it; measured at short intervals.
struct pool_outlook {
    /// Estimated work of tasks that have no run, in thousandths of a core times milliseconds. Jobs
    /// that are too late to be of use are not among it: they come last.
    std::int64_t m_backlog{0};
    /// Processor that tasks which could start now wait for; zero while there is room for all.
    std::int64_t m_waiting_cpu{0};
    /// Processor for short tasks on the pool's VMs and on those that can follow, in thousandths of
    /// a core.
    std::int64_t m_cpu{0};
    /// All short work accepted until the measurement.
    std::int64_t m_accepted_work{0};
};

struct admission_decision {
    bool m_admitted{true};
    /// When the job would be admitted, by what is known now.
    milliseconds m_retry_after{0};
};

/// Judges a job that has come now.
///
/// Answers load that exceeds for seconds what all VMs can do, as after an outage or when a rack is
/// lost at a turn's peak: a job that would wait until it is of no use is turned away at once, and
/// its caller told when to come back. While anything is free, and for work at set times or without
/// end, the answer is yes. `accepted_work` is all short work accepted in the pool so far.
admission_decision decide_admission(const job_spec& spec, const queue_config& queue,
                                    const pool_outlook& outlook, std::int64_t accepted_work);

} // namespace peridotrudder
