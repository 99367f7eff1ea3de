#include "scheduling/owner_fixture.hpp"
#include "scheduling/uneven_load.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

constexpr int peaks = 4;
/// In a rack of its own, which one job in ten prefers.
const std::string bad_worker = uneven_load::worker_name(1, 0);

uneven_load_options sound_load()
{
    uneven_load_options options;
    options.m_seed = 3;
    options.m_peak_jobs_per_second = 10.0;
    return options;
}

uneven_load_options with_fault(worker_fault fault)
{
    auto options = sound_load();
    // The first worker of its rack is used most.
    options.m_faults[uneven_load::worker_name(0, 0)] = fault;
    options.m_faults[bad_worker] = fault;
    return options;
}

uneven_load_options on_all(worker_fault fault)
{
    auto options = sound_load();
    for (std::uint32_t rack = 0; rack < options.m_racks; ++rack) {
        for (std::uint32_t index = 0; index < options.m_workers_per_rack; ++index) {
            options.m_faults[uneven_load::worker_name(rack, index)] = fault;
        }
    }
    return options;
}

uneven_load_report replay(uneven_load_options options, bool graded)
{
    options.m_graded_health = graded;
    uneven_load load{options};
    load.play(peaks);
    auto report = load.report();
    CPPUNIT_ASSERT_EQUAL(std::string{}, report.m_violation);
    return report;
}

/// Returns how often workers without a fault were graded lower.
std::size_t lowered_without_fault(const uneven_load_report& report,
                                  const uneven_load_options& options)
{
    std::size_t count = 0;
    for (const auto& [worker, changes] : report.m_grades) {
        count += options.m_faults.count(worker) == 0 ? changes.size() : 0;
    }
    return count;
}

} // namespace

