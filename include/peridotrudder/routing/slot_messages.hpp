#pragma once

/// @file
/// Messages between the entries that use a pool's slots and the dispatcher that leases them.

#include "peridotrudder/base/codec.hpp"
#include "peridotrudder/contracts/contract.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotrudder {

/// A number of slots at one worker.
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

/// An entry's report to the pool's dispatcher: the slots it uses and the requests that wait.
struct slot_report {
    static constexpr std::string_view kind = "slot_report";
    std::string m_pool;
    /// Send time on the entry's own monotonic clock, in milliseconds; the grant returns it.
    std::int64_t m_sent_at{0};
    /// Number of the last grant that the entry applied.
    std::uint64_t m_applied_grant{0};
    /// Dispatcher run that issued the applied grant.
    std::string m_applied_dispatcher;
    /// Slots of the applied grant that the entry still holds, by worker.
    std::vector<worker_slots> m_held;
    /// Requests in flight, by worker.
    std::vector<worker_slots> m_in_flight;
    std::uint32_t m_long_in_flight{0};
    /// Number of waiting short requests, by class.
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

/// A lease of a pool's slots to one entry. A grant replaces the previous one.
struct slot_grant {
    static constexpr std::string_view kind = "slot_grant";
    std::string m_pool;
    /// Identifies the dispatcher run; each run numbers its grants from one.
    std::string m_dispatcher;
    /// Increases with each grant of one dispatcher run.
    std::uint64_t m_number{0};
    /// The `m_sent_at` of the entry's report; the lease time starts there.
    std::int64_t m_report_sent_at{0};
    std::vector<worker_slots> m_slots;
    /// How many of these slots long requests may use.
    std::uint32_t m_long_slots{0};
    /// Lowest class that may start now. While requests of a higher class wait for a slot at any
    /// entry, the other entries return each slot that becomes idle.
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

/// How long a grant is valid after the report that it answers was sent.
inline constexpr milliseconds slot_lease_time{1'000};

} // namespace peridotrudder
