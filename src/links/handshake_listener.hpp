#pragma once

/// @file
/// Accepts connections to the peers' port and bounds those that have not finished their handshake.

#include "links/pending_handshakes.hpp"
#include "peridotrudder/links/peer_mesh.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace peridotrudder::internal {

struct handshake_listener_options {
    asio::ip::tcp::endpoint m_endpoint;
    std::size_t m_max_pending{0};
    std::size_t m_max_header_bytes{0};
    milliseconds m_time_limit{0};
};

struct handshake_listener_hooks {
    /// Whether a known peer has this address.
    std::function<bool(const asio::ip::address&)> m_is_peer_address;
    /// Takes over a connection whose whole header can be read. `handshake_listener::ended` must be
    /// called when its handshake has succeeded or failed.
    std::function<void(asio::ip::tcp::socket socket, handshake_number connection)> m_header_arrived;
    /// Closes a connection that was taken over.
    std::function<void(handshake_number connection)> m_close;
    /// Gets the first refusal by a cause, and then the count every few seconds at most.
    std::function<void(handshake_refusal cause, std::uint64_t count)> m_report;
};

/// Passes a connection on once its header has arrived, so that a connection without a complete
/// header takes a descriptor and a few hundred bytes only. The header stays in the kernel's
/// buffer until then. Runs on the loop; only `pending` and `refusals` are thread-safe.
class handshake_listener : public std::enable_shared_from_this<handshake_listener> {
public:
    /// Throws `std::exception` if the endpoint cannot be listened on.
    static std::shared_ptr<handshake_listener> create(asio::io_context& loop,
                                                      const handshake_listener_options& options,
                                                      handshake_listener_hooks hooks);

    void start();
    /// The handshake of a connection that was taken over has ended.
    void ended(handshake_number connection);
    /// Closes the connections that take too long. Must be called regularly.
    void close_overdue();

    std::size_t pending() const { return m_pending; }
    std::uint64_t refusals(handshake_refusal cause) const;

private:
    /// A connection whose header has not arrived yet.
    struct awaited_header {
        asio::ip::tcp::socket m_socket;
        /// Bytes that had arrived when it was last looked at.
        std::size_t m_arrived{0};
        int m_wakes_without_bytes{0};
    };
    enum class header_state { incomplete, whole, too_long, closed };
    static constexpr std::size_t causes = enum_names<handshake_refusal>::values.size();

    handshake_listener(asio::io_context& loop, const handshake_listener_options& options,
                       handshake_listener_hooks hooks);
    void accept_next();
    void accept();
    void accepted(const asio::error_code& error, asio::ip::tcp::socket socket);
    void accept_failed(const asio::error_code& error);
    void add(asio::ip::tcp::socket socket);
    void inspect(handshake_number connection);
    header_state peek(awaited_header& awaited);
    void wait_for_more(handshake_number connection, awaited_header& awaited);
    void pass_on(handshake_number connection);
    void evict(handshake_number connection, handshake_refusal cause);
    void forget(handshake_number connection);
    void count(handshake_refusal cause);

    const handshake_listener_options m_options;
    const handshake_listener_hooks m_hooks;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_accept_timer;
    pending_handshakes m_handshakes;
    std::map<handshake_number, awaited_header> m_awaited;
    /// What the last look at a connection has read.
    std::vector<char> m_peeked;
    std::atomic<std::size_t> m_pending{0};
    std::array<std::atomic<std::uint64_t>, causes> m_refusals{};
    std::array<time_point, causes> m_reported_at{};
};

} // namespace peridotrudder::internal
