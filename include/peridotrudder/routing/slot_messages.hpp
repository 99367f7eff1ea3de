#pragma once

/// @file
/// Messages between the entries that use a pool's slots and the one that leases them.

#include "peridotrudder/base/codec.hpp"
#include "peridotrudder/contracts/contract.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotrudder {

/// A number of slots of one worker.
struct worker_slots {
    std::string m_vm;
    std::uint32_t m_slots{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("vm", self.m_vm);
        archive.field("slots", self.m_slots);
    }
};

/// An entry tells the pool's dispatcher what it uses and what waits.
struct slot_report {
    static constexpr std::string_view kind = "slot_report";
    std::string m_pool;
    /// Time of sending on the entry's own clock, in milliseconds; the grant returns it.
    std::int64_t m_sent_at{0};
    /// Number of the last grant that the entry applied.
    std::uint64_t m_applied_grant{0};
    /// Dispatcher run that the applied grant came from.
    std::string m_applied_dispatcher;
    /// Slots that the entry still holds of the applied grant, by worker.
    std::vector<worker_slots> m_held;
    /// Requests in flight, by worker.
    std::vector<worker_slots> m_in_flight;
    std::uint32_t m_long_in_flight{0};
    /// Short requests that wait, by class.
    std::vector<std::uint32_t> m_waiting;
    std::uint32_t m_long_waiting{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("pool", self.m_pool);
        archive.field("sent_at", self.m_sent_at);
        archive.field("applied", self.m_applied_grant);
        archive.field("dispatcher", self.m_applied_dispatcher);
        archive.field("held", self.m_held);
        archive.field("in_flight", self.m_in_flight);
        archive.field("long_in_flight", self.m_long_in_flight);
        archive.field("waiting", self.m_waiting);
        archive.field("long_waiting", self.m_long_waiting);
    }
};

/// The dispatcher leases slots of a pool to one entry. A grant replaces the one before.
struct slot_grant {
    static constexpr std::string_view kind = "slot_grant";
    std::string m_pool;
    /// Names the run of the dispatcher; another run counts its grants anew.
    std::string m_dispatcher;
    /// Rises with each grant of one dispatcher run.
    std::uint64_t m_number{0};
    /// The entry's `m_sent_at` that the lease time counts from.
    std::int64_t m_report_sent_at{0};
    std::vector<worker_slots> m_slots;
    /// Slots of these that long work may use.
    std::uint32_t m_long_slots{0};
    /// Least pressing class that may start now. While more pressing work waits at any entry for
    /// want of a slot, the others give up each slot that falls idle.
    work_class m_priority_floor{work_class::archive};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("pool", self.m_pool);
        archive.field("dispatcher", self.m_dispatcher);
        archive.field("number", self.m_number);
        archive.field("report_sent_at", self.m_report_sent_at);
        archive.field("slots", self.m_slots);
        archive.field("long_slots", self.m_long_slots);
        archive.field("floor", self.m_priority_floor);
    }
};

/// How long a grant may be used after the report that it answers.
inline constexpr milliseconds slot_lease_time{1'000};

} // namespace peridotrudder
