#include "peridotrudder/routing/work_queue.hpp"

#include <tuple>

namespace peridotrudder {

bool work_queue::higher_priority_first::operator()(const queued_work& left,
                                                   const queued_work& right) const
{
    return std::tie(left.m_class, left.m_deadline, left.m_ticket) <
           std::tie(right.m_class, right.m_deadline, right.m_ticket);
}

work_queue::ordered_work& work_queue::queue_for(const queued_work& work)
{
    return work.m_long ? m_long : m_short;
}

void work_queue::push(const queued_work& work)
{
    const auto [position, inserted] = queue_for(work).insert(work);
    if (!inserted) {
        return;
    }
    m_by_ticket[work.m_ticket] = position;
    m_by_deadline.emplace(work.m_deadline, work.m_ticket);
    if (!work.m_long) {
        ++m_short_by_class.at(static_cast<std::size_t>(work.m_class));
    }
}

std::optional<queued_work> work_queue::pop(bool allow_long, work_class lowest_class)
{
    const auto has_eligible = [lowest_class](const ordered_work& queue) {
        return !queue.empty() && queue.begin()->m_class <= lowest_class;
    };
    const bool has_short = has_eligible(m_short);
    const bool has_long = allow_long && has_eligible(m_long);
    if (!has_short && !has_long) {
        return std::nullopt;
    }
    const bool take_long =
        has_long && (!has_short || higher_priority_first{}(*m_long.begin(), *m_short.begin()));
    const queued_work next = take_long ? *m_long.begin() : *m_short.begin();
    remove(next);
    return next;
}

bool work_queue::cancel(std::uint64_t ticket)
{
    const auto found = m_by_ticket.find(ticket);
    if (found == m_by_ticket.end()) {
        return false;
    }
    const queued_work work = *found->second;
    remove(work);
    return true;
}

std::vector<queued_work> work_queue::take_expired(time_point now)
{
    std::vector<queued_work> expired;
    while (!m_by_deadline.empty() && m_by_deadline.begin()->first <= now) {
        const queued_work work = *m_by_ticket.at(m_by_deadline.begin()->second);
        expired.push_back(work);
        remove(work);
    }
    return expired;
}

std::size_t work_queue::waiting_short(work_class priority) const
{
    return m_short_by_class.at(static_cast<std::size_t>(priority));
}

void work_queue::remove(const queued_work& work)
{
    const auto found = m_by_ticket.find(work.m_ticket);
    m_by_deadline.erase({work.m_deadline, work.m_ticket});
    if (!work.m_long) {
        --m_short_by_class.at(static_cast<std::size_t>(work.m_class));
    }
    queue_for(work).erase(found->second);
    m_by_ticket.erase(found);
}

} // namespace peridotrudder
