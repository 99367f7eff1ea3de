#include "peridotrudder/telemetry/node_metrics.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

class node_metrics_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(node_metrics_test);
    CPPUNIT_TEST(durations_are_histograms_by_what_took_the_time);
    CPPUNIT_TEST(answers_are_counted_by_kind_and_status);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_metrics_test);

} // namespace peridotrudder
