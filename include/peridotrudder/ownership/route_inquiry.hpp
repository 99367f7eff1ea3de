#pragma once

/// @file
/// Decides when peers are asked whether they reach the owner, and which of them.

#include "peridotrudder/base/clock.hpp"
#include "peridotrudder/ownership/owner_routes.hpp"

namespace peridotrudder {

enum class route_question {
    none,
    /// Ask the peer of the present route.
    ask_route,
    /// There is no route, or its peer has not answered the last question.
    ask_all,
};

/// Questions about routes to the owner. Has no side effects; not thread-safe.
class route_inquiry {
public:
    explicit route_inquiry(time_point now) : m_asked_at{now} {}

    /// Peers were asked for another reason; their answers serve for routes too.
    void asked(time_point now) { m_asked_at = now; }
    /// Returns whom to ask now; they then count as asked.
    route_question next(const owner_route& route, const owner_routes& routes, bool owner_has_gone,
                        time_point now);

private:
    time_point m_asked_at;
};

} // namespace peridotrudder
