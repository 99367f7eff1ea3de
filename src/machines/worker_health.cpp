#include "peridotrudder/machines/worker_health.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

constexpr milliseconds first_ejection{1'000};
constexpr std::uint32_t max_doublings = 6;
/// Workers in a hundred that may be ejected at once.
constexpr std::size_t max_ejected_percent = 50;
constexpr std::size_t percent = 100;

} // namespace

worker_health worker_health::create(std::uint32_t failures_to_eject)
{
    worker_health made;
    made.m_failures_to_eject = failures_to_eject;
    return made;
}

void worker_health::succeeded(std::string_view vm)
{
    const auto found = m_records.find(vm);
    if (found != m_records.end()) {
        m_records.erase(found);
    }
}

void worker_health::failed(std::string_view vm, std::size_t pool_size, time_point now)
{
    auto& watched = m_records[std::string{vm}];
    ++watched.m_failures_in_a_row;
    // A worker that comes back from an ejection has to succeed first: one failure ejects it again.
    const bool due = watched.m_failures_in_a_row >= m_failures_to_eject || watched.m_ejections > 0;
    const bool capped = (ejected(now) + 1) * percent > pool_size * max_ejected_percent;
    if (!due || capped || now < watched.m_ejected_until) {
        return;
    }
    watched.m_ejected_until =
        now + first_ejection * (1U << std::min(watched.m_ejections, max_doublings));
    ++watched.m_ejections;
}

bool worker_health::usable(std::string_view vm, time_point now) const
{
    const auto found = m_records.find(vm);
    return found == m_records.end() || now >= found->second.m_ejected_until;
}

std::size_t worker_health::ejected(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(),
                      [now](const auto& each) { return now < each.second.m_ejected_until; }));
}

} // namespace peridotrudder
