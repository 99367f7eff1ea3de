#pragma once

/// @file
/// The records of a topic for an owner that may not be able to use them yet.

#include "peridotrudder/ownership/topic_follower.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace peridotrudder {

/// Takes records; `snapshot` says that they are all that the topic holds.
using record_taker = std::function<void(const std::vector<keyed_record>& records, bool snapshot)>;

/// Follows a topic, and keeps what comes until it is released. Not thread-safe; runs on the loop.
class record_feed {
public:
    /// `on_kept` is called whenever records have come that are kept.
    static std::unique_ptr<record_feed> create(follower_options options, log_port log,
                                               loop_port loop, record_taker take,
                                               std::function<void()> on_kept);

    void start() { m_follower->start(); }
    /// Returns whether all that the topic held at the start has come.
    bool complete() const { return m_complete; }
    /// Hands over what was kept, as one snapshot, and from now on whatever comes.
    void release();

private:
    record_feed(record_taker take, std::function<void()> on_kept);

    void take(const std::vector<keyed_record>& records, bool snapshot);

    record_taker m_take;
    std::function<void()> m_on_kept;
    std::unique_ptr<topic_follower> m_follower;
    std::vector<keyed_record> m_kept;
    bool m_complete{false};
    bool m_released{false};
};

} // namespace peridotrudder
