#include "peridotrudder/links/peer_mesh.hpp"

#include <asio.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace peridotrudder {

namespace {

using std::chrono::steady_clock;

constexpr std::uint16_t first_port = 17'960;

peer_mesh_options make_options(const std::string& name, std::uint16_t port)
{
    peer_mesh_options options;
    options.m_address = "127.0.0.1";
    options.m_port = port;
    options.m_self = name;
    options.m_cluster_token = "token";
    return options;
}

bool take_frame(const std::string& /*from*/, gsl::span<const std::uint8_t> /*frame*/)
{
    return true;
}

/// A process with a mesh, on a thread of its own.
std::unique_ptr<peer_mesh> make_mesh(const std::string& name, std::uint16_t port)
{
    auto made = peer_mesh::create(make_options(name, port), take_frame);
    CPPUNIT_ASSERT(made.has_value());
    return std::move(*made);
}

/// Waits until each of these processes has been able to send a frame to a peer.
bool all_link(const std::vector<std::unique_ptr<peer_mesh>>& processes, const std::string& peer,
              milliseconds limit)
{
    std::vector<bool> linked(processes.size(), false);
    const auto until = steady_clock::now() + limit;
    while (steady_clock::now() < until) {
        std::this_thread::sleep_for(milliseconds{50});
        for (std::size_t process = 0; process < processes.size(); ++process) {
            linked[process] = linked[process] || processes[process]->send(peer, {1});
        }
        if (std::find(linked.begin(), linked.end(), false) == linked.end()) {
            return true;
        }
    }
    return false;
}

/// A process whose loop takes some time for each handler.
class slow_process {
public:
    slow_process(const std::string& name, std::uint16_t port, milliseconds cost) : m_cost{cost}
    {
        auto made = peer_mesh::create_on(m_loop, make_options(name, port), take_frame, {});
        CPPUNIT_ASSERT(made.has_value());
        m_mesh = std::move(*made);
        m_thread = std::thread{[this] {
            while (!m_stop) {
                if (m_loop.run_one_for(milliseconds{20}) != 0) {
                    std::this_thread::sleep_for(m_cost);
                }
            }
        }};
    }

    slow_process(const slow_process&) = delete;
    slow_process& operator=(const slow_process&) = delete;
    slow_process(slow_process&&) = delete;
    slow_process& operator=(slow_process&&) = delete;

    ~slow_process()
    {
        m_stop = true;
        m_thread.join();
    }

private:
    milliseconds m_cost;
    std::atomic<bool> m_stop{false};
    asio::io_context m_loop;
    std::unique_ptr<peer_mesh> m_mesh;
    std::thread m_thread;
};

/// Opens links to two peers, in a process that is paused before one of the first handlers of its
/// loop. Returns whether both links open soon after.
bool opens_after_pause(int paused_step, const std::vector<peer_endpoint>& peers)
{
    constexpr int steps = 14;
    // Longer than websocketpp's time limits, after which it may report no end of an attempt.
    constexpr milliseconds pause{5'300};
    constexpr milliseconds recovery_limit{4'000};
    asio::io_context loop;
    int opened = 0;
    auto mesh = peer_mesh::create_on(
        loop,
        make_options("paused " + std::to_string(paused_step),
                     static_cast<std::uint16_t>(first_port + 10 + paused_step)),
        take_frame, [&opened](const std::string&, link_change change) {
            opened += change == link_change::opened ? 1 : 0;
        });
    if (!mesh) {
        return false;
    }
    (*mesh)->set_peers(peers);
    for (int step = 0; step < steps; ++step) {
        std::this_thread::sleep_for(step == paused_step ? pause : milliseconds{20});
        loop.poll_one();
    }
    const auto until = steady_clock::now() + recovery_limit;
    while (opened < 2 && steady_clock::now() < until) {
        loop.run_one_for(milliseconds{20});
    }
    return opened >= 2;
}

} // namespace

class peer_mesh_opening_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_mesh_opening_test);
    CPPUNIT_TEST(a_process_that_is_paused_while_it_opens_links_opens_them_all);
    CPPUNIT_TEST(a_peer_that_accepts_and_does_not_answer_is_linked_when_it_does);
    CPPUNIT_TEST(a_slow_process_is_linked_by_many_that_connect_at_once);
    CPPUNIT_TEST(a_peer_that_is_dropped_is_reported);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_process_that_is_paused_while_it_opens_links_opens_them_all()
    {
        constexpr int paused_steps = 12;
        const auto left = make_mesh("left", first_port);
        const auto right = make_mesh("right", first_port + 1);
        const std::vector<peer_endpoint> peers{{"left", "127.0.0.1", first_port},
                                               {"right", "127.0.0.1", first_port + 1}};
        std::vector<std::future<bool>> runs;
        runs.reserve(paused_steps);
        for (int step = 0; step < paused_steps; ++step) {
            runs.push_back(std::async(std::launch::async, opens_after_pause, step, peers));
        }
        std::string failed;
        for (int step = 0; step < paused_steps; ++step) {
            if (!runs[static_cast<std::size_t>(step)].get()) {
                failed += " " + std::to_string(step);
            }
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("paused before these steps", std::string{}, failed);
    }

    void a_peer_that_accepts_and_does_not_answer_is_linked_when_it_does()
    {
        std::vector<std::unique_ptr<peer_mesh>> processes;
        processes.push_back(make_mesh("opening", first_port + 2));
        {
            asio::io_context loop;
            asio::ip::tcp::acceptor silent{loop,
                                           {asio::ip::address_v4::loopback(), first_port + 3}};
            processes.front()->set_peers({{"silent", "127.0.0.1", first_port + 3}});
            CPPUNIT_ASSERT(!all_link(processes, "silent", milliseconds{5'000}));
        }
        const auto process = make_mesh("silent", first_port + 3);
        CPPUNIT_ASSERT(all_link(processes, "silent", milliseconds{1'000}));
    }

    // Handshakes that were given up kept it busy, so that none of the rest was done in time.
    void a_slow_process_is_linked_by_many_that_connect_at_once()
    {
        constexpr int count = 33;
        const slow_process slow{"slow", first_port + 4, milliseconds{25}};
        std::vector<std::unique_ptr<peer_mesh>> processes;
        processes.reserve(count);
        for (int number = 0; number < count; ++number) {
            processes.push_back(make_mesh("process " + std::to_string(number),
                                          static_cast<std::uint16_t>(first_port + 30 + number)));
        }
        for (const auto& process : processes) {
            process->set_peers({{"slow", "127.0.0.1", first_port + 4}});
        }
        CPPUNIT_ASSERT(all_link(processes, "slow", milliseconds{30'000}));
    }

    // The links of former processes counted as open for good.
    void a_peer_that_is_dropped_is_reported()
    {
        asio::io_context loop;
        std::vector<link_change> changes;
        const auto peer = make_mesh("peer", first_port + 5);
        auto mesh = peer_mesh::create_on(
            loop, make_options("dropping", first_port + 6), take_frame,
            [&changes](const std::string&, link_change change) { changes.push_back(change); });
        CPPUNIT_ASSERT(mesh.has_value());
        (*mesh)->set_peers({{"peer", "127.0.0.1", first_port + 5}});
        loop.run_for(milliseconds{500});
        (*mesh)->set_peers({});
        loop.run_for(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.size());
        CPPUNIT_ASSERT(changes[0] == link_change::opened);
        CPPUNIT_ASSERT(changes[1] == link_change::dropped);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_mesh_opening_test);

} // namespace peridotrudder
