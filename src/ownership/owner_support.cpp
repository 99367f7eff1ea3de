#include "peridotrudder/ownership/owner_support.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

/// Age of the proof of ownership from which on the peers are asked whether they hear the owner.
constexpr milliseconds ask_after{600};
constexpr milliseconds ask_interval{200};
/// How long a peer's word that it hears the owner counts.
constexpr milliseconds confirmation_time{600};

} // namespace

bool owner_support::ask(milliseconds proof_age, time_point now)
{
    if (proof_age < ask_after || now - m_asked_at < ask_interval) {
        return false;
    }
    m_asked_at = now;
    return true;
}

bool owner_support::is_majority(std::size_t nodes, time_point now) const
{
    const auto supporters =
        std::count_if(m_supporters.begin(), m_supporters.end(),
                      [now](const auto& entry) { return now - entry.second <= confirmation_time; });
    return (static_cast<std::size_t>(supporters) + 1) * 2 > nodes;
}

} // namespace peridotrudder
