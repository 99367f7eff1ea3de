#pragma once

/// @file
/// At which speed filling tasks may work beside tasks that serve users.

#include "peridotrudder/machines/worker_session.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace peridotrudder {

/// A change of a filling run's speed.
struct pace_change {
    run_key m_key;
    std::uint32_t m_percent{100};
};

/// Returns the speed for the filling tasks of a worker, in hundredths, after `current`, if the
/// worst tail latency there is `load` times its target.
///
/// Answers filling tasks that disturb what serves beside them by amounts that nobody declares and
/// that change within seconds: down by halves, to nothing after four steps, and up by small steps
/// while there is slack.
std::uint32_t next_pace(std::uint32_t current, double load);

/// Returns the changes that the worker's filling runs need now, by what it has just listed.
///
/// A run whose speed a predecessor may have changed is told its speed in any case, and one that is
/// slowed is told again now and then, since nothing shows that an order was lost.
std::vector<pace_change> decide_paces(const worker_session& session, time_point now);

} // namespace peridotrudder
