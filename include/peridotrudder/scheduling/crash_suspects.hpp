#pragma once

/// @file
/// Decides which tasks are suspected of crashing the workers that start them, and when such tasks
/// may start again.

#include "peridotrudder/machines/worker_session.hpp"

#include <cstdint>

namespace peridotrudder {

/// A crash is blamed on the tasks that started less than this long before it.
inline constexpr milliseconds crash_window{250};

/// Crashes in a row after which a task is given up. Callers bear three crashes and two more starts,
/// so some crashes may escape the count, such as those around changes of the owner.
inline constexpr std::uint32_t crash_limit = 2;

/// Suspects of one step that may be on trial at a time.
inline constexpr std::uint32_t max_trials = 4;

/// Returns whether the run may have crashed its worker, which is known to have ended and was last
/// heard of at `last_heard_at`. `crashes` is the count of the run's task so far.
bool is_suspect(const worker_run& run, std::uint32_t crashes, time_point last_heard_at);

/// Returns whether the worker, last heard of at `last_heard_at`, has survived the start of the run.
bool has_survived(const worker_run& run, time_point last_heard_at);

/// Unfinished tasks of a step that crashed their last worker.
struct step_suspects {
    std::uint32_t m_waiting{0};
    std::uint32_t m_on_trial{0};
};

step_suspects count_suspects(const job& source, std::uint32_t occurrence, std::uint32_t step);

/// Returns whether a waiting task of the step may start beside the step's suspects.
bool may_start(const step_spec& step, const task& waiting, const step_suspects& suspects);

} // namespace peridotrudder
