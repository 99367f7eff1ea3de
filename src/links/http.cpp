#include "peridotrudder/links/http.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace peridotrudder {

namespace {

bool equal_ignoring_case(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) ==
               std::tolower(static_cast<unsigned char>(b));
    });
}

} // namespace

std::string_view find_header(const std::vector<http_header>& headers, std::string_view name)
{
    for (const auto& header : headers) {
        if (equal_ignoring_case(header.m_name, name)) {
            return header.m_value;
        }
    }
    return {};
}

http_response json_response(std::uint32_t status, std::string body)
{
    http_response response;
    response.m_status = status;
    response.m_headers.push_back({"Content-Type", "application/json"});
    response.m_body = std::move(body);
    return response;
}

std::uint64_t query_number(std::string_view query, std::string_view name,
                           std::uint64_t default_value)
{
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto pair = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos || pair.substr(0, equals) != name) {
            continue;
        }
        const auto text = pair.substr(equals + 1);
        std::uint64_t number = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        const bool is_number = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
        return is_number ? number : default_value;
    }
    return default_value;
}

} // namespace peridotrudder
