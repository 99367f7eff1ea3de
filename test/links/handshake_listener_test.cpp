#include "links/descriptor_shortage.hpp"
#include "peridotrudder/links/peer_mesh.hpp"

#include <asio.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace peridotrudder {

namespace {

using asio::ip::tcp;

constexpr std::uint16_t port = 17'920;
constexpr std::size_t limit = 16;
constexpr milliseconds patience{10'000};

std::string request_of_a_peer(const std::string& token)
{
    return "GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
           "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
           "X-Peridot-Incarnation: peer\r\nX-Peridot-Target: node\r\nAuthorization: Bearer " +
           token + "\r\n\r\n";
}

/// A process with a mesh on a thread of its own, and connections to its peers' port.
class mesh_under_test {
public:
    explicit mesh_under_test(std::size_t max_message_bytes = 1'000)
    {
        peer_mesh_options options;
        options.m_address = "127.0.0.1";
        options.m_port = port;
        options.m_self = "node";
        options.m_cluster_token = "token";
        options.m_max_handshakes = limit;
        options.m_max_message_bytes = max_message_bytes;
        auto made = peer_mesh::create(
            options, [](const std::string&, gsl::span<const std::uint8_t>) { return true; });
        CPPUNIT_ASSERT(made.has_value());
        m_mesh = std::move(*made);
    }

    peer_mesh& mesh() { return *m_mesh; }

    tcp::socket connect()
    {
        tcp::socket socket{m_loop};
        socket.connect({asio::ip::address_v4::loopback(), port});
        return socket;
    }

    /// Returns the first line of the answer to a request; empty if the connection is closed.
    static std::string status_of(tcp::socket& socket, const std::string& request)
    {
        asio::error_code error;
        asio::write(socket, asio::buffer(request), error);
        std::string answer;
        asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n", error);
        return answer.substr(0, answer.find("\r\n"));
    }

    template <typename Condition>
    static bool comes_true(const Condition& condition)
    {
        const auto until = std::chrono::steady_clock::now() + patience;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > until) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds{2});
        }
        return true;
    }

private:
    asio::io_context m_loop;
    std::unique_ptr<peer_mesh> m_mesh;
};

} // namespace

