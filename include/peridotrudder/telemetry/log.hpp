#pragma once

/// @file
/// Logs as JSON lines on standard output; the only module that knows log4cxx.

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace peridotrudder {

enum class log_level { debug, info, warning, error };

/// One named value of a line.
struct log_field {
    std::string m_name;
    std::string m_value;
};

/// Sets up logging for the process. Lines below `least` are dropped.
void start_logging(log_level least);

/// Returns how many lines were lost because nobody read the output.
std::uint64_t lost_log_lines();

/// Writes one line: the event's name as its message, the fields as its `context_map`. Never waits
/// for a reader: a line that the output does not take at once is lost and counted. Thread-safe.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

} // namespace peridotrudder
