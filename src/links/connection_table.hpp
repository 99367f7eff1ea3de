#pragma once

/// @file
/// The connections of a process's callers with what each of them holds.

#include "peridotrudder/base/clock.hpp"
#include "peridotrudder/links/caller_budget.hpp"

#include <array>
#include <list>
#include <mutex>
#include <vector>

namespace peridotrudder::internal {

/// How a connection is ended, and how it learns of memory that it waits for.
struct connection_hooks {
    /// Ends the connection's reads and writes. Called under the table's lock.
    std::function<void()> m_cut;
    /// Called with whether a request that waits may go on.
    std::function<void(bool granted)> m_resume;
};

/// Returns the memory that a request with a long body of this many bytes may need at most.
constexpr std::size_t long_request_bytes(std::size_t body_bytes)
{
    // Headers, and the body as the server, the handler and the call hold it.
    constexpr std::size_t header_bytes = 131'072;
    return header_bytes + 3 * body_bytes;
}

enum class body_grant { granted, waits, refused };

/// The rules of `caller_budget`. Thread-safe.
class connection_table {
public:
    struct entry;
    using entry_ptr = std::shared_ptr<entry>;

    connection_table(const caller_limits& limits, caller_budget::reporter report);

    /// Adds a connection of a server that may have `server_limit` of them. Returns null if there is
    /// no room.
    entry_ptr add(const void* server, std::size_t server_limit, int descriptor,
                  connection_hooks hooks, time_point now);
    void remove(const entry_ptr& connection, time_point now);

    /// The connection waits for its next request; the one before holds nothing any longer.
    void begin_request(entry& connection, time_point now);
    /// More of a request has arrived; it now holds `bytes`, and is whole or not. Returns whether
    /// there is room for it.
    bool hold(entry& connection, std::size_t bytes, bool is_whole, time_point now);
    /// Asks for all the memory that a request with a long body may need.
    body_grant hold_long(const entry_ptr& connection, std::size_t bytes, time_point now);
    /// More of a long body has arrived.
    void body_received(entry& connection, std::size_t bytes, time_point now);
    /// The request is whole; it holds its memory until the next one begins.
    void request_ended(entry& connection);
    void answer_began(entry& connection, std::size_t bytes, time_point now);
    void answer_ended(entry& connection, time_point now);

    void refused(caller_refusal cause, time_point now);
    /// A connection could not be accepted. Evicts one, since its descriptor may be what is missing.
    void accept_failed(time_point now);

    std::uint64_t refusals(caller_refusal cause) const;
    std::size_t used_bytes() const;
    std::size_t connections() const;
    std::size_t waiting() const;
    /// Returns how many evicted connections are still open.
    std::size_t closing() const;

private:
    struct resumed {
        entry_ptr m_connection;
        bool m_granted{false};
    };
    using lock = std::unique_lock<std::mutex>;
    static constexpr std::size_t causes = enum_names<caller_refusal>::values.size();

    bool make_room(const entry* beneficiary, std::size_t more_bytes, time_point now);
    entry_ptr find_victim(const entry* beneficiary, const void* server, time_point now) const;
    void evict(const entry_ptr& victim, caller_refusal cause, time_point now);
    void release(entry& connection);
    void change_held(entry& connection, std::size_t bytes);
    bool fits_long(const entry& connection) const;
    void end_slow_bodies(time_point now);
    void grant_waiting(time_point now);
    void stop_waiting(entry_ptr connection, bool granted);
    void count(caller_refusal cause, time_point now);
    void finish(lock& held);

    const caller_limits m_limits;
    const caller_budget::reporter m_report;
    mutable std::mutex m_mutex;
    std::size_t m_used_bytes{0};
    std::size_t m_long_bytes{0};
    std::size_t m_closing{0};
    std::list<entry_ptr> m_connections;
    std::list<entry_ptr> m_waiting;
    /// Calls to make after the lock is released.
    std::vector<resumed> m_resumed;
    std::vector<caller_refusal> m_to_report;
    time_point m_slow_checked_at;
    std::array<std::uint64_t, causes> m_refusals{};
    std::array<time_point, causes> m_reported_at{};
};

struct connection_table::entry {
    const void* m_server{nullptr};
    connection_hooks m_hooks;
    std::list<entry_ptr>::iterator m_position;
    std::size_t m_request_bytes{0};
    std::size_t m_answer_bytes{0};
    std::size_t m_body_bytes{0};
    /// Memory that a request with a long body may need.
    std::size_t m_wanted_bytes{0};
    /// Since when it is idle or its request is unfinished.
    time_point m_since;
    time_point m_long_since;
    time_point m_body_at;
    time_point m_answer_since;
    bool m_is_reading{true};
    bool m_is_waiting{false};
    bool m_is_granted{false};
    bool m_has_called{false};
    bool m_is_evicted{false};
};

} // namespace peridotrudder::internal
