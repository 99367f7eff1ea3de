#pragma once

/// @file
/// Messages between the replicas (holders) of a partition, and the records that they store.

#include "peridotrudder/requests/outcome.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace peridotrudder {

/// State of the latest attempt for an idempotency key.
enum class key_state {
    /// The write-ahead record exists; the home may have sent the request upstream.
    intent,
    /// The upstream answered; the outcome is stored.
    done,
    /// The attempt provably did not start; another one may run.
    released,
};

template <>
struct enum_names<key_state> {
    static constexpr std::array<std::string_view, 3> values{"intent", "done", "released"};
};

/// Orders the records of one key: by the home's epoch, then by the home's sequence number.
struct record_version {
    std::uint64_t m_epoch{0};
    std::uint64_t m_sequence{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("epoch", self.m_epoch);
        archive.field("sequence", self.m_sequence);
    }
};

inline bool operator<(const record_version& left, const record_version& right)
{
    return std::tie(left.m_epoch, left.m_sequence) < std::tie(right.m_epoch, right.m_sequence);
}

inline bool operator==(const record_version& left, const record_version& right)
{
    return left.m_epoch == right.m_epoch && left.m_sequence == right.m_sequence;
}

/// A holder's record of one idempotency key.
struct key_record {
    /// The customer and its key, as one string.
    std::string m_key;
    /// Digest of the request. A call with the same key and another digest is refused.
    std::string m_digest;
    key_state m_state{key_state::intent};
    record_version m_version;
    /// Time until the record is removed.
    milliseconds m_expires_in{0};
    std::optional<outcome> m_outcome;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("key", self.m_key);
        archive.field("digest", self.m_digest);
        archive.field("state", self.m_state);
        archive.field("version", self.m_version);
        archive.field("expires_in_ms", self.m_expires_in);
        archive.field("outcome", self.m_outcome);
    }
};

/// A new home asks a holder of an earlier epoch for its records, and to stop acknowledging intents
/// of any epoch before the new one.
struct seal_request {
    static constexpr std::string_view kind = "seal_request";
    std::uint32_t m_partition{0};
    std::uint64_t m_epoch{0};
    std::uint64_t m_sealed_epoch{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("partition", self.m_partition);
        archive.field("epoch", self.m_epoch);
        archive.field("sealed_epoch", self.m_sealed_epoch);
    }
};

/// A holder's answer to `seal_request`.
struct seal_reply {
    static constexpr std::string_view kind = "seal_reply";
    std::uint32_t m_partition{0};
    std::uint64_t m_epoch{0};
    std::uint64_t m_sealed_epoch{0};
    /// Whether the holder received the partition's records in the sealed epoch or a later one.
    bool m_has_records{false};
    std::vector<key_record> m_records;
    /// Time since records of the partition were lost; absent if none were.
    std::optional<milliseconds> m_lost_ago;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("partition", self.m_partition);
        archive.field("epoch", self.m_epoch);
        archive.field("sealed_epoch", self.m_sealed_epoch);
        archive.field("settled", self.m_has_records);
        archive.field("records", self.m_records);
        archive.field("lost_ago_ms", self.m_lost_ago);
    }
};

/// The new home sends the partition's records to a holder of its epoch.
struct install_request {
    static constexpr std::string_view kind = "install_request";
    std::uint32_t m_partition{0};
    std::uint64_t m_epoch{0};
    std::vector<key_record> m_records;
    std::optional<milliseconds> m_lost_ago;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("partition", self.m_partition);
        archive.field("epoch", self.m_epoch);
        archive.field("records", self.m_records);
        archive.field("lost_ago_ms", self.m_lost_ago);
    }
};

/// A holder's answer to `install_request`.
struct install_reply {
    static constexpr std::string_view kind = "install_reply";
    std::uint32_t m_partition{0};
    std::uint64_t m_epoch{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("partition", self.m_partition);
        archive.field("epoch", self.m_epoch);
    }
};

/// The home asks a holder to store an intent.
struct intent_request {
    static constexpr std::string_view kind = "intent_request";
    std::uint32_t m_partition{0};
    std::uint64_t m_epoch{0};
    key_record m_record;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("partition", self.m_partition);
        archive.field("epoch", self.m_epoch);
        archive.field("record", self.m_record);
    }
};

/// A holder acknowledges that it stored the intent.
struct intent_reply {
    static constexpr std::string_view kind = "intent_reply";
    std::uint32_t m_partition{0};
    std::uint64_t m_epoch{0};
    std::string m_key;
    record_version m_version;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("partition", self.m_partition);
        archive.field("epoch", self.m_epoch);
        archive.field("key", self.m_key);
        archive.field("version", self.m_version);
    }
};

/// The home, or a former one, reports how an attempt ended.
struct record_update {
    static constexpr std::string_view kind = "record_update";
    std::uint32_t m_partition{0};
    key_record m_record;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("partition", self.m_partition);
        archive.field("record", self.m_record);
    }
};

using partition_message = std::variant<seal_request, seal_reply, install_request, install_reply,
                                       intent_request, intent_reply, record_update>;

} // namespace peridotrudder
