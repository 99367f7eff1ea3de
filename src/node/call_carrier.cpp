#include "peridotrudder/node/call_carrier.hpp"

#include <utility>

namespace peridotrudder {

namespace {

/// Numbers of passed calls start here, so that they differ from those of this node's own calls.
constexpr std::uint64_t first_number = std::uint64_t{1} << 62U;
/// Longer than any caller waits.
constexpr milliseconds max_call_age{30'000};

} // namespace

call_carrier call_carrier::create(sender send)
{
    call_carrier made;
    made.m_send = std::move(send);
    made.m_next_number = first_number;
    return made;
}

bool call_carrier::pass_on(const std::string& from, const forwarded_job_call& message,
                           const std::string& owner, time_point now)
{
    forget_old_calls(now);
    if (owner.empty() || owner == from) {
        return false;
    }
    const auto number = m_next_number++;
    // Without the permission to pass it on: a call takes one hop.
    if (!m_send(owner, forwarded_job_call{number, message.m_call})) {
        return false;
    }
    m_calls[number] = {from, message.m_number, now};
    return true;
}

bool call_carrier::take(const forwarded_job_answer& message)
{
    if (message.m_number < first_number) {
        return false;
    }
    const auto found = m_calls.find(message.m_number);
    if (found != m_calls.end()) {
        m_send(found->second.m_origin,
               forwarded_job_answer{found->second.m_number, message.m_answer});
        m_calls.erase(found);
    }
    return true;
}

void call_carrier::end_open_calls()
{
    const auto ended = std::move(m_calls);
    m_calls.clear();
    for (const auto& [number, call] : ended) {
        m_send(call.m_origin,
               forwarded_job_answer{call.m_number,
                                    {call_status::owner_ended, {}, 0, milliseconds{0}}});
    }
}

void call_carrier::forget_old_calls(time_point now)
{
    while (!m_calls.empty() && now - m_calls.begin()->second.m_at > max_call_age) {
        m_calls.erase(m_calls.begin());
    }
}

} // namespace peridotrudder
