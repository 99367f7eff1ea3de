#pragma once

/// @file
/// Logs JSON lines to standard output. The only module that depends on log4cxx.

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace peridotrudder {

enum class log_level { debug, info, warning, error };

/// One named value of a log line.
struct log_field {
    std::string m_name;
    std::string m_value;
};

/// Sets up logging for the process. Lines below `lowest_level` are not written.
void start_logging(log_level lowest_level);

/// Returns how many lines were dropped because the reader of the output was too slow.
std::uint64_t lost_log_lines();

/// Writes one line with the event's name as `message` and the fields as `context_map`. Does not
/// wait for the reader: a line that cannot be written at once is dropped and counted. Thread-safe.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

} // namespace peridotrudder
