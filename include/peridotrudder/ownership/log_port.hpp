#pragma once

/// @file
/// Interface to the platform's log service: partitions of keyed records, with conditional appends,
/// reads from an offset, and reads of the newest record of each key.

#include "peridotrudder/base/clock.hpp"
#include "peridotrudder/base/enum_names.hpp"
#include "peridotrudder/jobs/job_store.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace peridotrudder {

enum class log_result {
    ok,
    /// Certainly not done: refused, or not sent.
    nothing_done,
    /// The partition does not end where the append expected.
    moved_on,
    /// The service has seen a higher epoch.
    fenced,
    /// The append's sequence number does not follow the last one.
    out_of_sequence,
    /// The requested records have been trimmed from the log.
    trimmed,
    /// No answer: the call may have been carried out, or may be later.
    unanswered,
    /// The answer cannot be decoded.
    invalid,
};

template <>
struct enum_names<log_result> {
    static constexpr std::array<std::string_view, 8> values{
        "ok",      "nothing_done", "moved_on", "fenced", "out_of_sequence",
        "trimmed", "unanswered",   "invalid"};
};

/// Makes an append idempotent, and fences off those of earlier epochs.
struct append_identity {
    std::string m_producer;
    std::uint64_t m_epoch{0};
    /// One more than that of the epoch's previous append.
    std::uint64_t m_sequence{0};
};

struct append_request {
    std::string m_topic;
    std::vector<keyed_record> m_records;
    /// Condition: the offset at which the partition must end.
    std::optional<std::uint64_t> m_expected_end;
    std::optional<append_identity> m_identity;
    milliseconds m_timeout{1'500};
};

struct append_answer {
    log_result m_result{log_result::unanswered};
    /// Offset of the first record, and the end after the last.
    std::uint64_t m_offset{0};
    std::uint64_t m_end{0};
    /// With `out_of_sequence`: the sequence number that the service expects next.
    std::uint64_t m_expected_sequence{0};
};

struct read_request {
    std::string m_topic;
    std::uint64_t m_from{0};
    /// How long the service may wait for a new record.
    milliseconds m_wait{0};
    std::uint32_t m_max_kb{1'024};
};

struct read_answer {
    log_result m_result{log_result::unanswered};
    std::uint64_t m_end{0};
    std::uint64_t m_first{0};
    /// In order, from the requested offset.
    std::vector<keyed_record> m_records;
};

struct newest_answer {
    log_result m_result{log_result::unanswered};
    std::vector<keyed_record> m_records;
    /// Offset at which to continue reading: later changes have this offset or a higher one.
    std::uint64_t m_end{0};
};

/// Calls to the log service. Callbacks run later, on the caller's loop.
struct log_port {
    std::function<void(append_request, std::function<void(append_answer)>)> m_append;
    std::function<void(read_request, std::function<void(read_answer)>)> m_read;
    std::function<void(std::string topic, std::function<void(newest_answer)>)> m_newest;
};

} // namespace peridotrudder
