#include "peridotrudder/scheduling/copy_placement.hpp"

#include "property.hpp"
#include "scheduling/fleet_simulation.hpp"
#include "scheduling/owner_fixture.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

constexpr std::uint32_t copies_percent = 50;
constexpr std::uint32_t original = 1;
constexpr std::uint32_t copy = 2;
const run_key only_task{job_id, {0, 0, 0}};
constexpr milliseconds settling_time{40'000};
/// The same where the longest term of a worker below full, with its probation, comes first.
constexpr milliseconds graded_settling_time{settling_time + milliseconds{84'000}};

/// An owner of two workers. Its job's one task runs on the first and is late.
struct late_run_fixture : owner_fixture {
    std::map<std::string, std::vector<std::uint8_t>> m_journal;
    std::vector<queue_config> m_queues{queue_at("/queue/")};

    explicit late_run_fixture(std::uint32_t percent = copies_percent) : owner_fixture{percent}
    {
        m_queues.front().m_attempts = 3;
        m_queues.front().m_target = milliseconds{2'000};
        set_config(m_queues, {});
        add_worker("i-2");
    }

    void submit_task()
    {
        step_spec step;
        step.m_speculative = true;
        submit_step(job_id, step);
    }

    /// Writes to the journal, without the effects of it.
    write_batch record()
    {
        auto batch = m_scheduler->take_batch(m_now);
        for (const auto& entry : batch.m_records) {
            if (entry.m_value) {
                m_journal[entry.m_key] = *entry.m_value;
            }
        }
        return batch;
    }

    void write_through() { m_scheduler->written(record(), m_now); }

    /// Starts the task and lets its worker report hardly any progress.
    void make_late()
    {
        submit_task();
        write_through();
        confirm_late();
    }

    void confirm_late()
    {
        answer_start(m_starts.back().first, m_starts.back().second, order_result::accepted);
        pass(milliseconds{200});
        list_run("i-1", original);
        pass(milliseconds{100});
        m_scheduler->tick(m_now);
    }

    /// Makes the task late and starts its copy on the second worker.
    void start_copy()
    {
        make_late();
        write_through();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_starts.size());
    }

    void confirm_copy()
    {
        answer_start(m_starts.at(1).first, m_starts.at(1).second, order_result::accepted);
        pass(milliseconds{100});
        list_run("i-2", copy);
        pass(milliseconds{100});
    }

    void list_run(const std::string& worker, std::uint32_t run)
    {
        answer_hold_with({{only_task, run, "", 1, 0}}, {}, first_birth_ms, worker);
    }

    void end_run_on(const std::string& worker, std::uint32_t run, run_end end,
                    std::uint64_t number = 1)
    {
        answer_hold_with({}, {{number, only_task, run, end, ""}}, first_birth_ms, worker);
    }

    const task& state()
    {
        return m_scheduler->mutable_state().m_job_store.find(job_id)->at({0, 0, 0});
    }

    job_phase phase() { return m_scheduler->mutable_state().m_job_store.find(job_id)->phase(); }

    std::size_t logged(const std::string& event) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_log.begin(), m_log.end(),
                          [&event](const auto& entry) { return entry.first == event; }));
    }

    /// Stops the run that the newest stop is for, by the answer and by a list of the worker.
    bool has_stop_of(std::uint32_t run) const
    {
        return std::any_of(m_stops.begin(), m_stops.end(),
                           [run](const stop_order& order) { return order.m_run == run; });
    }

    /// Replaces the owner by one that has read the journal.
    void change_owner()
    {
        std::vector<keyed_record> records;
        for (const auto& [key, value] : m_journal) {
            records.push_back({key, value, 0});
        }
        restore_report report;
        m_options.m_fence = first_token(2);
        m_scheduler = job_scheduler::create(m_options, make_ports(),
                                            job_store::restore(records, report), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.m_jobs);
        set_config(m_queues, {});
        m_scheduler->worker_listed(report_of(first_birth_ms, "i-1"), m_now);
        m_scheduler->worker_listed(report_of(first_birth_ms, "i-2"), m_now);
        m_scheduler->begin(m_now);
    }
};

