#pragma once

/// @file
/// Follows runs from their start to their end, through lost answers and lost workers.

#include "peridotrudder/scheduling/placement.hpp"
#include "peridotrudder/scheduling/scheduler_state.hpp"

namespace peridotrudder {

/// Returns a run of a task of the step, not started yet.
worker_run make_run(const step_spec& step, std::uint32_t number);

/// Carries what workers answer into jobs and sessions. Not thread-safe.
///
/// A task gets another run only when its present one surely is over: its end is listed, the worker
/// says that it is not there after nothing can bring it there any more, the worker is in another
/// life, or every lease of a silent worker has run out.
class run_tracker {
public:
    explicit run_tracker(scheduler_state& state) : m_state{&state} {}

    /// Takes over the runs that the jobs' records place on workers, as runs that may be there.
    void adopt_recorded_runs(moment now);

    /// Sends a start that has been recorded, if it still makes sense.
    void send_start(const start_effect& start, moment now);
    void start_answered(const worker_instance& life, const run_key& key, std::uint32_t run,
                        const order_answer& answer, moment now);
    void stop_answered(const worker_instance& life, const run_key& key, std::uint32_t run,
                       const order_answer& answer, moment now);
    void hold_answered(const worker_instance& life, const hold_answer& answer, time_point sent_at,
                       moment now);

    /// Asks for the end of a run.
    void stop_run(worker_session& session, const run_key& key, time_point now);
    /// Asks for the end of all runs of a job.
    void stop_job(const job& of, time_point now);
    /// Drops the runs of a worker whose life is over, and starts its new one.
    /// Gives up all runs of a worker on which surely nothing runs any more.
    void mark_all_lost(worker_session& session, std::string_view why);
    void handle_worker_restart(worker_session& session, std::int64_t born_ms, moment now);

    /// Sends the holds and repeated stops that are due, and gives up on workers that are gone.
    void tick(moment now);

private:
    void adopt(const run_key& key, const job& of, moment now);
    void note_end(worker_session& session, const ended_entry& ended, moment now);
    void blame(worker_session& session, const job& of, const run_key& key, run_end how,
               time_point now);
    void mark_run_lost(worker_session& session, const run_key& key, std::string_view why);
    void stop_unknown_run(worker_session& session, const running_entry& stranger, time_point now);
    void stop_stalled(worker_session& session, time_point now);
    /// Slows filling runs that disturb others, and lets them work again.
    void pace_filling(worker_session& session, time_point now);
    void depose();

    scheduler_state* m_state;
};

} // namespace peridotrudder
