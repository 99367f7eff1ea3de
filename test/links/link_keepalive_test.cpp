#include "peridotrudder/links/link_keepalive.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

/// Counts the checks until the first step other than `none`, and returns that step in `step`.
int checks_until_step(link_keepalive& keepalive, keepalive_step& step)
{
    constexpr int most = 1'000;
    for (int checks = 1; checks <= most; ++checks) {
        step = keepalive.check();
        if (step != keepalive_step::none) {
            return checks;
        }
    }
    return most;
}

} // namespace

class link_keepalive_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(link_keepalive_test);
    CPPUNIT_TEST(a_link_in_use_is_pinged_more_often_than_an_idle_one);
    CPPUNIT_TEST(an_answered_ping_keeps_the_link);
    CPPUNIT_TEST(a_link_that_answers_no_ping_is_closed_even_while_it_is_used);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_link_in_use_is_pinged_more_often_than_an_idle_one()
    {
        link_keepalive in_use;
        link_keepalive idle;
        auto step = keepalive_step::none;
        in_use.used();
        const int soon = checks_until_step(in_use, step);
        CPPUNIT_ASSERT(step == keepalive_step::ping);
        const int late = checks_until_step(idle, step);
        CPPUNIT_ASSERT(step == keepalive_step::ping);
        CPPUNIT_ASSERT(soon * 10 < late);
    }

    void an_answered_ping_keeps_the_link()
    {
        link_keepalive keepalive;
        auto step = keepalive_step::none;
        for (int round = 0; round < 5; ++round) {
            keepalive.used();
            checks_until_step(keepalive, step);
            CPPUNIT_ASSERT(step == keepalive_step::ping);
            keepalive.answered();
        }
    }

    void a_link_that_answers_no_ping_is_closed_even_while_it_is_used()
    {
        link_keepalive keepalive;
        auto step = keepalive_step::none;
        keepalive.used();
        checks_until_step(keepalive, step);
        keepalive.used();
        checks_until_step(keepalive, step);
        CPPUNIT_ASSERT(step == keepalive_step::close);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(link_keepalive_test);

} // namespace peridotrudder
