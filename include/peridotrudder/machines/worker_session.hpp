#pragma once

/// @file
/// What the owner knows of one worker: its life, its lease, and everything that may run there.

#include "peridotrudder/machines/worker_orders.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotrudder {

enum class run_phase {
    /// Decided, but the decision is not recorded yet: surely not started.
    recording,
    /// The order is on its way.
    ordered,
    /// The worker confirmed the start, or lists the run.
    running,
    /// The start had no answer; or a predecessor recorded the run. It may run, or start later.
    doubtful,
};

/// One run that uses room on the worker, or may do so.
struct worker_run {
    std::uint32_t m_run{0};
    resources m_reserved;
    /// What a filling task would take; zero for others.
    std::int64_t m_filling_cpu{0};
    run_phase m_phase{run_phase::recording};
    bool m_long_running{false};
    bool m_best_effort{false};
    milliseconds m_latency_target{0};
    milliseconds m_estimate{0};
    /// When the start was confirmed.
    time_point m_confirmed_at;
    /// A stop was asked for; the room stays taken until the end is listed.
    bool m_stopping{false};
    bool m_stop_under_way{false};
    time_point m_stop_sent_at;
    /// The worker has answered the stop.
    bool m_stop_answered{false};
    /// Since when the run cannot start any more, if it has not: a stop was answered, or the order
    /// had a fencing token that is out of date.
    std::optional<time_point> m_barred_at;
    std::uint32_t m_percent{0};
    time_point m_progress_at;
    std::int64_t m_load{0};
    /// Speed that it was told, in hundredths; runs start at the whole.
    std::uint32_t m_pace{100};
    /// False while a predecessor may have changed the speed.
    bool m_pace_known{true};
    time_point m_paced_at;
};

/// Figures of the lease protocol.
struct lease_options {
    /// Longest lease that a worker grants.
    milliseconds m_longest{6'000};
    /// Lease that is asked for: long enough to outlast a change of owner and three lost answers,
    /// short enough that work of a silent worker soon goes elsewhere.
    milliseconds m_lease{4'500};
    /// A start that is carried out later than this is void.
    milliseconds m_start_window{1'500};
    /// How long a hold may wait for an end; also the interval of renewal.
    milliseconds m_hold_wait{1'000};
    /// The same where filling tasks run: whether they disturb others shows in the answers only.
    milliseconds m_watch_wait{500};
    /// Pause between holds, so that several ends come with one answer.
    milliseconds m_hold_pause{40};
    /// Time that a predecessor may go on renewing without proof of its ownership.
    milliseconds m_predecessor_grace{5'000};
};

/// What a hold's answer changed.
struct hold_outcome {
    /// The worker is in another life: what it held before is lost.
    bool m_reborn{false};
    /// New ends, in order.
    std::vector<ended_entry> m_ended;
    /// Runs that surely are not there and have no end to come.
    std::vector<run_key> m_gone;
    /// Runs that this owner does not know.
    std::vector<running_entry> m_strangers;
};

/// One worker as its pool's owner sees it. Pure: is handed `now`, and returns what to send.
///
/// The room of a run is taken from the decision to start it until the worker has listed its end, or
/// until it is certain that it does not run: that is what keeps a worker within its capacity.
/// Not thread-safe.
class worker_session {
public:
    static worker_session create(worker_report report, std::uint64_t fence, lease_options options,
                                 time_point now);

    const worker_report& report() const { return m_report; }
    const worker_instance& life() const { return m_report.m_instance; }
    const std::string& id() const { return m_report.m_instance.m_worker; }
    const std::map<run_key, worker_run>& runs() const { return m_runs; }
    worker_run* find(const run_key& key);

    /// Takes a newer report. Returns whether the worker is in another life.
    bool update(const worker_report& report, time_point now);
    void set_listed(bool listed, time_point now);
    bool listed() const { return m_listed; }
    /// Returns whether the worker has confirmed this owner's fencing token in this life.
    bool fenced() const { return m_fenced; }
    /// Returns whether the worker did not answer the newest orders.
    bool silent() const { return m_misses >= silent_misses; }
    /// Returns when the newest hold that was answered had been sent.
    time_point heard_at() const { return m_heard_at; }
    /// Notes that the worker is surely not there: it gets no work until it answers again.
    void set_down();
    /// Returns whether new work may be ordered there at all.
    bool takes_work(time_point now) const;
    void hold_back_until(time_point until)
    {
        m_held_back_until = std::max(m_held_back_until, until);
    }

    const resources& used() const { return m_used; }
    /// Returns how many runs of long-running tasks reserve room.
    std::uint32_t long_running_runs() const { return m_long_running_runs; }
    /// Returns the processor that filling tasks there would take, in thousandths of a core.
    std::int64_t filling_cpu() const { return m_filling_cpu; }
    /// Returns how many runs are to be stopped.
    std::uint32_t stopping_runs() const { return m_stopping_runs; }
    void set_stopping(worker_run& run);
    void set_hold_pause(milliseconds pause) { m_options.m_hold_pause = pause; }
    resources room() const { return m_report.m_capacity - m_used; }

    /// Takes room for a run.
    void reserve(const run_key& key, const worker_run& run);
    /// Frees a run's room.
    void release(const run_key& key);

    /// Returns the start's deadline on the worker's clock, and notes it as the lease's end.
    std::int64_t start_deadline(time_point now);

    /// Returns the hold that is due, and notes that it is under way.
    std::optional<hold_order> next_hold(time_point now);
    /// Returns when the next hold can be due, if one can.
    std::optional<time_point> hold_due() const;
    /// Notes an answer to the hold that was sent at `sent_at`.
    hold_outcome hold_answered(const hold_answer& answer, time_point sent_at, time_point now);
    /// Notes the answer to another order.
    void order_answered(const order_answer& answer, time_point now);
    /// Notes that all ends up to a number are recorded.
    void ends_recorded(std::uint64_t number);
    std::uint64_t newest_end() const { return m_newest_end; }

    /// Returns when every lease that the worker may have is surely over.
    time_point lease_over() const;
    /// Empties the session for a new life. The runs of the old one are returned.
    std::vector<run_key> start_new_life(std::int64_t born_ms, time_point now);

private:
    static constexpr int silent_misses = 2;

    std::int64_t clock_estimate(time_point now) const;
    bool wants_hold() const;
    void take_clock(std::int64_t clock_ms, time_point now);
    milliseconds longest_lease() const;
    void note_deadline(std::int64_t deadline_ms);
    void compare_running(const hold_answer& answer, time_point sent_at, time_point now,
                         hold_outcome& outcome);

    worker_report m_report;
    std::uint64_t m_fence{0};
    lease_options m_options;
    time_point m_created_at;
    bool m_listed{true};
    bool m_fenced{false};
    int m_misses{0};
    time_point m_heard_at;
    time_point m_held_back_until;
    std::map<run_key, worker_run> m_runs;
    resources m_used;
    std::uint32_t m_long_running_runs{0};
    std::int64_t m_filling_cpu{0};
    std::uint32_t m_stopping_runs{0};

    bool m_hold_under_way{false};
    time_point m_next_hold;
    std::uint64_t m_newest_end{0};
    std::uint64_t m_recorded_end{0};
    std::uint64_t m_told_end{0};
    std::uint64_t m_end_in_hold{0};

    bool m_clock_known{false};
    std::int64_t m_clock_ms{0};
    time_point m_clock_at;
    std::int64_t m_latest_deadline_ms{0};
    /// When every lease that a predecessor may have given is surely over.
    time_point m_foreign_lease_over;
};

} // namespace peridotrudder
