#pragma once

/// @file
/// The connections to the peers' port whose handshakes have not ended.

#include "peridotrudder/base/clock.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace peridotrudder::internal {

using handshake_number = std::uint64_t;

/// Decides which connections are closed if more of them than allowed are in their handshakes, or
/// one takes too long. Has no side effects; not thread-safe.
class pending_handshakes {
public:
    pending_handshakes(std::size_t limit, milliseconds time_limit)
        : m_limit{limit},
          m_time_limit{time_limit}
    {
    }

    /// Adds a connection, from the address of a known peer or from another one.
    handshake_number add(bool from_peer_address, time_point now);
    /// The connection's whole header has arrived: it will be answered next.
    void header_arrived(handshake_number connection);
    /// Does nothing if the connection is not, or no longer, one of these.
    void remove(handshake_number connection);

    /// Returns the connection to close if there are more than the limit.
    std::optional<handshake_number> surplus() const;
    /// Returns the connection to close if descriptors are short; none if there are no connections.
    std::optional<handshake_number> first_to_evict() const;
    /// Returns the connections that have taken longer than the time limit.
    std::vector<handshake_number> overdue(time_point now) const;

    std::size_t size() const;

private:
    /// Connections are closed in this order. A whole header, or the address of a known peer, makes
    /// a peer more likely. Connections from other addresses must not displace peers.
    enum rank : std::size_t { unknown_address, peer_address, header_complete, rank_count };

    const std::size_t m_limit;
    const milliseconds m_time_limit;
    handshake_number m_last{0};
    /// When the connections of each rank were accepted. Their numbers ascend with that time.
    std::array<std::map<handshake_number, time_point>, rank_count> m_accepted_at;
};

} // namespace peridotrudder::internal
