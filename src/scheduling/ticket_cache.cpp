#include "peridotrudder/scheduling/ticket_cache.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

/// A call costs time for each worker in it: more of them delay the first start.
constexpr std::size_t most_workers = 30;
/// A ticket is used only while it surely is valid when its start arrives.
constexpr milliseconds validity_margin{250};
/// Beyond what the service needs by its own figures.
constexpr milliseconds patience_margin{2'000};
/// Pause after a question without an answer.
constexpr milliseconds ask_again{300};

} // namespace

std::string ticket_cache::ticket_for(const step_key& step, const worker_instance& where,
                                     time_point now) const
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end()) {
        return {};
    }
    const auto held = found->second.m_held.find(where.m_worker);
    const bool valid = held != found->second.m_held.end() && held->second.m_instance == where &&
                       now < held->second.m_valid_until;
    return valid ? held->second.m_ticket : std::string{};
}

void ticket_cache::want(const step_key& step, const placement_policy& policy,
                        const std::vector<worker_instance>& with_room, time_point now)
{
    const auto& ruled_out = m_steps[step].m_ruled_out;
    policy_request question;
    question.m_step = step;
    for (const auto& each : with_room) {
        if (question.m_workers.size() < most_workers && ruled_out.count(each.m_worker) == 0 &&
            ticket_for(step, each, now).empty()) {
            question.m_workers.push_back(each);
        }
    }
    if (question.m_workers.empty()) {
        return;
    }
    const auto count = static_cast<std::int64_t>(question.m_workers.size());
    question.m_patience = policy.m_decide + policy.m_per_worker * count + patience_margin;
    m_wanted.push_back(std::move(question));
}

std::optional<policy_request> ticket_cache::next_policy_request(time_point now)
{
    const auto wanted = std::move(m_wanted);
    m_wanted.clear();
    if (wanted.empty() || m_asked || now < m_next_request_at) {
        // Whoever still waits says so again.
        return std::nullopt;
    }
    m_asked = wanted.front();
    return m_asked;
}

std::string ticket_cache::answered(const policy_answer& answer, time_point now)
{
    if (!m_asked) {
        return {};
    }
    const auto question = std::move(*m_asked);
    m_asked.reset();
    if (!answer.m_answered) {
        m_next_request_at = now + ask_again;
        return question.m_step.m_job;
    }
    const auto found = m_steps.find(question.m_step);
    if (found == m_steps.end()) {
        // The job has ended meanwhile.
        return question.m_step.m_job;
    }
    for (const auto& each : question.m_workers) {
        const auto granted = std::find_if(
            answer.m_granted.begin(), answer.m_granted.end(),
            [&each](const granted_ticket& ticket) { return ticket.m_worker == each.m_worker; });
        if (granted == answer.m_granted.end()) {
            found->second.m_ruled_out.insert(each.m_worker);
            continue;
        }
        found->second.m_held[each.m_worker] = {granted->m_ticket, each,
                                               now + answer.m_valid - validity_margin};
    }
    return question.m_step.m_job;
}

void ticket_cache::reject(const step_key& step, const worker_instance& where)
{
    const auto found = m_steps.find(step);
    if (found != m_steps.end()) {
        found->second.m_held.erase(where.m_worker);
    }
}

void ticket_cache::drop_job(const std::string& job)
{
    auto each = m_steps.lower_bound({job, 0, 0});
    while (each != m_steps.end() && each->first.m_job == job) {
        each = m_steps.erase(each);
    }
}

} // namespace peridotrudder
