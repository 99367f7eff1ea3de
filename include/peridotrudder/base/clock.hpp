#pragma once

/// @file
/// Time types shared by all modules. Decision code is handed `now`; it never reads a clock.

#include <chrono>
#include <cstdint>

namespace peridotrudder {

using std::chrono::milliseconds;

/// A point on the local monotonic clock. Never sent to another process.
using time_point = std::chrono::steady_clock::time_point;

/// One moment on both clocks: the monotonic one decides, the wall clock only dates what is kept or
/// is due at a time of day.
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
