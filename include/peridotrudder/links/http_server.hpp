#pragma once

/// @file
/// An HTTP server; the only module that depends on RESTinio.

#include "peridotrudder/links/caller_budget.hpp"
#include "peridotrudder/links/http.hpp"

#include <asio/io_context.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridotrudder {

/// Sends the response. May be called once, from any thread, during or after the handler.
using http_responder = std::function<void(http_response)>;

/// Handles a request; runs on a thread of the server and must not block.
using http_handler = std::function<void(http_request, http_responder)>;

struct http_server_options {
    std::string m_address;
    std::uint16_t m_port{0};
    std::size_t m_threads{1};
    /// Longest body accepted, in bytes; a longer one is refused with status 413 as soon as that is
    /// known, and its connection closed.
    std::size_t m_max_body_bytes{1'048'576};
    /// Longest request line with headers, in bytes; a longer one is refused with status 431.
    std::size_t m_max_header_bytes{32'768};
    /// Most open connections. For another one, the connection is closed that has been idle or
    /// unfinished for longest.
    std::size_t m_max_connections{SIZE_MAX};
    /// Shared by the servers of a process; without it, only the limits above hold.
    std::shared_ptr<caller_budget> m_budget;
    /// Time limit for reading one request, so that a slow client does not hold a connection
    /// forever. Also limits writing a response.
    milliseconds m_read_timeout{10'000};
    /// Time limit for a handler to respond.
    milliseconds m_handle_timeout{700'000};
    /// For a server on its own threads: what callers get whose requests arrive while it is being
    /// destroyed. Without it, connections are closed as they are, which may cut off a request.
    std::optional<http_response> m_closing_response;
};

/// Why a server did not start: the address could not be bound or is not an IP address.
struct listen_error {
    std::string m_address;
    std::uint16_t m_port{0};
    std::string m_reason;
};

/// Serves HTTP/1.1 from its creation until its destruction, on its own threads or on a given loop.
///
///     auto server = http_server::create(options, [](http_request request, http_responder respond)
///     {
///         respond(json_response(200, "{}"));
///     });
class http_server {
public:
    static tl::expected<std::unique_ptr<http_server>, listen_error>
    create(const http_server_options& options, http_handler handler);

    /// Returns a server that runs on `loop`, which one thread runs and which must outlive it.
    static tl::expected<std::unique_ptr<http_server>, listen_error>
    create_on(asio::io_context& loop, const http_server_options& options, http_handler handler);

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;
    /// Closes all connections and joins the threads. With a closing response, first accepts the
    /// callers that have connected, waits up to a second for the responses to the requests that
    /// were read, and sends the closing response on every other connection, also on idle ones: a
    /// request may be on its way. Such a request does not run.
    ~http_server();

    class implementation;

private:
    explicit http_server(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace peridotrudder
