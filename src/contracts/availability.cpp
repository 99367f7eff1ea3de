#include "peridotrudder/contracts/availability.hpp"

#include "peridotrudder/contracts/contract.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

constexpr std::uint64_t min_requests = 100;

} // namespace

std::int64_t availability_window::slice_number(time_point now)
{
    return now.time_since_epoch() / slice_length;
}

void availability_window::count(bool good, time_point now)
{
    const auto number = slice_number(now);
    auto& current_slice = m_slices.at(static_cast<std::size_t>(number) % slice_count);
    if (current_slice.m_number != number) {
        current_slice = {number, {}};
    }
    ++(good ? current_slice.m_counts.m_good : current_slice.m_counts.m_bad);
}

availability_counts availability_window::counts(time_point now)
{
    const auto oldest = slice_number(now) - static_cast<std::int64_t>(slice_count) + 1;
    availability_counts sum;
    for (const auto& past_slice : m_slices) {
        if (past_slice.m_number >= oldest) {
            sum.m_good += past_slice.m_counts.m_good;
            sum.m_bad += past_slice.m_counts.m_bad;
        }
    }
    return sum;
}

double burn_rate(const availability_counts& counts, std::uint32_t failure_budget_ppm)
{
    const auto total = counts.m_good + counts.m_bad;
    if (total < min_requests) {
        return 0;
    }
    const double bad_share = static_cast<double>(counts.m_bad) / static_cast<double>(total);
    const double budget = static_cast<double>(std::max(1U, failure_budget_ppm)) / parts_per_million;
    return bad_share / budget;
}

} // namespace peridotrudder
