#include "peridotrudder/telemetry/spans.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace peridotrudder {

class spans_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(spans_test);
    CPPUNIT_TEST(traceparent_is_read_back);
    CPPUNIT_TEST(malformed_traceparent_is_refused);
    CPPUNIT_TEST(any_header_is_read_or_refused);
    CPPUNIT_TEST(span_refers_to_its_parent);
    CPPUNIT_TEST(store_drops_the_oldest_span);
    CPPUNIT_TEST_SUITE_END();

public:
    void traceparent_is_read_back()
    {
        const auto context = new_trace();
        const auto read = parse_traceparent(context.to_traceparent());
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(context.m_trace_id, read->m_trace_id);
        CPPUNIT_ASSERT_EQUAL(context.m_span_id, read->m_span_id);
    }

    void malformed_traceparent_is_refused()
    {
        CPPUNIT_ASSERT(!parse_traceparent(""));
        CPPUNIT_ASSERT(
            !parse_traceparent("00-" + std::string(32, '0') + "-" + std::string(16, '1') + "-01"));
        CPPUNIT_ASSERT(
            !parse_traceparent("00-" + std::string(32, 'g') + "-" + std::string(16, '1') + "-01"));
    }

    void any_header_is_read_or_refused()
    {
        CPPUNIT_ASSERT(rc::check("any header", [](const std::string& header) {
            const auto read = parse_traceparent(header);
            RC_ASSERT(!read || read->m_trace_id.size() == 32U);
        }));
    }

    void span_refers_to_its_parent()
    {
        const auto parent = new_trace();
        span_timer timer{parent, "hop", "request"};
        const auto finished = timer.finish("done");
        CPPUNIT_ASSERT_EQUAL(parent.m_trace_id, finished.m_trace_id);
        CPPUNIT_ASSERT_EQUAL(parent.m_span_id, finished.m_parent_id);
        CPPUNIT_ASSERT(finished.m_end_unix_ns >= finished.m_start_unix_ns);
    }

    void store_drops_the_oldest_span()
    {
        span_store store{1};
        store.add(span_timer{new_trace(), "one", "first"}.finish(""));
        store.add(span_timer{new_trace(), "two", "second"}.finish(""));
        CPPUNIT_ASSERT(spans_of(store, "first").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, spans_of(store, "second").size());
    }

private:
    static nlohmann::json spans_of(const span_store& store, std::string_view request)
    {
        return store.export_request(request, "entry")["resourceSpans"][0]["scopeSpans"][0]["spans"];
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(spans_test);

} // namespace peridotrudder
