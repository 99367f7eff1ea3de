#include "peridotrudder/ownership/self_registration.hpp"

#include "peridotrudder/base/packed_cbor.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace peridotrudder {

namespace {

bool started_later(const node_record& left, const node_record& right)
{
    return std::tie(left.m_started_ms, left.m_incarnation) >
           std::tie(right.m_started_ms, right.m_incarnation);
}

} // namespace

self_registration self_registration::create(registration_options options, registration_ports ports)
{
    auto state = std::make_shared<shared_state>();
    state->m_value = to_packed_cbor(options.m_self);
    state->m_pause = options.m_shortest_pause;
    state->m_options = std::move(options);
    state->m_ports = std::move(ports);
    return self_registration{std::move(state)};
}

void self_registration::start()
{
    write();
}

void self_registration::take(const std::vector<keyed_record>& records, bool snapshot,
                             std::uint64_t end)
{
    m_state->m_end = end;
    const auto key = std::string{node_key_prefix} + m_state->m_options.m_self.m_name;
    const auto newest = std::find_if(records.rbegin(), records.rend(),
                                     [&key](const auto& record) { return record.m_key == key; });
    if (newest != records.rend()) {
        take_own_key(*newest);
    }
    else if (snapshot) {
        find(finding::missing, "not in a snapshot");
    }
    tick();
}

void self_registration::take_own_key(const keyed_record& record)
{
    if (!record.m_value) {
        find(finding::missing, fmt::format("deleted at offset {}", record.m_offset));
        return;
    }
    if (*record.m_value == m_state->m_value) {
        find(finding::own, {});
        return;
    }
    const auto other = from_packed_cbor<node_record>(*record.m_value);
    if (!other) {
        find(finding::unreadable, fmt::format("offset {}", record.m_offset));
        return;
    }
    m_state->m_other = *other;
    m_state->m_other_linked_at = m_state->m_ports.m_loop.m_now().m_at;
    find(finding::other,
         fmt::format("{} at {}:{}", other->m_incarnation, other->m_address, other->m_port));
}

void self_registration::find(finding found, std::string detail)
{
    const auto before = std::exchange(m_state->m_found, found);
    const auto& log = m_state->m_ports.m_log_event;
    switch (found) {
    case finding::unread:
        return;
    case finding::own:
        if (before != finding::own) {
            m_state->m_own_since = m_state->m_ports.m_loop.m_now().m_at;
        }
        return;
    case finding::missing:
        log("registration_missing", std::move(detail));
        return;
    case finding::other:
        log("registration_replaced", std::move(detail));
        return;
    case finding::unreadable:
        log("registration_unreadable", std::move(detail));
        return;
    }
}

void self_registration::tick()
{
    const auto now = m_state->m_ports.m_loop.m_now().m_at;
    if (m_state->m_found == finding::own &&
        now - m_state->m_own_since >= m_state->m_options.m_settled_after) {
        m_state->m_pause = m_state->m_options.m_shortest_pause;
    }
    if (due(now) && !leaves_to_other(now)) {
        write();
    }
}

bool self_registration::due(time_point now) const
{
    if (m_state->m_stopped || m_state->m_in_flight || now < m_state->m_next_at) {
        return false;
    }
    if (!m_state->m_written_at) {
        return m_state->m_found != finding::own;
    }
    // What was read before the newest record of this process says nothing of it.
    const bool read_since = m_state->m_end > *m_state->m_written_at;
    return read_since && m_state->m_found != finding::own;
}

bool self_registration::leaves_to_other(time_point now)
{
    const auto& other = m_state->m_other;
    if (m_state->m_found != finding::other || !started_later(other, m_state->m_options.m_self)) {
        return false;
    }
    // Another record of this very process, such as one with another address.
    if (other.m_incarnation == m_state->m_options.m_self.m_incarnation) {
        return false;
    }
    if (m_state->m_ports.m_linked(other.m_incarnation)) {
        m_state->m_other_linked_at = now;
    }
    return now - m_state->m_other_linked_at < m_state->m_options.m_link_time;
}

void self_registration::write()
{
    m_state->m_in_flight = true;
    append_request request;
    request.m_topic = m_state->m_options.m_topic;
    request.m_timeout = m_state->m_options.m_append_timeout;
    request.m_records.push_back(
        {std::string{node_key_prefix} + m_state->m_options.m_self.m_name, m_state->m_value, 0});
    const std::weak_ptr<shared_state> weak = m_state;
    m_state->m_ports.m_log.m_append(request, [weak](const append_answer& answer) {
        if (const auto state = weak.lock()) {
            handle_answer(*state, answer);
        }
    });
}

void self_registration::handle_answer(shared_state& state, const append_answer& answer)
{
    const auto now = state.m_ports.m_loop.m_now().m_at;
    state.m_in_flight = false;
    if (answer.m_result != log_result::ok) {
        state.m_next_at = now + state.m_options.m_retry_pause;
        state.m_ports.m_log_event("registration_failed", std::string{to_string(answer.m_result)});
        return;
    }
    state.m_ports.m_log_event("registered", fmt::format("offset {}", answer.m_offset));
    // The first repetition follows at once, since it usually replaces a record that came late.
    if (state.m_written_at) {
        state.m_next_at = now + state.m_pause;
        state.m_pause = std::min(state.m_pause * 2, state.m_options.m_longest_pause);
    }
    state.m_written_at = answer.m_offset;
}

} // namespace peridotrudder
