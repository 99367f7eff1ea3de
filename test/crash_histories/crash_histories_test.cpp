#include "crash_histories/random_history.hpp"
#include "property.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

/// Whole histories of tasks that crash workers, takeovers, cuts, and crashes that no task causes.
class crash_histories_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crash_histories_test);
    CPPUNIT_TEST(crashes_that_no_task_causes_fail_no_job);
    CPPUNIT_TEST(crashes_stay_bounded_in_any_history);
    CPPUNIT_TEST(no_job_fails_without_cause_in_any_history);
    CPPUNIT_TEST_SUITE_END();

public:
    // A sound job that is given up earns nothing.
    void crashes_that_no_task_causes_fail_no_job()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            fleet_simulation simulation{seed};
            simulation.judge_failed_jobs();
            simulation.change_owner(false);
            simulation.submit_long_running(3, 1);
            for (std::uint32_t round = 0; round < 16; ++round) {
                simulation.submit(4, 2);
                simulation.pass(milliseconds{1'000 + 50 * static_cast<int>(seed % 7)});
                simulation.crash(round);
            }
            CPPUNIT_ASSERT(simulation.completes_all_jobs(settling_time));
            CPPUNIT_ASSERT_EQUAL(std::string{}, simulation.violation());
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, simulation.failed_jobs());
        }
    }

    void crashes_stay_bounded_in_any_history()
    {
        assert_property("no task crashes more workers than allowed", [] {
            fleet_simulation simulation{*rc::gen::arbitrary<std::uint64_t>()};
            play_history(simulation);
        });
    }

    void no_job_fails_without_cause_in_any_history()
    {
        assert_property("no job fails unless two workers crashed under one of its tasks", [] {
            fleet_simulation simulation{*rc::gen::arbitrary<std::uint64_t>()};
            simulation.judge_failed_jobs();
            play_history(simulation);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_histories_test);

} // namespace peridotrudder
