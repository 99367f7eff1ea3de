#include "peridotrudder/contracts/availability.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

class availability_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(availability_test);
    CPPUNIT_TEST(failures_at_the_budgeted_rate_give_a_burn_rate_of_one);
    CPPUNIT_TEST(too_few_requests_give_a_burn_rate_of_zero);
    CPPUNIT_TEST(old_failures_leave_the_window);
    CPPUNIT_TEST_SUITE_END();

public:
    void failures_at_the_budgeted_rate_give_a_burn_rate_of_one()
    {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, burn_rate({999, 1}, 1'000), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, burn_rate({990, 10}, 1'000), 1e-9);
    }

    void too_few_requests_give_a_burn_rate_of_zero()
    {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, burn_rate({0, 50}, 1'000), 1e-9);
    }

    void old_failures_leave_the_window()
    {
        const time_point start{milliseconds{1'000'000}};
        availability_window window;
        window.count(false, start);
        window.count(true, start + availability_window::length / 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             window.counts(start + availability_window::length / 2).m_bad);
        const auto later = start + availability_window::length;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, window.counts(later).m_bad);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, window.counts(later).m_good);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(availability_test);

} // namespace peridotrudder
