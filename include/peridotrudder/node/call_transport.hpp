#pragma once

/// @file
/// Carries callers' calls from the node that took them to the owner, and the answers back.

#include "peridotrudder/ownership/node_messages.hpp"
#include "peridotrudder/scheduling/job_call.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace peridotrudder {

struct transport_ports {
    /// Sends a message; returns whether it was handed to the link.
    std::function<bool(const std::string& peer, const node_message& message)> m_send;
    /// Hands a call to the owner in this process; returns false if there is none.
    std::function<bool(std::uint64_t token, const job_call& call)> m_take;
    /// Hands the answer to a call of this process back; must not call back at once.
    std::function<void(std::uint64_t number, const call_answer& answer)> m_deliver_answer;
};

/// Both ends of the way between an entry and the owner. Not thread-safe; runs on the loop.
class call_transport {
public:
    static call_transport create(std::string self, transport_ports ports);

    /// Sends a call of this process to the owner. Returns whether it left.
    bool send(std::uint64_t number, const job_call& call, const std::string& owner);
    /// Takes a peer's call to the owner in this process.
    void take(const std::string& from, const forwarded_job_call& message);
    /// Takes the owner's answer to a call of this process.
    void take(const forwarded_job_answer& message);

    /// Answers a call that the owner in this process has taken.
    void answer(std::uint64_t token, const call_answer& answer);
    /// Tells all callers whose calls are not answered that the owner has ended.
    void end_open_calls();

private:
    /// Where a call came from: a peer and its number there. The peer may be this process.
    struct call_origin {
        std::string m_peer;
        std::uint64_t m_number{0};
    };

    bool deliver_to_owner(const call_origin& origin, const job_call& call);
    void reply(const call_origin& origin, const call_answer& answer);

    std::string m_self;
    transport_ports m_ports;
    /// Calls that the owner has taken, by token.
    std::map<std::uint64_t, call_origin> m_open_calls;
    std::uint64_t m_next_token{1};
};

} // namespace peridotrudder
