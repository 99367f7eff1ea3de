#include "peridotrudder/links/peer_mesh.hpp"
#include "test/links/silencing_proxy.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>

namespace peridotrudder {

namespace {

constexpr std::uint16_t first_port = 17'930;
/// Time in which a frame passes again after a link has gone silent.
constexpr std::chrono::seconds recovery_limit{3};

/// A process with a mesh, on a thread of its own.
struct mesh_process {
    mesh_process(std::string name, std::uint16_t port,
                 milliseconds check_interval = milliseconds{200})
        : m_name{std::move(name)}
    {
        peer_mesh_options options;
        options.m_check_interval = check_interval;
        options.m_address = "127.0.0.1";
        options.m_port = port;
        options.m_self = m_name;
        options.m_cluster_token = "token";
        auto made =
            peer_mesh::create(options, [this](const std::string&, gsl::span<const std::uint8_t>) {
                ++m_received;
                return true;
            });
        CPPUNIT_ASSERT(made.has_value());
        m_mesh = std::move(*made);
    }

    void connect_to(const mesh_process& peer, std::uint16_t port)
    {
        m_mesh->set_peers({{peer.m_name, "127.0.0.1", port}});
    }

    std::string m_name;
    std::atomic<int> m_received{0};
    std::unique_ptr<peer_mesh> m_mesh;
};

/// Sends frames until one arrives that was sent from now on; returns whether one did in time.
bool passes_in_time(mesh_process& from, mesh_process& to)
{
    const int before = to.m_received;
    const auto until = std::chrono::steady_clock::now() + recovery_limit;
    while (std::chrono::steady_clock::now() < until) {
        from.m_mesh->send(to.m_name, {1});
        std::this_thread::sleep_for(std::chrono::milliseconds{50});
        if (to.m_received > before) {
            return true;
        }
    }
    return false;
}

} // namespace

class peer_mesh_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_mesh_test);
    CPPUNIT_TEST(a_frame_reaches_its_peer);
    CPPUNIT_TEST(a_silent_link_is_replaced_in_each_direction);
    CPPUNIT_TEST(a_silent_link_on_which_only_the_peer_sends_back_is_replaced);
    CPPUNIT_TEST(a_link_from_a_peer_that_is_gone_is_closed);
    CPPUNIT_TEST(links_that_are_reset_while_they_are_opened_and_used_are_replaced);
    CPPUNIT_TEST_SUITE_END();

    /// Two processes, the left of which reaches the right one by a proxy.
    struct pair {
        mesh_process m_left{"left", first_port};
        mesh_process m_right{"right", first_port + 1};
        silencing_proxy m_to_right{first_port + 1};
    };

    std::unique_ptr<pair> m_pair;

public:
    void setUp() override
    {
        m_pair = std::make_unique<pair>();
        m_pair->m_left.connect_to(m_pair->m_right, m_pair->m_to_right.port());
        CPPUNIT_ASSERT(passes_in_time(m_pair->m_left, m_pair->m_right));
    }

    void tearDown() override { m_pair.reset(); }

    void a_frame_reaches_its_peer() { CPPUNIT_ASSERT(m_pair->m_right.m_received > 0); }

    // Nodes sent calls into silent links for good (504).
    void a_silent_link_is_replaced_in_each_direction()
    {
        silencing_proxy to_left{first_port};
        m_pair->m_right.connect_to(m_pair->m_left, to_left.port());
        CPPUNIT_ASSERT(passes_in_time(m_pair->m_right, m_pair->m_left));
        m_pair->m_to_right.silence_open_connections();
        to_left.silence_open_connections();
        CPPUNIT_ASSERT(passes_in_time(m_pair->m_left, m_pair->m_right));
        CPPUNIT_ASSERT(passes_in_time(m_pair->m_right, m_pair->m_left));
    }

    // A node that hears the owner's heartbeats did not notice that its own link to it was dead.
    void a_silent_link_on_which_only_the_peer_sends_back_is_replaced()
    {
        m_pair->m_right.connect_to(m_pair->m_left, first_port);
        m_pair->m_to_right.silence_open_connections();
        const auto until = std::chrono::steady_clock::now() + recovery_limit;
        while (std::chrono::steady_clock::now() < until) {
            m_pair->m_right.m_mesh->send("left", {1});
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
        }
        const int before = m_pair->m_right.m_received;
        m_pair->m_left.m_mesh->send("right", {1});
        std::this_thread::sleep_for(std::chrono::milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(before + 1, m_pair->m_right.m_received.load());
    }

    // Closing a link from a peer that was gone ended the process (SIGSEGV).
    void a_link_from_a_peer_that_is_gone_is_closed()
    {
        constexpr milliseconds short_interval{2};
        mesh_process checking{"checking", first_port + 2, short_interval};
        silencing_proxy to_checking{first_port + 2};
        {
            mesh_process gone{"gone", first_port + 3};
            gone.connect_to(checking, to_checking.port());
            CPPUNIT_ASSERT(passes_in_time(gone, checking));
            to_checking.silence_open_connections();
        }
        std::this_thread::sleep_for(std::chrono::seconds{1});
        m_pair->m_left.connect_to(checking, first_port + 2);
        CPPUNIT_ASSERT(passes_in_time(m_pair->m_left, checking));
    }

    void links_that_are_reset_while_they_are_opened_and_used_are_replaced()
    {
        silencing_proxy to_left{first_port};
        m_pair->m_right.connect_to(m_pair->m_left, to_left.port());
        for (int round = 0; round < 60; ++round) {
            m_pair->m_to_right.reset_open_connections();
            to_left.reset_open_connections();
            m_pair->m_left.m_mesh->send("right", {1});
            std::this_thread::sleep_for(std::chrono::milliseconds{10 * (round % 7)});
        }
        CPPUNIT_ASSERT(passes_in_time(m_pair->m_left, m_pair->m_right));
        CPPUNIT_ASSERT(passes_in_time(m_pair->m_right, m_pair->m_left));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_mesh_test);

} // namespace peridotrudder
