#include "peridotrudder/routing/admission.hpp"
#include "peridotrudder/routing/retry_budget.hpp"
#include "peridotrudder/routing/run_time_estimator.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace peridotrudder {

class retry_budget_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(retry_budget_test);
    CPPUNIT_TEST(retries_never_exceed_the_burst_and_the_share_of_successes);
    CPPUNIT_TEST(failures_without_successes_exhaust_the_budget);
    CPPUNIT_TEST(admission_limits_each_customer_separately);
    CPPUNIT_TEST(learned_run_time_overrides_the_declared_one);
    CPPUNIT_TEST_SUITE_END();

public:
    void retries_never_exceed_the_burst_and_the_share_of_successes()
    {
        CPPUNIT_ASSERT(rc::check("budget", [](const std::vector<bool>& events) {
            retry_budget budget{100'000, 3};
            std::size_t successes = 0;
            std::size_t retries = 0;
            for (const bool success : events) {
                if (success) {
                    budget.earn();
                    ++successes;
                }
                else {
                    retries += budget.spend() ? 1 : 0;
                }
                RC_ASSERT(retries <= 3 + successes / 10);
            }
        }));
    }

    void failures_without_successes_exhaust_the_budget()
    {
        retry_budget budget{100'000, 2};
        CPPUNIT_ASSERT(budget.spend());
        CPPUNIT_ASSERT(budget.spend());
        CPPUNIT_ASSERT(!budget.spend());
    }

    void admission_limits_each_customer_separately()
    {
        admission limiter;
        CPPUNIT_ASSERT(limiter.enter("schools", 1));
        CPPUNIT_ASSERT(!limiter.enter("schools", 1));
        CPPUNIT_ASSERT(limiter.enter("parks", 1));
        limiter.leave("schools");
        CPPUNIT_ASSERT(limiter.enter("schools", 1));
    }

    void learned_run_time_overrides_the_declared_one()
    {
        run_time_estimator estimator;
        CPPUNIT_ASSERT(!estimator.is_long("route", milliseconds{10}));
        estimator.learn("route", milliseconds{5'000});
        CPPUNIT_ASSERT(estimator.is_long("route", milliseconds{10}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_budget_test);

} // namespace peridotrudder
