#pragma once

/// @file
/// Decides which late runs get a copy, and where.

#include "peridotrudder/jobs/job.hpp"

#include <cstddef>
#include <cstdint>
#include <gsl/span>
#include <optional>
#include <string>
#include <vector>

namespace peridotrudder {

/// Time from the decision to start a run until the worker runs it.
inline constexpr milliseconds expected_start_time{100};

/// A run of a task that may get a copy, with what is expected of it.
struct late_run {
    std::string m_worker;
    /// CPU that a copy reserves, in thousandths of a core.
    std::int64_t m_cpu_millis{0};
    /// Expected time until the run ends.
    milliseconds m_rest{0};
    /// Expected time of a fresh run on a worker of normal speed at the best place.
    milliseconds m_usual{0};
    /// Time until the run has to end so that the job meets its objective, and so that its result is
    /// still useful. Negative once that time has passed.
    milliseconds m_until_objective{0};
    milliseconds m_until_useless{0};
};

/// A worker that a copy may start on.
struct copy_place {
    std::string m_worker;
    /// Unused CPU, in thousandths of a core.
    std::int64_t m_room_cpu_millis{0};
    /// Factor by which a run takes longer there than on a worker of normal speed at the best place.
    double m_slowness{1.0};
};

/// Returns the time that a run of the class takes at most by what is known of it. Estimates are off
/// by half and more, so only much longer runs count as late where no time has been learned.
milliseconds cautious_time(milliseconds expected, std::size_t learned_runs);

/// Returns whether the task may ever get a copy. The queue allows `attempts` failed runs, the last
/// of which fails the job.
///
/// A task gets one copy at most, and only of its first run. Earlier runs of a task may be started
/// late by a restarted worker, which would then be a third run.
bool may_be_copied(const job& source, const task_ref& ref, std::uint32_t attempts);

/// Returns whether runs of the step may get copies at all.
bool has_copies(const job_spec& spec, std::uint32_t step);

/// Returns the estimated time from the end of a step's last task to the end of the job.
milliseconds time_after_step(const job_spec& spec, std::uint32_t step);

/// Returns whether a copy is expected to save enough of the run's rest if it starts on a worker
/// with this slowness, and whether the job gains by it: it would miss its objective with the
/// original, and is still useful with the copy.
bool is_worth_a_copy(const late_run& run, double slowness);

/// Returns the index of the worker on which a copy ends first, among equal ones of the fullest;
/// nothing if none is worth it.
std::optional<std::size_t> choose_copy_place(const late_run& run,
                                             gsl::span<const copy_place> places);

/// What the copies of a pool may use.
class copy_budget {
public:
    /// `capacity` is the CPU of the pool's workers and `used` that of its copies, in thousandths of
    /// a core.
    static copy_budget create(std::int64_t capacity, std::int64_t used, std::uint32_t percent);

    /// Takes what a copy needs. Returns whether there was enough.
    bool take(std::int64_t cpu_millis);

private:
    std::int64_t m_left{0};
};

/// Sizes of the tasks that wait in a pool. Capacity that one of them fits in is not for copies.
class waiting_sizes {
public:
    /// Adds a task that reserves these resources and needs the label, if that is not empty.
    void add(const resources& size, const std::string& label);
    /// Returns whether a waiting task fits in the room of a worker with these labels.
    bool may_use(const resources& room, const std::vector<std::string>& labels) const;

private:
    struct waiting_size {
        resources m_size;
        std::string m_label;
    };

    std::vector<waiting_size> m_sizes;
};

} // namespace peridotrudder
