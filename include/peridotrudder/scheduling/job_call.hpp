#pragma once

/// @file
/// Calls that entries send to the owner about jobs, and their answers.

#include "peridotrudder/jobs/job.hpp"
#include "peridotrudder/scheduling/placement_question.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace peridotrudder {

enum class call_kind {
    submit,
    /// Asks for a job's state, or without a job id for the number of waiting jobs of the queue.
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
    /// The submitted job; absent for other kinds and if the body could not be decoded.
    std::optional<job_spec> m_spec;
    /// SHA-256 digest of the key that the call carries; absent without a key.
    std::optional<std::string> m_key_digest{};
    /// Lengths of a submission as it was received. Absent for other kinds, and from nodes of a
    /// version that doesn't send them.
    std::optional<std::size_t> m_body_bytes{};
    /// Request line and headers.
    std::optional<std::size_t> m_header_bytes{};
    /// An operator's question, with the kind `query`. Earlier versions ignore it, and their answer
    /// has no report.
    std::optional<placement_question> m_question{};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("kind", self.m_kind);
        archive.field("host", self.m_host);
        archive.field("path", self.m_path);
        archive.field("spec", self.m_spec);
        archive.field("key_digest", self.m_key_digest);
        archive.field("body_bytes", self.m_body_bytes);
        archive.field("header_bytes", self.m_header_bytes);
        archive.field("question", self.m_question);
    }
};

enum class call_status {
    /// The job or its cancellation is recorded.
    done,
    /// The answer holds the job's state.
    state,
    /// The answer holds the number of waiting jobs.
    length,
    /// The body is not a valid job specification, or the id is malformed.
    invalid,
    unknown_queue,
    unknown_job,
    /// Rejected by admission control: the job would end too late. It never runs.
    overloaded,
    /// Rejected because nothing can be recorded now. The job never runs.
    unavailable,
    /// The process does not own the pool; the call has to be sent to the owner.
    not_owner,
    /// The owner ended before it answered; its successor knows whether the call was carried out.
    owner_ended,
    /// Whether the call was carried out is not known.
    unknown_outcome,
    /// The queue needs a tenant's key, and the call carries none that is valid. Nothing was done.
    unauthorized,
    /// The submission is longer than the configuration allows. The job never runs.
    body_too_long,
    header_too_long,
};

template <>
struct enum_names<call_status> {
    static constexpr std::array<std::string_view, 14> values{
        "done",          "state",          "length",          "invalid",
        "unknown_queue", "unknown_job",    "overloaded",      "unavailable",
        "not_owner",     "owner_ended",    "unknown_outcome", "unauthorized",
        "body_too_long", "header_too_long"};
};

/// State of a job as callers see it.
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
    /// Time after which a rejected caller should retry; zero if unknown.
    milliseconds m_retry_after{0};
    /// Answer to an operator's question: a `placement_report` as JSON text, since a newer owner may
    /// name what this version does not know.
    std::optional<std::string> m_report{};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("status", self.m_status);
        archive.field("state", self.m_state);
        archive.field("length", self.m_length);
        archive.field("retry_after_ms", self.m_retry_after);
        archive.field("report", self.m_report);
    }
};

/// Returns the state of the job as callers see it.
job_state visible_state(const job& source);

} // namespace peridotrudder
