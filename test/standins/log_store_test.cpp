#include "standins/fleet/log_store.hpp"

#include "platform/log_service.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <vector>

namespace standins {

using peridotrudder::http_request;
using peridotrudder::http_response;
using peridotrudder::keyed_record;

class log_store_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_store_test);
    CPPUNIT_TEST(conditional_append_succeeds_only_at_the_end_of_the_topic);
    CPPUNIT_TEST(rejects_older_producer_epochs_and_repeats_the_answer_to_a_repeated_append);
    CPPUNIT_TEST(a_read_returns_a_body_that_the_platform_adapter_parses);
    CPPUNIT_TEST(a_long_poll_is_answered_when_a_record_arrives_or_its_wait_time_is_over);
    CPPUNIT_TEST(newest_records_are_paged_and_leave_out_deleted_keys);
    CPPUNIT_TEST(a_read_of_dropped_history_fails_but_newest_values_remain);
    CPPUNIT_TEST_SUITE_END();

    log_store m_log;

    http_response call(const std::string& path, const std::string& query,
                       const std::string& body = "")
    {
        http_request request;
        request.m_path = path;
        request.m_query = query;
        request.m_body = body;
        http_response answer;
        answer.m_status = 0;
        m_log.answer(request, 0, [&answer](const http_response& response) { answer = response; });
        return answer;
    }

    static std::string frame_record(const std::string& key, const std::string& value)
    {
        keyed_record record{key, std::vector<std::uint8_t>{value.begin(), value.end()}, 0};
        return peridotrudder::platform::frame_records({record});
    }

    static nlohmann::json parse_json(const http_response& response)
    {
        return nlohmann::json::parse(response.m_body);
    }

public:
    void conditional_append_succeeds_only_at_the_end_of_the_topic()
    {
        const auto first =
            call("/-/log-append", "topic=keyed.a&part=0&at=0", frame_record("k", "1"));
        const auto late =
            call("/-/log-append", "topic=keyed.a&part=0&at=0", frame_record("k", "2"));

        CPPUNIT_ASSERT_EQUAL(200U, first.m_status);
        CPPUNIT_ASSERT_EQUAL(0, parse_json(first)["offset"].get<int>());
        CPPUNIT_ASSERT_EQUAL(412U, late.m_status);
        CPPUNIT_ASSERT_EQUAL(1, parse_json(late)["end"].get<int>());
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, m_log.newest("keyed.a", "k"));
    }

    void rejects_older_producer_epochs_and_repeats_the_answer_to_a_repeated_append()
    {
        const std::string producer_query = "topic=keyed.a&part=0&producer=p&epoch=";
        call("/-/log-append", producer_query + "4&sequence=1", "");
        const auto first =
            call("/-/log-append", producer_query + "4&sequence=1", frame_record("k", "1"));
        const auto again =
            call("/-/log-append", producer_query + "4&sequence=1", frame_record("k", "1"));
        const auto gap =
            call("/-/log-append", producer_query + "4&sequence=3", frame_record("k", "3"));
        call("/-/log-append", producer_query + "5&sequence=1", "");
        const auto former =
            call("/-/log-append", producer_query + "4&sequence=2", frame_record("k", "2"));

        CPPUNIT_ASSERT_EQUAL(first.m_body, again.m_body);
        CPPUNIT_ASSERT_EQUAL(409U, gap.m_status);
        CPPUNIT_ASSERT_EQUAL(2, parse_json(gap)["sequence"].get<int>());
        CPPUNIT_ASSERT_EQUAL(std::string{"fenced"},
                             parse_json(former)["reason"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, m_log.newest("keyed.a", "k"));
    }

    void a_read_returns_a_body_that_the_platform_adapter_parses()
    {
        call("/-/log-append", "topic=keyed.a&part=0",
             frame_record("k", "1") + frame_record("l", ""));

        const auto read = call("/-/log-read", "topic=keyed.a&part=0&from=0");
        const auto parsed = peridotrudder::platform::parse_read_body(read.m_body);

        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, parsed.m_end);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, parsed.m_records.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"k"}, parsed.m_records[0].m_key);
        CPPUNIT_ASSERT(!parsed.m_records[1].m_value);
    }

    void a_long_poll_is_answered_when_a_record_arrives_or_its_wait_time_is_over()
    {
        int answers = 0;
        http_request request;
        request.m_path = "/-/log-read";
        request.m_query = "topic=keyed.a&part=0&from=0&wait-ms=1000";
        const auto count = [&answers](const http_response&) { ++answers; };
        m_log.answer(request, 0, count);
        m_log.expire_reads(999);
        CPPUNIT_ASSERT_EQUAL(0, answers);

        m_log.put("keyed.a", "k", "1");
        CPPUNIT_ASSERT_EQUAL(1, answers);

        request.m_query = "topic=keyed.a&part=0&from=1&wait-ms=1000";
        m_log.answer(request, 0, count);
        m_log.expire_reads(1'000);
        CPPUNIT_ASSERT_EQUAL(2, answers);
    }

    void newest_records_are_paged_and_leave_out_deleted_keys()
    {
        constexpr int keys = 600;
        for (int index = 0; index < keys; ++index) {
            m_log.put("keyed.a", "key-" + std::to_string(1'000 + index), "v");
        }
        m_log.put("keyed.a", "key-1000", std::nullopt);

        const auto first = parse_json(call("/-/log-newest", "topic=keyed.a&part=0"));
        const auto last = first["items"].back()["key"].get<std::string>();
        const auto second =
            parse_json(call("/-/log-newest", "topic=keyed.a&part=0&depends-on=" + last));

        CPPUNIT_ASSERT(first["has-more"].get<bool>());
        CPPUNIT_ASSERT(!second["has-more"].get<bool>());
        CPPUNIT_ASSERT_EQUAL(std::size_t{keys - 1}, first["items"].size() + second["items"].size());
        CPPUNIT_ASSERT_EQUAL(std::string{"key-1001"}, first["items"][0]["key"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string{"dg=="}, first["items"][0]["value"].get<std::string>());
    }

    void a_read_of_dropped_history_fails_but_newest_values_remain()
    {
        m_log.put("keyed.a", "k", "1");
        m_log.forget_history();

        const auto read = call("/-/log-read", "topic=keyed.a&part=0&from=0");

        CPPUNIT_ASSERT_EQUAL(410U, read.m_status);
        CPPUNIT_ASSERT_EQUAL(1, parse_json(read)["first"].get<int>());
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, m_log.newest("keyed.a", "k"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_store_test);

} // namespace standins
