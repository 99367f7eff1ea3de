#pragma once

/// @file
/// The view: the current members of the cluster, agreed on by the order of the log.

#include "peridotrudder/base/codec.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotrudder {

/// One running entry process. A restarted process is a new member with a new incarnation.
struct member {
    /// Name of the entry VM, stable across restarts.
    std::string m_entry;
    /// Random id of this run of the process.
    std::string m_incarnation;
    std::string m_zone;
    std::string m_region;
    std::string m_address;
    std::uint16_t m_peer_port{0};
    std::uint16_t m_operator_port{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("entry", self.m_entry);
        archive.field("incarnation", self.m_incarnation);
        archive.field("zone", self.m_zone);
        archive.field("region", self.m_region);
        archive.field("address", self.m_address);
        archive.field("peer_port", self.m_peer_port);
        archive.field("operator_port", self.m_operator_port);
    }
};

/// One version of the membership. Its number is the offset of the log record that created it.
struct view {
    std::uint64_t m_number{0};
    std::vector<member> m_members;

    /// Returns the member with this incarnation, or null.
    const member* find(std::string_view incarnation) const;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("number", self.m_number);
        archive.field("members", self.m_members);
    }
};

/// Returns up to `count` members ranked for `key` by rendezvous hashing. Each rank is in an
/// availability zone that no earlier rank is in, until every zone has been used.
std::vector<const member*> rank_members(const view& current, std::string_view key,
                                        std::size_t count);

/// Number of replicas (holders) of each partition of idempotency keys.
inline constexpr std::size_t holders_per_partition = 3;
/// Number of partitions that idempotency keys are distributed over.
inline constexpr std::uint32_t partition_count = 128;

/// Returns the partition of a customer's idempotency key.
std::uint32_t partition_of(std::string_view customer, std::string_view key);

/// The holders of one partition, starting with one view. The first holder is the home (primary).
struct partition_epoch {
    /// Number of the first view with these holders.
    std::uint64_t m_epoch{0};
    /// Incarnations of the holders.
    std::vector<std::string> m_holders;

    /// Returns whether `incarnation` is one of the holders.
    bool holds(std::string_view incarnation) const;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("epoch", self.m_epoch);
        archive.field("holders", self.m_holders);
    }
};

/// The epochs of one partition, oldest first; at most `max_epochs_kept`.
struct partition_history {
    std::vector<partition_epoch> m_epochs;
    /// Whether older epochs were dropped, so the first one here is not the partition's first.
    bool m_truncated{false};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("epochs", self.m_epochs);
        archive.field("truncated", self.m_truncated);
    }
};

inline constexpr std::size_t max_epochs_kept = 24;

/// Appends an epoch to the history of each partition whose holders change with the view `next`.
void extend_histories(std::vector<partition_history>& histories, const view& next);

/// Returns whether the observers suffice to evict a member: more than half of the view.
bool has_eviction_quorum(const view& current, const std::vector<std::string>& observers);

} // namespace peridotrudder
