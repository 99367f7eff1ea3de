#pragma once

/// @file
/// An HTTP client; the only module that depends on libcurl.

#include "peridotrudder/links/http.hpp"

#include <asio/io_context.hpp>
#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace peridotrudder {

/// An HTTP request and the limits for it.
struct http_call {
    std::string m_method{"GET"};
    /// The host must be an IP address.
    std::string m_url;
    std::vector<http_header> m_headers;
    std::string m_body;
    milliseconds m_connect_timeout{1'000};
    /// Time limit for the whole call, including connecting.
    milliseconds m_timeout{5'000};
    /// Whether an idle connection may be used. libcurl sends a request again by itself when a
    /// reused connection turns out to be dead, so this must be false for what may run only once.
    bool m_may_reuse_connection{true};
    /// Whether a request on an idle connection that turns out to be dead is sent again. If not, the
    /// call fails as `broken`.
    bool m_may_be_repeated{true};
    std::size_t m_max_answer_bytes{16'777'216};
    /// A header that the answer must repeat, so that another request's answer is not accepted.
    std::optional<http_header> m_required_header;
};

/// How a call failed.
enum class transport_fault {
    /// No connection was made, so no byte of the request was sent.
    not_connected,
    /// The call timed out, or the connection broke, after the request may have been sent.
    broken,
    /// The answer ended early, or its headers do not delimit the body.
    incomplete_answer,
    /// The answer is longer than the call allows.
    answer_too_long,
    /// The answer lacks the required header or has another value for it.
    crossed_answer,
};

using http_result = tl::expected<http_response, transport_fault>;

/// Receives the result; runs on the client's thread and must not block.
using http_callback = std::function<void(http_result)>;

/// Makes many calls concurrently. Runs on its own thread and is then thread-safe, or on a loop that
/// one thread runs; it must then be called from that thread only.
class http_client {
public:
    static std::unique_ptr<http_client> create();

    /// Returns a client that runs on `loop`, which must outlive it. Calls to one host wait
    /// while `connections_per_host` connections are in use; zero means no limit.
    static std::unique_ptr<http_client> create_on(asio::io_context& loop,
                                                  long connections_per_host = 0);

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;
    /// Ends the calls in progress as `broken` and joins the thread.
    ~http_client();

    void send(http_call call, http_callback callback);

    /// Interface of the threaded and the loop-based client.
    class implementation {
    public:
        implementation() = default;
        implementation(const implementation&) = delete;
        implementation& operator=(const implementation&) = delete;
        implementation(implementation&&) = delete;
        implementation& operator=(implementation&&) = delete;
        virtual ~implementation() = default;
        virtual void send(http_call call, http_callback callback) = 0;
    };

private:
    explicit http_client(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> m_implementation;
};

/// Makes one call and waits for its result.
http_result fetch(const http_call& call);

} // namespace peridotrudder
