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
    /// For topics whose newest records must be known soon, also if a connection goes silent: a read
    /// that is this late is repeated beside it (hedging), and a read after records does not wait.
    /// Zero for other topics.
    milliseconds m_hedge_delay{0};
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
    /// Returns a time up to which all records have certainly been read.
    time_point current_at() const { return m_current_at; }

private:
    topic_follower(follower_options options, log_port port, loop_port loop, follower_events events);

    /// Begins a read, and with it a new round; answers of earlier rounds are ignored.
    void read_snapshot();
    void read_changes();
    void send_snapshot_read();
    void send_changes_read(milliseconds wait);
    /// Sends the read of the round again while it has no answer.
    void hedge_after(milliseconds delay, bool snapshot);
    /// Takes note of a failed copy. Returns whether others may still be answered; if not, the round
    /// is over.
    bool fails_with_copies_left(log_result result);
    void handle_snapshot(const newest_answer& answer, time_point sent_at);
    void handle_changes(const read_answer& answer, time_point sent_at, milliseconds wait);
    void schedule(milliseconds pause, void (topic_follower::*next_read)());

    follower_options m_options;
    log_port m_port;
    loop_port m_loop;
    follower_events m_events;
    std::uint64_t m_next{0};
    time_point m_answered_at;
    time_point m_current_at;
    std::uint64_t m_round{0};
    /// Copies of the round's read that have no answer.
    int m_open_copies{0};
    /// How long the next read may wait.
    milliseconds m_next_wait{0};
    /// Callbacks of pending calls hold a weak pointer to it, to detect that the follower is
    /// destroyed.
    std::shared_ptr<topic_follower*> m_self;
};

} // namespace peridotrudder
