#pragma once

/// @file
/// The links between entries; the only module that depends on websocketpp.

#include "peridotrudder/base/clock.hpp"
#include "peridotrudder/base/enum_names.hpp"
#include "peridotrudder/links/http_server.hpp"

#include <asio/io_context.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <gsl/span>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace peridotrudder {

struct peer_mesh_options {
    std::string m_address;
    std::uint16_t m_port{0};
    /// Incarnation of this process.
    std::string m_self;
    /// Secret shared by all entries.
    std::string m_cluster_token;
    /// Longest frame that is sent or accepted; the same in all processes, since a process closes a
    /// link on which a longer one comes. Entries forward answers of 16 MiB with their headers.
    std::size_t m_max_message_bytes{16'908'288};
    /// Most connections that have not finished their handshake.
    std::size_t m_max_handshakes{512};
    /// Interval at which missing links are opened and open ones are checked.
    milliseconds m_check_interval{200};
    /// Gets log lines about links that cannot be opened; runs on the mesh's loop. May be empty.
    std::function<void(std::string_view event, std::string detail)> m_log_event;
};

/// Where a peer listens.
struct peer_endpoint {
    std::string m_incarnation;
    std::string m_address;
    std::uint16_t m_port{0};
};

/// Handles a peer's frame; runs on the mesh's loop and must not block. Returns whether the frame
/// could be decoded.
using peer_handler =
    std::function<bool(const std::string& from, gsl::span<const std::uint8_t> frame)>;

enum class link_change {
    /// The link that this process opened can be used.
    opened,
    /// The peer, or its host, closed the link.
    closed,
    /// The link did not answer a keep-alive ping and was closed; the peer may be alive.
    timed_out,
    /// This process has closed the link, since its end is no peer any more.
    dropped,
    /// The peer has opened a link to this process, which replaces its former one.
    accepted,
};

/// Called when a link changes; runs on the mesh's loop.
using link_handler = std::function<void(const std::string& peer, link_change change)>;

/// Why a connection to the peers' port was closed before its handshake had ended.
enum class handshake_refusal {
    /// There were too many of them, or too few descriptors; it was the first to close.
    evicted,
    timed_out,
    header_too_long,
};

template <>
struct enum_names<handshake_refusal> {
    static constexpr std::array<std::string_view, 3> values{"evicted", "timed_out",
                                                            "header_too_long"};
};

/// Bytes and messages that the mesh has sent and received.
struct peer_traffic {
    std::uint64_t m_sent_messages{0};
    std::uint64_t m_sent_bytes{0};
    std::uint64_t m_received_messages{0};
    std::uint64_t m_received_bytes{0};
    std::uint64_t m_rejected_messages{0};
    /// Frames that were not sent since they were longer than allowed.
    std::uint64_t m_oversized_messages{0};
};

/// Maintains one link to each peer and sends frames over it, in order and at most once each.
///
/// Each pair of entries has two connections: every entry sends on the one that it opened and
/// receives on the one that it accepted. Each pings the one that it opened, so that a connection
/// that goes silent without a reset is replaced. A message is lost when its link breaks; the
/// protocols above resend what they need. A process rejects links that were meant for another
/// incarnation. Thread-safe if it runs on its own thread; on a given loop, `send` must be called
/// from the thread that runs the loop.
class peer_mesh {
public:
    static tl::expected<std::unique_ptr<peer_mesh>, listen_error>
    create(const peer_mesh_options& options, peer_handler handler);

    /// Returns a mesh that runs on `loop`, which must outlive it.
    static tl::expected<std::unique_ptr<peer_mesh>, listen_error>
    create_on(asio::io_context& loop, const peer_mesh_options& options, peer_handler handler,
              link_handler on_link);

    peer_mesh(const peer_mesh&) = delete;
    peer_mesh& operator=(const peer_mesh&) = delete;
    peer_mesh(peer_mesh&&) = delete;
    peer_mesh& operator=(peer_mesh&&) = delete;
    ~peer_mesh();

    /// Sets the peers to maintain links to; all other links are closed.
    void set_peers(const std::vector<peer_endpoint>& peers);

    /// Sends a frame if the link is open. Returns whether it was handed to the link.
    bool send(const std::string& to, std::vector<std::uint8_t> frame);

    peer_traffic traffic() const;

    /// Returns how many connections have not finished their handshake.
    std::size_t pending_handshakes() const;
    /// Returns how many connections were closed before, by a cause.
    std::uint64_t refusals(handshake_refusal cause) const;

    /// Stops the mesh's own thread, if it has one: no message is sent or handled any more.
    void stop();

private:
    class implementation;
    static tl::expected<std::unique_ptr<peer_mesh>, listen_error>
    open(asio::io_context* loop, const peer_mesh_options& options, peer_handler handler,
         link_handler on_link);
    explicit peer_mesh(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace peridotrudder
