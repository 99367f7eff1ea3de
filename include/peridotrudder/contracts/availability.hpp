#pragma once

/// @file
/// The burn rate of a customer's failure budget.

#include "peridotrudder/base/codec.hpp"

#include <array>
#include <cstdint>

namespace peridotrudder {

/// Successful and failed requests of one customer within an `availability_window`.
struct availability_counts {
    std::uint64_t m_good{0};
    /// Requests that the system failed: neither done nor refused because of a caller's error.
    std::uint64_t m_bad{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("good", self.m_good);
        archive.field("bad", self.m_bad);
    }
};

/// Counts one customer's requests over a sliding window. Pure; not thread-safe.
class availability_window {
public:
    /// Length of the window over which the burn rate is computed.
    static constexpr milliseconds length{300'000};

    /// Counts one request.
    void count(bool good, time_point now);

    /// Returns the requests counted within the window that ends at `now`.
    availability_counts counts(time_point now);

private:
    static constexpr std::size_t slice_count = 30;
    static constexpr milliseconds slice_length = length / slice_count;

    struct slice {
        std::int64_t m_number{-1};
        availability_counts m_counts;
    };

    static std::int64_t slice_number(time_point now);

    std::array<slice, slice_count> m_slices{};
};

/// Returns the share of failed requests divided by the failure budget: at a rate of 1 the budget is
/// used up in exactly the contract's window. Returns zero if there are too few requests to compute
/// a meaningful rate.
double burn_rate(const availability_counts& counts, std::uint32_t failure_budget_ppm);

} // namespace peridotrudder
