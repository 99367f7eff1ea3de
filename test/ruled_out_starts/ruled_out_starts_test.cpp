#include "late_starts/start_histories.hpp"
#include "property.hpp"
#include "scheduling/fleet_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace peridotrudder {

/// Late starts that an incarnation had come to refuse before it crashed: the next one under its id
/// doesn't know of that. Known to fail: see KNOWN-RED.txt.
class ruled_out_starts_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ruled_out_starts_test);
    CPPUNIT_TEST(start_that_a_former_incarnation_had_ruled_out_ran_beside_its_successor);
    CPPUNIT_TEST(invariants_hold_in_any_history_of_forgotten_workers);
    CPPUNIT_TEST_SUITE_END();

public:
    void start_that_a_former_incarnation_had_ruled_out_ran_beside_its_successor()
    {
        std::string broken;
        for (const bool long_running : {false, true}) {
            history_options options;
            options.m_long_running = long_running;
            options.m_drains = true;
            options.m_former_refusals_last = false;
            broken += to_text(options, history_search{options}.run(5));
        }
        CPPUNIT_ASSERT_EQUAL(std::string{}, broken);
    }

    void invariants_hold_in_any_history_of_forgotten_workers()
    {
        assert_property("nothing runs twice in any history of forgotten workers", [] {
            fleet_simulation simulation{*rc::gen::arbitrary<std::uint64_t>()};
            RC_ASSERT(play_forgetting_history(simulation, *forgetting_actions()) == "");
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ruled_out_starts_test);

} // namespace peridotrudder
