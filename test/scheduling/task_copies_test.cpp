#include "peridotrudder/scheduling/task_copies.hpp"

#include "scheduling/uneven_load.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

constexpr std::uint32_t attempts = 3;
constexpr std::uint32_t percent = 5;
const worker_instance first_worker{"i-1", 100};
const worker_instance second_worker{"i-2", 100};

/// A run that takes seven times as long as usual, seen early.
late_run straggler()
{
    late_run run;
    run.m_worker = "i-1";
    run.m_cpu_millis = 1'000;
    run.m_rest = milliseconds{6'000};
    run.m_usual = milliseconds{1'000};
    run.m_until_objective = milliseconds{2'000};
    run.m_until_useless = milliseconds{8'000};
    return run;
}

job make_job(const step_spec& step)
{
    job_header header;
    header.m_id = "0123456789abcdef";
    header.m_spec.m_steps = {step};
    return job::create(std::move(header));
}

step_spec speculative_step()
{
    step_spec step;
    step.m_count = 2;
    step.m_speculative = true;
    return step;
}

/// Returns whether the first task of such a step may be copied once it has a run.
bool may_copy_run_of(const step_spec& step)
{
    auto placed = make_job(step);
    placed.place({0, 0, 0}, first_worker);
    return may_be_copied(placed, {0, 0, 0}, attempts);
}

/// A load that leaves about half of the pool free.
uneven_load_options calm_load(std::uint64_t seed)
{
    uneven_load_options options;
    options.m_seed = seed;
    options.m_peak_jobs_per_second = 15.0;
    options.m_known_far_factor = 1.0;
    options.m_far_factor = 1.0;
    options.m_speculative = true;
    return options;
}

uneven_load_options full_load(std::uint64_t seed)
{
    auto options = calm_load(seed);
    options.m_peak_jobs_per_second = 60.0;
    return options;
}

uneven_load_options with_copies(uneven_load_options options)
{
    options.m_copies_percent = percent;
    return options;
}

uneven_load_report replay(const uneven_load_options& options)
{
    uneven_load load{options};
    load.play(3);
    auto report = load.report();
    CPPUNIT_ASSERT_EQUAL(std::string{}, report.m_violation);
    return report;
}

double stopped_share(const uneven_load_report& report)
{
    return static_cast<double>(report.m_stopped_run_time.count()) /
           static_cast<double>(report.m_run_time.count());
}

} // namespace

class task_copies_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(task_copies_test);
    CPPUNIT_TEST(straggler_is_worth_a_copy);
    CPPUNIT_TEST(run_that_ends_soon_is_not_worth_a_copy);
    CPPUNIT_TEST(job_that_meets_its_objective_anyway_gains_nothing);
    CPPUNIT_TEST(job_that_is_useless_with_the_copy_too_gains_nothing);
    CPPUNIT_TEST(run_without_a_learned_time_is_late_only_by_a_multiple_of_its_estimate);
    CPPUNIT_TEST(copy_goes_to_the_fastest_worker_and_then_to_the_fullest);
    CPPUNIT_TEST(copy_does_not_go_to_the_worker_of_the_run_or_one_without_room);
    CPPUNIT_TEST(copies_use_at_most_their_share_of_the_pool);
    CPPUNIT_TEST(capacity_that_a_waiting_task_can_use_is_not_for_copies);
    CPPUNIT_TEST(only_plain_speculative_steps_have_copies);
    CPPUNIT_TEST(task_gets_one_copy_of_its_first_run);
    CPPUNIT_TEST(last_attempt_and_suspected_task_are_not_copied);
    CPPUNIT_TEST(later_steps_count_for_the_end_of_a_job);
    CPPUNIT_TEST(copies_in_free_room_bring_more_jobs_in_time);
    CPPUNIT_TEST(copies_in_a_full_pool_do_no_harm);
    CPPUNIT_TEST(copies_beside_a_worker_that_is_slow_as_a_whole_keep_their_limit);
    CPPUNIT_TEST(without_a_share_for_copies_none_is_started);
    CPPUNIT_TEST(steps_without_the_flag_are_never_copied);
    CPPUNIT_TEST_SUITE_END();

public:
    void straggler_is_worth_a_copy() { CPPUNIT_ASSERT(is_worth_a_copy(straggler(), 1.0)); }

    void run_that_ends_soon_is_not_worth_a_copy()
    {
        auto run = straggler();
        run.m_until_objective = milliseconds{0};
        run.m_rest = milliseconds{1'600};
        CPPUNIT_ASSERT_MESSAGE("half of a run must be saved, and the start takes time",
                               !is_worth_a_copy(run, 1.0));
        run.m_rest = milliseconds{1'601};
        CPPUNIT_ASSERT(is_worth_a_copy(run, 1.0));
        CPPUNIT_ASSERT_MESSAGE("a slow worker takes longer", !is_worth_a_copy(run, 1.1));
    }

    void job_that_meets_its_objective_anyway_gains_nothing()
    {
        auto run = straggler();
        run.m_until_objective = run.m_rest;
        CPPUNIT_ASSERT(!is_worth_a_copy(run, 1.0));
    }

    void job_that_is_useless_with_the_copy_too_gains_nothing()
    {
        auto run = straggler();
        run.m_until_useless = milliseconds{1'000};
        CPPUNIT_ASSERT(!is_worth_a_copy(run, 1.0));
    }

    void run_without_a_learned_time_is_late_only_by_a_multiple_of_its_estimate()
    {
        CPPUNIT_ASSERT(milliseconds{2'000} == cautious_time(milliseconds{500}, 0));
        CPPUNIT_ASSERT(milliseconds{500} == cautious_time(milliseconds{500}, 4));
    }

    void copy_goes_to_the_fastest_worker_and_then_to_the_fullest()
    {
        const std::vector<copy_place> places{
            {"i-2", 4'000, 1.5}, {"i-3", 3'000, 1.0}, {"i-4", 2'000, 1.0}, {"i-5", 1'000, 2.0}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, *choose_copy_place(straggler(), places));
    }

    void copy_does_not_go_to_the_worker_of_the_run_or_one_without_room()
    {
        CPPUNIT_ASSERT(!choose_copy_place(
            straggler(), std::vector<copy_place>{{"i-1", 4'000, 1.0}, {"i-2", 999, 1.0}}));
    }

    void copies_use_at_most_their_share_of_the_pool()
    {
        auto budget = copy_budget::create(100'000, 2'000, percent);
        CPPUNIT_ASSERT(budget.take(2'000));
        CPPUNIT_ASSERT(!budget.take(1'001));
        CPPUNIT_ASSERT(budget.take(1'000));
        auto overdrawn = copy_budget::create(40'000, 3'000, percent);
        CPPUNIT_ASSERT_MESSAGE("the pool has shrunk", !overdrawn.take(1));
    }

    void capacity_that_a_waiting_task_can_use_is_not_for_copies()
    {
        waiting_sizes waiting;
        CPPUNIT_ASSERT(!waiting.may_use({4'000, 4'000, 0}, {}));
        waiting.add({2'000, 1'000, 0}, "");
        waiting.add({1'000, 1'000, 0}, "ssd");
        CPPUNIT_ASSERT(!waiting.may_use({1'999, 4'000, 0}, {}));
        CPPUNIT_ASSERT(waiting.may_use({2'000, 4'000, 0}, {}));
        CPPUNIT_ASSERT(waiting.may_use({1'000, 4'000, 0}, {"ssd"}));
        CPPUNIT_ASSERT(!waiting.may_use({4'000, 999, 0}, {"ssd"}));
    }

    void only_plain_speculative_steps_have_copies()
    {
        CPPUNIT_ASSERT(may_copy_run_of(speculative_step()));
        auto step = speculative_step();
        step.m_speculative = false;
        CPPUNIT_ASSERT(!may_copy_run_of(step));
        step = speculative_step();
        step.m_gang = true;
        CPPUNIT_ASSERT(!may_copy_run_of(step));
        step = speculative_step();
        step.m_long_running = true;
        CPPUNIT_ASSERT(!may_copy_run_of(step));
        step = speculative_step();
        step.m_best_effort = true;
        CPPUNIT_ASSERT(!may_copy_run_of(step));
        job_spec recurring;
        recurring.m_steps = {speculative_step()};
        recurring.m_recurrence = recurrence{2, 0, 1'000};
        CPPUNIT_ASSERT(!has_copies(recurring, 0));
    }

    // A late start of an earlier run would be a third run beside the copy.
    void task_gets_one_copy_of_its_first_run()
    {
        const task_ref ref{0, 0, 0};
        auto source = make_job(speculative_step());
        CPPUNIT_ASSERT(!may_be_copied(source, ref, attempts));
        source.place(ref, first_worker);
        source.place_copy(ref, second_worker);
        CPPUNIT_ASSERT_MESSAGE("it has a copy", !may_be_copied(source, ref, attempts));
        CPPUNIT_ASSERT(source.void_run(ref, 2));
        CPPUNIT_ASSERT_MESSAGE("it has had a copy", !may_be_copied(source, ref, attempts));
        auto lost = make_job(speculative_step());
        lost.place(ref, first_worker);
        lost.void_run(ref);
        lost.place(ref, first_worker);
        CPPUNIT_ASSERT_MESSAGE("it has had a run before", !may_be_copied(lost, ref, attempts));
        auto kept = make_job(speculative_step());
        kept.place(ref, first_worker);
        kept.place_copy(ref, second_worker);
        kept.void_run(ref, 1);
        CPPUNIT_ASSERT_MESSAGE("its run was a copy", !may_be_copied(kept, ref, attempts));
    }

    void last_attempt_and_suspected_task_are_not_copied()
    {
        const task_ref ref{0, 0, 0};
        auto source = make_job(speculative_step());
        source.place(ref, first_worker);
        CPPUNIT_ASSERT(may_be_copied(source, ref, 2));
        CPPUNIT_ASSERT(!may_be_copied(source, ref, 1));
        source.record_crash(ref, 12, 42, 0);
        CPPUNIT_ASSERT(!may_be_copied(source, ref, attempts));
    }

    void later_steps_count_for_the_end_of_a_job()
    {
        job_spec spec;
        spec.m_steps.resize(4);
        for (auto& step : spec.m_steps) {
            step.m_estimate = milliseconds{300};
        }
        spec.m_steps[1].m_depends_on = {0};
        spec.m_steps[2].m_depends_on = {1};
        CPPUNIT_ASSERT(milliseconds{600} == time_after_step(spec, 0));
        CPPUNIT_ASSERT(milliseconds{300} == time_after_step(spec, 1));
        CPPUNIT_ASSERT(milliseconds{0} == time_after_step(spec, 3));
    }

    void copies_in_free_room_bring_more_jobs_in_time()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const auto with = replay(with_copies(calm_load(seed)));
            const auto without = replay(calm_load(seed));
            CPPUNIT_ASSERT(with.m_in_time_share > without.m_in_time_share + 0.05);
            CPPUNIT_ASSERT(with.m_mean_ms < 0.9 * without.m_mean_ms);
            CPPUNIT_ASSERT_MESSAGE("less than a tenth is run in vain", stopped_share(with) < 0.1);
            CPPUNIT_ASSERT(with.m_largest_copy_share <= 0.05);
        }
    }

    void copies_in_a_full_pool_do_no_harm()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const auto with = replay(with_copies(full_load(seed)));
            const auto without = replay(full_load(seed));
            CPPUNIT_ASSERT(with.m_in_time_share > without.m_in_time_share - 0.02);
            CPPUNIT_ASSERT(with.m_mean_ms < 1.05 * without.m_mean_ms);
            CPPUNIT_ASSERT(with.m_largest_copy_share <= 0.05);
        }
    }

    // Each of its runs is late, and a copy of each could take the whole pool.
    void copies_beside_a_worker_that_is_slow_as_a_whole_keep_their_limit()
    {
        auto options = calm_load(1);
        options.m_slow_worker_factor = 3.0;
        const auto with = replay(with_copies(options));
        const auto without = replay(options);
        CPPUNIT_ASSERT(with.m_in_time_share >= without.m_in_time_share);
        CPPUNIT_ASSERT(with.m_largest_copy_share <= 0.05);
        CPPUNIT_ASSERT(stopped_share(with) < 0.2);
    }

    void without_a_share_for_copies_none_is_started()
    {
        const auto report = replay(calm_load(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, report.events("copy_started"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, std::int64_t{report.m_stopped_run_time.count()});
    }

    void steps_without_the_flag_are_never_copied()
    {
        auto options = calm_load(1);
        options.m_speculative = false;
        const auto with = replay(with_copies(options));
        const auto without = replay(options);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, with.events("copy_started"));
        CPPUNIT_ASSERT_EQUAL(without.m_starts, with.m_starts);
        CPPUNIT_ASSERT_EQUAL(without.m_mean_ms, with.m_mean_ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(task_copies_test);

} // namespace peridotrudder
