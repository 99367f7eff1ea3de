#include "peridotrudder/entry/call_forwarder.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace peridotrudder {

namespace {

/// Pause before a call is sent again that could not be sent or whose home had moved.
constexpr milliseconds resend_pause{50};
/// Pause before a call is sent again in case the answer was lost with a link.
constexpr milliseconds repeat_pause{2'000};

} // namespace

call_forwarder::call_forwarder(std::string self, milliseconds patience, hooks wired)
    : m_self{std::move(self)},
      m_patience{patience},
      m_hooks{std::move(wired)}
{
}

void call_forwarder::forward(const call_ptr& submitted)
{
    const auto now = std::chrono::steady_clock::now();
    forwarded entry;
    entry.m_call = submitted;
    entry.m_give_up = submitted->m_wait_until + m_patience;
    const std::lock_guard<std::mutex> lock{m_mutex};
    send(entry, now);
    m_forwarded[submitted->m_request_id] = std::move(entry);
}

void call_forwarder::send(forwarded& each, time_point now)
{
    const auto& submitted = *each.m_call;
    each.m_home = m_hooks.m_home_of(submitted);
    forwarded_call message;
    message.m_request = static_cast<const call_request&>(submitted);
    message.m_traceparent = submitted.m_trace.to_traceparent();
    message.m_time_to_wait = remaining(now, submitted.m_wait_until);
    const bool sent = m_hooks.m_send(each.m_home, message);
    each.m_sent = each.m_sent || sent;
    each.m_next_send = now + (sent ? repeat_pause : resend_pause);
}

void call_forwarder::receive(const std::string& from, const forwarded_reply& message)
{
    call_ptr answered;
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        const auto found = m_forwarded.find(message.m_request_id);
        if (found == m_forwarded.end()) {
            return;
        }
        auto& entry = found->second;
        const auto& result = message.m_outcome;
        if (result.m_refusal == refusal::home_moved) {
            const auto soon = std::chrono::steady_clock::now() + resend_pause;
            entry.m_next_send = std::min(entry.m_next_send, soon);
            return;
        }
        // Only the member that has the call now can say that it was not run.
        if (result.m_execution_status != execution_status::done && from != entry.m_home) {
            return;
        }
        answered = entry.m_call;
        m_forwarded.erase(found);
    }
    m_hooks.m_conclude(answered, message.m_outcome);
}

void call_forwarder::tick(time_point now)
{
    std::vector<std::pair<call_ptr, outcome>> given_up;
    std::vector<call_ptr> taken_back;
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        for (auto each = m_forwarded.begin(); each != m_forwarded.end();) {
            auto& entry = each->second;
            const auto home = m_hooks.m_home_of(*entry.m_call);
            const bool over = now >= (entry.m_sent ? entry.m_give_up : entry.m_call->m_wait_until);
            if (over) {
                given_up.emplace_back(entry.m_call, entry.m_sent
                                                        ? outcome_unknown(refusal::home_unreachable)
                                                        : not_run(refusal::home_unreachable, true));
                each = m_forwarded.erase(each);
                continue;
            }
            if (home == m_self) {
                taken_back.push_back(entry.m_call);
                each = m_forwarded.erase(each);
                continue;
            }
            if (home != entry.m_home || now >= entry.m_next_send) {
                send(entry, now);
            }
            ++each;
        }
    }
    for (const auto& [ended, result] : given_up) {
        m_hooks.m_conclude(ended, result);
    }
    for (const auto& each : taken_back) {
        m_hooks.m_take_back(each);
    }
}

call_ptr make_forwarded_call(const forwarded_call& message, time_point now)
{
    auto made = std::make_shared<call>();
    static_cast<call_request&>(*made) = message.m_request;
    made->m_trace = parse_traceparent(message.m_traceparent).value_or(new_trace());
    made->m_local = false;
    made->m_received = now;
    made->m_wait_until = now + message.m_time_to_wait;
    return made;
}

} // namespace peridotrudder
