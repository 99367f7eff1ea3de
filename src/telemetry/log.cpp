#include "peridotrudder/telemetry/log.hpp"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <deque>

namespace peridotrudder {

namespace {

log4cxx::LevelPtr to_library_level(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warning:
        return log4cxx::Level::getWarn();
    case log_level::error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

/// Number of lines dropped because the pipe was full.
std::atomic<std::uint64_t> lost_lines{0};

/// Returns whether a line can be written without waiting for the reader: a pipe that polls as
/// writable has room for a whole line.
bool can_write_line_without_blocking()
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return poll(&output, 1, 0) != 0;
}

} // namespace

std::uint64_t lost_log_lines()
{
    return lost_lines;
}

void start_logging(log_level lowest_level)
{
    const auto layout = std::make_shared<log4cxx::JSONLayout>();
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemOut());
    log4cxx::helpers::Pool pool;
    appender->activateOptions(pool);
    const auto root = log4cxx::Logger::getRootLogger();
    root->addAppender(appender);
    root->setLevel(to_library_level(lowest_level));
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    const auto root = log4cxx::Logger::getRootLogger();
    const auto library_level = to_library_level(level);
    if (!root->isEnabledFor(library_level)) {
        return;
    }
    if (!can_write_line_without_blocking()) {
        ++lost_lines;
        return;
    }
    std::deque<log4cxx::MDC> context;
    for (const auto& field : fields) {
        context.emplace_back(field.m_name, field.m_value);
    }
    root->log(library_level, std::string{event});
}

} // namespace peridotrudder
