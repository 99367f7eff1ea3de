#pragma once

/// @file
/// The HTTP client that runs on a given loop.

#include "peridotrudder/links/http_client.hpp"

#include <asio/io_context.hpp>

#include <memory>

namespace peridotrudder::internal {

/// Returns a client whose sockets and timers run on `loop`.
std::unique_ptr<http_client::implementation> make_loop_client(asio::io_context& loop,
                                                              long connections_per_host);

} // namespace peridotrudder::internal
