#pragma once

/// @file
/// What is known of a request's execution_status, and the answer that goes back to the caller.

#include "peridotrudder/base/codec.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotrudder {

/// The three truths that every answer tells apart.
enum class execution_status {
    /// The upstream ran the request, and its whole answer is here.
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
    /// The partition's home is another member now; the entry that took the call goes there.
    home_moved,
    shutting_down,
    not_ready,
    /// The request was run; its answer was too long to keep for a repeated call.
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

/// The execution_status of a request with what the caller is told.
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

/// Returns a refusal that says the request was not run.
inline outcome not_run(refusal reason, bool earlier_attempt_possible = false)
{
    outcome value;
    value.m_execution_status = execution_status::not_run;
    value.m_refusal = reason;
    value.m_earlier_attempt_possible = earlier_attempt_possible;
    return value;
}

/// Returns an answer that says the outcome is unknown.
inline outcome outcome_unknown(refusal reason)
{
    outcome value;
    value.m_execution_status = execution_status::outcome_unknown;
    value.m_refusal = reason;
    return value;
}

} // namespace peridotrudder
