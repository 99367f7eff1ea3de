#pragma once

/// @file
/// Passes calls of peers on to the owner, and its answers back.

#include "peridotrudder/ownership/node_messages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace peridotrudder {

/// Serves peers that have no direct links to the owner. Each call is passed on once, and none of
/// its copies is sent again: the peer does that. Not thread-safe.
class call_carrier {
public:
    /// Sends a message to a peer; returns whether the link accepted it.
    using sender = std::function<bool(const std::string& peer, const node_message& message)>;

    static call_carrier create(sender send);

    /// Sends a peer's call to the owner. Returns whether it was sent; if not, it never will be.
    bool pass_on(const std::string& from, const forwarded_job_call& message,
                 const std::string& owner, time_point now);
    /// Sends the owner's answer to the peer. Returns false if it is no answer to a passed call.
    bool take(const forwarded_job_answer& message);
    /// Answers all calls that are still open with `owner_ended`, since their answers may be lost.
    void end_open_calls();

    std::size_t open_calls() const { return m_calls.size(); }

private:
    struct passed_call {
        std::string m_origin;
        std::uint64_t m_number{0};
        time_point m_at;
    };

    void forget_old_calls(time_point now);

    sender m_send;
    /// By the number under which the owner knows the call, which rises with time.
    std::map<std::uint64_t, passed_call> m_calls;
    std::uint64_t m_next_number{0};
};

} // namespace peridotrudder
