#pragma once

/// @file
/// What the callers of a process may take of its memory and descriptors.

#include "peridotrudder/base/enum_names.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace peridotrudder {

/// Why a caller was refused or its connection was closed.
enum class caller_refusal {
    body_too_long,
    header_too_long,
    malformed,
    /// The server had as many connections as it may have.
    connections,
    /// Callers had as many descriptors as they may have.
    descriptors,
    /// Connections, headers, short bodies and answers had used up the memory for callers.
    memory,
    /// A long body came too slowly while others waited for its memory.
    slow_body,
    /// A connection could not be accepted, mostly for want of a descriptor. It waits in the
    /// listener's queue and is tried again.
    accept_failed,
};

template <>
struct enum_names<caller_refusal> {
    static constexpr std::array<std::string_view, 8> values{
        "body_too_long", "header_too_long", "malformed", "connections",
        "descriptors",   "memory",          "slow_body", "accept_failed"};
};

/// Bounds for all callers of a process. By default nothing is bounded.
struct caller_limits {
    /// Memory for connections, requests, waiting calls and unsent answers, in bytes.
    std::size_t m_memory_bytes{SIZE_MAX};
    /// Part of it that requests with long bodies may take; the rest is a reserve for the others.
    std::size_t m_long_body_memory_bytes{SIZE_MAX};
    /// Callers get no descriptor with this number or a higher one.
    int m_first_reserved_descriptor{INT32_MAX};
};

/// Returns the limits of a process that may use this memory and this many descriptors, or fewer if
/// the system allows fewer.
caller_limits make_caller_limits(std::size_t memory_bytes, std::size_t max_body_bytes,
                                 std::size_t max_descriptors);

/// Returns how many connections to the peers' port of a process may be in their handshakes, at most
/// the number set: half of the descriptors that callers can't take, since links to peers, the log
/// and workers need the others.
std::size_t make_handshake_limit(std::size_t max_handshakes, std::size_t max_descriptors);

namespace internal {
class connection_table;
}

/// Shares memory and descriptors among the callers of all servers of a process. If there is no
/// room, the connection that has been idle or unfinished for longest is closed; requests with long
/// bodies wait for each other. Thread-safe.
class caller_budget {
public:
    using reporter = std::function<void(caller_refusal cause, std::uint64_t count)>;

    /// `report` gets the first refusal by a cause, and then the count every few seconds at most.
    explicit caller_budget(const caller_limits& limits, reporter report = {});

    /// Returns how many callers were refused by a cause.
    std::uint64_t refusals(caller_refusal cause) const;
    /// Returns the memory that is in use, in bytes.
    std::size_t used_bytes() const;
    std::size_t connections() const;
    /// Returns how many requests wait for the memory of their bodies.
    std::size_t waiting() const;

    const std::shared_ptr<internal::connection_table>& table() const { return m_table; }

private:
    std::shared_ptr<internal::connection_table> m_table;
};

} // namespace peridotrudder
