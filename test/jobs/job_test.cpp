#include "peridotrudder/jobs/job.hpp"
#include "property.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <ctime>
#include <rapidcheck.h>

namespace peridotrudder {

namespace {

constexpr std::uint32_t attempts = 3;
constexpr std::int64_t now_ms = 5'000;
const worker_instance some_worker{"i-1", 100};
const worker_instance other_worker{"i-2", 100};

job make_job(std::vector<step_spec> steps)
{
    job_header header;
    header.m_id = "0123456789abcdef";
    header.m_spec.m_steps = std::move(steps);
    return job::create(std::move(header));
}

step_spec make_step(std::uint32_t count, std::vector<std::uint32_t> depends_on = {})
{
    step_spec step;
    step.m_count = count;
    step.m_task_resources.m_cpu_millis = 500;
    step.m_estimate = milliseconds{400};
    step.m_depends_on = std::move(depends_on);
    return step;
}

job make_gang(std::uint32_t members)
{
    auto step = make_step(members);
    step.m_gang = true;
    return make_job({step});
}

job with_tenant(const job& source)
{
    auto header = source.header();
    header.m_tenant = job_tenant{"acme", false};
    return job::create(std::move(header));
}

/// Places all members; returns the number of their run.
std::uint32_t place_members(job& gang)
{
    const std::vector<worker_instance> where(gang.tasks(0, 0).size(), some_worker);
    return gang.place_gang(0, 0, where);
}

job restored(const job& source)
{
    const auto state = source.encode_state();
    auto read = job::restore(source.header(), state);
    CPPUNIT_ASSERT_MESSAGE("an encoded state can be restored", read.has_value());
    return std::move(*read);
}

/// Ends a run of all members, in a drawn order and with takeovers; lists may repeat an end. Returns
/// whether a member failed.
bool end_members(job& gang, std::uint32_t members, std::uint32_t run)
{
    bool failed = false;
    std::vector<std::uint32_t> listed;
    for (std::uint32_t index = 0; index < members; ++index) {
        listed.push_back(index);
    }
    while (!listed.empty()) {
        const auto position = *rc::gen::inRange<std::size_t>(0, listed.size());
        const task_ref ref{0, 0, listed[position]};
        const auto end =
            *rc::gen::element(run_end::failed, run_end::gang_broken, run_end::lease_expired);
        // The end that is known first stands.
        failed = failed || (end == run_end::failed && gang.at(ref).m_phase == task_phase::placed);
        gang.end(ref, run, end, "", attempts, now_ms);
        if (*rc::gen::arbitrary<bool>()) {
            gang = restored(gang);
        }
        const bool is_repeated = *rc::gen::arbitrary<bool>();
        if (!is_repeated) {
            listed.erase(listed.begin() + static_cast<std::ptrdiff_t>(position));
        }
    }
    return failed;
}

} // namespace

class job_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_test);
    CPPUNIT_TEST(step_is_blocked_until_every_task_it_depends_on_is_done);
    CPPUNIT_TEST(job_is_completed_with_its_last_task);
    CPPUNIT_TEST(task_that_fails_as_often_as_allowed_fails_the_job);
    CPPUNIT_TEST(end_of_an_older_run_changes_nothing_unless_it_is_a_success);
    CPPUNIT_TEST(run_after_a_voided_run_has_a_higher_number);
    CPPUNIT_TEST(long_running_task_is_never_done);
    CPPUNIT_TEST(success_of_either_run_completes_the_task);
    CPPUNIT_TEST(failed_copy_counts_and_leaves_the_run);
    CPPUNIT_TEST(copy_becomes_the_run_of_a_task_that_lost_its_run);
    CPPUNIT_TEST(last_allowed_failure_of_a_copy_leaves_no_run);
    CPPUNIT_TEST(copy_is_restored_from_its_record);
    CPPUNIT_TEST(number_of_a_copy_that_is_over_stays_used);
    CPPUNIT_TEST(record_of_a_job_without_copies_is_as_before);
    CPPUNIT_TEST(runs_that_a_success_left_behind_are_recorded_for_jobs_of_tenants);
    CPPUNIT_TEST(one_success_completes_the_whole_gang);
    CPPUNIT_TEST(failures_of_a_gang_count_together);
    CPPUNIT_TEST(one_failed_run_of_a_gang_is_one_attempt_whoever_lists_it);
    CPPUNIT_TEST(one_failed_run_of_a_gang_is_one_attempt_across_a_takeover);
    CPPUNIT_TEST(job_whose_starts_were_refused_has_not_begun);
    CPPUNIT_TEST(gang_fails_after_its_attempts_in_any_history);
    CPPUNIT_TEST(checkpoint_of_an_end_is_kept_for_the_next_run);
    CPPUNIT_TEST(cancelled_job_stays_cancelled);
    CPPUNIT_TEST(state_is_restored_from_its_record);
    CPPUNIT_TEST(damaged_record_is_rejected_or_read_without_a_crash);
    CPPUNIT_TEST(runs_that_tasks_no_longer_have_are_recorded_for_jobs_of_tenants);
    CPPUNIT_TEST(gang_members_left_behind_by_a_success_are_recorded);
    CPPUNIT_TEST(leftover_runs_are_dropped_only_once_they_are_over);
    CPPUNIT_TEST(leftover_run_that_is_noted_again_or_known_is_kept);
    CPPUNIT_TEST(success_of_a_very_large_gang_takes_linear_time);
    CPPUNIT_TEST(run_that_is_listed_again_and_again_is_recorded_every_five_seconds);
    CPPUNIT_TEST(damaged_record_with_leftover_runs_causes_no_crash);
    CPPUNIT_TEST_SUITE_END();

