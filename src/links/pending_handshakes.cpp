#include "links/pending_handshakes.hpp"

#include <algorithm>

namespace peridotrudder::internal {

handshake_number pending_handshakes::add(bool from_peer_address, time_point now)
{
    m_accepted_at[from_peer_address ? peer_address : unknown_address].emplace(++m_last, now);
    return m_last;
}

void pending_handshakes::header_arrived(handshake_number connection)
{
    for (const auto from : {unknown_address, peer_address}) {
        m_accepted_at[header_complete].insert(m_accepted_at[from].extract(connection));
    }
}

void pending_handshakes::remove(handshake_number connection)
{
    for (auto& of_rank : m_accepted_at) {
        of_rank.erase(connection);
    }
}

std::optional<handshake_number> pending_handshakes::surplus() const
{
    return size() > m_limit ? first_to_evict() : std::nullopt;
}

std::optional<handshake_number> pending_handshakes::first_to_evict() const
{
    const auto found = std::find_if(m_accepted_at.begin(), m_accepted_at.end(),
                                    [](const auto& of_rank) { return !of_rank.empty(); });
    if (found == m_accepted_at.end()) {
        return std::nullopt;
    }
    return found->begin()->first;
}

std::vector<handshake_number> pending_handshakes::overdue(time_point now) const
{
    std::vector<handshake_number> connections;
    for (const auto& of_rank : m_accepted_at) {
        for (const auto& [connection, accepted_at] : of_rank) {
            if (now - accepted_at < m_time_limit) {
                break;
            }
            connections.push_back(connection);
        }
    }
    return connections;
}

std::size_t pending_handshakes::size() const
{
    std::size_t count = 0;
    for (const auto& of_rank : m_accepted_at) {
        count += of_rank.size();
    }
    return count;
}

} // namespace peridotrudder::internal
