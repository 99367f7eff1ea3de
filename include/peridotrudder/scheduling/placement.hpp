#pragma once

/// @file
/// Chooses the worker for a task.

#include "peridotrudder/jobs/job_spec.hpp"
#include "peridotrudder/machines/worker_session.hpp"
#include "peridotrudder/scheduling/ticket_cache.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotrudder {

/// A worker that the scheduler may use, and what it thinks of it.
struct candidate {
    worker_session* m_session{nullptr};
    /// Recently failed or stalled: used last.
    bool m_unhealthy{false};
};

/// What a task needs beside its step's specification.
struct placement_request {
    const step_spec* m_step{nullptr};
    std::string m_job;
    std::uint32_t m_occurrence{0};
    std::uint32_t m_step_index{0};
    /// Worker where the task failed last; avoided. Empty for none.
    std::string m_avoid;
    /// A further failure fails the job: no doubted worker is used.
    bool m_last_attempt{false};
    /// Only workers with a ticket may be used; null where no policy restricts the step.
    const ticket_cache* m_tickets{nullptr};

    step_key step() const { return {m_job, m_occurrence, m_step_index}; }
};

/// Returns the room that the task takes on a worker. Filling tasks reserve no processor.
resources reserved_for(const step_spec& step);

/// Returns the best candidate, or null if none fits.
///
/// Answers a load whose queues take turns: tasks are packed on the fullest worker that has room, so
/// that other VMs fall idle whole and can follow the demand. Long-running tasks gather on few VMs
/// for the same reason; filling tasks go where the most processor time is left over.
candidate* choose_worker(const placement_request& need, std::vector<candidate>& candidates,
                         time_point now);

/// Returns the workers that have room for the task, whether or not there is a ticket for them.
std::vector<worker_instance> workers_with_room(const placement_request& need,
                                               const std::vector<candidate>& candidates,
                                               time_point now);

} // namespace peridotrudder