public:
    void step_is_blocked_until_every_task_it_depends_on_is_done()
    {
        auto example = make_job({make_step(2), make_step(1, {0})});
        example.place({0, 0, 0}, some_worker);
        example.end({0, 0, 0}, 1, run_end::done, "", attempts, now_ms);
        CPPUNIT_ASSERT(!example.unblocked(0, 1));
        example.place({0, 0, 1}, some_worker);
        example.end({0, 0, 1}, 1, run_end::done, "", attempts, now_ms);
        CPPUNIT_ASSERT(example.unblocked(0, 1));
    }

    void job_is_completed_with_its_last_task()
    {
        auto example = make_job({make_step(1)});
        example.place({0, 0, 0}, some_worker);
        CPPUNIT_ASSERT(example.phase() == job_phase::active);
        example.end({0, 0, 0}, 1, run_end::done, "", attempts, now_ms);
        CPPUNIT_ASSERT(example.phase() == job_phase::completed);
        CPPUNIT_ASSERT_EQUAL(now_ms, example.ended_ms());
    }

    void task_that_fails_as_often_as_allowed_fails_the_job()
    {
        auto example = make_job({make_step(2)});
        for (std::uint32_t run = 1; run <= attempts; ++run) {
            CPPUNIT_ASSERT(example.phase() == job_phase::active);
            CPPUNIT_ASSERT_EQUAL(run, example.place({0, 0, 0}, some_worker));
            example.end({0, 0, 0}, run, run_end::failed, "", attempts, now_ms);
        }
        CPPUNIT_ASSERT(example.phase() == job_phase::failed);
    }

    void end_of_an_older_run_changes_nothing_unless_it_is_a_success()
    {
        auto example = make_job({make_step(2)});
        example.place({0, 0, 0}, some_worker);
        example.void_run({0, 0, 0});
        example.place({0, 0, 0}, {"i-2", 7});
        CPPUNIT_ASSERT(!example.end({0, 0, 0}, 1, run_end::failed, "", attempts, now_ms));
        CPPUNIT_ASSERT(example.at({0, 0, 0}).m_phase == task_phase::placed);
        CPPUNIT_ASSERT(example.end({0, 0, 0}, 1, run_end::done, "", attempts, now_ms));
        CPPUNIT_ASSERT(example.at({0, 0, 0}).m_phase == task_phase::done);
    }

    void run_after_a_voided_run_has_a_higher_number()
    {
        auto example = make_job({make_step(1)});
        CPPUNIT_ASSERT_EQUAL(1U, example.place({0, 0, 0}, some_worker));
        example.void_run({0, 0, 0});
        CPPUNIT_ASSERT_EQUAL(2U, example.place({0, 0, 0}, some_worker));
        CPPUNIT_ASSERT_EQUAL(0U, example.at({0, 0, 0}).m_failures);
    }

    static job with_copy()
    {
        auto step = make_step(1);
        step.m_speculative = true;
        auto tested = make_job({step});
        tested.place({0, 0, 0}, some_worker);
        CPPUNIT_ASSERT_EQUAL(2U, tested.place_copy({0, 0, 0}, other_worker));
        return tested;
    }

    static bool end_run(job& tested, std::uint32_t run, run_end end)
    {
        return tested.end({0, 0, 0}, run, end, "", attempts, now_ms);
    }

    void success_of_either_run_completes_the_task()
    {
        for (const std::uint32_t run : {1U, 2U}) {
            auto tested = with_copy();
            CPPUNIT_ASSERT(end_run(tested, run, run_end::done));
            CPPUNIT_ASSERT(tested.phase() == job_phase::completed);
            CPPUNIT_ASSERT_EQUAL(0U, tested.placed_tasks());
            CPPUNIT_ASSERT(!end_run(tested, 3 - run, run_end::failed));
            CPPUNIT_ASSERT(tested.phase() == job_phase::completed);
        }
    }

    void failed_copy_counts_and_leaves_the_run()
    {
        auto tested = with_copy();
        CPPUNIT_ASSERT(end_run(tested, 2, run_end::failed));
        const auto& entry = tested.at({0, 0, 0});
        CPPUNIT_ASSERT_EQUAL(1U, entry.m_failures);
        CPPUNIT_ASSERT(entry.m_phase == task_phase::placed);
        CPPUNIT_ASSERT_EQUAL(1U, entry.m_run);
        CPPUNIT_ASSERT(entry.m_placed_on == some_worker);
        CPPUNIT_ASSERT_EQUAL(1U, tested.placed_tasks());
        CPPUNIT_ASSERT(end_run(tested, 1, run_end::stopped));
        CPPUNIT_ASSERT_EQUAL(3U, tested.place({0, 0, 0}, some_worker));
    }

    void copy_becomes_the_run_of_a_task_that_lost_its_run()
    {
        auto tested = with_copy();
        tested.settle_start({0, 0, 0}, 2);
        CPPUNIT_ASSERT(tested.void_run({0, 0, 0}, 1));
        const auto& entry = tested.at({0, 0, 0});
        CPPUNIT_ASSERT(entry.m_phase == task_phase::placed);
        CPPUNIT_ASSERT_EQUAL(2U, entry.m_run);
        CPPUNIT_ASSERT(entry.m_placed_on == other_worker);
        CPPUNIT_ASSERT(entry.m_start_settled);
        CPPUNIT_ASSERT(!tested.void_run({0, 0, 0}, 1));
        CPPUNIT_ASSERT(tested.void_run({0, 0, 0}, 2));
        CPPUNIT_ASSERT_EQUAL(0U, tested.placed_tasks());
    }

    void last_allowed_failure_of_a_copy_leaves_no_run()
    {
        auto tested = with_copy();
        CPPUNIT_ASSERT(tested.end({0, 0, 0}, 2, run_end::failed, "", 1, now_ms));
        CPPUNIT_ASSERT(tested.phase() == job_phase::failed);
        CPPUNIT_ASSERT_EQUAL(0U, tested.placed_tasks());
        CPPUNIT_ASSERT(tested.at({0, 0, 0}).m_phase == task_phase::failed);
    }

    void copy_is_restored_from_its_record()
    {
        auto tested = with_copy();
        tested.settle_start({0, 0, 0}, 2);
        auto read = restored(tested);
        const auto& entry = read.at({0, 0, 0});
        CPPUNIT_ASSERT_EQUAL(1U, entry.m_run);
        CPPUNIT_ASSERT(entry.m_copy.has_value());
        CPPUNIT_ASSERT_EQUAL(2U, entry.m_copy->m_run);
        CPPUNIT_ASSERT(entry.m_copy->m_placed_on == other_worker);
        CPPUNIT_ASSERT(entry.m_copy->m_start_settled);
        CPPUNIT_ASSERT(!entry.m_start_settled);
        CPPUNIT_ASSERT(end_run(read, 2, run_end::done));
        CPPUNIT_ASSERT(read.phase() == job_phase::completed);
    }

    // A worker rejects a run that is not higher than one that was there.
    void number_of_a_copy_that_is_over_stays_used()
    {
        auto tested = with_copy();
        CPPUNIT_ASSERT(tested.void_run({0, 0, 0}, 2));
        auto read = restored(tested);
        CPPUNIT_ASSERT_EQUAL(2U, read.at({0, 0, 0}).m_newest_run);
        CPPUNIT_ASSERT(read.void_run({0, 0, 0}, 1));
        auto waiting = restored(read);
        CPPUNIT_ASSERT_EQUAL(3U, waiting.place({0, 0, 0}, other_worker));
    }

    // Nodes of an earlier version read the first ten fields of a task.
    void record_of_a_job_without_copies_is_as_before()
    {
        auto plain = make_job({make_step(1)});
        plain.place({0, 0, 0}, some_worker);
        const auto rows = nlohmann::json::from_cbor(plain.encode_state()).at(4);
        CPPUNIT_ASSERT(rows.at(0) == nlohmann::json::parse("[0, 0, 0, 1, 1, 0, 0]"));
        const auto copied = nlohmann::json::from_cbor(with_copy().encode_state()).at(4);
        CPPUNIT_ASSERT(copied.at(0) ==
                       nlohmann::json::parse(R"([0, 0, 0, 1, 1, 0, 0, "", 0, 0, 2, 1, false])"));
    }

    // Successors count the slower run against the quota until it has been stopped.
    void runs_that_a_success_left_behind_are_recorded_for_jobs_of_tenants()
    {
        for (const std::uint32_t run : {1U, 2U}) {
            auto tested = with_tenant(with_copy());
            tested.place({0, 0, 0}, some_worker);
            tested.place_copy({0, 0, 0}, other_worker);
            CPPUNIT_ASSERT(end_run(tested, run, run_end::done));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tested.leftovers().size());
            CPPUNIT_ASSERT_EQUAL(3 - run, tested.leftovers().front().m_run);
            CPPUNIT_ASSERT_EQUAL((run == 1 ? other_worker : some_worker).m_worker,
                                 tested.leftovers().front().m_worker);
        }
    }

    void long_running_task_is_never_done()
    {
        auto step = make_step(1);
        step.m_long_running = true;
        auto example = make_job({step});
        const run_end ends[] = {run_end::done, run_end::failed, run_end::failed, run_end::failed,
                                run_end::lease_expired};
        std::uint32_t run = 0;
        for (const auto end : ends) {
            example.place({0, 0, 0}, some_worker);
            example.end({0, 0, 0}, ++run, end, "", attempts, now_ms);
            CPPUNIT_ASSERT(example.phase() == job_phase::active);
            CPPUNIT_ASSERT_EQUAL(1U, example.waiting(0, 0));
        }
    }

    void one_success_completes_the_whole_gang()
    {
        auto step = make_step(3);
        step.m_gang = true;
        auto example = make_job({step});
        const std::vector<worker_instance> where(3, some_worker);
        CPPUNIT_ASSERT_EQUAL(1U, example.place_gang(0, 0, where));
        example.end({0, 0, 2}, 1, run_end::done, "", attempts, now_ms);
        CPPUNIT_ASSERT(example.phase() == job_phase::completed);
        CPPUNIT_ASSERT_EQUAL(0U, example.placed_tasks());
    }

    void failures_of_a_gang_count_together()
    {
        auto step = make_step(2);
        step.m_gang = true;
        auto example = make_job({step});
        const std::vector<worker_instance> where(2, some_worker);
        for (std::uint32_t run = 1; run <= attempts; ++run) {
            CPPUNIT_ASSERT_EQUAL(run, example.place_gang(0, 0, where));
            example.end({0, 0, run % 2}, run, run_end::failed, "", attempts, now_ms);
            example.end({0, 0, (run + 1) % 2}, run, run_end::gang_broken, "", attempts, now_ms);
        }
        CPPUNIT_ASSERT(example.phase() == job_phase::failed);
    }

    // One worker that failed all members of a gang used up all attempts of its job.
    void one_failed_run_of_a_gang_is_one_attempt_whoever_lists_it()
    {
        auto example = make_gang(attempts);
        for (std::uint32_t run = 1; run <= attempts; ++run) {
            CPPUNIT_ASSERT(example.phase() == job_phase::active);
            place_members(example);
            for (std::uint32_t index = 0; index < attempts; ++index) {
                example.end({0, 0, index}, run, run_end::failed, "", attempts, now_ms);
            }
        }
        CPPUNIT_ASSERT(example.phase() == job_phase::failed);
    }

    // The successor did not know that the run which other members list had been counted.
    void one_failed_run_of_a_gang_is_one_attempt_across_a_takeover()
    {
        auto example = make_gang(attempts);
        place_members(example);
        for (std::uint32_t index = 0; index < attempts; ++index) {
            example.end({0, 0, index}, 1, run_end::failed, "", attempts, now_ms);
            example = restored(example);
        }
        CPPUNIT_ASSERT(example.phase() == job_phase::active);
        CPPUNIT_ASSERT_EQUAL(1U, example.failures({0, 0, 0}));
    }

    // Jobs whose starts were refused were left out of the number of waiting jobs.
    void job_whose_starts_were_refused_has_not_begun()
    {
        auto example = make_job({make_step(2)});
        example.place({0, 0, 0}, some_worker);
        example.void_run({0, 0, 0});
        CPPUNIT_ASSERT(!example.begun());
        CPPUNIT_ASSERT(!restored(example).begun());

        const auto run = example.place({0, 0, 0}, some_worker);
        example.settle_start({0, 0, 0}, run);
        CPPUNIT_ASSERT(example.begun());
        CPPUNIT_ASSERT(restored(example).begun());
        example.void_run({0, 0, 0});
        CPPUNIT_ASSERT_MESSAGE("it has run", example.begun());
    }

    // One failed run of a gang counted as often as members of it listed the failure.
    void gang_fails_after_its_attempts_in_any_history()
    {
        assert_property("a gang fails with the run that uses up its attempts", [] {
            const auto members = *rc::gen::inRange<std::uint32_t>(1, 6);
            auto example = make_gang(members);
            std::uint32_t failed_runs = 0;
            while (failed_runs < attempts) {
                RC_ASSERT(example.phase() == job_phase::active);
                const auto run = place_members(example);
                failed_runs += end_members(example, members, run) ? 1 : 0;
            }
            RC_ASSERT(example.phase() == job_phase::failed);
        });
    }

    void checkpoint_of_an_end_is_kept_for_the_next_run()
    {
        auto example = make_job({make_step(1)});
        example.place({0, 0, 0}, some_worker);
        example.end({0, 0, 0}, 1, run_end::stopped, "saved", attempts, now_ms);
        CPPUNIT_ASSERT_EQUAL(std::string{"saved"}, example.at({0, 0, 0}).m_checkpoint);
        example.place({0, 0, 0}, some_worker);
        example.end({0, 0, 0}, 2, run_end::lease_expired, "", attempts, now_ms);
        CPPUNIT_ASSERT_EQUAL(std::string{"saved"}, example.at({0, 0, 0}).m_checkpoint);
    }

    void cancelled_job_stays_cancelled()
    {
        auto example = make_job({make_step(1)});
        example.place({0, 0, 0}, some_worker);
        CPPUNIT_ASSERT(example.cancel(now_ms));
        CPPUNIT_ASSERT(!example.cancel(now_ms + 1));
        example.end({0, 0, 0}, 1, run_end::done, "", attempts, now_ms + 2);
        CPPUNIT_ASSERT(example.phase() == job_phase::cancelled);
        CPPUNIT_ASSERT_EQUAL(now_ms, example.ended_ms());
    }

    void state_is_restored_from_its_record()
    {
        assert_property("the state after any history is restored from its record", [] {
            auto example = make_job({make_step(3), make_step(2, {0})});
            const auto actions = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50));
            for (const auto action : actions) {
                const task_ref ref{0, static_cast<std::uint32_t>(action % 2),
                                   static_cast<std::uint32_t>(action % 3 % 2)};
                const auto& task = example.at(ref);
                if (task.m_phase == task_phase::waiting) {
                    example.note_placement(action);
                    example.place(ref, {"i-" + std::to_string(action % 5), action});
                }
                else if (action % 3 == 0) {
                    example.settle_start(ref, task.m_run);
                }
                else {
                    example.end(ref, task.m_run, static_cast<run_end>(action % 6),
                                action % 4 == 0 ? "c" : "", attempts, now_ms);
                }
            }
            const auto again = restored(example);
            RC_ASSERT(again.phase() == example.phase());
            RC_ASSERT(again.placed_tasks() == example.placed_tasks());
            RC_ASSERT(again.placed_ms() == example.placed_ms());
            RC_ASSERT(again.encode_state() == example.encode_state());
            for (std::uint32_t index = 0; index < 2; ++index) {
                const auto& before = example.at({0, index, index});
                const auto& after = again.at({0, index, index});
                RC_ASSERT(before.m_phase != task_phase::placed ||
                          before.m_start_settled == after.m_start_settled);
            }
        });
    }

    void damaged_record_is_rejected_or_read_without_a_crash()
    {
        assert_property("a damaged record causes no crash", [] {
            auto example = make_job({make_step(3)});
            example.place({0, 0, 1}, some_worker);
            example.place({0, 0, 2}, some_worker);
            auto state = example.encode_state();
            const auto index = *rc::gen::inRange<std::size_t>(0, state.size());
            state[index] = *rc::gen::arbitrary<std::uint8_t>();
            static_cast<void>(job::restore(example.header(), state));
        });
    }

    // A successor counted only the runs that tasks have, and started more than the quota allows.
    void runs_that_tasks_no_longer_have_are_recorded_for_jobs_of_tenants()
    {
        auto example = with_tenant(make_job({make_step(2)}));
        auto without_tenant = make_job({make_step(2)});
        for (auto* each : {&example, &without_tenant}) {
            each->place({0, 0, 1}, some_worker);
            each->void_run({0, 0, 1});
            each->note_leftover({{0, 0, 1}, 1, "i-1", now_ms, false});
            each->note_leftover({{0, 0, 1}, 1, "i-1", now_ms + 10, true});
        }
        CPPUNIT_ASSERT(restored(without_tenant).leftovers().empty());
        const auto copy = restored(example);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, copy.leftovers().size());
        const auto leftover = copy.leftovers().front();
        CPPUNIT_ASSERT(leftover.m_task == (task_ref{0, 0, 1}));
        CPPUNIT_ASSERT_EQUAL(1U, leftover.m_run);
        CPPUNIT_ASSERT_EQUAL(std::string{"i-1"}, leftover.m_worker);
        CPPUNIT_ASSERT_EQUAL(now_ms + 10, leftover.m_noted_ms);
        CPPUNIT_ASSERT(leftover.m_settled);
    }

    void gang_members_left_behind_by_a_success_are_recorded()
    {
        auto gang = with_tenant(make_gang(3));
        const auto run = place_members(gang);
        gang.end({0, 0, 1}, run, run_end::done, "", attempts, now_ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, restored(gang).leftovers().size());
    }

    // Notes were dropped after a minute by the time of day, also where leases are longer and where
    // the time of day jumps.
    void leftover_runs_are_dropped_only_once_they_are_over()
    {
        constexpr milliseconds longest{150'000};
        const time_point now{milliseconds{1'000}};
        auto example = with_tenant(make_job({make_step(2)}));
        example.note_leftover({{0, 0, 0}, 1, "i-1", now_ms, true});
        example.drop_leftovers(now, longest, [](const auto&) { return false; });
        example.note_leftover({{0, 0, 1}, 1, "i-1", now_ms + 3'600'000, true});
        example.drop_leftovers(now + longest - milliseconds{1}, longest,
                               [](const auto&) { return false; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, example.leftovers().size());
        example.drop_leftovers(now + longest, longest, [](const auto&) { return false; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, example.leftovers().size());
        CPPUNIT_ASSERT_EQUAL(1U, example.leftovers().front().m_task.m_index);
        // A successor does not know for how long the run has been left behind.
        auto copy = restored(example);
        copy.drop_leftovers(now + 2 * longest, longest, [](const auto&) { return false; });
        CPPUNIT_ASSERT(copy.has_leftovers());
        copy.drop_leftovers(now + 3 * longest, longest, [](const auto&) { return false; });
        CPPUNIT_ASSERT(!copy.has_leftovers());
    }

    void leftover_run_that_is_noted_again_or_known_is_kept()
    {
        constexpr milliseconds longest{30'000};
        const time_point now{milliseconds{1'000}};
        auto example = with_tenant(make_job({make_step(2)}));
        const auto drop = [&example, longest](time_point at, bool known) {
            example.drop_leftovers(at, longest, [known](const auto&) { return known; });
        };
        example.note_leftover({{0, 0, 0}, 1, "i-1", now_ms, true});
        drop(now, false);
        // Within the pause between two records of the same run.
        CPPUNIT_ASSERT(!example.note_leftover({{0, 0, 0}, 1, "i-1", now_ms + 4'000, true}));
        drop(now + milliseconds{29'000}, false);
        drop(now + longest, false);
        CPPUNIT_ASSERT(example.has_leftovers());
        drop(now + milliseconds{58'000}, true);
        drop(now + milliseconds{87'000}, false);
        CPPUNIT_ASSERT(example.has_leftovers());
        drop(now + milliseconds{88'000}, false);
        CPPUNIT_ASSERT(!example.has_leftovers());
    }

    // Each note was compared with all others: 20,000 took 1.5 s, in which the owner answered
    // nobody.
    void success_of_a_very_large_gang_takes_linear_time()
    {
        constexpr std::uint32_t members = 60'000;
        auto gang = with_tenant(make_gang(members));
        const auto run = gang.place_gang(0, 0, std::vector<worker_instance>(members, some_worker));
        const auto begun = std::clock();
        gang.end({0, 0, members / 2}, run, run_end::done, "", attempts, now_ms);
        const auto used_s = static_cast<double>(std::clock() - begun) / CLOCKS_PER_SEC;
        CPPUNIT_ASSERT_EQUAL(std::size_t{members - 1}, gang.leftovers().size());
        // Linear time is below a tenth of a second, also in slow builds.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(used_s) + " s", used_s < 2.0);
    }

    // A worker lists an unknown run in each answer to a hold until it has stopped it.
    void run_that_is_listed_again_and_again_is_recorded_every_five_seconds()
    {
        auto example = with_tenant(make_job({make_step(2)}));
        int records = 0;
        for (std::int64_t passed_ms = 0; passed_ms < 12'000; passed_ms += 40) {
            records +=
                example.note_leftover({{0, 0, 1}, 1, "i-1", now_ms + passed_ms, true}) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(3, records);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, example.leftovers().size());
    }

    void damaged_record_with_leftover_runs_causes_no_crash()
    {
        assert_property("a damaged record with leftover runs causes no crash", [] {
            auto example = with_tenant(make_job({make_step(3)}));
            example.note_leftover({{0, 0, 1}, 1, "i-1", now_ms, true});
            example.note_leftover({{0, 0, 2}, 1, "i-2", now_ms, false});
            auto state = example.encode_state();
            const auto index = *rc::gen::inRange<std::size_t>(0, state.size());
            state[index] = *rc::gen::arbitrary<std::uint8_t>();
            static_cast<void>(job::restore(example.header(), state));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_test);

} // namespace peridotrudder
