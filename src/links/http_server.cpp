#include "peridotrudder/links/http_server.hpp"

#include <restinio/all.hpp>

#include <utility>

namespace peridotrudder {

namespace {

struct server_traits : public restinio::default_traits_t {
    using request_handler_t = std::function<restinio::request_handling_status_t(
        restinio::generic_request_handle_t<restinio::no_extra_data_factory_t::data_t>)>;
};

constexpr std::size_t max_url_bytes = 8'192;
constexpr std::size_t max_header_bytes = 16'384;
constexpr std::size_t max_headers = 64;

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
    for (auto& each : response.m_headers) {
        builder.append_header(std::move(each.m_name), std::move(each.m_value));
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
    for (auto& each : response.m_headers) {
        builder.append_header(std::move(each.m_name), std::move(each.m_value));
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

restinio::server_settings_t<server_traits> make_settings(const http_server_options& options,
                                                         http_handler handler)
{
    restinio::server_settings_t<server_traits> settings;
    settings.address(options.m_address)
        .port(options.m_port)
        .read_next_http_message_timelimit(options.m_read_timeout)
        .write_http_response_timelimit(options.m_read_timeout)
        .handle_request_timeout(options.m_handle_timeout)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(max_url_bytes)
                                      .max_field_name_size(max_header_bytes)
                                      .max_field_value_size(max_header_bytes)
                                      .max_field_count(max_headers)
                                      .max_body_size(options.m_max_body_bytes))
        .acceptor_options_setter(
            [](auto& setter) { setter.set_option(asio::ip::tcp::acceptor::reuse_address{true}); })
        .socket_options_setter(
            [](auto& setter) { setter.set_option(asio::ip::tcp::no_delay{true}); })
        // More than one at a time would race for the library's connection ids.
        .concurrent_accepts_count(1)
        .request_handler([handler = std::move(handler)](const restinio::request_handle_t& handle) {
            return dispatch(handler, handle);
        });
    return settings;
}

} // namespace

class http_server::implementation {
public:
    using handle = decltype(restinio::run_async<server_traits>(
        restinio::own_io_context(), restinio::server_settings_t<server_traits>{}, 1));

    explicit implementation(handle running) : m_running{std::move(running)} {}

private:
    handle m_running;
};

tl::expected<std::unique_ptr<http_server>, listen_error>
http_server::create(const http_server_options& options, http_handler handler)
{
    try {
        auto running =
            restinio::run_async(restinio::own_io_context(),
                                make_settings(options, std::move(handler)), options.m_threads);
        auto inside = std::make_unique<implementation>(std::move(running));
        return std::unique_ptr<http_server>{new http_server{std::move(inside)}};
    }
    catch (const std::exception& exception) {
        return tl::make_unexpected(
            listen_error{options.m_address, options.m_port, exception.what()});
    }
}

http_server::http_server(std::unique_ptr<implementation> inside) : m_inside{std::move(inside)} {}

http_server::~http_server() = default;

} // namespace peridotrudder
