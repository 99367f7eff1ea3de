#pragma once

/// @file
/// A worker of the platform by the protocol's rules: fencing, leases, run numbers, a list of ends.

#include "peridotrudder/links/http.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace standins {

/// What really happened at a worker, for whoever checks the promises.
struct worker_event {
    std::int64_t m_time_ms{0};
    /// "start", how a run ended, or "noted" once the owner has taken note of a success.
    std::string m_kind;
    std::string m_task;
    std::uint64_t m_run{0};
    std::string m_worker;
    std::int64_t m_started_at_ms{0};
};

using event_sink = std::function<void(const worker_event&)>;

/// One life of a worker. How long a task takes, and whether it fails, stands in its payload:
/// `{"ms":300,"fails":1}` fails in its first run; a task without "ms" runs until it is stopped.
/// Pure but for the sink; not thread-safe.
class task_worker {
public:
    using responder = std::function<void(peridotrudder::http_response)>;

    static task_worker create(std::string id, std::int64_t now_ms, event_sink sink);

    const std::string& id() const { return m_id; }
    std::int64_t started_at_ms() const { return m_started_at_ms; }
    /// Answers an order; a hold may be answered later, by `tick`.
    void answer(const peridotrudder::http_request& request, std::int64_t now_ms, responder respond);
    /// Ends the runs whose time or lease is over, and answers holds that have waited enough.
    void tick(std::int64_t now_ms);
    /// Ends the life: everything that runs is gone, and open holds get no answer.
    void kill(std::int64_t now_ms);

private:
    struct active_run {
        std::uint64_t m_run{0};
        std::int64_t m_begin_ms{0};
        /// Absent for a task that lasts.
        std::optional<std::int64_t> m_finish_ms;
        std::optional<std::int64_t> m_stop_ms;
        bool m_will_fail{false};
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
    void end_run(const std::string& task, const std::string& outcome, std::int64_t now_ms);
    void emit_event(const std::string& kind, const std::string& task, std::uint64_t run,
                    std::int64_t now_ms) const;
    std::int64_t clock(std::int64_t now_ms) const { return now_ms - m_started_at_ms; }

    std::string m_id;
    std::int64_t m_started_at_ms{0};
    event_sink m_sink;
    std::uint64_t m_fencing_token{0};
    /// On this worker's clock, which starts at its birth.
    std::int64_t m_lease_end_ms{0};
    std::map<std::string, active_run> m_runs;
    /// Highest run of each task that was stopped or has ended here.
    std::map<std::string, std::uint64_t> m_highest_closed_run;
    std::vector<nlohmann::json> m_ended_runs;
    std::uint64_t m_next_end_number{1};
    std::vector<waiting_hold> m_waiting_holds;
};

} // namespace standins
