#include "links/connection_table.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace peridotrudder {

namespace internal {

namespace {

/// Memory of a connection without a request, in bytes: its read buffer, parsers and records.
constexpr std::size_t connection_bytes = 12'288;
/// An answer that its caller has not read for this long may be given up.
constexpr milliseconds unread_answer_time{1'000};
/// A long body that others wait for must never pause for `slow_body_time`, and must arrive at this
/// rate after that time.
constexpr std::size_t slow_body_bytes_per_s = 16'384;
constexpr milliseconds slow_body_time{1'000};
constexpr milliseconds slow_check_interval{100};
constexpr milliseconds report_interval{5'000};
constexpr std::size_t ms_per_s = 1'000;

bool is_slow(const connection_table::entry& connection, time_point now)
{
    if (remaining(connection.m_body_at, now) >= slow_body_time) {
        return true;
    }
    const auto time = remaining(connection.m_long_since + slow_body_time, now);
    const auto expected = static_cast<std::size_t>(time.count()) * slow_body_bytes_per_s / ms_per_s;
    return connection.m_body_bytes < expected;
}

} // namespace

connection_table::connection_table(const caller_limits& limits, caller_budget::reporter report)
    : m_limits{limits},
      m_report{std::move(report)}
{
}

connection_table::entry_ptr connection_table::add(const void* server, std::size_t server_limit,
                                                  int descriptor, connection_hooks hooks,
                                                  time_point now)
{
    lock held{m_mutex};
    const auto of_server = [&] {
        return static_cast<std::size_t>(
            std::count_if(m_connections.begin(), m_connections.end(), [&](const auto& other) {
                return other->m_server == server && !other->m_is_evicted;
            }));
    };
    entry_ptr added;
    const auto room_for = [&](bool is_short_of, const void* of, caller_refusal cause) {
        const auto victim = is_short_of ? find_victim(nullptr, of, now) : nullptr;
        if (victim) {
            evict(victim, cause, now);
        }
        else if (is_short_of) {
            count(cause, now);
        }
        return !is_short_of || victim != nullptr;
    };
    // The lowest free number is given out, so a high one tells that most are in use.
    const bool has_room =
        room_for(descriptor >= m_limits.m_first_reserved_descriptor, nullptr,
                 caller_refusal::descriptors) &&
        room_for(m_connections.size() >= server_limit && of_server() >= server_limit, server,
                 caller_refusal::connections) &&
        make_room(nullptr, connection_bytes, now);
    if (!has_room && m_used_bytes + connection_bytes > m_limits.m_memory_bytes) {
        count(caller_refusal::memory, now);
    }
    if (has_room) {
        added = std::make_shared<entry>();
        added->m_server = server;
        added->m_hooks = std::move(hooks);
        added->m_since = now;
        added->m_position = m_connections.insert(m_connections.end(), added);
        m_used_bytes += connection_bytes;
    }
    finish(held);
    return added;
}

void connection_table::remove(const entry_ptr& connection, time_point now)
{
    lock held{m_mutex};
    stop_waiting(connection, false);
    release(*connection);
    m_closing -= connection->m_is_evicted ? 1 : 0;
    m_connections.erase(connection->m_position);
    grant_waiting(now);
    finish(held);
}

void connection_table::begin_request(entry& connection, time_point now)
{
    lock held{m_mutex};
    change_held(connection, 0);
    connection.m_is_reading = true;
    connection.m_since = now;
    grant_waiting(now);
    finish(held);
}

bool connection_table::hold(entry& connection, std::size_t bytes, bool is_whole, time_point now)
{
    lock held{m_mutex};
    // Since its first bytes, a request has held something.
    connection.m_since = connection.m_request_bytes == 0 ? now : connection.m_since;
    const auto more = bytes - std::min(bytes, connection.m_request_bytes);
    const bool has_room = !connection.m_is_evicted && make_room(&connection, more, now);
    if (has_room) {
        change_held(connection, bytes);
        connection.m_is_reading = !is_whole;
        connection.m_has_called = connection.m_has_called || is_whole;
    }
    else if (!connection.m_is_evicted) {
        count(caller_refusal::memory, now);
    }
    end_slow_bodies(now);
    finish(held);
    return has_room;
}

body_grant connection_table::hold_long(const entry_ptr& connection, std::size_t bytes,
                                       time_point now)
{
    lock held{m_mutex};
    if (connection->m_is_evicted) {
        return body_grant::refused;
    }
    connection->m_since = connection->m_request_bytes == 0 ? now : connection->m_since;
    connection->m_wanted_bytes = std::max(bytes, connection->m_request_bytes);
    connection->m_is_waiting = true;
    m_waiting.push_back(connection);
    grant_waiting(now);
    end_slow_bodies(now);
    // A grant at once needs no call.
    const auto own = std::find_if(m_resumed.begin(), m_resumed.end(), [&](const auto& resumption) {
        return resumption.m_connection == connection;
    });
    auto result = body_grant::waits;
    if (own != m_resumed.end()) {
        result = own->m_granted ? body_grant::granted : body_grant::refused;
        m_resumed.erase(own);
    }
    finish(held);
    return result;
}

void connection_table::body_received(entry& connection, std::size_t bytes, time_point now)
{
    lock held{m_mutex};
    connection.m_body_bytes = bytes;
    connection.m_body_at = now;
    end_slow_bodies(now);
    finish(held);
}

void connection_table::request_ended(entry& connection)
{
    const lock held{m_mutex};
    connection.m_is_reading = false;
    connection.m_has_called = true;
}

void connection_table::answer_began(entry& connection, std::size_t bytes, time_point now)
{
    lock held{m_mutex};
    if (connection.m_is_evicted) {
        return;
    }
    if (connection.m_answer_bytes == 0) {
        connection.m_answer_since = now;
    }
    // An answer is given up only with its connection, so it is counted even without room.
    make_room(&connection, bytes, now);
    m_used_bytes = m_used_bytes - connection.m_answer_bytes + bytes;
    connection.m_answer_bytes = bytes;
    finish(held);
}

void connection_table::answer_ended(entry& connection, time_point now)
{
    lock held{m_mutex};
    if (!connection.m_is_evicted) {
        m_used_bytes -= connection.m_answer_bytes;
        connection.m_answer_bytes = 0;
        connection.m_since = now;
        grant_waiting(now);
    }
    finish(held);
}

void connection_table::refused(caller_refusal cause, time_point now)
{
    lock held{m_mutex};
    count(cause, now);
    finish(held);
}

void connection_table::accept_failed(time_point now)
{
    lock held{m_mutex};
    count(caller_refusal::accept_failed, now);
    const auto victim = m_closing == 0 ? find_victim(nullptr, nullptr, now) : nullptr;
    if (victim) {
        evict(victim, caller_refusal::descriptors, now);
    }
    finish(held);
}

std::uint64_t connection_table::refusals(caller_refusal cause) const
{
    const lock held{m_mutex};
    return m_refusals.at(static_cast<std::size_t>(cause));
}

std::size_t connection_table::used_bytes() const
{
    const lock held{m_mutex};
    return m_used_bytes;
}

std::size_t connection_table::connections() const
{
    const lock held{m_mutex};
    return m_connections.size();
}

std::size_t connection_table::waiting() const
{
    const lock held{m_mutex};
    return m_waiting.size();
}

std::size_t connection_table::closing() const
{
    const lock held{m_mutex};
    return m_closing;
}

bool connection_table::make_room(const entry* beneficiary, std::size_t more_bytes, time_point now)
{
    while (m_used_bytes + more_bytes > m_limits.m_memory_bytes) {
        const auto victim = find_victim(beneficiary, nullptr, now);
        if (!victim) {
            return false;
        }
        evict(victim, caller_refusal::memory, now);
    }
    return true;
}

// A connection that has made no call yet goes before those that have. The time counts from the
// first byte of a request: from the last one, a caller could put it off byte by byte.
connection_table::entry_ptr connection_table::find_victim(const entry* beneficiary,
                                                          const void* server, time_point now) const
{
    const auto rank = [](const entry& connection) {
        return std::make_pair(connection.m_has_called, connection.m_since);
    };
    entry_ptr victim;
    for (const auto& connection : m_connections) {
        const bool is_answered = connection->m_answer_bytes == 0;
        const bool is_given_up =
            !is_answered && remaining(connection->m_answer_since, now) >= unread_answer_time;
        const bool may_end = (connection->m_is_reading && is_answered) || is_given_up;
        if (may_end && !connection->m_is_evicted && connection.get() != beneficiary &&
            (server == nullptr || connection->m_server == server) &&
            (!victim || rank(*connection) < rank(*victim))) {
            victim = connection;
        }
    }
    return victim;
}

// What the connection holds is free as soon as the loop has closed it, which comes next.
void connection_table::evict(const entry_ptr& victim, caller_refusal cause, time_point now)
{
    count(cause, now);
    stop_waiting(victim, false);
    release(*victim);
    victim->m_is_evicted = true;
    ++m_closing;
    victim->m_hooks.m_cut();
}

void connection_table::release(entry& connection)
{
    if (connection.m_is_evicted) {
        return;
    }
    change_held(connection, 0);
    m_used_bytes -= connection_bytes + connection.m_answer_bytes;
    connection.m_answer_bytes = 0;
}

void connection_table::change_held(entry& connection, std::size_t bytes)
{
    if (connection.m_is_evicted) {
        return;
    }
    if (connection.m_is_granted) {
        m_long_bytes -= connection.m_request_bytes;
        connection.m_is_granted = false;
    }
    m_used_bytes = m_used_bytes - connection.m_request_bytes + bytes;
    connection.m_request_bytes = bytes;
}

bool connection_table::fits_long(const entry& connection) const
{
    const auto more = connection.m_wanted_bytes - connection.m_request_bytes;
    return m_long_bytes + connection.m_wanted_bytes <= m_limits.m_long_body_memory_bytes &&
           m_used_bytes + more <= m_limits.m_memory_bytes;
}

void connection_table::grant_waiting(time_point now)
{
    while (!m_waiting.empty() && fits_long(*m_waiting.front())) {
        auto& connection = *m_waiting.front();
        m_used_bytes += connection.m_wanted_bytes - connection.m_request_bytes;
        m_long_bytes += connection.m_wanted_bytes;
        connection.m_request_bytes = connection.m_wanted_bytes;
        connection.m_is_granted = true;
        connection.m_long_since = now;
        connection.m_body_at = now;
        connection.m_body_bytes = 0;
        stop_waiting(m_waiting.front(), true);
    }
}

void connection_table::end_slow_bodies(time_point now)
{
    if (m_waiting.empty() || remaining(m_slow_checked_at, now) < slow_check_interval) {
        return;
    }
    m_slow_checked_at = now;
    for (const auto& connection : m_connections) {
        const bool is_long = connection->m_is_granted && connection->m_is_reading;
        if (is_long && !connection->m_is_evicted && is_slow(*connection, now)) {
            evict(connection, caller_refusal::slow_body, now);
        }
    }
    grant_waiting(now);
}

void connection_table::stop_waiting(entry_ptr connection, bool granted)
{
    if (!connection->m_is_waiting) {
        return;
    }
    connection->m_is_waiting = false;
    m_waiting.remove(connection);
    m_resumed.push_back({std::move(connection), granted});
}

void connection_table::count(caller_refusal cause, time_point now)
{
    const auto index = static_cast<std::size_t>(cause);
    ++m_refusals.at(index);
    auto& reported_at = m_reported_at.at(index);
    if (m_refusals.at(index) == 1 || remaining(reported_at, now) >= report_interval) {
        reported_at = now;
        m_to_report.push_back(cause);
    }
}

/// Releases the lock, and makes the calls that mustn't be made under it.
void connection_table::finish(lock& held)
{
    if (m_resumed.empty() && m_to_report.empty()) {
        return;
    }
    const auto resumptions = std::exchange(m_resumed, {});
    std::vector<std::pair<caller_refusal, std::uint64_t>> reports;
    for (const auto cause : std::exchange(m_to_report, {})) {
        reports.emplace_back(cause, m_refusals.at(static_cast<std::size_t>(cause)));
    }
    held.unlock();
    for (const auto& resumption : resumptions) {
        resumption.m_connection->m_hooks.m_resume(resumption.m_granted);
    }
    for (const auto& [cause, total] : reports) {
        if (m_report) {
            m_report(cause, total);
        }
    }
}

} // namespace internal

namespace {

/// Callers get no descriptor of the last one of these parts.
constexpr std::size_t descriptor_parts = 4;

std::size_t allowed_descriptors(std::size_t wanted)
{
    rlimit allowed{};
    return ::getrlimit(RLIMIT_NOFILE, &allowed) == 0
               ? std::min<std::size_t>(wanted, allowed.rlim_cur)
               : wanted;
}

} // namespace

std::size_t make_handshake_limit(std::size_t max_handshakes, std::size_t max_descriptors)
{
    return std::min(max_handshakes, allowed_descriptors(max_descriptors) / descriptor_parts / 2);
}

caller_limits make_caller_limits(std::size_t memory_bytes, std::size_t max_body_bytes,
                                 std::size_t max_descriptors)
{
    // The other parts are for the process's own state, and for the log, peers and workers.
    constexpr std::size_t memory_parts = 5;
    caller_limits limits;
    limits.m_memory_bytes = memory_bytes / memory_parts;
    // One request with a body within the limit is served in any case.
    limits.m_long_body_memory_bytes =
        std::max(limits.m_memory_bytes / 2, internal::long_request_bytes(max_body_bytes));
    limits.m_memory_bytes = std::max(limits.m_memory_bytes, 2 * limits.m_long_body_memory_bytes);
    max_descriptors = allowed_descriptors(max_descriptors);
    limits.m_first_reserved_descriptor =
        static_cast<int>(max_descriptors - max_descriptors / descriptor_parts);
    return limits;
}

caller_budget::caller_budget(const caller_limits& limits, reporter report)
    : m_table{std::make_shared<internal::connection_table>(limits, std::move(report))}
{
}

std::uint64_t caller_budget::refusals(caller_refusal cause) const
{
    return m_table->refusals(cause);
}

std::size_t caller_budget::used_bytes() const
{
    return m_table->used_bytes();
}

std::size_t caller_budget::connections() const
{
    return m_table->connections();
}

std::size_t caller_budget::waiting() const
{
    return m_table->waiting();
}

} // namespace peridotrudder
