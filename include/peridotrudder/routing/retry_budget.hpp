#pragma once

/// @file
/// Bounds a customer's retries by a share of its successes.

#include <cstdint>

namespace peridotrudder {

/// Earns retries with successes and spends them. Pure; not thread-safe.
class retry_budget {
public:
    /// Earns `retry_ppm` millionths of a retry with each success, up to `burst` retries. Begins
    /// with the whole burst.
    retry_budget(std::uint32_t retry_ppm, std::uint32_t burst);

    void earn();

    /// Returns whether a retry may be made, and spends it.
    bool spend();

private:
    std::uint64_t m_earned_per_success;
    std::uint64_t m_limit;
    std::uint64_t m_balance;
};

} // namespace peridotrudder
