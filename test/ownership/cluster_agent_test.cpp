#include "cluster_fixture.hpp"
#include "peridotrudder/base/packed_cbor.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

const std::string own_process = "self-new";

/// A fixture whose node follows the owner `other-1` of the node `other`.
struct follower_fixture : agent_fixture {
    node_record m_other{make_node("other", "other-1")};
    ownership_claim m_claim;

    follower_fixture()
    {
        m_log.put_node(m_other);
        m_log.put_claim(m_other);
        m_claim.m_epoch = m_log.m_records.size();
        m_claim.m_owner = m_other.m_incarnation;
        m_claim.m_node = m_other.m_name;
        m_agent->start();
        run_for(milliseconds{100});
        m_agent->link_opened(m_other.m_incarnation);
        run_with_heartbeats(milliseconds{300}, m_claim);
        CPPUNIT_ASSERT_EQUAL(m_other.m_incarnation, m_agent->reachable_owner());
    }
};

/// A fixture whose node owns the fleet, with linked peers `a-1`, `b-1` and `c-1`, and a registered
/// process `gone-1` that it has no link to.
struct owner_fixture : agent_fixture {
    /// What each peer answers; one that isn't in it doesn't answer.
    std::map<std::string, bool> m_views;

    owner_fixture()
    {
        m_agent->start();
        for (const auto* name : {"a", "b", "c", "gone"}) {
            m_log.put_node(make_node(name, std::string{name} + "-1"));
        }
        run_for(milliseconds{500});
        CPPUNIT_ASSERT(m_agent->owns());
        for (const auto* peer : {"a-1", "b-1", "c-1"}) {
            m_agent->link_opened(peer);
        }
        m_on_send = [this](const std::string& to, const node_message& message) {
            const auto* query = std::get_if<member_query>(&message);
            if (query != nullptr && m_views.count(to) != 0) {
                const member_view view{query->m_number, m_views.at(to)};
                m_loop.port().m_after(milliseconds{20},
                                      [this, to, view] { m_agent->receive(to, view); });
            }
        };
    }
};

} // namespace

class cluster_agent_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cluster_agent_test);
    CPPUNIT_TEST(node_whose_registration_was_deleted_registers_again);
    CPPUNIT_TEST(node_that_was_deleted_while_the_log_was_away_registers_again);
    CPPUNIT_TEST(late_registration_of_a_former_process_is_replaced);
    CPPUNIT_TEST(unreadable_registration_is_replaced);
    CPPUNIT_TEST(stopping_node_does_not_register_again);
    CPPUNIT_TEST(owner_whose_registration_was_replaced_stays_the_owner);
    CPPUNIT_TEST(late_registration_on_the_owners_node_does_not_end_its_ownership_for_others);
    CPPUNIT_TEST(late_registration_does_not_end_an_ownership_that_a_peer_reaches);
    CPPUNIT_TEST(new_process_of_a_silent_owners_node_ends_its_ownership);
    CPPUNIT_TEST(process_that_is_deleted_and_registers_again_keeps_its_link);
    CPPUNIT_TEST(link_of_a_deleted_process_is_given_up_when_it_ends);
    CPPUNIT_TEST(link_that_opens_after_its_process_was_dropped_does_not_count);
    CPPUNIT_TEST(node_that_a_peer_still_reaches_is_not_removed);
    CPPUNIT_TEST(node_that_nobody_reaches_is_removed);
    CPPUNIT_TEST(owner_that_is_cut_off_from_all_removes_nobody);
    CPPUNIT_TEST(peer_tells_whether_it_has_a_link);
    CPPUNIT_TEST(owner_that_loses_its_majority_and_regains_it_records_both);
    CPPUNIT_TEST(group_larger_than_the_owners_claims_though_it_is_no_majority);
    CPPUNIT_TEST(node_that_has_handed_over_does_not_claim_at_once);
    CPPUNIT_TEST(claim_that_a_registration_overtook_is_repeated_at_once);
    CPPUNIT_TEST(node_that_has_handed_over_claims_if_no_node_is_left);
    CPPUNIT_TEST_SUITE_END();

