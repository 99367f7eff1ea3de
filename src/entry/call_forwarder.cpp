#include "peridotrudder/entry/call_forwarder.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace peridotrudder {

namespace {

/// Delay before a call is resent that could not be sent or whose home had moved.
constexpr milliseconds resend_delay{50};
/// Interval at which a sent call is repeated, in case a broken link lost the answer.
constexpr milliseconds repeat_interval{2'000};

} // namespace

call_forwarder::call_forwarder(std::string self, milliseconds timeout, hooks callbacks)
    : m_self{std::move(self)},
      m_timeout{timeout},
      m_hooks{std::move(callbacks)}
{
}

void call_forwarder::forward(const call_ptr& submitted)
{
    const auto now = std::chrono::steady_clock::now();
    forwarded pending;
    pending.m_call = submitted;
    pending.m_give_up = submitted->m_wait_until + m_timeout;
    const std::lock_guard<std::mutex> lock{m_mutex};
    send(pending, now);
    m_forwarded[submitted->m_request_id] = std::move(pending);
}

void call_forwarder::send(forwarded& pending, time_point now)
{
    const auto& submitted = *pending.m_call;
    pending.m_home = m_hooks.m_home_of(submitted);
    forwarded_call message;
    message.m_request = static_cast<const call_request&>(submitted);
    message.m_traceparent = submitted.m_trace.to_traceparent();
    message.m_time_to_wait = remaining(now, submitted.m_wait_until);
    const bool sent = m_hooks.m_send(pending.m_home, message);
    pending.m_sent = pending.m_sent || sent;
    pending.m_next_send = now + (sent ? repeat_interval : resend_delay);
}

void call_forwarder::receive(const std::string& from, const forwarded_reply& message)
{
    call_ptr answered;
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        const auto position = m_forwarded.find(message.m_request_id);
        if (position == m_forwarded.end()) {
            return;
        }
        auto& pending = position->second;
        const auto& result = message.m_outcome;
        if (result.m_refusal == refusal::home_moved) {
            const auto earliest_resend = std::chrono::steady_clock::now() + resend_delay;
            pending.m_next_send = std::min(pending.m_next_send, earliest_resend);
            return;
        }
        // Only the member that the call was last sent to can prove that it was not run.
        if (result.m_execution_status != execution_status::done && from != pending.m_home) {
            return;
        }
        answered = pending.m_call;
        m_forwarded.erase(position);
    }
    m_hooks.m_deliver_outcome(answered, message.m_outcome);
}

void call_forwarder::tick(time_point now)
{
    std::vector<std::pair<call_ptr, outcome>> timed_out_calls;
    std::vector<call_ptr> moved_here;
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        for (auto position = m_forwarded.begin(); position != m_forwarded.end();) {
            auto& pending = position->second;
            const auto home = m_hooks.m_home_of(*pending.m_call);
            const bool timed_out =
                now >= (pending.m_sent ? pending.m_give_up : pending.m_call->m_wait_until);
            if (timed_out) {
                timed_out_calls.emplace_back(
                    pending.m_call, pending.m_sent ? outcome_unknown(refusal::home_unreachable)
                                                   : not_run(refusal::home_unreachable, true));
                position = m_forwarded.erase(position);
                continue;
            }
            if (home == m_self) {
                moved_here.push_back(pending.m_call);
                position = m_forwarded.erase(position);
                continue;
            }
            if (home != pending.m_home || now >= pending.m_next_send) {
                send(pending, now);
            }
            ++position;
        }
    }
    for (const auto& [ended, result] : timed_out_calls) {
        m_hooks.m_deliver_outcome(ended, result);
    }
    for (const auto& submitted : moved_here) {
        m_hooks.m_handle_locally(submitted);
    }
}

call_ptr make_forwarded_call(const forwarded_call& message, time_point now)
{
    auto incoming = std::make_shared<call>();
    static_cast<call_request&>(*incoming) = message.m_request;
    incoming->m_trace = parse_traceparent(message.m_traceparent).value_or(new_trace());
    incoming->m_local = false;
    incoming->m_received = now;
    incoming->m_wait_until = now + message.m_time_to_wait;
    return incoming;
}

} // namespace peridotrudder
