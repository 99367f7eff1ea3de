#pragma once

/// @file
/// Follows the bytes of HTTP requests in front of the server, and bounds them as they arrive.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <http_parser.h>

namespace peridotrudder::internal {

struct framing_limits {
    /// Request line and headers, in bytes.
    std::size_t m_max_header_bytes{SIZE_MAX};
    std::size_t m_max_headers{SIZE_MAX};
    std::size_t m_max_body_bytes{SIZE_MAX};
};

enum class framing_state {
    header,
    body,
    complete,
    header_too_long,
    body_too_long,
    malformed,
};

/// Follows one request after the other. A chunked body is passed on in chunks of its own, whatever
/// the caller's chunks are, since the server keeps a record of each chunk.
class request_framing {
public:
    explicit request_framing(const framing_limits& limits);
    request_framing(const request_framing&) = delete;
    request_framing& operator=(const request_framing&) = delete;
    request_framing(request_framing&&) = delete;
    request_framing& operator=(request_framing&&) = delete;
    ~request_framing() = default;

    /// Takes bytes up to the end of the request, and appends those that the server is to read.
    /// Returns how many it took; takes none once the request is complete or refused.
    std::size_t feed(std::string_view raw, std::string& passed_on);
    /// Forgets the request, so that the next one can follow.
    void start_next();

    framing_state state() const { return m_state; }
    bool has_begun() const { return m_header_bytes > 0; }
    std::size_t header_bytes() const { return m_header_bytes; }
    std::size_t headers() const { return m_headers; }
    /// Returns the length of the body so far.
    std::size_t body_bytes() const { return m_body_bytes; }
    /// Returns the announced length of the body, or nothing if it is chunked or not known yet.
    std::optional<std::size_t> announced_bytes() const { return m_announced_bytes; }

private:
    struct callbacks;

    std::size_t execute(std::string_view raw, std::string& passed_on);
    void pass_on_chunk(std::string& passed_on);
    bool is_over() const
    {
        return m_state != framing_state::header && m_state != framing_state::body;
    }

    const framing_limits m_limits;
    http_parser m_parser{};
    framing_state m_state{framing_state::header};
    std::size_t m_header_bytes{0};
    std::size_t m_headers{0};
    std::size_t m_body_bytes{0};
    std::optional<std::size_t> m_announced_bytes;
    bool m_is_chunked{false};
    bool m_last_was_value{true};
    /// Bytes of a chunked body that have not been passed on.
    std::string m_chunk;
};

} // namespace peridotrudder::internal
