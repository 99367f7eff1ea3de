#include "peridotrudder/jobs/job_spec.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

job_spec two_steps()
{
    step_spec first;
    first.m_count = 2;
    first.m_task_resources.m_cpu_millis = 1'000;
    first.m_estimate = milliseconds{300};
    step_spec second = first;
    second.m_depends_on = {0};
    second.m_estimate = milliseconds{500};
    job_spec spec;
    spec.m_steps = {first, second};
    return spec;
}

std::string fault_of(const job_spec& spec)
{
    return std::string{to_string(check_spec(spec))};
}

} // namespace

class job_spec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_spec_test);
    CPPUNIT_TEST(valid_specification_has_no_fault);
    CPPUNIT_TEST(each_fault_is_reported);
    CPPUNIT_TEST(number_of_tasks_that_wrapped_to_zero_was_accepted);
    CPPUNIT_TEST(work_of_an_absurd_job_overflowed);
    CPPUNIT_TEST(longest_chain_follows_dependencies);
    CPPUNIT_TEST(work_counts_every_task);
    CPPUNIT_TEST_SUITE_END();

public:
    void valid_specification_has_no_fault()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"none"}, fault_of(two_steps()));
    }

    void each_fault_is_reported()
    {
        job_spec empty;
        CPPUNIT_ASSERT_EQUAL(std::string{"no_steps"}, fault_of(empty));
        auto spec = two_steps();
        spec.m_steps[0].m_count = 0;
        CPPUNIT_ASSERT_EQUAL(std::string{"no_tasks"}, fault_of(spec));
        spec = two_steps();
        spec.m_steps[0].m_depends_on = {1};
        CPPUNIT_ASSERT_EQUAL(std::string{"depends_on_later_step"}, fault_of(spec));
        spec = two_steps();
        spec.m_steps[1].m_depends_on = {1};
        CPPUNIT_ASSERT_EQUAL(std::string{"depends_on_later_step"}, fault_of(spec));
        spec = two_steps();
        spec.m_steps[0].m_task_resources.m_cpu_millis = -1;
        CPPUNIT_ASSERT_EQUAL(std::string{"negative_resources"}, fault_of(spec));
        spec = two_steps();
        spec.m_steps[0].m_count = 4'000'000'000U;
        CPPUNIT_ASSERT_EQUAL(std::string{"too_many_tasks"}, fault_of(spec));
        spec = two_steps();
        spec.m_recurrence = recurrence{0, 0, 0};
        CPPUNIT_ASSERT_EQUAL(std::string{"bad_recurrence"}, fault_of(spec));
        spec = two_steps();
        spec.m_payload = std::string(4'001, 'x');
        CPPUNIT_ASSERT_EQUAL(std::string{"payload_too_long"}, fault_of(spec));
    }

    // The product of tasks and occurrences wrapped, and the job's tables took all memory.
    void number_of_tasks_that_wrapped_to_zero_was_accepted()
    {
        auto spec = two_steps();
        spec.m_steps.resize(4, spec.m_steps[0]);
        for (auto& step : spec.m_steps) {
            step.m_count = 1U << 31U;
        }
        spec.m_recurrence = recurrence{1U << 31U, 0, 0};
        CPPUNIT_ASSERT_EQUAL(std::string{"too_many_tasks"}, fault_of(spec));
    }

    // The work of all accepted jobs is summed.
    void work_of_an_absurd_job_overflowed()
    {
        auto spec = two_steps();
        for (auto& step : spec.m_steps) {
            step.m_count = 10'000;
            step.m_task_resources.m_cpu_millis = 100'000'000;
            step.m_estimate = milliseconds{31'536'000'000};
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"none"}, fault_of(spec));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'000'000'000'000'000}, estimated_work(spec));
    }

    void longest_chain_follows_dependencies()
    {
        CPPUNIT_ASSERT_EQUAL(milliseconds{800}.count(), longest_chain(two_steps()).count());
        auto parallel = two_steps();
        parallel.m_steps[1].m_depends_on.clear();
        CPPUNIT_ASSERT_EQUAL(milliseconds{500}.count(), longest_chain(parallel).count());
    }

    void work_counts_every_task()
    {
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'600'000}, estimated_work(two_steps()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_spec_test);

} // namespace peridotrudder
