#include "platform/wire_codec.hpp"
#include "property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace peridotrudder::platform {

namespace {

std::vector<std::uint8_t> bytes(const std::string& text)
{
    return {text.begin(), text.end()};
}

const std::string worker_entry =
    R"({"service":"pool","address":"10.0.0.9:8080","zone":"north","version":"v1","slots":8,)"
    R"("state":"ready","cold-left-ms":0,"capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},)"
    R"("labels":["a","r1-3"],"clock-ms":5,"sequence":4,"born":77})";

const std::string job_body =
    R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900,)"
    R"("data-rack":"r1-3"},{"count":2,"cpu":2000,"depends-on":[0],"checkpointing":true}]})";

const std::string hold_body =
    R"({"clock-ms":482113,"born":3,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41,7]],)"
    R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";

} // namespace

class wire_codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(wire_codec_test);
    CPPUNIT_TEST(job_is_read_and_absent_fields_are_zero);
    CPPUNIT_TEST(malformed_job_is_reported_with_the_kind_of_error);
    CPPUNIT_TEST(worker_entry_is_read);
    CPPUNIT_TEST(invalid_worker_entry_is_an_error);
    CPPUNIT_TEST(incomplete_list_of_runs_is_marked);
    CPPUNIT_TEST(answers_to_orders_are_mapped_to_results);
    CPPUNIT_TEST(orders_omit_empty_fields);
    CPPUNIT_TEST(configuration_is_read);
    CPPUNIT_TEST(limits_of_submissions_are_read);
    CPPUNIT_TEST(unusable_limit_is_marked_and_leaves_the_configuration_readable);
    CPPUNIT_TEST(damaged_bodies_are_decoded_without_a_crash);
    CPPUNIT_TEST_SUITE_END();

    static submission_limits limits_of(const std::string& text)
    {
        const auto config = decode_config(
            bytes(R"({"version":1,"routes":[],"services":[],"limits":)" + text + "}"));
        CPPUNIT_ASSERT_MESSAGE(text, config.has_value());
        return config->limits();
    }

