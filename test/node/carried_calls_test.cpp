#include "cut_links_cluster.hpp"
#include "property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace peridotrudder {

namespace {

constexpr milliseconds start_time{2'000};
/// Until a cut is noticed, a route is found and a call is answered.
constexpr milliseconds settle_time{2'500};
constexpr milliseconds call_time{1'000};

/// A cluster with an owner, a node whose links to and from it can be cut, and the others.
struct carried_calls_fixture {
    cut_links_cluster m_cluster{3};
    std::size_t m_owner{0};
    std::size_t m_node{0};
    std::size_t m_peer{0};

    carried_calls_fixture()
    {
        m_cluster.run(start_time);
        CPPUNIT_ASSERT(m_cluster.owner().has_value());
        m_owner = *m_cluster.owner();
        m_node = (m_owner + 1) % 3;
        m_peer = (m_owner + 2) % 3;
    }

    void assert_answered(const std::string& what)
    {
        const auto number = m_cluster.call(m_node);
        m_cluster.run(call_time);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::string{"done"}, m_cluster.status(number));
    }
};

/// Cuts each direction of each pair with a probability of a third.
void cut_some(cut_links_cluster& cluster, std::size_t nodes)
{
    for (std::size_t from = 0; from < nodes; ++from) {
        for (std::size_t to = 0; to < nodes; ++to) {
            if (from != to && *rc::gen::inRange(0, 3) == 0) {
                cluster.cut(from, to);
            }
        }
    }
}

} // namespace

class carried_calls_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(carried_calls_test);
    CPPUNIT_TEST(call_reaches_the_owner_through_a_peer_when_the_own_link_is_missing);
    CPPUNIT_TEST(call_reaches_the_owner_through_a_peer_when_the_owners_link_is_missing);
    CPPUNIT_TEST(owner_stays_while_one_node_is_cut_from_it);
    CPPUNIT_TEST(direct_way_is_used_again_when_it_comes_back);
    CPPUNIT_TEST(no_peer_is_asked_while_the_direct_way_works);
    CPPUNIT_TEST(call_is_answered_when_its_peer_loses_the_owner);
    CPPUNIT_TEST(call_passed_to_an_owner_that_ends_reaches_its_successor);
    CPPUNIT_TEST(node_learns_of_the_next_owner_from_a_peer);
    CPPUNIT_TEST(submission_refused_through_a_peer_is_refused_to_the_caller);
    CPPUNIT_TEST(late_answers_of_two_ways_answer_a_call_once);
    CPPUNIT_TEST(refusal_of_one_way_waits_for_the_other);
    CPPUNIT_TEST(every_node_with_a_peer_that_reaches_the_owner_is_served);
    CPPUNIT_TEST(no_caller_is_refused_what_was_recorded);
    CPPUNIT_TEST_SUITE_END();

public:
    // The node answered 503 with an empty owner for as long as its link to the owner was missing.
    void call_reaches_the_owner_through_a_peer_when_the_own_link_is_missing()
    {
        carried_calls_fixture it;
        it.m_cluster.cut(it.m_node, it.m_owner);
        it.m_cluster.run(settle_time);
        it.assert_answered("through the peer");
        CPPUNIT_ASSERT_EQUAL(cut_links_cluster::name(it.m_peer),
                             it.m_cluster.route(it.m_node).m_peer);
        it.m_cluster.run(milliseconds{60'000});
        it.assert_answered("a minute later");
    }

    // The same while the owner's link to the node was missing.
    void call_reaches_the_owner_through_a_peer_when_the_owners_link_is_missing()
    {
        carried_calls_fixture it;
        it.m_cluster.cut(it.m_owner, it.m_node);
        it.m_cluster.run(settle_time);
        it.assert_answered("through the peer");
        it.m_cluster.cut(it.m_node, it.m_owner);
        it.m_cluster.run(settle_time);
        it.assert_answered("both links are missing");
    }

    void owner_stays_while_one_node_is_cut_from_it()
    {
        carried_calls_fixture it;
        it.m_cluster.cut(it.m_owner, it.m_node);
        it.m_cluster.run(milliseconds{10'000});
        CPPUNIT_ASSERT(it.m_cluster.owner() == it.m_owner);
    }

    void direct_way_is_used_again_when_it_comes_back()
    {
        carried_calls_fixture it;
        it.m_cluster.cut(it.m_node, it.m_owner);
        it.m_cluster.run(settle_time);
        CPPUNIT_ASSERT(!it.m_cluster.route(it.m_node).m_direct);
        it.m_cluster.heal();
        it.m_cluster.run(milliseconds{500});
        CPPUNIT_ASSERT(it.m_cluster.route(it.m_node).m_direct);
        it.assert_answered("directly");
    }

    void no_peer_is_asked_while_the_direct_way_works()
    {
        carried_calls_fixture it;
        const auto before = it.m_cluster.m_sent["owner_query"];
        it.m_cluster.run(milliseconds{10'000});
        CPPUNIT_ASSERT_EQUAL(before, it.m_cluster.m_sent["owner_query"]);

        it.m_cluster.cut(it.m_node, it.m_owner);
        it.m_cluster.run(milliseconds{10'000});
        // At most one question in 300 ms.
        CPPUNIT_ASSERT(it.m_cluster.m_sent["owner_query"] - before <= 34);
    }

    void call_is_answered_when_its_peer_loses_the_owner()
    {
        carried_calls_fixture it;
        it.m_cluster.cut(it.m_node, it.m_owner);
        it.m_cluster.run(settle_time);
        it.m_cluster.m_answer_time = milliseconds{300};
        const auto number = it.m_cluster.call(it.m_node);
        it.m_cluster.run(milliseconds{100});
        // The answer is lost on its way to the peer.
        it.m_cluster.cut(it.m_owner, it.m_peer);
        it.m_cluster.run(milliseconds{500});
        it.m_cluster.heal();
        it.m_cluster.run(milliseconds{2'000});
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.m_cluster.status(number));
    }

    void call_passed_to_an_owner_that_ends_reaches_its_successor()
    {
        carried_calls_fixture it;
        it.m_cluster.cut(it.m_node, it.m_owner);
        it.m_cluster.run(settle_time);
        it.m_cluster.m_answer_time = milliseconds{300};
        const auto number = it.m_cluster.call(it.m_node);
        it.m_cluster.run(milliseconds{100});
        it.m_cluster.resign(it.m_owner);
        it.m_cluster.run(milliseconds{2'500});
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.m_cluster.status(number));
    }

    void node_learns_of_the_next_owner_from_a_peer()
    {
        cut_links_cluster cluster{4};
        cluster.run(start_time);
        constexpr std::size_t node = 3;
        constexpr std::size_t peer = 2;
        for (const std::size_t other : {0, 1}) {
            cluster.cut(node, other);
            cluster.cut(other, node);
        }
        cluster.run(settle_time);
        cluster.cut_log(node);
        for (int change = 0; change < 5 || cluster.owner() == peer; ++change) {
            CPPUNIT_ASSERT(cluster.owner().has_value());
            cluster.resign(*cluster.owner());
            cluster.run(settle_time);
        }
        const auto owner = cluster.owner();
        CPPUNIT_ASSERT(owner.has_value() && *owner < peer);
        CPPUNIT_ASSERT_EQUAL(cluster.epoch(*owner), cluster.epoch(node));
        const auto number = cluster.call(node);
        cluster.run(call_time);
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, cluster.status(number));
    }

    void submission_refused_through_a_peer_is_refused_to_the_caller()
    {
        carried_calls_fixture it;
        it.m_cluster.cut(it.m_node, it.m_owner);
        it.m_cluster.run(settle_time);
        it.m_cluster.m_outcome = call_status::overloaded;
        const auto number = it.m_cluster.call(it.m_node);
        it.m_cluster.run(call_time);
        CPPUNIT_ASSERT_EQUAL(std::string{"overloaded"}, it.m_cluster.status(number));
    }

    void late_answers_of_two_ways_answer_a_call_once()
    {
        carried_calls_fixture it;
        it.m_cluster.cut(it.m_node, it.m_owner);
        it.m_cluster.run(settle_time);
        it.m_cluster.m_answer_time = milliseconds{600};
        const auto taken = it.m_cluster.m_taken;
        const auto number = it.m_cluster.call(it.m_node);
        it.m_cluster.run(milliseconds{100});
        it.m_cluster.heal();
        it.m_cluster.run(milliseconds{3'000});
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a copy on each way", taken + 2, it.m_cluster.m_taken);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.m_cluster.answers(number).size());
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.m_cluster.status(number));
    }

    void refusal_of_one_way_waits_for_the_other()
    {
        carried_calls_fixture it;
        it.m_cluster.cut(it.m_node, it.m_owner);
        it.m_cluster.run(settle_time);
        it.m_cluster.m_answer_time = milliseconds{600};
        it.m_cluster.m_outcome = call_status::overloaded;
        const auto number = it.m_cluster.call(it.m_node);
        it.m_cluster.run(milliseconds{100});
        it.m_cluster.heal();
        it.m_cluster.run(milliseconds{550});
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the second copy is open", std::string{"none yet"},
                                     it.m_cluster.status(number));
        it.m_cluster.m_outcome = call_status::done;
        it.m_cluster.run(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.m_cluster.status(number));
    }

    void every_node_with_a_peer_that_reaches_the_owner_is_served()
    {
        assert_property("a node with a way of one hop is served", [] {
            const auto nodes = *rc::gen::inRange<std::size_t>(3, 6);
            cut_links_cluster cluster{nodes};
            cluster.run(start_time);
            cut_some(cluster, nodes);
            cluster.run(settle_time);
            const auto owner = cluster.owner();
            std::vector<std::size_t> calls;
            for (std::size_t node = 0; node < nodes; ++node) {
                calls.push_back(cluster.call(node));
            }
            cluster.run(call_time);
            // With a change of owner the nodes' ways change too.
            RC_PRE(owner.has_value() && cluster.owner() == owner);
            std::size_t carried = 0;
            for (std::size_t node = 0; node < nodes; ++node) {
                bool has_way = false;
                for (std::size_t peer = 0; peer < nodes; ++peer) {
                    has_way = has_way ||
                              (cluster.connected(node, peer) && cluster.connected(peer, *owner));
                }
                RC_ASSERT(!has_way || cluster.status(calls[node]) == "done");
                carried += has_way && !cluster.connected(node, *owner) ? 1U : 0U;
            }
            RC_CLASSIFY(carried > 0, "calls are carried");
        });
    }

    void no_caller_is_refused_what_was_recorded()
    {
        assert_property("a call is answered once, and not refused if a copy is recorded", [] {
            const auto nodes = *rc::gen::inRange<std::size_t>(3, 6);
            cut_links_cluster cluster{nodes};
            cluster.run(start_time);
            std::vector<std::size_t> calls;
            const auto phases = *rc::gen::inRange(2, 6);
            for (int phase = 0; phase < phases; ++phase) {
                cluster.heal();
                cut_some(cluster, nodes);
                cluster.m_outcome = *rc::gen::element(call_status::done, call_status::overloaded);
                cluster.m_answer_time = milliseconds{*rc::gen::inRange(5, 1'200)};
                for (std::size_t node = 0; node < nodes; ++node) {
                    calls.push_back(cluster.call(node));
                }
                cluster.run(milliseconds{*rc::gen::inRange(10, 1'500)});
            }
            cluster.run(milliseconds{6'000});
            for (const auto number : calls) {
                RC_ASSERT(cluster.answers(number).size() == 1U);
                const auto status = cluster.status(number);
                const bool refused = status == "overloaded" || status == "unavailable";
                RC_ASSERT(!(refused && cluster.accepted(number)));
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(carried_calls_test);

} // namespace peridotrudder
