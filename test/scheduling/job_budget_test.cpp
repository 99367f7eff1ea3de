#include "owner_fixture.hpp"

#include "peridotrudder/jobs/job_cost.hpp"

#include <fmt/format.h>

namespace peridotrudder {

/// An owner whose accepted jobs may take little memory.
class job_budget_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_budget_test);
    CPPUNIT_TEST(submission_is_refused_once_accepted_jobs_take_the_memory);
    CPPUNIT_TEST(accepted_job_is_known_though_the_memory_is_taken);
    CPPUNIT_TEST(job_that_has_left_the_memory_makes_room);
    CPPUNIT_TEST(job_that_never_fits_is_refused_for_its_length);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int jobs_that_fit = 20;

    owner_fixture m_owner;
    job_spec m_spec;

    /// A job whose specification is long, and that is due in a day.
    static job_spec make_spec()
    {
        job_spec spec;
        spec.m_steps.resize(1'000);
        spec.m_recurrence = recurrence{1, 86'400'000, 0};
        return spec;
    }

    static std::string id_of(int number) { return fmt::format("{:016x}", number); }

    /// Returns the status of the answer.
    call_status submit(int number)
    {
        const auto answered = m_owner.m_answers.size();
        m_owner.submit_job(id_of(number), m_spec);
        m_owner.write();
        CPPUNIT_ASSERT_EQUAL(answered + 1, m_owner.m_answers.size());
        return m_owner.m_answers.back().m_status;
    }

    scheduler_state& state() { return m_owner.m_scheduler->mutable_state(); }

public:
    void setUp() override
    {
        m_spec = make_spec();
        state().m_options.m_max_job_bytes = jobs_that_fit * waiting_cost(m_spec);
        for (int number = 0; number < jobs_that_fit; ++number) {
            CPPUNIT_ASSERT(submit(number) == call_status::done);
        }
    }

    // Any number of jobs was accepted, until their owner and its successors had no memory left.
    void submission_is_refused_once_accepted_jobs_take_the_memory()
    {
        for (int number = jobs_that_fit; number < 3 * jobs_that_fit; ++number) {
            CPPUNIT_ASSERT(submit(number) == call_status::overloaded);
            CPPUNIT_ASSERT(m_owner.m_answers.back().m_retry_after.count() > 0);
            CPPUNIT_ASSERT(state().m_job_store.find(id_of(number)) == nullptr);
        }
        CPPUNIT_ASSERT(state().m_job_store.waiting_bytes() <= state().m_options.m_max_job_bytes);
    }

    void accepted_job_is_known_though_the_memory_is_taken()
    {
        CPPUNIT_ASSERT(submit(0) == call_status::done);
    }

    void job_that_has_left_the_memory_makes_room()
    {
        state().m_job_store.find(id_of(3))->cancel(m_owner.m_now.m_unix_ms);
        m_owner.pass(m_owner.m_options.m_retention + milliseconds{2'000});
        m_owner.m_scheduler->tick(m_owner.m_now);
        CPPUNIT_ASSERT(submit(jobs_that_fit) == call_status::done);
        CPPUNIT_ASSERT(submit(jobs_that_fit + 1) == call_status::overloaded);
    }

    void job_that_never_fits_is_refused_for_its_length()
    {
        m_spec.m_steps.resize(max_job_tasks);
        state().m_options.m_max_job_bytes = waiting_cost(m_spec) - 1;
        CPPUNIT_ASSERT(submit(jobs_that_fit) == call_status::body_too_long);
        CPPUNIT_ASSERT(state().m_job_store.find(id_of(jobs_that_fit)) == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_budget_test);

} // namespace peridotrudder
