#include "test/ownership/election_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

/// Time from a fault until all nodes have an owner again. The longest way is: suspicion (0.7 s), a
/// question (0.1 s), a check of the journal that just sees the last writes (1.3 s), the pause until
/// the next one (1 s), that one (1.3 s), a claim and its repetition (0.4 s).
constexpr milliseconds takeover_limit{5'000};
constexpr std::uint32_t seeds = 20;
constexpr milliseconds settled{2'000};

const std::vector<std::size_t> cluster_sizes{3, 9, 34};

simulation_options make_options(std::size_t nodes, std::uint32_t seed)
{
    simulation_options options;
    options.m_nodes = nodes;
    options.m_seed = seed;
    return options;
}

simulation_options make_slow_options(std::size_t nodes, std::uint32_t seed)
{
    auto options = make_options(nodes, seed);
    options.m_answer_delay = {milliseconds{50}, milliseconds{800}};
    return options;
}

std::string describe(const simulation_options& options)
{
    return std::to_string(options.m_nodes) + " nodes, seed " + std::to_string(options.m_seed);
}

using option_maker = std::function<simulation_options(std::size_t, std::uint32_t)>;
using fault = std::function<void(election_simulation&)>;

void for_each_run(const std::vector<std::size_t>& sizes, const option_maker& make,
                  const std::function<void(election_simulation&, const std::string&)>& check)
{
    for (const auto nodes : sizes) {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            const auto options = make(nodes, seed);
            election_simulation cluster{options};
            cluster.run_for(settled);
            CPPUNIT_ASSERT_MESSAGE(describe(options) + ": at first", cluster.served());
            check(cluster, describe(options));
        }
    }
}

/// After the fault, another node must own the fleet in time, and keep it.
void must_take_over(const std::vector<std::size_t>& sizes, const option_maker& make,
                    const fault& disturb)
{
    for_each_run(sizes, make, [&disturb](auto& cluster, const auto& run) {
        const auto before = cluster.owner();
        disturb(cluster);
        cluster.run_for(takeover_limit);
        CPPUNIT_ASSERT_MESSAGE(run + ": no other owner", cluster.owner() != before);
        CPPUNIT_ASSERT_MESSAGE(run + ": not heard by all", cluster.served());
        const auto claims = cluster.claims();
        cluster.run_for(takeover_limit);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(run + ": needless claims", claims, cluster.claims());
    });
}

/// The fault must not change the owner.
void must_keep_owner(const std::vector<std::size_t>& sizes, const option_maker& make,
                     const fault& disturb)
{
    for_each_run(sizes, make, [&disturb](auto& cluster, const auto& run) {
        const auto claims = cluster.claims();
        disturb(cluster);
        cluster.run_for(milliseconds{15'000});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(run, claims, cluster.claims());
    });
}

/// Returns the first nodes but for the owner.
std::vector<std::size_t> others(const election_simulation& cluster, std::size_t count)
{
    std::vector<std::size_t> nodes;
    for (std::size_t node = 0; nodes.size() < count; ++node) {
        if (node != cluster.owner()) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

void cut_owner_from(election_simulation& cluster, std::size_t count)
{
    for (const auto node : others(cluster, count)) {
        cluster.cut(cluster.owner(), node);
    }
}

} // namespace

class owner_takeover_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(owner_takeover_test);
    CPPUNIT_TEST(a_killed_owner_is_replaced);
    CPPUNIT_TEST(an_owner_whose_host_went_silent_is_replaced);
    CPPUNIT_TEST(a_paused_owner_is_replaced_and_follows_when_it_goes_on);
    CPPUNIT_TEST(an_owner_that_reaches_only_the_log_is_replaced);
    CPPUNIT_TEST(an_owner_that_reaches_only_one_peer_is_replaced);
    CPPUNIT_TEST(an_owner_is_replaced_by_nodes_that_answer_slowly);
    CPPUNIT_TEST(an_owner_that_reaches_only_the_log_is_replaced_by_nodes_that_answer_slowly);
    CPPUNIT_TEST(an_owner_is_replaced_though_answers_are_lost);
    CPPUNIT_TEST(an_owner_that_reaches_only_the_log_is_replaced_though_most_nodes_are_gone);
    CPPUNIT_TEST(an_owner_is_replaced_though_only_one_node_is_left);
    CPPUNIT_TEST(nodes_that_all_restart_at_once_elect_an_owner);
    CPPUNIT_TEST(a_node_that_lost_the_owner_alone_does_not_replace_it);
    CPPUNIT_TEST(a_quarter_of_the_nodes_behind_a_partition_does_not_replace_the_owner);
    CPPUNIT_TEST(nodes_that_answer_slowly_keep_the_owner);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_killed_owner_is_replaced()
    {
        must_take_over(cluster_sizes, make_options,
                       [](auto& cluster) { cluster.kill(cluster.owner()); });
    }

    void an_owner_whose_host_went_silent_is_replaced()
    {
        must_take_over(cluster_sizes, make_options,
                       [](auto& cluster) { cluster.kill(cluster.owner(), true); });
    }

    void a_paused_owner_is_replaced_and_follows_when_it_goes_on()
    {
        for_each_run(cluster_sizes, make_options, [](auto& cluster, const auto& run) {
            const auto before = cluster.owner();
            cluster.pause(before);
            cluster.run_for(takeover_limit);
            CPPUNIT_ASSERT_MESSAGE(run, cluster.owner() != before && cluster.served());
            const auto claims = cluster.claims();
            cluster.resume(before);
            cluster.run_for(takeover_limit);
            CPPUNIT_ASSERT_MESSAGE(run, cluster.served());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(run, claims, cluster.claims());
        });
    }

    void an_owner_that_reaches_only_the_log_is_replaced()
    {
        must_take_over(cluster_sizes, make_options,
                       [](auto& cluster) { cut_owner_from(cluster, cluster.nodes() - 1); });
    }

    void an_owner_that_reaches_only_one_peer_is_replaced()
    {
        must_take_over({9, 34}, make_options,
                       [](auto& cluster) { cut_owner_from(cluster, cluster.nodes() - 2); });
    }

    void an_owner_is_replaced_by_nodes_that_answer_slowly()
    {
        must_take_over(cluster_sizes, make_slow_options,
                       [](auto& cluster) { cluster.kill(cluster.owner(), true); });
    }

    // The journal shows that the owner works, so only answers can tell.
    void an_owner_that_reaches_only_the_log_is_replaced_by_nodes_that_answer_slowly()
    {
        must_take_over(cluster_sizes, make_slow_options,
                       [](auto& cluster) { cut_owner_from(cluster, cluster.nodes() - 1); });
    }

    void an_owner_is_replaced_though_answers_are_lost()
    {
        const auto make = [](std::size_t nodes, std::uint32_t seed) {
            auto options = make_options(nodes, seed);
            options.m_lost_answers = 30;
            return options;
        };
        must_take_over(cluster_sizes, make,
                       [](auto& cluster) { cut_owner_from(cluster, cluster.nodes() - 1); });
    }

    // A majority of all registered nodes was needed, also of those that were gone.
    void an_owner_that_reaches_only_the_log_is_replaced_though_most_nodes_are_gone()
    {
        must_take_over({9, 34}, make_options, [](auto& cluster) {
            // Four of nine and twenty of 34, so that less than half can tell that they lost it.
            const std::size_t gone = cluster.nodes() == 9 ? 4 : 20;
            for (const auto node : others(cluster, gone)) {
                cluster.kill(node);
            }
            cluster.run_for(settled);
            cut_owner_from(cluster, cluster.nodes() - 1);
        });
    }

    void an_owner_is_replaced_though_only_one_node_is_left()
    {
        must_take_over(cluster_sizes, make_options, [](auto& cluster) {
            const auto survivors_gone = others(cluster, cluster.nodes() - 2);
            const auto owner = cluster.owner();
            for (const auto node : survivors_gone) {
                cluster.kill(node);
            }
            cluster.kill(owner);
        });
    }

    void nodes_that_all_restart_at_once_elect_an_owner()
    {
        for_each_run(cluster_sizes, make_slow_options, [](auto& cluster, const auto& run) {
            for (std::size_t node = 0; node < cluster.nodes(); ++node) {
                cluster.kill(node);
            }
            for (std::size_t node = 0; node < cluster.nodes(); ++node) {
                cluster.run_for(milliseconds{25});
                cluster.restart(node);
            }
            cluster.run_for(takeover_limit);
            CPPUNIT_ASSERT_MESSAGE(run, cluster.served());
        });
    }

    void a_node_that_lost_the_owner_alone_does_not_replace_it()
    {
        must_keep_owner(cluster_sizes, make_options,
                        [](auto& cluster) { cut_owner_from(cluster, 1); });
        must_keep_owner(cluster_sizes, make_slow_options,
                        [](auto& cluster) { cut_owner_from(cluster, 1); });
    }

    void a_quarter_of_the_nodes_behind_a_partition_does_not_replace_the_owner()
    {
        must_keep_owner({2, 3, 9, 34}, make_options, [](auto& cluster) {
            const auto behind = others(cluster, std::max<std::size_t>(1, cluster.nodes() / 4));
            for (const auto node : behind) {
                for (std::size_t peer = 0; peer < cluster.nodes(); ++peer) {
                    if (std::find(behind.begin(), behind.end(), peer) == behind.end()) {
                        cluster.cut(node, peer);
                    }
                }
            }
        });
    }

    void nodes_that_answer_slowly_keep_the_owner()
    {
        must_keep_owner(cluster_sizes, make_slow_options, [](auto&) {});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(owner_takeover_test);

} // namespace peridotrudder