/// The same with graded workers.
struct graded_late_run_fixture : late_run_fixture {
    graded_late_run_fixture() { m_scheduler->mutable_state().m_options.m_graded_health = true; }

    worker_grades& grades()
    {
        auto& pool = m_scheduler->mutable_state().m_grades["pool"];
        pool.set_pool_size(2);
        return pool;
    }

    void lower(const std::string& worker, worker_grade grade)
    {
        if (grade == worker_grade::reduced) {
            grades().run_failed(worker, "one", m_now.m_at);
            grades().run_failed(worker, "another", m_now.m_at);
        }
        else {
            grades().went_down(worker, m_now.m_at);
            grades().went_down(worker, m_now.m_at);
        }
        if (grade == worker_grade::probation) {
            grades().advance(m_now.m_at + milliseconds{8'000});
        }
        CPPUNIT_ASSERT(grades().grade_of(worker) == grade);
    }
};

tenant_directory acme_with(std::int64_t cpu_millis)
{
    tenant_config tenant;
    tenant.m_name = "acme";
    tenant.m_key_digests = {"acme"};
    tenant.m_quota.m_cpu_millis = cpu_millis;
    return tenant_directory::create({tenant});
}

/// Applies one random action of a history with late starts, restarts and takeovers.
void apply_copies_action(fleet_simulation& simulation, int action, std::uint32_t number)
{
    const milliseconds lateness{2'000 + number % 10 * 1'000};
    const milliseconds down{10 + number % 9 * 1'000};
    switch (action) {
    case 16:
        simulation.hold_up_orders(milliseconds{50 + number % 5 * 50}, lateness,
                                  lateness + milliseconds{2'000});
        return;
    case 17:
        simulation.change_owner(number % 2 == 0, milliseconds{number % 5 * 200},
                                milliseconds{number % 700});
        return;
    case 18:
        simulation.crash(number, down, milliseconds{number % 4 * 500}, number % 5 == 0);
        return;
    case 19:
        simulation.crash_until_forgotten(number, down, milliseconds{number % 4 * 500});
        return;
    default:
        apply_action(simulation, action, number);
        return;
    }
}

} // namespace

class copy_placement_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(copy_placement_test);
    CPPUNIT_TEST(late_run_gets_a_copy_on_another_worker);
    CPPUNIT_TEST(success_of_the_copy_stops_the_original);
    CPPUNIT_TEST(success_of_the_original_stops_the_copy);
    CPPUNIT_TEST(failed_copy_counts_and_leaves_the_original);
    CPPUNIT_TEST(last_allowed_failure_stops_the_other_run);
    CPPUNIT_TEST(cancelled_job_stops_both_runs);
    CPPUNIT_TEST(task_that_waits_keeps_its_room_from_copies);
    CPPUNIT_TEST(copy_of_a_task_that_was_done_meanwhile_is_not_sent);
    CPPUNIT_TEST(owner_lost_between_the_record_of_a_copy_and_its_start);
    CPPUNIT_TEST(successor_stops_a_running_copy_and_starts_no_other);
    CPPUNIT_TEST(copy_that_a_successor_stops_is_no_attempt);
    CPPUNIT_TEST(stop_of_the_slower_run_is_not_answered);
    CPPUNIT_TEST(worker_of_the_original_is_lost_while_the_copy_runs);
    CPPUNIT_TEST(worker_of_the_copy_is_lost);
    CPPUNIT_TEST(copy_is_started_late_after_the_success);
    CPPUNIT_TEST(tenant_at_its_quota_gets_no_copy);
    CPPUNIT_TEST(room_that_a_copy_takes_is_not_offered_to_new_jobs);
    CPPUNIT_TEST(quota_is_lowered_while_a_copy_is_recorded);
    CPPUNIT_TEST(ticket_of_a_copy_expires);
    CPPUNIT_TEST(default_options_start_no_copy);
    CPPUNIT_TEST(copy_goes_to_no_worker_below_full);
    CPPUNIT_TEST(run_stopped_for_the_other_does_not_lower_its_worker);
    CPPUNIT_TEST(run_stopped_for_the_other_does_not_eject_its_worker);
    CPPUNIT_TEST(copy_that_fails_by_itself_lowers_its_worker);
    CPPUNIT_TEST(invariants_hold_in_any_history_with_copies);
    CPPUNIT_TEST(invariants_hold_in_any_history_with_copies_and_grades);
    CPPUNIT_TEST(invariants_hold_in_any_history_of_forgotten_workers_with_copies);
    CPPUNIT_TEST_SUITE_END();

public:
    void late_run_gets_a_copy_on_another_worker()
    {
        late_run_fixture owner;
        owner.start_copy();
        const auto& [to, order] = owner.m_starts.at(1);
        CPPUNIT_ASSERT_EQUAL(std::string{"i-2"}, to.m_instance.m_worker);
        CPPUNIT_ASSERT_EQUAL(copy, order.m_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.logged("copy_started"));
        owner.confirm_copy();
        owner.m_scheduler->tick(owner.m_now);
        owner.write_through();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("one copy only", std::size_t{2}, owner.m_starts.size());
    }

    void success_of_the_copy_stops_the_original()
    {
        late_run_fixture owner;
        owner.start_copy();
        owner.confirm_copy();
        owner.end_run_on("i-2", copy, run_end::done);
        CPPUNIT_ASSERT(owner.phase() == job_phase::completed);
        CPPUNIT_ASSERT(owner.has_stop_of(original));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.logged("copy_won"));
        owner.pass(milliseconds{100});
        owner.end_run_on("i-1", original, run_end::stopped);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, owner.used_cpu_millis("i-1"));
        owner.write_through();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owner.m_starts.size());
    }

