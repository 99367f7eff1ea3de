#include "peridotrudder/telemetry/log_timeline.hpp"
#include "property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

namespace peridotrudder {

namespace {

std::string line(int second, const std::string& event, const std::string& job,
                 const std::string& detail = "")
{
    return fmt::format(
        R"({{ "timestamp": "2026-01-03 06:06:{:02},500", "level": "INFO", "message": "{}", )"
        R"("context_map": {{ "job": "{}", "detail": "{}" }} }})"
        "\n",
        second, event, job, detail);
}

std::string tenant_line(int second, const std::string& event, const std::string& job,
                        const std::string& tenant, const std::string& kind,
                        const std::string& detail = "", const std::string& took_ms = "")
{
    return fmt::format(
        R"({{ "timestamp": "2026-01-03 06:06:{:02},500", "level": "INFO", "message": "{}", )"
        R"("context_map": {{ "job": "{}", "tenant": "{}", "kind": "{}", "detail": "{}", )"
        R"("took_ms": "{}" }} }})"
        "\n",
        second, event, job, tenant, kind, detail, took_ms);
}

std::string events_of(const std::vector<timeline_entry>& entries)
{
    std::string events;
    for (const auto& entry : entries) {
        events += entry.m_node + ":" + entry.m_event + " ";
    }
    return events;
}

} // namespace

class log_timeline_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_timeline_test);
    CPPUNIT_TEST(lines_of_several_nodes_are_sorted_by_time);
    CPPUNIT_TEST(changes_of_owner_in_between_are_shown);
    CPPUNIT_TEST(pools_are_shown_only_while_the_job_waits);
    CPPUNIT_TEST(waiting_of_the_jobs_own_tenant_is_shown_only);
    CPPUNIT_TEST(summary_tells_tenant_kind_refusals_and_wait);
    CPPUNIT_TEST(summary_of_a_job_without_tenant_is_empty_unless_it_was_refused);
    CPPUNIT_TEST(unknown_id_gives_no_lines);
    CPPUNIT_TEST(arbitrary_text_never_crashes);
    CPPUNIT_TEST_SUITE_END();

public:
    void lines_of_several_nodes_are_sorted_by_time()
    {
        const std::vector<log_source> logs{
            {"a", line(1, "job_accepted", "aa") + line(2, "job_accepted", "bb")},
            {"b", "  12.5 b " + line(4, "call_not_served", "", "/queue/aa")},
            {"a", line(3, "job_ended", "aa", "completed")}};

        const auto entries = build_timeline("aa", logs);

        CPPUNIT_ASSERT_EQUAL(std::string{"a:job_accepted a:job_ended b:call_not_served "},
                             events_of(entries));
        CPPUNIT_ASSERT_EQUAL(std::string{"detail=completed job=aa"}, entries[1].m_fields);
    }

    void changes_of_owner_in_between_are_shown()
    {
        const std::vector<log_source> logs{
            {"a", line(0, "owner_loaded", "") + line(1, "job_accepted", "aa")},
            {"b", line(2, "claiming", "") + line(3, "owner_loaded", "") +
                      line(4, "job_ended", "aa") + line(5, "resigned", "")}};
        CPPUNIT_ASSERT_EQUAL(std::string{"a:job_accepted b:claiming b:owner_loaded b:job_ended "},
                             events_of(build_timeline("aa", logs)));
    }

    void pools_are_shown_only_while_the_job_waits()
    {
        const std::vector<log_source> logs{
            {"a", line(1, "job_accepted", "aa") + line(2, "pools", "") +
                      line(3, "job_begun", "aa") + line(4, "pools", "") +
                      line(5, "job_ended", "aa")}};
        CPPUNIT_ASSERT_EQUAL(std::string{"a:job_accepted a:pools a:job_begun a:job_ended "},
                             events_of(build_timeline("aa", logs)));
    }

    void waiting_of_the_jobs_own_tenant_is_shown_only()
    {
        const std::vector<log_source> logs{
            {"a", tenant_line(1, "tenant_waiting", "", "big", "") +
                      tenant_line(2, "job_accepted", "aa", "big", "contracted") +
                      tenant_line(3, "tenant_waiting", "", "small", "") +
                      tenant_line(4, "tenant_waiting", "", "big", "") + line(5, "job_begun", "aa") +
                      tenant_line(6, "tenant_waiting", "", "big", "") +
                      line(7, "job_ended", "aa")}};
        const auto entries = build_timeline("aa", logs);
        CPPUNIT_ASSERT_EQUAL(
            std::string{"a:job_accepted a:tenant_waiting a:job_begun a:job_ended "},
            events_of(entries));
        CPPUNIT_ASSERT_EQUAL(std::string{"big"}, entries[1].m_tenant);
    }

    void summary_tells_tenant_kind_refusals_and_wait()
    {
        const std::vector<log_source> logs{
            {"a",
             tenant_line(1, "job_refused", "aa", "big", "excess", "would end too late: first") +
                 tenant_line(2, "job_refused", "aa", "big", "excess", "would end too late") +
                 tenant_line(3, "job_accepted", "aa", "big", "contracted", "queue") +
                 tenant_line(4, "tenant_waiting", "", "big", "", "pool: 5 core ms") +
                 tenant_line(5, "job_begun", "aa", "", "", "", "1700")}};
        const auto lines = describe_summary(summarize_job(build_timeline("aa", logs)));
        const std::vector<std::string> expected{
            "tenant big, contracted",
            "refused 2 time(s), at last because it would end too late",
            "waited 1700 ms for its first start",
            "its tenant's waiting work then: pool: 5 core ms",
        };
        CPPUNIT_ASSERT(expected == lines);
    }

    void summary_of_a_job_without_tenant_is_empty_unless_it_was_refused()
    {
        const std::vector<log_source> logs{
            {"a", line(1, "job_accepted", "aa") + line(2, "job_begun", "aa") +
                      line(3, "job_refused", "bb", "would end too late")}};
        CPPUNIT_ASSERT(describe_summary(summarize_job(build_timeline("aa", logs))).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             describe_summary(summarize_job(build_timeline("bb", logs))).size());
    }

    void unknown_id_gives_no_lines()
    {
        const std::vector<log_source> logs{{"a", line(1, "owner_loaded", "bb")}};
        CPPUNIT_ASSERT(build_timeline("aa", logs).empty());
        CPPUNIT_ASSERT(build_timeline("aa", {}).empty());
    }

    void arbitrary_text_never_crashes()
    {
        assert_property("any text", [] {
            const auto text = *rc::gen::arbitrary<std::string>();
            const std::vector<log_source> logs{{"a", text + line(1, "job_ended", "aa")}};
            static_cast<void>(build_timeline("aa", logs));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_timeline_test);

} // namespace peridotrudder
