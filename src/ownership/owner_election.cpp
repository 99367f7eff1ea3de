#include "peridotrudder/ownership/owner_election.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

/// Pause before a claim is repeated: longer than the few log calls that a claim takes.
constexpr milliseconds claim_interval{250};
constexpr milliseconds check_interval{2'000};

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
    const auto peers_hearing_owner = static_cast<std::size_t>(std::count_if(
        m_peer_views.begin(), m_peer_views.end(), [](const auto& view) { return view.second; }));
    const auto peers_without_owner = m_peer_views.size() - peers_hearing_owner + 1;
    const bool majority_lost_owner = peers_without_owner * 2 > m_members;
    if (majority_lost_owner || (m_journal_silent && peers_hearing_owner == 0)) {
        m_next_claim_at = now + claim_interval;
        m_asked_at.reset();
        m_journal_silent = false;
        return election_step::claim;
    }
    if (peers_hearing_owner == 0 && (!m_checked_at || now - *m_checked_at > check_interval)) {
        m_checked_at = now;
        return election_step::check_journal;
    }
    return election_step::none;
}

} // namespace peridotrudder
