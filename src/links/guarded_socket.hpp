#pragma once

/// @file
/// A socket that bounds what its peer can make the HTTP server hold.

#include "links/guarded_connection.hpp"

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/error.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <utility>

namespace peridotrudder::internal {

/// Stands between RESTinio's connection and a socket of type `Base`. Uses plain reads and writes
/// only.
template <typename Base>
class guarded_socket : public Base {
public:
    explicit guarded_socket(asio::io_context& loop)
        : Base{loop},
          m_server{asio::use_service<server_registry>(loop).current()}
    {
    }

    guarded_socket(const guarded_socket&) = delete;
    guarded_socket& operator=(const guarded_socket&) = delete;
    /// The moved-from socket can be used for another connection.
    guarded_socket(guarded_socket&& other) noexcept
        : Base{std::move(other)},
          m_server{other.m_server},
          m_connection{std::move(other.m_connection)}
    {
    }
    guarded_socket& operator=(guarded_socket&&) = delete;

    ~guarded_socket()
    {
        if (m_connection) {
            m_connection->close();
        }
    }

    template <typename Buffers, typename Handler>
    void async_read_some(const Buffers& buffers, Handler&& handler)
    {
        if (!m_connection) {
            m_connection = guarded_connection::create(m_server, Base::native_handle());
        }
        const asio::mutable_buffer buffer = *asio::buffer_sequence_begin(buffers);
        const auto executor = asio::get_associated_executor(handler, Base::get_executor());
        start(buffer, executor, std::forward<Handler>(handler));
    }

    template <typename Buffers, typename Handler>
    void async_write_some(const Buffers& buffers, Handler&& handler)
    {
        if (!m_connection) {
            Base::async_write_some(buffers, std::forward<Handler>(handler));
            return;
        }
        m_connection->begin_write(asio::buffer_size(buffers));
        const auto executor = asio::get_associated_executor(handler, Base::get_executor());
        Base::async_write_some(
            buffers,
            asio::bind_executor(
                executor, [connection = m_connection, handler = std::forward<Handler>(handler)](
                              const asio::error_code& error, std::size_t count) mutable {
                    connection->end_write();
                    handler(error, count);
                }));
    }

    void close()
    {
        if (m_connection) {
            m_connection->close();
        }
        Base::close();
    }

private:
    /// Waits for the end of an answer first: RESTinio resets its parser when it has sent an answer,
    /// though it may have begun to read the next request before.
    template <typename Executor, typename Handler>
    void start(const asio::mutable_buffer& buffer, const Executor& executor, Handler&& handler)
    {
        if (m_connection->is_writing()) {
            m_connection->wait_for_write(
                [this, buffer, executor, handler = std::forward<Handler>(handler)] {
                    asio::post(executor, [this, buffer, executor, handler]() mutable {
                        start(buffer, executor, std::move(handler));
                    });
                });
            return;
        }
        const auto step = m_connection->begin_read(buffer);
        act(step, buffer, executor, std::forward<Handler>(handler), true);
    }

    /// The handler keeps the server's connection alive, and thereby this socket and the buffer.
    template <typename Executor, typename Handler>
    void read(const asio::mutable_buffer& buffer, const Executor& executor, Handler&& handler)
    {
        Base::async_read_some(
            buffer,
            asio::bind_executor(executor,
                                [this, buffer, executor, handler = std::forward<Handler>(handler)](
                                    const asio::error_code& error, std::size_t count) mutable {
                                    if (error) {
                                        handler(error, count);
                                        return;
                                    }
                                    const auto step = m_connection->received(buffer, count);
                                    act(step, buffer, executor, std::move(handler), false);
                                }));
    }

    /// Calls the handler later if `is_starting`: it must not run within the start of the read.
    template <typename Executor, typename Handler>
    void act(const read_step& step, const asio::mutable_buffer& buffer, const Executor& executor,
             Handler&& handler, bool is_starting)
    {
        switch (step.m_action) {
        case read_step::action::read_more:
            read(buffer, executor, std::forward<Handler>(handler));
            return;
        case read_step::action::wait:
            wait(buffer, executor, std::forward<Handler>(handler));
            return;
        case read_step::action::deliver:
        case read_step::action::end:
            break;
        }
        const auto error = step.m_action == read_step::action::end
                               ? asio::error_code{asio::error::eof}
                               : asio::error_code{};
        if (!is_starting) {
            handler(error, step.m_bytes);
            return;
        }
        asio::post(executor, [handler = std::forward<Handler>(handler), error,
                              count = step.m_bytes]() mutable { handler(error, count); });
    }

    template <typename Executor, typename Handler>
    void wait(const asio::mutable_buffer& buffer, const Executor& executor, Handler&& handler)
    {
        m_connection->wait(
            [this, buffer, executor, handler = std::forward<Handler>(handler)](bool granted) {
                asio::post(executor, [this, buffer, executor, granted, handler]() mutable {
                    const auto step = granted ? m_connection->granted(buffer)
                                              : read_step{read_step::action::end, 0};
                    act(step, buffer, executor, std::move(handler), false);
                });
            });
    }

    std::shared_ptr<const guarded_server> m_server;
    std::shared_ptr<guarded_connection> m_connection;
};

} // namespace peridotrudder::internal
