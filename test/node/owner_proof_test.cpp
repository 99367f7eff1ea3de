#include "fleet_owner_fixture.hpp"

namespace peridotrudder {

namespace {

const std::string known_job = "0123456789abcdef";
const std::string unknown_job = "fedcba9876543210";

/// Longer than all limits of a proof.
constexpr milliseconds long_ago{5'500};

std::uint64_t call(owner_fixture& it, call_kind kind, const std::string& path)
{
    it.m_owner->take_call(it.m_next_token, {kind, "host", path, {}});
    return it.m_next_token++;
}

/// An owner with a recorded job, cut off from the log and from its peers for a while.
owner_fixture& cut_off(owner_fixture& it, milliseconds time)
{
    it.serve();
    it.submit(known_job);
    it.pass(milliseconds{50});
    it.m_log_up = false;
    it.pass(time);
    return it;
}

/// Checks that a call to a deposed owner gets no answer, neither before nor after it learns of its
/// successor.
void check_unanswered(call_kind kind, const std::string& path)
{
    owner_fixture it;
    cut_off(it, milliseconds{1'000});
    const auto token = call(it, kind, path);
    it.pass(milliseconds{2'000});
    CPPUNIT_ASSERT_EQUAL(std::string{"none yet"}, it.status(token));
    it.m_epoch = 8;
    it.m_log_up = true;
    it.pass(milliseconds{1'000});
    CPPUNIT_ASSERT(it.m_ended);
    CPPUNIT_ASSERT_EQUAL(std::string{"none yet"}, it.status(token));
}

} // namespace

class owner_proof_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(owner_proof_test);
    CPPUNIT_TEST(deposed_owner_does_not_answer_a_cancel);
    CPPUNIT_TEST(deposed_owner_does_not_answer_a_query);
    CPPUNIT_TEST(deposed_owner_does_not_answer_by_its_configuration);
    CPPUNIT_TEST(deposed_owner_does_not_answer_when_it_runs_on_after_a_pause);
    CPPUNIT_TEST(held_call_is_answered_once_the_owner_has_a_proof_again);
    CPPUNIT_TEST(owner_with_recent_proofs_answers_at_once_by_few_writes);
    CPPUNIT_TEST(outage_of_the_log_for_all_delays_no_answer);
    CPPUNIT_TEST(slow_log_delays_no_answer_that_follows_a_write);
    CPPUNIT_TEST_SUITE_END();

public:
    void deposed_owner_does_not_answer_a_cancel()
    {
        check_unanswered(call_kind::cancel, "/queue/" + unknown_job);
    }

    void deposed_owner_does_not_answer_a_query()
    {
        check_unanswered(call_kind::query, "/queue/" + unknown_job);
        check_unanswered(call_kind::query, "/queue/" + known_job);
        check_unanswered(call_kind::query, "/queue/");
    }

    void deposed_owner_does_not_answer_by_its_configuration()
    {
        check_unanswered(call_kind::query, "/added/");
        check_unanswered(call_kind::cancel, "/added/" + unknown_job);
    }

    // Its first answers after a pause came before the refusal of its next write.
    void deposed_owner_does_not_answer_when_it_runs_on_after_a_pause()
    {
        owner_fixture it;
        it.serve();
        it.m_epoch = 8;
        it.m_now.m_at += milliseconds{3'000};
        const auto token = call(it, call_kind::cancel, "/queue/" + unknown_job);
        it.pass(milliseconds{1'000});
        CPPUNIT_ASSERT(it.m_ended);
        CPPUNIT_ASSERT_EQUAL(std::string{"none yet"}, it.status(token));
    }

    void held_call_is_answered_once_the_owner_has_a_proof_again()
    {
        owner_fixture it;
        cut_off(it, milliseconds{1'000});
        const auto token = call(it, call_kind::cancel, "/queue/" + unknown_job);
        it.pass(milliseconds{200});
        it.m_log_up = true;
        it.pass(milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown_job"}, it.status(token));
    }

    void owner_with_recent_proofs_answers_at_once_by_few_writes()
    {
        owner_fixture it;
        it.serve();
        const auto appends = it.m_appends;
        for (int index = 0; index < 100; ++index) {
            it.pass(milliseconds{100});
            const auto token = call(it, call_kind::query, "/queue/" + unknown_job);
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown_job"}, it.status(token));
        }
        CPPUNIT_ASSERT(it.m_appends - appends <= 30);
    }

    void outage_of_the_log_for_all_delays_no_answer()
    {
        owner_fixture it;
        it.m_supported = true;
        cut_off(it, long_ago);
        const auto query = call(it, call_kind::query, "/queue/" + known_job);
        CPPUNIT_ASSERT_EQUAL(std::string{"state"}, it.status(query));
        const auto cancel = call(it, call_kind::cancel, "/queue/" + unknown_job);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown_job"}, it.status(cancel));
    }

    void slow_log_delays_no_answer_that_follows_a_write()
    {
        owner_fixture it;
        cut_off(it, milliseconds{300});
        const auto token = call(it, call_kind::cancel, "/queue/" + known_job);
        it.pass(milliseconds{1'500});
        CPPUNIT_ASSERT_EQUAL(std::string{"none yet"}, it.status(token));
        it.m_log_up = true;
        it.pass(milliseconds{50});
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.status(token));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(owner_proof_test);

} // namespace peridotrudder
