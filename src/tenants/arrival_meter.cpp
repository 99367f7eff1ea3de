#include "peridotrudder/tenants/arrival_meter.hpp"

#include <algorithm>
#include <chrono>

namespace peridotrudder {

namespace {

constexpr double burst_seconds = 2.0;
/// Limit of the rate, in jobs per second; no owner accepts as many.
constexpr double max_rate = 1e6;
/// Smallest rate that is not taken for zero: a job in 31 years.
constexpr double min_rate = 1e-9;
/// A token counts as whole if only this much of it is missing, so that rounding delays no job.
constexpr double rounding = 1e-6;
/// Recorded jobs up to this age are replayed. Buckets of tenants with less than two jobs a minute
/// take longer to fill; these tenants may gain one job by a change of owner.
constexpr milliseconds replayed_time{60'000};

/// Returns the tenant's tokens per second.
double rate_of(const tenant_config& tenant)
{
    // False for NaN as well.
    return tenant.m_weight >= min_rate ? std::min(tenant.m_weight, max_rate) : 0.0;
}

double burst_of(double rate)
{
    return rate > 0.0 ? std::max(1.0, rate * burst_seconds) : 0.0;
}

double seconds_between(time_point from, time_point to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

} // namespace

arrival_meter arrival_meter::restore(const std::map<std::string, job, std::less<>>& jobs,
                                     moment now)
{
    arrival_meter meter;
    for (const auto& [id, recorded] : jobs) {
        const auto& header = recorded.header();
        if (!header.m_tenant || header.m_accepted_ms < now.m_unix_ms - replayed_time.count()) {
            continue;
        }
        const auto accepted_ms = std::min(header.m_accepted_ms, now.m_unix_ms);
        meter.m_recorded[header.m_tenant->m_name].push_back(
            {now.m_at - milliseconds{now.m_unix_ms - accepted_ms}, header.m_tenant->m_excess});
    }
    for (auto& [name, arrivals] : meter.m_recorded) {
        std::stable_sort(arrivals.begin(), arrivals.end(),
                         [](const recorded_arrival& left, const recorded_arrival& right) {
                             return left.m_at < right.m_at;
                         });
    }
    return meter;
}

bool arrival_meter::is_contracted(const tenant_config& tenant, time_point now)
{
    return filled_bucket(tenant, now).m_tokens >= 1.0 - rounding;
}

void arrival_meter::accept_contracted(const tenant_config& tenant, time_point now)
{
    auto& taken = filled_bucket(tenant, now);
    taken.m_tokens = std::max(0.0, taken.m_tokens - 1.0);
}

void arrival_meter::retain(const tenant_directory& directory)
{
    const auto drop_unknown = [&directory](auto& entries) {
        for (auto entry = entries.begin(); entry != entries.end();) {
            entry =
                directory.find(entry->first) == nullptr ? entries.erase(entry) : std::next(entry);
        }
    };
    drop_unknown(m_buckets);
    drop_unknown(m_recorded);
}

arrival_meter::bucket& arrival_meter::filled_bucket(const tenant_config& tenant, time_point now)
{
    auto found = m_buckets.find(tenant.m_name);
    if (found == m_buckets.end()) {
        found = m_buckets.emplace(tenant.m_name, replay(tenant, now)).first;
    }
    auto& filled = found->second;
    const auto rate = rate_of(tenant);
    // The limit is applied anew each time, since a new configuration may have lowered it.
    filled.m_tokens =
        std::min(filled.m_tokens + seconds_between(filled.m_filled_at, now) * rate, burst_of(rate));
    filled.m_filled_at = std::max(filled.m_filled_at, now);
    return filled;
}

arrival_meter::bucket arrival_meter::replay(const tenant_config& tenant, time_point now)
{
    const auto rate = rate_of(tenant);
    const auto burst = burst_of(rate);
    bucket replayed{burst, now};
    const auto recorded = m_recorded.find(tenant.m_name);
    if (recorded == m_recorded.end()) {
        return replayed;
    }
    replayed.m_filled_at = recorded->second.front().m_at;
    for (const auto& arrival : recorded->second) {
        replayed.m_tokens = std::min(
            replayed.m_tokens + seconds_between(replayed.m_filled_at, arrival.m_at) * rate, burst);
        replayed.m_filled_at = arrival.m_at;
        // An excess job shows that there was no token then, also if the replay begins too late to
        // know of the jobs that took them.
        replayed.m_tokens = arrival.m_excess ? 0.0 : std::max(0.0, replayed.m_tokens - 1.0);
    }
    m_recorded.erase(recorded);
    return replayed;
}

} // namespace peridotrudder
