#include "peridotrudder/node/call_router.hpp"

#include <algorithm>
#include <vector>

namespace peridotrudder {

namespace {

/// Returns whether the status says that the job was not accepted.
bool is_refusal(call_status status)
{
    return status == call_status::overloaded || status == call_status::unavailable ||
           status == call_status::unknown_queue || status == call_status::invalid ||
           status == call_status::unauthorized || status == call_status::body_too_long ||
           status == call_status::header_too_long;
}

/// Returns whether the answer says that the call changed nothing, which an earlier copy may have.
bool denies_change(call_kind kind, call_status status)
{
    return kind == call_kind::submit
               ? is_refusal(status)
               : kind == call_kind::cancel && status == call_status::unauthorized;
}

} // namespace

call_router call_router::create(router_options options, sender send)
{
    call_router made;
    made.m_options = options;
    made.m_send = std::move(send);
    return made;
}

void call_router::take(job_call call, milliseconds time_left, call_responder respond,
                       time_point now)
{
    const auto number = m_next_number++;
    pending_call pending;
    pending.m_call = std::move(call);
    pending.m_respond = std::move(respond);
    pending.m_deadline = now + std::max(time_left - m_options.m_answer_margin, milliseconds{0});
    pending.m_owner_deadline = now + m_options.m_ownerless_timeout;
    const auto added = m_calls.emplace(number, std::move(pending)).first;
    send(number, added->second);
}

void call_router::send(std::uint64_t number, pending_call& call)
{
    call.m_awaiting_answer = m_send(number, call.m_call);
    call.m_unresolved_sends += call.m_awaiting_answer ? 1 : 0;
}

void call_router::finish(std::uint64_t number, const call_answer& answer)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end()) {
        return;
    }
    const auto respond = std::move(found->second.m_respond);
    m_calls.erase(found);
    respond(answer);
}

void call_router::answered(std::uint64_t number, const call_answer& answer, time_point /*now*/)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end()) {
        return;
    }
    if (answer.m_status == call_status::owner_ended) {
        found->second.m_awaiting_answer = false;
        return;
    }
    if (answer.m_status == call_status::not_owner) {
        // The receiver did nothing; the call is sent to the owner as soon as one is known.
        found->second.m_awaiting_answer = false;
        --found->second.m_unresolved_sends;
        return;
    }
    auto& pending = found->second;
    if (denies_change(pending.m_call.m_kind, answer.m_status)) {
        --pending.m_unresolved_sends;
        if (pending.m_unresolved_sends > 0) {
            // Another copy may still be accepted: the outcome is known only when that is
            // answered. A key may be removed between two copies.
            return;
        }
    }
    finish(number, answer);
}

void call_router::owner_changed(time_point /*now*/)
{
    std::vector<std::uint64_t> numbers;
    for (const auto& entry : m_calls) {
        numbers.push_back(entry.first);
    }
    for (const auto number : numbers) {
        const auto found = m_calls.find(number);
        if (found != m_calls.end()) {
            send(number, found->second);
        }
    }
}

void call_router::owner_lost(time_point now)
{
    for (auto& [number, call] : m_calls) {
        call.m_awaiting_answer = false;
        call.m_owner_deadline =
            std::max(call.m_owner_deadline, now + m_options.m_ownerless_timeout);
    }
}

void call_router::tick(time_point now)
{
    std::vector<std::pair<std::uint64_t, call_answer>> expired;
    for (auto& [number, call] : m_calls) {
        if (!call.m_awaiting_answer) {
            send(number, call);
        }
        const bool no_owner = call.m_unresolved_sends == 0 && now >= call.m_owner_deadline;
        if (now < call.m_deadline && !no_owner) {
            continue;
        }
        call_answer answer;
        // A call that was sent may have been recorded, which only the owner knows.
        answer.m_status =
            call.m_unresolved_sends > 0 ? call_status::unknown_outcome : call_status::unavailable;
        answer.m_retry_after = m_options.m_retry_after;
        expired.emplace_back(number, answer);
    }
    for (const auto& [number, answer] : expired) {
        finish(number, answer);
    }
}

} // namespace peridotrudder
