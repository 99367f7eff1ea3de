#pragma once

/// @file
/// Routes calls to the current owner and retries them when the owner changes.

#include "peridotrudder/base/clock.hpp"
#include "peridotrudder/scheduling/job_call.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace peridotrudder {

using call_responder = std::function<void(const call_answer&)>;

struct router_options {
    /// A call is answered at least this long before the caller's deadline.
    milliseconds m_answer_margin{60};
    /// How long a call waits while no owner is known. A change of owner usually takes less.
    milliseconds m_ownerless_timeout{1'200};
    milliseconds m_retry_after{1'000};
};

/// Keeps each call until it is answered. Calls are idempotent by the job's id, so a call whose
/// owner is lost is sent again to its successor. Not thread-safe.
class call_router {
public:
    /// Sends a call with its number to the owner; returns whether it was sent.
    using sender = std::function<bool(std::uint64_t number, const job_call& call)>;

    static call_router create(router_options options, sender send);

    void take(job_call call, milliseconds time_left, call_responder respond, time_point now);
    /// Handles the owner's answer.
    void answered(std::uint64_t number, const call_answer& answer, time_point now);
    /// Sends all calls again, because the owner or the link to it is new.
    void owner_changed(time_point now);
    /// Handles the loss of the owner: calls wait for the next one.
    void owner_lost(time_point now);
    /// Sends calls that wait for an owner, and answers those that have timed out.
    void tick(time_point now);

    std::size_t waiting() const { return m_calls.size(); }

private:
    struct pending_call {
        job_call m_call;
        call_responder m_respond;
        time_point m_deadline;
        /// Time until which the call waits for an owner if it was never sent.
        time_point m_owner_deadline;
        /// Number of sends that may have taken effect: neither refused nor sent to a non-owner.
        int m_unresolved_sends{0};
        bool m_awaiting_answer{false};
    };

    void send(std::uint64_t number, pending_call& call);
    void finish(std::uint64_t number, const call_answer& answer);

    router_options m_options;
    sender m_send;
    std::map<std::uint64_t, pending_call> m_calls;
    std::uint64_t m_next_number{1};
};

} // namespace peridotrudder
