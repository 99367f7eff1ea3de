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

    void take(call_kind kind = call_kind::submit)
    {
        job_call call;
        call.m_kind = kind;
        m_router.take(
            call, time_left, [this](const call_answer& answer) { m_answer = answer; }, start);
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
    CPPUNIT_TEST(call_to_a_lost_owner_is_sent_to_the_next);
    CPPUNIT_TEST(call_without_any_owner_is_refused_before_its_deadline);
    CPPUNIT_TEST(call_that_was_sent_has_an_unknown_outcome_without_an_answer);
    CPPUNIT_TEST(call_refused_by_a_non_owner_waits_for_the_owner);
    CPPUNIT_TEST(call_that_only_non_owners_received_may_be_refused);
    CPPUNIT_TEST(call_to_an_owner_that_ended_has_an_unknown_outcome);
    CPPUNIT_TEST(refusal_waits_while_another_copy_may_be_accepted);
    CPPUNIT_TEST(refusal_of_every_copy_reaches_the_caller);
    CPPUNIT_TEST(refusal_and_a_copy_without_an_answer_is_an_unknown_outcome);
    CPPUNIT_TEST(submission_refused_for_its_key_waits_while_another_copy_may_be_accepted);
    CPPUNIT_TEST(cancellation_refused_for_its_key_waits_while_another_copy_may_be_carried_out);
    CPPUNIT_TEST(query_refused_for_its_key_is_answered_at_once);
    CPPUNIT_TEST_SUITE_END();

    static std::string status_after_second_copy_is_unauthorized(call_kind kind)
    {
        fixture it;
        it.take(kind);
        it.m_router.owner_lost(start);
        it.m_router.owner_changed(start + milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.m_sent.size());
        it.m_router.answered(it.m_sent.back(), answer_of(call_status::unauthorized),
                             start + milliseconds{110});
        return it.status();
    }

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

    void call_to_a_lost_owner_is_sent_to_the_next()
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

    void call_without_any_owner_is_refused_before_its_deadline()
    {
        fixture it;
        it.m_owner_there = false;
        it.take();
        it.m_router.tick(start + milliseconds{1'300});
        CPPUNIT_ASSERT_EQUAL(std::string{"unavailable"}, it.status());
        CPPUNIT_ASSERT(it.m_answer->m_retry_after.count() > 0);
    }

    void call_that_was_sent_has_an_unknown_outcome_without_an_answer()
    {
        fixture it;
        it.take();
        it.m_owner_there = false;
        it.m_router.owner_lost(start);
        it.m_router.tick(start + time_left);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown_outcome"}, it.status());
    }

    void call_refused_by_a_non_owner_waits_for_the_owner()
    {
        fixture it;
        it.take();
        it.m_router.answered(it.m_sent.front(), answer_of(call_status::not_owner), start);
        CPPUNIT_ASSERT_EQUAL(std::string{"none yet"}, it.status());
        it.m_router.tick(start + milliseconds{20});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.m_sent.size());
    }

    void call_to_an_owner_that_ended_has_an_unknown_outcome()
    {
        fixture it;
        it.take();
        it.m_owner_there = false;
        // The owner's last write may have succeeded.
        it.m_router.answered(it.m_sent.front(), answer_of(call_status::owner_ended), start);
        it.m_router.tick(start + milliseconds{1'300});
        CPPUNIT_ASSERT_EQUAL(std::string{"none yet"}, it.status());
        it.m_router.tick(start + time_left);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown_outcome"}, it.status());
    }

    // The key was removed after the first copy had been accepted.
    void submission_refused_for_its_key_waits_while_another_copy_may_be_accepted()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"none yet"},
                             status_after_second_copy_is_unauthorized(call_kind::submit));
    }

    void cancellation_refused_for_its_key_waits_while_another_copy_may_be_carried_out()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"none yet"},
                             status_after_second_copy_is_unauthorized(call_kind::cancel));
    }

    void query_refused_for_its_key_is_answered_at_once()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"unauthorized"},
                             status_after_second_copy_is_unauthorized(call_kind::query));
    }

    void refusal_waits_while_another_copy_may_be_accepted()
    {
        fixture it;
        it.take();
        it.m_router.owner_changed(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.m_sent.size());

        it.m_router.answered(it.m_sent[0], answer_of(call_status::overloaded), start);
        CPPUNIT_ASSERT_EQUAL(std::string{"none yet"}, it.status());
        it.m_router.answered(it.m_sent[0], answer_of(call_status::done), start);
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.status());
    }

    void refusal_of_every_copy_reaches_the_caller()
    {
        for (const auto refusal : {call_status::overloaded, call_status::unavailable,
                                   call_status::unknown_queue, call_status::invalid}) {
            fixture it;
            it.take();
            it.m_router.owner_changed(start);
            it.m_router.answered(it.m_sent[0], answer_of(refusal), start);
            it.m_router.answered(it.m_sent[0], answer_of(refusal), start);
            CPPUNIT_ASSERT_EQUAL(std::string{to_string(refusal)}, it.status());
        }
    }

    void refusal_and_a_copy_without_an_answer_is_an_unknown_outcome()
    {
        fixture it;
        it.take();
        it.m_router.owner_changed(start);
        it.m_router.answered(it.m_sent[0], answer_of(call_status::unavailable), start);
        it.m_router.tick(start + time_left);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown_outcome"}, it.status());
    }

    void call_that_only_non_owners_received_may_be_refused()
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
