#include "peridotrudder/machines/worker_health.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

constexpr milliseconds first_ejection{1'000};
constexpr std::uint32_t max_doublings = 6;
/// Maximum percentage of a pool's workers that may be ejected at once.
constexpr std::size_t max_ejected_percent = 50;
constexpr std::size_t percent = 100;

} // namespace

worker_health worker_health::create(std::uint32_t failures_to_eject)
{
    worker_health health;
    health.m_failures_to_eject = failures_to_eject;
    return health;
}

void worker_health::succeeded(std::string_view vm)
{
    const auto position = m_records.find(vm);
    if (position != m_records.end()) {
        m_records.erase(position);
    }
}

void worker_health::failed(std::string_view vm, std::size_t pool_size, time_point now)
{
    auto& worker_record = m_records[std::string{vm}];
    ++worker_record.m_failures_in_a_row;
    // After an ejection, one failure before the first success ejects the worker again.
    const bool due =
        worker_record.m_failures_in_a_row >= m_failures_to_eject || worker_record.m_ejections > 0;
    const bool capped = (ejected(now) + 1) * percent > pool_size * max_ejected_percent;
    if (!due || capped || now < worker_record.m_ejected_until) {
        return;
    }
    worker_record.m_ejected_until =
        now + first_ejection * (1U << std::min(worker_record.m_ejections, max_doublings));
    ++worker_record.m_ejections;
}

bool worker_health::usable(std::string_view vm, time_point now) const
{
    const auto position = m_records.find(vm);
    return position == m_records.end() || now >= position->second.m_ejected_until;
}

std::size_t worker_health::ejected(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(),
                      [now](const auto& entry) { return now < entry.second.m_ejected_until; }));
}

} // namespace peridotrudder
