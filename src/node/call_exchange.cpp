#include "peridotrudder/node/call_exchange.hpp"

#include <utility>

namespace peridotrudder {

call_exchange call_exchange::create(std::string self, exchange_ports ports)
{
    call_exchange made;
    made.m_self = std::move(self);
    made.m_ports = std::move(ports);
    return made;
}

bool call_exchange::send(std::uint64_t number, const job_call& call, const std::string& owner)
{
    if (owner.empty()) {
        return false;
    }
    if (owner != m_self) {
        return m_ports.m_send(owner, forwarded_job_call{number, call});
    }
    return hand_to_owner({m_self, number}, call);
}

void call_exchange::take(const std::string& from, const forwarded_job_call& message)
{
    const call_origin origin{from, message.m_number};
    if (!hand_to_owner(origin, message.m_call)) {
        reply(origin, {call_status::not_owner, {}, 0, milliseconds{0}});
    }
}

void call_exchange::take(const forwarded_job_answer& message)
{
    m_ports.m_deliver(message.m_number, message.m_answer);
}

bool call_exchange::hand_to_owner(const call_origin& origin, const job_call& call)
{
    // Noted first: the owner may answer at once.
    const auto token = m_next_token++;
    m_taken[token] = origin;
    if (!m_ports.m_take(token, call)) {
        m_taken.erase(token);
        return false;
    }
    return true;
}

void call_exchange::answer(std::uint64_t token, const call_answer& answer)
{
    const auto found = m_taken.find(token);
    if (found == m_taken.end()) {
        return;
    }
    const auto origin = std::move(found->second);
    m_taken.erase(found);
    reply(origin, answer);
}

void call_exchange::end_all()
{
    const auto taken = std::move(m_taken);
    m_taken.clear();
    for (const auto& [token, origin] : taken) {
        reply(origin, {call_status::owner_ended, {}, 0, milliseconds{0}});
    }
}

void call_exchange::reply(const call_origin& origin, const call_answer& answer)
{
    if (origin.m_peer == m_self) {
        m_ports.m_deliver(origin.m_number, answer);
        return;
    }
    m_ports.m_send(origin.m_peer, forwarded_job_answer{origin.m_number, answer});
}

} // namespace peridotrudder
