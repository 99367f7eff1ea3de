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
};

/// Returns the lines that contain `id` in any field, sorted by time. Between the first and the last
/// of them, adds changes of owner and configuration, and the pools' state while a job waited for
/// its first start. Skips lines that are not JSON.
std::vector<timeline_entry> build_timeline(std::string_view id,
                                           gsl::span<const log_source> sources);

} // namespace peridotrudder
