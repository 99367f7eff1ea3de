#include "platform/log_service.hpp"

#include "platform/caller_gateway.hpp"
#include "property.hpp"

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
    CPPUNIT_TEST(encoded_records_are_decoded);
    CPPUNIT_TEST(record_without_a_value_is_decoded_as_a_deletion);
    CPPUNIT_TEST(truncated_answer_is_invalid);
    CPPUNIT_TEST(decoder_accepts_any_answer_without_a_crash);
    CPPUNIT_TEST(answers_are_mapped_to_http_statuses);
    CPPUNIT_TEST_SUITE_END();

public:
    void encoded_records_are_decoded()
    {
        const std::vector<std::uint8_t> value{1, 2, 3};
        const auto answer = parse_read_body(with_offsets(frame_records({{"key", value, 0}})));
        CPPUNIT_ASSERT(answer.m_result == log_result::ok);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, answer.m_end);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, answer.m_first);
        CPPUNIT_ASSERT_EQUAL(std::string{"key"}, answer.m_records[0].m_key);
        CPPUNIT_ASSERT(answer.m_records[0].m_value == value);
    }

    void record_without_a_value_is_decoded_as_a_deletion()
    {
        const auto answer =
            parse_read_body(with_offsets(frame_records({{"key", std::nullopt, 0}})));
        CPPUNIT_ASSERT(!answer.m_records[0].m_value.has_value());
    }

    void truncated_answer_is_invalid()
    {
        const auto full_body =
            with_offsets(frame_records({{"key", std::vector<std::uint8_t>{1, 2, 3}, 0}}));
        for (std::size_t length = 17; length < full_body.size(); ++length) {
            CPPUNIT_ASSERT(parse_read_body(full_body.substr(0, length)).m_result ==
                           log_result::invalid);
        }
    }

    void decoder_accepts_any_answer_without_a_crash()
    {
        assert_property("damaged records", [] {
            static_cast<void>(parse_read_body(*rc::gen::arbitrary<std::string>()));
        });
    }

    void answers_are_mapped_to_http_statuses()
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
