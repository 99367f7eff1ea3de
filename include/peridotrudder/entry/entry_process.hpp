#pragma once

/// @file
/// The process on an entry VM that serves callers.

#include "peridotrudder/settings/entry_settings.hpp"

#include <functional>
#include <memory>
#include <string>

namespace peridotrudder {

/// Why an entry did not start.
enum class start_fault { cannot_listen, cannot_join };

template <>
struct enum_names<start_fault> {
    static constexpr std::array<std::string_view, 2> values{"cannot_listen", "cannot_join"};
};

/// How an entry process ended.
enum class entry_exit_status {
    /// All records were handed over to other entries.
    left,
    /// Other entries evicted this process; it must be restarted, with empty memory.
    evicted,
    /// The process could not start its caller server, or could not hand over everything in time.
    incomplete,
};

/// Owns all components of an entry and their threads.
class entry_process {
public:
    static tl::expected<std::unique_ptr<entry_process>, start_fault>
    create(const entry_settings& settings);

    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;
    entry_process(entry_process&&) = delete;
    entry_process& operator=(entry_process&&) = delete;
    ~entry_process();

    /// Serves until `should_stop` returns true or the entry is evicted, then shuts down gracefully.
    entry_exit_status run(const std::function<bool()>& should_stop);

private:
    class implementation;
    explicit entry_process(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace peridotrudder
