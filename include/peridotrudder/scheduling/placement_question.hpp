#pragma once

/// @file
/// An operator's question where a task would start now, and its answer.

#include "peridotrudder/base/codec.hpp"
#include "peridotrudder/jobs/job_spec.hpp"
#include "peridotrudder/machines/worker_obstacle.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace peridotrudder {

/// Asks for a waiting task of a job, or for a task that a queue does not have yet. The fields after
/// `m_job` apply without a job only.
struct placement_question {
    /// Host and path of the queue, such as "jobs.example/render/".
    std::string m_queue;
    std::optional<std::string> m_job{};
    /// Tenant whose job it is; none by default.
    std::optional<std::string> m_tenant{};
    std::optional<std::int64_t> m_cpu_millis{};
    std::optional<std::int64_t> m_memory_mb{};
    std::optional<std::int64_t> m_accelerators{};
    std::optional<milliseconds> m_estimate{};
    std::optional<std::string> m_label{};
    /// Rack that holds the input.
    std::optional<std::string> m_data_rack{};
    /// Workers to list with the reason why the task does not start there.
    std::optional<std::uint32_t> m_listed_workers{};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("queue", self.m_queue);
        archive.field("job", self.m_job);
        archive.field("tenant", self.m_tenant);
        archive.field("cpu_millis", self.m_cpu_millis);
        archive.field("memory_mb", self.m_memory_mb);
        archive.field("accelerators", self.m_accelerators);
        archive.field("estimate_ms", self.m_estimate);
        archive.field("label", self.m_label);
        archive.field("data_rack", self.m_data_rack);
        archive.field("listed_workers", self.m_listed_workers);
    }
};

/// Why a question has no answer.
enum class placement_error {
    none,
    bad_question,
    /// The owner has not read a configuration yet.
    no_configuration,
    unknown_queue,
    unknown_tenant,
    unknown_job,
    job_ended,
    /// More waits than the owner may copy to find out.
    too_much_waiting,
    /// Questions come faster than the owner may answer them beside its work.
    busy,
    /// No owner is known or answers, or the owner can't show that it still is.
    no_owner,
    /// The owner runs a version that can't answer.
    not_supported,
};

template <>
struct enum_names<placement_error> {
    static constexpr std::array<std::string_view, 11> values{
        "none",           "bad_question", "no_configuration", "unknown_queue",
        "unknown_tenant", "unknown_job",  "job_ended",        "too_much_waiting",
        "busy",           "no_owner",     "not_supported"};
};

/// Whether the task starts now, or what it waits for.
enum class placement_verdict {
    starts,
    quota,
    ticket,
    /// Room on the rack that it runs faster on.
    rack,
    no_room,
    /// There is room, which tasks that come first take.
    turn,
    /// Steps that its step depends on.
    dependency,
    /// The time of its occurrence.
    not_due,
    /// A trial of its own or of another task of its step.
    trial,
    /// The end of an earlier run.
    stopping,
    /// The end of another run of its gang.
    gang,
    /// No worker of the pool takes work.
    no_worker,
    /// No task of the job waits: the others run or are done.
    nothing_waits,
};

template <>
struct enum_names<placement_verdict> {
    static constexpr std::array<std::string_view, 13> values{
        "starts",  "quota", "ticket",   "rack", "no_room",   "turn",         "dependency",
        "not_due", "trial", "stopping", "gang", "no_worker", "nothing_waits"};
};

/// A worker on which the task does not start, and why.
struct worker_verdict {
    std::string m_worker;
    std::string m_rack;
    /// `none` if the task could start there and another worker suits better.
    worker_obstacle m_obstacle{worker_obstacle::none};
    resources m_room;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("worker", self.m_worker);
        archive.field("rack", self.m_rack);
        archive.field("obstacle", self.m_obstacle);
        archive.field("room", self.m_room);
    }
};

struct placement_report {
    placement_error m_error{placement_error::none};
    std::string m_queue;
    /// Empty for a task that the queue does not have yet.
    std::string m_job;
    /// Occurrence, step and index.
    std::string m_task;
    std::string m_tenant;
    std::string m_pool;
    resources m_required;
    placement_verdict m_verdict{placement_verdict::no_room};
    /// Where the task starts; for a gang, the worker of its first member.
    std::string m_worker;
    std::string m_detail;
    /// Time until the wait is expected to end, if that can be expected.
    std::optional<milliseconds> m_wait;
    std::vector<worker_verdict> m_workers;
    /// The workers of the pool that are not listed, by obstacle.
    std::map<std::string, std::uint32_t> m_other_workers;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("error", self.m_error);
        archive.field("queue", self.m_queue);
        archive.field("job", self.m_job);
        archive.field("task", self.m_task);
        archive.field("tenant", self.m_tenant);
        archive.field("pool", self.m_pool);
        archive.field("required", self.m_required);
        archive.field("verdict", self.m_verdict);
        archive.field("worker", self.m_worker);
        archive.field("detail", self.m_detail);
        archive.field("wait_ms", self.m_wait);
        archive.field("workers", self.m_workers);
        archive.field("other_workers", self.m_other_workers);
    }
};

/// Splits a queue's host and path; nothing without a host or a path.
std::optional<std::pair<std::string, std::string>> split_queue(const std::string& queue);

/// Returns the report for a question without an answer.
placement_report failed_report(const placement_question& question, placement_error error,
                               std::string detail = {});

/// Returns the report as JSON. Bytes that are no UTF-8 are replaced.
std::string to_json_text(const placement_report& report);

/// Returns the report as lines of text.
std::string to_text(const placement_report& report);

} // namespace peridotrudder
