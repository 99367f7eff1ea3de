#include "peridotrudder/node/call_transport.hpp"

#include <utility>

namespace peridotrudder {

call_transport call_transport::create(std::string self, transport_ports ports)
{
    call_transport made;
    made.m_self = std::move(self);
    made.m_ports = std::move(ports);
    made.m_carrier = call_carrier::create(made.m_ports.m_send);
    return made;
}

bool call_transport::send(std::uint64_t number, const job_call& call, const std::string& owner)
{
    if (owner.empty()) {
        return false;
    }
    if (owner != m_self) {
        return m_ports.m_send(owner, forwarded_job_call{number, call});
    }
    return deliver_to_owner({m_self, number}, call);
}

bool call_transport::send_through(std::uint64_t number, const job_call& call,
                                  const std::string& peer)
{
    return m_ports.m_send(peer, forwarded_job_call{number, call, true});
}

void call_transport::take(const std::string& from, const forwarded_job_call& message)
{
    const call_origin origin{from, message.m_number};
    if (deliver_to_owner(origin, message.m_call)) {
        return;
    }
    if (message.m_may_pass_on.value_or(false) &&
        m_carrier.pass_on(from, message, m_ports.m_direct_owner(), m_ports.m_now())) {
        return;
    }
    // Neither taken nor passed on.
    reply(origin, {call_status::not_owner, {}, 0, milliseconds{0}});
}

void call_transport::take(const forwarded_job_answer& message)
{
    if (!m_carrier.take(message)) {
        m_ports.m_deliver_answer(message.m_number, message.m_answer);
    }
}

bool call_transport::deliver_to_owner(const call_origin& origin, const job_call& call)
{
    if (++m_copies[origin] > 1) {
        return true;
    }
    // Inserted first, because the owner may answer during the call.
    const auto token = m_next_token++;
    m_open_calls[token] = origin;
    if (!m_ports.m_take(token, call)) {
        m_open_calls.erase(token);
        m_copies.erase(origin);
        return false;
    }
    return true;
}

void call_transport::answer(std::uint64_t token, const call_answer& answer)
{
    const auto found = m_open_calls.find(token);
    if (found == m_open_calls.end()) {
        return;
    }
    const auto origin = std::move(found->second);
    m_open_calls.erase(found);
    const auto copies = m_copies[origin];
    m_copies.erase(origin);
    for (int copy = 0; copy < copies; ++copy) {
        reply(origin, answer);
    }
}

void call_transport::end_open_calls()
{
    const auto taken = std::move(m_open_calls);
    m_open_calls.clear();
    m_copies.clear();
    for (const auto& [token, origin] : taken) {
        reply(origin, {call_status::owner_ended, {}, 0, milliseconds{0}});
    }
}

void call_transport::reply(const call_origin& origin, const call_answer& answer)
{
    if (origin.m_peer == m_self) {
        m_ports.m_deliver_answer(origin.m_number, answer);
        return;
    }
    m_ports.m_send(origin.m_peer, forwarded_job_answer{origin.m_number, answer});
}

} // namespace peridotrudder
