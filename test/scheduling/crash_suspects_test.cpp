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
    CPPUNIT_TEST(crash_was_judged_by_the_answers_of_the_next_incarnation);
    CPPUNIT_TEST(long_running_adopted_run_that_its_worker_outlived_is_no_suspect);
    CPPUNIT_TEST(adopted_run_is_a_suspect_if_it_is_short_or_its_task_was_one);
    CPPUNIT_TEST(two_crashes_give_a_task_up_only_if_both_runs_are_known_to_have_begun);
    CPPUNIT_TEST(late_crash_counts_against_a_short_run_only);
    CPPUNIT_TEST(expired_lease_is_weak_evidence);
    CPPUNIT_TEST(alike_tasks_wait_for_the_trial_unless_they_are_long_running);
    CPPUNIT_TEST_SUITE_END();

public:
    void run_that_its_worker_outlived_is_no_suspect()
    {
        const auto run = make_confirmed_run();
        const auto later = start + crash_window + milliseconds{1};
        CPPUNIT_ASSERT(judge_crash(run, false, start + crash_window) == crash_evidence::confirmed);
        CPPUNIT_ASSERT(judge_crash(run, false, later) == crash_evidence::late);
        CPPUNIT_ASSERT(!has_survived(run, start + crash_window));
        CPPUNIT_ASSERT(has_survived(run, later));
    }

    void start_without_outcome_is_no_suspect()
    {
        auto run = make_confirmed_run();
        run.m_confirmed_at = {};
        run.m_phase = run_phase::ordered;
        CPPUNIT_ASSERT(judge_crash(run, true, start) == crash_evidence::none);
        run.m_phase = run_phase::uncertain;
        CPPUNIT_ASSERT(judge_crash(run, false, start) == crash_evidence::unanswered);
    }

    // LOST was broken: sound jobs were given up for crashes of workers that carry orders out late.
    void start_that_has_not_begun_is_no_suspect()
    {
        auto run = make_confirmed_run();
        run.m_confirmed_at = {};
        run.m_phase = run_phase::uncertain;
        run.m_unanswered_since = start + crash_window;
        const auto later = start + crash_window + milliseconds{1};
        CPPUNIT_ASSERT(judge_crash(run, true, start + crash_window) == crash_evidence::unanswered);
        CPPUNIT_ASSERT(judge_crash(run, true, later) == crash_evidence::none);
        run.m_unanswered_since = later;
        CPPUNIT_ASSERT(judge_crash(run, true, start) == crash_evidence::recorded);
        CPPUNIT_ASSERT(judge_crash(run, true, later) == crash_evidence::none);
    }

    // A task whose worker was back after a quarter of a second was never blamed.
    void crash_was_judged_by_the_answers_of_the_next_incarnation()
    {
        const auto answered_by_next = start + crash_window + milliseconds{400};
        auto run = make_confirmed_run();
        run.m_former_heard_at = start + milliseconds{10};
        CPPUNIT_ASSERT(judge_crash(run, false, answered_by_next) == crash_evidence::confirmed);
        CPPUNIT_ASSERT(!has_survived(run, answered_by_next));
        run.m_confirmed_at = {};
        run.m_phase = run_phase::uncertain;
        CPPUNIT_ASSERT(judge_crash(run, false, answered_by_next) == crash_evidence::unanswered);
    }

    void long_running_adopted_run_that_its_worker_outlived_is_no_suspect()
    {
        auto run = make_confirmed_run();
        run.m_ordered_at.reset();
        run.m_long_running = true;
        const auto end_of_window = run.m_confirmed_at + crash_window;
        CPPUNIT_ASSERT(judge_crash(run, true, end_of_window) == crash_evidence::recorded);
        CPPUNIT_ASSERT(judge_crash(run, true, end_of_window + milliseconds{1}) ==
                       crash_evidence::none);
    }

    void adopted_run_is_a_suspect_if_it_is_short_or_its_task_was_one()
    {
        auto run = make_confirmed_run();
        run.m_ordered_at.reset();
        run.m_confirmed_at = {};
        run.m_phase = run_phase::uncertain;
        CPPUNIT_ASSERT(judge_crash(run, false, start) == crash_evidence::recorded);
        run.m_long_running = true;
        CPPUNIT_ASSERT(judge_crash(run, false, start) == crash_evidence::none);
        CPPUNIT_ASSERT(judge_crash(run, true, start) == crash_evidence::recorded);
    }

    // A task that crashes its workers a second after its start would be started without end.
    void late_crash_counts_against_a_short_run_only()
    {
        auto run = make_confirmed_run();
        const auto late = start + late_crash_window;
        CPPUNIT_ASSERT(judge_crash(run, false, late) == crash_evidence::late);
        CPPUNIT_ASSERT(judge_crash(run, false, late + milliseconds{1}) == crash_evidence::none);
        run.m_long_running = true;
        CPPUNIT_ASSERT(judge_crash(run, true, late) == crash_evidence::none);
        CPPUNIT_ASSERT(weight_of(crash_evidence::late, false) < trial_suspicion);
        CPPUNIT_ASSERT(weight_of(crash_evidence::late, true) * 5 >= suspicion_limit);
    }

    // A cut would give jobs up, or a task whose workers are silent after a crash never would.
    void expired_lease_is_weak_evidence()
    {
        const auto recorded = crash_evidence::recorded;
        CPPUNIT_ASSERT(without_proof_of_crash(crash_evidence::confirmed, false) == recorded);
        CPPUNIT_ASSERT(without_proof_of_crash(crash_evidence::unanswered, false) == recorded);
        for (const auto evidence : {crash_evidence::late, recorded}) {
            CPPUNIT_ASSERT(without_proof_of_crash(evidence, false) == crash_evidence::none);
            CPPUNIT_ASSERT(without_proof_of_crash(evidence, true) == evidence);
        }
    }

    // A job would be given up for a run that only its record speaks of.
    void two_crashes_give_a_task_up_only_if_both_runs_are_known_to_have_begun()
    {
        const auto confirmed = weight_of(crash_evidence::confirmed, false);
        const auto on_trial = weight_of(crash_evidence::confirmed, true);
        CPPUNIT_ASSERT(confirmed + on_trial >= suspicion_limit);
        for (const auto weak : {crash_evidence::recorded, crash_evidence::unanswered}) {
            for (const bool trial : {false, true}) {
                CPPUNIT_ASSERT(weight_of(weak, trial) + on_trial < suspicion_limit);
                CPPUNIT_ASSERT(weight_of(weak, trial) >= trial_suspicion);
            }
        }
        CPPUNIT_ASSERT(4 * weight_of(crash_evidence::unanswered, true) >= suspicion_limit);
        CPPUNIT_ASSERT(4 * weight_of(crash_evidence::recorded, true) >= suspicion_limit);
    }

    void alike_tasks_wait_for_the_trial_unless_they_are_long_running()
    {
        step_spec step;
        const task fresh;
        CPPUNIT_ASSERT(may_start(step, fresh, {0, 0, false}));
        CPPUNIT_ASSERT(!may_start(step, fresh, {0, 1, true}));
        CPPUNIT_ASSERT(may_start(step, fresh, {0, 1, false}));
        task suspect;
        suspect.m_suspicion = trial_suspicion;
        CPPUNIT_ASSERT(may_start(step, suspect, {1, max_trials - 1, true}));
        CPPUNIT_ASSERT(!may_start(step, suspect, {1, max_trials, true}));
        step.m_long_running = true;
        CPPUNIT_ASSERT(may_start(step, fresh, {1, 1, true}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_suspects_test);

} // namespace peridotrudder
