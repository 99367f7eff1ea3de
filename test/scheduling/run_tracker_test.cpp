#include "peridotrudder/scheduling/run_tracker.hpp"

#include "scheduling/owner_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

class run_tracker_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(run_tracker_test);
    CPPUNIT_TEST(run_without_progress_is_stopped);
    CPPUNIT_TEST(run_was_stopped_as_stalled_by_the_answer_of_a_former_incarnation);
    CPPUNIT_TEST(owner_gave_up_since_a_worker_refused_its_own_lower_token);
    CPPUNIT_TEST(task_was_started_beside_a_run_of_it_that_was_being_stopped);
    CPPUNIT_TEST(gang_was_started_beside_a_run_of_it_that_was_being_stopped);
    CPPUNIT_TEST(unknown_run_was_forgotten_when_another_worker_listed_one_too);
    CPPUNIT_TEST(unknown_run_beside_another_of_its_task_used_no_capacity);
    CPPUNIT_TEST(task_was_placed_beside_an_unknown_run_when_its_start_was_refused);
    CPPUNIT_TEST(unknown_run_beside_another_is_over_when_the_lease_has_lapsed);
    CPPUNIT_TEST(start_without_an_answer_was_given_up_when_its_lease_lapsed);
    CPPUNIT_TEST(start_without_an_answer_was_given_up_since_its_vm_was_down);
    CPPUNIT_TEST(start_without_an_answer_is_over_when_its_worker_is_gone_for_good);
    CPPUNIT_TEST(task_was_started_again_after_an_end_that_may_have_been_successful);
    CPPUNIT_TEST(worker_that_is_down_got_work_by_an_answer_from_before);
    CPPUNIT_TEST(start_was_sent_long_after_its_record_tells);
    CPPUNIT_TEST(worker_whose_list_ruled_a_start_out_was_not_asked_after_its_next_restart);
    CPPUNIT_TEST(crash_was_counted_again_by_each_list_of_vms);
    CPPUNIT_TEST(worker_met_again_got_the_token_of_orders_that_were_under_way);
    CPPUNIT_TEST(answer_to_a_hold_of_an_earlier_session_made_the_owner_resign);
    CPPUNIT_TEST(answer_to_a_hold_of_an_earlier_session_confirmed_the_present_token);
    CPPUNIT_TEST(answer_to_a_start_of_an_earlier_session_made_the_owner_resign);
    CPPUNIT_TEST(answer_to_a_stop_of_an_earlier_session_made_the_owner_resign);
    CPPUNIT_TEST_SUITE_END();

    owner_fixture m_owner;