public:
    void job_is_read_and_absent_fields_are_zero()
    {
        const auto job = decode_job(job_body);
        CPPUNIT_ASSERT(job.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"text"}, job->m_payload);
        CPPUNIT_ASSERT_EQUAL(std::string{"r1-3"}, job->m_steps[0].m_data_rack);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, job->m_steps[1].m_task_resources.m_memory_mb);
        CPPUNIT_ASSERT(job->m_steps[1].m_checkpointing && !job->m_steps[1].m_gang);
        CPPUNIT_ASSERT(!job->m_recurrence);
    }

    void malformed_job_is_reported_with_the_kind_of_error()
    {
        CPPUNIT_ASSERT(decode_job("{").error().m_fault == decode_fault::malformed);
        CPPUNIT_ASSERT(decode_job("[]").error().m_fault == decode_fault::malformed);
        CPPUNIT_ASSERT(decode_job("{}").error().m_fault == decode_fault::missing_field);
        CPPUNIT_ASSERT(decode_job(R"({"steps":[{"count":"four"}]})").error().m_fault ==
                       decode_fault::wrong_type);
        CPPUNIT_ASSERT(decode_job(R"({"steps":[{"count":-4}]})").error().m_fault ==
                       decode_fault::out_of_range);
    }

    void worker_entry_is_read()
    {
        const auto worker = decode_worker("i-1", bytes(worker_entry));
        CPPUNIT_ASSERT(worker.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"r1-3"}, worker->m_rack);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{8080}, worker->m_port);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{77}, worker->m_instance.m_born_ms);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{16'000}, worker->m_capacity.m_cpu_millis);
        CPPUNIT_ASSERT(!worker->m_draining);
    }

    void invalid_worker_entry_is_an_error()
    {
        CPPUNIT_ASSERT(!decode_worker("i-1", bytes("\xff\xfe")));
        CPPUNIT_ASSERT(!decode_worker("i-1", bytes("{}")));
        auto odd_state = worker_entry;
        odd_state.replace(odd_state.find("ready"), 5, "ruddy");
        CPPUNIT_ASSERT(!decode_worker("i-1", bytes(odd_state)));
        auto odd_address = worker_entry;
        odd_address.replace(odd_address.find(":8080"), 5, "-8080");
        CPPUNIT_ASSERT(!decode_worker("i-1", bytes(odd_address)));
    }

    void incomplete_list_of_runs_is_marked()
    {
        const auto answer = decode_hold_answer(200, hold_body);
        CPPUNIT_ASSERT(answer.m_result == order_result::accepted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.m_running.size());
        CPPUNIT_ASSERT_EQUAL(17U, answer.m_running[0].m_key.m_task.m_index);
        CPPUNIT_ASSERT_EQUAL(41U, answer.m_running[0].m_percent);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{58}, answer.m_ended[0].m_number);
        CPPUNIT_ASSERT(answer.m_ended[0].m_run_end == run_end::done);
        auto damaged = hold_body;
        damaged.replace(damaged.find("done"), 4, "gone");
        const auto incomplete = decode_hold_answer(200, damaged);
        CPPUNIT_ASSERT(incomplete.m_ended.empty());
        CPPUNIT_ASSERT_EQUAL(1U, incomplete.m_unreadable.value_or(0));
        CPPUNIT_ASSERT(!answer.m_unreadable.has_value());
        damaged.replace(damaged.find("running"), 7, "\"\"\"\"\"\"\"");
        CPPUNIT_ASSERT(decode_hold_answer(200, damaged).m_result == order_result::unanswered);
        auto no_list = hold_body;
        no_list.replace(no_list.find(R"([["5c0e)"), 1, "7,\"x\":[");
        CPPUNIT_ASSERT(decode_hold_answer(200, no_list).m_result == order_result::unanswered);
    }

    void answers_to_orders_are_mapped_to_results()
    {
        const auto result = [](std::uint32_t status, const std::string& body) {
            return std::string{to_string(decode_order_answer(status, body).m_result)};
        };
        CPPUNIT_ASSERT_EQUAL(std::string{"accepted"}, result(200, "{}"));
        CPPUNIT_ASSERT_EQUAL(std::string{"fenced"}, result(409, R"({"reason":"fence"})"));
        CPPUNIT_ASSERT_EQUAL(std::string{"obsolete"}, result(409, R"({"reason":"old"})"));
        CPPUNIT_ASSERT_EQUAL(std::string{"too_late"}, result(409, R"({"reason":"late"})"));
        CPPUNIT_ASSERT_EQUAL(std::string{"no_room"}, result(409, R"({"reason":"room"})"));
        CPPUNIT_ASSERT_EQUAL(std::string{"other_life"}, result(421, ""));
        CPPUNIT_ASSERT_EQUAL(std::string{"unhealthy"}, result(503, ""));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "an unknown status does not say whether the order was executed",
            std::string{"unanswered"}, result(500, ""));
    }

    void orders_omit_empty_fields()
    {
        start_order order;
        order.m_key = {"5c0e7a21d94b36f8", {0, 1, 17}};
        order.m_run = 2;
        const auto body = nlohmann::json::parse(encode_start(order));
        CPPUNIT_ASSERT_EQUAL(std::string{"5c0e7a21d94b36f8.0.1.17"},
                             body["task"].get<std::string>());
        CPPUNIT_ASSERT(!body.contains("checkpoint") && !body.contains("ticket"));
        hold_order hold;
        CPPUNIT_ASSERT(!nlohmann::json::parse(encode_hold(hold)).contains("deadline-ms"));
    }

    // Guards against limits of the configuration that are not applied.
    void limits_of_submissions_are_read()
    {
        const auto limits = limits_of(R"({"max-body-bytes":9000,"max-header-bytes":2048})");
        CPPUNIT_ASSERT(limits.m_max_body_bytes == std::size_t{9'000});
        CPPUNIT_ASSERT(limits.m_max_header_bytes == std::size_t{2'048});
        CPPUNIT_ASSERT(!limits.m_is_body_unusable && !limits.m_is_header_unusable);
        CPPUNIT_ASSERT(!limits_of("{}").m_max_body_bytes && !limits_of("{}").m_is_body_unusable);
    }

    // Guards against an odd limit that shuts out all callers or holds up a removed key.
    void unusable_limit_is_marked_and_leaves_the_configuration_readable()
    {
        for (const std::string value : {"0", "-1", "16777217", "18446744073709551616", "1e300",
                                        "2.5", "\"9000\"", "true", "[]", "{}"}) {
            const auto limits =
                limits_of(R"({"max-header-bytes":2048,"max-body-bytes":)" + value + "}");
            CPPUNIT_ASSERT_MESSAGE(value, limits.m_is_body_unusable && !limits.m_max_body_bytes);
            CPPUNIT_ASSERT(limits.m_max_header_bytes == std::size_t{2'048});
        }
        for (const std::string value : {"[]", "7", "\"none\""}) {
            CPPUNIT_ASSERT(limits_of(value).m_is_body_unusable);
            CPPUNIT_ASSERT(limits_of(value).m_is_header_unusable);
        }
    }

    void configuration_is_read()
    {
        const auto config = decode_config(bytes(
            R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/q/","service":"p",)"
            R"("attempts":3,"stretch":1.6,"target-duration-ms":600,"priority":1}],)"
            R"("services":[{"name":"p","spare":false},{"name":"s","spare":true}]})"));
        CPPUNIT_ASSERT(config.has_value());
        const auto* queue = config->match("h", "/q/0123");
        CPPUNIT_ASSERT(queue != nullptr);
        CPPUNIT_ASSERT_EQUAL(3U, queue->m_attempts);
        CPPUNIT_ASSERT(config->match("h", "/other/") == nullptr);
        CPPUNIT_ASSERT(config->find_pool("s")->m_spare);
    }

    void damaged_bodies_are_decoded_without_a_crash()
    {
        assert_property("damaged bodies", [] {
            auto text = *rc::gen::element(job_body, worker_entry, hold_body);
            const auto times = *rc::gen::inRange(1, 4);
            for (int time = 0; time < times; ++time) {
                text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
            }
            static_cast<void>(decode_job(text));
            static_cast<void>(decode_hold_answer(200, text));
            static_cast<void>(decode_order_answer(409, text));
            static_cast<void>(decode_worker("i-1", bytes(text)));
            static_cast<void>(decode_config(bytes(text)));
            static_cast<void>(decode_wave(bytes(text)));
            std::string next;
            static_cast<void>(decode_platform_vms(text, next));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(wire_codec_test);

} // namespace peridotrudder::platform
