#pragma once

/// @file
/// Clock and timers of a process's event loop, for classes that must not depend on a networking
/// library.

#include "peridotrudder/base/clock.hpp"

#include <functional>

namespace peridotrudder {

/// Hooks of the event loop. `m_after` runs its callback after the given time, on the loop's thread.
struct loop_port {
    std::function<moment()> m_now;
    std::function<void(milliseconds, std::function<void()>)> m_after;
};

} // namespace peridotrudder
