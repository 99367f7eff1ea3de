#pragma once

/// @file
/// Follows a topic and buffers its records until the owner is ready for them.

#include "peridotrudder/ownership/topic_follower.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace peridotrudder {

/// Handles records; `snapshot` says that they are the whole content of the topic.
using record_handler = std::function<void(const std::vector<keyed_record>& records, bool snapshot)>;

/// Follows a topic, and buffers its records until `release`. Not thread-safe; runs on the loop.
class buffered_follower {
public:
    /// `on_buffered` is called whenever records have been buffered.
    static std::unique_ptr<buffered_follower> create(follower_options options, log_port log,
                                                     loop_port loop, record_handler take,
                                                     std::function<void()> on_buffered);

    void start() { m_follower->start(); }
    /// Returns whether the whole content of the topic at the start has been read.
    bool complete() const { return m_complete; }
    /// Returns a time up to which all records have certainly been read.
    time_point current_at() const { return m_follower->current_at(); }
    /// Hands over the buffered records as one snapshot, and all later records as they come.
    void release();

private:
    buffered_follower(record_handler take, std::function<void()> on_buffered);

    void take(const std::vector<keyed_record>& records, bool snapshot);

    record_handler m_take;
    std::function<void()> m_on_buffered;
    std::unique_ptr<topic_follower> m_follower;
    std::vector<keyed_record> m_buffered;
    bool m_complete{false};
    bool m_released{false};
};

} // namespace peridotrudder
