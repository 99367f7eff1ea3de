#include "platform/worker_service.hpp"

#include <asio.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <thread>

namespace peridotrudder::platform {

namespace {

/// Reads one request, and answers it if `answered`. Returns false if the connection ends before.
bool take_request(asio::ip::tcp::socket& socket, bool answered)
{
    asio::error_code error;
    asio::streambuf buffer;
    // The body arrives with the headers, or soon after them.
    const auto length = asio::read_until(socket, buffer, '}', error);
    if (error || length == 0) {
        return false;
    }
    if (answered) {
        const std::string_view answer{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"};
        asio::write(socket, asio::buffer(answer));
    }
    return true;
}

} // namespace

class worker_service_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_service_test);
    CPPUNIT_TEST(order_counts_as_not_sent_only_without_a_connection);
    CPPUNIT_TEST(refusal_of_a_repeated_order_does_not_count_as_not_carried_out);
    CPPUNIT_TEST(start_on_a_connection_that_breaks_was_sent_a_second_time);
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

    // The answer to the second copy settled the start, and the first was carried out later.
    void start_on_a_connection_that_breaks_was_sent_a_second_time()
    {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor{
            context, {asio::ip::make_address("127.0.0.1"), asio::ip::port_type{0}}};
        worker_report to;
        to.m_instance = {"i-1", 1};
        to.m_address = "127.0.0.1";
        to.m_port = acceptor.local_endpoint().port();
        std::thread worker{[&] {
            asio::ip::tcp::socket first{context};
            acceptor.accept(first);
            take_request(first, true);
            take_request(first, false);
            first.close();
            bool taken = false;
            while (!taken) {
                asio::ip::tcp::socket next{context};
                acceptor.accept(next);
                taken = take_request(next, true);
            }
        }};
        const auto client = http_client::create();
        worker_client workers{*client};
        const auto start = [&workers, &to] {
            std::promise<order_result> promise;
            auto future = promise.get_future();
            workers.start(to, {}, [&promise](const order_answer& answer) {
                promise.set_value(answer.m_result);
            });
            return future.get();
        };
        const auto first = start();
        const auto second = start();
        const auto third = second == order_result::unanswered ? start() : second;
        worker.join();
        CPPUNIT_ASSERT(order_result::accepted == first);
        CPPUNIT_ASSERT(order_result::unanswered == second);
        CPPUNIT_ASSERT(order_result::accepted == third);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_service_test);

} // namespace peridotrudder::platform