    void success_of_the_original_stops_the_copy()
    {
        late_run_fixture owner;
        owner.start_copy();
        owner.confirm_copy();
        owner.end_run_on("i-1", original, run_end::done);
        CPPUNIT_ASSERT(owner.phase() == job_phase::completed);
        CPPUNIT_ASSERT(owner.has_stop_of(copy));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.logged("copy_lost"));
    }

    void failed_copy_counts_and_leaves_the_original()
    {
        late_run_fixture owner;
        owner.start_copy();
        owner.confirm_copy();
        owner.end_run_on("i-2", copy, run_end::failed);
        CPPUNIT_ASSERT_EQUAL(1U, owner.state().m_failures);
        CPPUNIT_ASSERT_EQUAL(original, owner.state().m_run);
        CPPUNIT_ASSERT(owner.task_is_placed());
        owner.pass(milliseconds{100});
        owner.end_run_on("i-1", original, run_end::failed);
        owner.write_through();
        CPPUNIT_ASSERT_EQUAL(3U, owner.m_starts.at(2).second.m_run);
    }

    // The original would go on beside a failed job, and end as a run that nobody stops.
    void last_allowed_failure_stops_the_other_run()
    {
        late_run_fixture owner;
        owner.start_copy();
        owner.confirm_copy();
        owner.m_queues.front().m_attempts = 1;
        owner.set_config(owner.m_queues, {});
        owner.end_run_on("i-2", copy, run_end::failed);
        CPPUNIT_ASSERT(owner.phase() == job_phase::failed);
        CPPUNIT_ASSERT(owner.has_stop_of(original));
        owner.write_through();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owner.m_starts.size());
    }

    void cancelled_job_stops_both_runs()
    {
        late_run_fixture owner;
        owner.start_copy();
        owner.confirm_copy();
        owner.m_scheduler->take_call(
            2, {call_kind::cancel, "host", "/queue/" + job_id, std::nullopt, std::nullopt},
            owner.m_now);
        CPPUNIT_ASSERT(owner.has_stop_of(original));
        CPPUNIT_ASSERT(owner.has_stop_of(copy));
    }

    void task_that_waits_keeps_its_room_from_copies()
    {
        late_run_fixture owner;
        owner.make_late();
        // One more member than there is room for.
        step_spec step;
        step.m_count = 8;
        step.m_gang = true;
        owner.submit_step("00000000000000aa", step);
        owner.write_through();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.m_starts.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, owner.logged("copy_started"));
    }

    void copy_of_a_task_that_was_done_meanwhile_is_not_sent()
    {
        late_run_fixture owner;
        owner.make_late();
        const auto batch = owner.record();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.logged("copy_started"));
        owner.pass(milliseconds{100});
        owner.end_run_on("i-1", original, run_end::done);
        owner.m_scheduler->written(batch, owner.m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.m_starts.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, owner.used_cpu_millis("i-2"));
    }

    // Its number is used up: the predecessor may have sent the start.
    void owner_lost_between_the_record_of_a_copy_and_its_start()
    {
        late_run_fixture owner;
        owner.make_late();
        owner.record();
        owner.change_owner();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the copy counts until it is over", std::int64_t{1'000},
                                     owner.used_cpu_millis("i-2"));
        owner.m_scheduler->tick(owner.m_now);
        CPPUNIT_ASSERT(owner.has_stop_of(copy));
        owner.list_run("i-1", original);
        owner.pass(milliseconds{200});
        owner.answer_hold_with({}, {}, first_birth_ms, "i-2");
        owner.pass(milliseconds{200});
        owner.answer_hold_with({}, {}, first_birth_ms, "i-2");
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, owner.used_cpu_millis("i-2"));
        owner.write_through();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.m_starts.size());
        owner.pass(milliseconds{200});
        owner.end_run_on("i-1", original, run_end::failed);
        owner.write_through();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owner.m_starts.size());
        CPPUNIT_ASSERT_EQUAL(3U, owner.m_starts.at(1).second.m_run);
    }

    void successor_stops_a_running_copy_and_starts_no_other()
    {
        late_run_fixture owner;
        owner.start_copy();
        owner.confirm_copy();
        owner.change_owner();
        owner.list_run("i-1", original);
        owner.list_run("i-2", copy);
        owner.m_scheduler->tick(owner.m_now);
        CPPUNIT_ASSERT(owner.has_stop_of(copy));
        CPPUNIT_ASSERT(!owner.has_stop_of(original));
        owner.pass(milliseconds{200});
        owner.end_run_on("i-2", copy, run_end::stopped);
        CPPUNIT_ASSERT_EQUAL(original, owner.state().m_run);
        owner.pass(milliseconds{2'000});
        owner.m_scheduler->tick(owner.m_now);
        owner.write_through();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owner.m_starts.size());
    }

    // Workers may list a run that was stopped as failed, which used up an attempt of the task.
    void copy_that_a_successor_stops_is_no_attempt()
    {
        late_run_fixture owner;
        owner.start_copy();
        owner.confirm_copy();
        owner.change_owner();
        owner.list_run("i-1", original);
        owner.list_run("i-2", copy);
        owner.m_scheduler->tick(owner.m_now);
        CPPUNIT_ASSERT(owner.has_stop_of(copy));
        owner.pass(milliseconds{200});
        owner.end_run_on("i-2", copy, run_end::failed);
        CPPUNIT_ASSERT_EQUAL(original, owner.state().m_run);
        CPPUNIT_ASSERT_EQUAL(0U, owner.state().m_failures);
    }

    void stop_of_the_slower_run_is_not_answered()
    {
        late_run_fixture owner;
        owner.start_copy();
        owner.confirm_copy();
        owner.end_run_on("i-2", copy, run_end::done);
        CPPUNIT_ASSERT(owner.phase() == job_phase::completed);
        const auto stops = owner.m_stops.size();
        owner.answer_stop(owner.m_starts.at(0).first, owner.m_stops.back(),
                          order_result::unanswered);
        owner.pass(milliseconds{400});
        owner.m_scheduler->tick(owner.m_now);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the stop is sent again", stops + 1, owner.m_stops.size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the run counts until it is over", std::int64_t{1'000},
                                     owner.used_cpu_millis("i-1"));
        owner.end_run_on("i-1", original, run_end::stopped);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, owner.used_cpu_millis("i-1"));
    }

    void worker_of_the_original_is_lost_while_the_copy_runs()
    {
        late_run_fixture owner;
        owner.start_copy();
        owner.confirm_copy();
        owner.m_scheduler->worker_ended("i-1", vm_fate::down, owner.m_now.m_at, owner.m_now);
        CPPUNIT_ASSERT_EQUAL(copy, owner.state().m_run);
        CPPUNIT_ASSERT(owner.state().m_placed_on == (worker_instance{"i-2", first_birth_ms}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.logged("copy_kept"));
        owner.write_through();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owner.m_starts.size());
        owner.end_run_on("i-2", copy, run_end::done);
        CPPUNIT_ASSERT(owner.phase() == job_phase::completed);
    }

    void worker_of_the_copy_is_lost()
    {
        late_run_fixture owner;
        owner.start_copy();
        owner.confirm_copy();
        owner.m_scheduler->worker_ended("i-2", vm_fate::down, owner.m_now.m_at, owner.m_now);
        CPPUNIT_ASSERT_EQUAL(original, owner.state().m_run);
        CPPUNIT_ASSERT(!owner.state().m_copy);
        owner.write_through();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owner.m_starts.size());
    }

    void copy_is_started_late_after_the_success()
    {
        late_run_fixture owner;
        owner.start_copy();
        owner.pass(milliseconds{700});
        owner.answer_start(owner.m_starts.at(1).first, owner.m_starts.at(1).second,
                           order_result::unanswered);
        owner.end_run_on("i-1", original, run_end::done);
        CPPUNIT_ASSERT(owner.phase() == job_phase::completed);
        CPPUNIT_ASSERT(owner.has_stop_of(copy));
        const auto stops = owner.m_stops.size();
        owner.answer_stop(owner.m_starts.at(1).first, owner.m_stops.back(),
                          order_result::unanswered);
        owner.pass(milliseconds{400});
        owner.list_run("i-2", copy);
        owner.m_scheduler->tick(owner.m_now);
        CPPUNIT_ASSERT(owner.m_stops.size() > stops);
        owner.pass(milliseconds{200});
        owner.end_run_on("i-2", copy, run_end::stopped);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, owner.used_cpu_millis("i-2"));
        owner.write_through();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owner.m_starts.size());
    }

    // Its copies would be recorded and withdrawn again and again.
    void tenant_at_its_quota_gets_no_copy()
    {
        late_run_fixture owner;
        owner.set_config(owner.m_queues, acme_with(1'000));
        owner.m_key_digest = "acme";
        owner.make_late();
        owner.write_through();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, owner.logged("copy_started"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, owner.logged("quota_wait_begun"));
    }

    // A job would be accepted for a worker that is not free.
    void room_that_a_copy_takes_is_not_offered_to_new_jobs()
    {
        late_run_fixture owner;
        owner.set_config(owner.m_queues, acme_with(2'000));
        owner.m_key_digest = "acme";
        owner.start_copy();
        for (const auto& free : owner.m_scheduler->state().m_free_workers.at("pool")) {
            CPPUNIT_ASSERT_EQUAL(std::int64_t{3'000}, free.m_room.m_cpu_millis);
        }
    }

    void quota_is_lowered_while_a_copy_is_recorded()
    {
        late_run_fixture owner;
        owner.set_config(owner.m_queues, acme_with(2'000));
        owner.m_key_digest = "acme";
        owner.make_late();
        const auto batch = owner.record();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.logged("copy_started"));
        owner.set_config(owner.m_queues, acme_with(1'000));
        owner.m_scheduler->written(batch, owner.m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.m_starts.size());
        CPPUNIT_ASSERT(!owner.state().m_copy);
        CPPUNIT_ASSERT_EQUAL(original, owner.state().m_run);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, owner.used_cpu_millis("i-2"));
    }

    void ticket_of_a_copy_expires()
    {
        late_run_fixture owner;
        owner.m_queues.front().m_policy =
            placement_policy{milliseconds{10}, milliseconds{2}, milliseconds{1'500}};
        owner.set_config(owner.m_queues, {});
        owner.submit_task();
        owner.write_through();
        policy_answer answer;
        answer.m_answered = true;
        answer.m_valid = milliseconds{1'500};
        answer.m_granted = {{"i-1", "first"}, {"i-2", "second"}};
        owner.m_scheduler->policy_answered(answer, owner.m_now);
        owner.write_through();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.m_starts.size());
        owner.confirm_late();
        const auto batch = owner.record();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.logged("copy_started"));
        owner.pass(milliseconds{1'500});
        owner.m_scheduler->written(batch, owner.m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.m_starts.size());
        CPPUNIT_ASSERT(!owner.state().m_copy);
        CPPUNIT_ASSERT(owner.task_is_placed());
    }

    // A late run that gets a copy with the fixture's share gets none without the setting.
    void default_options_start_no_copy()
    {
        late_run_fixture owner{scheduler_options{}.m_copies_percent};
        owner.make_late();
        owner.write_through();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.m_starts.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, owner.logged("copy_started"));
        CPPUNIT_ASSERT(owner.m_scheduler->state().m_speculative_jobs.empty());
    }

    // A copy on a worker that fails or is slow would end no sooner than the late run.
    void copy_goes_to_no_worker_below_full()
    {
        for (const auto grade :
             {worker_grade::reduced, worker_grade::out, worker_grade::probation}) {
            graded_late_run_fixture owner;
            owner.submit_task();
            owner.write_through();
            CPPUNIT_ASSERT_EQUAL(std::string{"i-1"},
                                 owner.m_starts.at(0).first.m_instance.m_worker);
            owner.lower("i-2", grade);
            owner.confirm_late();
            owner.write_through();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.m_starts.size());
            owner.add_worker("i-3");
            owner.m_scheduler->tick(owner.m_now);
            owner.write_through();
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owner.m_starts.size());
            CPPUNIT_ASSERT_EQUAL(std::string{"i-3"},
                                 owner.m_starts.at(1).first.m_instance.m_worker);
        }
    }

    // Copies would lower the grades of the workers that they relieve, or that they are stopped on.
    // A worker may list a run that it was told to stop as failed.
    void run_stopped_for_the_other_does_not_lower_its_worker()
    {
        for (const auto end : {run_end::stopped, run_end::failed}) {
            for (const bool copy_wins : {false, true}) {
                graded_late_run_fixture owner;
                const std::string loser{copy_wins ? "i-1" : "i-2"};
                owner.start_copy();
                owner.confirm_copy();
                // A failure of one more job would lower the grade.
                owner.grades().run_failed(loser, "another", owner.m_now.m_at);
                end_one_run_for_the_other(owner, copy_wins, end);
                CPPUNIT_ASSERT(owner.grades().grade_of(loser) == worker_grade::full);
            }
        }
    }

    void run_stopped_for_the_other_does_not_eject_its_worker()
    {
        for (const bool copy_wins : {false, true}) {
            late_run_fixture owner;
            const std::string loser{copy_wins ? "i-1" : "i-2"};
            owner.start_copy();
            owner.confirm_copy();
            auto& health = owner.m_scheduler->mutable_state().health_of("pool");
            health.failed(loser, 2, owner.m_now.m_at);
            end_one_run_for_the_other(owner, copy_wins, run_end::failed);
            CPPUNIT_ASSERT(health.usable(loser, owner.m_now.m_at));
            health.failed(loser, 2, owner.m_now.m_at);
            CPPUNIT_ASSERT(!health.usable(loser, owner.m_now.m_at));
        }
    }

    // Guards against copies that hide failures from the grades.
    void copy_that_fails_by_itself_lowers_its_worker()
    {
        graded_late_run_fixture owner;
        owner.start_copy();
        owner.confirm_copy();
        owner.grades().run_failed("i-2", "another", owner.m_now.m_at);
        owner.end_run_on("i-2", copy, run_end::failed);
        CPPUNIT_ASSERT(owner.grades().grade_of("i-2") == worker_grade::reduced);
        CPPUNIT_ASSERT(owner.task_is_placed());
    }

    void invariants_hold_in_any_history_with_copies()
    {
        std::size_t copies = 0;
        assert_property(
            "two runs at most, rising numbers and progress hold in any history with copies",
            [&copies] {
                fleet_simulation simulation{*rc::gen::arbitrary<std::uint64_t>()};
                simulation.set_policy(*rc::gen::arbitrary<bool>());
                simulation.set_speculative(copies_percent);
                simulation.set_failing(*rc::gen::element(0, 10), 8);
                play_copies_history(simulation, settling_time);
                copies += simulation.events("copy_started");
            });
        CPPUNIT_ASSERT(copies > 0);
    }

    // A copy could keep a task from the worker at full that its last attempt waits for.
    void invariants_hold_in_any_history_with_copies_and_grades()
    {
        std::size_t copies = 0;
        std::size_t changes = 0;
        assert_property("the same in any history with copies and grades", [&copies, &changes] {
            fleet_simulation simulation{*rc::gen::arbitrary<std::uint64_t>()};
            simulation.set_speculative(copies_percent);
            simulation.set_graded(true);
            simulation.set_failing(*rc::gen::element(0, 10), 8);
            play_copies_history(simulation, graded_settling_time);
            copies += simulation.events("copy_started");
            changes += simulation.events("worker_graded");
        });
        CPPUNIT_ASSERT(copies > 0);
        CPPUNIT_ASSERT(changes > 0);
    }

    void invariants_hold_in_any_history_of_forgotten_workers_with_copies()
    {
        assert_property("the same in any history of forgotten workers", [] {
            fleet_simulation simulation{*rc::gen::arbitrary<std::uint64_t>()};
            simulation.set_speculative(copies_percent);
            simulation.keep_former_refusals();
            RC_ASSERT(play_forgetting_history(simulation, *forgetting_actions()) == "");
        });
    }

private:
    static void play_copies_history(fleet_simulation& simulation, milliseconds time)
    {
        simulation.keep_former_refusals();
        simulation.change_owner(false);
        const auto action = rc::gen::inRange(0, 20);
        const auto number = rc::gen::inRange(0U, 1'000U);
        const auto actions = *rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(
            rc::gen::pair(action, number));
        for (const auto& [kind, value] : actions) {
            apply_copies_action(simulation, kind, value);
            simulation.pass(milliseconds{30} * (value % 9 + 1));
            RC_ASSERT(simulation.violation() == "");
        }
        const bool all_completed = simulation.completes_all_jobs(time);
        RC_ASSERT(simulation.violation() == "");
        RC_ASSERT(all_completed);
    }

    /// Lets the copy or the original succeed, and the other run end like this after its stop.
    static void end_one_run_for_the_other(late_run_fixture& owner, bool copy_wins, run_end end)
    {
        const auto [winner, loser] =
            copy_wins ? std::pair{copy, original} : std::pair{original, copy};
        owner.end_run_on(copy_wins ? "i-2" : "i-1", winner, run_end::done);
        CPPUNIT_ASSERT(owner.phase() == job_phase::completed);
        CPPUNIT_ASSERT(owner.has_stop_of(loser));
        owner.pass(milliseconds{100});
        owner.end_run_on(copy_wins ? "i-1" : "i-2", loser, end);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, owner.used_cpu_millis(copy_wins ? "i-1" : "i-2"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(copy_placement_test);

} // namespace peridotrudder
