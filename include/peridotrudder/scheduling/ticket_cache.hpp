#pragma once

/// @file
/// Tickets of a placement policy, whose service decides which workers may run a step.

#include "peridotrudder/machines/worker_orders.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace peridotrudder {

/// Identifies a step of one occurrence of a job.
struct step_key {
    std::string m_job;
    std::uint32_t m_occurrence{0};
    std::uint32_t m_step{0};
};

inline bool operator<(const step_key& left, const step_key& right)
{
    return std::tie(left.m_job, left.m_occurrence, left.m_step) <
           std::tie(right.m_job, right.m_occurrence, right.m_step);
}

/// Returns the step that the task belongs to.
inline step_key step_of(const run_key& key)
{
    return {key.m_job, key.m_task.m_occurrence, key.m_task.m_step};
}

/// Request to the policy service: which of the workers may run the step?
struct policy_request {
    step_key m_step;
    std::vector<worker_instance> m_workers;
    /// Timeout of the request.
    milliseconds m_policy_timeout{0};
};

struct granted_ticket {
    std::string m_worker;
    std::string m_ticket;
};

struct policy_answer {
    /// False if there was no answer or it could not be decoded.
    bool m_answered{false};
    /// Requested workers that are not listed may never run the step.
    std::vector<granted_ticket> m_granted;
    /// Time for which the tickets are valid.
    milliseconds m_valid{0};
};

/// Caches tickets by step and requests missing ones, one request at a time.
///
/// The policy service is slow and handles the calls of a process one after the other. Therefore
/// only workers with free capacity are requested, in the order in which steps ask for them, and a
/// worker that the service has denied for a step is not requested again. Does no I/O. Not
/// thread-safe.
///
///     cache.request(step, policy, workers_with_room, now);
///     if (auto request = cache.next_policy_request(now)) {
///         ... send it, then cache.answered(answer, now) ...
///     }
///     auto ticket = cache.ticket_for(step, worker, now);
class ticket_cache {
public:
    /// Returns a ticket that is valid now for starting the step's tasks on the worker, or "".
    std::string ticket_for(const step_key& step, const worker_instance& worker,
                           time_point now) const;

    /// Queues a request for the workers among `with_room` that have no valid ticket and were not
    /// denied for the step. Only the first request since the last `next_policy_request` is sent.
    void request(const step_key& step, const placement_policy& policy,
                 const std::vector<worker_instance>& with_room, time_point now);

    /// Returns the request to send now, if any, and marks it as in flight. Discards the others.
    std::optional<policy_request> next_policy_request(time_point now);

    /// Handles the answer to the request in flight. Returns the id of its job.
    std::string answered(const policy_answer& answer, time_point now);

    /// Drops a ticket that its worker has rejected.
    void reject(const step_key& step, const worker_instance& worker);

    /// Drops all tickets and denials of a job.
    void drop_job(const std::string& job);

private:
    struct held_ticket {
        std::string m_ticket;
        worker_instance m_instance;
        time_point m_valid_until;
    };

    struct step_tickets {
        std::map<std::string, held_ticket> m_held;
        std::set<std::string> m_denied_workers;
    };

    std::map<step_key, step_tickets> m_steps;
    std::vector<policy_request> m_queued_requests;
    std::optional<policy_request> m_request_in_flight;
    time_point m_next_request_at;
};

} // namespace peridotrudder
