#include "peridotrudder/node/call_transport.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <utility>
#include <vector>

namespace peridotrudder {

namespace {

const job_call a_call{call_kind::query, "host", "/queue/00000000000000aa", std::nullopt};
const call_answer done{call_status::done, {}, 0, milliseconds{0}};

/// A process with or without the owner.
struct transport_fixture {
    bool m_owns{false};
    bool m_linked{true};
    std::string m_direct_owner;
    std::vector<std::pair<std::string, node_message>> m_sent;
    std::vector<std::uint64_t> m_tokens;
    std::vector<std::pair<std::uint64_t, call_status>> m_delivered;
    call_transport m_transport{call_transport::create("self", make_ports())};

    transport_ports make_ports()
    {
        transport_ports ports;
        ports.m_send = [this](const std::string& peer, const node_message& message) {
            m_sent.emplace_back(peer, message);
            return m_linked;
        };
        ports.m_take = [this](std::uint64_t token, const job_call&) {
            if (m_owns) {
                m_tokens.push_back(token);
            }
            return m_owns;
        };
        ports.m_deliver_answer = [this](std::uint64_t number, const call_answer& answer) {
            m_delivered.emplace_back(number, answer.m_status);
        };
        ports.m_direct_owner = [this] { return m_direct_owner; };
        ports.m_now = [] { return time_point{}; };
        return ports;
    }

    call_status replied(std::size_t index) const
    {
        return std::get<forwarded_job_answer>(m_sent.at(index).second).m_answer.m_status;
    }
};

} // namespace

class call_transport_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(call_transport_test);
    CPPUNIT_TEST(a_call_goes_to_the_owner_on_another_node);
    CPPUNIT_TEST(a_call_to_the_owner_in_the_same_process_uses_no_link);
    CPPUNIT_TEST(nothing_is_sent_without_an_owner);
    CPPUNIT_TEST(a_peers_call_is_answered_by_its_own_number);
    CPPUNIT_TEST(a_peers_call_to_a_process_that_is_not_the_owner_is_refused);
    CPPUNIT_TEST(a_call_that_is_sent_again_while_open_is_passed_on_once);
    CPPUNIT_TEST(all_open_calls_are_answered_once_when_the_owner_ends);
    CPPUNIT_TEST(answer_comes_back_through_the_peer);
    CPPUNIT_TEST(carried_call_is_not_carried_again);
    CPPUNIT_TEST(carried_call_is_answered_as_not_owner_when_the_peer_lost_the_owner);
    CPPUNIT_TEST(carried_calls_are_answered_once_when_the_peer_loses_the_owner);
    CPPUNIT_TEST(each_copy_of_a_carried_call_is_answered);
    CPPUNIT_TEST_SUITE_END();

    transport_fixture m_fixture;

public:
    void a_call_goes_to_the_owner_on_another_node()
    {
        CPPUNIT_ASSERT(m_fixture.m_transport.send(7, a_call, "other"));
        CPPUNIT_ASSERT_EQUAL(std::string{"other"}, m_fixture.m_sent.at(0).first);
        m_fixture.m_transport.take(forwarded_job_answer{7, done});
        CPPUNIT_ASSERT(m_fixture.m_delivered.at(0) ==
                       std::make_pair(std::uint64_t{7}, done.m_status));
    }

    void a_call_to_the_owner_in_the_same_process_uses_no_link()
    {
        m_fixture.m_owns = true;
        CPPUNIT_ASSERT(m_fixture.m_transport.send(7, a_call, "self"));
        CPPUNIT_ASSERT(m_fixture.m_sent.empty());
        m_fixture.m_transport.answer(m_fixture.m_tokens.at(0), done);
        CPPUNIT_ASSERT(m_fixture.m_delivered.at(0) ==
                       std::make_pair(std::uint64_t{7}, done.m_status));
    }

    void nothing_is_sent_without_an_owner()
    {
        CPPUNIT_ASSERT(!m_fixture.m_transport.send(7, a_call, ""));
        CPPUNIT_ASSERT(!m_fixture.m_transport.send(7, a_call, "self"));
        m_fixture.m_linked = false;
        CPPUNIT_ASSERT(!m_fixture.m_transport.send(7, a_call, "other"));
    }

