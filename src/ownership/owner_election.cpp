#include "peridotrudder/ownership/owner_election.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace peridotrudder {

namespace {

/// Pause before a claim is repeated: longer than the few log calls that a claim takes.
constexpr milliseconds claim_interval{250};
constexpr milliseconds check_interval{2'000};
/// Time in which the record that was in the way of a claim is read.
constexpr milliseconds refused_claim_pause{20};

} // namespace

owner_election owner_election::create(election_options options, time_point now)
{
    owner_election election;
    election.m_options = std::move(options);
    election.m_last_heartbeat_at = now;
    election.m_owner_gone_at = now;
    return election;
}

void owner_election::learn(const ownership_claim& claim, time_point now)
{
    const bool released = claim.m_epoch == m_claim.m_epoch && claim.m_released;
    if (claim.m_epoch <= m_claim.m_epoch && !released) {
        return;
    }
    m_owner_group = claim.m_epoch == m_claim.m_epoch ? m_owner_group : 0;
    m_claim = claim;
    m_learnt_at = now;
    clear_suspicion(now);
    m_owner_gone = claim.m_released;
    m_owner_gone_at = now;
}

void owner_election::clear_suspicion(time_point now)
{
    m_last_heartbeat_at = now;
    m_link_broken = false;
    m_asked_at.reset();
    m_checked_at.reset();
    m_journal_silent = false;
    m_peer_views.clear();
}

bool owner_election::is_owner() const
{
    return m_claim.m_epoch != 0 && !m_claim.m_released && !m_owner_gone &&
           m_claim.m_owner == m_options.m_self;
}

bool owner_election::predecessors_are_over(time_point now) const
{
    // No predecessor has a proof of ownership that is newer than this claim.
    return m_claim.m_after_release || now - m_learnt_at >= m_options.m_renewal_time;
}

void owner_election::heard(std::uint64_t epoch, time_point now)
{
    if (epoch == m_claim.m_epoch && !m_owner_gone) {
        clear_suspicion(now);
    }
}

void owner_election::owner_gone(std::uint64_t epoch, time_point now)
{
    if (epoch == m_claim.m_epoch && !m_owner_gone) {
        m_owner_gone = true;
        m_owner_gone_at = now;
    }
}

void owner_election::link_broken(const std::string& incarnation, time_point /*now*/)
{
    if (incarnation == m_claim.m_owner) {
        m_link_broken = true;
    }
}

void owner_election::peer_view(const std::string& peer, std::uint64_t epoch, bool hears_owner)
{
    // A peer that knows a newer claim tells its epoch.
    if (epoch >= m_claim.m_epoch && m_asked_at) {
        m_peer_views[peer] = hears_owner;
    }
}

void owner_election::owner_reaches(std::uint64_t epoch, std::uint64_t nodes)
{
    if (epoch == m_claim.m_epoch) {
        m_owner_group = nodes;
    }
}

void owner_election::journal_view(std::uint64_t epoch, bool owner_writes, time_point now)
{
    if (epoch == m_claim.m_epoch) {
        m_journal_silent = !owner_writes;
        m_checked_at = now;
    }
}

bool owner_election::suspects(time_point now) const
{
    return m_link_broken || now - m_last_heartbeat_at > m_options.m_suspect_after;
}

bool owner_election::hears_owner(time_point now) const
{
    return m_claim.m_epoch != 0 && !m_owner_gone && !suspects(now);
}

std::size_t owner_election::peers_hearing_owner() const
{
    return static_cast<std::size_t>(std::count_if(m_peer_views.begin(), m_peer_views.end(),
                                                  [](const auto& view) { return view.second; }));
}

std::size_t owner_election::reachable() const
{
    return std::max(m_linked, m_peer_views.size()) + 1;
}

std::size_t owner_election::nodes_without_owner() const
{
    return m_peer_views.size() - peers_hearing_owner() + 1;
}

bool owner_election::majority_lost_owner() const
{
    return nodes_without_owner() * 2 > m_members;
}

bool owner_election::outnumbers_owner() const
{
    return m_owner_group != 0 && nodes_without_owner() > m_owner_group;
}

std::optional<election_status> owner_election::status(time_point now) const
{
    if (is_owner() || hears_owner(now)) {
        return std::nullopt;
    }
    election_status status;
    status.m_heartbeat_age = heartbeat_age(now);
    status.m_link_broken = m_link_broken;
    status.m_owner_gone = m_owner_gone;
    status.m_members = m_members;
    status.m_reachable = reachable();
    status.m_answers = m_peer_views.size();
    status.m_peers_hearing_owner = peers_hearing_owner();
    if (m_checked_at) {
        status.m_checked_before = remaining(*m_checked_at, now);
    }
    status.m_journal_silent = m_journal_silent;
    return status;
}

std::string to_string(const election_status& status)
{
    const auto checked = status.m_checked_before
                             ? fmt::format("checked {} ms ago", status.m_checked_before->count())
                             : std::string{"not checked"};
    return fmt::format(
        "heartbeat {} ms ago{}{}, members {}, reachable {}, answers {}, hear the owner {}, "
        "journal {}{}",
        status.m_heartbeat_age.count(), status.m_link_broken ? ", link broken" : "",
        status.m_owner_gone ? ", gone" : "", status.m_members, status.m_reachable, status.m_answers,
        status.m_peers_hearing_owner, checked, status.m_journal_silent ? " and silent" : "");
}

void owner_election::claim_refused(time_point now)
{
    m_next_claim_at = std::min(m_next_claim_at, now + refused_claim_pause + m_options.m_stagger);
}

election_step owner_election::tick(time_point now)
{
    if (is_owner() || now < m_next_claim_at) {
        return election_step::none;
    }
    if (m_owner_gone) {
        if (now - m_owner_gone_at < m_options.m_stagger) {
            return election_step::none;
        }
        m_next_claim_at = now + claim_interval;
        return election_step::claim;
    }
    if (!suspects(now)) {
        return election_step::none;
    }
    return check_suspicion(now);
}

election_step owner_election::check_suspicion(time_point now)
{
    if (!m_asked_at || now - *m_asked_at > m_options.m_ask_interval) {
        m_asked_at = now;
        m_peer_views.clear();
        return election_step::ask_peers;
    }
    if (now - *m_asked_at < m_options.m_ask_timeout) {
        return election_step::none;
    }
    const auto hearing = peers_hearing_owner();
    if (majority_lost_owner() || outnumbers_owner() || (m_journal_silent && hearing == 0)) {
        // Before the peers are asked anew.
        const auto delay =
            std::min(m_options.m_stagger, (m_options.m_ask_interval - m_options.m_ask_timeout) / 2);
        if (now - *m_asked_at < m_options.m_ask_timeout + delay) {
            return election_step::none;
        }
        m_next_claim_at = now + claim_interval;
        m_asked_at.reset();
        m_journal_silent = false;
        return election_step::claim;
    }
    if (hearing == 0 && (!m_checked_at || now - *m_checked_at > check_interval)) {
        m_checked_at = now;
        return election_step::check_journal;
    }
    return election_step::none;
}

} // namespace peridotrudder
