#include "peridotrudder/scheduling/ticket_cache.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

/// The service takes time for each worker of a request, so more workers delay the first start.
constexpr std::size_t max_workers_per_request = 30;
/// A ticket is not used in this time before its expiry, so that it is still valid when the start
/// arrives.
constexpr milliseconds validity_margin{250};
/// Added to the time that the service declares for a request.
constexpr milliseconds timeout_margin{2'000};
/// Pause after an unanswered request.
constexpr milliseconds retry_pause{300};

} // namespace

std::string ticket_cache::ticket_for(const step_key& step, const worker_instance& worker,
                                     time_point now) const
{
    const auto tickets = m_steps.find(step);
    if (tickets == m_steps.end()) {
        return {};
    }
    const auto held = tickets->second.m_held.find(worker.m_worker);
    const bool valid = held != tickets->second.m_held.end() && held->second.m_instance == worker &&
                       now < held->second.m_valid_until;
    return valid ? held->second.m_ticket : std::string{};
}

void ticket_cache::request(const step_key& step, const placement_policy& policy,
                           const std::vector<worker_instance>& with_room, time_point now)
{
    const auto& denied = m_steps[step].m_denied_workers;
    policy_request missing;
    missing.m_step = step;
    for (const auto& worker : with_room) {
        if (missing.m_workers.size() < max_workers_per_request &&
            denied.count(worker.m_worker) == 0 && ticket_for(step, worker, now).empty()) {
            missing.m_workers.push_back(worker);
        }
    }
    if (missing.m_workers.empty()) {
        return;
    }
    const auto count = static_cast<std::int64_t>(missing.m_workers.size());
    missing.m_policy_timeout = policy.m_decide + policy.m_per_worker * count + timeout_margin;
    m_queued_requests.push_back(std::move(missing));
}

std::optional<policy_request> ticket_cache::next_policy_request(time_point now)
{
    const auto queued = std::move(m_queued_requests);
    m_queued_requests.clear();
    if (queued.empty() || m_request_in_flight || now < m_next_request_at) {
        // Steps that still wait queue their requests again.
        return std::nullopt;
    }
    m_request_in_flight = queued.front();
    return m_request_in_flight;
}

std::string ticket_cache::answered(const policy_answer& answer, time_point now)
{
    if (!m_request_in_flight) {
        return {};
    }
    const auto request = std::move(*m_request_in_flight);
    m_request_in_flight.reset();
    if (!answer.m_answered) {
        m_next_request_at = now + retry_pause;
        return request.m_step.m_job;
    }
    const auto tickets = m_steps.find(request.m_step);
    if (tickets == m_steps.end()) {
        // The job has ended in the meantime.
        return request.m_step.m_job;
    }
    for (const auto& worker : request.m_workers) {
        const auto granted = std::find_if(
            answer.m_granted.begin(), answer.m_granted.end(),
            [&worker](const granted_ticket& ticket) { return ticket.m_worker == worker.m_worker; });
        if (granted == answer.m_granted.end()) {
            tickets->second.m_denied_workers.insert(worker.m_worker);
            continue;
        }
        tickets->second.m_held[worker.m_worker] = {granted->m_ticket, worker,
                                                   now + answer.m_valid - validity_margin};
    }
    return request.m_step.m_job;
}

void ticket_cache::reject(const step_key& step, const worker_instance& worker)
{
    const auto tickets = m_steps.find(step);
    if (tickets != m_steps.end()) {
        tickets->second.m_held.erase(worker.m_worker);
    }
}

void ticket_cache::drop_job(const std::string& job)
{
    auto entry = m_steps.lower_bound({job, 0, 0});
    while (entry != m_steps.end() && entry->first.m_job == job) {
        entry = m_steps.erase(entry);
    }
}

} // namespace peridotrudder
