#include "peridotrudder/contracts/availability.hpp"

#include "peridotrudder/contracts/contract.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

constexpr std::uint64_t requests_to_judge = 100;

} // namespace

std::int64_t availability_window::number_of(time_point now)
{
    return now.time_since_epoch() / slice_length;
}

void availability_window::count(bool good, time_point now)
{
    const auto number = number_of(now);
    auto& current = m_slices.at(static_cast<std::size_t>(number) % slice_count);
    if (current.m_number != number) {
        current = {number, {}};
    }
    ++(good ? current.m_counts.m_good : current.m_counts.m_bad);
}

availability_counts availability_window::counts(time_point now)
{
    const auto oldest = number_of(now) - static_cast<std::int64_t>(slice_count) + 1;
    availability_counts sum;
    for (const auto& each : m_slices) {
        if (each.m_number >= oldest) {
            sum.m_good += each.m_counts.m_good;
            sum.m_bad += each.m_counts.m_bad;
        }
    }
    return sum;
}

double burn_rate(const availability_counts& counts, std::uint32_t failure_budget_ppm)
{
    const auto all = counts.m_good + counts.m_bad;
    if (all < requests_to_judge) {
        return 0;
    }
    const double bad_share = static_cast<double>(counts.m_bad) / static_cast<double>(all);
    const double budget = static_cast<double>(std::max(1U, failure_budget_ppm)) / parts_per_million;
    return bad_share / budget;
}

} // namespace peridotrudder
