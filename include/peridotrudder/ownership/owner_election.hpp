#pragma once

/// @file
/// Leader election: decides when a node claims the ownership of the fleet.

#include "peridotrudder/base/codec.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotrudder {

/// A claim of the ownership. Its epoch is the fencing token of the owner's orders and writes.
struct ownership_claim {
    /// One more than the offset of the claim's record; zero for no claim.
    std::uint64_t m_epoch{0};
    /// Incarnation of the owner's process.
    std::string m_owner;
    /// Name of the owner's node.
    std::string m_node;
    /// The owner has released the ownership.
    bool m_released{false};
    /// No earlier owner can renew leases any more: the last one has released the ownership, and so
    /// on for those before it, or they ran out of time under an owner since.
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
    /// Ask the peers whether they get heartbeats from the owner.
    ask_peers,
    /// Check in the journal whether the owner still writes.
    check_journal,
    /// Claim the ownership.
    claim,
};

struct election_options {
    /// Incarnation of this process.
    std::string m_self;
    /// Time without a heartbeat after which the owner is suspected.
    milliseconds m_suspect_after{700};
    /// How long to wait for the peers' answers.
    milliseconds m_ask_timeout{120};
    /// Time after which the peers are asked again.
    milliseconds m_ask_interval{300};
    /// Time after its last proof of ownership for which an owner may renew leases.
    milliseconds m_renewal_time{5'000};
    /// Delay of this node's claim. It differs between nodes, so that usually only one claims.
    milliseconds m_stagger{0};
};

/// What an election waits for, for logs.
struct election_status {
    /// Time since the owner's last heartbeat, or since its claim was learnt.
    milliseconds m_heartbeat_age{0};
    bool m_link_broken{false};
    bool m_owner_gone{false};
    std::size_t m_members{0};
    /// Nodes, including this one, that have a link to this one or answered the last question.
    std::size_t m_reachable{0};
    /// Peers that answered the last question.
    std::size_t m_answers{0};
    std::size_t m_peers_hearing_owner{0};
    /// Time since the last check of the journal began or ended; nothing if there was none.
    std::optional<milliseconds> m_checked_before;
    bool m_journal_silent{false};
};

std::string to_string(const election_status& status);

/// Follows the claims and the owner's heartbeats. Has no side effects; not thread-safe.
///
/// Safety does not depend on it: the log accepts one of several claims, and the epoch fences off
/// the others. The election avoids needless changes of the owner: a node that alone has lost the
/// owner does not claim. An owner that most nodes have lost is replaced even if it still reaches
/// the log, but only by most of the registered nodes: fewer may be cut off from an owner that
/// serves the others. An owner that has recorded that it reaches no majority is replaced by any
/// group that is larger than its own, which ends with the largest.
class owner_election {
public:
    static owner_election create(election_options options, time_point now);

    /// Applies a claim that was read from the log or received from a peer. Older claims change
    /// nothing.
    void learn(const ownership_claim& claim, time_point now);
    const ownership_claim& claim() const { return m_claim; }
    bool is_owner() const;
    /// Returns whether no owner so far can renew leases any more, so that the next one need not
    /// wait for them.
    bool follows_release() const { return m_claim.m_released && m_claim.m_after_release; }
    /// Returns the same for the owners before this node, which owns the fleet.
    bool predecessors_are_over(time_point now) const;

    /// Records a heartbeat of the owner of an epoch.
    void heard(std::uint64_t epoch, time_point now);
    /// Records that the owner's process has certainly ended or resigned.
    void owner_gone(std::uint64_t epoch, time_point now);
    /// Sets the delay in which other nodes may claim first.
    void set_stagger(milliseconds stagger) { m_options.m_stagger = stagger; }
    /// Records that the connection to a process broke.
    void link_broken(const std::string& incarnation, time_point now);
    /// Sets the number of nodes, including this one.
    void set_members(std::size_t members) { m_members = members; }
    /// Sets the number of other nodes to which this one has an open link.
    void set_linked(std::size_t linked) { m_linked = linked; }
    /// Records a peer's answer to the question whether it gets the owner's heartbeats.
    void peer_view(const std::string& peer, std::uint64_t epoch, bool hears_owner);
    /// Records how many nodes the owner of an epoch reaches, itself included, as it has told
    /// itself; zero for a majority.
    void owner_reaches(std::uint64_t epoch, std::uint64_t nodes);
    /// Records whether the journal shows writes of the owner.
    void journal_view(std::uint64_t epoch, bool owner_writes, time_point now);

    /// Returns whether there is an owner that this node does not suspect.
    bool hears_owner(time_point now) const;
    /// Returns whether the owner of the newest claim is known to have ended or resigned.
    bool owner_has_gone() const { return m_owner_gone; }
    /// Returns the time since the owner's last heartbeat, or since its claim was learnt.
    milliseconds heartbeat_age(time_point now) const { return remaining(m_last_heartbeat_at, now); }
    /// Returns what this node waits for before it claims; nothing if it owns the fleet or does not
    /// suspect the owner.
    std::optional<election_status> status(time_point now) const;
    /// Records that a claim was certainly not made, because the topic had grown meanwhile. It is
    /// repeated soon, with the same delay as before: the records of nodes that register at the same
    /// time must not let a later claim win.
    void claim_refused(time_point now);
    /// Returns the next step. A claim that did not succeed is returned again later.
    election_step tick(time_point now);

private:
    bool suspects(time_point now) const;
    std::size_t peers_hearing_owner() const;
    std::size_t reachable() const;
    /// Returns how many nodes say that they do not hear the owner, this one included.
    std::size_t nodes_without_owner() const;
    bool majority_lost_owner() const;
    bool outnumbers_owner() const;
    election_step check_suspicion(time_point now);
    void clear_suspicion(time_point now);

    election_options m_options;
    ownership_claim m_claim;
    time_point m_learnt_at;
    std::size_t m_members{1};
    std::size_t m_linked{0};
    time_point m_last_heartbeat_at;
    bool m_link_broken{false};
    bool m_owner_gone{true};
    time_point m_owner_gone_at;
    std::optional<time_point> m_asked_at;
    std::optional<time_point> m_checked_at;
    bool m_journal_silent{false};
    std::uint64_t m_owner_group{0};
    std::map<std::string, bool> m_peer_views;
    time_point m_next_claim_at;
};

} // namespace peridotrudder
