#include "crash_histories/random_history.hpp"
#include "property.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

/// Whole histories of tasks that crash workers, takeovers, cuts, and crashes that no task causes.
class crash_histories_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crash_histories_test);
    CPPUNIT_TEST(crashes_stay_bounded_in_any_history);
    CPPUNIT_TEST(no_job_fails_without_cause_in_any_history);
    CPPUNIT_TEST_SUITE_END();

public:
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
