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
    std::map<std::string, peer> peers;
    for (const auto& current_member : current.m_members) {
        if (current_member.m_incarnation == m_self) {
            continue;
        }
        const auto known = m_peers.find(current_member.m_incarnation);
        // A new member gets the full suspicion time to connect.
        peers[current_member.m_incarnation] =
            known == m_peers.end() ? peer{now, {}} : known->second;
    }
    m_peers = std::move(peers);
}

void failure_detector::heard(const std::string& from, const std::vector<std::string>& suspects,
                             time_point now)
{
    const auto found = m_peers.find(from);
    if (found != m_peers.end()) {
        found->second.m_last_heartbeat = now;
        found->second.m_suspects = {suspects.begin(), suspects.end()};
    }
}

std::vector<std::string> failure_detector::suspects(time_point now) const
{
    std::vector<std::string> suspected;
    for (const auto& [incarnation, peer_state] : m_peers) {
        if (now - peer_state.m_last_heartbeat >= m_suspect_after) {
            suspected.push_back(incarnation);
        }
    }
    return suspected;
}

std::vector<eviction> failure_detector::evictions(time_point now) const
{
    const auto suspected = suspects(now);
    const std::set<std::string> own_suspects{suspected.begin(), suspected.end()};
    std::vector<std::string> trusted{m_self};
    for (const auto& [incarnation, peer_state] : m_peers) {
        if (own_suspects.count(incarnation) == 0) {
            trusted.push_back(incarnation);
        }
    }
    std::vector<eviction> proposals;
    if (*std::min_element(trusted.begin(), trusted.end()) != m_self) {
        return proposals;
    }
    for (const auto& suspect : suspected) {
        eviction proposal{suspect, {}};
        for (const auto& observer : trusted) {
            if (observer == m_self || m_peers.at(observer).m_suspects.count(suspect) != 0) {
                proposal.m_observers.push_back(observer);
            }
        }
        if (has_eviction_quorum(m_view, proposal.m_observers)) {
            proposals.push_back(std::move(proposal));
        }
    }
    return proposals;
}

} // namespace peridotrudder
