/// @file
/// Input that another writer, a worker or a caller can send and that no decoder may use: each is an
/// error of its entry only.

#include "platform/log_service.hpp"
#include "platform/policy_service.hpp"
#include "platform/wire_codec.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace peridotrudder::platform {

namespace {

constexpr std::size_t record_bytes = 262'144;
constexpr std::uint32_t status_ok = 200;
constexpr std::uint32_t status_conflict = 409;
/// More than any tail latency in milliseconds that a run can have.
constexpr std::int64_t max_load = 1'000'000'000;

std::vector<std::uint8_t> bytes(const std::string& text)
{
    return {text.begin(), text.end()};
}

/// Returns `levels` arrays, each within the one before.
std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

std::string with(std::string text, const std::string& part, const std::string& replacement)
{
    const auto position = text.find(part);
    CPPUNIT_ASSERT(position != std::string::npos);
    return text.replace(position, part.size(), replacement);
}

const std::string worker_entry =
    R"({"service":"pool","address":"10.0.0.9:8080","zone":"north","version":"v1","slots":8,)"
    R"("state":"ready","cold-left-ms":0,"capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},)"
    R"("labels":["a","r1-3"],"clock-ms":5,"sequence":4,"born":77})";

const std::string hold_body =
    R"({"clock-ms":482113,"born":3,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41,7]],)"
    R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";

struct replacement {
    std::string m_part;
    std::string m_by;
};

void assert_refused(const std::vector<replacement>& table)
{
    CPPUNIT_ASSERT(decode_worker("i-1", bytes(worker_entry)).has_value());
    for (const auto& odd : table) {
        CPPUNIT_ASSERT_MESSAGE(
            odd.m_part + " -> " + odd.m_by,
            !decode_worker("i-1", bytes(with(worker_entry, odd.m_part, odd.m_by))).has_value());
    }
}

std::string read_body(const std::string& records)
{
    return std::string("\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\x02", 16) + records;
}

} // namespace

class odd_entries_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(odd_entries_test);
    CPPUNIT_TEST(answer_with_a_reason_that_is_no_text_ended_the_process);
    CPPUNIT_TEST(worker_with_an_id_that_is_not_utf8_ended_the_process);
    CPPUNIT_TEST(id_with_a_line_feed_added_a_header_to_orders);
    CPPUNIT_TEST(address_that_is_no_host_and_port_was_used);
    CPPUNIT_TEST(entry_with_an_absurd_number_was_used);
    CPPUNIT_TEST(times_beyond_any_clock_overflowed);
    CPPUNIT_TEST(entry_without_a_birth_told_of_the_incarnation_that_answers);
    CPPUNIT_TEST(real_number_beyond_the_range_was_converted);
    CPPUNIT_TEST(record_without_content_stopped_the_follower);
    CPPUNIT_TEST(one_odd_key_made_the_list_of_records_unreadable);
    CPPUNIT_TEST(one_odd_row_made_the_answer_of_a_worker_unreadable);
    CPPUNIT_TEST(end_of_an_unknown_kind_was_lost);
    CPPUNIT_TEST(end_with_an_odd_checkpoint_could_not_be_read);
    CPPUNIT_TEST(odd_row_of_a_running_task_did_not_tell_its_task);
    CPPUNIT_TEST(deeply_nested_entry_named_a_worker);
    CPPUNIT_TEST(deeply_nested_configuration_ended_the_process);
    CPPUNIT_TEST(one_odd_vm_made_the_list_of_vms_unreadable);
    CPPUNIT_TEST_SUITE_END();

