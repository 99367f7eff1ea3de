#pragma once

/// @file
/// Whether a request was executed, and the answer that goes back to the caller.

#include "peridotrudder/base/codec.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotrudder {

/// Whether a request was executed, as every answer states it.
enum class execution_status {
    /// The upstream ran the request and returned its whole answer.
    done,
    /// The request was not run by this attempt.
    not_run,
    /// The request may or may not have run.
    outcome_unknown,
};

template <>
struct enum_names<execution_status> {
    static constexpr std::array<std::string_view, 3> values{"done", "not_run", "outcome_unknown"};
};

/// Why a request was refused or its outcome is unknown.
enum class refusal {
    none,
    unauthorized,
    bad_request,
    body_too_large,
    key_too_long,
    key_reused,
    unknown_service,
    cannot_run,
    over_limit,
    wait_exceeded,
    no_upstream,
    upstream_refused,
    upstream_failed,
    incomplete_answer,
    crossed_answer,
    deadline_exceeded,
    not_replicated,
    earlier_attempt,
    records_lost,
    home_unreachable,
    /// Another member is the partition's home now; the entry that took the call forwards it there.
    home_moved,
    shutting_down,
    not_ready,
    /// The request was run, but its answer was too long to be stored for a repeated call.
    answer_not_kept,
};

template <>
struct enum_names<refusal> {
    static constexpr std::array<std::string_view, 24> values{"none",
                                                             "unauthorized",
                                                             "bad_request",
                                                             "body_too_large",
                                                             "key_too_long",
                                                             "key_reused",
                                                             "unknown_service",
                                                             "cannot_run",
                                                             "over_limit",
                                                             "wait_exceeded",
                                                             "no_upstream",
                                                             "upstream_refused",
                                                             "upstream_failed",
                                                             "incomplete_answer",
                                                             "crossed_answer",
                                                             "deadline_exceeded",
                                                             "not_replicated",
                                                             "earlier_attempt",
                                                             "records_lost",
                                                             "home_unreachable",
                                                             "home_moved",
                                                             "shutting_down",
                                                             "not_ready",
                                                             "answer_not_kept"};
};

/// The execution status of a request and the answer to the caller.
struct outcome {
    execution_status m_execution_status{execution_status::not_run};
    refusal m_refusal{refusal::none};
    /// For `not_run` with an idempotency key: whether an earlier attempt may have run.
    bool m_earlier_attempt_possible{false};
    /// HTTP status of the upstream, for `done`.
    std::uint32_t m_status{0};
    std::string m_content_type;
    std::string m_body;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("fate", self.m_execution_status);
        archive.field("refusal", self.m_refusal);
        archive.field("earlier_attempt_possible", self.m_earlier_attempt_possible);
        archive.field("status", self.m_status);
        archive.field("content_type", self.m_content_type);
        archive.field("body", self.m_body);
    }
};

/// Returns an outcome with status `not_run`.
inline outcome not_run(refusal reason, bool earlier_attempt_possible = false)
{
    outcome result;
    result.m_execution_status = execution_status::not_run;
    result.m_refusal = reason;
    result.m_earlier_attempt_possible = earlier_attempt_possible;
    return result;
}

/// Returns an outcome with status `outcome_unknown`.
inline outcome outcome_unknown(refusal reason)
{
    outcome result;
    result.m_execution_status = execution_status::outcome_unknown;
    result.m_refusal = reason;
    return result;
}

} // namespace peridotrudder
