#pragma once

/// @file
/// Time and timers of the loop that a process runs, for classes that know no library.

#include "peridotrudder/base/clock.hpp"

#include <functional>

namespace peridotrudder {

/// Hooks of the loop. Callbacks run later, on the loop's thread.
struct loop_port {
    std::function<moment()> m_now;
    std::function<void(milliseconds, std::function<void()>)> m_after;
};

} // namespace peridotrudder
