#include "peridotrudder/links/link_attempts.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

constexpr milliseconds interval{200};

/// Checks until a step other than `none`, and returns the number of checks.
int checks_until(link_attempts& attempts, attempt_step expected, unsigned jitter = 0)
{
    constexpr int most = 1'000;
    for (int checks = 1; checks <= most; ++checks) {
        const auto step = attempts.check(jitter);
        if (step != attempt_step::none) {
            CPPUNIT_ASSERT(step == expected);
            return checks;
        }
    }
    CPPUNIT_FAIL("no step");
    return most;
}

} // namespace

class link_attempts_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(link_attempts_test);
    CPPUNIT_TEST(a_link_that_is_missing_is_opened_at_the_next_check);
    CPPUNIT_TEST(the_first_failures_are_followed_by_attempts_without_a_pause);
    CPPUNIT_TEST(more_failures_are_followed_by_pauses_of_a_second_at_most);
    CPPUNIT_TEST(processes_with_different_jitter_try_at_different_times);
    CPPUNIT_TEST(an_attempt_of_which_no_end_is_reported_is_given_up);
    CPPUNIT_TEST(a_slow_peer_gets_more_time_for_its_handshake);
    CPPUNIT_TEST(a_host_that_does_not_answer_gets_no_more_time);
    CPPUNIT_TEST(a_sign_of_life_ends_the_pause);
    CPPUNIT_TEST(a_link_that_was_open_starts_anew);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_link_that_is_missing_is_opened_at_the_next_check()
    {
        link_attempts attempts{interval};
        CPPUNIT_ASSERT_EQUAL(1, checks_until(attempts, attempt_step::start));
        CPPUNIT_ASSERT(attempts.trying());
    }

    void the_first_failures_are_followed_by_attempts_without_a_pause()
    {
        link_attempts attempts{interval};
        for (int failures = 0; failures < 2; ++failures) {
            CPPUNIT_ASSERT_EQUAL(1, checks_until(attempts, attempt_step::start, 7));
            attempts.failed();
        }
        CPPUNIT_ASSERT_EQUAL(2, attempts.failures());
    }

    void more_failures_are_followed_by_pauses_of_a_second_at_most()
    {
        link_attempts attempts{interval};
        int longest = 0;
        for (unsigned failures = 0; failures < 100; ++failures) {
            const int checks = checks_until(attempts, attempt_step::start, failures);
            CPPUNIT_ASSERT(interval * checks <= milliseconds{1'000});
            longest = std::max(longest, checks);
            attempts.failed();
        }
        CPPUNIT_ASSERT(interval * longest >= milliseconds{600});
    }

    void processes_with_different_jitter_try_at_different_times()
    {
        link_attempts left{interval};
        link_attempts right{interval};
        for (int failures = 0; failures < 10; ++failures) {
            checks_until(left, attempt_step::start, 0);
            checks_until(right, attempt_step::start, 3);
            left.failed();
            right.failed();
        }
        CPPUNIT_ASSERT(checks_until(left, attempt_step::start) !=
                       checks_until(right, attempt_step::start));
    }

    // An attempt whose end was never reported kept a link closed for good.
    void an_attempt_of_which_no_end_is_reported_is_given_up()
    {
        link_attempts attempts{interval};
        checks_until(attempts, attempt_step::start);
        const int checks = checks_until(attempts, attempt_step::give_up);
        CPPUNIT_ASSERT(interval * checks <= milliseconds{2'000});
        CPPUNIT_ASSERT(!attempts.trying());
        CPPUNIT_ASSERT_EQUAL(1, attempts.failures());
        CPPUNIT_ASSERT_EQUAL(1, checks_until(attempts, attempt_step::start));
    }

    // A process that was too slow for many handshakes within two seconds never got some of its
    // links.
    void a_slow_peer_gets_more_time_for_its_handshake()
    {
        link_attempts attempts{interval};
        for (const milliseconds limit : {milliseconds{4'000}, milliseconds{8'000},
                                         milliseconds{16'000}, milliseconds{16'000}}) {
            checks_until(attempts, attempt_step::start);
            attempts.connected();
            const int checks = checks_until(attempts, attempt_step::give_up);
            CPPUNIT_ASSERT_EQUAL(limit.count(), (interval * checks).count());
        }
    }

    void a_host_that_does_not_answer_gets_no_more_time()
    {
        link_attempts attempts{interval};
        for (int round = 0; round < 5; ++round) {
            checks_until(attempts, attempt_step::start);
            const int checks = checks_until(attempts, attempt_step::give_up);
            CPPUNIT_ASSERT_EQUAL(milliseconds{2'000}.count(), (interval * checks).count());
        }
    }

    void a_sign_of_life_ends_the_pause()
    {
        link_attempts attempts{interval};
        for (int failures = 0; failures < 10; ++failures) {
            checks_until(attempts, attempt_step::start, 3);
            attempts.failed();
        }
        attempts.peer_lives();
        CPPUNIT_ASSERT_EQUAL(1, checks_until(attempts, attempt_step::start));
        attempts.connected();
        checks_until(attempts, attempt_step::give_up);
        checks_until(attempts, attempt_step::start);
        attempts.connected();
        for (int checks = 0; checks < 30; ++checks) {
            CPPUNIT_ASSERT(attempts.check(0) == attempt_step::none);
        }
        attempts.peer_lives();
        CPPUNIT_ASSERT_EQUAL(1, checks_until(attempts, attempt_step::give_up));
    }

    void a_link_that_was_open_starts_anew()
    {
        link_attempts attempts{interval};
        for (int failures = 0; failures < 10; ++failures) {
            checks_until(attempts, attempt_step::start, 3);
            attempts.failed();
        }
        checks_until(attempts, attempt_step::start, 3);
        attempts.opened();
        CPPUNIT_ASSERT_EQUAL(0, attempts.failures());
        CPPUNIT_ASSERT_EQUAL(1, checks_until(attempts, attempt_step::start));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(link_attempts_test);

} // namespace peridotrudder
