#pragma once

/// @file
/// Stand-in worker that follows the worker protocol: fencing tokens, leases, run numbers and a list
/// of ended runs.

#include "peridotrudder/links/http.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace standins {

/// Something that happened at a worker, for tests that check the scheduler's guarantees.
struct worker_event {
    std::int64_t m_time_ms{0};
    /// "start", the outcome of a run ("done", "failed", "stopped", "lapsed", "crashed" if it
    /// crashed its worker, "lost" if its worker crashed by another cause, or "killed" if its worker
    /// was ended by a move or maintenance), "noted" once the owner has acknowledged a "done",
    /// "late" before a start that was ordered long ago, or "capacity" when the worker's capacity
    /// has changed.
    std::string m_kind;
    std::string m_task;
    /// With "capacity", thousandths of a processor core.
    std::uint64_t m_run{0};
    std::string m_worker;
    /// Time of the worker's start; with "late", time at which the order came.
    std::int64_t m_started_at_ms{0};
};

using event_sink = std::function<void(const worker_event&)>;

/// One instance of a worker, from its start until `kill`. A task's payload sets how long it runs
/// and how many of its runs fail: `{"ms":300,"fails":1}` takes 300 ms and fails in run 1; a task
/// without "ms" runs until it is stopped. Its only side effects are calls of the sink and of the
/// responders. With "crashes", the worker crashes that many milliseconds after the task's start.
/// Not thread-safe.
class task_worker {
public:
    using responder = std::function<void(peridotrudder::http_response)>;

    /// `born_shift_ms` is added to the time of its start that the worker publishes.
    static task_worker create(std::string id, std::int64_t now_ms, event_sink sink,
                              std::int64_t born_shift_ms = 0);

    const std::string& id() const { return m_id; }
    std::int64_t started_at_ms() const { return m_started_at_ms; }
    /// Time of its start as the worker publishes it.
    std::int64_t born_ms() const { return m_started_at_ms + m_born_shift_ms; }
    /// Whether a task has crashed the worker; `kill` must follow.
    bool has_crashed() const { return m_has_crashed; }
    /// Answers an order; a hold (long poll) may be answered later, by `tick`.
    void answer(const peridotrudder::http_request& request, std::int64_t now_ms, responder respond);
    /// Ends the runs that are finished or stopped, or all of them when the lease has expired, and
    /// answers the holds that have an ended run to report or whose wait time is over.
    void tick(std::int64_t now_ms);
    /// Terminates the worker: running tasks end with `outcome`, and open holds get no answer.
    void kill(std::int64_t now_ms, const char* outcome);

private:
    struct active_run {
        std::uint64_t m_run{0};
        std::int64_t m_begin_ms{0};
        /// Absent for a task that runs until it is stopped.
        std::optional<std::int64_t> m_finish_ms;
        std::optional<std::int64_t> m_stop_ms;
        bool m_will_fail{false};
        /// Present for a task that crashes its worker.
        std::optional<std::int64_t> m_crash_ms;
    };

    struct waiting_hold {
        std::int64_t m_deadline_ms{0};
        responder m_respond;
    };

    peridotrudder::http_response start(const nlohmann::json& body, std::int64_t now_ms);
    peridotrudder::http_response stop(const nlohmann::json& body, std::int64_t now_ms);
    void hold(const nlohmann::json& body, std::int64_t now_ms, responder respond);
    std::string make_hold_answer(std::int64_t now_ms) const;
    bool accept_fencing_token(std::uint64_t fencing_token);
    void extend_lease(const nlohmann::json& body, std::int64_t now_ms);
    bool crash(std::int64_t now_ms);
    void end_run(const std::string& task, const std::string& outcome, std::int64_t now_ms);
    void emit_event(const std::string& kind, const std::string& task, std::uint64_t run,
                    std::int64_t now_ms) const;
    std::int64_t clock(std::int64_t now_ms) const { return now_ms - m_started_at_ms; }

    std::string m_id;
    std::int64_t m_started_at_ms{0};
    std::int64_t m_born_shift_ms{0};
    bool m_has_crashed{false};
    event_sink m_sink;
    std::uint64_t m_fencing_token{0};
    /// On this worker's clock, which is 0 when the worker starts.
    std::int64_t m_lease_end_ms{0};
    std::map<std::string, active_run> m_runs;
    /// Highest run number of each task that was stopped or has ended here; runs up to it cannot
    /// start.
    std::map<std::string, std::uint64_t> m_highest_closed_run;
    std::vector<nlohmann::json> m_ended_runs;
    std::uint64_t m_next_end_number{1};
    std::vector<waiting_hold> m_waiting_holds;
};

} // namespace standins
