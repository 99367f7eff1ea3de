#pragma once

/// @file
/// Decides which tasks are suspected of crashing the workers that start them, and when such tasks
/// may start again.

#include "peridotrudder/machines/worker_session.hpp"

#include <cstdint>
#include <functional>

namespace peridotrudder {

/// A crash soon after a start, less than this long, suggests that the start caused it.
inline constexpr milliseconds crash_window{250};

/// A crash later after the start than this says nothing against the run.
inline constexpr milliseconds late_crash_window{3'000};

/// What the crash of a worker says against the task of a run on it.
enum class crash_evidence {
    /// The run cannot have caused the crash.
    none,
    /// The worker crashed some time after the start.
    late,
    /// A predecessor recorded the run. It may never have begun there, or long before.
    recorded,
    /// The start was sent and not answered. The worker may have crashed before.
    unanswered,
    /// The run began, and its worker crashed soon after.
    confirmed,
};

/// Weight at which a task is given up. Three confirmed crashes reach it, or four unanswered starts
/// or recorded runs, or five late crashes; a task may start twice more after three crashes.
inline constexpr std::uint32_t suspicion_limit = 60;

/// Weight from which a task starts on trial: alone on its worker until it has survived the start.
inline constexpr std::uint32_t trial_suspicion = 15;

/// Weight from which the other tasks of a step wait for the suspect's trial.
inline constexpr std::uint32_t strong_suspicion = 16;

/// Suspects of one step that may be on trial at a time.
inline constexpr std::uint32_t max_trials = 4;

/// Returns what it says against the run's task that its worker, last heard of at `last_heard_at`,
/// is known to have ended.
crash_evidence judge_crash(const worker_run& run, bool suspected, time_point last_heard_at);

/// Returns what remains of the evidence if the worker has only been silent until its lease expired.
crash_evidence without_proof_of_crash(crash_evidence evidence, bool suspected);

/// Returns the weight of the evidence. Two confirmed crashes reach the limit if the second was that
/// of a trial.
std::uint32_t weight_of(crash_evidence evidence, bool on_trial);

/// Returns whether the worker, last heard of at `last_heard_at`, has survived the start of the run.
bool has_survived(const worker_run& run, time_point last_heard_at);

/// Returns whether the task may start on trial only.
inline bool is_on_trial(const task& suspect)
{
    return suspect.m_suspicion >= trial_suspicion;
}

/// Returns whether the run of a task that has one is a trial that its worker has not survived yet.
using trial_check = std::function<bool(const task_ref&, const task&)>;

/// Unfinished tasks of a step that are on trial.
struct step_suspects {
    std::uint32_t m_waiting{0};
    std::uint32_t m_on_trial{0};
    /// Whether there is strong evidence against one of them.
    bool m_strong{false};
};

step_suspects count_suspects(const job& source, std::uint32_t occurrence, std::uint32_t step,
                             const trial_check& is_trial);

/// Returns whether a waiting task of the step may start beside the step's suspects.
bool may_start(const step_spec& step, const task& waiting, const step_suspects& suspects);

} // namespace peridotrudder
