#include "peridotrudder/journal/record.hpp"

#include "peridotrudder/journal/fleet_state.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace peridotrudder {

class record_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(record_test);
    CPPUNIT_TEST(encoded_record_decodes_to_the_same_record);
    CPPUNIT_TEST(record_of_an_unknown_kind_is_an_error);
    CPPUNIT_TEST(error_names_the_missing_field);
    CPPUNIT_TEST(decoders_accept_any_text_without_a_crash);
    CPPUNIT_TEST_SUITE_END();

public:
    void encoded_record_decodes_to_the_same_record()
    {
        record value;
        value.m_id = "id";
        value.m_author = "operator";
        value.m_reason = "why";
        value.m_body = wave_declared{{"wave", "pool"}};
        const auto read = decode_record(encode_record(value));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"why"}, read->m_reason);
        CPPUNIT_ASSERT_EQUAL(std::string{"pool"},
                             std::get<wave_declared>(read->m_body).m_wave.m_pool);
    }

    void record_of_an_unknown_kind_is_an_error()
    {
        auto json = encode_record(record{});
        json["kind"] = "surprise";
        CPPUNIT_ASSERT(decode_record(json).error().m_fault == decode_fault::unknown_name);
    }

    void error_names_the_missing_field()
    {
        auto json = encode_record(record{});
        json.erase("author");
        CPPUNIT_ASSERT_EQUAL(std::string{"author"}, decode_record(json).error().m_field);
    }

    void decoders_accept_any_text_without_a_crash()
    {
        CPPUNIT_ASSERT(rc::check("any text", [](const std::string& text) {
            const auto json = parse_json(text);
            if (json) {
                static_cast<void>(decode_record(*json));
                static_cast<void>(fleet_state::from_json(*json));
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_test);

} // namespace peridotrudder
