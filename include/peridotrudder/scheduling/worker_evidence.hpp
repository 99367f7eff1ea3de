#pragma once

/// @file
/// Passes on what runs and orders show about the health of their workers.

#include "peridotrudder/scheduling/scheduler_state.hpp"

namespace peridotrudder {

/// Feeds the grades of workers, or `worker_health` where workers are not graded, and logs each
/// change of a grade with its evidence. Not thread-safe.
class worker_evidence {
public:
    explicit worker_evidence(scheduler_state& state) : m_state{&state} {}

    /// Records the end of a run. `slowness` is its time as a multiple of the upper quartile of
    /// such runs; zero if that is not known.
    void run_ended(const worker_session& session, const job& target, const ended_entry& ended,
                   double slowness, time_point now);
    void run_stalled(const worker_session& session, const run_key& key, time_point now);
    void start_refused(const worker_session& session, const run_key& key, time_point now);
    void start_unanswered(const worker_session& session, const run_key& key, time_point now);
    /// Records that the worker has restarted, or has become silent.
    void went_down(const worker_session& session, time_point now);
    void forget(const worker_session& session);
    /// Ends the terms of grades that are over.
    void tick(time_point now);

private:
    bool is_graded() const { return m_state->m_options.m_graded_health; }
    worker_grades& grades_of(const worker_session& session);
    /// Records a failed run of a task that has failed on this worker only.
    void count_failure(const worker_session& session, const run_key& key, time_point now);
    /// Returns the worker that the task failed on last, if that is another one; else an empty id.
    std::string failed_elsewhere_on(const worker_session& session, const run_key& key) const;
    /// Withdraws the failure of a task that has failed on another worker as well.
    void withdraw_failure(const std::string& worker, time_point now);
    void log_changes(const std::string& pool, worker_grades& grades);

    scheduler_state* m_state;
    time_point m_next_tick;
};

} // namespace peridotrudder