public:
    // A node that was out of reach for 30 s answered 503 for good (issue 36).
    void node_whose_registration_was_deleted_registers_again()
    {
        agent_fixture test;
        test.m_agent->start();
        test.run_for(milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(own_process, test.m_log.registered("self"));
        for (int round = 0; round < 3; ++round) {
            test.m_log.delete_node("self");
            test.run_for(milliseconds{1'000});
            CPPUNIT_ASSERT_EQUAL(own_process, test.m_log.registered("self"));
        }
        CPPUNIT_ASSERT(test.events("registration_missing") >= 3);
    }

    void node_that_was_deleted_while_the_log_was_away_registers_again()
    {
        agent_fixture test;
        test.m_agent->start();
        test.run_for(milliseconds{200});
        test.m_log.m_away = true;
        test.run_for(milliseconds{3'000});
        test.m_log.delete_node("self");
        test.run_for(milliseconds{1'000});
        test.m_log.m_away = false;
        test.run_for(milliseconds{1'000});
        CPPUNIT_ASSERT_EQUAL(own_process, test.m_log.registered("self"));
    }

    // A call without an answer may be carried out seconds later; all peers then connected to a
    // process that was gone.
    void late_registration_of_a_former_process_is_replaced()
    {
        agent_fixture test;
        test.m_agent->start();
        test.run_for(milliseconds{200});
        test.m_log.put_node(make_node("self", "self-old", 3'000'000));
        test.run_for(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(own_process, test.m_log.registered("self"));
        CPPUNIT_ASSERT(test.events("registration_replaced") >= 1);
    }

    void unreadable_registration_is_replaced()
    {
        agent_fixture test;
        test.m_agent->start();
        test.run_for(milliseconds{200});
        test.m_log.put({"node/self", std::vector<std::uint8_t>{1, 2, 3}, 0});
        test.run_for(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(own_process, test.m_log.registered("self"));
    }

    void stopping_node_does_not_register_again()
    {
        agent_fixture test;
        test.m_agent->start();
        test.run_for(milliseconds{200});
        test.m_agent->stop_claiming();
        test.m_log.delete_node("self");
        test.run_for(milliseconds{5'000});
        CPPUNIT_ASSERT_EQUAL(std::string{}, test.m_log.registered("self"));
    }

    // A record of another process says nothing of this one, which knows that it runs.
    void owner_whose_registration_was_replaced_stays_the_owner()
    {
        agent_fixture test;
        test.m_agent->start();
        test.run_for(milliseconds{500});
        CPPUNIT_ASSERT(test.m_agent->owns());
        const auto epoch = test.m_agent->epoch();
        test.m_log.put_node(make_node("self", "self-old", 3'000'000));
        test.run_for(milliseconds{1'000});
        CPPUNIT_ASSERT(test.m_agent->owns());
        CPPUNIT_ASSERT_EQUAL(epoch, test.m_agent->epoch());
        CPPUNIT_ASSERT_EQUAL(0, test.m_lost);
        CPPUNIT_ASSERT_EQUAL(own_process, test.m_log.registered("self"));
        test.m_sent.clear();
        // The election must know it as the owner too, or it would not answer as one.
        test.m_agent->receive("other-1", owner_query{epoch});
        CPPUNIT_ASSERT(std::get<owner_view>(test.m_sent.at(0).second).m_hears_owner);
    }

    // A late record made the peers take the living owner for gone, and claim.
    void late_registration_on_the_owners_node_does_not_end_its_ownership_for_others()
    {
        follower_fixture test;
        test.m_log.put_node(make_node("other", "other-0", 3'000'000));
        test.run_with_heartbeats(milliseconds{400}, test.m_claim);
        CPPUNIT_ASSERT_EQUAL(test.m_other.m_incarnation, test.m_agent->reachable_owner());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, test.events("claiming"));
        CPPUNIT_ASSERT_MESSAGE("the link in use must stay",
                               test.m_peers.count(test.m_other.m_incarnation) == 1);
        test.m_log.put_node(test.m_other);
        test.run_with_heartbeats(milliseconds{1'000}, test.m_claim);
        CPPUNIT_ASSERT_EQUAL(test.m_other.m_incarnation, test.m_agent->reachable_owner());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, test.events("claiming"));
    }

    // A node without heartbeats of its own took the owner for gone, and claimed.
    void late_registration_does_not_end_an_ownership_that_a_peer_reaches()
    {
        follower_fixture test;
        test.m_log.put_node(make_node("third", "third-1"));
        test.run_with_heartbeats(milliseconds{300}, test.m_claim);
        test.m_agent->link_opened("third-1");
        test.m_agent->link_closed(test.m_other.m_incarnation, false);
        const auto run_with_views = [&test](milliseconds time) {
            for (milliseconds passed{0}; passed < time; passed += milliseconds{100}) {
                test.m_agent->receive("third-1",
                                      owner_view{test.m_claim.m_epoch, true, test.m_claim});
                test.run_for(milliseconds{100});
            }
        };
        run_with_views(milliseconds{2'000});
        CPPUNIT_ASSERT(test.m_agent->route().exists() && !test.m_agent->route().m_direct);
        test.m_log.put_node(make_node("other", "other-0", 3'000'000));
        run_with_views(milliseconds{2'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, test.events("claiming"));
        CPPUNIT_ASSERT(test.m_agent->route().exists());
    }

    void new_process_of_a_silent_owners_node_ends_its_ownership()
    {
        follower_fixture test;
        test.m_log.put_node(make_node("other", "other-2", 4'900'000));
        test.run_for(milliseconds{50});
        test.m_agent->link_closed(test.m_other.m_incarnation, true);
        test.run_for(milliseconds{500});
        CPPUNIT_ASSERT_MESSAGE("a killed owner must be replaced at once", test.m_agent->owns());
    }

    // The link was closed without a notice, and counted as open from then on.
    void process_that_is_deleted_and_registers_again_keeps_its_link()
    {
        follower_fixture test;
        test.m_log.delete_node("other");
        test.run_with_heartbeats(milliseconds{300}, test.m_claim);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.m_peers.count("other-1"));
        CPPUNIT_ASSERT_EQUAL(std::string{"other-1"}, test.m_agent->reachable_owner());
        test.m_log.put_node(test.m_other);
        test.run_with_heartbeats(milliseconds{300}, test.m_claim);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.m_peers.count("other-1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.m_agent->linked_nodes().size());
    }

    void link_of_a_deleted_process_is_given_up_when_it_ends()
    {
        follower_fixture test;
        test.m_log.delete_node("other");
        test.run_with_heartbeats(milliseconds{300}, test.m_claim);
        test.m_agent->link_closed("other-1", false);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, test.m_peers.count("other-1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, test.m_agent->contact().m_linked_peers);
    }

    // The mesh closes such a link without a notice.
    void link_that_opens_after_its_process_was_dropped_does_not_count()
    {
        follower_fixture test;
        test.m_agent->link_closed("other-1", false);
        test.m_log.delete_node("other");
        test.run_for(milliseconds{100});
        test.m_agent->link_opened("other-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, test.m_agent->contact().m_linked_peers);
        CPPUNIT_ASSERT_EQUAL(std::string{}, test.m_agent->reachable_owner());
    }

    // A node that only the owner couldn't reach was deleted, and nobody could reach it then.
    void node_that_a_peer_still_reaches_is_not_removed()
    {
        owner_fixture test;
        test.m_views = {{"a-1", false}, {"b-1", true}, {"c-1", false}};
        test.run_for(milliseconds{90'000});
        CPPUNIT_ASSERT_EQUAL(std::string{"gone-1"}, test.m_log.registered("gone"));
    }

    void node_that_nobody_reaches_is_removed()
    {
        owner_fixture test;
        test.m_views = {{"a-1", false}, {"b-1", false}};
        test.run_for(milliseconds{29'000});
        CPPUNIT_ASSERT_EQUAL(std::string{"gone-1"}, test.m_log.registered("gone"));
        test.run_for(milliseconds{4'000});
        CPPUNIT_ASSERT_EQUAL(std::string{}, test.m_log.registered("gone"));
        for (const auto* name : {"a", "b", "c"}) {
            CPPUNIT_ASSERT_EQUAL(std::string{name} + "-1", test.m_log.registered(name));
        }
    }

    void owner_that_is_cut_off_from_all_removes_nobody()
    {
        owner_fixture test;
        for (const auto* peer : {"a-1", "b-1", "c-1"}) {
            test.m_agent->link_closed(peer, false);
        }
        test.run_for(milliseconds{90'000});
        for (const auto* name : {"a", "b", "c", "gone"}) {
            CPPUNIT_ASSERT_EQUAL(std::string{name} + "-1", test.m_log.registered(name));
        }
    }

    void peer_tells_whether_it_has_a_link()
    {
        follower_fixture test;
        test.m_sent.clear();
        for (const auto* process : {"other-1", "self-new", "gone-1"}) {
            test.m_agent->receive("other-1", member_query{7, process});
        }
        const auto linked = [&test](std::size_t index) {
            return std::get<member_view>(test.m_sent.at(index).second).m_linked;
        };
        CPPUNIT_ASSERT(linked(0) && linked(1) && !linked(2));
    }

    void owner_that_loses_its_majority_and_regains_it_records_both()
    {
        owner_fixture test;
        test.run_for(milliseconds{2'000});
        CPPUNIT_ASSERT(groups(test).empty());
        test.m_agent->link_closed("a-1", false);
        test.m_agent->link_closed("b-1", false);
        test.run_for(milliseconds{2'000});
        CPPUNIT_ASSERT(groups(test) == std::vector<std::uint64_t>{2});
        test.m_agent->link_opened("a-1");
        test.run_for(milliseconds{2'000});
        CPPUNIT_ASSERT((groups(test) == std::vector<std::uint64_t>{2, 0}));
    }

    // Two of six nodes that had lost an owner which reached only the log waited for a majority.
    void group_larger_than_the_owners_claims_though_it_is_no_majority()
    {
        follower_fixture test;
        for (const auto* name : {"b", "c", "d", "e"}) {
            test.m_log.put_node(make_node(name, std::string{name} + "-1"));
        }
        test.run_for(milliseconds{300});
        test.m_agent->link_opened("b-1");
        test.m_on_send = [&test](const std::string& to, const node_message& message) {
            const auto* query = std::get_if<owner_query>(&message);
            if (query != nullptr && to == "b-1") {
                test.m_loop.port().m_after(milliseconds{20}, [&test, epoch = query->m_epoch] {
                    test.m_agent->receive("b-1", owner_view{epoch, false});
                });
            }
        };
        test.m_agent->link_closed("other-1", false);
        const auto write = [&test] { test.m_log.put({"proof", std::vector<std::uint8_t>{1}, 0}); };
        for (int step = 0; step < 40; ++step) {
            write();
            test.run_for(milliseconds{100});
        }
        CPPUNIT_ASSERT(!test.m_agent->owns());
        const owner_group alone{test.m_claim.m_epoch, 1};
        test.m_log.put({"owner_group", to_packed_cbor(alone), 0});
        for (int step = 0; step < 20 && !test.m_agent->owns(); ++step) {
            write();
            test.run_for(milliseconds{100});
        }
        CPPUNIT_ASSERT(test.m_agent->owns());
    }

    // While the log was slow, a small node and a larger one handed over to each other.
    void node_that_has_handed_over_does_not_claim_at_once()
    {
        owner_fixture test;
        auto larger = make_node("a", "a-1");
        larger.m_cpu_millis = 4'000;
        test.m_log.put_node(larger);
        test.run_for(milliseconds{2'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.events("yielding"));
        CPPUNIT_ASSERT(!test.m_agent->owns());
        test.run_for(milliseconds{1'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.events("claiming"));
        test.run_for(milliseconds{2'500});
        CPPUNIT_ASSERT(test.events("claiming") > 1);
    }

    // After all nodes had restarted, the claims of the larger ones were refused because others
    // registered at the same time; a small node claimed before they tried again.
    void claim_that_a_registration_overtook_is_repeated_at_once()
    {
        agent_fixture test;
        test.m_agent->start();
        while (test.events("claiming") == 0) {
            test.run_for(milliseconds{5});
        }
        test.m_log.put_node(make_node("other", "other-1"));
        test.run_for(milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.events("claim_refused"));
        CPPUNIT_ASSERT(test.m_agent->owns());
    }

    void node_that_has_handed_over_claims_if_no_node_is_left()
    {
        owner_fixture test;
        auto larger = make_node("a", "a-1");
        larger.m_cpu_millis = 4'000;
        test.m_log.put_node(larger);
        test.run_for(milliseconds{1'500});
        CPPUNIT_ASSERT(!test.m_agent->owns());
        for (const auto* peer : {"a-1", "b-1", "c-1"}) {
            test.m_agent->link_closed(peer, true);
        }
        test.run_for(milliseconds{600});
        CPPUNIT_ASSERT(test.m_agent->owns());
    }

private:
    /// Returns the sizes of owners' groups in the order in which they were recorded.
    static std::vector<std::uint64_t> groups(const agent_fixture& test)
    {
        std::vector<std::uint64_t> nodes;
        for (const auto& record : test.m_log.m_records) {
            if (record.m_key == "owner_group") {
                nodes.push_back(from_packed_cbor<owner_group>(*record.m_value)->m_nodes);
            }
        }
        return nodes;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cluster_agent_test);

} // namespace peridotrudder
