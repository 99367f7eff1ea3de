#include "peridotrudder/links/peer_messages.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace peridotrudder {

class peer_messages_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_messages_test);
    CPPUNIT_TEST(message_is_unchanged_by_encoding_and_decoding);
    CPPUNIT_TEST(truncated_frame_is_rejected);
    CPPUNIT_TEST(unknown_kind_is_rejected);
    CPPUNIT_TEST(corrupted_frames_do_not_crash_the_decoder);
    CPPUNIT_TEST_SUITE_END();

public:
    void message_is_unchanged_by_encoding_and_decoding()
    {
        const auto decoded = decode_peer_message(encode_peer_message(make_intent()));
        CPPUNIT_ASSERT(decoded.has_value());
        const auto& intent = std::get<intent_request>(*decoded);
        CPPUNIT_ASSERT_EQUAL(std::string{"customer/key"}, intent.m_record.m_key);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, intent.m_epoch);
    }

    void truncated_frame_is_rejected()
    {
        const auto frame = encode_peer_message(make_intent());
        for (std::size_t length = 0; length < frame.size(); ++length) {
            CPPUNIT_ASSERT(!decode_peer_message({frame.data(), length}));
        }
    }

    void unknown_kind_is_rejected()
    {
        const nlohmann::json frame = {"surprise", nlohmann::json::array()};
        const auto decoded = decode_peer_message(nlohmann::json::to_cbor(frame));
        CPPUNIT_ASSERT(!decoded && decoded.error().m_fault == decode_fault::unknown_name);
    }

    void corrupted_frames_do_not_crash_the_decoder()
    {
        CPPUNIT_ASSERT(rc::check("mutated frames", [] {
            auto frame = encode_peer_message(make_intent());
            const auto changes = *rc::gen::inRange(1, 8);
            for (int count = 0; count < changes; ++count) {
                const auto position = *rc::gen::inRange<std::size_t>(0, frame.size());
                frame[position] = *rc::gen::arbitrary<std::uint8_t>();
            }
            static_cast<void>(decode_peer_message(frame));
        }));
    }

private:
    static peer_message make_intent()
    {
        intent_request intent;
        intent.m_partition = 3;
        intent.m_epoch = 7;
        intent.m_record.m_key = "customer/key";
        return intent;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_messages_test);

} // namespace peridotrudder
