#pragma once

/// @file
/// What the owner knows about one worker: its incarnation, its lease, and the runs that may be on
/// it.

#include "peridotrudder/machines/worker_obstacle.hpp"
#include "peridotrudder/machines/worker_orders.hpp"
#include "peridotrudder/tenants/quota_ledger.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotrudder {

/// Returns the lowest fencing token of an owner's epoch. The epoch has room for a token for each
/// incarnation that it sees of a worker.
constexpr std::uint64_t first_token(std::uint64_t epoch)
{
    constexpr unsigned bits_of_token_in_epoch = 20;
    return epoch << bits_of_token_in_epoch;
}

enum class run_phase {
    /// Decided, but not recorded yet: certainly not started.
    recording,
    /// The start order was sent and is not answered yet.
    ordered,
    /// The worker confirmed the start, or lists the run.
    running,
    /// The start was not answered, or a predecessor recorded the run: it may run, or start later.
    /// The next holds show which.
    uncertain,
};

/// One run that uses capacity of the worker, or may do so.
struct worker_run {
    std::uint32_t m_run{0};
    resources m_reserved;
    /// What the run counts against its tenant's quota.
    quota_charge m_charge;
    /// Processor that a best-effort task would use, in thousandths of a core; zero for other tasks.
    std::int64_t m_best_effort_cpu_millis{0};
    run_phase m_phase{run_phase::recording};
    time_point m_placed_at;
    bool m_long_running{false};
    bool m_best_effort{false};
    milliseconds m_latency_target{0};
    milliseconds m_estimate{0};
    /// Expected run time on this worker; zero if the run was not placed by this owner.
    milliseconds m_expected{0};
    /// Factor by which the run takes longer because of its rack.
    double m_place_factor{1.0};
    /// The worker refuses the start after this time, in Unix milliseconds on its own clock; zero if
    /// this owner sent no start to the present incarnation.
    std::int64_t m_start_deadline_ms{0};
    /// Until when some incarnation of the worker may still carry out the start; absent before it is
    /// sent, and once an answer or a list of runs has settled it.
    std::optional<time_point> m_start_open_until;
    /// The log tells that the run outlives its worker's lease since its start is open.
    bool m_open_start_logged{false};
    /// When the start was given up as unanswered.
    std::optional<time_point> m_unanswered_since;
    /// When the start was sent; absent if a predecessor sent it.
    std::optional<time_point> m_ordered_at;
    /// When the start was confirmed.
    time_point m_confirmed_at;
    /// The task is suspected of crashing its workers.
    bool m_on_trial{false};
    /// The run was started as a copy of another one.
    bool m_is_copy{false};
    /// A stop was requested; the capacity stays reserved until the worker lists the end.
    bool m_stopping{false};
    bool m_stop_in_flight{false};
    time_point m_stop_sent_at;
    /// When the present incarnation answered the stop: it refuses the start from then on.
    std::optional<time_point> m_stop_answered_at;
    /// Since when the incarnation that answers cannot start the run any more if it had not before:
    /// the start was answered, or had a predecessor's fencing token. A later incarnation may, while
    /// the start is open.
    std::optional<time_point> m_cannot_start_since;
    /// When the incarnation that the start was sent to was last heard of, if another one answers
    /// now and has not listed the run.
    std::optional<time_point> m_former_heard_at;
    /// Since when holds have a higher token than the start, so that an incarnation which has
    /// answered one of them does not carry it out. A later one may.
    std::optional<time_point> m_outdated_since;
    std::uint32_t m_percent{0};
    time_point m_progress_at;
    std::int64_t m_load{0};
    /// Speed last ordered, in percent; runs start at full speed.
    std::uint32_t m_pace{100};
    /// False while a predecessor may have changed the speed.
    bool m_pace_known{true};
    time_point m_paced_at;

    /// Returns whether an incarnation of the worker may still carry out the start.
    bool start_is_open(time_point now) const
    {
        return m_start_open_until && now < *m_start_open_until;
    }
    /// Marks the start as answered, or as seen to be carried out.
    void settle_start() { m_start_open_until.reset(); }
};

