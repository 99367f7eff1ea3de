#include "platform/caller_gateway.hpp"

#include "peridotrudder/base/hash.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder::platform {

namespace {

http_request request_of(const std::string& method, std::vector<http_header> headers)
{
    http_request request;
    request.m_method = method;
    request.m_path = "/queue/0123456789abcdef";
    request.m_headers = std::move(headers);
    return request;
}

} // namespace

class caller_gateway_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(caller_gateway_test);
    CPPUNIT_TEST(key_becomes_a_digest);
    CPPUNIT_TEST(call_without_a_key_has_no_digest);
    CPPUNIT_TEST(digest_is_passed_on_and_the_key_is_not);
    CPPUNIT_TEST(call_of_a_node_without_digests_is_read);
    CPPUNIT_TEST(unauthorized_call_gets_401);
    CPPUNIT_TEST(submission_carries_its_lengths);
    CPPUNIT_TEST(too_long_submission_gets_413_or_431);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a limit that nodes which don't own the pool can't apply.
    void submission_carries_its_lengths()
    {
        auto request = request_of("POST", {{"Host", "h"}});
        request.m_body = "{}";
        const auto call = read_call(request);
        CPPUNIT_ASSERT(call->m_body_bytes == std::size_t{2});
        // The limit of headers leaves out the request line and spaces: neither may refuse a caller.
        const std::string_view headers{"Host:h\r\n"};
        CPPUNIT_ASSERT(call->m_header_bytes == headers.size());
        const auto passed_on = decode_packed<job_call>(encode_packed(*call));
        CPPUNIT_ASSERT(passed_on->m_body_bytes == call->m_body_bytes);
        CPPUNIT_ASSERT(passed_on->m_header_bytes == call->m_header_bytes);
    }

    // Callers can tell a refusal for length from one for load.
    void too_long_submission_gets_413_or_431()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{413},
                             write_answer({call_status::body_too_long, {}, 0, {}}).m_status);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{431},
                             write_answer({call_status::header_too_long, {}, 0, {}}).m_status);
    }

    void key_becomes_a_digest()
    {
        for (const auto* method : {"POST", "GET", "DELETE"}) {
            const auto call = read_call(request_of(method, {{"cREDENTIAL", "secret"}}));
            CPPUNIT_ASSERT(call.has_value());
            CPPUNIT_ASSERT(call->m_key_digest == sha256_hex("secret"));
        }
        CPPUNIT_ASSERT_EQUAL(
            std::string{"2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"},
            sha256_hex("secret"));
    }

    void call_without_a_key_has_no_digest()
    {
        CPPUNIT_ASSERT(!read_call(request_of("GET", {}))->m_key_digest);
        CPPUNIT_ASSERT(!read_call(request_of("GET", {{"Credential", ""}}))->m_key_digest);
        CPPUNIT_ASSERT(
            !read_call(request_of("GET", {{"Authorization", "Bearer secret"}}))->m_key_digest);
    }

    void digest_is_passed_on_and_the_key_is_not()
    {
        const auto call = read_call(request_of("GET", {{"Credential", "secret"}}));
        const auto text = encode_packed(*call).dump();
        CPPUNIT_ASSERT(text.find("secret") == std::string::npos);
        CPPUNIT_ASSERT(text.find(sha256_hex("secret")) != std::string::npos);
    }

    // An earlier version's calls end with the specification.
    void call_of_a_node_without_digests_is_read()
    {
        auto fields = encode_packed(*read_call(request_of("GET", {})));
        fields.erase(4);
        const auto call = decode_packed<job_call>(fields);
        CPPUNIT_ASSERT(call.has_value());
        CPPUNIT_ASSERT(!call->m_key_digest);
    }

    void unauthorized_call_gets_401()
    {
        call_answer answer;
        answer.m_status = call_status::unauthorized;
        const auto response = write_answer(answer);
        CPPUNIT_ASSERT_EQUAL(401U, response.m_status);
        for (const auto& header : response.m_headers) {
            CPPUNIT_ASSERT(header.m_name != "Retry-After");
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_gateway_test);

} // namespace peridotrudder::platform
