#pragma once

/// @file
/// Follows a keyed topic of the log: reads a snapshot first, then every change.

#include "peridotrudder/base/loop_port.hpp"
#include "peridotrudder/ownership/log_port.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace peridotrudder {

struct follower_options {
    std::string m_topic;
    /// How long a read may wait for a record. Short enough that the next read makes up for a lost
    /// answer in time.
    milliseconds m_wait{900};
    /// Pause between reads, for topics to which many records are written.
    milliseconds m_pause{0};
    milliseconds m_retry_pause{150};
};

/// Events that a follower reports.
struct follower_events {
    /// The newest record of each key: at first, and again when changes were missed.
    std::function<void(const std::vector<keyed_record>&)> m_snapshot;
    /// Changes, in order.
    std::function<void(const std::vector<keyed_record>&)> m_changes;
    /// A read failed.
    std::function<void(log_result)> m_failed;
    /// The offset at which to read next, after each successful read.
    std::function<void(std::uint64_t end)> m_end;
};

/// Reads until it is destroyed. Not thread-safe; calls back on the loop.
class topic_follower {
public:
    static std::unique_ptr<topic_follower> create(follower_options options, log_port port,
                                                  loop_port loop, follower_events events);

    void start();
    /// Returns when the newest successful answer was received.
    time_point answered_at() const { return m_answered_at; }

private:
    topic_follower(follower_options options, log_port port, loop_port loop, follower_events events);

    void read_snapshot();
    void read_changes();
    void handle_snapshot(const newest_answer& answer);
    void handle_changes(const read_answer& answer);
    void schedule(milliseconds pause, void (topic_follower::*next_read)());

    follower_options m_options;
    log_port m_port;
    loop_port m_loop;
    follower_events m_events;
    std::uint64_t m_next{0};
    time_point m_answered_at;
    /// Callbacks of pending calls hold a weak pointer to it, to detect that the follower is
    /// destroyed.
    std::shared_ptr<topic_follower*> m_self;
};

} // namespace peridotrudder
