#pragma once

/// @file
/// HTTP messages as the rest of the system sees them, independent of the libraries.

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

/// Returns the value of the first header called `name`, without regard to case; empty if none is.
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
    /// Length to declare in place of the body's; the connection is closed after the body. Lets a
    /// stand-in truncate its answer.
    std::optional<std::size_t> m_declared_length;
    /// Whether the server closes the connection after the response.
    bool m_close_connection{false};
};

/// Returns a response with a JSON body.
http_response json_response(std::uint32_t status, std::string body);

/// Returns the value of a query parameter that is a decimal number, or `otherwise`.
std::uint64_t query_number(std::string_view query, std::string_view name, std::uint64_t otherwise);

} // namespace peridotrudder
