#include "peridotrudder/ownership/owner_group.hpp"

namespace peridotrudder {

namespace {

/// Links of a starting cluster, or after an outage, open one by one.
constexpr milliseconds settling_time{500};
constexpr milliseconds retry_interval{1'000};

} // namespace

std::optional<std::uint64_t> owner_group_report::tick(std::size_t reached, std::size_t members,
                                                      time_point now)
{
    const std::uint64_t nodes = reached * 2 > members ? 0 : reached;
    if (nodes != m_newest) {
        m_newest = nodes;
        m_changed_at = now;
    }
    const bool retrying = m_tried_at && now - *m_tried_at < retry_interval;
    if (nodes == m_recorded || now - m_changed_at < settling_time || retrying) {
        return std::nullopt;
    }
    m_tried_at = now;
    return nodes;
}

} // namespace peridotrudder
