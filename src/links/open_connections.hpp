#pragma once

/// @file
/// The open connections of an HTTP server, so that it can end them without cutting off a request.

#include "peridotrudder/base/clock.hpp"

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/execution_context.hpp>
#include <asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace peridotrudder::internal {

class open_connections;

/// What the server has to know of one connection to end it.
class connection_record {
public:
    explicit connection_record(const open_connections& connections) : m_connections{connections} {}

    /// The server waits for a request, or for more of it. Sends the farewell if it is closing.
    void begin_read(int descriptor);
    void end_read();
    /// Must be called before the socket is closed.
    void close();
    /// If the server waits for a request, sends the farewell and ends the direction to the caller.
    void say_farewell(const std::string& farewell);
    bool has_said_farewell() const;

private:
    void say_farewell_locked(const std::string& farewell);

    const open_connections& m_connections;
    mutable std::mutex m_mutex;
    int m_descriptor{-1};
    bool m_is_reading{false};
    bool m_has_said_farewell{false};
};

/// The connections of the server that runs on an `asio::io_context`, of which this is a service.
class open_connections : public asio::execution_context::service {
public:
    static asio::execution_context::id id;

    explicit open_connections(asio::execution_context& context)
        : asio::execution_context::service{context}
    {
    }

    /// Adds a connection, which is removed when the record is destroyed.
    std::shared_ptr<connection_record> add();

    /// Sends the farewell, a whole HTTP response, on every connection that waits for a request: now
    /// or, if a request is under way, after its response.
    void start_closing(std::string farewell);

    /// Returns whether new requests must be answered with the farewell.
    bool is_closing() const { return m_is_closing; }
    /// Returns the farewell if the server is closing, otherwise null.
    const std::string* farewell() const { return m_is_closing ? &m_farewell : nullptr; }

    /// Waits until all callers have closed their connections. Waits for those that got the farewell
    /// only for `linger_time`, for the others until `deadline`.
    void wait_until_closed(milliseconds linger_time, time_point deadline) const;

private:
    void shutdown() override {}
    void remove(connection_record* ended);
    bool is_answering() const;
    bool is_empty() const;

    std::atomic<bool> m_is_closing{false};
    std::string m_farewell;
    mutable std::mutex m_mutex;
    std::set<connection_record*> m_records;
};

/// A socket that keeps the record of its connection.
class recorded_socket : public asio::ip::tcp::socket {
public:
    explicit recorded_socket(asio::io_context& loop)
        : asio::ip::tcp::socket{loop},
          m_connections{&asio::use_service<open_connections>(loop)}
    {
    }

    recorded_socket(const recorded_socket&) = delete;
    recorded_socket& operator=(const recorded_socket&) = delete;
    /// The moved-from socket can be used for another connection.
    recorded_socket(recorded_socket&& other) noexcept
        : asio::ip::tcp::socket{std::move(other)},
          m_connections{other.m_connections},
          m_record{std::move(other.m_record)}
    {
    }
    recorded_socket& operator=(recorded_socket&&) = delete;

    ~recorded_socket()
    {
        if (m_record) {
            m_record->close();
        }
    }

    template <typename Buffers, typename Handler>
    void async_read_some(const Buffers& buffers, Handler&& handler)
    {
        if (!m_record) {
            m_record = m_connections->add();
        }
        m_record->begin_read(native_handle());
        const auto executor = asio::get_associated_executor(handler, get_executor());
        asio::ip::tcp::socket::async_read_some(
            buffers, asio::bind_executor(
                         executor, [record = m_record, handler = std::forward<Handler>(handler)](
                                       const asio::error_code& error, std::size_t count) mutable {
                             record->end_read();
                             handler(error, count);
                         }));
    }

    void close()
    {
        if (m_record) {
            m_record->close();
        }
        asio::ip::tcp::socket::close();
    }

private:
    open_connections* m_connections;
    std::shared_ptr<connection_record> m_record;
};

/// Refuses new handshakes on a listening socket, and waits until the connections that were made
/// before have been accepted; not longer than until `deadline`.
void stop_handshakes(int listener, time_point deadline);

} // namespace peridotrudder::internal
