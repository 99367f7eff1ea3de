/// @file
/// `peridot-entry`: accepts requests from callers on one entry VM.

#include "peridotrudder/base/stop_signal.hpp"
#include "peridotrudder/entry/entry_process.hpp"
#include "peridotrudder/telemetry/log.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "INI file of the entry VM");

namespace {

using namespace peridotrudder;

constexpr int exit_ok = 0;
constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_start = 3;
/// Asks the supervisor to restart the process.
constexpr int exit_evicted = 75;
constexpr int exit_incomplete = 4;

int run_entry()
{
    const auto settings = load_entry_settings(FLAGS_settings);
    if (!settings) {
        for (const auto& error : settings.error()) {
            std::cerr << to_text(error) << '\n';
        }
        return exit_bad_settings;
    }
    start_logging(log_level::info);
    install_stop_signals();
    const auto entry = entry_process::create(*settings);
    if (!entry) {
        log_event(log_level::error, "not_started",
                  {{"fault", std::string{to_string(entry.error())}}});
        return exit_cannot_start;
    }
    switch ((*entry)->run(stop_requested)) {
    case entry_exit_status::left:
        return exit_ok;
    case entry_exit_status::evicted:
        return exit_evicted;
    case entry_exit_status::incomplete:
        return exit_incomplete;
    }
    return exit_incomplete;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "--settings FILE\n\nServes callers on one entry VM until SIGTERM.\n"
        "Exit codes: 0 left the view and handed everything over, 2 invalid settings,\n"
        "3 cannot start, 4 cannot serve callers or stopped before everything was handed over,\n"
        "75 evicted (restart it).");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return run_entry();
}
