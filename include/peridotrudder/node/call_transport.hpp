#pragma once

/// @file
/// Transports calls from the node that received them to the owner, and the answers back.

#include "peridotrudder/node/call_carrier.hpp"
#include "peridotrudder/ownership/node_messages.hpp"
#include "peridotrudder/scheduling/job_call.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>

namespace peridotrudder {

struct transport_ports {
    /// Sends a message to a peer; returns whether the link accepted it.
    std::function<bool(const std::string& peer, const node_message& message)> m_send;
    /// Passes a call to the owner in this process; returns false if there is none.
    std::function<bool(std::uint64_t token, const job_call& call)> m_take;
    /// Delivers the answer to a call of this process. Must not call into the transport directly.
    std::function<void(std::uint64_t number, const call_answer& answer)> m_deliver_answer;
    /// Returns the owner, in another process, that this one reaches without a peer's help; empty if
    /// there is none.
    std::function<std::string()> m_direct_owner;
    std::function<time_point()> m_now;
};

/// Both ends of the connection between an entry and the owner, and the peer between them if they
/// have no direct links. Not thread-safe; runs on the loop.
class call_transport {
public:
    static call_transport create(std::string self, transport_ports ports);

    /// Sends a call of this process to the owner. Returns whether it was sent.
    bool send(std::uint64_t number, const job_call& call, const std::string& owner);
    /// Sends a call of this process to a peer that passes it on to the owner. Returns whether it
    /// was sent.
    bool send_through(std::uint64_t number, const job_call& call, const std::string& peer);
    /// Receives a peer's call to the owner in this process. A copy of a call that is still open is
    /// not given to the owner: the same answer is sent for both. A call to an owner in another
    /// process is passed on if the message allows it.
    void take(const std::string& from, const forwarded_job_call& message);
    /// Receives the owner's answer to a call of this process or to one that it passed on.
    void take(const forwarded_job_answer& message);

    /// Sends the answer of the owner in this process to where the call came from.
    void answer(std::uint64_t token, const call_answer& answer);
    /// Answers all open calls with `owner_ended`.
    void end_open_calls();
    /// Tells the peers whose calls were passed on that the owner, or the link to it, has changed.
    void end_passed_calls() { m_carrier.end_open_calls(); }

private:
    /// Origin of a call: the peer, which may be this process, and the call's number there.
    struct call_origin {
        std::string m_peer;
        std::uint64_t m_number{0};

        friend bool operator<(const call_origin& left, const call_origin& right)
        {
            return std::tie(left.m_peer, left.m_number) < std::tie(right.m_peer, right.m_number);
        }
    };

    bool deliver_to_owner(const call_origin& origin, const job_call& call);
    void reply(const call_origin& origin, const call_answer& answer);

    std::string m_self;
    transport_ports m_ports;
    call_carrier m_carrier;
    /// Calls that the owner has accepted and not answered, by token.
    std::map<std::uint64_t, call_origin> m_open_calls;
    /// Number of copies received of each open call. The origin counts the answers to its copies.
    std::map<call_origin, int> m_copies;
    std::uint64_t m_next_token{1};
};

} // namespace peridotrudder
