#pragma once

/// @file
/// Decides when an open connection is pinged, and when it is dead.

namespace peridotrudder {

enum class keepalive_step {
    none,
    /// Send a ping.
    ping,
    /// The last ping has not been answered: close the connection.
    close,
};

/// Keep-alive of one connection. `check` is called at a fixed interval.
///
/// A connection in use is pinged often, so that what was sent on a dead one is soon sent again. An
/// idle one is pinged seldom, since its pings would be the largest part of its traffic. Has no side
/// effects; not thread-safe.
class link_keepalive {
public:
    /// Records that the connection, or the peer's connection to this process, carried a message.
    void used() { m_used = true; }
    /// Records the answer to a ping.
    void answered();
    /// Counts an interval and returns what to do.
    keepalive_step check();

private:
    /// Intervals since the last ping or its answer. Intervals are counted instead of measured: a
    /// process that was paused gets to read the answers that have arrived before it closes a link.
    int m_intervals{0};
    bool m_awaits_answer{false};
    bool m_used{false};
};

} // namespace peridotrudder
