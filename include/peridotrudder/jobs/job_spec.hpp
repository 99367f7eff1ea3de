#pragma once

/// @file
/// Specification of a job: steps, each with a number of equal tasks.

#include "peridotrudder/base/clock.hpp"
#include "peridotrudder/base/codec.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotrudder {

/// CPU, memory and accelerators that a VM has or a task requires.
struct resources {
    /// Thousandths of a core.
    std::int64_t m_cpu_millis{0};
    std::int64_t m_memory_mb{0};
    std::int64_t m_accelerators{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("cpu_millis", self.m_cpu_millis);
        archive.field("memory_mb", self.m_memory_mb);
        archive.field("accelerators", self.m_accelerators);
    }
};

resources operator+(const resources& left, const resources& right);
resources operator-(const resources& left, const resources& right);

/// Returns whether `required` is at most `available` in every dimension.
bool fits(const resources& required, const resources& available);

/// One step: `m_count` equal tasks that may run once the steps it depends on are done.
struct step_spec {
    std::uint32_t m_count{1};
    resources m_task_resources;
    /// Estimated run time of one task.
    milliseconds m_estimate{0};
    /// Indexes of earlier steps.
    std::vector<std::uint32_t> m_depends_on;
    /// The tasks write checkpoints that a later run can resume from.
    bool m_checkpointing{false};
    /// Gang scheduling: all tasks run at the same time, and succeed or fail as a unit.
    bool m_gang{false};
    /// The tasks run faster when they share a rack.
    bool m_same_rack{false};
    /// Several runs of one task may be under way at once; the first success counts.
    bool m_speculative{false};
    /// The tasks run until the job is cancelled and are restarted whenever they end.
    bool m_long_running{false};
    /// The tasks are best-effort: no CPU is reserved for them, and they use what others leave idle.
    bool m_best_effort{false};
    std::string m_required_label;
    /// Rack that holds the input; tasks are slower elsewhere.
    std::string m_data_rack;
    /// Program that the tasks execute; tasks with the same image behave alike.
    std::string m_image;
    /// Most tasks of the step on one worker at a time; zero for no limit.
    std::uint32_t m_max_per_worker{0};
    /// Target for the tail latency of the requests that a long-running task serves; zero for none.
    milliseconds m_latency_target{0};
    /// Most long-running tasks that the system may make unavailable at a time; zero for no limit.
    std::uint32_t m_max_unavailable{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("count", self.m_count);
        archive.field("each", self.m_task_resources);
        archive.field("estimate_ms", self.m_estimate);
        archive.field("depends_on", self.m_depends_on);
        archive.field("checkpointing", self.m_checkpointing);
        archive.field("gang", self.m_gang);
        archive.field("same_rack", self.m_same_rack);
        archive.field("speculative", self.m_speculative);
        archive.field("long_running", self.m_long_running);
        archive.field("fills", self.m_best_effort);
        archive.field("required_label", self.m_required_label);
        archive.field("data_rack", self.m_data_rack);
        archive.field("image", self.m_image);
        archive.field("max_per_worker", self.m_max_per_worker);
        archive.field("latency_target_ms", self.m_latency_target);
        archive.field("may_miss", self.m_max_unavailable);
    }
};

/// Schedule of a job whose steps run several times, at fixed wall-clock times.
struct recurrence {
    std::uint32_t m_times{1};
    /// Unix milliseconds of the first occurrence.
    std::int64_t m_first_ms{0};
    std::int64_t m_interval_ms{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("times", self.m_times);
        archive.field("first_ms", self.m_first_ms);
        archive.field("interval_ms", self.m_interval_ms);
    }
};

/// Limits the memory that one job takes in the owner. Each step has at least one task.
constexpr std::uint64_t max_job_tasks = 20'000;

struct job_spec {
    /// Passed to every task unchanged.
    std::string m_payload;
    std::vector<step_spec> m_steps;
    std::optional<recurrence> m_recurrence;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("payload", self.m_payload);
        archive.field("steps", self.m_steps);
        archive.field("recurrence", self.m_recurrence);
    }
};

/// Reasons for which a specification is invalid.
enum class spec_fault {
    none,
    no_steps,
    no_tasks,
    too_many_tasks,
    negative_resources,
    depends_on_later_step,
    bad_recurrence,
    payload_too_long,
};

template <>
struct enum_names<spec_fault> {
    static constexpr std::array<std::string_view, 8> values{
        "none",           "no_steps",           "no_tasks",
        "too_many_tasks", "negative_resources", "depends_on_later_step",
        "bad_recurrence", "payload_too_long"};
};

/// Returns the first fault of `spec`, or `none`. A step may depend on earlier steps only, which
/// rules out circular dependencies.
spec_fault check_spec(const job_spec& spec);

/// Returns the estimated run time of the longest chain of dependent steps.
milliseconds longest_chain(const job_spec& spec);

/// Returns the estimated work of one occurrence, in thousandths of a core times milliseconds.
std::int64_t estimated_work(const job_spec& spec);

/// Returns whether a step of the job runs until the job is cancelled.
bool is_long_running(const job_spec& spec);

} // namespace peridotrudder
