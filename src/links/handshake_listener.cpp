#include "links/handshake_listener.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <string_view>
#include <utility>

namespace peridotrudder::internal {

namespace {

using asio::ip::tcp;

constexpr milliseconds report_interval{5'000};
/// Pause after an `accept` that failed without a connection to evict.
constexpr milliseconds accept_pause{50};
/// A connection that is reported readable this often in a row without further bytes has been closed
/// by its peer, or fills its receive buffer with tiny segments. Once may be an event of bytes that
/// were already seen.
constexpr int max_wakes_without_bytes = 3;
constexpr std::string_view header_end = "\r\n\r\n";

time_point now_point()
{
    return std::chrono::steady_clock::now();
}

/// Sets how many bytes must have arrived before the kernel reports the socket as readable.
void set_low_watermark(tcp::socket& socket, std::size_t bytes)
{
    const int value = static_cast<int>(bytes);
    static_cast<void>(
        ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVLOWAT, &value, sizeof(value)));
}

tcp::acceptor listen_at(asio::io_context& loop, const tcp::endpoint& endpoint)
{
    tcp::acceptor acceptor{loop, endpoint.protocol()};
    acceptor.set_option(asio::socket_base::reuse_address{true});
    acceptor.bind(endpoint);
    acceptor.listen();
    return acceptor;
}

} // namespace

handshake_listener::handshake_listener(asio::io_context& loop,
                                       const handshake_listener_options& options,
                                       handshake_listener_hooks hooks)
    : m_options{options},
      m_hooks{std::move(hooks)},
      m_acceptor{listen_at(loop, options.m_endpoint)},
      m_accept_timer{loop},
      m_handshakes{options.m_max_pending, options.m_time_limit},
      m_peeked(options.m_max_header_bytes)
{
}

std::shared_ptr<handshake_listener>
handshake_listener::create(asio::io_context& loop, const handshake_listener_options& options,
                           handshake_listener_hooks hooks)
{
    return std::shared_ptr<handshake_listener>{
        new handshake_listener{loop, options, std::move(hooks)}};
}

void handshake_listener::start()
{
    accept_next();
}

void handshake_listener::accept_next()
{
    m_acceptor.async_wait(tcp::acceptor::wait_read,
                          [self = weak_from_this()](const asio::error_code& error) {
                              const auto listener = self.lock();
                              if (listener && error != asio::error::operation_aborted) {
                                  listener->accept();
                              }
                          });
}

// Called once a connection waits: without a free descriptor, `accept` fails even if none does, and
// each failure would evict a handshake.
void handshake_listener::accept()
{
    m_acceptor.async_accept(
        [self = weak_from_this()](const asio::error_code& error, tcp::socket socket) {
            if (const auto listener = self.lock()) {
                listener->accepted(error, std::move(socket));
            }
        });
}

void handshake_listener::accepted(const asio::error_code& error, tcp::socket socket)
{
    if (error) {
        accept_failed(error);
        return;
    }
    add(std::move(socket));
    accept_next();
}

// Accepting never ends: a failed `accept` is followed by another one, after a descriptor was freed
// or, if there is none to free, after a pause.
void handshake_listener::accept_failed(const asio::error_code& error)
{
    if (error == asio::error::operation_aborted) {
        return;
    }
    const auto evicted =
        error == asio::error::no_descriptors ? m_handshakes.first_to_evict() : std::nullopt;
    if (evicted) {
        evict(*evicted, handshake_refusal::evicted);
    }
    if (evicted || error == asio::error::connection_aborted) {
        accept_next();
        return;
    }
    m_accept_timer.expires_after(accept_pause);
    m_accept_timer.async_wait([self = weak_from_this()](const asio::error_code& timer_error) {
        const auto listener = self.lock();
        if (listener && !timer_error) {
            listener->accept_next();
        }
    });
}

void handshake_listener::add(tcp::socket socket)
{
    asio::error_code error;
    const auto remote = socket.remote_endpoint(error);
    if (error) {
        // Reset by its peer already.
        return;
    }
    const auto connection =
        m_handshakes.add(m_hooks.m_is_peer_address(remote.address()), now_point());
    m_awaited.emplace(connection, awaited_header{std::move(socket)});
    if (const auto surplus = m_handshakes.surplus()) {
        evict(*surplus, handshake_refusal::evicted);
    }
    m_pending = m_handshakes.size();
    inspect(connection);
}

void handshake_listener::inspect(handshake_number connection)
{
    const auto found = m_awaited.find(connection);
    if (found == m_awaited.end()) {
        return;
    }
    switch (peek(found->second)) {
    case header_state::incomplete:
        wait_for_more(connection, found->second);
        return;
    case header_state::whole:
        pass_on(connection);
        return;
    case header_state::too_long:
        evict(connection, handshake_refusal::header_too_long);
        return;
    case header_state::closed:
        forget(connection);
        return;
    }
}

handshake_listener::header_state handshake_listener::peek(awaited_header& awaited)
{
    const auto count = ::recv(awaited.m_socket.native_handle(), m_peeked.data(), m_peeked.size(),
                              MSG_PEEK | MSG_DONTWAIT);
    if (count < 0) {
        const bool empty = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        return empty ? header_state::incomplete : header_state::closed;
    }
    const auto arrived = static_cast<std::size_t>(count);
    const std::string_view text{m_peeked.data(), arrived};
    if (text.find(header_end) != std::string_view::npos) {
        return header_state::whole;
    }
    if (arrived == m_peeked.size()) {
        return header_state::too_long;
    }
    const bool more = arrived > awaited.m_arrived;
    awaited.m_wakes_without_bytes = more ? 0 : awaited.m_wakes_without_bytes + 1;
    awaited.m_arrived = arrived;
    const bool stalled = awaited.m_wakes_without_bytes >= max_wakes_without_bytes;
    return arrived == 0 || stalled ? header_state::closed : header_state::incomplete;
}

// The bytes that were peeked at stay readable, so without the watermark the wait would end at once.
void handshake_listener::wait_for_more(handshake_number connection, awaited_header& awaited)
{
    set_low_watermark(awaited.m_socket, awaited.m_arrived + 1);
    awaited.m_socket.async_wait(tcp::socket::wait_read, [self = weak_from_this(), connection](
                                                            const asio::error_code& error) {
        const auto listener = self.lock();
        if (listener && !error) {
            listener->inspect(connection);
        }
    });
}

void handshake_listener::pass_on(handshake_number connection)
{
    auto awaited = m_awaited.extract(connection);
    auto& socket = awaited.mapped().m_socket;
    set_low_watermark(socket, 1);
    m_handshakes.header_arrived(connection);
    m_hooks.m_header_arrived(std::move(socket), connection);
}

void handshake_listener::ended(handshake_number connection)
{
    forget(connection);
}

void handshake_listener::close_overdue()
{
    for (const auto connection : m_handshakes.overdue(now_point())) {
        evict(connection, handshake_refusal::timed_out);
    }
}

void handshake_listener::evict(handshake_number connection, handshake_refusal cause)
{
    // First, so that whoever sees the connection closed finds it counted.
    count(cause);
    const bool taken_over = m_awaited.count(connection) == 0;
    forget(connection);
    if (taken_over) {
        m_hooks.m_close(connection);
    }
}

void handshake_listener::forget(handshake_number connection)
{
    m_handshakes.remove(connection);
    m_awaited.erase(connection);
    m_pending = m_handshakes.size();
}

void handshake_listener::count(handshake_refusal cause)
{
    const auto index = static_cast<std::size_t>(cause);
    const auto total = ++m_refusals[index];
    const auto now = now_point();
    if (total == 1 || now - m_reported_at[index] >= report_interval) {
        m_reported_at[index] = now;
        m_hooks.m_report(cause, total);
    }
}

std::uint64_t handshake_listener::refusals(handshake_refusal cause) const
{
    return m_refusals[static_cast<std::size_t>(cause)];
}

} // namespace peridotrudder::internal
