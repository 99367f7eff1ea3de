#include "peridotrudder/ownership/claim_order.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

constexpr std::int64_t now_ms = 1'000'000;

node_record make_node(const std::string& name, std::uint32_t cpu_millis, std::int64_t age_ms)
{
    return {name, name + "-1", "host", 1, now_ms - age_ms, cpu_millis};
}

std::map<std::string, node_record> make_nodes(const std::vector<node_record>& nodes)
{
    std::map<std::string, node_record> by_name;
    for (const auto& node : nodes) {
        by_name[node.m_name] = node;
    }
    return by_name;
}

} // namespace

class claim_order_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(claim_order_test);
    CPPUNIT_TEST(larger_nodes_claim_first);
    CPPUNIT_TEST(among_equal_nodes_the_last_started_claims_first);
    CPPUNIT_TEST(a_node_that_has_just_started_claims_last);
    CPPUNIT_TEST(nodes_without_a_link_are_not_waited_for);
    CPPUNIT_TEST(nodes_that_all_start_wait_for_each_other_without_links);
    CPPUNIT_TEST(the_wait_is_bounded);
    CPPUNIT_TEST(an_owner_hands_over_to_a_node_of_half_as_much_more);
    CPPUNIT_TEST_SUITE_END();

public:
    void larger_nodes_claim_first()
    {
        const auto small = make_node("small", 100, 60'000);
        const auto large = make_node("large", 500, 60'000);
        const auto nodes = make_nodes({small, large});
        CPPUNIT_ASSERT(claim_delay(large, nodes, {"small-1"}, now_ms).count() == 0);
        CPPUNIT_ASSERT(claim_delay(small, nodes, {"large-1"}, now_ms).count() > 0);
    }

    void among_equal_nodes_the_last_started_claims_first()
    {
        const auto older = make_node("older", 100, 60'000);
        const auto younger = make_node("younger", 100, 30'000);
        const auto nodes = make_nodes({older, younger});
        CPPUNIT_ASSERT(claim_delay(younger, nodes, {"older-1"}, now_ms).count() == 0);
        CPPUNIT_ASSERT(claim_delay(older, nodes, {"younger-1"}, now_ms).count() > 0);
    }

    // A process that has just started may not know its peers.
    void a_node_that_has_just_started_claims_last()
    {
        const auto fresh = make_node("fresh", 500, 500);
        const auto small = make_node("small", 100, 60'000);
        const auto nodes = make_nodes({fresh, small});
        CPPUNIT_ASSERT(claim_delay(fresh, nodes, {"small-1"}, now_ms).count() > 0);
        CPPUNIT_ASSERT(claim_delay(small, nodes, {"fresh-1"}, now_ms).count() == 0);
    }

    void nodes_without_a_link_are_not_waited_for()
    {
        const auto small = make_node("small", 100, 60'000);
        const auto nodes = make_nodes({small, make_node("large", 500, 60'000)});
        CPPUNIT_ASSERT(claim_delay(small, nodes, {}, now_ms).count() == 0);
    }

    void nodes_that_all_start_wait_for_each_other_without_links()
    {
        const auto small = make_node("small", 100, 200);
        const auto nodes = make_nodes({small, make_node("large", 500, 100)});
        CPPUNIT_ASSERT(claim_delay(small, nodes, {}, now_ms).count() > 0);
    }

    void the_wait_is_bounded()
    {
        const auto small = make_node("small", 100, 60'000);
        std::vector<node_record> all{small};
        std::set<std::string> linked;
        for (int number = 0; number < 400; ++number) {
            all.push_back(make_node("node-" + std::to_string(number), 500, 60'000));
            linked.insert(all.back().m_incarnation);
        }
        CPPUNIT_ASSERT(claim_delay(small, make_nodes(all), linked, now_ms) <= milliseconds{150});
    }

    void an_owner_hands_over_to_a_node_of_half_as_much_more()
    {
        const auto owner = make_node("owner", 200, 60'000);
        const auto larger_than = [&](const node_record& other,
                                     const std::set<std::string>& linked) {
            return find_larger_node(owner, make_nodes({owner, other}), linked, now_ms) != nullptr;
        };
        CPPUNIT_ASSERT(larger_than(make_node("other", 300, 60'000), {"other-1"}));
        CPPUNIT_ASSERT(!larger_than(make_node("other", 299, 60'000), {"other-1"}));
        CPPUNIT_ASSERT(!larger_than(make_node("other", 300, 60'000), {}));
        CPPUNIT_ASSERT(!larger_than(make_node("other", 300, 999), {"other-1"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_order_test);

} // namespace peridotrudder
