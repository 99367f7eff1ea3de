#pragma once

/// @file
/// Tickets of a placement policy: which workers may run a step, as the policy's service decides.

#include "peridotrudder/jobs/job.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace peridotrudder {

/// Names a step of one occurrence of a job.
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

/// Asks the service which of the workers may run the step.
struct policy_request {
    step_key m_step;
    std::vector<worker_instance> m_workers;
    /// How long the service may take.
    milliseconds m_patience{0};
};

struct granted_ticket {
    std::string m_worker;
    std::string m_ticket;
};

struct policy_answer {
    /// False if there was no answer, or one that cannot be read.
    bool m_answered{false};
    /// Workers that were asked for and are not here may never run the step.
    std::vector<granted_ticket> m_granted;
    milliseconds m_valid{0};
};

/// Keeps the tickets by step and asks for those that are missing, one question at a time.
///
/// Answers a service that decides slowly and handles one call of a process after the other: only
/// workers that have room now are asked for, in the order in which steps want them, and what the
/// service has ruled out for a step is not asked again. Pure; not thread-safe.
///
///     book.want(step, policy, workers_with_room);
///     if (auto question = book.next_policy_request(now)) { ... ask, then book.answered(answer,
///     now) ... } auto ticket = book.ticket_for(step, life, now);
class ticket_cache {
public:
    /// Returns the ticket with which the step's tasks may start there now; empty for none.
    std::string ticket_for(const step_key& step, const worker_instance& where,
                           time_point now) const;

    /// Notes that the step waits, and which workers have room for it. Steps are asked for in the
    /// order of the notes since the last question.
    void want(const step_key& step, const placement_policy& policy,
              const std::vector<worker_instance>& with_room, time_point now);

    /// Returns the question to ask now, and notes it as under way.
    std::optional<policy_request> next_policy_request(time_point now);

    /// Takes the answer to the question under way. Returns the job that it was for.
    std::string answered(const policy_answer& answer, time_point now);

    /// Drops a ticket that its worker has turned down.
    void reject(const step_key& step, const worker_instance& where);

    /// Drops all that is known of a job.
    void drop_job(const std::string& job);

private:
    struct held_ticket {
        std::string m_ticket;
        worker_instance m_instance;
        time_point m_valid_until;
    };

    struct step_tickets {
        std::map<std::string, held_ticket> m_held;
        std::set<std::string> m_ruled_out;
    };

    std::map<step_key, step_tickets> m_steps;
    std::vector<policy_request> m_wanted;
    std::optional<policy_request> m_asked;
    time_point m_next_request_at;
};

} // namespace peridotrudder
