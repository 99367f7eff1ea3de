#pragma once

/// @file
/// Decides when a missing link is opened, and when an attempt is given up.

#include "peridotrudder/base/clock.hpp"

namespace peridotrudder {

enum class attempt_step {
    none,
    /// Try to open the link.
    start,
    /// The attempt takes too long: drop it. Counts as failed.
    give_up,
};

/// Attempts to open one link. `check` is called at a fixed interval.
///
/// The first failures are followed by an attempt at the next check, so that a link is back soon;
/// more of them by longer pauses, up to a second. An attempt ends after its time limit whether or
/// not an end is reported. The limit of a handshake grows with those that took all of it: a slow
/// process also works on those that were given up, so with a short limit it may never get to one
/// in time. That of a connection doesn't grow, since a host answers without the process. Has no
/// side effects; not thread-safe.
class link_attempts {
public:
    explicit link_attempts(milliseconds interval = milliseconds{200}) : m_interval{interval} {}

    /// Counts an interval of a missing link and returns what to do. `jitter` is a random number;
    /// it spreads the attempts of many processes.
    attempt_step check(unsigned jitter);
    /// The peer's host has accepted the connection: the handshake begins.
    void connected();
    void opened();
    void failed();
    /// Records that the peer has opened a link to this process: the next attempt is made at once,
    /// in place of one that may wait on a path that was silent.
    void peer_lives();

    bool trying() const { return m_trying; }
    /// Attempts that failed since the link was open.
    int failures() const { return m_failures; }

private:
    static constexpr milliseconds connect_limit{2'000};
    static constexpr milliseconds first_handshake_limit{4'000};

    milliseconds m_interval;
    milliseconds m_handshake_limit{first_handshake_limit};
    bool m_trying{false};
    bool m_connected{false};
    int m_failures{0};
    /// Intervals of the present attempt, or of its handshake. Counted instead of measured: a
    /// process that was paused gets to handle what has arrived.
    int m_tried{0};
    /// Intervals until the next attempt.
    int m_pause{0};
};

} // namespace peridotrudder
