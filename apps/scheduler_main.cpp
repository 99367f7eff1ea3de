/// @file
/// `peridot-scheduler`: accepts jobs on one node, and schedules the fleet while the node is its
/// elected owner.

#include "peridotrudder/node/node_process.hpp"
#include "peridotrudder/telemetry/log.hpp"
#include "platform/adapter.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

DEFINE_string(settings, "",
              "INI file of the node; defaults to the value of PERIDOTRUDDER_NODE_FILE");
DEFINE_bool(check_settings, false, "Check the settings and exit");

namespace {

using namespace peridotrudder;

constexpr int exit_ok = 0;
constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_start = 3;
constexpr int exit_incomplete = 4;

std::string settings_path()
{
    if (!FLAGS_settings.empty()) {
        return FLAGS_settings;
    }
    const char* environment_path = std::getenv("PERIDOTRUDDER_NODE_FILE");
    return environment_path == nullptr ? "" : environment_path;
}

int run_node()
{
    const auto settings = load_node_settings(settings_path());
    if (!settings) {
        for (const auto& error : settings.error()) {
            std::cerr << to_text(error) << '\n';
        }
        return exit_bad_settings;
    }
    if (FLAGS_check_settings) {
        return exit_ok;
    }
    start_logging(log_level::info);
    std::signal(SIGPIPE, SIG_IGN);
    const auto node = node_process::create(*settings, platform::make_platform());
    if (!node) {
        log_event(log_level::error, "not_started",
                  {{"address", node.error().m_address},
                   {"port", std::to_string(node.error().m_port)},
                   {"reason", node.error().m_reason}});
        return exit_cannot_start;
    }
    return (*node)->run() == shutdown_result::stopped ? exit_ok : exit_incomplete;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("--settings FILE\n\nAccepts jobs on one node until SIGTERM or SIGINT.\n"
                            "Exit codes: 0 stopped, 2 invalid settings, 3 cannot start,\n"
                            "4 stopped with calls in flight.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return run_node();
}
