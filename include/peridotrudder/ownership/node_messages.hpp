#pragma once

/// @file
/// Messages between the nodes of the scheduler, and their CBOR frames.

#include "peridotrudder/machines/worker_orders.hpp"
#include "peridotrudder/ownership/owner_election.hpp"
#include "peridotrudder/scheduling/job_call.hpp"

#include <cstdint>
#include <gsl/span>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridotrudder {

/// Heartbeat of the owner, with its claim.
struct owner_heartbeat {
    static constexpr std::string_view kind = "owner_beat";
    ownership_claim m_claim;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("claim", self.m_claim);
    }
};

/// The owner resigns; any node that reaches the log may claim the ownership.
struct owner_resigned {
    static constexpr std::string_view kind = "owner_resigned";
    std::uint64_t m_epoch{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("epoch", self.m_epoch);
    }
};

/// Asks whether the receiver gets heartbeats from the owner.
struct owner_query {
    static constexpr std::string_view kind = "owner_query";
    std::uint64_t m_epoch{0};
    /// Milliseconds on the sender's steady clock, which the answer contains too. Only the owner
    /// needs it.
    std::optional<std::uint64_t> m_asked_ms{std::nullopt};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("epoch", self.m_epoch);
        archive.field("asked_ms", self.m_asked_ms);
    }
};

struct owner_view {
    static constexpr std::string_view kind = "owner_view";
    std::uint64_t m_epoch{0};
    bool m_hears_owner{false};
    /// Claim of the owner to which the sender can pass calls on, which may be the sender; absent if
    /// there is none, and from earlier versions.
    std::optional<ownership_claim> m_reached{std::nullopt};
    /// That of the question. Earlier versions do not return it.
    std::optional<std::uint64_t> m_asked_ms{std::nullopt};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("epoch", self.m_epoch);
        archive.field("hears_owner", self.m_hears_owner);
        archive.field("reached", self.m_reached);
        archive.field("asked_ms", self.m_asked_ms);
    }
};

/// Asks the receiver to check whether it reaches the log; it answers only if it does.
struct log_probe {
    static constexpr std::string_view kind = "log_probe";
    std::uint64_t m_number{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("number", self.m_number);
    }
};

struct log_reached {
    static constexpr std::string_view kind = "log_reached";
    std::uint64_t m_number{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("number", self.m_number);
    }
};

/// Asks whether the receiver has an open link to a process.
struct member_query {
    static constexpr std::string_view kind = "member_query";
    std::uint64_t m_number{0};
    /// Incarnation of the process.
    std::string m_process;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("number", self.m_number);
        archive.field("process", self.m_process);
    }
};

struct member_view {
    static constexpr std::string_view kind = "member_view";
    std::uint64_t m_number{0};
    bool m_linked{false};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("number", self.m_number);
        archive.field("linked", self.m_linked);
    }
};

/// A caller's call, forwarded to the owner or to a peer that passes it on to the owner.
struct forwarded_job_call {
    static constexpr std::string_view kind = "job_call";
    std::uint64_t m_number{0};
    job_call m_call;
    /// A receiver that is not the owner may pass the call on to the owner. Earlier versions ignore
    /// it and answer `not_owner`.
    std::optional<bool> m_may_pass_on{false};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("number", self.m_number);
        archive.field("call", self.m_call);
        archive.field("may_pass_on", self.m_may_pass_on);
    }
};

struct forwarded_job_answer {
    static constexpr std::string_view kind = "job_answer";
    std::uint64_t m_number{0};
    call_answer m_answer;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("number", self.m_number);
        archive.field("answer", self.m_answer);
    }
};

/// An order that the receiver sends to a worker. Exactly one of the orders is set.
struct relayed_order {
    /// Chosen by the owner; the answer contains it too.
    std::uint64_t m_number{0};
    worker_instance m_instance;
    std::string m_address;
    std::uint16_t m_port{0};
    std::optional<start_order> m_start;
    std::optional<stop_order> m_stop;
    std::optional<pace_order> m_pace;
    std::optional<hold_order> m_hold;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("number", self.m_number);
        archive.field("life", self.m_instance);
        archive.field("address", self.m_address);
        archive.field("port", self.m_port);
        archive.field("start", self.m_start);
        archive.field("stop", self.m_stop);
        archive.field("pace", self.m_pace);
        archive.field("hold", self.m_hold);
    }
};

struct relayed_orders {
    static constexpr std::string_view kind = "orders";
    /// Milliseconds on the relay's steady clock from which on the orders are void.
    std::int64_t m_deadline_ms{0};
    /// None to ask for the relay's clock only.
    std::vector<relayed_order> m_orders;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("deadline_ms", self.m_deadline_ms);
        archive.field("orders", self.m_orders);
    }
};

/// Answer to a relayed order. Exactly one of the answers is set.
struct relayed_answer {
    std::uint64_t m_number{0};
    std::optional<order_answer> m_order;
    std::optional<hold_answer> m_hold;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("number", self.m_number);
        archive.field("order", self.m_order);
        archive.field("hold", self.m_hold);
    }
};

struct relayed_answers {
    static constexpr std::string_view kind = "order_answers";
    /// Milliseconds on the relay's steady clock, whose origin the owner does not know.
    std::int64_t m_clock_ms{0};
    std::vector<relayed_answer> m_answers;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("clock_ms", self.m_clock_ms);
        archive.field("answers", self.m_answers);
    }
};

using node_message =
    std::variant<owner_heartbeat, owner_resigned, owner_query, owner_view, log_probe, log_reached,
                 member_query, member_view, forwarded_job_call, forwarded_job_answer,
                 relayed_orders, relayed_answers>;

/// Returns the longest frame between nodes that take calls with bodies up to this length.
///
/// A call takes less than twice the bytes of its body, and 20 for each of the 20,000 steps that a
/// job may have. Orders and answers of several workers are split into frames of about 1 MiB; one
/// worker's list takes 4 MiB with 1,000 runs and checkpoints of 4,000 bytes.
constexpr std::size_t max_node_frame_bytes(std::size_t max_body_bytes)
{
    constexpr std::size_t longest_other = 4'194'304;
    return longest_other + 2 * max_body_bytes;
}

/// Returns the message as CBOR.
std::vector<std::uint8_t> encode_node_message(const node_message& message);

/// Returns the message decoded from CBOR, or why it cannot be decoded.
tl::expected<node_message, decode_error> decode_node_message(gsl::span<const std::uint8_t> bytes);

} // namespace peridotrudder
