#include "peridotrudder/links/http_server.hpp"

#include "links/caller_acceptor.hpp"
#include "links/guarded_socket.hpp"
#include "links/open_connections.hpp"

#include <restinio/all.hpp>

#include <future>
#include <thread>
#include <utility>
#include <vector>

namespace peridotrudder {

namespace {

using restinio_handler = std::function<restinio::request_handling_status_t(
    restinio::generic_request_handle_t<restinio::no_extra_data_factory_t::data_t>)>;

struct server_traits : public restinio::default_traits_t {
    using request_handler_t = restinio_handler;
    using stream_socket_t = internal::guarded_socket<internal::recorded_socket>;
};

/// Traits for a server whose loop is run by one thread.
struct loop_traits : public restinio::default_single_thread_traits_t {
    using request_handler_t = restinio_handler;
    using stream_socket_t = internal::guarded_socket<asio::ip::tcp::socket>;
};

} // namespace

} // namespace peridotrudder

// RESTinio's server has no setting for its acceptor. These specializations must come before the
// servers' first use.
template <>
class restinio::impl::acceptor_t<peridotrudder::server_traits>
    : public peridotrudder::internal::caller_acceptor<peridotrudder::server_traits> {
    using caller_acceptor::caller_acceptor;
};

template <>
class restinio::impl::acceptor_t<peridotrudder::loop_traits>
    : public peridotrudder::internal::caller_acceptor<peridotrudder::loop_traits> {
    using caller_acceptor::caller_acceptor;
};

namespace peridotrudder {

namespace {

constexpr std::size_t max_url_bytes = 8'192;
constexpr std::size_t max_headers = 256;
/// Time in which a closing server must have answered the requests that it has read.
constexpr milliseconds answer_time{1'000};
/// Time for which a closing server waits for callers to close their connections after the farewell.
constexpr milliseconds linger_time{200};

http_request read_request(const restinio::request_handle_t& handle)
{
    http_request request;
    const auto& header = handle->header();
    request.m_method = header.method().c_str();
    request.m_path = std::string{header.path()};
    request.m_query = std::string{header.query()};
    header.for_each_field([&request](const auto& field) {
        request.m_headers.push_back({field.name(), field.value()});
    });
    request.m_body = handle->body();
    return request;
}

restinio::http_status_line_t status_line(std::uint32_t status)
{
    constexpr std::uint32_t first_error = 400;
    return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)},
            status < first_error ? "OK" : "Refused"};
}

void write_truncated(const restinio::request_handle_t& handle, http_response response)
{
    auto builder =
        handle->create_response<restinio::user_controlled_output_t>(status_line(response.m_status));
    for (auto& header : response.m_headers) {
        builder.append_header(std::move(header.m_name), std::move(header.m_value));
    }
    builder.connection_close();
    builder.set_content_length(*response.m_declared_length);
    builder.append_body(std::move(response.m_body));
    builder.done();
}

void write_response(const restinio::request_handle_t& handle, http_response response)
{
    if (response.m_declared_length) {
        write_truncated(handle, std::move(response));
        return;
    }
    auto builder = handle->create_response(status_line(response.m_status));
    for (auto& header : response.m_headers) {
        builder.append_header(std::move(header.m_name), std::move(header.m_value));
    }
    if (response.m_close_connection) {
        builder.connection_close();
    }
    builder.set_body(std::move(response.m_body));
    builder.done();
}

restinio::request_handling_status_t dispatch(const http_handler& handler,
                                             const restinio::request_handle_t& handle)
{
    handler(read_request(handle),
            [handle](http_response response) { write_response(handle, std::move(response)); });
    return restinio::request_accepted();
}

template <typename Traits>
restinio::server_settings_t<Traits> make_settings(const http_server_options& options,
                                                  http_handler handler)
{
    restinio::server_settings_t<Traits> settings;
    settings.address(options.m_address)
        .port(options.m_port)
        .read_next_http_message_timelimit(options.m_read_timeout)
        .write_http_response_timelimit(options.m_read_timeout)
        .handle_request_timeout(options.m_handle_timeout)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(max_url_bytes)
                                      .max_field_name_size(options.m_max_header_bytes)
                                      .max_field_value_size(options.m_max_header_bytes)
                                      .max_field_count(max_headers)
                                      .max_body_size(options.m_max_body_bytes))
        .acceptor_options_setter(
            [](auto& setter) { setter.set_option(asio::ip::tcp::acceptor::reuse_address{true}); })
        .socket_options_setter(
            [](auto& setter) { setter.set_option(asio::ip::tcp::no_delay{true}); })
        .request_handler([handler = std::move(handler)](const restinio::request_handle_t& handle) {
            return dispatch(handler, handle);
        });
    return settings;
}

/// Announces the limits to the sockets that RESTinio makes from the loop, and returns the loop.
asio::io_context& prepare_loop(asio::io_context& loop, const http_server_options& options)
{
    const auto budget =
        options.m_budget ? options.m_budget : std::make_shared<caller_budget>(caller_limits{});
    auto server = std::make_shared<internal::guarded_server>();
    server->m_table = budget->table();
    server->m_max_connections = options.m_max_connections;
    server->m_limits = {options.m_max_header_bytes, max_headers, options.m_max_body_bytes};
    asio::use_service<internal::server_registry>(loop).set_current(std::move(server));
    return loop;
}

} // namespace

