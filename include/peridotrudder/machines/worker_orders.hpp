#pragma once

/// @file
/// Orders that the owner of a pool sends to its workers, and the answers.

#include "peridotrudder/jobs/job.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace peridotrudder {

/// Identifies a task among those of all jobs.
struct run_key {
    std::string m_job;
    task_ref m_task;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("job", self.m_job);
        archive.field("task", self.m_task);
    }
};

inline bool operator<(const run_key& left, const run_key& right)
{
    return std::tie(left.m_job, left.m_task) < std::tie(right.m_job, right.m_task);
}

inline bool operator==(const run_key& left, const run_key& right)
{
    return left.m_job == right.m_job && left.m_task == right.m_task;
}

/// What a worker reports about itself.
struct worker_report {
    worker_instance m_instance;
    std::string m_pool;
    std::string m_address;
    std::uint16_t m_port{0};
    std::string m_zone;
    std::string m_rack;
    std::vector<std::string> m_labels;
    resources m_capacity;
    bool m_draining{false};
};

/// Starts a run. Idempotent: a repeated order does not start the run again.
struct start_order {
    run_key m_key;
    std::uint32_t m_run{0};
    std::string m_payload;
    std::string m_checkpoint;
    /// Permission of the pool's policy service; empty if none is needed.
    std::string m_ticket;
    /// Unix milliseconds on the worker's clock. After it the order is void; until then all runs of
    /// the worker have a lease.
    std::int64_t m_deadline_ms{0};
    std::uint64_t m_fence{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("key", self.m_key);
        archive.field("run", self.m_run);
        archive.field("payload", self.m_payload);
        archive.field("checkpoint", self.m_checkpoint);
        archive.field("ticket", self.m_ticket);
        archive.field("deadline_ms", self.m_deadline_ms);
        archive.field("fence", self.m_fence);
    }
};

struct stop_order {
    run_key m_key;
    std::uint32_t m_run{0};
    std::uint64_t m_fence{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("key", self.m_key);
        archive.field("run", self.m_run);
        archive.field("fence", self.m_fence);
    }
};

/// Limits a run to a percentage of its speed.
struct pace_order {
    run_key m_key;
    std::uint32_t m_run{0};
    std::uint32_t m_percent{100};
    std::uint64_t m_fence{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("key", self.m_key);
        archive.field("run", self.m_run);
        archive.field("percent", self.m_percent);
        archive.field("fence", self.m_fence);
    }
};

/// Heartbeat to a worker: renews the lease of all its runs, and asks for the list of them.
struct hold_order {
    std::uint64_t m_fence{0};
    /// The ends up to this number are recorded: the worker may drop them.
    std::uint64_t m_last_end{0};
    /// End of the lease in Unix milliseconds on the worker's clock; absent to ask without renewing.
    std::optional<std::int64_t> m_deadline_ms;
    /// How long the worker may wait for a run to end before it answers.
    milliseconds m_wait{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("fence", self.m_fence);
        archive.field("last_end", self.m_last_end);
        archive.field("deadline_ms", self.m_deadline_ms);
        archive.field("wait_ms", self.m_wait);
    }
};

/// To whom an order was sent. An answer is applied only to what the sender knew of the worker then.
struct order_target {
    worker_instance m_instance;
    std::uint64_t m_fence{0};
};

/// Result of an order.
enum class order_result {
    accepted,
    /// The worker has seen a higher fencing token.
    fenced,
    /// The run, or a later run of the task, has already ended on the worker.
    obsolete,
    /// The deadline has passed.
    too_late,
    no_room,
    bad_ticket,
    /// The worker does not understand the order.
    invalid,
    /// The worker is unhealthy and did nothing.
    unhealthy,
    /// The order was meant for another incarnation of the worker.
    other_instance,
    /// No answer; the order may have been carried out, or may be later.
    unanswered,
    /// Certainly not sent.
    not_sent,
};

template <>
struct enum_names<order_result> {
    static constexpr std::array<std::string_view, 11> values{
        "accepted", "fenced",    "obsolete",   "too_late",   "no_room", "bad_ticket",
        "invalid",  "unhealthy", "other_life", "unanswered", "not_sent"};
};

struct order_answer {
    order_result m_result{order_result::unanswered};
    /// Unix milliseconds on the worker's clock; absent if the answer did not contain it.
    std::optional<std::int64_t> m_clock_ms;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("result", self.m_result);
        archive.field("clock_ms", self.m_clock_ms);
    }
};

struct running_entry {
    run_key m_key;
    std::uint32_t m_run{0};
    std::string m_checkpoint;
    /// Progress in percent; for a long-running task the share of its full operation, where 100 is
    /// fully working.
    std::uint32_t m_percent{0};
    /// For a task with a latency target its tail latency in milliseconds, otherwise its processor
    /// use in thousandths of a core.
    std::int64_t m_load{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("key", self.m_key);
        archive.field("run", self.m_run);
        archive.field("checkpoint", self.m_checkpoint);
        archive.field("percent", self.m_percent);
        archive.field("load", self.m_load);
    }
};

struct ended_entry {
    /// Sequence number of the end within the worker's incarnation, from one.
    std::uint64_t m_number{0};
    run_key m_key;
    std::uint32_t m_run{0};
    run_end m_run_end{run_end::failed};
    std::string m_checkpoint;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("number", self.m_number);
        archive.field("key", self.m_key);
        archive.field("run", self.m_run);
        archive.field("how", self.m_run_end);
        archive.field("checkpoint", self.m_checkpoint);
    }
};

/// An end whose row tells the task, but not what became of the run or which run it was.
struct unclear_end {
    std::uint64_t m_number{0};
    run_key m_key;
    /// Zero if it could not be read.
    std::uint32_t m_run{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("number", self.m_number);
        archive.field("key", self.m_key);
        archive.field("run", self.m_run);
    }
};

struct hold_answer {
    order_result m_result{order_result::unanswered};
    std::int64_t m_clock_ms{0};
    /// Start of the worker's process in Unix milliseconds; absent if the answer did not contain it.
    std::optional<std::int64_t> m_born_ms;
    std::vector<running_entry> m_running;
    std::vector<ended_entry> m_ended;
    /// Number of rows that could not be read, or only in part; absent for none. A run that is in
    /// neither list may be in one of those that do not tell their task.
    std::optional<std::uint32_t> m_unreadable;
    /// Highest number of an end whose row could not be read otherwise.
    std::optional<std::uint64_t> m_unreadable_end;
    /// Those of the unreadable rows that tell their task; absent for none.
    std::optional<std::vector<unclear_end>> m_unclear_ends;
    std::optional<std::vector<run_key>> m_unclear_running;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("result", self.m_result);
        archive.field("clock_ms", self.m_clock_ms);
        archive.field("born_ms", self.m_born_ms);
        archive.field("running", self.m_running);
        archive.field("ended", self.m_ended);
        archive.field("unreadable", self.m_unreadable);
        archive.field("unreadable_end", self.m_unreadable_end);
        archive.field("unclear_ends", self.m_unclear_ends);
        archive.field("unclear_running", self.m_unclear_running);
    }
};

} // namespace peridotrudder
