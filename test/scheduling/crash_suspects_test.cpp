#include "peridotrudder/scheduling/crash_suspects.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

const time_point start{milliseconds{10'000}};

worker_run make_confirmed_run()
{
    worker_run run;
    run.m_phase = run_phase::running;
    run.m_ordered_at = start;
    run.m_confirmed_at = start + milliseconds{5};
    return run;
}

} // namespace

class crash_suspects_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crash_suspects_test);
    CPPUNIT_TEST(run_that_its_worker_outlived_is_no_suspect);
    CPPUNIT_TEST(start_without_outcome_is_no_suspect);
    CPPUNIT_TEST(start_that_has_not_begun_is_no_suspect);
    CPPUNIT_TEST(adopted_run_that_its_worker_outlived_is_no_suspect);
    CPPUNIT_TEST(adopted_run_is_a_suspect_if_it_is_short_or_its_task_was_one);
    CPPUNIT_TEST(alike_tasks_wait_for_the_trial_unless_they_are_long_running);
    CPPUNIT_TEST_SUITE_END();

public:
    void run_that_its_worker_outlived_is_no_suspect()
    {
        const auto run = make_confirmed_run();
        CPPUNIT_ASSERT(is_suspect(run, 0, start + crash_window));
        CPPUNIT_ASSERT(!is_suspect(run, 0, start + crash_window + milliseconds{1}));
        CPPUNIT_ASSERT(!has_survived(run, start + crash_window));
        CPPUNIT_ASSERT(has_survived(run, start + crash_window + milliseconds{1}));
    }

    void start_without_outcome_is_no_suspect()
    {
        auto run = make_confirmed_run();
        run.m_confirmed_at = {};
        run.m_phase = run_phase::ordered;
        CPPUNIT_ASSERT(!is_suspect(run, 1, start));
        run.m_phase = run_phase::uncertain;
        CPPUNIT_ASSERT(is_suspect(run, 0, start));
    }

    // LOST was broken: sound jobs were given up for crashes of workers that carry orders out late.
    void start_that_has_not_begun_is_no_suspect()
    {
        auto run = make_confirmed_run();
        run.m_confirmed_at = {};
        run.m_phase = run_phase::uncertain;
        run.m_unanswered_since = start + crash_window;
        CPPUNIT_ASSERT(is_suspect(run, 1, start + crash_window));
        CPPUNIT_ASSERT(!is_suspect(run, 1, start + crash_window + milliseconds{1}));
        run.m_unanswered_since = start + crash_window + milliseconds{1};
        CPPUNIT_ASSERT(!is_suspect(run, 1, start));
    }

    void adopted_run_that_its_worker_outlived_is_no_suspect()
    {
        auto run = make_confirmed_run();
        run.m_ordered_at.reset();
        CPPUNIT_ASSERT(is_suspect(run, 0, run.m_confirmed_at + crash_window));
        CPPUNIT_ASSERT(!is_suspect(run, 1, run.m_confirmed_at + crash_window + milliseconds{1}));
    }

    void adopted_run_is_a_suspect_if_it_is_short_or_its_task_was_one()
    {
        auto run = make_confirmed_run();
        run.m_ordered_at.reset();
        CPPUNIT_ASSERT(is_suspect(run, 0, start));
        run.m_long_running = true;
        CPPUNIT_ASSERT(!is_suspect(run, 0, start));
        CPPUNIT_ASSERT(is_suspect(run, 1, start));
    }

    void alike_tasks_wait_for_the_trial_unless_they_are_long_running()
    {
        step_spec step;
        const task fresh;
        CPPUNIT_ASSERT(may_start(step, fresh, {0, 0}));
        CPPUNIT_ASSERT(!may_start(step, fresh, {0, 1}));
        task suspect;
        suspect.m_crashes = 1;
        CPPUNIT_ASSERT(may_start(step, suspect, {1, max_trials - 1}));
        CPPUNIT_ASSERT(!may_start(step, suspect, {1, max_trials}));
        step.m_long_running = true;
        CPPUNIT_ASSERT(may_start(step, fresh, {1, 1}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_suspects_test);

} // namespace peridotrudder