public:
    void run_without_progress_is_stopped()
    {
        m_owner.start_run();
        m_owner.answer_hold(first_birth_ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_owner.m_stops.size());
    }

    // The stop reached the run that the new incarnation had begun under the same number.
    void run_was_stopped_as_stalled_by_the_answer_of_a_former_incarnation()
    {
        m_owner.start_run();
        m_owner.pass(milliseconds{10});
        m_owner.m_scheduler->worker_listed(report_of(second_birth_ms), m_owner.m_now);
        m_owner.answer_hold(first_birth_ms);
        CPPUNIT_ASSERT(m_owner.m_stops.empty());
    }

    // Orders that were under way at a restart have a lower token than the holds after it.
    void owner_gave_up_since_a_worker_refused_its_own_lower_token()
    {
        m_owner.start_run();
        const auto token = m_owner.m_holds.back().m_fence;
        m_owner.answer_hold(second_birth_ms);
        m_owner.m_scheduler->tick(m_owner.m_now);
        CPPUNIT_ASSERT(m_owner.m_holds.back().m_fence > token);
        const auto& [to, order] = m_owner.m_starts.at(0);
        m_owner.m_scheduler->start_answered({to.m_instance, order.m_fence}, order.m_key,
                                            order.m_run, {order_result::fenced, std::nullopt},
                                            m_owner.m_now);
        CPPUNIT_ASSERT(!m_owner.m_deposed);
        hold_answer fenced;
        fenced.m_result = order_result::fenced;
        m_owner.m_scheduler->hold_answered(
            {{"i-1", second_birth_ms}, m_owner.m_holds.back().m_fence}, fenced, m_owner.m_held_at,
            m_owner.m_now);
        CPPUNIT_ASSERT(m_owner.m_deposed);
    }

    // The new run took over the capacity of the one that was still there.
    void task_was_started_beside_a_run_of_it_that_was_being_stopped()
    {
        m_owner.submit();
        const auto starts_before_the_end = m_owner.list_unknown_run({job_id, {0, 0, 0}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_owner.m_stops.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, starts_before_the_end);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_owner.m_starts.size());
    }

    // The new run of the member took over the capacity of the one that was still there.
    void gang_was_started_beside_a_run_of_it_that_was_being_stopped()
    {
        m_owner.submit(2, true);
        const auto starts_before_the_end = m_owner.list_unknown_run({job_id, {0, 0, 1}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_owner.m_stops.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, starts_before_the_end);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_owner.m_starts.size());
    }

    void unknown_run_was_forgotten_when_another_worker_listed_one_too()
    {
        const run_key key{job_id, {0, 0, 0}};
        m_owner.add_worker("i-2");
        m_owner.submit();
        m_owner.answer_hold_with({{key, 7, "", 10, 0}}, {});
        m_owner.answer_hold_with({{key, 8, "", 10, 0}}, {}, first_birth_ms, "i-2");
        m_owner.pass(milliseconds{200});
        m_owner.answer_hold_with({}, {{1, key, 8, run_end::stopped, ""}}, first_birth_ms, "i-2");
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_owner.count_starts_after_write());
        m_owner.answer_hold_with({}, {{1, key, 7, run_end::stopped, ""}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_owner.count_starts_after_write());
    }

    void unknown_run_beside_another_of_its_task_used_no_capacity()
    {
        const run_key key{job_id, {0, 0, 0}};
        m_owner.submit();
        m_owner.answer_hold_with({{key, 7, "", 10, 0}, {key, 8, "", 10, 0}}, {});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2'000}, m_owner.used_cpu_millis("i-1"));
        m_owner.pass(milliseconds{200});
        m_owner.answer_hold_with({{key, 8, "", 10, 0}}, {{1, key, 7, run_end::stopped, ""}});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'000}, m_owner.used_cpu_millis("i-1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_owner.count_starts_after_write());
        m_owner.pass(milliseconds{200});
        m_owner.answer_hold_with({}, {{2, key, 8, run_end::stopped, ""}});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, m_owner.used_cpu_millis("i-1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_owner.count_starts_after_write());
    }

    void task_was_placed_beside_an_unknown_run_when_its_start_was_refused()
    {
        m_owner.add_worker("i-2");
        m_owner.submit();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_owner.count_starts_after_write());
        const auto [to, order] = m_owner.m_starts.at(0);
        const auto& worker = to.m_instance.m_worker;
        m_owner.answer_hold_with({{order.m_key, 7, "", 10, 0}}, {}, first_birth_ms, worker);
        m_owner.m_scheduler->start_answered({to.m_instance, order.m_fence}, order.m_key,
                                            order.m_run, {order_result::no_room, std::nullopt},
                                            m_owner.m_now);
        CPPUNIT_ASSERT(!m_owner.task_is_placed());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_owner.count_starts_after_write());
        m_owner.pass(milliseconds{200});
        m_owner.answer_hold_with({}, {}, first_birth_ms, worker);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_owner.count_starts_after_write());
    }

    void unknown_run_beside_another_is_over_when_the_lease_has_lapsed()
    {
        const run_key key{job_id, {0, 0, 0}};
        m_owner.submit();
        m_owner.answer_hold_with({{key, 7, "", 10, 0}, {key, 8, "", 10, 0}}, {});
        m_owner.stay_silent_for(lease_options{}.m_predecessor_grace + lease_options{}.m_max_lease +
                                milliseconds{1'000});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, m_owner.used_cpu_millis("i-1"));
    }

    // The next incarnation of the worker carried the start out while the task ran elsewhere.
    void start_without_an_answer_was_given_up_when_its_lease_lapsed()
    {
        m_owner.start_without_answer();
        m_owner.m_scheduler->worker_unlisted("i-1", m_owner.m_now);
        m_owner.stay_silent_for(lease_options{}.m_longest_order_delay);
        CPPUNIT_ASSERT(m_owner.task_is_placed());
        m_owner.stay_silent_for(lease_options{}.m_max_lease + milliseconds{1'000});
        CPPUNIT_ASSERT(!m_owner.task_is_placed());
    }

    void start_without_an_answer_was_given_up_since_its_vm_was_down()
    {
        m_owner.start_without_answer();
        m_owner.stay_silent_for(milliseconds{1'000});
        m_owner.m_scheduler->worker_ended("i-1", vm_fate::down, m_owner.m_now.m_at, m_owner.m_now);
        CPPUNIT_ASSERT(m_owner.task_is_placed());
        m_owner.stay_silent_for(lease_options{}.m_longest_order_delay);
        m_owner.m_scheduler->worker_ended("i-1", vm_fate::down, m_owner.m_now.m_at, m_owner.m_now);
        CPPUNIT_ASSERT(!m_owner.task_is_placed());
    }

    void start_without_an_answer_is_over_when_its_worker_is_gone_for_good()
    {
        m_owner.start_without_answer();
        m_owner.stay_silent_for(milliseconds{1'000});
        m_owner.m_scheduler->worker_ended("i-1", vm_fate::gone, m_owner.m_now.m_at, m_owner.m_now);
        CPPUNIT_ASSERT(!m_owner.task_is_placed());
    }

    // The end was acknowledged, and its run counted as lost.
    void task_was_started_again_after_an_end_that_may_have_been_successful()
    {
        m_owner.submit();
        m_owner.write();
        const auto [to, order] = m_owner.m_starts.at(0);
        m_owner.m_scheduler->start_answered({to.m_instance, order.m_fence}, order.m_key,
                                            order.m_run, {order_result::accepted, std::nullopt},
                                            m_owner.m_now);
        const auto list_end = [this, &order = order] {
            m_owner.pass(milliseconds{300});
            m_owner.m_scheduler->tick(m_owner.m_now);
            hold_answer answer;
            answer.m_result = order_result::accepted;
            answer.m_born_ms = first_birth_ms;
            answer.m_clock_ms = m_owner.m_now.m_unix_ms;
            if (m_owner.m_holds.back().m_last_end == 0) {
                answer.m_unreadable = 1;
                answer.m_unreadable_end = 1;
                answer.m_unclear_ends = {{1, order.m_key, order.m_run}};
            }
            m_owner.m_scheduler->hold_answered(
                {{"i-1", first_birth_ms}, m_owner.m_holds.back().m_fence}, answer,
                m_owner.m_held_at, m_owner.m_now);
            m_owner.write();
        };
        for (int listed = 0; listed < 4; ++listed) {
            list_end();
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_owner.m_holds.back().m_last_end);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_owner.m_starts.size());
            CPPUNIT_ASSERT(m_owner.task_is_placed());
        }
        const job_call cancel{call_kind::cancel, "host", "/queue/0123456789abcdef", std::nullopt};
        m_owner.m_scheduler->take_call(2, cancel, m_owner.m_now);
        m_owner.write();
        list_end();
        list_end();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the task can't start again", std::uint64_t{1},
                                     m_owner.m_holds.back().m_last_end);
    }

    // The answer was the former incarnation's, and the task waited until its lease had lapsed.
    void worker_that_is_down_got_work_by_an_answer_from_before()
    {
        m_owner.start_run();
        m_owner.answer_hold(first_birth_ms);
        m_owner.pass(milliseconds{200});
        m_owner.m_scheduler->tick(m_owner.m_now);
        const auto hold = m_owner.m_holds.back();
        m_owner.pass(milliseconds{10});
        m_owner.m_scheduler->worker_ended("i-1", vm_fate::down, m_owner.m_now.m_at, m_owner.m_now);
        hold_answer answer;
        answer.m_result = order_result::accepted;
        answer.m_born_ms = first_birth_ms;
        answer.m_clock_ms = m_owner.m_now.m_unix_ms;
        answer.m_running = m_owner.running_on("i-1");
        m_owner.answer_late(hold, answer);
        const auto* session = m_owner.m_scheduler->mutable_state().find_worker("i-1");
        CPPUNIT_ASSERT(!session->takes_work(m_owner.m_now.m_at));
        CPPUNIT_ASSERT(session->empty());
        m_owner.pass(milliseconds{1'000});
        m_owner.answer_hold_with({}, {}, second_birth_ms);
        m_owner.pass(milliseconds{200});
        m_owner.answer_hold_with({}, {}, second_birth_ms);
        CPPUNIT_ASSERT(session->token_confirmed());
    }

    // Its next incarnation then carried out what was meant for the former one.
    void worker_met_again_got_the_token_of_orders_that_were_under_way()
    {
        m_owner.m_scheduler->worker_unlisted("i-1", m_owner.m_now);
        m_owner.m_scheduler->tick(m_owner.m_now);
        const auto token = m_owner.m_holds.back().m_fence;
        m_owner.m_scheduler->worker_listed(report_of(second_birth_ms), m_owner.m_now);
        m_owner.m_scheduler->tick(m_owner.m_now);
        CPPUNIT_ASSERT(m_owner.m_holds.back().m_fence > token);
    }

    void answer_to_a_hold_of_an_earlier_session_made_the_owner_resign()
    {
        const auto earlier = m_owner.send_hold_in_an_earlier_session();
        hold_answer fenced;
        fenced.m_result = order_result::fenced;
        m_owner.answer_late(earlier, fenced);
        CPPUNIT_ASSERT(!m_owner.m_deposed);
        m_owner.answer_late(m_owner.m_holds.back(), fenced);
        CPPUNIT_ASSERT(m_owner.m_deposed);
    }

    // What was still under way with the earlier token could then be carried out.
    void answer_to_a_hold_of_an_earlier_session_confirmed_the_present_token()
    {
        const auto earlier = m_owner.send_hold_in_an_earlier_session();
        hold_answer accepted;
        accepted.m_result = order_result::accepted;
        accepted.m_born_ms = first_birth_ms;
        m_owner.answer_late(earlier, accepted);
        const auto* session = m_owner.m_scheduler->mutable_state().find_worker("i-1");
        CPPUNIT_ASSERT(!session->token_confirmed());
        m_owner.answer_late(m_owner.m_holds.back(), accepted);
        CPPUNIT_ASSERT(session->token_confirmed());
    }

    // The worker listed the run again, and had seen the token of the present session.
    void answer_to_a_start_of_an_earlier_session_made_the_owner_resign()
    {
        const auto [to, order] = m_owner.meet_again_with_a_run();
        m_owner.answer_hold_with({{order.m_key, order.m_run, "", 10, 0}}, {});
        m_owner.answer_start(to, order, order_result::fenced);
        CPPUNIT_ASSERT(!m_owner.m_deposed);
    }

    void answer_to_a_stop_of_an_earlier_session_made_the_owner_resign()
    {
        const auto [to, order] = m_owner.meet_again_with_a_run();
        m_owner.answer_hold_with({{order.m_key, order.m_run, "", 10, 0}}, {});
        const auto earlier = m_owner.m_stops.back();
        m_owner.m_scheduler->worker_ended("i-1", vm_fate::gone, m_owner.m_now.m_at, m_owner.m_now);
        m_owner.pass(milliseconds{200});
        m_owner.answer_hold_with({}, {});
        m_owner.meet_again();
        m_owner.answer_hold_with({{order.m_key, order.m_run, "", 10, 0}}, {});
        m_owner.answer_stop(to, earlier, order_result::fenced);
        CPPUNIT_ASSERT(!m_owner.m_deposed);
        m_owner.answer_stop(to, m_owner.m_stops.back(), order_result::fenced);
        CPPUNIT_ASSERT(m_owner.m_deposed);
    }

    // The next incarnation got the late start long before its entry showed that it was there.
    void worker_whose_list_ruled_a_start_out_was_not_asked_after_its_next_restart()
    {
        m_owner.start_without_answer();
        const auto token = m_owner.m_starts.back().second.m_fence;
        m_owner.pass(milliseconds{2'000});
        m_owner.answer_hold_with({}, {}, second_birth_ms);
        m_owner.answer_hold_with({}, {}, second_birth_ms);
        CPPUNIT_ASSERT(!m_owner.task_is_placed());
        m_owner.m_scheduler->worker_unlisted("i-1", m_owner.m_now);
        m_owner.pass(milliseconds{300});
        const auto holds = m_owner.m_holds.size();
        m_owner.m_scheduler->tick(m_owner.m_now);
        CPPUNIT_ASSERT_EQUAL(holds + 1, m_owner.m_holds.size());
        CPPUNIT_ASSERT(m_owner.m_holds.back().m_fence > token);
        m_owner.stay_silent_for(lease_options{}.m_longest_order_delay);
        CPPUNIT_ASSERT(m_owner.m_scheduler->mutable_state().find_worker("i-1") == nullptr);
    }

    // A successor counted the time for which the start is open from the record.
    void start_was_sent_long_after_its_record_tells()
    {
        m_owner.submit();
        const auto batch = m_owner.m_scheduler->take_batch(m_owner.m_now);
        m_owner.pass(milliseconds{5'000});
        m_owner.m_scheduler->written(batch, m_owner.m_now);
        CPPUNIT_ASSERT(m_owner.m_starts.empty());
        CPPUNIT_ASSERT(!m_owner.task_is_placed());
        m_owner.write();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_owner.m_starts.size());
    }

    // Crashes that no start explains lower the weight of those that a task on trial causes.
    void crash_was_counted_again_by_each_list_of_vms()
    {
        m_owner.start_without_answer();
        m_owner.stay_silent_for(milliseconds{1'000});
        m_owner.add_worker("i-2");
        step_spec step;
        step.m_count = 1;
        step.m_task_resources.m_cpu_millis = 1'000;
        step.m_estimate = milliseconds{100};
        const std::string deadly{"00000000000000aa"};
        m_owner.submit_step(deadly, step);
        for (int crash = 0; crash < 2; ++crash) {
            m_owner.m_scheduler->worker_ended("i-1", vm_fate::down, m_owner.m_now.m_at,
                                              m_owner.m_now);
            m_owner.write();
            const auto [to, order] = m_owner.m_starts.back();
            CPPUNIT_ASSERT_EQUAL(deadly, order.m_key.m_job);
            m_owner.answer_start(to, order, order_result::accepted);
            m_owner.pass(milliseconds{10});
            m_owner.m_scheduler->worker_ended("i-2", vm_fate::down, m_owner.m_now.m_at,
                                              m_owner.m_now);
            m_owner.pass(milliseconds{4'000});
            m_owner.answer_hold_with({}, {}, first_birth_ms, "i-2");
            m_owner.pass(milliseconds{100});
        }
        const auto* given_up = m_owner.m_scheduler->mutable_state().m_job_store.find(deadly);
        CPPUNIT_ASSERT(given_up->phase() == job_phase::failed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(run_tracker_test);

} // namespace peridotrudder
