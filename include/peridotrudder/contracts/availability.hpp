#pragma once

/// @file
/// How fast a customer uses up its failure budget.

#include "peridotrudder/base/codec.hpp"

#include <array>
#include <cstdint>

namespace peridotrudder {

/// Requests of one customer over the last minutes.
struct availability_counts {
    std::uint64_t m_good{0};
    /// Requests that the system failed: neither done nor refused by the caller's own fault.
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
    /// Window over which the burn rate is judged.
    static constexpr milliseconds length{300'000};

    void count(bool good, time_point now);

    availability_counts counts(time_point now);

private:
    static constexpr std::size_t slice_count = 30;
    static constexpr milliseconds slice_length = length / slice_count;

    struct slice {
        std::int64_t m_number{-1};
        availability_counts m_counts;
    };

    static std::int64_t number_of(time_point now);

    std::array<slice, slice_count> m_slices{};
};

/// Returns how many times faster than allowed the budget is used up: 1 uses it up over exactly the
/// contract's window. Zero while there are too few requests to judge by.
double burn_rate(const availability_counts& counts, std::uint32_t failure_budget_ppm);

} // namespace peridotrudder
