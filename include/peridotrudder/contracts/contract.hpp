#pragma once

/// @file
/// A customer's contract: all that an operator configures for a customer.

#include "peridotrudder/base/codec.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotrudder {

/// Priority classes of work, highest first.
enum class work_class { urgent, normal, archive };

template <>
struct enum_names<work_class> {
    static constexpr std::array<std::string_view, 3> values{"urgent", "normal", "archive"};
};

inline constexpr std::size_t work_class_count = 3;

/// The service levels agreed with one customer. Value type; `derive_limits` derives all limits from
/// it.
struct contract {
    std::string m_customer;
    /// SHA-256 of the customer's API key, 64 lower-case hexadecimal characters.
    std::string m_api_key_sha256;
    /// Pools that may serve the customer.
    std::vector<std::string> m_pools;
    /// Slots provided for the customer in each of its pools.
    std::uint32_t m_capacity_slots{0};
    /// VMs of one pool that maintenance may take out of service at the same time.
    std::uint32_t m_vms_away{0};
    /// Time that a request may wait for a slot.
    milliseconds m_time_to_wait{0};
    /// Share of requests that must be answered with `done` over the window, in parts per million.
    std::uint32_t m_availability_ppm{0};
    /// Window over which the availability is measured.
    milliseconds m_availability_window{0};
    /// How long a repeated idempotency key is recognized.
    milliseconds m_retry_window{0};
    /// Highest priority class that the customer's requests may use.
    work_class m_class{work_class::normal};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("customer", self.m_customer);
        archive.field("api_key_sha256", self.m_api_key_sha256);
        archive.field("pools", self.m_pools);
        archive.field("capacity_slots", self.m_capacity_slots);
        archive.field("vms_away", self.m_vms_away);
        archive.field("time_to_wait_ms", self.m_time_to_wait);
        archive.field("availability_ppm", self.m_availability_ppm);
        archive.field("availability_window_ms", self.m_availability_window);
        archive.field("retry_window_ms", self.m_retry_window);
        archive.field("class", self.m_class);
    }
};

/// Why a contract is rejected.
enum class contract_fault {
    customer_name,
    api_key_hash,
    no_pool,
    unknown_pool,
    capacity,
    exceeds_fleet,
    vms_away,
    time_to_wait,
    availability,
    retry_window,
};

template <>
struct enum_names<contract_fault> {
    static constexpr std::array<std::string_view, 10> values{
        "customer_name", "api_key_hash", "no_pool",      "unknown_pool", "capacity",
        "exceeds_fleet", "vms_away",     "time_to_wait", "availability", "retry_window"};
};

/// Returns every fault of `value` that can be found without knowing the fleet; empty if it is
/// valid.
std::vector<contract_fault> check_contract(const contract& value);

/// Bounds that `check_contract` enforces.
inline constexpr std::uint32_t max_capacity_slots = 100'000;
inline constexpr std::uint32_t max_vms_away = 10'000;
inline constexpr milliseconds max_time_to_wait{600'000};
inline constexpr milliseconds min_retry_window{1'000};
inline constexpr milliseconds max_retry_window{86'400'000};
inline constexpr std::uint32_t parts_per_million = 1'000'000;

} // namespace peridotrudder
