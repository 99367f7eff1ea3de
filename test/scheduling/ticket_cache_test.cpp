#include "peridotrudder/scheduling/ticket_cache.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

const step_key step{"00000000000000aa", 0, 1};
const placement_policy policy{milliseconds{20}, milliseconds{3}, milliseconds{3'000}};
const worker_instance first{"i-1", 10};
const worker_instance second{"i-2", 20};

time_point at(std::int64_t ms)
{
    return time_point{milliseconds{1'000'000 + ms}};
}

policy_answer answer_granting(const std::string& worker)
{
    return {true, {{worker, "ticket-" + worker}}, milliseconds{3'000}};
}

} // namespace

class ticket_cache_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ticket_cache_test);
    CPPUNIT_TEST(tickets_are_requested_for_workers_with_room_and_cached);
    CPPUNIT_TEST(ticket_expires_early_and_with_the_worker_instance);
    CPPUNIT_TEST(denied_workers_are_not_requested_again);
    CPPUNIT_TEST(only_one_request_is_in_flight_at_a_time);
    CPPUNIT_TEST(unanswered_request_is_repeated_after_a_pause);
    CPPUNIT_TEST(rejected_ticket_is_requested_again);
    CPPUNIT_TEST(number_of_workers_in_a_request_is_limited);
    CPPUNIT_TEST(answer_for_an_ended_job_changes_nothing);
    CPPUNIT_TEST_SUITE_END();

    ticket_cache m_cache;

    std::optional<policy_request> ask(const std::vector<worker_instance>& workers, std::int64_t ms)
    {
        m_cache.request(step, policy, workers, at(ms));
        return m_cache.next_policy_request(at(ms));
    }

public:
    void tickets_are_requested_for_workers_with_room_and_cached()
    {
        const auto request = ask({first, second}, 0);

        CPPUNIT_ASSERT(request.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, request->m_workers.size());
        CPPUNIT_ASSERT_MESSAGE("the timeout is longer than the service takes",
                               request->m_policy_timeout > milliseconds{26});
        CPPUNIT_ASSERT_EQUAL(step.m_job, m_cache.answered(answer_granting("i-1"), at(30)));
        CPPUNIT_ASSERT_EQUAL(std::string{"ticket-i-1"}, m_cache.ticket_for(step, first, at(40)));
        CPPUNIT_ASSERT_EQUAL(std::string{}, m_cache.ticket_for(step, second, at(40)));
        CPPUNIT_ASSERT_EQUAL(std::string{}, m_cache.ticket_for({step.m_job, 0, 2}, first, at(40)));
    }

    void ticket_expires_early_and_with_the_worker_instance()
    {
        ask({first}, 0);
        m_cache.answered(answer_granting("i-1"), at(0));

        CPPUNIT_ASSERT_EQUAL(std::string{}, m_cache.ticket_for(step, {"i-1", 11}, at(10)));
        CPPUNIT_ASSERT(!m_cache.ticket_for(step, first, at(2'700)).empty());
        CPPUNIT_ASSERT_EQUAL(std::string{}, m_cache.ticket_for(step, first, at(2'900)));
        CPPUNIT_ASSERT_MESSAGE("an expired ticket is requested again",
                               ask({first}, 2'900).has_value());
    }

    void denied_workers_are_not_requested_again()
    {
        ask({first, second}, 0);
        m_cache.answered(answer_granting("i-1"), at(0));

        CPPUNIT_ASSERT(!ask({first, second}, 10).has_value());
        const auto later = ask({first, second}, 5'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, later->m_workers.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"i-1"}, later->m_workers[0].m_worker);
    }

    void only_one_request_is_in_flight_at_a_time()
    {
        CPPUNIT_ASSERT(ask({first}, 0).has_value());
        CPPUNIT_ASSERT(!ask({second}, 5).has_value());
        m_cache.answered(answer_granting("i-1"), at(30));
        CPPUNIT_ASSERT(ask({second}, 35).has_value());
    }

    void unanswered_request_is_repeated_after_a_pause()
    {
        ask({first}, 0);
        m_cache.answered({}, at(100));
        CPPUNIT_ASSERT(!ask({first}, 110).has_value());
        CPPUNIT_ASSERT(ask({first}, 500).has_value());
    }

    void rejected_ticket_is_requested_again()
    {
        ask({first}, 0);
        m_cache.answered(answer_granting("i-1"), at(0));
        m_cache.reject(step, first);
        CPPUNIT_ASSERT_EQUAL(std::string{}, m_cache.ticket_for(step, first, at(10)));
        CPPUNIT_ASSERT(ask({first}, 10).has_value());
    }

    void number_of_workers_in_a_request_is_limited()
    {
        std::vector<worker_instance> many;
        for (int index = 0; index < 90; ++index) {
            many.push_back({"i-" + std::to_string(index), 1});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{30}, ask(many, 0)->m_workers.size());
    }

    void answer_for_an_ended_job_changes_nothing()
    {
        ask({first}, 0);
        m_cache.drop_job(step.m_job);
        m_cache.answered(answer_granting("i-1"), at(10));
        CPPUNIT_ASSERT_EQUAL(std::string{}, m_cache.ticket_for(step, first, at(20)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ticket_cache_test);

} // namespace peridotrudder