public:
    // The library throws for a value of another type, which no caller of the decoders expects.
    void answer_with_a_reason_that_is_no_text_ended_the_process()
    {
        const std::array<std::string, 5> reasons{"7", "[]", "{}", "true", "1e30"};
        for (const auto& reason : reasons) {
            const auto body = R"({"reason":)" + reason + "}";
            CPPUNIT_ASSERT(decode_order_answer(status_conflict, body).m_result ==
                           order_result::invalid);
            CPPUNIT_ASSERT(decode_hold_answer(status_conflict, body).m_result ==
                           order_result::invalid);
        }
    }

    // The library throws when text that is not UTF-8 is written; keys may have any bytes.
    void worker_with_an_id_that_is_not_utf8_ended_the_process()
    {
        CPPUNIT_ASSERT(!decode_worker("i-\xff", bytes(worker_entry)));
        const step_key step{"5c0e7a21d94b36f8", 0, 1};
        const policy_request question{step, {{"i-\xff", 3}}, {}};
        CPPUNIT_ASSERT(!encode_question(question).empty());
        start_order order;
        order.m_checkpoint = "\xff";
        CPPUNIT_ASSERT(!encode_start(order).empty());
    }

    // An order names its worker's id in a header.
    void id_with_a_line_feed_added_a_header_to_orders()
    {
        using namespace std::string_literals;
        const std::array<std::string, 6> ids{"", "i-1\r\nX: y", "i-1\n", "i\0001"s, "i 1", "i\x7f"};
        for (const auto& id : ids) {
            CPPUNIT_ASSERT_MESSAGE(id, !decode_worker(id, bytes(worker_entry)));
        }
    }

    // The address becomes part of a URL.
    void address_that_is_no_host_and_port_was_used()
    {
        const std::array<std::string, 22> odd{
            "10.0.0.9:0",
            "10.0.0.9:65536",
            "10.0.0.9:99999999999999999999",
            "10.0.0.9:-1",
            "10.0.0.9:+80",
            "10.0.0.9: 80",
            "10.0.0.9:80x",
            "10.0.0.9:",
            "10.0.0.9",
            ":80",
            "",
            "fe80::1:80",
            "[fe80::1:80",
            "[]:80",
            "10.0.0.9 :80",
            "10.0.0.9/path?:80",
            "user@10.0.0.9:80",
            "10.0.0.9#:80",
            R"(10.0.0.9\r\nHost: x:80)",
            R"(10.0.0.9\u0000:80)",
            R"(höst:80)",
            std::string(record_bytes / 2, 'a') + ":80",
        };
        std::vector<replacement> table;
        for (const auto& address : odd) {
            table.push_back({"10.0.0.9:8080", address});
        }
        assert_refused(table);
        const std::array<std::string, 3> good{"10.0.0.9:65535", "[fe80::1]:80", "host-1.local:1"};
        for (const auto& address : good) {
            CPPUNIT_ASSERT_MESSAGE(
                address, decode_worker("i-1", bytes(with(worker_entry, "10.0.0.9:8080", address))));
        }
    }

    // Sums of capacities overflow, and a worker that is not there draws all work.
    void entry_with_an_absurd_number_was_used()
    {
        std::vector<replacement> table;
        const std::array<std::string, 10> numbers{"1e400",
                                                  "9223372036854775807",
                                                  "9223372036854775808",
                                                  "18446744073709551616",
                                                  "-1",
                                                  "1e30",
                                                  "0.5",
                                                  "\"1\"",
                                                  "1000000001",
                                                  "[1]"};
        for (const auto& number : numbers) {
            table.push_back({"\"cpu\":16000", "\"cpu\":" + number});
            table.push_back({"\"mem-mb\":32768", "\"mem-mb\":" + number});
            table.push_back({"\"gpu\":0", "\"gpu\":" + number});
        }
        table.push_back({R"({"cpu":16000,"mem-mb":32768,"gpu":0})", "7"});
        table.push_back({R"({"cpu":16000,"mem-mb":32768,"gpu":0})", "null"});
        assert_refused(table);
        CPPUNIT_ASSERT_MESSAGE(
            "estimate",
            !decode_job(R"({"steps":[{"count":1,"estimate-ms":9223372036854775807}]})"));
        CPPUNIT_ASSERT_MESSAGE("request",
                               !decode_job(R"({"steps":[{"count":1,"cpu":9223372036854775807}]})"));
        CPPUNIT_ASSERT_MESSAGE("interval",
                               !decode_job(R"({"steps":[{"count":1}],"repeats":3,"first-ms":1,)"
                                           R"("interval-ms":9223372036854775807})"));
    }

    void times_beyond_any_clock_overflowed()
    {
        const std::array<std::string, 6> numbers{
            "1e400", "9223372036854775807", "9223372036854775808", "-1", "1e30", "0.5"};
        std::vector<replacement> table;
        for (const auto& number : numbers) {
            table.push_back({"\"born\":77", "\"born\":" + number});
        }
        assert_refused(table);
        const auto hold = [](const std::string& part, const std::string& by) {
            return decode_hold_answer(status_ok, with(hold_body, part, by)).m_result;
        };
        CPPUNIT_ASSERT(hold("7]]", "7]]") == order_result::accepted);
        CPPUNIT_ASSERT(hold("482113", "9223372036854775807") == order_result::unanswered);
        CPPUNIT_ASSERT(hold("482113", "-9223372036854775808") == order_result::unanswered);
        CPPUNIT_ASSERT(hold("\"born\":3", "\"born\":-1") == order_result::unanswered);
        CPPUNIT_ASSERT(!decode_order_answer(status_ok, R"({"clock-ms":9223372036854775807})")
                            .m_clock_ms.has_value());
        CPPUNIT_ASSERT(
            !decode_policy_answer(status_ok, R"({"good":[],"valid-ms":9223372036854775807})")
                 .m_answered);
    }

    // The worker was given the capacity of such an entry.
    void entry_without_a_birth_told_of_the_incarnation_that_answers()
    {
        assert_refused({{R"(,"born":77)", ""},
                        {"\"born\":77", "\"born\":null"},
                        {"\"born\":77", "\"born\":0"},
                        {"\"born\":77", "\"born\":\"77\""}});
    }

    // The conversion of a real number beyond the range of an integer is undefined.
    void real_number_beyond_the_range_was_converted()
    {
        for (const std::string seconds : {"1e30", "-1e30", "-1", "1e400"}) {
            CPPUNIT_ASSERT_MESSAGE(
                seconds, !decode_wave(bytes(R"({"wave":1,"duration-s":)" + seconds + "}")));
        }
        CPPUNIT_ASSERT(decode_wave(bytes(R"({"wave":1,"duration-s":2.5})"))->m_duration ==
                       milliseconds{2'500});
        for (const std::string load : {"1e30", "-1e30", "9223372036854775807"}) {
            const auto answer = decode_hold_answer(status_ok, with(hold_body, "7]]", load + "]]"));
            CPPUNIT_ASSERT(answer.m_result == order_result::accepted);
            CPPUNIT_ASSERT_MESSAGE(load, answer.m_running[0].m_load >= 0 &&
                                             answer.m_running[0].m_load <= max_load);
        }
        CPPUNIT_ASSERT(!decode_config(
            bytes(R"({"version":1,"routes":[{"host":"h","path-prefix":"/","service":"s",)"
                  R"("stretch":1e300}]})")));
    }

    // The follower read the batch with such a record again and again.
    void record_without_content_stopped_the_follower()
    {
        const auto good = frame_records({{"key", std::vector<std::uint8_t>{1, 2, 3}, 0}});
        const std::string empty(4, '\0');
        const std::string key_longer_than_content{"\0\0\0\x02\xff\x41", 6};
        const auto answer =
            parse_read_body(read_body(good + empty + key_longer_than_content + good));
        CPPUNIT_ASSERT(answer.m_result == log_result::ok);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("offsets are counted", std::size_t{4},
                                     answer.m_records.size());
        for (const std::size_t odd : {1, 2}) {
            CPPUNIT_ASSERT(answer.m_records[odd].m_key.empty());
            CPPUNIT_ASSERT(!answer.m_records[odd].m_value.has_value());
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"key"}, answer.m_records[3].m_key);
    }

    // A follower reads the list again until it can be read.
    void one_odd_key_made_the_list_of_records_unreadable()
    {
        const std::string good = R"({"key":"i-1","value":"AQID","offset":4})";
        const std::array<std::string, 10> odd{"null",
                                              "7",
                                              "[]",
                                              "{}",
                                              R"({"key":7,"value":"AQID","offset":5})",
                                              "{\"key\":\"i-\xff\",\"value\":\"AQID\"}",
                                              R"({"key":"i-2","offset":1e400})",
                                              R"({"value":"AQID","offset":5})",
                                              nested(40),
                                              nested(100'000)};
        for (const auto& item : odd) {
            for (const auto& items : {item + "," + good, good + "," + item}) {
                const auto page =
                    parse_newest_body(R"({"items":[)" + items + R"(],"has-more":true,"end":9})");
                CPPUNIT_ASSERT_MESSAGE(item.substr(0, 80), page.m_result == log_result::ok);
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, page.m_records.size());
                CPPUNIT_ASSERT_EQUAL(std::string{"i-1"}, page.m_records[0].m_key);
                CPPUNIT_ASSERT_EQUAL(std::size_t{3}, page.m_records[0].m_value->size());
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, page.m_end);
                CPPUNIT_ASSERT(page.m_more);
            }
        }
        for (const std::string body : {"", "[]", "{}", R"({"items":7})", R"({"items":[})"}) {
            CPPUNIT_ASSERT(parse_newest_body(body).m_result == log_result::invalid);
        }
    }

    // A worker whose answers cannot be read counts as silent, and its runs are lost.
    void one_odd_row_made_the_answer_of_a_worker_unreadable()
    {
        const std::string running = R"(["5c0e7a21d94b36f8.0.1.17",2,"c",41,7])";
        const std::string ended = R"([58,"5c0e7a21d94b36f8.0.1.9",1,"done",""])";
        const std::array<std::string, 14> odd{"null",
                                              "7",
                                              "[]",
                                              "{}",
                                              "[1]",
                                              R"([7,7])",
                                              R"(["no task",2,"c",41,7])",
                                              R"(["5c0e7a21d94b36f8.0.1.17",-2,"c",41,7])",
                                              R"(["5c0e7a21d94b36f8.0.1.17",1e400,"c",41,7])",
                                              R"([59,"5c0e7a21d94b36f8.0.1.9",1,"asleep",""])",
                                              R"([59,"5c0e7a21d94b36f8.0.1",1,"done",""])",
                                              R"([59,"5c0e7a21d94b36f8.0.1.9",1e400,"done",""])",
                                              nested(40),
                                              nested(100'000)};
        for (const auto& row : odd) {
            for (const auto& part : {running, ended}) {
                for (const auto& by : {row + "," + part, part + "," + row}) {
                    const auto answer = decode_hold_answer(status_ok, with(hold_body, part, by));
                    CPPUNIT_ASSERT_MESSAGE(row.substr(0, 80),
                                           answer.m_result == order_result::accepted);
                    CPPUNIT_ASSERT_EQUAL(1U, answer.m_unreadable.value_or(0));
                    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.m_running.size());
                    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.m_ended.size());
                }
            }
        }
        CPPUNIT_ASSERT(!decode_hold_answer(status_ok, hold_body).m_unreadable);
        const auto unknown_end =
            decode_hold_answer(status_ok, with(hold_body, "\"done\"", "\"asleep\""));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{58}, unknown_end.m_unreadable_end.value_or(0));
    }

    // The run may have ended successfully, so its task must not start again.
    void end_of_an_unknown_kind_was_lost()
    {
        const std::string ended = R"([58,"5c0e7a21d94b36f8.0.1.9",1,"done",""])";
        const std::string task = R"([58,"5c0e7a21d94b36f8.0.1.9",)";
        for (const std::string rest :
             {R"(1,"asleep",""])", R"(1,7,""])", R"(1,null,""])", "1]", R"(1,[],""])"}) {
            const auto answer = decode_hold_answer(status_ok, with(hold_body, ended, task + rest));
            CPPUNIT_ASSERT_MESSAGE(rest, answer.m_ended.empty());
            CPPUNIT_ASSERT_MESSAGE(rest, answer.m_unclear_ends.has_value());
            const auto& end = answer.m_unclear_ends->at(0);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{58}, end.m_number);
            CPPUNIT_ASSERT(end.m_key == run_key({"5c0e7a21d94b36f8", {0, 1, 9}}));
            CPPUNIT_ASSERT_EQUAL(1U, end.m_run);
        }
        const auto unknown_run =
            decode_hold_answer(status_ok, with(hold_body, ended, task + R"(-1,"done",""])"));
        CPPUNIT_ASSERT(unknown_run.m_unclear_ends.has_value());
        CPPUNIT_ASSERT_EQUAL(0U, unknown_run.m_unclear_ends->at(0).m_run);
        CPPUNIT_ASSERT(!decode_hold_answer(status_ok, hold_body).m_unclear_ends);
    }

    void end_with_an_odd_checkpoint_could_not_be_read()
    {
        const auto answer =
            decode_hold_answer(status_ok, with(hold_body, R"("done",""])", R"("failed",7])"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.m_ended.size());
        CPPUNIT_ASSERT(run_end::failed == answer.m_ended[0].m_run_end);
        CPPUNIT_ASSERT_EQUAL(std::string{}, answer.m_ended[0].m_checkpoint);
    }

    // Such a row hid that other runs were lost.
    void odd_row_of_a_running_task_did_not_tell_its_task()
    {
        const auto answer =
            decode_hold_answer(status_ok, with(hold_body, R"(2,"c",41,7])", R"(-2,"c",41,7])"));
        CPPUNIT_ASSERT(answer.m_unclear_running.has_value());
        CPPUNIT_ASSERT(answer.m_unclear_running->at(0) ==
                       run_key({"5c0e7a21d94b36f8", {0, 1, 17}}));
        CPPUNIT_ASSERT(!decode_hold_answer(status_ok, hold_body).m_unclear_running);
    }

    void deeply_nested_entry_named_a_worker()
    {
        for (const std::size_t levels : {40, 10'000, 120'000}) {
            assert_refused({{"\"slots\":8", "\"slots\":" + nested(levels)},
                            {"\"labels\":[\"a\",\"r1-3\"]", "\"labels\":" + nested(levels)},
                            {"\"slots\":8", "\"slots\":" + std::string(levels, '[')}});
        }
        CPPUNIT_ASSERT_MESSAGE(
            "brackets in text do not nest",
            decode_worker("i-1", bytes(with(worker_entry, "\"v1\"",
                                            '"' + std::string(100, '[') + R"(\"[[")"))));
    }

    // The other VMs count; the caller learns that the list is incomplete.
    void one_odd_vm_made_the_list_of_vms_unreadable()
    {
        const std::string vm =
            R"({"machine":"m-1","pool":"pool","state":"up","zone":"north","labels":["a","r1"],)"
            R"("capacity":{"cpu":16000,"mem-mb":32768},"id":"i-1"})";
        std::vector<std::string> odd{
            "null", "7", "[]", "{}", nested(40), nested(100'000), R"({"machine":"[\"]}{"})"};
        const std::vector<replacement> table{
            {R"("machine":"m-1",)", ""},
            {R"("m-1")", "7"},
            {R"("pool":"pool",)", ""},
            {R"("pool":"pool")", R"("pool":[])"},
            {R"("state":"up",)", ""},
            {R"("up")", R"("asleep")"},
            {R"("up")", "null"},
            {R"("up")", "1"},
            {R"("i-1")", "{}"},
            {R"(["a","r1"])", R"("a")"},
            {R"(["a","r1"])", nested(40)},
            {R"(["a","r1"])", nested(100'000)},
            {R"({"cpu":16000,"mem-mb":32768})", "[]"},
            {"16000", "1e400"},
            {"16000", "-1"},
            {"16000", "9223372036854775808"},
            {"16000", R"("16000")"},
            {R"("north")", "1e400"},
        };
        for (const auto& change : table) {
            odd.push_back(with(vm, change.m_part, change.m_by));
        }
        for (const auto& entry : odd) {
            for (const auto& body : {"[" + entry + "," + vm + "]", "[ " + vm + " , " + entry + "]",
                                     "[" + vm + "," + entry + "," + vm + "]"}) {
                std::string next;
                const auto list =
                    decode_platform_vms(R"({"machines":)" + body + R"(,"next-token":"2"})", next);
                CPPUNIT_ASSERT_MESSAGE(entry.substr(0, 80), list.has_value());
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list->m_unreadable);
                CPPUNIT_ASSERT(!list->m_vms.empty());
                CPPUNIT_ASSERT_EQUAL(std::string{"i-1"}, list->m_vms.back().m_worker);
                CPPUNIT_ASSERT_EQUAL(std::string{"2"}, next);
            }
        }
    }

    // The library copies a tree recursively, so a copy of a deep one overflows the stack.
    void deeply_nested_configuration_ended_the_process()
    {
        const auto levels = (record_bytes - 100) / 2;
        CPPUNIT_ASSERT(!decode_config(bytes(R"({"version":1,"routes":)" + nested(levels) + "}")));
        CPPUNIT_ASSERT(!decode_wave(bytes(R"({"wave":1,"machines":)" + nested(levels) + "}")));
        CPPUNIT_ASSERT(!decode_job(R"({"steps":)" + nested(levels) + "}"));
        std::string next;
        const auto vms = decode_platform_vms(R"({"machines":)" + nested(levels) + "}", next);
        CPPUNIT_ASSERT(vms && vms->m_vms.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, vms->m_unreadable);
        CPPUNIT_ASSERT(!decode_platform_vms(R"({"machines":{"a":)" + nested(levels) + "}}", next));
        const auto answer = R"({"reason":)" + nested(levels) + "}";
        CPPUNIT_ASSERT(decode_order_answer(status_conflict, answer).m_result ==
                       order_result::invalid);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_entries_test);

} // namespace peridotrudder::platform
