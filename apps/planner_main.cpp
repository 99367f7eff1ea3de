/// @file
/// `peridot-planner`: plans maintenance. Runs on every entry VM; only the elected planner acts.

#include "peridotrudder/base/stop_signal.hpp"
#include "peridotrudder/entry/planner_process.hpp"
#include "peridotrudder/telemetry/log.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "INI file of the entry VM");

int main(int argc, char** argv)
{
    using namespace peridotrudder;
    constexpr int exit_bad_settings = 2;
    gflags::SetUsageMessage("--settings FILE\n\nPlans maintenance until SIGTERM.\n"
                            "Exit codes: 0 stopped, 2 invalid settings.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = load_entry_settings(FLAGS_settings);
    if (!settings) {
        for (const auto& error : settings.error()) {
            std::cerr << to_text(error) << '\n';
        }
        return exit_bad_settings;
    }
    start_logging(log_level::info);
    install_stop_signals();
    planner_process process{*settings};
    process.run(stop_requested);
    return 0;
}
