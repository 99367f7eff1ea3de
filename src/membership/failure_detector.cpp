#include "peridotrudder/membership/failure_detector.hpp"

#include <algorithm>

namespace peridotrudder {

failure_detector::failure_detector(std::string self, milliseconds suspect_after)
    : m_self{std::move(self)},
      m_suspect_after{suspect_after}
{
}

void failure_detector::set_view(const view& current, time_point now)
{
    m_view = current;
    std::map<std::string, peer> kept;
    for (const auto& each : current.m_members) {
        if (each.m_incarnation == m_self) {
            continue;
        }
        const auto known = m_peers.find(each.m_incarnation);
        // A new member gets its time to connect.
        kept[each.m_incarnation] = known == m_peers.end() ? peer{now, {}} : known->second;
    }
    m_peers = std::move(kept);
}

void failure_detector::heard(const std::string& from, const std::vector<std::string>& suspects,
                             time_point now)
{
    const auto found = m_peers.find(from);
    if (found != m_peers.end()) {
        found->second.m_heard = now;
        found->second.m_suspects = {suspects.begin(), suspects.end()};
    }
}

std::vector<std::string> failure_detector::suspects(time_point now) const
{
    std::vector<std::string> silent;
    for (const auto& [incarnation, each] : m_peers) {
        if (now - each.m_heard >= m_suspect_after) {
            silent.push_back(incarnation);
        }
    }
    return silent;
}

std::vector<eviction> failure_detector::evictions(time_point now) const
{
    const auto silent = suspects(now);
    const std::set<std::string> mine{silent.begin(), silent.end()};
    std::vector<std::string> trusted{m_self};
    for (const auto& [incarnation, each] : m_peers) {
        if (mine.count(incarnation) == 0) {
            trusted.push_back(incarnation);
        }
    }
    std::vector<eviction> found;
    if (*std::min_element(trusted.begin(), trusted.end()) != m_self) {
        return found;
    }
    for (const auto& suspect : silent) {
        eviction proposal{suspect, {}};
        for (const auto& observer : trusted) {
            if (observer == m_self || m_peers.at(observer).m_suspects.count(suspect) != 0) {
                proposal.m_observers.push_back(observer);
            }
        }
        if (has_eviction_quorum(m_view, proposal.m_observers)) {
            found.push_back(std::move(proposal));
        }
    }
    return found;
}

} // namespace peridotrudder
