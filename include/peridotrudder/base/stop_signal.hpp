#pragma once

/// @file
/// Records SIGTERM and SIGINT as a request to stop the process.

namespace peridotrudder {

/// Installs handlers of SIGTERM and SIGINT that request a stop, and ignores SIGPIPE.
void install_stop_signals();

/// Returns whether a stop was requested.
bool stop_requested();

} // namespace peridotrudder
