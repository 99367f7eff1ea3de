#include "peridotrudder/telemetry/log_budget.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

class log_budget_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_budget_test);
    CPPUNIT_TEST(lines_beyond_the_budget_are_suppressed_and_counted);
    CPPUNIT_TEST(first_line_of_a_kind_is_always_written);
    CPPUNIT_TEST(routine_lines_do_not_displace_lines_of_reserved_kinds);
    CPPUNIT_TEST(calls_without_a_key_displaced_the_lines_of_decisions);
    CPPUNIT_TEST_SUITE_END();

public:
    void lines_beyond_the_budget_are_suppressed_and_counted()
    {
        auto budget = log_budget::create(3);
        int written = 0;
        for (int line = 0; line < 10; ++line) {
            written += budget.allows("run_ended", now) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(3, written);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, budget.take_suppressed_count());
        CPPUNIT_ASSERT(budget.allows("run_ended", now + milliseconds{1'000}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, budget.take_suppressed_count());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, budget.take_suppressed_count());
    }

    void first_line_of_a_kind_is_always_written()
    {
        auto budget = log_budget::create(1);
        CPPUNIT_ASSERT(budget.allows("run_ended", now));
        CPPUNIT_ASSERT(!budget.allows("run_ended", now));
        CPPUNIT_ASSERT(budget.allows("resigned", now));
    }

private:
    const time_point now{milliseconds{1'000'000}};

    // A caller with a wrong key can cause any number of lines.
    void calls_without_a_key_displaced_the_lines_of_decisions()
    {
        auto budget = log_budget::create(2, {}, {"call_unauthorized"});
        CPPUNIT_ASSERT(budget.allows("job_accepted", now));
        CPPUNIT_ASSERT(budget.allows("call_unauthorized", now));
        for (int line = 0; line < 10; ++line) {
            CPPUNIT_ASSERT(!budget.allows("call_unauthorized", now));
        }
        CPPUNIT_ASSERT(budget.allows("job_accepted", now));
        CPPUNIT_ASSERT(budget.allows("call_unauthorized", now + milliseconds{1'000}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, budget.take_suppressed_count());
    }

    // Guards against runs that were repeated without a line that tells why.
    void routine_lines_do_not_displace_lines_of_reserved_kinds()
    {
        auto budget = log_budget::create(2, {"run_lost"});
        for (int line = 0; line < 10; ++line) {
            budget.allows("job_accepted", now);
        }
        CPPUNIT_ASSERT(budget.allows("run_lost", now));
        CPPUNIT_ASSERT(budget.allows("run_lost", now));
        CPPUNIT_ASSERT(!budget.allows("run_lost", now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_budget_test);

} // namespace peridotrudder