class handshake_listener_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(handshake_listener_test);
    CPPUNIT_TEST(a_peers_handshake_is_answered);
    CPPUNIT_TEST(a_header_in_small_pieces_is_read_to_its_end);
    CPPUNIT_TEST(a_stranger_is_refused_and_forgotten);
    CPPUNIT_TEST(connections_beyond_the_limit_displace_the_oldest);
    CPPUNIT_TEST(a_peer_gets_through_a_crowd_that_keeps_connecting);
    CPPUNIT_TEST(a_handshake_outlasts_a_shortage_of_descriptors);
    CPPUNIT_TEST(a_header_without_end_is_cut_off);
    CPPUNIT_TEST(a_request_with_a_body_is_refused);
    CPPUNIT_TEST(a_connection_closed_within_its_header_is_forgotten);
    CPPUNIT_TEST(a_frame_over_the_limit_is_not_sent_and_its_link_stays_open);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_peers_handshake_is_answered()
    {
        mesh_under_test process;
        auto socket = process.connect();
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 101 Switching Protocols"},
                             process.status_of(socket, request_of_a_peer("token")));
        CPPUNIT_ASSERT(
            process.comes_true([&] { return process.mesh().pending_handshakes() == 0; }));
    }

    // Guards against a wait that a header's earlier bytes end at once, and against one that misses
    // the rest.
    void a_header_in_small_pieces_is_read_to_its_end()
    {
        mesh_under_test process;
        auto socket = process.connect();
        socket.set_option(tcp::no_delay{true});
        const auto request = request_of_a_peer("token");
        for (const auto character : request.substr(0, request.size() - 1)) {
            asio::write(socket, asio::buffer(&character, 1));
            std::this_thread::sleep_for(milliseconds{1});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, process.mesh().pending_handshakes());
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 101 Switching Protocols"},
                             process.status_of(socket, "\n"));
    }

    void a_stranger_is_refused_and_forgotten()
    {
        mesh_under_test process;
        auto socket = process.connect();
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 400 Bad Request"},
                             process.status_of(socket, request_of_a_peer("guess")));
        CPPUNIT_ASSERT(
            process.comes_true([&] { return process.mesh().pending_handshakes() == 0; }));
    }

    void connections_beyond_the_limit_displace_the_oldest()
    {
        mesh_under_test process;
        std::vector<tcp::socket> crowd;
        for (std::size_t index = 0; index < 3 * limit; ++index) {
            crowd.push_back(process.connect());
        }
        CPPUNIT_ASSERT(process.comes_true(
            [&] { return process.mesh().refusals(handshake_refusal::evicted) == 2 * limit; }));
        CPPUNIT_ASSERT_EQUAL(limit, process.mesh().pending_handshakes());
        CPPUNIT_ASSERT_EQUAL(std::string{}, process.status_of(crowd.front(), {}));
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 101 Switching Protocols"},
                             process.status_of(crowd.back(), request_of_a_peer("token")));
    }

    void a_peer_gets_through_a_crowd_that_keeps_connecting()
    {
        mesh_under_test process;
        std::atomic<bool> ended{false};
        std::thread crowd{[&] {
            std::vector<tcp::socket> members;
            while (!ended) {
                members.push_back(process.connect());
                if (members.size() > 4 * limit) {
                    members.erase(members.begin());
                }
            }
        }};
        const bool reached = process.comes_true([&] {
            asio::io_context loop;
            tcp::socket socket{loop};
            socket.connect({asio::ip::address_v4::loopback(), port});
            return process.status_of(socket, request_of_a_peer("token")) ==
                   "HTTP/1.1 101 Switching Protocols";
        });
        ended = true;
        crowd.join();
        CPPUNIT_ASSERT(reached);
    }

    // Without a free descriptor, `accept` fails even if nobody waits. Each failure evicted a
    // handshake.
    void a_handshake_outlasts_a_shortage_of_descriptors()
    {
        mesh_under_test process;
        asio::io_context loop;
        tcp::socket peer{loop};
        peer.open(tcp::v4());
        descriptor_shortage shortage;
        shortage.free_one();
        peer.connect({asio::ip::address_v4::loopback(), port});
        std::this_thread::sleep_for(milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 101 Switching Protocols"},
                             process.status_of(peer, request_of_a_peer("token")));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, process.mesh().refusals(handshake_refusal::evicted));
    }

    void a_header_without_end_is_cut_off()
    {
        mesh_under_test process;
        auto socket = process.connect();
        CPPUNIT_ASSERT_EQUAL(std::string{}, process.status_of(socket, "GET / HTTP/1.1\r\n" +
                                                                          std::string(4'000, 'x')));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             process.mesh().refusals(handshake_refusal::header_too_long));
    }

    // websocketpp reads bodies of up to 32 MB: 40 of 4 MB took a node from 19 to 180 MB.
    void a_request_with_a_body_is_refused()
    {
        mesh_under_test process;
        auto socket = process.connect();
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 413 "},
                             process.status_of(socket, "POST / HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                                                       "Content-Length: 4000000\r\n\r\n"));
        CPPUNIT_ASSERT(
            process.comes_true([&] { return process.mesh().pending_handshakes() == 0; }));
    }

    void a_connection_closed_within_its_header_is_forgotten()
    {
        mesh_under_test process;
        auto socket = process.connect();
        asio::write(socket, asio::buffer(std::string{"GET / HTTP/1.1\r\nHost"}));
        CPPUNIT_ASSERT(
            process.comes_true([&] { return process.mesh().pending_handshakes() == 1; }));
        socket.close();
        CPPUNIT_ASSERT(
            process.comes_true([&] { return process.mesh().pending_handshakes() == 0; }));
    }

    // A frame that the peer does not accept made it close the link.
    void a_frame_over_the_limit_is_not_sent_and_its_link_stays_open()
    {
        mesh_under_test process;
        peer_mesh_options options;
        options.m_address = "127.0.0.1";
        options.m_port = port + 1;
        options.m_self = "sender";
        options.m_cluster_token = "token";
        options.m_max_message_bytes = 1'000;
        const auto sender = peer_mesh::create(
            options, [](const std::string&, gsl::span<const std::uint8_t>) { return true; });
        CPPUNIT_ASSERT(sender.has_value());
        (*sender)->set_peers({{"node", "127.0.0.1", port}});
        const std::vector<std::uint8_t> longest(1'000, 1);
        const std::vector<std::uint8_t> too_long(1'001, 1);
        CPPUNIT_ASSERT(process.comes_true([&] { return (*sender)->send("node", longest); }));
        CPPUNIT_ASSERT(!(*sender)->send("node", too_long));
        CPPUNIT_ASSERT((*sender)->send("node", longest));
        CPPUNIT_ASSERT(
            process.comes_true([&] { return process.mesh().traffic().m_received_messages == 2; }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, (*sender)->traffic().m_oversized_messages);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(handshake_listener_test);

} // namespace peridotrudder
