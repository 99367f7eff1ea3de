#pragma once

/// @file
/// Tells where a task would start now, without starting anything.

#include "peridotrudder/scheduling/placement_question.hpp"
#include "peridotrudder/scheduling/task_placer.hpp"

namespace peridotrudder {

/// Resources of a task that is asked for without a job, unless the question has others.
inline constexpr resources default_task_resources{1'000, 1'024, 0};
inline constexpr milliseconds default_task_estimate{1'000};
inline constexpr std::uint32_t default_listed_workers = 10;
inline constexpr std::uint32_t max_listed_workers = 100;

/// Answers by a placement pass of a copy of `placer` over a copy of the part of `state` that
/// placement reads, so that the answer is what the next pass decides, and neither is changed.
/// Takes as long as a pass over all waiting jobs, and the copy as much memory as they do without
/// their payloads.
placement_report report_placement(const scheduler_state& state, const task_placer& placer,
                                  const placement_question& question, moment now);

} // namespace peridotrudder
