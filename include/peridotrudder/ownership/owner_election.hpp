#pragma once

/// @file
/// Decides when a node claims the ownership of the fleet.

#include "peridotrudder/base/codec.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotrudder {

/// The newest claim. Its epoch is the fencing token of all that the owner does.
struct ownership_claim {
    /// One more than the offset of the claim's record; zero for none.
    std::uint64_t m_epoch{0};
    /// Incarnation of the owner's process.
    std::string m_owner;
    /// Name of the owner's node.
    std::string m_node;
    /// The owner has given it up.
    bool m_released{false};
    /// The claim follows one that was released: its former owner gives no more orders.
    bool m_after_release{false};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("epoch", self.m_epoch);
        archive.field("owner", self.m_owner);
        archive.field("node", self.m_node);
        archive.field("released", self.m_released);
        archive.field("after_release", self.m_after_release);
    }
};

enum class election_step {
    none,
    /// Ask the peers whether they hear the owner.
    ask_peers,
    /// See in the journal whether the owner still writes.
    check_journal,
    /// Claim the ownership.
    claim,
};

struct election_options {
    /// Incarnation of this process.
    std::string m_self;
    /// An owner that is not heard for so long is suspected.
    milliseconds m_suspect_after{700};
    /// How long peers have to answer.
    milliseconds m_ask_timeout{120};
    milliseconds m_ask_interval{300};
    /// Nodes claim a little after one another, so that mostly one tries.
    milliseconds m_stagger{0};
};

/// Follows the claims and the owner's heartbeats. Pure; not thread-safe.
///
/// Safety does not rest on it: the log accepts one of several claims, and the epoch bars the
/// others. It keeps ownership from changing without need: a node that alone has lost the owner does
/// not claim, and an owner that most nodes have lost is replaced though it still reaches the log.
class owner_election {
public:
    static owner_election create(election_options options, time_point now);

    /// Takes the newest claim, read from the log or told by a peer. Older ones change nothing.
    void learn(const ownership_claim& claim, time_point now);
    const ownership_claim& claim() const { return m_claim; }
    bool is_owner() const;

    /// Notes a heartbeat of the owner of an epoch.
    void heard(std::uint64_t epoch, time_point now);
    /// Notes that the owner's process is gone or has given up, as far as known for certain.
    void owner_gone(std::uint64_t epoch, time_point now);
    /// Sets how long this node lets others claim first.
    void set_stagger(milliseconds stagger) { m_options.m_stagger = stagger; }
    /// Notes that the connection to a process broke.
    void link_broken(const std::string& incarnation, time_point now);
    /// Sets how many nodes there are, this one included.
    void set_members(std::size_t members) { m_members = members; }
    /// Takes a peer's answer.
    void peer_view(const std::string& peer, std::uint64_t epoch, bool hears_owner);
    /// Takes what the journal shows.
    void journal_view(std::uint64_t epoch, bool owner_writes, time_point now);

    /// Returns whether this node hears the owner.
    bool hears_owner(time_point now) const;
    /// Returns what to do now. A claim that came to nothing is asked for again.
    election_step tick(time_point now);

private:
    bool suspects(time_point now) const;
    election_step check_suspicion(time_point now);
    void clear_suspicion(time_point now);

    election_options m_options;
    ownership_claim m_claim;
    std::size_t m_members{1};
    time_point m_last_heartbeat_at;
    bool m_link_broken{false};
    bool m_owner_gone{true};
    time_point m_owner_gone_at;
    std::optional<time_point> m_asked_at;
    std::optional<time_point> m_checked_at;
    bool m_journal_silent{false};
    std::map<std::string, bool> m_peer_views;
    time_point m_next_claim_at;
};

} // namespace peridotrudder
