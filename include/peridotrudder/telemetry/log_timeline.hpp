#pragma once

/// @file
/// What the logs of several nodes say of one job, worker or VM, in the order of time.

#include <gsl/span>
#include <string>
#include <string_view>
#include <vector>

namespace peridotrudder {

/// The log of one node: lines of JSON, as `log_event` writes them.
struct log_source {
    std::string m_node;
    std::string m_text;
};

struct timeline_entry {
    /// As the log has it: wall-clock time of its node.
    std::string m_time;
    std::string m_node;
    std::string m_event;
    /// The line's fields that are not empty, as "name=value".
    std::string m_fields;
};

/// Returns the lines that name `id` in any field, and what else bears on them: changes of owner and
/// configuration between the first and the last, and the pools' state while a job waited for its
/// first start. Lines that are no JSON are passed over.
std::vector<timeline_entry> build_timeline(std::string_view id,
                                           gsl::span<const log_source> sources);

} // namespace peridotrudder
