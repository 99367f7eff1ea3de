#pragma once

/// @file
/// Admission control: rejects jobs that would end too late to be useful.

#include "peridotrudder/jobs/job_spec.hpp"
#include "peridotrudder/jobs/queue_config.hpp"
#include "peridotrudder/scheduling/tenant_outlook.hpp"

#include <cstdint>

namespace peridotrudder {

/// Backlog and capacity of a pool, measured at short intervals.
struct pool_outlook {
    /// Estimated work of tasks that have no run, in thousandths of a core times milliseconds. Jobs
    /// that are too late to be useful are not counted, since they are placed last.
    double m_backlog{0.0};
    /// CPU, in thousandths of a core, that tasks ready to start are waiting for; zero while all
    /// fit.
    std::int64_t m_waiting_cpu{0};
    /// CPU available to short tasks, in thousandths of a core, on the pool's VMs and on VMs that
    /// can still be moved to it.
    std::int64_t m_cpu{0};
    /// Total work of short jobs accepted before the measurement, in the unit of `m_backlog`.
    double m_accepted_work{0.0};
    /// The backlog by priority and tenant; empty without tenants in the configuration.
    priority_backlogs m_backlog_by_tenant{};
    /// Contracted work that is accepted, a moving average over `contracted_averaging`, in
    /// thousandths of a core. It is served before excess work that waits already.
    double m_contracted_rate{0.0};
    /// CPU, in thousandths of a core, that is neither used nor waited for; decreases with each job
    /// that is accepted before the next measurement. Below zero, ready tasks wait.
    double m_free_cpu{0.0};
    /// Estimated work of the jobs that complete, in thousandths of a core, averaged over
    /// `overload_window`; known if tasks have waited in nearly all of that time, else zero. Unlike
    /// `m_cpu` it shows what the pool achieves, in the unit of the estimates of its jobs.
    double m_served_rate{0.0};
};

struct admission_decision {
    bool m_admitted{true};
    /// Estimated time until the job would be admitted; zero for an admitted job.
    milliseconds m_retry_after{0};
};

/// Decides whether to admit a job that has just arrived.
///
/// Handles overload that lasts seconds, such as after an outage or when a rack fails at the peak of
/// a queue's turn. A job that would wait until it is no longer useful is rejected at once with the
/// time after which to retry. Recurring and long-running jobs are always admitted, and so is every
/// job while no ready task waits for CPU. `accepted_work` is the total work of short jobs accepted
/// in the pool so far.
admission_decision decide_admission(const job_spec& spec, const queue_config& queue,
                                    const pool_outlook& outlook, double accepted_work);

} // namespace peridotrudder
