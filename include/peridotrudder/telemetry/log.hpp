#pragma once

/// @file
/// Logs as JSON lines on standard output; the only module that knows log4cxx.

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

/// Writes one line: the event's name as its message, the fields as its `context_map`. Thread-safe.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

} // namespace peridotrudder
