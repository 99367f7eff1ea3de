#include "peridotrudder/contracts/limits.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace peridotrudder {

class limits_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(limits_test);
    CPPUNIT_TEST(shares_of_all_entries_cover_the_whole);
    CPPUNIT_TEST(more_capacity_never_lowers_a_limit);
    CPPUNIT_TEST(failure_budget_is_what_availability_leaves);
    CPPUNIT_TEST(drain_outlasts_the_time_to_wait);
    CPPUNIT_TEST_SUITE_END();

public:
    void shares_of_all_entries_cover_the_whole()
    {
        CPPUNIT_ASSERT(rc::check("shares", [] {
            const auto total_count = *rc::gen::inRange<std::uint32_t>(1, 100'000);
            const auto entries = *rc::gen::inRange<std::size_t>(1, 100);
            const auto share = entry_share(total_count, entries);
            RC_ASSERT(share >= 1U);
            RC_ASSERT(share <= total_count);
            RC_ASSERT(std::uint64_t{share} * entries >= total_count);
        }));
    }

    void more_capacity_never_lowers_a_limit()
    {
        CPPUNIT_ASSERT(rc::check("monotone", [] {
            contract smaller;
            smaller.m_capacity_slots = *rc::gen::inRange<std::uint32_t>(1, 10'000);
            contract larger = smaller;
            larger.m_capacity_slots += *rc::gen::inRange<std::uint32_t>(0, 10'000);
            const auto less = derive_limits(smaller);
            const auto more = derive_limits(larger);
            RC_ASSERT(less.m_max_pending <= more.m_max_pending);
            RC_ASSERT(less.m_retry_burst <= more.m_retry_burst);
        }));
    }

    void failure_budget_is_what_availability_leaves()
    {
        contract value;
        value.m_availability_ppm = 999'000;
        CPPUNIT_ASSERT_EQUAL(1'000U, derive_limits(value).m_failure_budget_ppm);
    }

    void drain_outlasts_the_time_to_wait()
    {
        contract value;
        value.m_time_to_wait = milliseconds{20'000};
        CPPUNIT_ASSERT(derive_limits(value).m_drain_time > value.m_time_to_wait);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limits_test);

} // namespace peridotrudder
