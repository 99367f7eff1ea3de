#include "crash_histories/random_history.hpp"
#include "property.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

/// Whole histories of tasks that crash workers at any time, some of which stay silent.
class late_crash_histories_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(late_crash_histories_test);
    CPPUNIT_TEST(late_crashes_stay_bounded_in_any_history);
    CPPUNIT_TEST_SUITE_END();

public:
    // A late crash that a takeover or a lapsed lease hides would let the task start too often.
    void late_crashes_stay_bounded_in_any_history()
    {
        assert_property("no task crashes more workers than allowed, however late", [] {
            fleet_simulation simulation{*rc::gen::arbitrary<std::uint64_t>()};
            simulation.judge_failed_jobs();
            simulation.set_crash_times(milliseconds{3'000}, 15);
            play_history(simulation);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_crash_histories_test);

} // namespace peridotrudder
