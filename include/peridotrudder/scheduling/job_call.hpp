#pragma once

/// @file
/// Calls about jobs, and their answers, as they pass between entries and the owner.

#include "peridotrudder/jobs/job.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace peridotrudder {

enum class call_kind {
    submit,
    /// Of a job's state, or with no id, of the queue's length.
    query,
    cancel,
};

template <>
struct enum_names<call_kind> {
    static constexpr std::array<std::string_view, 3> values{"submit", "query", "cancel"};
};

struct job_call {
    call_kind m_kind{call_kind::query};
    std::string m_host;
    /// The queue's prefix and the job's id.
    std::string m_path;
    /// What is submitted; absent for other kinds and where the body could not be read.
    std::optional<job_spec> m_spec;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("kind", self.m_kind);
        archive.field("host", self.m_host);
        archive.field("path", self.m_path);
        archive.field("spec", self.m_spec);
    }
};

enum class call_status {
    /// The job is recorded, or the cancel is.
    done,
    /// With the job's state.
    state,
    /// With the number of waiting jobs.
    length,
    /// The body or the id is no job's.
    invalid,
    unknown_queue,
    unknown_job,
    /// Not taken: it could not be served in time. It never runs.
    overloaded,
    /// Not taken: nothing can be recorded now. It never runs.
    unavailable,
    /// The process asked does not own the pool; to be asked again of the owner.
    not_owner,
    /// The owner ended before it answered; its successor knows whether the call was taken.
    owner_ended,
    /// Whether it was taken is not known.
    unknown_outcome,
};

template <>
struct enum_names<call_status> {
    static constexpr std::array<std::string_view, 11> values{
        "done",       "state",       "length",    "invalid",     "unknown_queue",  "unknown_job",
        "overloaded", "unavailable", "not_owner", "owner_ended", "unknown_outcome"};
};

/// What a caller may see of a job.
enum class job_state { queued, running, completed, failed, cancelled };

template <>
struct enum_names<job_state> {
    static constexpr std::array<std::string_view, 5> values{"queued", "running", "completed",
                                                            "failed", "cancelled"};
};

struct call_answer {
    call_status m_status{call_status::unavailable};
    job_state m_state{job_state::queued};
    std::uint64_t m_length{0};
    /// When a refused caller should try again; zero for no advice.
    milliseconds m_retry_after{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("status", self.m_status);
        archive.field("state", self.m_state);
        archive.field("length", self.m_length);
        archive.field("retry_after_ms", self.m_retry_after);
    }
};

/// Returns what a caller sees of the job.
job_state visible_state(const job& of);

} // namespace peridotrudder
