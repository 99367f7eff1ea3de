/// @file
/// Fuzzes the path of requests in front of the HTTP server: partial, chunked and pipelined bytes on
/// a few connections that share a small budget. The server's side is played by a parser that holds
/// what RESTinio holds. Aborts if anything is held beyond the budget.

#include "links/guarded_connection.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>

namespace {

using namespace peridotrudder;
using internal::guarded_connection;
using internal::guarded_server;
using internal::read_step;

constexpr std::size_t max_body_bytes = 40'000;
constexpr std::size_t max_header_bytes = 2'000;
constexpr std::size_t memory_bytes = 800'000;
constexpr std::size_t max_connections = 6;
constexpr std::size_t min_chunk_bytes = 1'024;
constexpr std::size_t connection_count = 8;
constexpr std::size_t buffer_bytes = 4'096;
/// Longest run of bytes that one step of the input repeats.
constexpr std::size_t max_repetitions = 64;

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

/// Reads requests as the server does.
class server_side {
public:
    server_side()
    {
        http_parser_settings_init(&m_settings);
        m_settings.on_body = [](http_parser* parser, const char* /*data*/, std::size_t length) {
            self(parser).m_body_bytes += length;
            return 0;
        };
        m_settings.on_chunk_header = [](http_parser* parser) {
            ++self(parser).m_chunks;
            return 0;
        };
        m_settings.on_message_complete = [](http_parser* parser) {
            self(parser).m_is_complete = true;
            http_parser_pause(parser, 1);
            return 0;
        };
        start_next();
    }

    /// Returns whether a request is whole now.
    bool read(std::string_view bytes)
    {
        m_bytes += bytes.size();
        const auto taken = http_parser_execute(&m_parser, &m_settings, bytes.data(), bytes.size());
        const auto error = HTTP_PARSER_ERRNO(&m_parser);
        // What passes the framing is whole and well-formed: one request at a time.
        require(error == HPE_OK || error == HPE_PAUSED);
        require(taken == bytes.size());
        require(m_body_bytes <= max_body_bytes);
        require(m_bytes - m_body_bytes <= max_header_bytes + 16 * (m_chunks + 1));
        require(m_chunks <= max_body_bytes / min_chunk_bytes + 2);
        return m_is_complete;
    }

    void start_next()
    {
        http_parser_init(&m_parser, HTTP_REQUEST);
        m_parser.data = this;
        m_body_bytes = m_bytes = m_chunks = 0;
        m_is_complete = false;
    }

    std::size_t body_bytes() const { return m_body_bytes; }

private:
    static server_side& self(http_parser* parser)
    {
        return *static_cast<server_side*>(parser->data);
    }

    http_parser m_parser{};
    http_parser_settings m_settings{};
    std::size_t m_body_bytes{0};
    std::size_t m_bytes{0};
    std::size_t m_chunks{0};
    bool m_is_complete{false};
};

/// A connection with both its ends.
class caller {
public:
    explicit caller(const std::shared_ptr<const guarded_server>& server)
        : m_connection{guarded_connection::create(server, -1)}
    {
        act(m_connection->begin_read(buffer()));
    }

    void send(std::string_view bytes)
    {
        while (!bytes.empty() && m_is_reading) {
            const auto part = bytes.substr(0, buffer_bytes);
            std::copy(part.begin(), part.end(), m_buffer.begin());
            bytes.remove_prefix(part.size());
            act(m_connection->received(buffer(), part.size()));
        }
    }

    /// Answers the request that the server has read.
    void answer(std::size_t bytes)
    {
        if (m_is_calling) {
            m_connection->begin_write(bytes);
            m_connection->end_write();
            m_is_calling = false;
            m_server.start_next();
            act(m_connection->begin_read(buffer()));
        }
    }

    std::size_t held_bytes() const { return m_is_ended ? 0 : m_server.body_bytes(); }

private:
    asio::mutable_buffer buffer() { return asio::buffer(m_buffer); }

    void act(const read_step& step)
    {
        m_is_reading = step.m_action == read_step::action::read_more;
        if (step.m_action == read_step::action::end) {
            m_is_ended = true;
        }
        if (step.m_action == read_step::action::wait) {
            m_connection->wait([this](bool granted) {
                act(granted ? m_connection->granted(buffer())
                            : read_step{read_step::action::end, 0});
            });
        }
        if (step.m_action == read_step::action::deliver) {
            m_is_calling = m_server.read({m_buffer.data(), step.m_bytes});
            if (!m_is_calling) {
                act(m_connection->begin_read(buffer()));
            }
        }
    }

    std::array<char, buffer_bytes> m_buffer{};
    server_side m_server;
    bool m_is_reading{false};
    bool m_is_calling{false};
    bool m_is_ended{false};
    // Last, since its end resumes a request that waits.
    std::shared_ptr<guarded_connection> m_connection;
};

constexpr std::array<std::string_view, 8> pieces{
    "POST /quick/0123456789abcdef HTTP/1.1\r\nHost: a\r\n",
    "Transfer-Encoding: chunked\r\n\r\n",
    "Content-Length: 30000\r\n\r\n",
    "Content-Length: 40000\r\n\r\n",
    "1\r\nx\r\n",
    "1000\r\n",
    "0\r\n\r\n",
    "GET / HTTP/1.1\r\n\r\n",
};

/// Plays the steps of the input. Each begins with a byte for the connection and one for the kind.
void play(std::string_view input)
{
    caller_limits limits;
    limits.m_memory_bytes = memory_bytes;
    limits.m_long_body_memory_bytes = memory_bytes / 2;
    const auto budget = std::make_shared<caller_budget>(limits);
    const auto server = std::make_shared<guarded_server>();
    server->m_table = budget->table();
    server->m_max_connections = max_connections;
    server->m_limits = {max_header_bytes, 64, max_body_bytes};
    std::array<std::unique_ptr<caller>, connection_count> callers;
    while (input.size() >= 3) {
        auto& target = callers.at(static_cast<unsigned char>(input[0]) % connection_count);
        const auto kind = static_cast<unsigned char>(input[1]);
        const auto number = static_cast<unsigned char>(input[2]);
        input.remove_prefix(3);
        if (!target) {
            target = std::make_unique<caller>(server);
        }
        switch (kind % 5) {
        case 0: {
            const auto text = input.substr(0, number);
            input.remove_prefix(text.size());
            target->send(text);
            break;
        }
        case 1:
            target->send(pieces.at(number % pieces.size()));
            break;
        case 2:
            for (std::size_t count = 0; count <= number % max_repetitions; ++count) {
                target->send(std::string(1'000, 'x'));
            }
            break;
        case 3:
            target->answer(number);
            break;
        default:
            target.reset();
        }
        std::size_t held = 0;
        for (const auto& one : callers) {
            held += one ? one->held_bytes() : 0;
        }
        require(budget->used_bytes() <= memory_bytes);
        require(held <= memory_bytes);
    }
    callers = {};
    require(budget->used_bytes() == 0);
    require(budget->connections() == 0);
    require(budget->waiting() == 0);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    play({reinterpret_cast<const char*>(data), size});
    return 0;
}
