#pragma once

/// @file
/// The request to stop that SIGTERM and SIGINT make.

namespace peridotrudder {

/// Makes SIGTERM and SIGINT set the request to stop, and SIGPIPE harmless.
void install_stop_signals();

/// Returns whether a stop was requested.
bool stop_requested();

} // namespace peridotrudder
