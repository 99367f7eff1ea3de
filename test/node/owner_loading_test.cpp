#include "fleet_owner_fixture.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace peridotrudder {

namespace {

constexpr milliseconds turn{2};
constexpr std::size_t many_jobs = 350;
const std::string tenant_key{"digest"};

std::string job_id(std::size_t number)
{
    return fmt::format("{:016x}", number);
}

/// A predecessor has left many jobs of one task each; four of them run on the only worker.
struct loading_fixture : owner_fixture {
    void leave_jobs()
    {
        serve();
        for (std::size_t number = 0; number < many_jobs; ++number) {
            submit(job_id(number));
        }
        pass(milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(std::size_t{many_jobs}, recorded_jobs());
        CPPUNIT_ASSERT_EQUAL(4, m_starts);
    }

    std::size_t recorded_jobs()
    {
        const auto& journal = m_topics["keyed.jobs"];
        return static_cast<std::size_t>(
            std::count_if(journal.begin(), journal.end(),
                          [](const auto& record) { return record.first.rfind("job/", 0) == 0; }));
    }

    void succeed()
    {
        m_answers.clear();
        m_events.clear();
        m_owner = make_owner(8);
        m_owner->start();
    }

    /// Runs the loop until the owner has restored half of the jobs.
    void load_half()
    {
        for (int turns = 0; m_owner->restored_jobs() < many_jobs / 2 && turns < 1'000; ++turns) {
            pass(turn);
        }
        CPPUNIT_ASSERT(m_owner->restored_jobs() >= many_jobs / 2);
        CPPUNIT_ASSERT(m_owner->phase() == owner_phase::loading);
    }

    void load()
    {
        for (int turns = 0; m_owner->phase() != owner_phase::serving && turns < 2'000; ++turns) {
            pass(turn);
        }
        CPPUNIT_ASSERT(m_owner->phase() == owner_phase::serving);
    }

    static job_call call_for(call_kind kind, const std::string& id)
    {
        job_call call;
        call.m_kind = kind;
        call.m_host = "host";
        call.m_path = "/queue/" + id;
        return call;
    }

    std::size_t count_events(const std::string& event) const
    {
        return static_cast<std::size_t>(std::count(m_events.begin(), m_events.end(), event));
    }
};

} // namespace

class owner_loading_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(owner_loading_test);
    CPPUNIT_TEST(no_turn_of_the_loop_loads_more_than_a_bounded_number_of_jobs);
    CPPUNIT_TEST(few_jobs_are_loaded_in_one_turn);
    CPPUNIT_TEST(proof_stays_recent_while_jobs_load);
    CPPUNIT_TEST(calls_that_come_while_jobs_load_are_answered_afterwards);
    CPPUNIT_TEST(early_calls_are_handled_in_bounded_numbers_and_in_order);
    CPPUNIT_TEST(owner_deposed_halfway_stops_loading);
    CPPUNIT_TEST(destroyed_owner_loads_no_further);
    CPPUNIT_TEST(unreadable_records_halfway_leave_the_other_jobs);
    CPPUNIT_TEST(nothing_starts_before_all_runs_count);
    CPPUNIT_TEST(nothing_starts_above_a_quota_that_adopted_runs_use_up);
    CPPUNIT_TEST(configuration_that_comes_while_jobs_load_is_in_force_afterwards);
    CPPUNIT_TEST(calls_are_answered_while_placement_pauses);
    CPPUNIT_TEST(freed_room_is_used_after_the_pause_of_placement);
    CPPUNIT_TEST_SUITE_END();

public:
    // An owner that loaded everything in one turn sent no heartbeat meanwhile, and was replaced.
    void no_turn_of_the_loop_loads_more_than_a_bounded_number_of_jobs()
    {
        loading_fixture it;
        it.leave_jobs();
        it.succeed();
        int turns_of_loading = 0;
        for (int turns = 0; it.m_owner->phase() != owner_phase::serving && turns < 100; ++turns) {
            const auto before = it.m_owner->restored_jobs() + it.m_owner->adopted_jobs();
            it.pass(turn);
            const auto handled = it.m_owner->restored_jobs() + it.m_owner->adopted_jobs() - before;
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} in one turn", handled),
                                   handled <= it.m_jobs_per_turn);
            turns_of_loading += handled > 0 ? 1 : 0;
        }
        CPPUNIT_ASSERT(it.m_owner->phase() == owner_phase::serving);
        CPPUNIT_ASSERT(turns_of_loading >= 7);
        CPPUNIT_ASSERT_EQUAL(many_jobs, it.m_owner->restored_jobs());
        CPPUNIT_ASSERT_EQUAL(many_jobs, it.m_owner->adopted_jobs());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.count_events("owner_loading"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.count_events("owner_loaded"));
    }

    // Steps must not delay small owners.
    void few_jobs_are_loaded_in_one_turn()
    {
        owner_fixture it;
        it.serve();
        for (std::size_t number = 0; number < 20; ++number) {
            it.submit(job_id(number));
        }
        it.pass(milliseconds{50});
        it.m_owner = it.make_owner(8);
        it.m_owner->start();
        for (int turns = 0; it.m_owner->restored_jobs() == 0 && turns < 100; ++turns) {
            it.pass(turn);
        }
        CPPUNIT_ASSERT(it.m_owner->phase() == owner_phase::serving);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, it.m_owner->adopted_jobs());
    }

    // Peers take an owner that has not written to the journal for long for one that has ended.
    void proof_stays_recent_while_jobs_load()
    {
        loading_fixture it;
        it.leave_jobs();
        it.m_jobs_per_turn = 1;
        it.succeed();
        milliseconds loading{0};
        while (it.m_owner->phase() != owner_phase::serving && loading < milliseconds{5'000}) {
            it.pass(turn);
            loading += turn;
            CPPUNIT_ASSERT(it.m_owner->proof_age() < milliseconds{500} ||
                           it.m_owner->phase() == owner_phase::claiming);
        }
        CPPUNIT_ASSERT(it.m_owner->phase() == owner_phase::serving);
        CPPUNIT_ASSERT(loading > milliseconds{1'200});
    }

    // A successor that answered before all jobs are restored would deny jobs that it has.
    void calls_that_come_while_jobs_load_are_answered_afterwards()
    {
        loading_fixture it;
        it.leave_jobs();
        it.m_jobs_per_turn = 10;
        it.succeed();
        it.load_half();
        const auto repeated = it.submit(job_id(many_jobs - 1));
        const auto added = it.submit(job_id(many_jobs));
        const auto query = it.m_next_token++;
        it.m_owner->take_call(query, it.call_for(call_kind::query, job_id(many_jobs - 2)));
        for (int turns = 0; it.m_owner->phase() == owner_phase::loading && turns < 1'000; ++turns) {
            CPPUNIT_ASSERT(it.m_answers.empty());
            it.pass(turn);
        }
        CPPUNIT_ASSERT_EQUAL(many_jobs, it.m_owner->adopted_jobs());
        it.pass(milliseconds{30});
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.status(repeated));
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.status(added));
        CPPUNIT_ASSERT_EQUAL(std::string{"state"}, it.status(query));
        CPPUNIT_ASSERT_EQUAL(many_jobs + 1, it.recorded_jobs());
    }

    // A backlog of calls must not hold up the loop either, nor be overtaken by newer calls.
    void early_calls_are_handled_in_bounded_numbers_and_in_order()
    {
        loading_fixture it;
        it.leave_jobs();
        it.m_jobs_per_turn = 10;
        it.succeed();
        it.load_half();
        const auto cancelled = job_id(many_jobs - 1);
        for (std::size_t number = 0; number < 100; ++number) {
            it.submit(job_id(number));
        }
        const auto cancel = it.m_next_token++;
        it.m_owner->take_call(cancel, it.call_for(call_kind::cancel, cancelled));
        it.load();
        const auto last = it.m_next_token++;
        it.m_owner->take_call(last, it.call_for(call_kind::cancel, job_id(many_jobs)));
        std::size_t answered = it.m_answers.size();
        CPPUNIT_ASSERT(answered <= it.m_jobs_per_turn);
        for (int turns = 0; it.m_answers.count(last) == 0 && turns < 100; ++turns) {
            it.pass(turn);
            CPPUNIT_ASSERT(it.m_answers.size() - answered <= 2 * it.m_jobs_per_turn);
            answered = it.m_answers.size();
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown_job"}, it.status(last));
        it.pass(milliseconds{30});
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.status(cancel));
        CPPUNIT_ASSERT_EQUAL(std::size_t{102}, it.m_answers.size());
    }

    // An owner that is deposed while it loads must neither answer nor start anything.
    void owner_deposed_halfway_stops_loading()
    {
        loading_fixture it;
        it.leave_jobs();
        it.m_jobs_per_turn = 1;
        it.succeed();
        it.load_half();
        const auto token = it.submit(job_id(many_jobs));
        it.m_epoch = 9;
        it.pass(milliseconds{500});
        CPPUNIT_ASSERT(it.m_ended);
        CPPUNIT_ASSERT(it.m_owner->phase() == owner_phase::ended);
        const auto restored = it.m_owner->restored_jobs() + it.m_owner->adopted_jobs();
        it.pass(milliseconds{2'000});
        CPPUNIT_ASSERT_EQUAL(restored, it.m_owner->restored_jobs() + it.m_owner->adopted_jobs());
        CPPUNIT_ASSERT_EQUAL(4, it.m_starts);
        CPPUNIT_ASSERT_EQUAL(std::string{"none yet"}, it.status(token));
        CPPUNIT_ASSERT_EQUAL(std::string{"not_owner"}, it.status(it.submit(job_id(many_jobs))));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.count_events("owner_loaded"));
    }

    // A step that is due after the owner has been destroyed must not touch it.
    void destroyed_owner_loads_no_further()
    {
        loading_fixture it;
        it.leave_jobs();
        it.m_jobs_per_turn = 1;
        it.succeed();
        it.load_half();
        it.m_events.clear();
        it.m_owner = it.make_owner(9);
        it.m_owner->start();
        it.pass(milliseconds{6});
        CPPUNIT_ASSERT(it.m_owner->phase() == owner_phase::loading);
        CPPUNIT_ASSERT(it.m_events.empty());
        it.load();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.count_events("owner_loaded"));
    }

    // One record that cannot be read must not end the loading at it.
    void unreadable_records_halfway_leave_the_other_jobs()
    {
        loading_fixture it;
        it.leave_jobs();
        auto& journal = it.m_topics["keyed.jobs"];
        journal["job/" + job_id(many_jobs / 2)] = {0xFF, 0x01};
        journal["run/" + job_id(many_jobs / 2 + 1)] = {0xFF, 0x01};
        it.m_jobs_per_turn = 20;
        it.succeed();
        it.load();
        const auto& jobs = it.m_owner->scheduler()->state().m_job_store.jobs();
        CPPUNIT_ASSERT_EQUAL(many_jobs - 2, jobs.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, jobs.count(job_id(many_jobs - 1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, jobs.count(job_id(many_jobs / 2)));
        it.pass(milliseconds{500});
        CPPUNIT_ASSERT_MESSAGE("the records are left alone",
                               journal.count("job/" + job_id(many_jobs / 2)) != 0);
    }

    // A worker or a quota would be used twice if a start came before the last adoption.
    void nothing_starts_before_all_runs_count()
    {
        loading_fixture it;
        it.leave_jobs();
        it.m_jobs_per_turn = 10;
        it.succeed();
        const auto held = it.m_holds.size();
        for (int turns = 0; it.m_owner->phase() != owner_phase::serving && turns < 1'000; ++turns) {
            it.pass(turn);
            CPPUNIT_ASSERT(it.m_owner->phase() == owner_phase::serving ||
                           it.m_holds.size() == held);
        }
        CPPUNIT_ASSERT_EQUAL(many_jobs, it.m_owner->adopted_jobs());
        it.pass(milliseconds{2'000});
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the worker is full with adopted runs", 4, it.m_starts);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                             it.m_owner->scheduler()->state().m_workers.at("i-1").runs().size());
    }

    // The quota of a tenant would be exceeded if a start came before the last adoption.
    void nothing_starts_above_a_quota_that_adopted_runs_use_up()
    {
        loading_fixture it;
        it.m_quota.m_cpu_millis = 2'000;
        it.m_keys[1] = {tenant_key};
        it.serve();
        for (std::size_t number = 0; number < many_jobs; ++number) {
            job_call call{call_kind::submit, "host", "/queue/" + job_id(number), job_spec{}};
            step_spec step;
            step.m_task_resources.m_cpu_millis = 1'000;
            call.m_spec->m_steps = {step};
            call.m_key_digest = tenant_key;
            it.m_owner->take_call(it.m_next_token++, call);
        }
        it.pass(milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(2, it.m_starts);
        it.m_jobs_per_turn = 10;
        it.succeed();
        it.load();
        it.pass(milliseconds{2'000});
        CPPUNIT_ASSERT_EQUAL(2, it.m_starts);
    }

    // Changes are no longer buffered once the jobs are restored, so they reach a scheduler that has
    // not adopted all runs yet.
    void configuration_that_comes_while_jobs_load_is_in_force_afterwards()
    {
        loading_fixture it;
        it.leave_jobs();
        it.m_jobs_per_turn = 1;
        it.succeed();
        for (int turns = 0; it.m_owner->adopted_jobs() < many_jobs / 2 && turns < 2'000; ++turns) {
            it.pass(turn);
        }
        CPPUNIT_ASSERT(it.m_owner->phase() == owner_phase::loading);
        it.write_config(2);
        it.load();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, it.m_owner->scheduler()->state().m_config.version());
        it.pass(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(4, it.m_starts);
    }

    // After slow passes that start nothing, records and answers must not wait for the next one.
    void calls_are_answered_while_placement_pauses()
    {
        loading_fixture it;
        it.leave_jobs();
        it.m_time_per_reading = milliseconds{3};
        it.pass(milliseconds{10});
        it.m_time_per_reading = milliseconds{0};
        const auto token = it.submit(job_id(many_jobs));
        it.pass(milliseconds{6});
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.status(token));
        CPPUNIT_ASSERT_EQUAL(many_jobs + 1, it.recorded_jobs());
    }

    // The pause must end without a further event.
    void freed_room_is_used_after_the_pause_of_placement()
    {
        loading_fixture it;
        it.leave_jobs();
        it.m_time_per_reading = milliseconds{1};
        it.pass(milliseconds{100});
        it.m_running.clear();
        it.pass(milliseconds{3'000});
        CPPUNIT_ASSERT(it.m_starts > 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(owner_loading_test);

} // namespace peridotrudder
