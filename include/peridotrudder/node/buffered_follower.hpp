#pragma once

/// @file
/// The records of a topic for an owner that may not be able to use them yet.

#include "peridotrudder/ownership/topic_follower.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace peridotrudder {

/// Takes records; `snapshot` says that they are all that the topic holds.
using record_handler = std::function<void(const std::vector<kept_record>& records, bool snapshot)>;

/// Follows a topic, and keeps what comes until it is released. Not thread-safe; runs on the loop.
class buffered_follower {
public:
    /// `on_buffered` is called whenever records have come that are kept.
    static std::unique_ptr<buffered_follower> create(follower_options options, log_port log,
                                                     loop_port loop, record_handler take,
                                                     std::function<void()> on_buffered);

    void start() { m_follower->start(); }
    /// Returns whether all that the topic held at the start has come.
    bool complete() const { return m_complete; }
    /// Hands over what was kept, as one snapshot, and from now on whatever comes.
    void release();

private:
    buffered_follower(record_handler take, std::function<void()> on_buffered);

    void take(const std::vector<kept_record>& records, bool snapshot);

    record_handler m_take;
    std::function<void()> m_on_buffered;
    std::unique_ptr<topic_follower> m_follower;
    std::vector<kept_record> m_buffered;
    bool m_complete{false};
    bool m_released{false};
};

} // namespace peridotrudder
