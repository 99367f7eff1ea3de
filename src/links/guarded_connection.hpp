#pragma once

/// @file
/// One caller's connection with its share of the caller budget; independent of its socket's type.

#include "links/connection_table.hpp"
#include "links/request_framing.hpp"

#include <asio/buffer.hpp>
#include <asio/execution_context.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace peridotrudder::internal {

/// What all connections of one server share.
struct guarded_server {
    std::shared_ptr<connection_table> m_table;
    std::size_t m_max_connections{SIZE_MAX};
    framing_limits m_limits;
};

/// Gives a server's settings to the sockets that RESTinio makes in the server's constructor, which
/// get nothing but the loop.
class server_registry : public asio::execution_context::service {
public:
    static asio::execution_context::id id;

    explicit server_registry(asio::execution_context& context)
        : asio::execution_context::service{context}
    {
    }

    void set_current(std::shared_ptr<const guarded_server> server)
    {
        m_current = std::move(server);
    }
    const std::shared_ptr<const guarded_server>& current() const { return m_current; }

private:
    void shutdown() override {}

    std::shared_ptr<const guarded_server> m_current;
};

/// What the socket does after bytes have arrived.
struct read_step {
    enum class action {
        read_more,
        /// The server gets `m_bytes` bytes, which are in its buffer.
        deliver,
        /// The request waits for the memory of its body, see `wait`.
        wait,
        /// The server is told that the connection has ended.
        end,
    };
    action m_action{action::read_more};
    std::size_t m_bytes{0};
};

class guarded_connection : public std::enable_shared_from_this<guarded_connection> {
public:
    /// Registers a connection. One for which there is no room is refused, and ends at its first
    /// read.
    static std::shared_ptr<guarded_connection> create(std::shared_ptr<const guarded_server> server,
                                                      int descriptor);
    explicit guarded_connection(std::shared_ptr<const guarded_server> server, int descriptor);
    guarded_connection(const guarded_connection&) = delete;
    guarded_connection& operator=(const guarded_connection&) = delete;
    guarded_connection(guarded_connection&&) = delete;
    guarded_connection& operator=(guarded_connection&&) = delete;
    ~guarded_connection();

    /// The server asks for bytes. `read_more` means that the socket has to be read.
    read_step begin_read(const asio::mutable_buffer& buffer);
    /// `count` bytes have arrived in the server's buffer.
    read_step received(const asio::mutable_buffer& buffer, std::size_t count);
    /// Calls `resume` once, with whether the request that waits may go on; `granted` is next then.
    void wait(std::function<void(bool granted)> resume);
    read_step granted(const asio::mutable_buffer& buffer);

    void begin_write(std::size_t bytes);
    void end_write();
    bool is_writing() const { return m_is_writing; }
    /// Calls `resume` at the end of the write that is under way.
    void wait_for_write(std::function<void()> resume) { m_after_write = std::move(resume); }
    /// Must be called before the socket is closed.
    void close();

private:
    read_step follow(const asio::mutable_buffer& buffer, std::string_view raw);
    read_step deliver(const asio::mutable_buffer& buffer);
    read_step charge(const asio::mutable_buffer& buffer);
    /// Moves bytes that are ready to the server's buffer. Returns how many.
    std::size_t take(const asio::mutable_buffer& buffer);
    read_step refuse(caller_refusal cause);
    read_step discard(std::size_t count);
    void say(caller_refusal cause);
    void cut();
    void resume(bool granted);

    const std::shared_ptr<const guarded_server> m_server;
    connection_table::entry_ptr m_entry;
    request_framing m_framing;
    /// Bytes that arrived after the end of a request, and bytes that the server has not taken.
    std::string m_pending;
    std::string m_ready;
    std::size_t m_discarded_bytes{0};
    bool m_is_refused{false};
    bool m_has_long_body{false};
    bool m_is_writing{false};
    std::function<void()> m_after_write;

    /// Guards what other connections' threads access.
    std::mutex m_mutex;
    int m_descriptor{-1};
    std::function<void(bool granted)> m_resume;
    std::optional<bool> m_resumed;
};

} // namespace peridotrudder::internal
