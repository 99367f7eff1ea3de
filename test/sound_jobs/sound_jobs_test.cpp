#include "scheduling/fleet_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

constexpr milliseconds settling_time{40'000};

} // namespace

/// Sound jobs whose workers crash by other causes. Known to fail: see KNOWN-RED.txt.
class sound_jobs_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sound_jobs_test);
    CPPUNIT_TEST(crashes_that_no_task_causes_fail_no_job);
    CPPUNIT_TEST(loss_of_all_workers_at_once_fails_no_job);
    CPPUNIT_TEST(loss_of_all_workers_while_no_run_is_new_fails_no_job);
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

    void loss_of_all_workers_at_once_fails_no_job()
    {
        lose_all_workers(40, [](fleet_simulation&) {});
    }

    void loss_of_all_workers_while_no_run_is_new_fails_no_job()
    {
        lose_all_workers(
            200, [](fleet_simulation& simulation) { simulation.pass_until_no_run_is_new(); });
    }

private:
    /// Crashes all workers five times in histories of the seeds up to `seeds`, each time after
    /// `wait`.
    static void lose_all_workers(std::uint64_t seeds,
                                 const std::function<void(fleet_simulation&)>& wait)
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            fleet_simulation simulation{seed};
            simulation.judge_failed_jobs();
            simulation.change_owner(false);
            simulation.submit_long_running(3, 1);
            for (std::uint32_t round = 0; round < 5; ++round) {
                simulation.submit(4, 2);
                simulation.pass(milliseconds{3'000 + 100 * static_cast<int>(seed % 7)});
                wait(simulation);
                for (std::uint32_t index = 0; index < 4; ++index) {
                    simulation.crash(index);
                }
            }
            CPPUNIT_ASSERT(simulation.completes_all_jobs(settling_time));
            CPPUNIT_ASSERT_EQUAL(std::string{}, simulation.violation());
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, simulation.failed_jobs());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sound_jobs_test);

} // namespace peridotrudder
