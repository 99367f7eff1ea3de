#include "peridotrudder/links/link_attempts.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

constexpr milliseconds longest_handshake_limit{16'000};
/// Failures after which the next attempt is made without a pause.
constexpr int free_failures = 2;
/// In intervals between checks.
constexpr int longest_pause = 4;

} // namespace

attempt_step link_attempts::check(unsigned jitter)
{
    if (m_trying) {
        ++m_tried;
        if (m_interval * m_tried < (m_connected ? m_handshake_limit : connect_limit)) {
            return attempt_step::none;
        }
        if (m_connected) {
            m_handshake_limit = std::min(m_handshake_limit * 2, longest_handshake_limit);
        }
        failed();
        return attempt_step::give_up;
    }
    if (m_pause > 0) {
        --m_pause;
        return attempt_step::none;
    }
    m_trying = true;
    m_connected = false;
    m_tried = 0;
    // For the case that this attempt fails.
    const int pause = std::clamp(m_failures + 1 - free_failures, 0, longest_pause);
    m_pause = pause == 0 ? 0 : 1 + static_cast<int>(jitter % static_cast<unsigned>(pause));
    return attempt_step::start;
}

void link_attempts::connected()
{
    m_connected = true;
    m_tried = 0;
}

void link_attempts::opened()
{
    *this = link_attempts{m_interval};
}

void link_attempts::peer_lives()
{
    m_pause = 0;
    m_handshake_limit = first_handshake_limit;
}

void link_attempts::failed()
{
    m_trying = false;
    ++m_failures;
}

} // namespace peridotrudder
