#pragma once

/// @file
/// Accepts the connections of an HTTP server; stands in for RESTinio's acceptor, which never
/// accepts again once an `accept` has failed.

#include "links/guarded_connection.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <restinio/all.hpp>

#include <exception>
#include <memory>
#include <mutex>
#include <utility>

namespace peridotrudder::internal {

/// Has the functions that RESTinio's server calls on its acceptor. Accepting pauses after a failure
/// and while too many evicted connections are still open.
template <typename Traits>
class caller_acceptor : public std::enable_shared_from_this<caller_acceptor<Traits>> {
public:
    using connection_factory = restinio::impl::connection_factory_t<Traits>;

    template <typename Settings>
    caller_acceptor(Settings& settings, asio::io_context& loop,
                    std::shared_ptr<connection_factory> connections,
                    const typename Traits::logger_t& /*logger*/)
        : m_endpoint{asio::ip::make_address(std::get<std::string>(settings.address())),
                     settings.port()},
          m_set_options{settings.acceptor_options_setter()},
          m_post_bind_hook{settings.giveaway_acceptor_post_bind_hook()},
          m_connections{std::move(connections)},
          m_table{asio::use_service<server_registry>(loop).current()->m_table},
          m_acceptor{loop},
          m_timer{loop},
          m_socket{loop}
    {
    }

    /// Throws if the address cannot be bound.
    void open()
    {
        m_acceptor.open(m_endpoint.protocol());
        restinio::acceptor_options_t options{m_acceptor};
        (*m_set_options)(options);
        m_acceptor.bind(m_endpoint);
        m_post_bind_hook(m_acceptor);
        m_acceptor.listen();
        accept_next();
    }

    void close()
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        asio::error_code ignored;
        m_acceptor.close(ignored);
        m_timer.cancel();
    }

private:
    /// RESTinio's monitor of connections counts nothing with the traits in use.
    using lifetime_monitor =
        typename restinio::connection_count_limit_types<Traits>::lifetime_monitor_t;

    void accept_next()
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        if (!m_acceptor.is_open()) {
            return;
        }
        if (m_pauses < max_pauses && m_table->closing() >= max_closing) {
            ++m_pauses;
            pause(closing_pause);
            return;
        }
        m_pauses = 0;
        m_acceptor.async_wait(
            asio::ip::tcp::acceptor::wait_read,
            [self = this->shared_from_this()](const asio::error_code&) { self->accept(); });
    }

    /// Called once a connection waits: without a free descriptor, `accept` fails even if none does,
    /// and each failure would evict a connection.
    void accept()
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        if (m_acceptor.is_open()) {
            m_acceptor.async_accept(m_socket.lowest_layer(),
                                    [self = this->shared_from_this()](
                                        const asio::error_code& error) { self->accepted(error); });
        }
    }

    void accepted(const asio::error_code& error)
    {
        if (!error) {
            start_connection();
            accept_next();
            return;
        }
        const std::lock_guard<std::mutex> lock{m_mutex};
        if (m_acceptor.is_open()) {
            m_table->accept_failed(std::chrono::steady_clock::now());
            pause(failure_pause);
        }
    }

    /// Called under the lock.
    void pause(milliseconds time)
    {
        m_timer.expires_after(time);
        m_timer.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
            if (!error) {
                self->accept_next();
            }
        });
    }

    void start_connection()
    {
        auto socket = std::move(m_socket);
        asio::error_code error;
        const auto caller = socket.lowest_layer().remote_endpoint(error);
        if (error) {
            // The caller has reset the connection.
            return;
        }
        try {
            m_connections
                ->create_new_connection(std::move(socket), caller, lifetime_monitor{nullptr})
                ->init();
        }
        catch (const std::exception&) {
            // This connection is closed, like one that its caller has reset meanwhile.
            return;
        }
    }

    /// Evicted connections that may be open while accepting goes on. The process's reserve of
    /// descriptors is larger for every `max_fds` that the settings allow.
    static constexpr std::size_t max_closing = 8;
    static constexpr milliseconds closing_pause{1};
    /// Accepting goes on after so many pauses even if no evicted connection could be closed.
    static constexpr int max_pauses = 100;
    static constexpr milliseconds failure_pause{10};

    const asio::ip::tcp::endpoint m_endpoint;
    const std::unique_ptr<restinio::acceptor_options_setter_t> m_set_options;
    restinio::acceptor_post_bind_hook_t m_post_bind_hook;
    const std::shared_ptr<connection_factory> m_connections;
    const std::shared_ptr<connection_table> m_table;
    int m_pauses{0};
    /// Guards the acceptor and the timer: the server may be closed by another thread than the one
    /// that accepts.
    std::mutex m_mutex;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
    /// Takes the next connection; can be used again when it was moved from.
    typename Traits::stream_socket_t m_socket;
};

} // namespace peridotrudder::internal
