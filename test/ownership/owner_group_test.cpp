#include "peridotrudder/ownership/owner_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace peridotrudder {

class owner_group_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(owner_group_test);
    CPPUNIT_TEST(owner_with_a_majority_records_nothing);
    CPPUNIT_TEST(owner_without_a_majority_records_its_group_once);
    CPPUNIT_TEST(links_that_open_one_by_one_are_recorded_once);
    CPPUNIT_TEST(regained_majority_is_recorded);
    CPPUNIT_TEST(unsuccessful_record_is_repeated_after_a_pause);
    CPPUNIT_TEST_SUITE_END();

    owner_group_report m_report;
    time_point m_now{milliseconds{1'000'000}};

    /// Returns the numbers that are to be recorded during the time, each of which is recorded.
    std::vector<std::uint64_t> run(std::size_t reached, milliseconds time)
    {
        std::vector<std::uint64_t> recorded;
        for (const auto until = m_now + time; m_now < until; m_now += milliseconds{10}) {
            if (const auto nodes = m_report.tick(reached, 9, m_now)) {
                recorded.push_back(*nodes);
                m_report.recorded(*nodes);
            }
        }
        return recorded;
    }

public:
    void owner_with_a_majority_records_nothing()
    {
        CPPUNIT_ASSERT(run(5, milliseconds{5'000}).empty());
    }

    void owner_without_a_majority_records_its_group_once()
    {
        CPPUNIT_ASSERT(run(1, milliseconds{5'000}) == std::vector<std::uint64_t>{1});
    }

    void links_that_open_one_by_one_are_recorded_once()
    {
        for (std::size_t reached = 1; reached < 4; ++reached) {
            CPPUNIT_ASSERT(run(reached, milliseconds{300}).empty());
        }
        CPPUNIT_ASSERT(run(4, milliseconds{5'000}) == std::vector<std::uint64_t>{4});
    }

    void regained_majority_is_recorded()
    {
        run(2, milliseconds{5'000});
        CPPUNIT_ASSERT(run(6, milliseconds{5'000}) == std::vector<std::uint64_t>{0});
    }

    void unsuccessful_record_is_repeated_after_a_pause()
    {
        int attempts = 0;
        for (int passed_ms = 0; passed_ms < 2'200; passed_ms += 10) {
            attempts += m_report.tick(1, 9, m_now + milliseconds{passed_ms}) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(2, attempts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(owner_group_test);

} // namespace peridotrudder
