#include "peridotrudder/ownership/route_inquiry.hpp"

namespace peridotrudder {

namespace {

/// Longer than the interval at which the election asks, whose answers are used too.
constexpr milliseconds ask_interval{350};
/// Usual time until a question is answered.
constexpr milliseconds answer_time{100};
/// While there is no owner, a new one will soon announce itself.
constexpr milliseconds ownerless_ask_interval{1'000};

} // namespace

route_question route_inquiry::next(const owner_route& route, const owner_routes& routes,
                                   bool owner_has_gone, time_point now)
{
    const auto interval = owner_has_gone ? ownerless_ask_interval : ask_interval;
    if (route.m_direct || now - m_asked_at < interval) {
        return route_question::none;
    }
    m_asked_at = now;
    return routes.is_newer_than(interval + answer_time, route.m_peer, now)
               ? route_question::ask_route
               : route_question::ask_all;
}

} // namespace peridotrudder
