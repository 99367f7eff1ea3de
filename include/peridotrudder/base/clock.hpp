#pragma once

/// @file
/// Time types shared by all modules. Decision code gets `now` as a parameter and never reads a
/// clock.

#include <chrono>
#include <cstdint>

namespace peridotrudder {

using std::chrono::milliseconds;

/// A point on the local monotonic clock. Meaningless to other processes, so never sent to one.
using time_point = std::chrono::steady_clock::time_point;

/// One moment on both clocks. Decisions use the monotonic clock; the wall clock is only for
/// timestamps of stored data and for times of day.
struct moment {
    time_point m_at;
    std::int64_t m_unix_ms{0};
};

/// Returns the whole milliseconds from `from` until `to`, zero if `to` is not later.
inline milliseconds remaining(time_point from, time_point to)
{
    if (to <= from) {
        return milliseconds{0};
    }
    return std::chrono::duration_cast<milliseconds>(to - from);
}

} // namespace peridotrudder
