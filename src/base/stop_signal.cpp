#include "peridotrudder/base/stop_signal.hpp"

#include <csignal>

namespace peridotrudder {

namespace {

volatile std::sig_atomic_t stop_flag = 0;

void on_signal(int /*number*/)
{
    stop_flag = 1;
}

} // namespace

void install_stop_signals()
{
    std::signal(SIGTERM, on_signal);
    std::signal(SIGINT, on_signal);
    std::signal(SIGPIPE, SIG_IGN);
}

bool stop_requested()
{
    return stop_flag != 0;
}

} // namespace peridotrudder
