#pragma once

/// @file
/// Calls that this entry forwards to the home of their idempotency key.

#include "peridotrudder/entry/call.hpp"
#include "peridotrudder/links/peer_messages.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace peridotrudder {

/// Forwards calls to the home of their key and resends them until it answers.
///
/// A call is resent when the home changes, when the link was down, and periodically in case the
/// answer was lost. The idempotency key makes repeats harmless. Thread-safe.
class call_forwarder {
public:
    struct hooks {
        /// Returns the home of a call's key; empty while there is none.
        std::function<std::string(const call&)> m_home_of;
        /// Sends a message; returns whether it was handed to the link.
        std::function<bool(const std::string& to, const peer_message&)> m_send;
        /// Delivers the outcome of a forwarded call.
        std::function<void(const call_ptr&, const outcome&)> m_deliver_outcome;
        /// Handles a call here after this entry has become the home of its key.
        std::function<void(const call_ptr&)> m_handle_locally;
    };

    /// `timeout` is the time that a home may take to answer after the call's `m_wait_until`.
    call_forwarder(std::string self, milliseconds timeout, hooks callbacks);

    void forward(const call_ptr& submitted);
    void receive(const std::string& from, const forwarded_reply& message);
    void tick(time_point now);

private:
    struct forwarded {
        call_ptr m_call;
        std::string m_home;
        bool m_sent{false};
        time_point m_next_send;
        time_point m_give_up;
    };

    void send(forwarded& pending, time_point now);

    std::string m_self;
    milliseconds m_timeout;
    hooks m_hooks;
    std::mutex m_mutex;
    std::map<std::string, forwarded> m_forwarded;
};

/// Returns the call that another entry forwarded; the caller must set `m_respond`.
call_ptr make_forwarded_call(const forwarded_call& message, time_point now);

} // namespace peridotrudder
