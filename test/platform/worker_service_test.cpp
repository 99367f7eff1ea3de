#include "platform/worker_service.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder::platform {

class worker_service_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_service_test);
    CPPUNIT_TEST(order_counts_as_not_sent_only_without_a_connection);
    CPPUNIT_TEST(refusal_of_a_repeated_order_does_not_count_as_not_carried_out);
    CPPUNIT_TEST_SUITE_END();

    static order_result result_of(std::uint32_t status, std::string body, bool repeated)
    {
        auto response = json_response(status, std::move(body));
        response.m_request_repeated = repeated;
        return read_order_answer(response).m_result;
    }

public:
    void order_counts_as_not_sent_only_without_a_connection()
    {
        const auto result_of_fault = [](transport_fault fault) {
            return read_order_answer(tl::make_unexpected(fault)).m_result;
        };
        CPPUNIT_ASSERT(order_result::not_sent == result_of_fault(transport_fault::not_connected));
        for (const auto fault :
             {transport_fault::broken, transport_fault::incomplete_answer,
              transport_fault::answer_too_long, transport_fault::crossed_answer}) {
            CPPUNIT_ASSERT(order_result::unanswered == result_of_fault(fault));
        }
    }

    // Guards against tasks that ran twice: the first copy of the start had been carried out.
    void refusal_of_a_repeated_order_does_not_count_as_not_carried_out()
    {
        struct refusal {
            std::uint32_t m_status;
            const char* m_body;
        };
        for (const auto& sent :
             {refusal{503, "{}"}, refusal{429, "{}"}, refusal{400, "{}"},
              refusal{409, R"({"reason":"late"})"}, refusal{409, R"({"reason":"room"})"},
              refusal{409, R"({"reason":"ticket"})"}}) {
            CPPUNIT_ASSERT(order_result::unanswered !=
                           result_of(sent.m_status, sent.m_body, false));
            CPPUNIT_ASSERT(order_result::unanswered == result_of(sent.m_status, sent.m_body, true));
        }
        CPPUNIT_ASSERT(order_result::accepted == result_of(200, "{}", true));
        CPPUNIT_ASSERT(order_result::fenced == result_of(409, R"({"reason":"fence"})", true));
        CPPUNIT_ASSERT(order_result::obsolete == result_of(409, R"({"reason":"old"})", true));
        CPPUNIT_ASSERT(order_result::other_instance == result_of(421, "{}", true));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_service_test);

} // namespace peridotrudder::platform
