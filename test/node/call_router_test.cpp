#include "peridotrudder/node/call_router.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace peridotrudder {

namespace {

const time_point start{milliseconds{1'000'000}};
constexpr milliseconds time_left{3'000};

struct fixture {
    bool m_owner_there{true};
    std::vector<std::uint64_t> m_sent;
    std::optional<call_answer> m_answer;
    call_router m_router{call_router::create({}, [this](std::uint64_t number, const job_call&) {
        if (m_owner_there) {
            m_sent.push_back(number);
        }
        return m_owner_there;
    })};

    void take()
    {
        m_router.take(
            {}, time_left, [this](const call_answer& answer) { m_answer = answer; }, start);
    }

    std::string status() const
    {
        return m_answer ? std::string{to_string(m_answer->m_status)} : "none yet";
    }
};

call_answer answer_of(call_status status)
{
    call_answer answer;
    answer.m_status = status;
    return answer;
}

} // namespace

class call_router_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(call_router_test);
    CPPUNIT_TEST(answer_reaches_the_caller_once);
    CPPUNIT_TEST(call_of_a_lost_owner_goes_to_the_next);
    CPPUNIT_TEST(call_without_any_owner_is_soon_refused);
    CPPUNIT_TEST(call_that_was_sent_is_never_said_not_to_have_run);
    CPPUNIT_TEST(call_that_a_non_owner_turned_down_waits_for_the_owner);
    CPPUNIT_TEST(call_that_only_non_owners_saw_may_be_refused);
    CPPUNIT_TEST(call_of_an_owner_that_ended_is_never_said_not_to_have_run);
    CPPUNIT_TEST_SUITE_END();

public:
    void answer_reaches_the_caller_once()
    {
        fixture it;
        it.take();
        it.m_router.answered(it.m_sent.front(), answer_of(call_status::done), start);
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.status());
        it.m_router.answered(it.m_sent.front(), answer_of(call_status::unavailable), start);
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.status());
    }

    void call_of_a_lost_owner_goes_to_the_next()
    {
        fixture it;
        it.take();
        it.m_owner_there = false;
        it.m_router.owner_lost(start);
        it.m_router.tick(start + milliseconds{2'000});
        CPPUNIT_ASSERT_EQUAL(std::string{"none yet"}, it.status());
        it.m_owner_there = true;
        it.m_router.owner_changed(start + milliseconds{2'100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.m_sent.size());
        CPPUNIT_ASSERT_EQUAL(it.m_sent.front(), it.m_sent.back());
    }

    void call_without_any_owner_is_soon_refused()
    {
        fixture it;
        it.m_owner_there = false;
        it.take();
        it.m_router.tick(start + milliseconds{1'300});
        CPPUNIT_ASSERT_EQUAL(std::string{"unavailable"}, it.status());
        CPPUNIT_ASSERT(it.m_answer->m_retry_after.count() > 0);
    }

    void call_that_was_sent_is_never_said_not_to_have_run()
    {
        fixture it;
        it.take();
        it.m_owner_there = false;
        it.m_router.owner_lost(start);
        it.m_router.tick(start + time_left);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown_outcome"}, it.status());
    }

    void call_that_a_non_owner_turned_down_waits_for_the_owner()
    {
        fixture it;
        it.take();
        it.m_router.answered(it.m_sent.front(), answer_of(call_status::not_owner), start);
        CPPUNIT_ASSERT_EQUAL(std::string{"none yet"}, it.status());
        it.m_router.tick(start + milliseconds{20});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.m_sent.size());
    }

    void call_of_an_owner_that_ended_is_never_said_not_to_have_run()
    {
        fixture it;
        it.take();
        it.m_owner_there = false;
        // Its last write may have gone through.
        it.m_router.answered(it.m_sent.front(), answer_of(call_status::owner_ended), start);
        it.m_router.tick(start + milliseconds{1'300});
        CPPUNIT_ASSERT_EQUAL(std::string{"none yet"}, it.status());
        it.m_router.tick(start + time_left);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown_outcome"}, it.status());
    }

    void call_that_only_non_owners_saw_may_be_refused()
    {
        fixture it;
        it.take();
        it.m_owner_there = false;
        it.m_router.answered(it.m_sent.front(), answer_of(call_status::not_owner), start);
        it.m_router.tick(start + milliseconds{1'300});
        CPPUNIT_ASSERT_EQUAL(std::string{"unavailable"}, it.status());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(call_router_test);

} // namespace peridotrudder
