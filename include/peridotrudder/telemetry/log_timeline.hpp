#pragma once

/// @file
/// Merges what the logs of several nodes contain about one job, worker or VM into a timeline.

#include <gsl/span>
#include <string>
#include <string_view>
#include <vector>

namespace peridotrudder {

/// The log of one node: JSON lines as `log_event` writes them.
struct log_source {
    std::string m_node;
    std::string m_text;
};

struct timeline_entry {
    /// Time as written in the log: wall-clock time of the node.
    std::string m_time;
    std::string m_node;
    std::string m_event;
    /// The line's fields that are not empty, as "name=value".
    std::string m_fields;
    /// The fields that tell of a job's tenant and wait; empty if the line has none.
    std::string m_tenant{};
    std::string m_kind{};
    std::string m_took_ms{};
    std::string m_detail{};
};

/// Returns the lines that contain `id` in any field, sorted by time. Between the first and the last
/// of them, adds changes of owner and configuration, and while a job waited for its first start the
/// state of the pools and what its tenant waited for. Skips lines that are not JSON.
std::vector<timeline_entry> build_timeline(std::string_view id,
                                           gsl::span<const log_source> sources);

/// What a timeline tells about a job as one of a tenant.
struct job_summary {
    /// Empty for a job without a tenant.
    std::string m_tenant;
    /// "contracted" or "excess", as of its latest submission.
    std::string m_kind;
    std::size_t m_refusals{0};
    /// Why it was refused at last.
    std::string m_refused_because;
    /// Milliseconds from its acceptance to its first start; empty if it has not started.
    std::string m_waited_ms;
    /// What its tenant waited for at last before the start; empty if that was not logged.
    std::string m_waited_for;
};

/// Summarizes the timeline of a job.
job_summary summarize_job(gsl::span<const timeline_entry> entries);

/// Returns the summary as lines of text; empty for a job without a tenant that was not refused.
std::vector<std::string> describe_summary(const job_summary& summary);

} // namespace peridotrudder
