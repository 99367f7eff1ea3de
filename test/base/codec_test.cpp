#include "peridotrudder/base/codec.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace peridotrudder {

namespace {

struct sample {
    std::uint32_t m_number{0};
    std::string m_text;
    std::vector<bool> m_flags;
    std::optional<milliseconds> m_delay;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("number", self.m_number);
        archive.field("text", self.m_text);
        archive.field("delay", self.m_delay);
    }
};

} // namespace

class codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(codec_test);
    CPPUNIT_TEST(encoded_value_decodes_to_itself);
    CPPUNIT_TEST(missing_field_is_named);
    CPPUNIT_TEST(number_out_of_range_is_refused);
    CPPUNIT_TEST(absent_optional_is_empty);
    CPPUNIT_TEST(deep_cbor_is_refused);
    CPPUNIT_TEST(cbor_that_declares_a_gigabyte_is_refused);
    CPPUNIT_TEST(random_bytes_never_crash);
    CPPUNIT_TEST_SUITE_END();

public:
    void encoded_value_decodes_to_itself()
    {
        const bool holds = rc::check("round trip", [](std::uint32_t number, std::int32_t delay) {
            sample value;
            value.m_number = number;
            value.m_text = std::to_string(delay);
            value.m_delay = milliseconds{delay};
            const auto bytes = nlohmann::json::to_cbor(encode_json(value));
            const auto json = parse_cbor(bytes);
            RC_ASSERT(json.has_value());
            const auto decoded = decode_json<sample>(*json);
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(decoded->m_number == number);
            RC_ASSERT(decoded->m_text == value.m_text);
            RC_ASSERT(decoded->m_delay == value.m_delay);
        });
        CPPUNIT_ASSERT(holds);
    }

    void missing_field_is_named()
    {
        const auto decoded = decode_text<sample>(R"({"number": 1})");
        CPPUNIT_ASSERT(!decoded);
        CPPUNIT_ASSERT_EQUAL(std::string{"text"}, decoded.error().m_field);
        CPPUNIT_ASSERT(decoded.error().m_fault == decode_fault::missing_field);
    }

    void number_out_of_range_is_refused()
    {
        const auto large = decode_text<sample>(R"({"number": 4294967296, "text": ""})");
        const auto negative = decode_text<sample>(R"({"number": -1, "text": ""})");
        CPPUNIT_ASSERT(!large && large.error().m_fault == decode_fault::out_of_range);
        CPPUNIT_ASSERT(!negative && negative.error().m_fault == decode_fault::out_of_range);
    }

    void absent_optional_is_empty()
    {
        const auto decoded = decode_text<sample>(R"({"number": 1, "text": "a"})");
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT(!decoded->m_delay);
    }

    void deep_cbor_is_refused()
    {
        constexpr std::uint8_t array_of_one = 0x81;
        const std::vector<std::uint8_t> bytes(1'000'000, array_of_one);
        CPPUNIT_ASSERT(!parse_cbor(bytes));
    }

    void cbor_that_declares_a_gigabyte_is_refused()
    {
        const std::vector<std::uint8_t> text{0x7a, 0x40, 0x00, 0x00, 0x00, 'a'};
        const std::vector<std::uint8_t> array{0x9a, 0x40, 0x00, 0x00, 0x00, 0x01};
        CPPUNIT_ASSERT(!parse_cbor(text));
        CPPUNIT_ASSERT(!parse_cbor(array));
    }

    void random_bytes_never_crash()
    {
        const bool holds = rc::check("any bytes", [](const std::vector<std::uint8_t>& bytes) {
            const auto json = parse_cbor(bytes);
            if (json) {
                static_cast<void>(decode_json<sample>(*json));
            }
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(codec_test);

} // namespace peridotrudder
