#include "peridotrudder/scheduling/task_placer.hpp"

#include "scheduling/owner_fixture.hpp"

#include "peridotrudder/scheduling/crash_suspects.hpp"

namespace peridotrudder {

namespace {

/// Ranks before the other jobs.
const std::string first_job_id{"0000000000000001"};
const std::string other_job_id{"fedcba9876543210"};

/// Longer than a start makes its task a suspect.
constexpr milliseconds calm_time{300};

} // namespace

class task_placer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(task_placer_test);
    CPPUNIT_TEST(worker_kept_for_a_task_on_trial_was_given_to_another_task);
    CPPUNIT_TEST(one_task_on_trial_kept_several_workers);
    CPPUNIT_TEST(tasks_on_trial_kept_more_workers_than_they_may_use_at_once);
    CPPUNIT_TEST(task_on_trial_waited_behind_a_task_of_its_step_that_found_no_worker);
    CPPUNIT_TEST(worker_kept_for_a_job_that_was_cancelled_is_given_to_other_tasks);
    CPPUNIT_TEST_SUITE_END();

    owner_fixture m_owner;

    /// Submits a job whose tasks go to one worker each.
    void submit_apart(const std::string& id, std::uint32_t count)
    {
        step_spec step;
        step.m_count = count;
        step.m_max_per_worker = 1;
        m_owner.submit_step(id, step);
    }

    void suspect(const std::string& id, std::uint32_t index)
    {
        auto& state = m_owner.m_scheduler->mutable_state();
        state.m_job_store.find(id)->record_crash({0, 0, index}, trial_suspicion, suspicion_limit,
                                                 m_owner.m_now.m_unix_ms);
        state.changed(id);
    }

    /// Starts a task on each of the workers, so that none of them is calm.
    void start_on_each(std::uint32_t workers)
    {
        for (std::uint32_t index = 2; index <= workers; ++index) {
            m_owner.add_worker("i-" + std::to_string(index));
        }
        submit_apart(other_job_id, workers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{workers}, m_owner.count_starts_after_write());
    }

    /// Starts a task on the only worker, and submits one on trial, which waits for the worker.
    void let_a_suspect_wait()
    {
        start_on_each(1);
        m_owner.submit();
        suspect(job_id, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_owner.count_starts_after_write());
    }

    void wait_until_calm()
    {
        m_owner.answer_hold(first_birth_ms);
        m_owner.pass(calm_time);
        m_owner.answer_hold(first_birth_ms);
    }

public:
    void worker_kept_for_a_task_on_trial_was_given_to_another_task()
    {
        let_a_suspect_wait();
        wait_until_calm();
        m_owner.submit_step(first_job_id, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_owner.count_starts_after_write());
        CPPUNIT_ASSERT_EQUAL(job_id, m_owner.m_starts.back().second.m_key.m_job);
        wait_until_calm();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_owner.count_starts_after_write());
    }

    void one_task_on_trial_kept_several_workers()
    {
        start_on_each(2);
        m_owner.submit();
        suspect(job_id, 0);
        m_owner.write();
        m_owner.write();
        m_owner.submit_step(first_job_id, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_owner.count_starts_after_write());
        CPPUNIT_ASSERT_EQUAL(first_job_id, m_owner.m_starts.back().second.m_key.m_job);
    }

    void tasks_on_trial_kept_more_workers_than_they_may_use_at_once()
    {
        constexpr std::uint32_t workers = max_trials + 2;
        start_on_each(workers);
        submit_apart(job_id, workers);
        for (std::uint32_t index = 0; index < workers; ++index) {
            suspect(job_id, index);
        }
        m_owner.write();
        submit_apart(first_job_id, workers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{workers + 2}, m_owner.count_starts_after_write());
    }

    void task_on_trial_waited_behind_a_task_of_its_step_that_found_no_worker()
    {
        m_owner.submit(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_owner.count_starts_after_write());
        const run_key sound{job_id, {0, 0, 0}};
        const run_key suspected{job_id, {0, 0, 1}};
        m_owner.answer_hold_with({{sound, 1, "", 10, 0}},
                                 {{1, suspected, 1, run_end::stopped, ""}});
        suspect(job_id, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_owner.count_starts_after_write());
        m_owner.pass(calm_time);
        m_owner.answer_hold_with({}, {{2, sound, 1, run_end::stopped, ""}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_owner.count_starts_after_write());
        CPPUNIT_ASSERT(m_owner.m_starts.back().second.m_key == suspected);
    }

    void worker_kept_for_a_job_that_was_cancelled_is_given_to_other_tasks()
    {
        let_a_suspect_wait();
        m_owner.m_scheduler->take_call(
            2, {call_kind::cancel, "host", "/queue/" + job_id, std::nullopt}, m_owner.m_now);
        m_owner.submit_step(first_job_id, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_owner.count_starts_after_write());
        m_owner.pass(milliseconds{1'000});
        m_owner.answer_hold(first_birth_ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_owner.count_starts_after_write());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(task_placer_test);

} // namespace peridotrudder
