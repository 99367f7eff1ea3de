#include "peridotrudder/machines/worker_health.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace peridotrudder {

class worker_health_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_health_test);
    CPPUNIT_TEST(consecutive_failures_eject_a_worker);
    CPPUNIT_TEST(success_resets_the_count_of_failures);
    CPPUNIT_TEST(failure_after_an_ejection_ejects_for_longer);
    CPPUNIT_TEST(at_most_half_of_the_pool_is_ejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void consecutive_failures_eject_a_worker()
    {
        worker_health health;
        fail(health, "vm-1", 5, m_now);
        CPPUNIT_ASSERT(!health.usable("vm-1", m_now));
        CPPUNIT_ASSERT(health.usable("vm-1", m_now + milliseconds{1'000}));
    }

    void success_resets_the_count_of_failures()
    {
        worker_health health;
        fail(health, "vm-1", 4, m_now);
        health.succeeded("vm-1");
        fail(health, "vm-1", 4, m_now);
        CPPUNIT_ASSERT(health.usable("vm-1", m_now));
    }

    void failure_after_an_ejection_ejects_for_longer()
    {
        worker_health health;
        fail(health, "vm-1", 5, m_now);
        const auto back = m_now + milliseconds{1'000};
        fail(health, "vm-1", 1, back);
        CPPUNIT_ASSERT(!health.usable("vm-1", back + milliseconds{1'999}));
        CPPUNIT_ASSERT(health.usable("vm-1", back + milliseconds{2'000}));
    }

    void at_most_half_of_the_pool_is_ejected()
    {
        worker_health health;
        for (int index = 0; index < 10; ++index) {
            fail(health, fmt::format("vm-{}", index), 20, m_now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, health.ejected(m_now));
    }

private:
    const time_point m_now{milliseconds{1'000'000}};

    static void fail(worker_health& health, const std::string& vm, int times, time_point failed_at)
    {
        constexpr std::size_t pool_size = 10;
        for (int count = 0; count < times; ++count) {
            health.failed(vm, pool_size, failed_at);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_health_test);

} // namespace peridotrudder
