#include "peridotrudder/telemetry/node_metrics.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

class node_metrics_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(node_metrics_test);
    CPPUNIT_TEST(durations_are_histograms_by_what_took_the_time);
    CPPUNIT_TEST(answers_are_counted_by_kind_and_status);
    CPPUNIT_TEST(tenants_without_a_name_of_their_own_are_counted_together);
    CPPUNIT_TEST(counts_of_a_tenant_that_loses_its_name_are_kept_in_the_sum);
    CPPUNIT_TEST(gauges_of_tenants_are_replaced_together);
    CPPUNIT_TEST(gauges_of_grades_are_replaced_together);
    CPPUNIT_TEST_SUITE_END();

    node_metrics m_metrics;

    bool shows(const std::string& line) const
    {
        return m_metrics.expose().find(line) != std::string::npos;
    }

public:
    void durations_are_histograms_by_what_took_the_time()
    {
        m_metrics.measured("job_begun", milliseconds{40});
        m_metrics.measured("job_begun", milliseconds{700});
        m_metrics.measured("append", milliseconds{8});

        CPPUNIT_ASSERT(shows(R"(peridot_duration_seconds_count{of="job_begun"} 2)"));
        CPPUNIT_ASSERT(shows(R"(peridot_duration_seconds_bucket{of="job_begun",le="0.05"} 1)"));
        CPPUNIT_ASSERT(shows(R"(peridot_duration_seconds_count{of="append"} 1)"));
    }

    void answers_are_counted_by_kind_and_status()
    {
        m_metrics.answered("submit", "overloaded", milliseconds{1});
        CPPUNIT_ASSERT(shows(R"(peridot_job_calls_total{kind="submit",status="overloaded"} 1)"));
    }

    void tenants_without_a_name_of_their_own_are_counted_together()
    {
        m_metrics.name_tenants({"big"});
        m_metrics.decided_for("big", "excess", "job_refused");
        for (int index = 0; index < 1'000; ++index) {
            m_metrics.decided_for("small-" + std::to_string(index), "excess", "job_refused");
        }
        CPPUNIT_ASSERT(shows(series("big", "excess", "job_refused") + " 1"));
        CPPUNIT_ASSERT(shows(series("", "excess", "job_refused") + " 1000"));
        CPPUNIT_ASSERT_EQUAL(2, series_count());
    }

    void counts_of_a_tenant_that_loses_its_name_are_kept_in_the_sum()
    {
        for (int version = 0; version < 100; ++version) {
            const auto name = "tenant-" + std::to_string(version);
            m_metrics.name_tenants({name, "stays"});
            m_metrics.decided_for(name, "contracted", "job_accepted");
            m_metrics.decided_for("stays", "contracted", "job_accepted");
        }
        CPPUNIT_ASSERT(shows(series("", "contracted", "job_accepted") + " 99"));
        CPPUNIT_ASSERT(shows(series("tenant-99", "contracted", "job_accepted") + " 1"));
        CPPUNIT_ASSERT(shows(series("stays", "contracted", "job_accepted") + " 100"));
        CPPUNIT_ASSERT_EQUAL(3, series_count());
    }

    // A tenant that is removed, or a node that has lost its ownership, must not show old values.
    void gauges_of_tenants_are_replaced_together()
    {
        m_metrics.set_tenant_gauges({{"acme", "waiting_jobs", 3}, {"base", "waiting_jobs", 4}});
        CPPUNIT_ASSERT(shows(R"(peridot_tenant{name="waiting_jobs",tenant="acme"} 3)"));
        m_metrics.set_tenant_gauges({{"base", "waiting_jobs", 5}, {"base", "waiting_jobs", 6}});
        CPPUNIT_ASSERT(!shows(R"(tenant="acme")"));
        CPPUNIT_ASSERT(shows(R"(peridot_tenant{name="waiting_jobs",tenant="base"} 6)"));
        m_metrics.set_tenant_gauges({});
        CPPUNIT_ASSERT(!shows("peridot_tenant{"));
    }

    // A node that has lost its ownership must not show old grades.
    void gauges_of_grades_are_replaced_together()
    {
        m_metrics.set_grade_gauges({{"pool", "full", 3}, {"pool", "out", 1}});
        CPPUNIT_ASSERT(shows(R"(peridot_graded_workers{grade="out",pool="pool"} 1)"));
        m_metrics.set_grade_gauges({{"pool", "full", 4}});
        CPPUNIT_ASSERT(shows(R"(peridot_graded_workers{grade="full",pool="pool"} 4)"));
        CPPUNIT_ASSERT(!shows(R"(grade="out")"));
        m_metrics.set_grade_gauges({});
        CPPUNIT_ASSERT(!shows("peridot_graded_workers{"));
    }

private:
    /// Returns the name of a tenant's counter with its labels, which are sorted by name.
    static std::string series(const std::string& tenant, const std::string& kind,
                              const std::string& event)
    {
        return "peridot_tenant_jobs_total{event=\"" + event + "\",kind=\"" + kind + "\",tenant=\"" +
               tenant + "\"}";
    }

    int series_count() const
    {
        const std::string name{"peridot_tenant_jobs_total{"};
        const auto text = m_metrics.expose();
        int count = 0;
        for (auto at = text.find(name); at != std::string::npos; at = text.find(name, at + 1)) {
            ++count;
        }
        return count;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_metrics_test);

} // namespace peridotrudder