/// Parameters of the lease protocol.
struct lease_options {
    /// Longest lease that a worker accepts.
    milliseconds m_max_lease{6'000};
    /// Requested lease: long enough to outlast a change of owner and three lost answers, short
    /// enough that the work of a silent worker is soon started on another one.
    milliseconds m_lease{4'500};
    /// Time after which a start order that was not carried out is void.
    milliseconds m_start_window{1'500};
    /// How long a hold may wait for a run to end; also the interval of lease renewal.
    milliseconds m_hold_wait{1'000};
    /// The same for workers with best-effort tasks: whether these disturb other tasks shows only in
    /// the answers.
    milliseconds m_best_effort_hold_wait{500};
    /// Pause between holds, so that one answer reports several ends.
    milliseconds m_hold_pause{40};
    /// Time for which a predecessor may go on renewing leases without proof of its ownership.
    milliseconds m_predecessor_grace{5'000};
    /// Longest time after which an order that was not answered may still be carried out, by
    /// whichever incarnation of the worker is there then. Includes the time at a relay.
    milliseconds m_longest_order_delay{14'000};
    /// Time from the placement of a predecessor's run until its start is certainly sent and timed
    /// out, with the difference between the two nodes' times of day.
    milliseconds m_predecessor_start_slack{8'000};
};

/// Returns the longest time for which a worker may run something without hearing of its owner.
milliseconds longest_lease(const lease_options& options);

/// Returns the time after which a start that a predecessor has given up is not carried out any
/// more.
milliseconds longest_start(const lease_options& options);

/// Returns the time after which a run that a predecessor has given up is certainly over, if no
/// worker lists it: two leases after the latest start, since answers to holds that are lost may
/// have renewed one.
milliseconds longest_leftover(const lease_options& options);

/// What the answer to a hold changed.
struct hold_outcome {
    /// The answer came from another incarnation than the one before.
    bool m_restarted{false};
    /// Whether the worker listed all runs that it has, and the ends of all others.
    bool m_complete{false};
    /// New ends, in order.
    std::vector<ended_entry> m_ended;
    /// Whether the worker listed ends that it had not listed before, readable or not.
    bool m_new_ends{false};
    /// Ends that may have been successful. They are not acknowledged, so the worker lists them
    /// again.
    std::vector<unclear_end> m_unclear_ends;
    /// Runs that the worker lists and whose starts were open.
    std::vector<run_key> m_begun;
    /// Runs that are certainly not on the worker and will not be reported as ended.
    std::vector<run_key> m_gone;
    /// Runs whose start was not answered, and that were not on the worker afterwards; they may
    /// still start.
    std::vector<run_key> m_not_begun;
    /// Runs that this owner does not know.
    std::vector<running_entry> m_unknown_runs;
};

/// One worker as its pool's owner sees it. Has no side effects: it gets the time as `now`, and
/// returns what to send.
///
/// Only an answered hold shows which incarnation of the worker is there, and what it runs. Orders
/// name the worker only, so any incarnation carries them out. Each incarnation that answers is
/// therefore sent a higher fencing token: once a hold with it is answered, no order that was meant
/// for a former incarnation is carried out any more, and the list in that answer decides for each
/// run whether the new incarnation got its start.
///
/// The capacity of a run is reserved from the decision to start it until the worker has listed its
/// end, or until it is certain that it does not run. This keeps a worker within its capacity.
/// Not thread-safe.
class worker_session {
public:
    static worker_session create(worker_report report, std::uint64_t fence, lease_options options,
                                 time_point now);

    /// Returns the fencing token that orders to the worker carry.
    std::uint64_t fence() const { return m_fence; }
    /// Returns the lowest fencing token of this session's orders. Orders with a lower one were sent
    /// in an earlier session, before the worker was forgotten.
    std::uint64_t first_fence() const { return m_first_fence; }
    const worker_report& report() const { return m_report; }
    const worker_instance& instance() const { return m_report.m_instance; }
    const std::string& id() const { return m_report.m_instance.m_worker; }
    const std::map<run_key, worker_run>& runs() const { return m_runs; }
    worker_run* find(const run_key& key);

    /// Applies a report, unless it is known to be a former incarnation's. If it shows an unknown
    /// incarnation, the worker gets no work until the answer to a hold has shown which one is
    /// there; after that it can only take from what the incarnation that answers is known to have.
    /// Births don't tell which incarnation is newer, as a time of day may step back.
    void update(const worker_report& report, time_point now);
    void set_listed(bool listed, time_point now);
    /// Returns whether the list or a clock shows another incarnation than the one that answered the
    /// last hold.
    bool restart_suspected() const { return m_restart_suspected_at.has_value(); }
    bool listed() const { return m_listed; }
    /// Returns whether this incarnation of the worker has confirmed its fencing token.
    bool token_confirmed() const { return m_token_confirmed; }
    /// Returns whether the worker missed at least two holds in a row.
    bool silent() const { return m_missed_answers >= silent_after_misses; }
    /// Returns when the newest hold that was answered had been sent.
    time_point last_answered_hold_sent_at() const { return m_last_answered_hold_sent_at; }
    /// Marks the worker as seen down at a time: it gets no work until it answers a later hold.
    void set_down(time_point seen_at);
    /// Returns whether the worker was seen down after a time.
    bool seen_down_since(time_point time) const { return time < m_down_seen_at; }
    /// Returns whether the worker may be given new work.
    bool takes_work(time_point now) const { return work_obstacle(now) == worker_obstacle::none; }
    /// Returns why the worker may not be given new work; `none` if it may.
    worker_obstacle work_obstacle(time_point now) const;
    /// Returns a copy whose runs have no charges, so that it does not count against any quota.
    worker_session without_charges() const;
    /// Returns when the worker's last answer arrived.
    time_point last_heard_at() const { return m_clock_at; }
    void hold_back_until(time_point until) { m_no_work_until = std::max(m_no_work_until, until); }

    const resources& used() const { return m_used; }
    /// Returns how many runs of long-running tasks reserve capacity.
    std::uint32_t long_running_runs() const { return m_long_running_runs; }
    /// Returns the processor that the worker's best-effort tasks would use, in thousandths of a
    /// core.
    std::int64_t best_effort_cpu_millis() const { return m_best_effort_cpu_millis; }
    /// Returns the processor that runs started as copies reserve, in thousandths of a core.
    std::int64_t copies_cpu_millis() const { return m_copies_cpu_millis; }
    /// Returns how many runs have a requested stop.
    std::uint32_t stopping_runs() const { return m_stopping_runs; }
    void set_stopping(worker_run& run);
    void set_hold_pause(milliseconds pause) { m_options.m_hold_pause = pause; }
    resources room() const { return m_report.m_capacity - m_used; }

    /// Notes a start, which makes its task a suspect if the worker crashes before `suspect_until`.
    void note_start(time_point suspect_until, bool on_trial);
    /// Keeps other tasks off the worker until the task has its trial there, or until a time. Starts
    /// that are decided already are sent.
    void keep_for_trial(const run_key& key, time_point until)
    {
        m_kept_for = key;
        m_kept_until = until;
    }
    void end_keeping() { m_kept_for.reset(); }
    /// Returns the task on trial that the worker is kept for; null for none.
    const run_key* kept_for(time_point now) const
    {
        return m_kept_for && now < m_kept_until ? &*m_kept_for : nullptr;
    }
    /// Returns whether the worker has not survived the trial of a task yet, so that nothing else
    /// may be placed.
    bool has_trial(time_point now) const { return !is_past(m_trial_until, now); }
    /// Returns whether no task started so far would be a suspect any more.
    bool is_calm(time_point now) const { return is_past(m_calm_from, now); }
    /// Returns when no task started so far would be a suspect any more.
    time_point calm_from() const { return m_calm_from; }

    /// Reserves capacity for a run.
    void reserve(const run_key& key, const worker_run& run);
    /// Frees the capacity of a run.
    void release(const run_key& key);
    /// Reserves capacity for a run that the worker has beside another one of the same task, until
    /// the worker lists it no more.
    void reserve_beside(const run_key& key, const worker_run& run);
    /// Returns whether the worker has a run of the task beside the one that `find` returns, if any.
    bool has_run_beside(const run_key& key) const;
    /// Frees the capacity of all runs beside others, which are certainly over.
    void release_all_beside();
    /// Keeps sending holds until a time, also without runs: a later incarnation that answers one of
    /// them refuses the starts of this one that may still be under way.
    void watch_until(time_point until);
    void end_watch(time_point now);
    bool watched() const { return m_watched_until.has_value(); }
    /// Returns whether no run uses capacity of the worker, or may do so.
    bool empty() const { return m_runs.empty() && m_beside.empty(); }

    /// Returns the deadline of a start in Unix milliseconds on the worker's clock, and extends the
    /// lease until then.
    std::int64_t start_deadline(time_point now);

    /// Returns the hold that is due, if any, and marks it as in flight.
    std::optional<hold_order> next_hold(time_point now);
    /// Returns when the next hold is due; nothing if none can be sent now.
    std::optional<time_point> hold_due() const;
    /// Returns whether no hold has been sent yet.
    bool never_held() const { return m_hold_sent_at == time_point{}; }
    /// Applies the answer to the hold that was sent at `sent_at`.
    hold_outcome hold_answered(const hold_answer& answer, time_point sent_at, time_point now);
    /// Notes that the start of a run was sent just now, or may have been sent until now.
    void open_start(worker_run& run, time_point now) const;
    /// Marks a run whose start was not answered.
    void set_unanswered(worker_run& run, time_point now);
    /// Applies the answer to another order.
    void order_answered(const order_answer& answer, time_point now);
    /// Marks all ends up to a number as recorded.
    void ends_recorded(std::uint64_t number);
    /// Returns the newest end that may be acknowledged.
    std::uint64_t newest_end() const;
    /// Lets an unclear end of the last answer be acknowledged: its task will not start again.
    void accept_unclear_end(std::uint64_t number) { m_unclear_ends.erase(number); }

    /// Returns when every lease that the worker may have has certainly expired.
    time_point lease_ends_at() const;
    /// Returns when a run is certainly over if the worker is not heard of until then: a start that
    /// is open may be carried out by a later incarnation, which then has the longest lease.
    time_point over_at(const worker_run& run) const;
    /// Returns the longest time for which a worker may run something without hearing of its owner.
    milliseconds longest_lease() const;

private:
    static constexpr int silent_after_misses = 2;

    struct run_beside {
        resources m_reserved;
        quota_charge m_charge;
    };

    /// Returns whether the worker is known to have outlived `until`, or has no runs to watch.
    bool is_past(time_point until, time_point now) const
    {
        return now >= until && (m_clock_at > until || m_runs.empty());
    }

    std::int64_t clock_estimate(time_point now) const;
    bool needs_hold() const;
    /// Resets the session for a new incarnation of the worker. Returns the runs whose start was not
    /// sent; all others may have been started by either incarnation.
    std::vector<run_key> begin_incarnation(std::int64_t born_ms, time_point now);
    /// Applies a report of an unknown incarnation.
    void note_other_incarnation(const worker_report& report, time_point now);
    void suspect_restart(time_point now);
    void confirm_incarnation(time_point sent_at, time_point now);
    /// Returns whether the incarnation that answered last may show this clock now.
    bool clock_fits(std::int64_t clock_ms, time_point now) const;
    /// Counts with renewals that were meant for a former incarnation and reach a later one.
    void expect_misdirected_renewals(time_point now);
    bool is_former(std::int64_t born_ms) const;
    /// Returns whether the worker is certainly still the incarnation that answered last.
    bool incarnation_is_certain(time_point now) const;
    void update_clock(std::int64_t clock_ms, time_point now);
    void extend_lease(std::int64_t deadline_ms);
    void take_ends(const hold_answer& answer, hold_outcome& outcome);
    void release_beside(const run_key& key, std::uint32_t number);
    void reconcile_runs(const hold_answer& answer, time_point sent_at, time_point now,
                        hold_outcome& outcome);
    /// Marks runs that are on rows which could not be read otherwise, and returns them.
    std::set<run_key> note_unclear_rows(const hold_answer& answer, time_point now);

    worker_report m_report;
    std::uint64_t m_fence{0};
    std::uint64_t m_first_fence{0};
    lease_options m_options;
    time_point m_created_at;
    bool m_listed{true};
    bool m_token_confirmed{false};
    /// The report is one of the incarnation that answers: a later one may be of another kind.
    bool m_capacity_known{true};
    /// Since when the list, or the clock of an answer, shows another incarnation than the one that
    /// answered the last hold.
    std::optional<time_point> m_restart_suspected_at;
    /// Birth of the incarnation that the list showed last; zero if none since the last restart.
    std::int64_t m_listed_born_ms{0};
    /// Newest report of an incarnation that has not answered.
    std::optional<worker_report> m_other_report;
    /// Births of former incarnations.
    std::set<std::int64_t> m_former;
    /// Births that the list showed, and that holds did not confirm.
    std::set<std::int64_t> m_unconfirmed;
    int m_missed_answers{0};
    time_point m_last_answered_hold_sent_at;
    time_point m_answered_at;
    time_point m_down_seen_at;
    time_point m_no_work_until;
    time_point m_trial_until;
    time_point m_calm_from;
    std::optional<run_key> m_kept_for;
    time_point m_kept_until;
    std::map<run_key, worker_run> m_runs;
    /// Runs that are there beside others of their tasks, by task and number.
    std::map<std::pair<run_key, std::uint32_t>, run_beside> m_beside;
    resources m_used;
    std::uint32_t m_long_running_runs{0};
    std::int64_t m_best_effort_cpu_millis{0};
    std::int64_t m_copies_cpu_millis{0};
    std::uint32_t m_stopping_runs{0};

    std::optional<time_point> m_watched_until;
    bool m_hold_in_flight{false};
    time_point m_hold_sent_at;
    time_point m_next_hold;
    std::uint64_t m_newest_end{0};
    /// Numbers of the ends that the last answer listed and that must not be acknowledged.
    std::set<std::uint64_t> m_unclear_ends;
    std::uint64_t m_recorded_end{0};
    std::uint64_t m_acknowledged_end{0};
    std::uint64_t m_end_in_current_hold{0};

    bool m_clock_known{false};
    std::int64_t m_clock_ms{0};
    time_point m_clock_at;
    std::int64_t m_latest_deadline_ms{0};
    /// When every lease has certainly expired that a predecessor may have granted, or that an order
    /// to a former incarnation may have granted to this one.
    time_point m_foreign_lease_ends_at;
};

} // namespace peridotrudder
