#include "peridotrudder/entry/upstream_exchange.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

class upstream_exchange_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(upstream_exchange_test);
    CPPUNIT_TEST(only_a_refusal_with_proof_is_not_run);
    CPPUNIT_TEST(lost_connection_leaves_the_outcome_unknown);
    CPPUNIT_TEST(request_that_must_not_run_twice_gets_its_own_connection);
    CPPUNIT_TEST(answer_must_repeat_the_request_id);
    CPPUNIT_TEST_SUITE_END();

public:
    void only_a_refusal_with_proof_is_not_run()
    {
        http_response refused;
        refused.m_status = 503;
        CPPUNIT_ASSERT(read_upstream_answer(refused).m_execution_status == execution_status::done);
        refused.m_headers.push_back({"X-Not-Started", "1"});
        CPPUNIT_ASSERT(read_upstream_answer(refused).m_execution_status ==
                       execution_status::not_run);
        refused.m_status = 200;
        CPPUNIT_ASSERT(read_upstream_answer(refused).m_execution_status == execution_status::done);
    }

    void lost_connection_leaves_the_outcome_unknown()
    {
        const auto fate_after = [](transport_fault fault) {
            return read_upstream_answer(tl::make_unexpected(fault)).m_execution_status;
        };
        CPPUNIT_ASSERT(fate_after(transport_fault::not_connected) == execution_status::not_run);
        CPPUNIT_ASSERT(fate_after(transport_fault::broken) == execution_status::outcome_unknown);
        CPPUNIT_ASSERT(fate_after(transport_fault::incomplete_answer) ==
                       execution_status::outcome_unknown);
        CPPUNIT_ASSERT(fate_after(transport_fault::crossed_answer) ==
                       execution_status::outcome_unknown);
    }

    void request_that_must_not_run_twice_gets_its_own_connection()
    {
        CPPUNIT_ASSERT(!make_call("POST").m_may_reuse_connection);
        CPPUNIT_ASSERT(make_call("GET").m_may_reuse_connection);
    }

    void answer_must_repeat_the_request_id()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"id"}, make_call("GET").m_required_header->m_value);
    }

private:
    static http_call make_call(const std::string& method)
    {
        dispatched_call sent;
        sent.m_call = std::make_shared<call>();
        sent.m_call->m_method = method;
        sent.m_call->m_request_id = "id";
        return make_upstream_call(sent, new_trace(), milliseconds{1'000});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_exchange_test);

} // namespace peridotrudder