    void a_peers_call_is_answered_by_its_own_number()
    {
        m_fixture.m_owns = true;
        m_fixture.m_transport.take("a", forwarded_job_call{5, a_call});
        m_fixture.m_transport.take("b", forwarded_job_call{5, a_call});
        m_fixture.m_transport.answer(m_fixture.m_tokens.at(1), done);

        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.m_sent.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, m_fixture.m_sent[0].first);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5},
                             std::get<forwarded_job_answer>(m_fixture.m_sent[0].second).m_number);
    }

    void a_peers_call_to_a_process_that_is_not_the_owner_is_refused()
    {
        m_fixture.m_transport.take("a", forwarded_job_call{5, a_call});
        CPPUNIT_ASSERT(m_fixture.replied(0) == call_status::not_owner);
    }

    // A call that hung on a silent link was given to the owner twice.
    void a_call_that_is_sent_again_while_open_is_passed_on_once()
    {
        m_fixture.m_owns = true;
        m_fixture.m_transport.take("a", forwarded_job_call{5, a_call});
        m_fixture.m_transport.take("a", forwarded_job_call{5, a_call});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.m_tokens.size());

        m_fixture.m_transport.answer(m_fixture.m_tokens.at(0), done);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("an answer for each copy", std::size_t{2},
                                     m_fixture.m_sent.size());
        m_fixture.m_transport.take("a", forwarded_job_call{5, a_call});
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the answer may be lost", std::size_t{2},
                                     m_fixture.m_tokens.size());
    }

    void all_open_calls_are_answered_once_when_the_owner_ends()
    {
        m_fixture.m_owns = true;
        m_fixture.m_transport.take("a", forwarded_job_call{5, a_call});
        m_fixture.m_transport.send(6, a_call, "self");
        m_fixture.m_transport.end_open_calls();
        CPPUNIT_ASSERT(m_fixture.replied(0) == call_status::owner_ended);
        CPPUNIT_ASSERT(m_fixture.m_delivered.at(0).second == call_status::owner_ended);

        m_fixture.m_transport.answer(m_fixture.m_tokens.at(0), done);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a late answer is dropped", std::size_t{1},
                                     m_fixture.m_sent.size());
    }

    void answer_comes_back_through_the_peer()
    {
        m_fixture.m_direct_owner = "owner";
        m_fixture.m_transport.take("a", forwarded_job_call{5, a_call, true});
        CPPUNIT_ASSERT_EQUAL(std::string{"owner"}, m_fixture.m_sent.at(0).first);
        const auto number = std::get<forwarded_job_call>(m_fixture.m_sent[0].second).m_number;

        for (const auto status : {call_status::owner_ended, call_status::done}) {
            m_fixture.m_transport.take(
                forwarded_job_answer{number, {status, {}, 0, milliseconds{0}}});
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("one answer", std::size_t{2}, m_fixture.m_sent.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, m_fixture.m_sent[1].first);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5},
                             std::get<forwarded_job_answer>(m_fixture.m_sent[1].second).m_number);
        CPPUNIT_ASSERT(m_fixture.replied(1) == call_status::owner_ended);
        CPPUNIT_ASSERT_MESSAGE("it is no answer to an own call", m_fixture.m_delivered.empty());
    }

    void carried_call_is_not_carried_again()
    {
        m_fixture.m_direct_owner = "owner";
        m_fixture.m_transport.take("a", forwarded_job_call{5, a_call, true});
        const auto passed = std::get<forwarded_job_call>(m_fixture.m_sent.at(0).second);
        m_fixture.m_transport.take("b", passed);
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, m_fixture.m_sent.at(1).first);
        CPPUNIT_ASSERT(m_fixture.replied(1) == call_status::not_owner);

        m_fixture.m_transport.take("owner", forwarded_job_call{6, a_call, true});
        CPPUNIT_ASSERT_MESSAGE("nor sent back", m_fixture.replied(2) == call_status::not_owner);
    }

    void carried_call_is_answered_as_not_owner_when_the_peer_lost_the_owner()
    {
        m_fixture.m_transport.take("a", forwarded_job_call{5, a_call, true});
        CPPUNIT_ASSERT(m_fixture.replied(0) == call_status::not_owner);
        m_fixture.m_direct_owner = "owner";
        m_fixture.m_linked = false;
        m_fixture.m_transport.take("a", forwarded_job_call{5, a_call, true});
        CPPUNIT_ASSERT_MESSAGE("the link did not take it",
                               m_fixture.replied(2) == call_status::not_owner);
    }

    void carried_calls_are_answered_once_when_the_peer_loses_the_owner()
    {
        m_fixture.m_direct_owner = "owner";
        m_fixture.m_transport.take("a", forwarded_job_call{5, a_call, true});
        const auto number = std::get<forwarded_job_call>(m_fixture.m_sent.at(0).second).m_number;
        m_fixture.m_transport.end_passed_calls();
        // The owner may have taken it.
        CPPUNIT_ASSERT(m_fixture.replied(1) == call_status::owner_ended);
        m_fixture.m_transport.take(forwarded_job_answer{number, done});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.m_sent.size());
    }

    void each_copy_of_a_carried_call_is_answered()
    {
        m_fixture.m_direct_owner = "owner";
        m_fixture.m_transport.take("a", forwarded_job_call{5, a_call, true});
        m_fixture.m_transport.take("a", forwarded_job_call{5, a_call, true});
        for (const std::size_t copy : {0, 1}) {
            const auto passed = std::get<forwarded_job_call>(m_fixture.m_sent.at(copy).second);
            m_fixture.m_transport.take(forwarded_job_answer{passed.m_number, done});
        }
        CPPUNIT_ASSERT(m_fixture.replied(2) == call_status::done);
        CPPUNIT_ASSERT(m_fixture.replied(3) == call_status::done);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(call_transport_test);

} // namespace peridotrudder
