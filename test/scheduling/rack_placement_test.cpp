#include "scheduling/uneven_load.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

uneven_load_options with_seed(std::uint64_t seed)
{
    uneven_load_options options;
    options.m_seed = seed;
    return options;
}

uneven_load_options without_waits(uneven_load_options options)
{
    options.m_known_far_factor = 1.0;
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

/// Together they have as many tasks as the first rack has places.
constexpr std::size_t jobs_for_full_rack = 5;
constexpr milliseconds declared{540};

/// Fills the first rack, and submits another job for it when the runs there should soon end.
void overfill_first_rack(uneven_load& load, milliseconds took)
{
    for (std::size_t job = 0; job < jobs_for_full_rack; ++job) {
        load.submit(uneven_load::rack_name(0), declared, took);
    }
    load.pass(milliseconds{300});
    load.submit(uneven_load::rack_name(0), declared, took);
    load.pass(milliseconds{20});
}

} // namespace

class rack_placement_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(rack_placement_test);
    CPPUNIT_TEST(jobs_that_want_a_hot_rack_end_earlier_in_a_peak);
    CPPUNIT_TEST(jobs_that_want_a_rack_with_room_end_no_later);
    CPPUNIT_TEST(groups_run_together);
    CPPUNIT_TEST(each_wait_ends);
    CPPUNIT_TEST(without_a_known_factor_nothing_waits);
    CPPUNIT_TEST(task_without_a_rack_waited_behind_tasks_for_a_hot_rack);
    CPPUNIT_TEST(task_waited_for_a_rack_that_had_gone_silent);
    CPPUNIT_TEST(last_attempt_waited_for_a_rack);
    CPPUNIT_TEST(task_starved_behind_runs_that_do_not_end);
    CPPUNIT_TEST_SUITE_END();

public:
    void jobs_that_want_a_hot_rack_end_earlier_in_a_peak()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const auto with = replay(with_seed(seed));
            const auto without = replay(without_waits(with_seed(seed)));
            CPPUNIT_ASSERT(with.m_mean_ms < 0.9 * without.m_mean_ms);
            CPPUNIT_ASSERT(with.m_in_time_share > without.m_in_time_share + 0.1);
        }
    }

    void jobs_that_want_a_rack_with_room_end_no_later()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            auto options = with_seed(seed);
            options.m_peak_jobs_per_second = 8.0;
            const auto with = replay(options);
            const auto without = replay(without_waits(options));
            CPPUNIT_ASSERT(with.m_mean_ms <= 1.02 * without.m_mean_ms);
        }
    }

    void groups_run_together()
    {
        auto options = with_seed(1);
        options.m_same_rack = true;
        const auto with = replay(options);
        const auto without = replay(without_waits(options));
        CPPUNIT_ASSERT(with.m_mean_ms < 0.8 * without.m_mean_ms);
        CPPUNIT_ASSERT(with.m_near_starts * 100 > with.m_starts * 95);
    }

    void each_wait_ends()
    {
        const auto report = replay(with_seed(4));
        CPPUNIT_ASSERT(report.events("rack_wait") > 0);
        CPPUNIT_ASSERT_EQUAL(report.events("rack_wait"),
                             report.events("rack_reached") + report.events("rack_missed"));
    }

    void without_a_known_factor_nothing_waits()
    {
        const auto report = replay(without_waits(with_seed(4)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, report.events("rack_wait"));
    }

    void task_without_a_rack_waited_behind_tasks_for_a_hot_rack()
    {
        uneven_load load{with_seed(1)};
        overfill_first_rack(load, milliseconds{400});
        CPPUNIT_ASSERT(load.report().events("rack_wait") > 0);
        const auto plain = load.submit("", declared, milliseconds{300});
        load.pass(milliseconds{20});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{8}, load.placed_tasks(plain));
    }

    void task_waited_for_a_rack_that_had_gone_silent()
    {
        uneven_load load{with_seed(1)};
        load.silence_rack(0);
        load.pass(milliseconds{3'000});
        const auto id = load.submit(uneven_load::rack_name(0), declared, milliseconds{300});
        load.pass(milliseconds{50});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{8}, load.placed_tasks(id));
    }

    // A far run that succeeds is worth more than the last run of a job that comes too late.
    void last_attempt_waited_for_a_rack()
    {
        auto options = with_seed(1);
        options.m_attempts = 1;
        uneven_load load{options};
        overfill_first_rack(load, milliseconds{400});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, load.report().events("rack_wait"));
    }

    void task_starved_behind_runs_that_do_not_end()
    {
        uneven_load load{with_seed(1)};
        overfill_first_rack(load, milliseconds{60'000});
        CPPUNIT_ASSERT(load.report().events("rack_wait") > 0);
        load.pass(declared + milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(load.report().events("rack_wait"),
                             load.report().events("rack_missed"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{8 * (jobs_for_full_rack + 1)}, load.report().m_starts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rack_placement_test);

} // namespace peridotrudder
