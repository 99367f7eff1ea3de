#pragma once

/// @file
/// A task of a job, and the worker that it runs on.

#include "peridotrudder/base/boxed_optional.hpp"

#include <cstdint>
#include <string>
#include <tuple>

namespace peridotrudder {

/// Identifies a task within its job.
struct task_ref {
    /// Number of the occurrence; zero for a job that runs once.
    std::uint32_t m_occurrence{0};
    std::uint32_t m_step{0};
    std::uint32_t m_index{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("occurrence", self.m_occurrence);
        archive.field("step", self.m_step);
        archive.field("index", self.m_index);
    }
};

inline bool operator<(const task_ref& left, const task_ref& right)
{
    return std::tie(left.m_occurrence, left.m_step, left.m_index) <
           std::tie(right.m_occurrence, right.m_step, right.m_index);
}

inline bool operator==(const task_ref& left, const task_ref& right)
{
    return !(left < right) && !(right < left);
}

/// One incarnation of a worker: after a restart under the same id it is another instance.
struct worker_instance {
    std::string m_worker;
    /// Unix milliseconds of the worker's start, as it reports it; zero if unknown.
    std::int64_t m_born_ms{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("worker", self.m_worker);
        archive.field("born_ms", self.m_born_ms);
    }
};

inline bool operator==(const worker_instance& left, const worker_instance& right)
{
    return left.m_worker == right.m_worker && left.m_born_ms == right.m_born_ms;
}

enum class task_phase {
    /// Has no run: waits for its dependencies or for a worker.
    waiting,
    /// Has a run that is ordered or running.
    placed,
    done,
    /// Its runs failed as often as its queue allows, or it crashed as many workers as tolerated.
    failed,
};

/// A second run of a task that has one already, on another worker.
struct task_copy {
    std::uint32_t m_run{0};
    worker_instance m_placed_on;
    /// The start of the copy was answered, or the copy was seen on its worker.
    bool m_start_settled{false};
};

struct task {
    task_phase m_phase{task_phase::waiting};
    /// Number of the task's run, or of its last one; runs are numbered from one.
    std::uint32_t m_run{0};
    /// Highest number that a run of the task has had, copies included.
    std::uint32_t m_newest_run{0};
    /// Failed runs. A failed run of a gang is counted at one of its members.
    std::uint32_t m_failures{0};
    /// Number of the gang's run that was counted last at this member; zero for none.
    std::uint32_t m_counted_gang_run{0};
    /// Weight of the crashes of workers that its runs may have caused, since its last success.
    std::uint32_t m_suspicion{0};
    /// Worker of the run, while the task is placed.
    worker_instance m_placed_on;
    /// The start of the run was answered, or the run was seen on its worker.
    bool m_start_settled{false};
    /// State to resume from; empty for none.
    std::string m_checkpoint;
    /// Only a placed task has a copy.
    boxed_optional<task_copy> m_copy{};

    /// Returns whether this is the number of the task's run, or of its last one, or of its copy.
    bool has_run(std::uint32_t run) const { return run == m_run || is_copy(run); }
    bool is_copy(std::uint32_t run) const { return m_copy && m_copy->m_run == run; }
    /// Returns where the run or the copy with this number was placed.
    const worker_instance& place_of(std::uint32_t run) const
    {
        return is_copy(run) ? m_copy->m_placed_on : m_placed_on;
    }
};

} // namespace peridotrudder
