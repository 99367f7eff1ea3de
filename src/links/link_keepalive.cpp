#include "peridotrudder/links/link_keepalive.hpp"

namespace peridotrudder {

namespace {

/// In intervals between checks.
constexpr int ping_after_in_use = 4;
constexpr int ping_after_idle = 50;
constexpr int close_after = 5;

} // namespace

void link_keepalive::answered()
{
    m_awaits_answer = false;
    m_intervals = 0;
}

keepalive_step link_keepalive::check()
{
    ++m_intervals;
    if (m_awaits_answer) {
        return m_intervals >= close_after ? keepalive_step::close : keepalive_step::none;
    }
    const int ping_after = m_used ? ping_after_in_use : ping_after_idle;
    if (m_intervals < ping_after) {
        return keepalive_step::none;
    }
    m_awaits_answer = true;
    m_used = false;
    m_intervals = 0;
    return keepalive_step::ping;
}

} // namespace peridotrudder
