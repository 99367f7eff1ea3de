#include "scheduling/fleet_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

/// Starts that the next incarnation of a worker carries out before a hold with a token of its own
/// has reached it. Known to fail: see KNOWN-RED.txt.
class late_starts_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(late_starts_test);
    CPPUNIT_TEST(late_start_of_a_predecessor_was_repeated_elsewhere_since_its_vm_was_down);
    CPPUNIT_TEST(late_start_was_repeated_elsewhere_since_the_worker_was_silent);
    CPPUNIT_TEST_SUITE_END();

public:
    // A restarted worker has seen no token, so it carries out what a predecessor sent.
    void late_start_of_a_predecessor_was_repeated_elsewhere_since_its_vm_was_down()
    {
        for (std::uint64_t seed = 300; seed < 360; ++seed) {
            fleet_simulation simulation{seed};
            simulation.change_owner(false);
            simulation.pass(milliseconds{3'000});
            simulation.set_lateness(milliseconds{2'000}, milliseconds{2'500});
            simulation.set_faults({0, 0, 100});
            simulation.submit_long_running(8, 8);
            simulation.pass(milliseconds{30});
            simulation.set_faults({});
            simulation.crash(0, milliseconds{1'950}, milliseconds{3'000}, false);
            simulation.crash(1, milliseconds{1'950}, milliseconds{3'000}, false);
            simulation.change_owner(false);
            simulation.read_vm_list(milliseconds{10});
            simulation.pass(milliseconds{8'000});
            CPPUNIT_ASSERT_EQUAL(std::string{}, simulation.violation());
            CPPUNIT_ASSERT_EQUAL(std::size_t{8}, simulation.at_work());
        }
    }

    // The lease had lapsed, and the deadline of the start was one of the former clock.
    void late_start_was_repeated_elsewhere_since_the_worker_was_silent()
    {
        for (std::uint64_t seed = 300; seed < 360; ++seed) {
            fleet_simulation simulation{seed};
            simulation.change_owner(false);
            simulation.pass(milliseconds{3'000});
            simulation.set_lateness(milliseconds{8'000}, milliseconds{8'500});
            simulation.set_faults({0, 0, 100});
            simulation.submit_long_running(8, 8);
            simulation.pass(milliseconds{30});
            simulation.set_faults({});
            simulation.crash(0, milliseconds{7'950}, milliseconds{3'000}, false);
            simulation.crash(1, milliseconds{7'950}, milliseconds{3'000}, false);
            simulation.pass(milliseconds{12'000});
            CPPUNIT_ASSERT_EQUAL(std::string{}, simulation.violation());
            CPPUNIT_ASSERT_EQUAL(std::size_t{8}, simulation.at_work());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_starts_test);

} // namespace peridotrudder
