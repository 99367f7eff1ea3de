#include "peridotrudder/planning/tenant_report.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

class tenant_report_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(tenant_report_test);
    CPPUNIT_TEST(tenant_waits_where_ready_tasks_wait);
    CPPUNIT_TEST(tenant_at_its_quota_waits_although_the_pool_has_room);
    CPPUNIT_TEST(largest_backlogs_come_first_and_the_number_is_limited);
    CPPUNIT_TEST_SUITE_END();

    std::map<std::string, pool_load> m_loads;
    tenant_outlooks m_outlooks;

    void add(const std::string& pool, const std::string& tenant, double contracted, double excess)
    {
        auto& backlog = m_loads[pool].m_backlog_by_tenant[0][tenant];
        backlog.m_contracted.m_cpu += contracted * 1'000.0;
        backlog.m_excess.m_cpu += excess * 1'000.0;
    }

public:
    void tenant_waits_where_ready_tasks_wait()
    {
        add("full", "a", 10, 5);
        add("calm", "a", 70, 0);
        add("full", "", 10, 5);
        m_loads["full"].m_waiting = 1'000;
        const auto waiting = waiting_tenants(m_loads, m_outlooks, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, waiting.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, waiting[0].m_tenant);
        CPPUNIT_ASSERT_EQUAL(std::string{"full: 10 core ms contracted, 5 excess"},
                             waiting[0].m_detail);
    }

    void tenant_at_its_quota_waits_although_the_pool_has_room()
    {
        add("calm", "a", 10, 0);
        add("calm", "b", 20, 0);
        m_outlooks["a"].m_at_quota = true;
        m_outlooks["a"].m_quota.m_cpu_millis = 2'500;
        const auto waiting = waiting_tenants(m_loads, m_outlooks, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, waiting.size());
        CPPUNIT_ASSERT_EQUAL(
            std::string{"calm: 10 core ms contracted, 0 excess; at its quota, which leaves short "
                        "tasks 2500 thousandths of a core, any MB, any accelerators"},
            waiting[0].m_detail);
    }

    void largest_backlogs_come_first_and_the_number_is_limited()
    {
        m_loads["full"].m_waiting = 1'000;
        for (int index = 0; index < 1'000; ++index) {
            add("full", std::to_string(index), index, 0);
        }
        const auto waiting = waiting_tenants(m_loads, m_outlooks, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, waiting.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"999"}, waiting.front().m_tenant);
        CPPUNIT_ASSERT_EQUAL(std::string{"990"}, waiting.back().m_tenant);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(tenant_report_test);

} // namespace peridotrudder
