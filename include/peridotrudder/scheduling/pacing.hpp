#pragma once

/// @file
/// Throttles best-effort tasks that share a worker with latency-sensitive tasks.

#include "peridotrudder/machines/worker_session.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace peridotrudder {

/// A change of a best-effort run's speed.
struct pace_change {
    run_key m_key;
    /// New speed as a percentage of full speed; 0 pauses the run.
    std::uint32_t m_percent{100};
};

/// Returns the speed, in percent, that follows `current` for the best-effort tasks of a worker
/// whose worst tail latency is `load` times its target.
///
/// How much best-effort tasks slow down latency-sensitive tasks beside them is not declared and
/// changes within seconds. The speed is therefore halved while the latency is high, which pauses
/// the task after four steps, and raised in small steps while there is slack.
std::uint32_t next_pace(std::uint32_t current, double load);

/// Returns the speed changes for the worker's best-effort runs, based on its newest hold answer.
///
/// A run whose speed a previous owner may have changed always gets an order. Orders to throttled
/// runs are repeated periodically, because a lost order cannot be detected.
std::vector<pace_change> decide_paces(const worker_session& session, time_point now);

} // namespace peridotrudder
