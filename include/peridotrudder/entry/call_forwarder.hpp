#pragma once

/// @file
/// Calls that another entry, the home of their key, handles for this one.

#include "peridotrudder/entry/call.hpp"
#include "peridotrudder/links/peer_messages.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace peridotrudder {

/// Passes calls to the home of their key until it answers.
///
/// A call goes to the home again when the home changes, when the link was down, and now and then in
/// case the answer was lost: the key makes that harmless. Thread-safe.
class call_forwarder {
public:
    struct hooks {
        /// Returns the home of a call's key; empty while there is none.
        std::function<std::string(const call&)> m_home_of;
        /// Sends a message; returns whether it was handed to the link.
        std::function<bool(const std::string& to, const peer_message&)> m_send;
        /// Takes the outcome of a forwarded call.
        std::function<void(const call_ptr&, const outcome&)> m_deliver_outcome;
        /// Takes a call whose home this entry has become.
        std::function<void(const call_ptr&)> m_handle_locally;
    };

    /// `patience` is how long a home may take beyond the call's own time to wait.
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

/// Returns the call that another entry forwarded, without a way to respond yet.
call_ptr make_forwarded_call(const forwarded_call& message, time_point now);

} // namespace peridotrudder
