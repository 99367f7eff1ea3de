#include "links/link_table.hpp"

#include <fmt/format.h>

#include <set>

namespace peridotrudder::internal {

namespace {

/// Check intervals after which a link from a peer is closed that carried nothing, not even the
/// pings of an idle link.
constexpr int accepted_silence_limit = 150;
/// Shortest time between two log lines about the same peer.
constexpr milliseconds report_interval{5'000};

} // namespace

bool same_connection(const connection_handle& left, const connection_handle& right)
{
    return !left.owner_before(right) && !right.owner_before(left);
}

outgoing_links::ended_links outgoing_links::replace(const std::vector<peer_endpoint>& peers,
                                                    time_point now)
{
    ended_links ended;
    const std::lock_guard<std::mutex> lock{m_mutex};
    std::set<std::string> current_peers;
    for (const auto& peer : peers) {
        current_peers.insert(peer.m_incarnation);
        const auto [position, added] = m_links.try_emplace(peer.m_incarnation);
        position->second.m_endpoint = peer;
        if (added) {
            position->second.m_attempts = link_attempts{m_check_interval};
            position->second.m_missing_since = now;
        }
    }
    for (auto position = m_links.begin(); position != m_links.end();) {
        if (current_peers.count(position->first) != 0) {
            ++position;
            continue;
        }
        if (position->second.m_open) {
            ended.m_open.push_back(position->second.m_connection);
            ended.m_dropped.push_back(position->first);
        }
        else {
            ended.m_attempts.push_back(position->second.m_connection);
        }
        position = m_links.erase(position);
    }
    return ended;
}

std::optional<connection_handle> outgoing_links::use(const std::string& peer)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    const auto found = m_links.find(peer);
    if (found == m_links.end() || !found->second.m_open) {
        return std::nullopt;
    }
    found->second.m_keepalive.used();
    return found->second.m_connection;
}

// The link to a peer that sends must not be dead unnoticed.
void outgoing_links::peer_sent(const std::string& peer)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    const auto found = m_links.find(peer);
    if (found != m_links.end()) {
        found->second.m_keepalive.used();
    }
}

void outgoing_links::peer_lives(const std::string& peer)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    const auto found = m_links.find(peer);
    if (found != m_links.end()) {
        found->second.m_attempts.peer_lives();
    }
}

outgoing_links::keepalive_steps outgoing_links::check_open(time_point now)
{
    keepalive_steps steps;
    const std::lock_guard<std::mutex> lock{m_mutex};
    for (auto& [peer, checked] : m_links) {
        const auto step = checked.m_open ? checked.m_keepalive.check() : keepalive_step::none;
        if (step == keepalive_step::ping) {
            steps.m_to_ping.push_back(checked.m_connection);
        }
        if (step == keepalive_step::close) {
            checked.m_open = false;
            checked.m_missing_since = now;
            steps.m_dead.emplace_back(peer, checked.m_connection);
        }
    }
    return steps;
}

outgoing_links::attempt_steps outgoing_links::check_missing(bool interval,
                                                            const std::function<unsigned()>& random,
                                                            time_point now)
{
    attempt_steps steps;
    const std::lock_guard<std::mutex> lock{m_mutex};
    for (auto& [peer, missing] : m_links) {
        const bool fresh = !missing.m_attempts.trying() && missing.m_attempts.failures() == 0;
        if (missing.m_open || (!interval && !fresh)) {
            continue;
        }
        const auto step = missing.m_attempts.check(random());
        if (step == attempt_step::start) {
            steps.m_to_open.push_back(missing.m_endpoint);
        }
        if (step == attempt_step::give_up) {
            steps.m_given_up.push_back(std::exchange(missing.m_connection, {}));
            steps.m_failures.push_back(describe_failure(missing, "no answer in time", now));
        }
    }
    return steps;
}

void outgoing_links::started(const std::string& peer, const connection_handle& connection)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    const auto found = m_links.find(peer);
    if (found != m_links.end()) {
        found->second.m_connection = connection;
    }
}

void outgoing_links::connected(const std::string& peer, const connection_handle& connection)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    if (auto* current = find(peer, connection)) {
        current->m_attempts.connected();
    }
}

std::optional<outgoing_links::ended_gap>
outgoing_links::opened(const std::string& peer, const connection_handle& connection, time_point now)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    auto* current = find(peer, connection);
    if (current == nullptr) {
        return std::nullopt;
    }
    const ended_gap gap{remaining(current->m_missing_since, now), current->m_attempts.failures()};
    current->m_keepalive = {};
    current->m_open = true;
    current->m_attempts.opened();
    return gap;
}

void outgoing_links::answered(const std::string& peer, const connection_handle& connection)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    if (auto* current = find(peer, connection)) {
        current->m_keepalive.answered();
    }
}

std::string outgoing_links::failed(const std::string& peer, const connection_handle& connection,
                                   const std::string& cause, time_point now)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    auto* current = find(peer, connection);
    if (current == nullptr) {
        return {};
    }
    current->m_connection.reset();
    current->m_attempts.failed();
    return describe_failure(*current, cause, now);
}

bool outgoing_links::closed(const std::string& peer, const connection_handle& connection,
                            time_point now)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    auto* current = find(peer, connection);
    if (current == nullptr || !current->m_open) {
        return false;
    }
    current->m_open = false;
    current->m_missing_since = now;
    return true;
}

// The end of a former connection, or of a former attempt, changes nothing.
outgoing_links::link* outgoing_links::find(const std::string& peer,
                                           const connection_handle& connection)
{
    const auto found = m_links.find(peer);
    const bool current =
        found != m_links.end() && same_connection(found->second.m_connection, connection);
    return current ? &found->second : nullptr;
}

std::string outgoing_links::describe_failure(link& failed_link, const std::string& cause,
                                             time_point now)
{
    const int failures = failed_link.m_attempts.failures();
    if (failures > 1 && now - failed_link.m_reported_at < report_interval) {
        return {};
    }
    failed_link.m_reported_at = now;
    const auto& peer = failed_link.m_endpoint;
    return fmt::format("{} at {}:{}: {}, {} failures in {} ms", peer.m_incarnation, peer.m_address,
                       peer.m_port, cause, failures,
                       remaining(failed_link.m_missing_since, now).count());
}

connection_handle accepted_links::accept(const std::string& peer,
                                         const connection_handle& connection)
{
    return std::exchange(m_links[peer], {connection, 0}).m_connection;
}

void accepted_links::remove(const std::string& peer, const connection_handle& connection)
{
    const auto found = m_links.find(peer);
    if (found != m_links.end() && same_connection(found->second.m_connection, connection)) {
        m_links.erase(found);
    }
}

void accepted_links::used(const std::string& peer, const connection_handle& connection)
{
    const auto found = m_links.find(peer);
    if (found != m_links.end() && same_connection(found->second.m_connection, connection)) {
        found->second.m_silent_intervals = 0;
    }
}

std::vector<connection_handle> accepted_links::check()
{
    std::vector<connection_handle> silent;
    for (auto& [peer, accepted] : m_links) {
        if (++accepted.m_silent_intervals >= accepted_silence_limit) {
            silent.push_back(accepted.m_connection);
        }
    }
    return silent;
}

} // namespace peridotrudder::internal
