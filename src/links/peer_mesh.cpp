#include "peridotrudder/links/peer_mesh.hpp"

#include "links/handshake_listener.hpp"
#include "links/link_table.hpp"
#include "peridotrudder/base/hash.hpp"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <atomic>
#include <fmt/format.h>
#include <map>
#include <random>
#include <set>
#include <thread>
#include <utility>

namespace peridotrudder {

namespace {

using websocketpp::connection_hdl;
using ws_server = websocketpp::server<websocketpp::config::asio>;
using ws_client = websocketpp::client<websocketpp::config::asio_client>;

/// Longer than any peer waits for its handshake: the peer decides when to give up.
constexpr milliseconds accepted_handshake_limit{20'000};
/// Longest header of a peer's handshake without the token: those that a websocket needs, and two
/// incarnations.
constexpr std::size_t max_header_bytes = 2'048;
/// Frames are dropped while a link has more unsent bytes than this, since its peer does not read.
constexpr std::size_t max_buffered_bytes = 33'554'432;
constexpr const char* incarnation_header = "X-Peridot-Incarnation";
constexpr const char* target_header = "X-Peridot-Target";

/// Shortest time between two log lines about the same peer.
constexpr milliseconds report_interval{5'000};
/// A link that was missing for longer is reported when it opens.
constexpr milliseconds reported_gap{1'000};

time_point now_point()
{
    return std::chrono::steady_clock::now();
}

} // namespace

class peer_mesh::implementation {
public:
    /// Runs on `loop`, or on its own thread if `loop` is null.
    implementation(asio::io_context* loop, peer_mesh_options options, peer_handler handler,
                   link_handler on_link)
        : m_options{std::move(options)},
          m_handler{std::move(handler)},
          m_on_link{std::move(on_link)},
          m_own_context{loop == nullptr ? std::make_unique<asio::io_context>() : nullptr},
          m_context{loop == nullptr ? *m_own_context : *loop},
          m_check_timer{m_context},
          m_links{m_options.m_check_interval}
    {
        set_up_server();
        set_up_client();
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    ~implementation() { stop(); }

    void stop()
    {
        if (m_own_context) {
            m_own_context->stop();
        }
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    void start()
    {
        const asio::ip::tcp::endpoint endpoint{asio::ip::make_address(m_options.m_address),
                                               m_options.m_port};
        m_listener = internal::handshake_listener::create(
            m_context, make_listener_options(endpoint), make_listener_hooks());
        m_listener->start();
        schedule_check();
        if (m_own_context) {
            m_thread = std::thread{[this] { m_context.run(); }};
        }
    }

    void set_peers(const std::vector<peer_endpoint>& peers)
    {
        asio::post(m_context, [this, peers] { replace_peers(peers); });
    }

    bool send(const std::string& to, std::vector<std::uint8_t> frame)
    {
        // The peer would close the link, and all that is on its way would be lost.
        if (frame.size() > m_options.m_max_message_bytes) {
            ++m_oversized_messages;
            return false;
        }
        const auto connection = m_links.use(to);
        if (!connection) {
            return false;
        }
        // websocketpp does not lock its count of buffered bytes, so only the mesh's thread may
        // access a link.
        if (!m_own_context) {
            write(*connection, frame);
            return true;
        }
        asio::post(m_context,
                   [this, connection, frame = std::move(frame)] { write(*connection, frame); });
        return true;
    }

    peer_traffic traffic() const
    {
        return {m_sent_messages,  m_sent_bytes,        m_received_messages,
                m_received_bytes, m_rejected_messages, m_oversized_messages};
    }

    std::size_t pending_handshakes() const { return m_listener->pending(); }

    std::uint64_t refusals(handshake_refusal cause) const { return m_listener->refusals(cause); }

private:
    template <typename Endpoint>
    static void disable_logging(Endpoint& endpoint)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
    }

    template <typename Connection>
    static void disable_nagle(const Connection& connection)
    {
        asio::error_code ignored;
        connection->get_raw_socket().set_option(asio::ip::tcp::no_delay{true}, ignored);
    }

    void write(const connection_hdl& connection, const std::vector<std::uint8_t>& frame)
    {
        websocketpp::lib::error_code error;
        const auto link = m_client.get_con_from_hdl(connection, error);
        if (error || link->get_buffered_amount() > max_buffered_bytes) {
            return;
        }
        error = link->send(frame.data(), frame.size(), websocketpp::frame::opcode::binary);
        if (!error) {
            ++m_sent_messages;
            m_sent_bytes += frame.size();
        }
    }

    void set_up_server()
    {
        disable_logging(m_server);
        m_server.init_asio(&m_context);
        m_server.set_max_message_size(m_options.m_max_message_bytes);
        // A peer's request has no body; by default up to 32 MB of one are read.
        m_server.set_max_http_body_size(0);
        // `handshake_listener` has the limit.
        m_server.set_open_handshake_timeout(0);
        m_server.set_validate_handler([this](const connection_hdl& hdl) { return is_peer(hdl); });
        m_server.set_close_handler(
            [this](const connection_hdl& hdl) { m_accepted.remove(opener_of(hdl), hdl); });
        m_server.set_message_handler([this](const connection_hdl& hdl, const auto& message) {
            receive(hdl, message->get_payload());
        });
        m_server.set_ping_handler(
            [this](const connection_hdl& hdl, const std::string& /*payload*/) {
                m_accepted.used(opener_of(hdl), hdl);
                return true;
            });
    }

    void set_up_client()
    {
        disable_logging(m_client);
        m_client.init_asio(&m_context);
        m_client.set_max_message_size(m_options.m_max_message_bytes);
        // `link_attempts` has the limits.
        m_client.set_open_handshake_timeout(0);
    }

    internal::handshake_listener_options
    make_listener_options(const asio::ip::tcp::endpoint& endpoint) const
    {
        return {endpoint, m_options.m_max_handshakes,
                max_header_bytes + m_options.m_cluster_token.size(), accepted_handshake_limit};
    }

    internal::handshake_listener_hooks make_listener_hooks()
    {
        internal::handshake_listener_hooks hooks;
        hooks.m_is_peer_address = [this](const asio::ip::address& address) {
            return m_peer_addresses.count(address) != 0;
        };
        hooks.m_header_arrived = [this](asio::ip::tcp::socket socket,
                                        internal::handshake_number number) {
            answer_handshake(std::move(socket), number);
        };
        hooks.m_close = [this](internal::handshake_number number) { end_handshake(number); };
        hooks.m_report = [this](handshake_refusal cause, std::uint64_t count) {
            report("handshakes_refused", fmt::format("{}: {}", to_string(cause), count));
        };
        return hooks;
    }

    /// Answers a request whose header can be read.
    void answer_handshake(asio::ip::tcp::socket socket, internal::handshake_number number)
    {
        const auto connection = m_server.get_connection();
        if (!connection) {
            m_listener->ended(number);
            return;
        }
        connection->get_raw_socket() = std::move(socket);
        m_answered[number] = connection->get_handle();
        connection->set_open_handler([this, number](const connection_hdl& hdl) {
            forget_handshake(number);
            accept(hdl);
        });
        connection->set_termination_handler(
            [this, number](const auto& /*connection*/) { forget_handshake(number); });
        connection->start();
    }

    void forget_handshake(internal::handshake_number number)
    {
        m_answered.erase(number);
        m_listener->ended(number);
    }

    /// Closes a connection whose answer is under way.
    void end_handshake(internal::handshake_number number)
    {
        const auto found = m_answered.find(number);
        if (found != m_answered.end()) {
            const auto hdl = found->second;
            terminate(m_server, hdl);
        }
    }

    bool is_peer(const connection_hdl& hdl)
    {
        const auto connection = m_server.get_con_from_hdl(hdl);
        const auto expected = fmt::format("Bearer {}", m_options.m_cluster_token);
        const auto& authorization = connection->get_request_header("Authorization");
        const bool names_itself = !connection->get_request_header(incarnation_header).empty();
        const bool is_for_this_process =
            connection->get_request_header(target_header) == m_options.m_self;
        const bool has_token = equal_secrets(authorization, expected);
        if (!names_itself || !has_token) {
            report_rejection("stranger", has_token ? "no name" : "wrong token");
        }
        else if (!is_for_this_process) {
            report_rejection(connection->get_request_header(incarnation_header),
                             connection->get_request_header(target_header) + " wanted");
        }
        return names_itself && is_for_this_process && has_token;
    }

    /// Only a process that has the token is reported by its name: strangers could make up many.
    void report_rejection(const std::string& opener, const std::string& cause)
    {
        const auto now = now_point();
        auto& reported_at = m_rejections_reported_at[opener];
        if (now - reported_at >= report_interval) {
            reported_at = now;
            report("link_rejected", fmt::format("{}: {}", opener, cause));
        }
    }

    /// Returns the incarnation of the peer that opened a link to this process.
    std::string opener_of(const connection_hdl& hdl)
    {
        return m_server.get_con_from_hdl(hdl)->get_request_header(incarnation_header);
    }

    void accept(const connection_hdl& hdl)
    {
        const auto peer = opener_of(hdl);
        reset(m_server, m_accepted.accept(peer, hdl));
        m_links.peer_lives(peer);
        notify_link(peer, link_change::accepted);
    }

    void receive(const connection_hdl& hdl, const std::string& payload)
    {
        ++m_received_messages;
        m_received_bytes += payload.size();
        const auto peer = opener_of(hdl);
        m_accepted.used(peer, hdl);
        m_links.peer_sent(peer);
        // The payload is CBOR; websocketpp passes its bytes as characters.
        const auto* data = reinterpret_cast<const std::uint8_t*>(payload.data());
        if (!m_handler(peer, {data, payload.size()})) {
            ++m_rejected_messages;
        }
    }

    /// Keeps the addresses that are numeric; a name is not resolved for this.
    void replace_peer_addresses(const std::vector<peer_endpoint>& peers)
    {
        m_peer_addresses.clear();
        for (const auto& peer : peers) {
            asio::error_code error;
            const auto address = asio::ip::make_address(peer.m_address, error);
            if (!error) {
                m_peer_addresses.insert(address);
            }
        }
    }

    void replace_peers(const std::vector<peer_endpoint>& peers)
    {
        replace_peer_addresses(peers);
        const auto ended = m_links.replace(peers, now_point());
        for (const auto& connection : ended.m_open) {
            close(connection);
        }
        for (const auto& connection : ended.m_attempts) {
            terminate(m_client, connection);
        }
        for (const auto& incarnation : ended.m_dropped) {
            notify_link(incarnation, link_change::dropped);
        }
        connect_missing(false);
    }

    void close(const connection_hdl& connection)
    {
        websocketpp::lib::error_code ignored;
        m_client.close(connection, websocketpp::close::status::going_away, "", ignored);
    }

    void schedule_check()
    {
        m_check_timer.expires_after(m_options.m_check_interval);
        m_check_timer.async_wait([this](const asio::error_code& error) {
            if (!error) {
                check_opened_links();
                check_accepted_links();
                m_listener->close_overdue();
                connect_missing(true);
                schedule_check();
            }
        });
    }

    void check_opened_links()
    {
        const auto steps = m_links.check_open(now_point());
        for (const auto& connection : steps.m_to_ping) {
            websocketpp::lib::error_code ignored;
            m_client.ping(connection, "", ignored);
        }
        for (const auto& [incarnation, connection] : steps.m_dead) {
            reset(m_client, connection);
            notify_link(incarnation, link_change::timed_out);
        }
    }

    void check_accepted_links()
    {
        for (const auto& connection : m_accepted.check()) {
            // Its close handler removes it from the accepted links.
            reset(m_server, connection);
        }
    }

    /// Closes a connection at once. What it has not delivered is dropped, so that none of it
    /// arrives after what the next connection carries.
    template <typename Endpoint>
    static void reset(Endpoint& endpoint, const connection_hdl& hdl)
    {
        websocketpp::lib::error_code error;
        const auto connection = endpoint.get_con_from_hdl(hdl, error);
        if (error) {
            return;
        }
        asio::error_code ignored;
        connection->get_raw_socket().set_option(asio::socket_base::linger{true, 0}, ignored);
        connection->terminate(make_error_code(websocketpp::error::general));
    }

    /// Ends a connection that is not open yet, whatever it waits for.
    template <typename Endpoint>
    static void terminate(Endpoint& endpoint, const connection_hdl& hdl)
    {
        websocketpp::lib::error_code error;
        const auto connection = endpoint.get_con_from_hdl(hdl, error);
        if (error) {
            return;
        }
        connection->terminate(make_error_code(websocketpp::error::open_handshake_timeout));
        asio::error_code ignored;
        connection->get_raw_socket().close(ignored);
    }

    /// Starts the attempts that are due: at an `interval`, or between two of them those for links
    /// that no attempt has failed to open.
    void connect_missing(bool interval)
    {
        const auto steps = m_links.check_missing(
            interval, [this] { return m_random(); }, now_point());
        for (const auto& connection : steps.m_given_up) {
            terminate(m_client, connection);
        }
        for (const auto& failure : steps.m_failures) {
            report_failure(failure);
        }
        for (const auto& peer : steps.m_to_open) {
            connect(peer);
        }
    }

    void connect(const peer_endpoint& peer)
    {
        websocketpp::lib::error_code error;
        const auto connection =
            m_client.get_connection(fmt::format("ws://{}:{}/", peer.m_address, peer.m_port), error);
        if (error) {
            mark_failed(peer.m_incarnation, {}, error.message());
            return;
        }
        connection->append_header("Authorization",
                                  fmt::format("Bearer {}", m_options.m_cluster_token));
        connection->append_header(incarnation_header, m_options.m_self);
        connection->append_header(target_header, peer.m_incarnation);
        const auto incarnation = peer.m_incarnation;
        connection->set_open_handler([this, incarnation](const connection_hdl& hdl) {
            disable_nagle(m_client.get_con_from_hdl(hdl));
            mark_open(incarnation, hdl);
        });
        connection->set_pong_handler(
            [this, incarnation](const connection_hdl& hdl, const std::string& /*payload*/) {
                m_links.answered(incarnation, hdl);
            });
        connection->set_fail_handler([this, incarnation](const connection_hdl& hdl) {
            mark_failed(incarnation, hdl, failure_of(hdl));
        });
        connection->set_close_handler(
            [this, incarnation](const connection_hdl& hdl) { mark_closed(incarnation, hdl); });
        connection->set_tcp_post_init_handler([this, incarnation](const connection_hdl& hdl) {
            m_links.connected(incarnation, hdl);
        });
        m_links.started(incarnation, connection->get_handle());
        m_client.connect(connection);
    }

    void mark_open(const std::string& incarnation, const connection_hdl& hdl)
    {
        const auto gap = m_links.opened(incarnation, hdl, now_point());
        if (!gap) {
            // The peer was dropped, or the attempt given up.
            asio::post(m_context, [this, hdl] { close(hdl); });
            return;
        }
        if (gap->m_missing_for >= reported_gap) {
            report("link_opened", fmt::format("{} after {} ms and {} failures", incarnation,
                                              gap->m_missing_for.count(), gap->m_failures));
        }
        notify_link(incarnation, link_change::opened);
    }

    /// Returns why a link could not be opened.
    std::string failure_of(const connection_hdl& hdl)
    {
        websocketpp::lib::error_code error;
        const auto connection = m_client.get_con_from_hdl(hdl, error);
        if (error) {
            return error.message();
        }
        const int status = static_cast<int>(connection->get_response_code());
        return status == 0 ? connection->get_ec().message()
                           : fmt::format("{} ({})", connection->get_ec().message(), status);
    }

    void mark_failed(const std::string& incarnation, const connection_hdl& hdl,
                     const std::string& cause)
    {
        report_failure(m_links.failed(incarnation, hdl, cause, now_point()));
    }

    void report_failure(const std::string& failure)
    {
        if (!failure.empty()) {
            report("link_failed", failure);
        }
    }

    void report(std::string_view event, std::string detail)
    {
        if (m_options.m_log_event) {
            m_options.m_log_event(event, std::move(detail));
        }
    }

    void mark_closed(const std::string& incarnation, const connection_hdl& hdl)
    {
        if (m_links.closed(incarnation, hdl, now_point())) {
            notify_link(incarnation, link_change::closed);
        }
    }

    void notify_link(const std::string& incarnation, link_change change)
    {
        if (m_on_link) {
            m_on_link(incarnation, change);
        }
    }

    peer_mesh_options m_options;
    peer_handler m_handler;
    link_handler m_on_link;
    std::unique_ptr<asio::io_context> m_own_context;
    asio::io_context& m_context;
    asio::steady_timer m_check_timer;
    ws_server m_server;
    ws_client m_client;
    std::shared_ptr<internal::handshake_listener> m_listener;
    /// Connections whose handshake is being answered.
    std::map<internal::handshake_number, connection_hdl> m_answered;
    std::set<asio::ip::address> m_peer_addresses;
    /// Spreads the attempts to open links.
    std::minstd_rand m_random{std::random_device{}()};
    internal::outgoing_links m_links;
    /// Used on the mesh's loop only.
    internal::accepted_links m_accepted;
    std::map<std::string, time_point> m_rejections_reported_at;
    std::atomic<std::uint64_t> m_sent_messages{0};
    std::atomic<std::uint64_t> m_sent_bytes{0};
    std::atomic<std::uint64_t> m_received_messages{0};
    std::atomic<std::uint64_t> m_received_bytes{0};
    std::atomic<std::uint64_t> m_rejected_messages{0};
    std::atomic<std::uint64_t> m_oversized_messages{0};
    std::thread m_thread;
};

tl::expected<std::unique_ptr<peer_mesh>, listen_error>
peer_mesh::open(asio::io_context* loop, const peer_mesh_options& options, peer_handler handler,
                link_handler on_link)
{
    try {
        auto impl =
            std::make_unique<implementation>(loop, options, std::move(handler), std::move(on_link));
        impl->start();
        return std::unique_ptr<peer_mesh>{new peer_mesh{std::move(impl)}};
    }
    catch (const std::exception& exception) {
        return tl::make_unexpected(
            listen_error{options.m_address, options.m_port, exception.what()});
    }
}

tl::expected<std::unique_ptr<peer_mesh>, listen_error>
peer_mesh::create(const peer_mesh_options& options, peer_handler handler)
{
    return open(nullptr, options, std::move(handler), {});
}

tl::expected<std::unique_ptr<peer_mesh>, listen_error>
peer_mesh::create_on(asio::io_context& loop, const peer_mesh_options& options, peer_handler handler,
                     link_handler on_link)
{
    return open(&loop, options, std::move(handler), std::move(on_link));
}

peer_mesh::peer_mesh(std::unique_ptr<implementation> impl) : m_implementation{std::move(impl)} {}

peer_mesh::~peer_mesh() = default;

void peer_mesh::set_peers(const std::vector<peer_endpoint>& peers)
{
    m_implementation->set_peers(peers);
}

bool peer_mesh::send(const std::string& to, std::vector<std::uint8_t> frame)
{
    return m_implementation->send(to, std::move(frame));
}

void peer_mesh::stop()
{
    m_implementation->stop();
}

peer_traffic peer_mesh::traffic() const
{
    return m_implementation->traffic();
}

std::size_t peer_mesh::pending_handshakes() const
{
    return m_implementation->pending_handshakes();
}

std::uint64_t peer_mesh::refusals(handshake_refusal cause) const
{
    return m_implementation->refusals(cause);
}

} // namespace peridotrudder
