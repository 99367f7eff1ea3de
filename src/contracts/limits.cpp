#include "peridotrudder/contracts/limits.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

/// Demand peaks at five times its mean, so this many requests may run or wait for each slot.
constexpr std::uint32_t pending_per_slot = 6;
constexpr std::uint32_t retry_ppm = 100'000;
constexpr std::uint32_t min_retry_burst = 2;
constexpr std::uint32_t slots_per_burst_retry = 4;
/// Drain time as a multiple of the time to wait: longer than the longest wait, so that requests
/// already running can finish too.
constexpr int waits_per_drain = 3;
constexpr milliseconds min_drain_time{5'000};
/// At this burn rate a 30-day budget is used up in five days.
constexpr double pause_burn_rate = 6.0;
constexpr double alert_burn_rate = 2.0;
constexpr std::uint32_t share_headroom = 2;

} // namespace

customer_limits derive_limits(const contract& value)
{
    customer_limits limits;
    limits.m_max_pending = value.m_capacity_slots * pending_per_slot;
    limits.m_time_to_wait = value.m_time_to_wait;
    limits.m_retry_ppm = retry_ppm;
    limits.m_retry_burst =
        std::max(min_retry_burst, value.m_capacity_slots / slots_per_burst_retry);
    limits.m_drain_time = std::max(min_drain_time, value.m_time_to_wait * waits_per_drain);
    limits.m_vms_away = value.m_vms_away;
    limits.m_failure_budget_ppm = parts_per_million - value.m_availability_ppm;
    limits.m_pause_burn_rate = pause_burn_rate;
    limits.m_alert_burn_rate = alert_burn_rate;
    limits.m_retry_window = value.m_retry_window;
    limits.m_class = value.m_class;
    return limits;
}

std::uint32_t entry_share(std::uint32_t total_count, std::size_t entries)
{
    if (entries <= 1) {
        return std::max(total_count, 1U);
    }
    const auto count = static_cast<std::uint32_t>(entries);
    const std::uint32_t share = (total_count * share_headroom + count - 1) / count;
    return std::max(1U, std::min(total_count, share));
}

} // namespace peridotrudder
