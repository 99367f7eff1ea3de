#pragma once

/// @file
/// Brings callers' calls to the owner and its answers back, through changes of the owner.

#include "peridotrudder/base/clock.hpp"
#include "peridotrudder/scheduling/job_call.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace peridotrudder {

using call_responder = std::function<void(const call_answer&)>;

struct router_options {
    /// Time before a caller's deadline at which it is answered at the latest.
    milliseconds m_answer_margin{60};
    /// Time for which a call waits while no owner is known. A change of owner is usually faster.
    milliseconds m_ownerless_timeout{1'200};
    milliseconds m_retry_after{1'000};
};

/// Keeps each call until it is answered. All calls are idempotent by the job's id, so a call whose
/// owner is lost is sent again to the next one. Not thread-safe.
class call_router {
public:
    /// Sends a call with its number to the owner; returns whether it left.
    using sender = std::function<bool(std::uint64_t number, const job_call& call)>;

    static call_router create(router_options options, sender send);

    void take(job_call call, milliseconds time_left, call_responder respond, time_point now);
    /// Takes the owner's answer.
    void answered(std::uint64_t number, const call_answer& answer, time_point now);
    /// Sends everything again: the owner has changed, or the link to it is new.
    void owner_changed(time_point now);
    /// Notes that there is no owner to send to.
    void owner_lost(time_point now);
    /// Answers what has run out of time.
    void tick(time_point now);

    std::size_t waiting() const { return m_calls.size(); }

private:
    struct pending_call {
        job_call m_call;
        call_responder m_respond;
        time_point m_deadline;
        /// Until when it waits for an owner without having been sent.
        time_point m_owner_deadline;
        /// Times that it was sent to an owner that has not said that it did nothing.
        int m_unresolved_sends{0};
        bool m_awaiting_answer{false};
    };

    void send(std::uint64_t number, pending_call& each);
    void finish(std::uint64_t number, const call_answer& answer);

    router_options m_options;
    sender m_send;
    std::map<std::uint64_t, pending_call> m_calls;
    std::uint64_t m_next_number{1};
};

} // namespace peridotrudder
