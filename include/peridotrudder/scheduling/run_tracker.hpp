#pragma once

/// @file
/// Tracks runs from start to end, despite lost answers and lost workers.

#include "peridotrudder/machines/vm_fate.hpp"
#include "peridotrudder/scheduling/crash_tracker.hpp"
#include "peridotrudder/scheduling/leftover_runs.hpp"
#include "peridotrudder/scheduling/order_sender.hpp"
#include "peridotrudder/scheduling/placement.hpp"
#include "peridotrudder/scheduling/scheduler_state.hpp"
#include "peridotrudder/scheduling/worker_evidence.hpp"

namespace peridotrudder {

/// Returns a run of a task of the step, not started yet.
worker_run make_run(const step_spec& step, std::uint32_t number);
/// Returns the same with its charge to the quota of the job's tenant.
worker_run make_charged_run(scheduler_state& state, const job& target, std::uint32_t step,
                            std::uint32_t number);

/// Applies the answers of workers to jobs and sessions. Not thread-safe.
///
/// A task gets another run only when its current one is certainly over: the worker reports its end;
/// the worker does not list it and no order in flight can still start it on the incarnation that
/// answers; its VM was down after the start was confirmed, or has another worker; or every lease of
/// a silent worker has expired. A later incarnation under the same id does not know the stops and
/// deadlines of an earlier one, so an open start keeps its task placed beyond leases and VMs.
class run_tracker {
public:
    explicit run_tracker(scheduler_state& state)
        : m_state{&state},
          m_crashes{state},
          m_leftovers{state},
          m_evidence{state},
          m_sender{state,
                   [this](worker_session& session, const run_key& key, std::string_view reason,
                          moment now) { mark_run_lost(session, key, reason, now); }}
    {
    }
    run_tracker(const run_tracker&) = delete;
    run_tracker& operator=(const run_tracker&) = delete;
    run_tracker(run_tracker&&) = delete;
    run_tracker& operator=(run_tracker&&) = delete;
    ~run_tracker() = default;

    /// Sends the orders that wait, as far as there are places. Call after each event.
    void send_waiting(moment now) { m_sender.send_waiting(now); }
    void start_answered(const order_target& target, const run_key& key, std::uint32_t run,
                        const order_answer& answer, moment now);
    void stop_answered(const order_target& target, const run_key& key, std::uint32_t run,
                       const order_answer& answer, moment now);
    void hold_answered(const order_target& target, const hold_answer& answer, time_point sent_at,
                       moment now);

    /// Orders a worker to stop a run.
    void stop_run(worker_session& session, const run_key& key, moment now);
    /// Queues the stops of all runs of a job.
    void stop_job(const job& target, time_point now);
    /// Marks those runs as lost that cannot be on the worker any more by what the list of VMs
    /// showed at `seen_at`, which may be the fault of one of its tasks.
    void mark_lost_with_vm(worker_session& session, vm_fate fate, time_point seen_at, moment now);

    /// Sends the holds and repeated stops that are due, and removes workers that are gone.
    void tick(moment now);

    leftover_runs& leftovers() { return m_leftovers; }

private:
    /// Queues the stop of a run, unless it is queued or sent already.
    void queue_stop(worker_session& session, const run_key& key, time_point now);
    /// Counts a run that is given up against its tenant's quota while it may still be started, also
    /// with a successor.
    void keep_charge(const worker_session& session, const run_key& key, moment now);
    /// Lets the job's next record tell a successor that the start of the run is not open.
    void note_settled_start(const run_key& key, std::uint32_t run);
    void handle_end(worker_session& session, const ended_entry& ended, moment now);
    /// Stops the runs that a task had before one of them ended, but for that one.
    void stop_other_runs(const worker_session& session, const ended_entry& ended,
                         const task& before, time_point now);
    /// Orders a worker to stop a run, if it is still there.
    void stop_run(const worker_instance& instance, const run_key& key, std::uint32_t run,
                  time_point now);
    /// Learns from a run that succeeded how long such runs take. Returns its time as a multiple of
    /// the upper quartile of such runs; zero if that is not known.
    double learn_run_time(const worker_session& session, const worker_run& run,
                          const ended_entry& ended, time_point now);
    /// Lets an unclear end be acknowledged if its task will not start again.
    void judge_unclear_end(worker_session& session, const unclear_end& end);
    void mark_run_lost(worker_session& session, const run_key& key, std::string_view reason,
                       moment now);
    /// Marks runs as lost with their worker, which was last heard of at `last_heard_at`, and blames
    /// the tasks that it may have crashed under.
    void mark_lost_in_crash(worker_session& session, const std::vector<run_key>& keys,
                            time_point last_heard_at, bool crash_is_certain,
                            std::string_view reason, moment now);
    /// Returns whether the run was recorded for another incarnation of its worker.
    bool is_of_other_incarnation(const worker_session& session, const run_key& key) const;
    /// Marks the runs as lost that an answer to a hold showed to be gone.
    void mark_gone(worker_session& session, const hold_outcome& outcome, time_point last_heard_at,
                   moment now);
    /// Tells of the end of a job, and stops what still runs of it.
    void end_job(const job& target, moment now);
    /// Rules out that a run whose start was not answered still begins.
    void stop_not_begun(worker_session& session, const run_key& key, time_point now);
    /// Gives up what an unreachable worker had, once it is certainly over.
    void give_up_unreachable(worker_session& session, moment now);
    void stop_unknown_run(worker_session& session, const running_entry& unknown, moment now);
    void stop_stalled(worker_session& session, time_point now);
    /// Throttles best-effort runs that slow down latency-sensitive ones, and speeds them up again.
    void pace_best_effort(worker_session& session, time_point now);
    /// Returns the worker if the order was sent in its present session, or null.
    worker_session* find_receiver(const order_target& target);
    /// Another owner has taken over if an order to the worker's present incarnation was fenced.
    void depose_unless_former(const worker_session& session, const order_target& target);

    scheduler_state* m_state;
    crash_tracker m_crashes;
    leftover_runs m_leftovers;
    worker_evidence m_evidence;
    order_sender m_sender;
};

} // namespace peridotrudder
