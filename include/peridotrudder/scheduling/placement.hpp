#pragma once

/// @file
/// Chooses the worker for a task.

#include "peridotrudder/jobs/job_spec.hpp"
#include "peridotrudder/machines/worker_grade.hpp"
#include "peridotrudder/machines/worker_session.hpp"
#include "peridotrudder/scheduling/ticket_cache.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace peridotrudder {

/// A worker that the scheduler may use, and its health.
struct candidate {
    worker_session* m_session{nullptr};
    /// Recently had failed or stalled runs, or is below full; used last.
    bool m_unhealthy{false};
    /// Full where workers are not graded.
    worker_grade m_grade{worker_grade::full};
    /// How many further starts may wait for the worker's answers; gangs may exceed it.
    std::size_t m_starts_left{std::numeric_limits<std::size_t>::max()};

    /// Notes a start that was decided.
    void note_start() { m_starts_left -= m_starts_left == 0 ? 0 : 1; }
};

/// A task to place and its constraints beyond its step's specification.
struct placement_request {
    const step_spec* m_step{nullptr};
    std::string m_job;
    std::uint32_t m_occurrence{0};
    std::uint32_t m_step_index{0};
    std::uint32_t m_index{0};
    /// Worker on which the task failed last, to be avoided; empty for none.
    std::string m_avoid;
    /// One more failure fails the job, so no unhealthy worker is used.
    bool m_last_attempt{false};
    /// The task is suspected of crashing its workers, so it starts where nothing else just has.
    bool m_on_trial{false};
    /// Rack that the task runs fastest on; empty for none.
    std::string m_preferred_rack;
    /// Tickets that restrict the workers; null if no placement policy applies.
    const ticket_cache* m_tickets{nullptr};

    step_key step() const { return {m_job, m_occurrence, m_step_index}; }
    run_key key() const { return {m_job, {m_occurrence, m_step_index, m_index}}; }
};

/// Returns the resources that a task reserves on a worker. Best-effort tasks reserve no CPU.
resources reserved_for(const step_spec& step);

/// Returns whether the worker has the label that the step requires, if any.
bool has_required_label(const step_spec& step, const worker_session& session);

/// Returns whether the task may only start on a worker whose grade is full.
bool needs_worker_at_full(const placement_request& request);

/// Returns what keeps the task off the worker now, apart from tickets and trials of the task
/// itself.
worker_obstacle room_obstacle(const placement_request& request, const candidate& worker,
                              time_point now);

/// Returns whether the worker has room for the task now and meets its constraints but for tickets.
inline bool has_room(const placement_request& request, const candidate& worker, time_point now)
{
    return room_obstacle(request, worker, now) == worker_obstacle::none;
}

/// Returns what keeps `choose_worker` from using the worker; `none` if it may be chosen.
worker_obstacle find_obstacle(const placement_request& request, const candidate& worker,
                              time_point now);

/// Returns the best candidate, or null if none fits.
///
/// The queues' load peaks at different times. Tasks are packed on the fullest worker that fits them
/// (best fit), so that other VMs become completely idle and can be moved to another pool.
/// Long-running tasks are concentrated on few VMs for the same reason. Best-effort tasks go to the
/// worker with the most unused CPU.
candidate* choose_worker(const placement_request& request, std::vector<candidate>& candidates,
                         time_point now);

/// Keeps other tasks off one worker that fits the task on trial, until that has started or was not
/// asked for again for a while. Returns whether there is such a worker.
bool reserve_for_trial(const placement_request& request, std::vector<candidate>& candidates,
                       time_point now);

/// Gives up the worker that is kept for the task, if any.
void end_reservation(const run_key& key, std::vector<candidate>& candidates, time_point now);

/// Returns the workers that the task fits on, with or without a ticket.
std::vector<worker_instance> workers_with_room(const placement_request& request,
                                               const std::vector<candidate>& candidates,
                                               time_point now);

} // namespace peridotrudder
