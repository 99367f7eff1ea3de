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

/// Shows that the sender is alive, and what it sees.
struct heartbeat {
    static constexpr std::string_view kind = "heartbeat";
    /// Next offset of the log that the sender has not read.
    std::uint64_t m_next_offset{0};
    /// Members that the sender has not heard from.
    std::vector<std::string> m_suspects;
    /// VMs that the sender knows to be leaving, for peers that cannot read the VM list.
    std::vector<std::string> m_leaving_vms;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("next_offset", self.m_next_offset);
        archive.field("suspects", self.m_suspects);
        archive.field("leaving_vms", self.m_leaving_vms);
    }
};

/// Asks for the records from an offset on.
struct tail_request {
    static constexpr std::string_view kind = "tail_request";
    std::uint64_t m_from{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("from", self.m_from);
    }
};

/// A record with its offset, in the log's own form.
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

/// Passes on records; with a snapshot instead when the sender no longer has the records.
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

/// A request on its way from the entry that took it to the home of its key.
struct forwarded_call {
    static constexpr std::string_view kind = "forwarded_call";
    call_request m_request;
    std::string m_traceparent;
    /// Time left until the request must have a slot.
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

/// Returns the message in the CBOR bytes, or why there is none in them.
tl::expected<peer_message, decode_error> decode_peer_message(gsl::span<const std::uint8_t> bytes);

} // namespace peridotrudder
