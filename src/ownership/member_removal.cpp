#include "peridotrudder/ownership/member_removal.hpp"

#include <algorithm>

namespace peridotrudder {

removal_step member_removal::tick(const std::vector<watched_process>& processes, time_point now)
{
    watch(processes, now);
    if (m_question) {
        return judge(now);
    }
    return next_question(processes, now);
}

void member_removal::reset()
{
    m_unlinked_since.clear();
    m_ask_again_at.clear();
    m_looked_at.reset();
    m_question.reset();
}

void member_removal::watch(const std::vector<watched_process>& processes, time_point now)
{
    if (m_looked_at && now - *m_looked_at > m_options.m_longest_gap) {
        reset();
    }
    m_looked_at = now;
    std::map<std::string, time_point> unlinked_since;
    for (const auto& process : processes) {
        if (!process.m_linked) {
            const auto before = m_unlinked_since.find(process.m_incarnation);
            unlinked_since[process.m_incarnation] =
                before == m_unlinked_since.end() ? now : before->second;
        }
    }
    m_unlinked_since = std::move(unlinked_since);
    for (auto position = m_ask_again_at.begin(); position != m_ask_again_at.end();) {
        const bool watched = m_unlinked_since.count(position->first) != 0;
        position = watched ? std::next(position) : m_ask_again_at.erase(position);
    }
    if (m_question && m_unlinked_since.count(m_question->m_incarnation) == 0) {
        m_question.reset();
    }
}

removal_step member_removal::next_question(const std::vector<watched_process>& processes,
                                           time_point now)
{
    std::set<std::string> linked;
    for (const auto& process : processes) {
        if (process.m_linked) {
            linked.insert(process.m_incarnation);
        }
    }
    if (linked.empty()) {
        return {};
    }
    for (const auto& [incarnation, since] : m_unlinked_since) {
        const auto again = m_ask_again_at.find(incarnation);
        const bool pausing = again != m_ask_again_at.end() && now < again->second;
        if (pausing || now - since < m_options.m_remove_after) {
            continue;
        }
        m_ask_again_at[incarnation] = now + m_options.m_ask_interval;
        m_question = question{incarnation, ++m_last_number, now, std::move(linked), {}};
        return {removal_step::action::ask_peers, incarnation, m_last_number};
    }
    return {};
}

removal_step member_removal::judge(time_point now)
{
    const auto& answers = m_question->m_answers;
    const bool complete = answers.size() == m_question->m_asked.size();
    const bool linked_somewhere = std::any_of(answers.begin(), answers.end(),
                                              [](const auto& answer) { return answer.second; });
    if (!complete && !linked_somewhere && now - m_question->m_asked_at < m_options.m_ask_timeout) {
        return {};
    }
    const bool most_answered = answers.size() * 2 > m_question->m_asked.size();
    const auto incarnation = m_question->m_incarnation;
    m_question.reset();
    if (linked_somewhere || !most_answered) {
        return {};
    }
    return {removal_step::action::remove, incarnation, m_last_number};
}

void member_removal::peer_view(const std::string& peer, std::uint64_t number, bool linked)
{
    if (m_question && m_question->m_number == number && m_question->m_asked.count(peer) != 0) {
        m_question->m_answers[peer] = linked;
    }
}

} // namespace peridotrudder
