#include "platform/log_service.hpp"

#include "platform/caller_gateway.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace peridotrudder::platform {

namespace {

std::string with_offsets(const std::string& records)
{
    return std::string("\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\x02", 16) + records;
}

} // namespace

class log_service_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_service_test);
    CPPUNIT_TEST(framed_records_read_back);
    CPPUNIT_TEST(record_without_value_drops_its_key);
    CPPUNIT_TEST(cut_answer_is_no_answer);
    CPPUNIT_TEST(damaged_answer_is_never_fatal);
    CPPUNIT_TEST(callers_are_answered_by_what_is_known);
    CPPUNIT_TEST_SUITE_END();

public:
    void framed_records_read_back()
    {
        const std::vector<std::uint8_t> value{1, 2, 3};
        const auto answer = parse_read_body(with_offsets(frame_records({{"key", value, 0}})));
        CPPUNIT_ASSERT(answer.m_result == log_result::ok);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, answer.m_end);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, answer.m_first);
        CPPUNIT_ASSERT_EQUAL(std::string{"key"}, answer.m_records[0].m_key);
        CPPUNIT_ASSERT(answer.m_records[0].m_value == value);
    }

    void record_without_value_drops_its_key()
    {
        const auto answer =
            parse_read_body(with_offsets(frame_records({{"key", std::nullopt, 0}})));
        CPPUNIT_ASSERT(!answer.m_records[0].m_value.has_value());
    }

    void cut_answer_is_no_answer()
    {
        const auto whole =
            with_offsets(frame_records({{"key", std::vector<std::uint8_t>{1, 2, 3}, 0}}));
        for (std::size_t length = 17; length < whole.size(); ++length) {
            CPPUNIT_ASSERT(parse_read_body(whole.substr(0, length)).m_result ==
                           log_result::invalid);
        }
    }

    void damaged_answer_is_never_fatal()
    {
        rc::check("damaged records do no harm",
                  [] { static_cast<void>(parse_read_body(*rc::gen::arbitrary<std::string>())); });
    }

    void callers_are_answered_by_what_is_known()
    {
        call_answer answer;
        answer.m_status = call_status::overloaded;
        answer.m_retry_after = milliseconds{1'200};
        const auto refused = write_answer(answer);
        CPPUNIT_ASSERT_EQUAL(429U, refused.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string{"2"},
                             std::string{find_header(refused.m_headers, "Retry-After")});
        answer.m_status = call_status::unknown_outcome;
        CPPUNIT_ASSERT_EQUAL(504U, write_answer(answer).m_status);
        answer.m_status = call_status::unknown_job;
        CPPUNIT_ASSERT_EQUAL(410U, write_answer(answer).m_status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_service_test);

} // namespace peridotrudder::platform
