#pragma once

/// @file
/// Limits a customer's retries to a share of its successful requests.

#include <cstdint>

namespace peridotrudder {

/// A token bucket of retries that successful requests refill. Pure; not thread-safe.
class retry_budget {
public:
    /// Each success adds `retry_ppm` millionths of a retry, up to `burst` retries. Starts full.
    retry_budget(std::uint32_t retry_ppm, std::uint32_t burst);

    /// Adds the share of one successful request.
    void earn();

    /// Takes one retry from the budget. Returns false if less than one is left.
    bool spend();

private:
    std::uint64_t m_ppm_per_success;
    std::uint64_t m_max_balance_ppm;
    std::uint64_t m_balance_ppm;
};

} // namespace peridotrudder
