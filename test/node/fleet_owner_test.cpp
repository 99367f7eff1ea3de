#include "fleet_owner_fixture.hpp"

namespace peridotrudder {

class fleet_owner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fleet_owner_test);
    CPPUNIT_TEST(job_is_recorded_before_the_caller_is_answered);
    CPPUNIT_TEST(job_that_cannot_be_recorded_is_refused_at_once);
    CPPUNIT_TEST(repeated_job_is_not_refused_while_the_log_is_down);
    CPPUNIT_TEST(lease_is_not_renewed_long_after_the_last_proof);
    CPPUNIT_TEST(fenced_owner_ends);
    CPPUNIT_TEST(unusable_entries_leave_the_other_workers_usable);
    CPPUNIT_TEST_SUITE_END();

public:
    void job_is_recorded_before_the_caller_is_answered()
    {
        owner_fixture it;
        it.serve();
        const auto token = it.submit("0123456789abcdef");
        CPPUNIT_ASSERT_EQUAL(std::string{"none yet"}, it.status(token));
        CPPUNIT_ASSERT_EQUAL(0, it.m_starts);
        it.pass(milliseconds{20});
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.status(token));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             it.m_topics["keyed.jobs"].count("job/0123456789abcdef"));
        CPPUNIT_ASSERT_EQUAL(1, it.m_starts);
    }

    void job_that_cannot_be_recorded_is_refused_at_once()
    {
        owner_fixture it;
        it.serve();
        it.m_log_up = false;
        it.submit("0000000000000001");
        it.pass(milliseconds{600});
        const auto token = it.submit("0000000000000002");
        it.pass(milliseconds{10});
        CPPUNIT_ASSERT_EQUAL(std::string{"unavailable"}, it.status(token));
        CPPUNIT_ASSERT(it.m_answers[token].m_retry_after.count() > 0);
        it.m_log_up = true;
        it.pass(milliseconds{2'000});
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a refused job is never recorded", std::size_t{0},
                                     it.m_topics["keyed.jobs"].count("job/0000000000000002"));
    }

    void repeated_job_is_not_refused_while_the_log_is_down()
    {
        owner_fixture it;
        it.serve();
        it.submit("0123456789abcdef");
        it.pass(milliseconds{20});
        it.m_log_up = false;
        it.submit("0000000000000001");
        it.pass(milliseconds{600});
        const auto token = it.submit("0123456789abcdef");
        it.pass(milliseconds{10});
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.status(token));
    }

    void lease_is_not_renewed_long_after_the_last_proof()
    {
        owner_fixture it;
        it.serve();
        it.submit("0123456789abcdef");
        it.pass(milliseconds{100});
        it.m_log_up = false;
        it.pass(owner_options{}.m_proof_limits.m_lease + milliseconds{500});
        it.m_holds.clear();
        it.pass(milliseconds{1'000});
        CPPUNIT_ASSERT(!it.m_holds.empty());
        for (const auto& hold : it.m_holds) {
            CPPUNIT_ASSERT(!hold.m_deadline_ms.has_value());
        }
    }

    // Neither a snapshot nor a batch of changes may be dropped for one entry.
    void unusable_entries_leave_the_other_workers_usable()
    {
        using bytes = owner_fixture::bytes;
        owner_fixture it;
        it.m_topics["workers"]["a-odd"] = {unusable};
        it.m_topics["workers"]["z-odd"] = {unusable};
        read_answer changes;
        changes.m_result = log_result::ok;
        changes.m_records = {{"b-odd", bytes{unusable}, 0},
                             {"", std::nullopt, 1},
                             {"i-2", bytes{1}, 2},
                             {"y-odd", bytes{unusable}, 3}};
        it.m_worker_changes.push_back(changes);
        changes.m_records = {{"i-3", bytes{1}, 4}};
        it.m_worker_changes.push_back(changes);
        it.serve();
        it.pass(milliseconds{1'000});
        const auto& workers = it.m_owner->scheduler()->state().m_workers;
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, workers.size());
        for (const std::string id : {"i-1", "i-2", "i-3"}) {
            CPPUNIT_ASSERT_MESSAGE(id, workers.count(id) != 0 &&
                                           workers.at(id).takes_work(it.m_now.m_at));
        }
        const auto token = it.submit("0123456789abcdef");
        it.pass(milliseconds{50});
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.status(token));
        CPPUNIT_ASSERT_EQUAL(1, it.m_starts);
    }

    void fenced_owner_ends()
    {
        owner_fixture it;
        it.serve();
        it.m_epoch = 8;
        it.submit("0123456789abcdef");
        it.pass(milliseconds{50});
        CPPUNIT_ASSERT(it.m_ended);
        CPPUNIT_ASSERT_EQUAL(0, it.m_starts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_owner_test);

} // namespace peridotrudder
