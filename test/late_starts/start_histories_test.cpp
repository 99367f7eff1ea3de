#include "late_starts/start_histories.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

std::string broken_rules(const history_options& options, std::size_t longest)
{
    return to_text(options, history_search{options}.run(longest));
}

std::string rules_broken_by_late_starts(bool late_renewals, std::size_t longest)
{
    std::string broken;
    for (const bool long_running : {false, true}) {
        for (const bool drains : {false, true}) {
            history_options options;
            options.m_long_running = long_running;
            options.m_drains = drains;
            options.m_late_renewals = late_renewals;
            broken += broken_rules(options, longest);
        }
    }
    return broken;
}

} // namespace

class start_histories_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(start_histories_test);
    CPPUNIT_TEST(no_late_start_ran_twice_in_any_short_history);
    CPPUNIT_TEST(no_late_start_ran_twice_beside_late_renewals);
    CPPUNIT_TEST(no_start_whose_answer_came_or_was_lost_ran_twice);
    CPPUNIT_TEST(late_starts_run_twice_if_no_owner_counts_with_them);
    CPPUNIT_TEST_SUITE_END();

public:
    void no_late_start_ran_twice_in_any_short_history()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{}, rules_broken_by_late_starts(false, 6));
    }

    void no_late_start_ran_twice_beside_late_renewals()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{}, rules_broken_by_late_starts(true, 5));
    }

    void no_start_whose_answer_came_or_was_lost_ran_twice()
    {
        for (const auto first : {first_start::answered, first_start::answer_lost}) {
            for (const bool long_running : {false, true}) {
                history_options options;
                options.m_first_start = first;
                options.m_long_running = long_running;
                options.m_drains = true;
                options.m_late_renewals = true;
                CPPUNIT_ASSERT_EQUAL(std::string{}, broken_rules(options, 5));
            }
        }
    }

    // Shows that the search finds the fault that it guards against.
    void late_starts_run_twice_if_no_owner_counts_with_them()
    {
        for (const bool long_running : {false, true}) {
            history_options options;
            options.m_long_running = long_running;
            options.m_drains = true;
            options.m_expected_delay = milliseconds{0};
            const auto result = history_search{options}.run(5);
            CPPUNIT_ASSERT(!result.m_broken.empty());
            for (const auto& [rule, broken] : result.m_broken) {
                CPPUNIT_ASSERT_EQUAL(rule, history_search::replay(options, broken.m_shortest));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(start_histories_test);

} // namespace peridotrudder
