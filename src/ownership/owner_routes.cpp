#include "peridotrudder/ownership/owner_routes.hpp"

namespace peridotrudder {

owner_routes owner_routes::create(milliseconds max_age)
{
    owner_routes made;
    made.m_max_age = max_age;
    return made;
}

void owner_routes::reaches(const std::string& peer, std::uint64_t epoch, time_point now)
{
    m_views[peer] = {epoch, now};
}

void owner_routes::forget(const std::string& peer)
{
    m_views.erase(peer);
}

bool owner_routes::usable(const peer_view& view, std::uint64_t epoch, time_point now) const
{
    return view.m_epoch >= epoch && now - view.m_at <= m_max_age;
}

bool owner_routes::is_newer_than(milliseconds age, const std::string& peer, time_point now) const
{
    const auto found = m_views.find(peer);
    return found != m_views.end() && now - found->second.m_at <= age;
}

owner_route owner_routes::best(std::uint64_t epoch, time_point now) const
{
    const auto preferred = m_views.find(m_preferred);
    if (preferred != m_views.end() && usable(preferred->second, epoch, now)) {
        return {m_preferred, false, preferred->second.m_epoch};
    }
    owner_route newest;
    time_point newest_at;
    for (const auto& [peer, view] : m_views) {
        if (usable(view, epoch, now) && (!newest.exists() || view.m_at > newest_at)) {
            newest = {peer, false, view.m_epoch};
            newest_at = view.m_at;
        }
    }
    return newest;
}

} // namespace peridotrudder
