#pragma once

/// @file
/// Messages between entries, and their CBOR frames.

#include "peridotrudder/journal/record.hpp"
#include "peridotrudder/requests/partition_messages.hpp"
#include "peridotrudder/routing/call_request.hpp"
#include "peridotrudder/routing/slot_messages.hpp"

#include <cstdint>
#include <gsl/span>
#include <string>
#include <variant>
#include <vector>

namespace peridotrudder {

/// Sent periodically to every member, with the sender's view of the cluster.
struct heartbeat {
    static constexpr std::string_view kind = "heartbeat";
    /// First offset of the log that the sender has not read.
    std::uint64_t m_next_offset{0};
    /// Members from which the sender received no heartbeat for too long.
    std::vector<std::string> m_suspects;
    /// VMs that the VM list marks as leaving, for peers that cannot read the VM list.
    std::vector<std::string> m_leaving_vms;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("next_offset", self.m_next_offset);
        archive.field("suspects", self.m_suspects);
        archive.field("leaving_vms", self.m_leaving_vms);
    }
};

/// Requests the log records from an offset on.
struct tail_request {
    static constexpr std::string_view kind = "tail_request";
    std::uint64_t m_from{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("from", self.m_from);
    }
};

/// A record with its offset, in the log's JSON format.
struct tail_record {
    std::uint64_t m_offset{0};
    nlohmann::json m_record;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("offset", self.m_offset);
        archive.field("record", self.m_record);
    }
};

/// Returns the requested records, or a snapshot if the sender no longer has them.
struct tail_reply {
    static constexpr std::string_view kind = "tail_reply";
    std::vector<tail_record> m_records;
    std::optional<nlohmann::json> m_snapshot;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("records", self.m_records);
        archive.field("snapshot", self.m_snapshot);
    }
};

/// A request that is forwarded from the entry that received it to the home of its key.
struct forwarded_call {
    static constexpr std::string_view kind = "forwarded_call";
    call_request m_request;
    std::string m_traceparent;
    /// Remaining time in which the request must get a slot.
    milliseconds m_time_to_wait{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("request", self.m_request);
        archive.field("traceparent", self.m_traceparent);
        archive.field("time_to_wait_ms", self.m_time_to_wait);
    }
};

/// The outcome of a forwarded request.
struct forwarded_reply {
    static constexpr std::string_view kind = "forwarded_reply";
    std::string m_request_id;
    outcome m_outcome;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("request_id", self.m_request_id);
        archive.field("outcome", self.m_outcome);
    }
};

using peer_message =
    std::variant<heartbeat, tail_request, tail_reply, forwarded_call, forwarded_reply, slot_report,
                 slot_grant, seal_request, seal_reply, install_request, install_reply,
                 intent_request, intent_reply, record_update>;

/// Returns the message as CBOR.
std::vector<std::uint8_t> encode_peer_message(const peer_message& message);

/// Returns the message decoded from the CBOR bytes, or the error.
tl::expected<peer_message, decode_error> decode_peer_message(gsl::span<const std::uint8_t> bytes);

} // namespace peridotrudder