class worker_evidence_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_evidence_test);
    CPPUNIT_TEST(calm_pool_is_not_changed);
    CPPUNIT_TEST(worker_that_fails_nearly_half_of_its_runs_wastes_less);
    CPPUNIT_TEST(more_jobs_end_in_time_beside_a_slow_worker);
    CPPUNIT_TEST(slow_worker_is_graded_though_copies_stop_its_runs);
    CPPUNIT_TEST(flapping_worker_loses_fewer_runs);
    CPPUNIT_TEST(all_workers_failing_at_once_are_used_on);
    CPPUNIT_TEST(full_pool_uses_a_worker_that_fails_nearly_half_of_its_runs);
    CPPUNIT_TEST(estimates_off_by_half_lower_no_grade);
    CPPUNIT_TEST(jobs_that_fail_everywhere_take_no_capacity_away);
    CPPUNIT_TEST(lost_owner_leaves_all_workers_at_full);
    CPPUNIT_TEST(worker_that_is_out_gets_no_work);
    CPPUNIT_TEST(gang_waits_for_workers_at_full);
    CPPUNIT_TEST(long_running_task_waits_for_a_worker_at_full);
    CPPUNIT_TEST(last_attempt_waits_for_a_worker_at_full);
    CPPUNIT_TEST(worker_whose_vm_was_seen_down_twice_stayed_at_full);
    CPPUNIT_TEST(worker_on_probation_gets_one_task_at_a_time);
    CPPUNIT_TEST(running_tasks_outlast_a_lower_grade);
    CPPUNIT_TEST(without_the_setting_nothing_is_graded);
    CPPUNIT_TEST(default_options_consult_no_grade);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against grades that disturb a pool in which nothing is wrong.
    void calm_pool_is_not_changed()
    {
        const auto before = replay(sound_load(), false);
        const auto after = replay(sound_load(), true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, after.events("worker_graded"));
        CPPUNIT_ASSERT_EQUAL(before.m_mean_ms, after.m_mean_ms);
        CPPUNIT_ASSERT_EQUAL(before.m_near_starts, after.m_near_starts);
    }

    void worker_that_fails_nearly_half_of_its_runs_wastes_less()
    {
        const auto options = with_fault({45, 1.0, {}});
        const auto before = replay(options, false);
        const auto after = replay(options, true);
        CPPUNIT_ASSERT(after.m_failed_runs * 4 < before.m_failed_runs);
        CPPUNIT_ASSERT(after.m_wasted_cpu_s * 4 < before.m_wasted_cpu_s);
        CPPUNIT_ASSERT(after.m_in_time_share > before.m_in_time_share);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, lowered_without_fault(after, options));
    }

    void more_jobs_end_in_time_beside_a_slow_worker()
    {
        const auto options = with_fault({0, 3.0, {}});
        const auto before = replay(options, false);
        const auto after = replay(options, true);
        CPPUNIT_ASSERT(after.m_in_time_share > before.m_in_time_share + 0.1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, lowered_without_fault(after, options));
    }

    // Guards against copies that hide a slow worker: those of its runs that lose to a copy are
    // stopped, and are no evidence.
    void slow_worker_is_graded_though_copies_stop_its_runs()
    {
        auto options = with_fault({0, 3.0, {}});
        options.m_speculative = true;
        const auto graded = replay(options, true);
        options.m_copies_percent = 5;
        const auto copied = replay(options, false);
        const auto both = replay(options, true);
        CPPUNIT_ASSERT(both.events("copy_won") > 0);
        CPPUNIT_ASSERT(both.events("copy_started") < copied.events("copy_started"));
        CPPUNIT_ASSERT(both.events("worker_graded") > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, lowered_without_fault(both, options));
        CPPUNIT_ASSERT(both.m_in_time_share > copied.m_in_time_share);
        CPPUNIT_ASSERT(both.m_in_time_share > graded.m_in_time_share);
    }

    void flapping_worker_loses_fewer_runs()
    {
        const auto options = with_fault({0, 1.0, milliseconds{5'000}});
        const auto before = replay(options, false);
        const auto after = replay(options, true);
        CPPUNIT_ASSERT(after.m_failed_runs * 2 < before.m_failed_runs);
        CPPUNIT_ASSERT(after.m_in_time_share >= before.m_in_time_share);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, lowered_without_fault(after, options));
    }

    // Guards against a pool that loses its capacity to a fault which is not its workers'.
    void all_workers_failing_at_once_are_used_on()
    {
        auto options = on_all({45, 1.0, {}});
        options.m_faults_from = milliseconds{9'000};
        options.m_faults_until = milliseconds{12'000};
        const auto before = replay(options, false);
        const auto after = replay(options, true);
        CPPUNIT_ASSERT(after.m_in_time_share > before.m_in_time_share - 0.03);
        CPPUNIT_ASSERT(after.m_failed_runs <= before.m_failed_runs * 11 / 10);
    }

    // Guards against grades that take more capacity than the failures do.
    void full_pool_uses_a_worker_that_fails_nearly_half_of_its_runs()
    {
        auto options = with_fault({45, 1.0, {}});
        options.m_peak_jobs_per_second = 40.0;
        const auto before = replay(options, false);
        const auto after = replay(options, true);
        CPPUNIT_ASSERT(after.m_in_time_share > before.m_in_time_share - 0.03);
        CPPUNIT_ASSERT(after.m_failed_runs * 3 < before.m_failed_runs * 2);
        CPPUNIT_ASSERT(after.m_failed_jobs <= before.m_failed_jobs);
    }

    void estimates_off_by_half_lower_no_grade()
    {
        auto options = sound_load();
        options.m_jobs_differ = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, replay(options, true).events("worker_graded"));
    }

    void jobs_that_fail_everywhere_take_no_capacity_away()
    {
        auto options = sound_load();
        options.m_bad_jobs_percent = 5;
        const auto before = replay(options, false);
        const auto after = replay(options, true);
        CPPUNIT_ASSERT(after.m_in_time_share > before.m_in_time_share - 0.02);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, after.m_failed_jobs);
    }

    // A successor knows no grades; the jobs, and the runs on the worker that was out, are kept.
    void lost_owner_leaves_all_workers_at_full()
    {
        graded_owner owner;
        owner.submit(1);
        owner.write();
        CPPUNIT_ASSERT(owner.task_is_placed());
        owner.take_out("i-1");
        auto& state = owner.m_scheduler->mutable_state();
        const auto stored = state.m_job_store.find(job_id)->at({0, 0, 0});
        auto successor = job_scheduler::create(owner.options_of(2), owner.make_ports(),
                                               job_store{state.m_job_store}, owner.m_now);
        successor->set_config(fleet_config{state.m_config});
        successor->worker_listed(report_of(first_birth_ms), owner.m_now);
        successor->begin(owner.m_now);
        CPPUNIT_ASSERT(successor->state().m_grades.empty());
        const auto& adopted = successor->state().m_job_store.jobs().at(job_id).at({0, 0, 0});
        CPPUNIT_ASSERT(adopted.m_placed_on == stored.m_placed_on);
        CPPUNIT_ASSERT_EQUAL(stored.m_run, adopted.m_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, successor->state().m_workers.at("i-1").runs().size());
    }

    void worker_that_is_out_gets_no_work()
    {
        graded_owner owner;
        owner.take_out("i-1");
        owner.submit(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, owner.count_starts_after_write());
        owner.add_worker("i-2");
        owner.write();
        CPPUNIT_ASSERT_EQUAL(std::string{"i-2"}, owner.m_starts.at(0).first.m_instance.m_worker);
    }

    void gang_waits_for_workers_at_full()
    {
        graded_owner owner;
        owner.reduce("i-1");
        owner.submit(2, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, owner.count_starts_after_write());
        owner.submit_step("fedcba9876543210", step_spec{});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.count_starts_after_write());
        owner.add_worker("i-2");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, owner.count_starts_after_write());
    }

    void long_running_task_waits_for_a_worker_at_full()
    {
        graded_owner owner;
        owner.reduce("i-1");
        step_spec step;
        step.m_long_running = true;
        owner.submit_step(job_id, step);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, owner.count_starts_after_write());
        owner.add_worker("i-2");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.count_starts_after_write());
    }

    void last_attempt_waits_for_a_worker_at_full()
    {
        graded_owner owner;
        owner.set_config({owner_fixture::queue_at("/queue/")}, {});
        owner.reduce("i-1");
        owner.submit(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, owner.count_starts_after_write());
        owner.add_worker("i-2");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.count_starts_after_write());
    }

    // The list of VMs shows a crash before holds do; the silence after it counted for nothing.
    void worker_whose_vm_was_seen_down_twice_stayed_at_full()
    {
        graded_owner owner;
        owner.add_worker("i-2");
        owner.submit(8);
        owner.write();
        for (const auto& [to, order] : owner.m_starts) {
            owner.answer_start(to, order, order_result::accepted);
        }
        owner.m_scheduler->worker_ended("i-1", vm_fate::down, owner.m_now.m_at, owner.m_now);
        CPPUNIT_ASSERT(owner.grades().grade_of("i-1") == worker_grade::full);
        owner.pass(milliseconds{100});
        owner.grades().went_down("i-1", owner.m_now.m_at);
        CPPUNIT_ASSERT(owner.grades().grade_of("i-1") == worker_grade::out);
    }

    void worker_on_probation_gets_one_task_at_a_time()
    {
        graded_owner owner;
        owner.take_out("i-1");
        owner.grades().advance(owner.m_now.m_at + milliseconds{8'000});
        owner.submit(3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.count_starts_after_write());
        owner.add_worker("i-2");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, owner.count_starts_after_write());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.running_on("i-1").size());
    }

    void running_tasks_outlast_a_lower_grade()
    {
        graded_owner owner;
        owner.submit(1);
        owner.write();
        owner.take_out("i-1");
        owner.pass(milliseconds{100});
        owner.answer_hold(first_birth_ms);
        owner.write();
        CPPUNIT_ASSERT(owner.m_stops.empty());
        CPPUNIT_ASSERT(owner.task_is_placed());
    }

    void without_the_setting_nothing_is_graded()
    {
        const auto report = replay(with_fault({100, 1.0, {}}), false);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, report.events("worker_graded"));
    }

    // Guards against grades that decide although nothing keeps them up to date.
    void default_options_consult_no_grade()
    {
        graded_owner owner;
        owner.m_scheduler->mutable_state().m_options.m_graded_health =
            scheduler_options{}.m_graded_health;
        owner.take_out("i-1");
        owner.submit(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.count_starts_after_write());
    }

