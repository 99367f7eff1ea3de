#pragma once

/// @file
/// HTTP messages, independent of the HTTP libraries.

#include "peridotrudder/base/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotrudder {

struct http_header {
    std::string m_name;
    std::string m_value;
};

/// Returns the value of the first header called `name`, ignoring case; empty if there is
/// none.
std::string_view find_header(const std::vector<http_header>& headers, std::string_view name);

struct http_request {
    std::string m_method;
    /// Path without the query.
    std::string m_path;
    std::string m_query;
    std::vector<http_header> m_headers;
    std::string m_body;
};

struct http_response {
    std::uint32_t m_status{200};
    std::vector<http_header> m_headers;
    std::string m_body;
    /// `Content-Length` to send instead of the body's length; the connection is closed after the
    /// body. Lets a stand-in truncate its answer.
    std::optional<std::size_t> m_declared_length;
    /// Whether the server closes the connection after the response.
    bool m_close_connection{false};
    /// For an answer that was received: the request was sent more than once, so the answer does not
    /// tell what became of the first copy.
    bool m_request_repeated{false};
};

/// Returns a response with a JSON body.
http_response json_response(std::uint32_t status, std::string body);

/// Returns the value of a query parameter that is a decimal number, or
/// `default_value` if it is absent or malformed.
std::uint64_t query_number(std::string_view query, std::string_view name,
                           std::uint64_t default_value);

} // namespace peridotrudder
