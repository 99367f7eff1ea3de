#include "peridotrudder/journal/record.hpp"

#include "peridotrudder/journal/fleet_state.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace peridotrudder {

class record_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(record_test);
    CPPUNIT_TEST(record_is_read_back);
    CPPUNIT_TEST(record_of_an_unknown_kind_is_refused);
    CPPUNIT_TEST(missing_field_is_named);
    CPPUNIT_TEST(any_text_is_read_or_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void record_is_read_back()
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

    void record_of_an_unknown_kind_is_refused()
    {
        auto json = encode_record(record{});
        json["kind"] = "surprise";
        CPPUNIT_ASSERT(decode_record(json).error().m_fault == decode_fault::unknown_name);
    }

    void missing_field_is_named()
    {
        auto json = encode_record(record{});
        json.erase("author");
        CPPUNIT_ASSERT_EQUAL(std::string{"author"}, decode_record(json).error().m_field);
    }

    void any_text_is_read_or_refused()
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