private:
    /// An owner that grades its workers.
    struct graded_owner : owner_fixture {
        graded_owner()
        {
            m_scheduler->mutable_state().m_options.m_graded_health = true;
            auto queue = queue_at("/queue/");
            queue.m_attempts = 3;
            set_config({queue}, {});
        }

        worker_grades& grades()
        {
            auto& pool = m_scheduler->mutable_state().m_grades["pool"];
            // The owner has two workers at most, of which one may be below full.
            pool.set_pool_size(2);
            return pool;
        }

        void reduce(const std::string& worker)
        {
            grades().run_failed(worker, "one", m_now.m_at);
            grades().run_failed(worker, "another", m_now.m_at);
            CPPUNIT_ASSERT(grades().grade_of(worker) == worker_grade::reduced);
        }

        void take_out(const std::string& worker)
        {
            grades().went_down(worker, m_now.m_at);
            grades().went_down(worker, m_now.m_at);
            CPPUNIT_ASSERT(grades().grade_of(worker) == worker_grade::out);
        }

        static scheduler_options options_of(std::uint64_t epoch)
        {
            scheduler_options options;
            options.m_fence = first_token(epoch);
            options.m_graded_health = true;
            return options;
        }

        static scheduler_ports make_ports()
        {
            scheduler_ports ports;
            ports.m_start = [](const worker_report&, const start_order&) {};
            ports.m_stop = [](const worker_report&, const stop_order&) {};
            ports.m_pace = [](const worker_report&, const pace_order&) {};
            ports.m_hold = [](const worker_report&, const hold_order&) {};
            ports.m_ask = [](const policy_request&) {};
            ports.m_answer = [](std::uint64_t, const call_answer&) {};
            ports.m_log = [](const decision&) {};
            ports.m_deposed = [] {};
            return ports;
        }
    };
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_evidence_test);

} // namespace peridotrudder
