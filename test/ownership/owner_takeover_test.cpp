#include "test/ownership/election_runs.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

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
    CPPUNIT_TEST(an_owner_is_replaced_though_only_one_node_is_left);
    CPPUNIT_TEST(nodes_that_all_restart_at_once_elect_an_owner);
    CPPUNIT_TEST(a_node_that_lost_the_owner_alone_does_not_replace_it);
    CPPUNIT_TEST(a_quarter_of_the_nodes_behind_a_partition_does_not_replace_the_owner);
    CPPUNIT_TEST(the_smaller_part_of_a_partition_does_not_replace_the_owner);
    CPPUNIT_TEST(the_larger_part_of_a_partition_replaces_the_owner_once);
    CPPUNIT_TEST(a_group_larger_than_the_owners_replaces_it_once_though_most_nodes_are_gone);
    CPPUNIT_TEST(a_group_as_large_as_the_owners_does_not_replace_it);
    CPPUNIT_TEST(nodes_that_answer_slowly_keep_the_owner);
    CPPUNIT_TEST_SUITE_END();

    /// Kills nodes until `left` run, and leaves the owner a group of `group` of them.
    static void split_what_is_left(election_simulation& cluster, std::size_t left,
                                   std::size_t group)
    {
        const auto all = others(cluster, cluster.nodes() - 1);
        const auto alive = all.begin() + static_cast<std::ptrdiff_t>(left - 1);
        std::for_each(alive, all.end(), [&cluster](auto node) { cluster.kill(node); });
        cluster.run_for(settled);
        std::vector<std::size_t> owner_group{all.begin(),
                                             all.begin() + static_cast<std::ptrdiff_t>(group - 1)};
        owner_group.push_back(cluster.owner());
        cut_off(cluster, owner_group);
    }

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
            cut_off(cluster, others(cluster, std::max<std::size_t>(1, cluster.nodes() / 4)));
        });
    }

    // Both parts claimed in turn when more than a third of the nodes was enough.
    void the_smaller_part_of_a_partition_does_not_replace_the_owner()
    {
        must_keep_owner({3, 5, 8, 9, 34}, make_options, [](auto& cluster) {
            cut_off(cluster, others(cluster, (cluster.nodes() - 1) / 2));
        });
    }

    void the_larger_part_of_a_partition_replaces_the_owner_once()
    {
        for_each_run({3, 5, 8, 9, 34}, make_options, [](auto& cluster, const auto& run) {
            const auto before = cluster.owner();
            cut_off(cluster, others(cluster, cluster.nodes() / 2 + 1));
            cluster.run_for(takeover_limit);
            CPPUNIT_ASSERT_MESSAGE(run, cluster.owner() != before);
            const auto claims = cluster.claims();
            cluster.run_for(milliseconds{15'000});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(run, claims, cluster.claims());
        });
    }

    // By the nodes that each could reach, an owner of three and one of five replaced each other.
    void a_group_larger_than_the_owners_replaces_it_once_though_most_nodes_are_gone()
    {
        must_take_over({9, 34}, make_options, [](auto& cluster) {
            split_what_is_left(cluster, cluster.nodes() == 9 ? 5 : 14, 2);
        });
    }

    void a_group_as_large_as_the_owners_does_not_replace_it()
    {
        must_keep_owner({9, 34}, make_options, [](auto& cluster) {
            split_what_is_left(cluster, cluster.nodes() == 9 ? 4 : 14,
                               cluster.nodes() == 9 ? 2 : 7);
        });
    }

    void nodes_that_answer_slowly_keep_the_owner()
    {
        must_keep_owner(cluster_sizes, make_slow_options, [](auto&) {});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(owner_takeover_test);

} // namespace peridotrudder