class http_server::implementation {
public:
    implementation() = default;
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;
    virtual ~implementation() = default;
};

namespace {

/// Returns the response as it is sent on a connection that closes after it.
std::string to_farewell(const http_response& response)
{
    const auto line = status_line(response.m_status);
    auto text = fmt::format("HTTP/1.1 {} {}\r\nConnection: close\r\nContent-Length: {}\r\n",
                            response.m_status, line.reason_phrase(), response.m_body.size());
    for (const auto& header : response.m_headers) {
        text += fmt::format("{}: {}\r\n", header.m_name, header.m_value);
    }
    return text + "\r\n" + response.m_body;
}

/// Runs on threads of its own.
class threaded_server : public http_server::implementation {
public:
    threaded_server(const http_server_options& options, http_handler handler)
        : m_closing_response{options.m_closing_response},
          m_connections{asio::use_service<internal::open_connections>(m_loop)},
          m_server{restinio::external_io_context(prepare_loop(m_loop, options)),
                   make_own_settings(options, std::move(handler))}
    {
        m_server.open_sync();
        for (std::size_t count = 0; count < options.m_threads; ++count) {
            m_threads.emplace_back([this] { m_loop.run(); });
        }
    }

    threaded_server(const threaded_server&) = delete;
    threaded_server& operator=(const threaded_server&) = delete;
    threaded_server(threaded_server&&) = delete;
    threaded_server& operator=(threaded_server&&) = delete;

    ~threaded_server() override
    {
        const auto deadline = std::chrono::steady_clock::now() + answer_time;
        if (m_closing_response) {
            m_connections.start_closing(to_farewell(*m_closing_response));
            internal::stop_handshakes(m_listener, deadline);
        }
        std::promise<void> closed;
        asio::post(m_loop, [this, &closed] {
            m_server.close_sync();
            closed.set_value();
        });
        closed.get_future().wait();
        if (m_closing_response) {
            m_connections.wait_until_closed(linger_time, deadline);
        }
        m_loop.stop();
        for (auto& thread : m_threads) {
            thread.join();
        }
    }

private:
    restinio::server_settings_t<server_traits> make_own_settings(const http_server_options& options,
                                                                 http_handler handler)
    {
        auto settings = make_settings<server_traits>(
            options, [this, handler = std::move(handler)](http_request request,
                                                          const http_responder& respond) {
                handle(handler, std::move(request), respond);
            });
        settings.acceptor_post_bind_hook(
            [this](asio::ip::tcp::acceptor& acceptor) { m_listener = acceptor.native_handle(); });
        return settings;
    }

    void handle(const http_handler& handler, http_request request, const http_responder& respond)
    {
        // The farewell may have been sent on this connection: then the caller takes it for the
        // response, so the request must not run.
        if (m_connections.is_closing()) {
            auto response = *m_closing_response;
            response.m_close_connection = true;
            respond(std::move(response));
            return;
        }
        handler(std::move(request), respond);
    }

    std::optional<http_response> m_closing_response;
    asio::io_context m_loop;
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_loop.get_executor()};
    internal::open_connections& m_connections;
    int m_listener{-1};
    restinio::http_server_t<server_traits> m_server;
    std::vector<std::thread> m_threads;
};

class loop_server : public http_server::implementation {
public:
    loop_server(asio::io_context& loop, const http_server_options& options, http_handler handler)
        : m_server{restinio::external_io_context(prepare_loop(loop, options)),
                   make_settings<loop_traits>(options, std::move(handler))}
    {
        m_server.open_sync();
    }

    loop_server(const loop_server&) = delete;
    loop_server& operator=(const loop_server&) = delete;
    loop_server(loop_server&&) = delete;
    loop_server& operator=(loop_server&&) = delete;
    ~loop_server() override { m_server.close_sync(); }

private:
    restinio::http_server_t<loop_traits> m_server;
};

} // namespace

tl::expected<std::unique_ptr<http_server>, listen_error>
http_server::create(const http_server_options& options, http_handler handler)
{
    try {
        auto impl = std::make_unique<threaded_server>(options, std::move(handler));
        return std::unique_ptr<http_server>{new http_server{std::move(impl)}};
    }
    catch (const std::exception& exception) {
        return tl::make_unexpected(
            listen_error{options.m_address, options.m_port, exception.what()});
    }
}

tl::expected<std::unique_ptr<http_server>, listen_error>
http_server::create_on(asio::io_context& loop, const http_server_options& options,
                       http_handler handler)
{
    try {
        auto impl = std::make_unique<loop_server>(loop, options, std::move(handler));
        return std::unique_ptr<http_server>{new http_server{std::move(impl)}};
    }
    catch (const std::exception& exception) {
        return tl::make_unexpected(
            listen_error{options.m_address, options.m_port, exception.what()});
    }
}

http_server::http_server(std::unique_ptr<implementation> impl) : m_implementation{std::move(impl)}
{
}

http_server::~http_server() = default;

} // namespace peridotrudder
