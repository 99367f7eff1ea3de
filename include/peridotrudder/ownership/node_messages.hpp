#pragma once

/// @file
/// Messages between the nodes of the scheduler, and their CBOR frames.

#include "peridotrudder/ownership/owner_election.hpp"
#include "peridotrudder/scheduling/job_call.hpp"

#include <gsl/span>
#include <string>
#include <variant>
#include <vector>

namespace peridotrudder {

/// The owner is there.
struct owner_beat {
    static constexpr std::string_view kind = "owner_beat";
    ownership_claim m_claim;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("claim", self.m_claim);
    }
};

/// The owner gives up; whoever reaches the log claims.
struct owner_resigned {
    static constexpr std::string_view kind = "owner_resigned";
    std::uint64_t m_epoch{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("epoch", self.m_epoch);
    }
};

/// Asks whether the receiver hears the owner.
struct owner_query {
    static constexpr std::string_view kind = "owner_query";
    std::uint64_t m_epoch{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("epoch", self.m_epoch);
    }
};

struct owner_view {
    static constexpr std::string_view kind = "owner_view";
    std::uint64_t m_epoch{0};
    bool m_hears_owner{false};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("epoch", self.m_epoch);
        archive.field("hears_owner", self.m_hears_owner);
    }
};

/// Asks the receiver to see whether it reaches the log; it answers only if it does.
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

/// A caller's call on its way to the owner.
struct forwarded_job_call {
    static constexpr std::string_view kind = "job_call";
    std::uint64_t m_number{0};
    job_call m_call;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("number", self.m_number);
        archive.field("call", self.m_call);
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

using node_message = std::variant<owner_beat, owner_resigned, owner_query, owner_view, log_probe,
                                  log_reached, forwarded_job_call, forwarded_job_answer>;

/// Returns the message as CBOR.
std::vector<std::uint8_t> encode_node_message(const node_message& message);

/// Returns the message in the CBOR bytes, or why there is none in them.
tl::expected<node_message, decode_error> decode_node_message(gsl::span<const std::uint8_t> bytes);

} // namespace peridotrudder
