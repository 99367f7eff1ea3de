#include "peridotrudder/ownership/node_messages.hpp"
#include "property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace peridotrudder {

namespace {

forwarded_job_call make_call()
{
    forwarded_job_call call;
    call.m_number = 12;
    call.m_call.m_kind = call_kind::submit;
    call.m_call.m_host = "host";
    call.m_call.m_path = "/queue/0123456789abcdef";
    call.m_call.m_spec = job_spec{"payload", {step_spec{}}, std::nullopt};
    return call;
}

} // namespace

class node_messages_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(node_messages_test);
    CPPUNIT_TEST(call_is_decoded_as_encoded);
    CPPUNIT_TEST(longest_call_and_longest_list_of_a_worker_fit_into_a_frame);
    CPPUNIT_TEST(claim_is_decoded_as_encoded);
    CPPUNIT_TEST(message_of_an_unknown_kind_is_refused);
    CPPUNIT_TEST(view_with_and_without_a_reached_owner_is_decoded);
    CPPUNIT_TEST(call_of_an_earlier_version_may_not_be_passed_on);
    CPPUNIT_TEST(truncated_frame_is_refused);
    CPPUNIT_TEST(damaged_frame_does_not_crash_the_decoder);
    CPPUNIT_TEST_SUITE_END();

public:
    void call_is_decoded_as_encoded()
    {
        const auto decoded = decode_node_message(encode_node_message(make_call()));
        CPPUNIT_ASSERT(decoded.has_value());
        const auto& call = std::get<forwarded_job_call>(*decoded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, call.m_number);
        CPPUNIT_ASSERT(call.m_call.m_kind == call_kind::submit);
        CPPUNIT_ASSERT_EQUAL(std::string{"payload"}, call.m_call.m_spec->m_payload);
    }

    // Guards against a limit for frames that cuts the link of a node that forwards such a call.
    void longest_call_and_longest_list_of_a_worker_fit_into_a_frame()
    {
        constexpr std::size_t max_body = 262'144;
        auto call = make_call();
        call.m_call.m_path = std::string(65'536, 'p');
        call.m_call.m_spec->m_steps.assign(max_job_tasks, step_spec{});
        // The shortest step in JSON is "{},"; the rest of the body is a list of dependencies, which
        // takes most of CBOR's bytes for a number of JSON with an exponent: 5 for "1e9,".
        constexpr std::size_t rest = max_body - 3 * max_job_tasks;
        call.m_call.m_spec->m_steps.back().m_depends_on.assign(rest / 4, 1'000'000'000);
        CPPUNIT_ASSERT(encode_node_message(call).size() <= max_node_frame_bytes(max_body));

        relayed_answer answer;
        auto& list = answer.m_hold.emplace().m_running;
        running_entry run;
        run.m_key.m_job = "0123456789abcdef";
        run.m_run = 1'000'000;
        run.m_checkpoint = std::string(4'000, 'x');
        run.m_load = 1'000'000;
        list.assign(1'000, run);
        CPPUNIT_ASSERT(encode_node_message(relayed_answers{1, {answer}}).size() <=
                       max_node_frame_bytes(max_body));
    }

    void claim_is_decoded_as_encoded()
    {
        ownership_claim claim;
        claim.m_epoch = 4;
        claim.m_owner = "node-1-ab";
        claim.m_after_release = true;
        const auto decoded = decode_node_message(encode_node_message(owner_heartbeat{claim}));
        CPPUNIT_ASSERT(decoded.has_value());
        const auto& decoded_claim = std::get<owner_heartbeat>(*decoded).m_claim;
        CPPUNIT_ASSERT_EQUAL(claim.m_epoch, decoded_claim.m_epoch);
        CPPUNIT_ASSERT_EQUAL(claim.m_owner, decoded_claim.m_owner);
        CPPUNIT_ASSERT(decoded_claim.m_after_release && !decoded_claim.m_released);
    }

    // A node of an older version gets messages that it does not know.
    void message_of_an_unknown_kind_is_refused()
    {
        auto frame = encode_node_message(member_query{3, "node-1-ab"});
        const std::string kind{member_query::kind};
        const auto found = std::search(frame.begin(), frame.end(), kind.begin(), kind.end());
        CPPUNIT_ASSERT(found != frame.end());
        *found = 'x';
        CPPUNIT_ASSERT(!decode_node_message(frame));
    }

    void view_with_and_without_a_reached_owner_is_decoded()
    {
        owner_view view{4, true};
        const auto without = decode_node_message(encode_node_message(view));
        CPPUNIT_ASSERT(!std::get<owner_view>(*without).m_reached);
        view.m_reached.emplace().m_owner = "node-1-ab";
        const auto with = decode_node_message(encode_node_message(view));
        CPPUNIT_ASSERT_EQUAL(std::string{"node-1-ab"},
                             std::get<owner_view>(*with).m_reached->m_owner);
    }

    void call_of_an_earlier_version_may_not_be_passed_on()
    {
        const auto frame = nlohmann::json{"job_call", {12, encode_packed(make_call().m_call)}};
        const auto decoded = decode_node_message(nlohmann::json::to_cbor(frame));
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT(!std::get<forwarded_job_call>(*decoded).m_may_pass_on.value_or(false));
    }

    void truncated_frame_is_refused()
    {
        const auto frame = encode_node_message(make_call());
        for (std::size_t length = 0; length < frame.size(); ++length) {
            CPPUNIT_ASSERT(!decode_node_message({frame.data(), length}));
        }
    }

    void damaged_frame_does_not_crash_the_decoder()
    {
        assert_property("a damaged frame does no harm", [] {
            auto frame = encode_node_message(make_call());
            const auto index = *rc::gen::inRange<std::size_t>(0, frame.size());
            frame[index] = *rc::gen::arbitrary<std::uint8_t>();
            static_cast<void>(decode_node_message(frame));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_messages_test);

} // namespace peridotrudder
