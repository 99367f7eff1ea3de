#pragma once

/// @file
/// Peers through which a node can reach the owner while it cannot use a direct link.

#include "peridotrudder/base/clock.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace peridotrudder {

/// What a node sends its calls to.
struct owner_route {
    /// Incarnation of the owner, or of the peer that passes calls on to it; empty if there is none.
    std::string m_peer;
    /// The peer is the owner itself, which may be this node.
    bool m_direct{false};
    std::uint64_t m_epoch{0};

    bool exists() const { return !m_peer.empty(); }
    friend bool operator==(const owner_route& left, const owner_route& right)
    {
        return left.m_peer == right.m_peer && left.m_direct == right.m_direct &&
               left.m_epoch == right.m_epoch;
    }
};

/// Keeps what the peers last said about the owner that they reach. A peer's answer to a question
/// also shows that the links to and from that peer work. Has no side effects; not thread-safe.
class owner_routes {
public:
    /// A view that is older than `max_age` is not used.
    static owner_routes create(milliseconds max_age);

    /// Records that a peer sends calls directly to the owner of an epoch, and gets its answers.
    void reaches(const std::string& peer, std::uint64_t epoch, time_point now);
    /// Records that calls cannot be sent through a peer, until it answers again.
    void forget(const std::string& peer);
    /// Prefers a peer for as long as its view can be used.
    void prefer(const std::string& peer) { m_preferred = peer; }

    /// Returns the route through the preferred peer or the one with the newest view, among those
    /// that reach the owner of `epoch` or of a later one.
    owner_route best(std::uint64_t epoch, time_point now) const;
    /// Returns whether a peer's view is at most `age` old.
    bool is_newer_than(milliseconds age, const std::string& peer, time_point now) const;

private:
    struct peer_view {
        std::uint64_t m_epoch{0};
        time_point m_at;
    };

    bool usable(const peer_view& view, std::uint64_t epoch, time_point now) const;

    milliseconds m_max_age{0};
    std::map<std::string, peer_view> m_views;
    std::string m_preferred;
};

} // namespace peridotrudder
