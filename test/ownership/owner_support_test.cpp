#include "peridotrudder/ownership/cluster_agent.hpp"

#include "peridotrudder/base/packed_cbor.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

constexpr std::uint64_t own_epoch = 4;

/// The agent of the owner in a cluster of three nodes, with links to the two others.
struct agent_fixture {
    moment m_now{time_point{milliseconds{1'000'000}}, 1'000'000};
    std::vector<std::pair<std::string, node_message>> m_sent;
    bool m_lost{false};
    std::function<void(newest_answer)> m_snapshot;
    std::unique_ptr<cluster_agent> m_agent;

    agent_fixture()
    {
        agent_options options;
        options.m_self = make_node("a");
        options.m_election.m_self = options.m_self.m_incarnation;
        agent_ports ports;
        ports.m_loop.m_now = [this] { return m_now; };
        ports.m_loop.m_after = [](milliseconds, const std::function<void()>&) {};
        ports.m_log.m_append = [](const append_request&,
                                  const std::function<void(append_answer)>&) {};
        ports.m_log.m_read = [](const read_request&, const std::function<void(read_answer)>&) {};
        ports.m_log.m_newest = [this](const std::string&,
                                      std::function<void(newest_answer)> callback) {
            m_snapshot = std::move(callback);
        };
        ports.m_send = [this](const std::string& peer, const node_message& message) {
            m_sent.emplace_back(peer, message);
            return true;
        };
        ports.m_set_peers = [](const std::vector<node_record>&) {};
        ports.m_became_owner = [](const ownership_claim&) {};
        ports.m_lost = [this] { m_lost = true; };
        ports.m_owner_reachable = [] {};
        ports.m_owner_unreachable = [] {};
        ports.m_log_event = [](std::string_view, const std::string&) {};
        m_agent = cluster_agent::create(options, ports);
        m_agent->start();
        newest_answer topic;
        topic.m_result = log_result::ok;
        for (const std::string name : {"a", "b", "c"}) {
            topic.m_records.push_back({"node/" + name, to_packed_cbor(make_node(name)), 0});
        }
        ownership_claim claim;
        claim.m_owner = "a-1";
        claim.m_node = "a";
        topic.m_records.push_back({"owner", to_packed_cbor(claim), own_epoch - 1});
        m_snapshot(topic);
        m_agent->link_opened("b-1");
        m_agent->link_opened("c-1");
        CPPUNIT_ASSERT(m_agent->owns());
    }

    static node_record make_node(const std::string& name)
    {
        node_record node;
        node.m_name = name;
        node.m_incarnation = name + "-1";
        node.m_cpu_millis = 1'000;
        return node;
    }

    std::size_t queries() const
    {
        std::size_t count = 0;
        for (const auto& [peer, message] : m_sent) {
            count += std::holds_alternative<owner_query>(message) ? 1 : 0;
        }
        return count;
    }

    /// Has the owner ask its peers.
    void ask()
    {
        m_agent->set_proof_age(milliseconds{700});
        m_agent->tick();
        m_agent->set_proof_age(milliseconds{0});
    }

    /// Answers the last question as a peer that hears the owner.
    void answer_last_question()
    {
        owner_view view{own_epoch, true};
        for (const auto& [peer, message] : m_sent) {
            if (const auto* query = std::get_if<owner_query>(&message)) {
                view.m_asked_ms = query->m_asked_ms;
            }
        }
        m_agent->receive("b-1", view);
    }

    void pass(milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += milliseconds{10}) {
            m_now.m_at += milliseconds{10};
            m_agent->tick();
        }
    }
};

} // namespace

class owner_support_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(owner_support_test);
    CPPUNIT_TEST(peers_are_asked_only_while_the_proof_is_old);
    CPPUNIT_TEST(word_of_a_majority_counts_for_a_short_time);
    CPPUNIT_TEST(answer_that_is_read_late_does_not_support_the_owner);
    CPPUNIT_TEST(answer_of_an_earlier_version_does_not_support_the_owner);
    CPPUNIT_TEST(peer_that_does_not_hear_the_owner_does_not_support_it);
    CPPUNIT_TEST(peer_that_knows_a_newer_claim_ends_the_ownership);
    CPPUNIT_TEST(node_tells_a_deposed_owner_of_the_newer_claim);
    CPPUNIT_TEST_SUITE_END();

public:
    void peers_are_asked_only_while_the_proof_is_old()
    {
        agent_fixture it;
        it.m_agent->set_proof_age(milliseconds{450});
        it.pass(milliseconds{1'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.queries());
        it.m_agent->set_proof_age(milliseconds{700});
        it.pass(milliseconds{1'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, it.queries());
    }

    void word_of_a_majority_counts_for_a_short_time()
    {
        agent_fixture it;
        CPPUNIT_ASSERT(!it.m_agent->is_supported());
        it.ask();
        it.answer_last_question();
        CPPUNIT_ASSERT(it.m_agent->is_supported());
        it.pass(milliseconds{700});
        CPPUNIT_ASSERT(!it.m_agent->is_supported());
    }

    // An owner that was paused took an old answer for a new one.
    void answer_that_is_read_late_does_not_support_the_owner()
    {
        agent_fixture it;
        it.ask();
        it.m_now.m_at += milliseconds{5'000};
        it.answer_last_question();
        CPPUNIT_ASSERT(!it.m_agent->is_supported());
    }

    void answer_of_an_earlier_version_does_not_support_the_owner()
    {
        agent_fixture it;
        it.m_agent->receive("b-1", owner_view{own_epoch, true});
        CPPUNIT_ASSERT(!it.m_agent->is_supported());
    }

    void peer_that_does_not_hear_the_owner_does_not_support_it()
    {
        agent_fixture it;
        it.m_agent->receive("b-1", owner_view{own_epoch, false});
        CPPUNIT_ASSERT(!it.m_agent->is_supported());
    }

    void peer_that_knows_a_newer_claim_ends_the_ownership()
    {
        agent_fixture it;
        it.m_agent->receive("b-1", owner_view{own_epoch + 1, true});
        CPPUNIT_ASSERT(it.m_lost);
        CPPUNIT_ASSERT(!it.m_agent->is_supported());
    }

    void node_tells_a_deposed_owner_of_the_newer_claim()
    {
        agent_fixture it;
        it.m_sent.clear();
        it.m_agent->receive("b-1", owner_query{own_epoch - 2});
        const auto* view = std::get_if<owner_view>(&it.m_sent.back().second);
        CPPUNIT_ASSERT(view != nullptr);
        CPPUNIT_ASSERT_EQUAL(own_epoch, view->m_epoch);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(owner_support_test);

} // namespace peridotrudder
