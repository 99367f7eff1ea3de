#include "links/request_framing.hpp"

#include <fmt/format.h>

#include <limits>

namespace peridotrudder::internal {

namespace {

/// Chunks that are passed on are at least this long, except for the last one.
constexpr std::size_t min_chunk_bytes = 1'024;
constexpr int go_on = 0;
constexpr int stop = -1;

} // namespace

struct request_framing::callbacks {
    static request_framing& self(http_parser* parser)
    {
        return *static_cast<request_framing*>(parser->data);
    }

    static int refuse(request_framing& framing, framing_state cause)
    {
        framing.m_state = cause;
        return stop;
    }

    static int on_header_name(http_parser* parser, const char* /*data*/, std::size_t /*length*/)
    {
        auto& framing = self(parser);
        framing.m_headers += framing.m_last_was_value ? 1 : 0;
        framing.m_last_was_value = false;
        return framing.m_headers > framing.m_limits.m_max_headers
                   ? refuse(framing, framing_state::header_too_long)
                   : go_on;
    }

    static int on_header_value(http_parser* parser, const char* /*data*/, std::size_t /*length*/)
    {
        self(parser).m_last_was_value = true;
        return go_on;
    }

    static int on_headers_end(http_parser* parser)
    {
        auto& framing = self(parser);
        framing.m_is_chunked = (parser->flags & F_CHUNKED) != 0;
        if (!framing.m_is_chunked &&
            parser->content_length != std::numeric_limits<uint64_t>::max()) {
            if (parser->content_length > framing.m_limits.m_max_body_bytes) {
                return refuse(framing, framing_state::body_too_long);
            }
            framing.m_announced_bytes = parser->content_length;
        }
        framing.m_state = framing_state::body;
        // Makes the parser return here, so that the end of the header is known.
        http_parser_pause(parser, 1);
        return go_on;
    }

    static int on_chunk(http_parser* parser)
    {
        auto& framing = self(parser);
        const auto room = framing.m_limits.m_max_body_bytes - framing.m_body_bytes;
        return parser->content_length > room ? refuse(framing, framing_state::body_too_long)
                                             : go_on;
    }

    static int on_body(http_parser* parser, const char* data, std::size_t length)
    {
        auto& framing = self(parser);
        framing.m_body_bytes += length;
        if (framing.m_is_chunked) {
            framing.m_chunk.append(data, length);
        }
        return go_on;
    }

    static int on_end(http_parser* parser)
    {
        self(parser).m_state = framing_state::complete;
        http_parser_pause(parser, 1);
        return go_on;
    }

    static const http_parser_settings& settings()
    {
        static const auto all = [] {
            http_parser_settings made{};
            http_parser_settings_init(&made);
            made.on_header_field = on_header_name;
            made.on_header_value = on_header_value;
            made.on_headers_complete = on_headers_end;
            made.on_chunk_header = on_chunk;
            made.on_body = on_body;
            made.on_message_complete = on_end;
            return made;
        }();
        return all;
    }
};

request_framing::request_framing(const framing_limits& limits) : m_limits{limits}
{
    start_next();
}

void request_framing::start_next()
{
    http_parser_init(&m_parser, HTTP_REQUEST);
    m_parser.data = this;
    m_state = framing_state::header;
    m_header_bytes = 0;
    m_headers = 0;
    m_body_bytes = 0;
    m_announced_bytes.reset();
    m_is_chunked = false;
    m_last_was_value = true;
    m_chunk = {};
}

std::size_t request_framing::feed(std::string_view raw, std::string& passed_on)
{
    std::size_t taken = 0;
    while (taken < raw.size() && !is_over()) {
        taken += execute(raw.substr(taken), passed_on);
    }
    const bool is_whole = m_state == framing_state::complete;
    if (m_is_chunked && (is_whole || m_chunk.size() >= min_chunk_bytes)) {
        pass_on_chunk(passed_on);
    }
    if (m_is_chunked && is_whole) {
        passed_on += "0\r\n\r\n";
    }
    return taken;
}

std::size_t request_framing::execute(std::string_view raw, std::string& passed_on)
{
    const bool in_header = m_state == framing_state::header;
    auto taken = http_parser_execute(&m_parser, &callbacks::settings(), raw.data(), raw.size());
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (error == HPE_HEADER_OVERFLOW) {
        m_state = framing_state::header_too_long;
    }
    else if (error != HPE_OK && error != HPE_PAUSED && !is_over()) {
        m_state = framing_state::malformed;
    }
    if (in_header) {
        // The parser stops at the last character of the header, and takes it again afterwards.
        const bool is_end = m_state == framing_state::body;
        m_header_bytes += taken + (is_end ? 1 : 0);
        if (m_header_bytes > m_limits.m_max_header_bytes) {
            m_state = framing_state::header_too_long;
        }
        passed_on.append(raw.substr(0, taken + (is_end && m_is_chunked ? 1 : 0)));
    }
    else if (!m_is_chunked) {
        passed_on.append(raw.substr(0, taken));
    }
    if (error == HPE_PAUSED && !is_over()) {
        http_parser_pause(&m_parser, 0);
    }
    return taken;
}

void request_framing::pass_on_chunk(std::string& passed_on)
{
    if (!m_chunk.empty()) {
        passed_on += fmt::format("{:x}\r\n", m_chunk.size());
        passed_on += m_chunk;
        passed_on += "\r\n";
        m_chunk.clear();
    }
}

} // namespace peridotrudder::internal
