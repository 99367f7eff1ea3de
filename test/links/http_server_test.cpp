#include "peridotrudder/links/http_server.hpp"

#include "peridotrudder/links/http_client.hpp"

#include <asio.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <atomic>
#include <future>
#include <thread>

namespace peridotrudder {

namespace {

constexpr std::uint16_t server_port = 17'991;
constexpr std::string_view request_text = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";

http_server_options make_options(std::size_t threads)
{
    http_server_options options;
    options.m_address = "127.0.0.1";
    options.m_port = server_port;
    options.m_threads = threads;
    options.m_closing_response = json_response(503, "closing");
    return options;
}

std::unique_ptr<http_server> start_server(std::size_t threads, http_handler handler)
{
    auto server = http_server::create(make_options(threads), std::move(handler));
    CPPUNIT_ASSERT(server.has_value());
    return std::move(*server);
}

void answer_at_once(const http_request& /*request*/, const http_responder& respond)
{
    respond(json_response(200, "done"));
}

/// A caller with one connection, which it keeps open.
class raw_caller {
public:
    raw_caller() { m_socket.connect({asio::ip::make_address("127.0.0.1"), server_port}); }

    void send()
    {
        asio::error_code ignored;
        asio::write(m_socket, asio::buffer(request_text), ignored);
    }

    /// Waits until bytes of the server have arrived, without reading them.
    void wait_for_bytes()
    {
        asio::error_code ignored;
        m_socket.wait(asio::ip::tcp::socket::wait_read, ignored);
    }

    /// Returns everything up to the body's last word; what there is if the connection ends first.
    std::string read_until(std::string_view end)
    {
        std::string text;
        asio::error_code ignored;
        asio::read_until(m_socket, asio::dynamic_buffer(text), end, ignored);
        return text;
    }

    /// Returns everything until the server closes the connection, and how it did. Closes it too.
    std::pair<std::string, asio::error_code> read_all()
    {
        std::string text;
        asio::error_code error;
        asio::read(m_socket, asio::dynamic_buffer(text), error);
        m_socket.close();
        return {text, error};
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket{m_context};
};

bool is_closing_response(const std::string& text)
{
    return text.find("HTTP/1.1 503") == 0 && text.find("closing") != std::string::npos;
}

/// Keeps a number of calls under way and counts how they end.
class steady_load {
public:
    explicit steady_load(int concurrent_calls)
    {
        for (int count = 0; count < concurrent_calls; ++count) {
            send();
        }
    }

    /// Stops sending and waits for the calls under way.
    void finish()
    {
        m_stopping = true;
        while (m_under_way > 0) {
            std::this_thread::sleep_for(milliseconds{1});
        }
    }

    int answered() const { return m_answered; }
    int cut_off() const { return m_cut_off; }

private:
    void send()
    {
        ++m_under_way;
        http_call call;
        call.m_url = fmt::format("http://127.0.0.1:{}/x", server_port);
        m_client->send(call, [this](const http_result& result) {
            m_answered += result ? 1 : 0;
            m_cut_off += !result && result.error() != transport_fault::not_connected ? 1 : 0;
            if (result && !m_stopping) {
                send();
            }
            --m_under_way;
        });
    }

    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_under_way{0};
    std::atomic<int> m_answered{0};
    std::atomic<int> m_cut_off{0};
    std::unique_ptr<http_client> m_client{http_client::create()};
};

} // namespace

class http_server_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_server_test);
    CPPUNIT_TEST(stop_under_load_cuts_off_no_request);
    CPPUNIT_TEST(request_that_crosses_the_stop_on_an_idle_connection_gets_the_closing_response);
    CPPUNIT_TEST(connection_that_waits_to_be_accepted_gets_the_closing_response);
    CPPUNIT_TEST(response_that_was_given_before_the_stop_arrives);
    CPPUNIT_TEST(idle_callers_hold_up_the_stop_for_less_than_a_second);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that got no answer when an entry was replaced under load.
    void stop_under_load_cuts_off_no_request()
    {
        constexpr int rounds = 4;
        constexpr int concurrent_calls = 16;
        int answered = 0;
        int cut_off = 0;
        for (int round = 0; round < rounds; ++round) {
            auto server = start_server(2, answer_at_once);
            steady_load load{concurrent_calls};
            std::this_thread::sleep_for(milliseconds{20});
            server.reset();
            load.finish();
            answered += load.answered();
            cut_off += load.cut_off();
        }
        CPPUNIT_ASSERT(answered > rounds * concurrent_calls);
        CPPUNIT_ASSERT_EQUAL(0, cut_off);
    }

    // Guards against a reset of idle connections, which a caller cannot tell from a lost answer.
    void request_that_crosses_the_stop_on_an_idle_connection_gets_the_closing_response()
    {
        auto server = start_server(1, answer_at_once);
        raw_caller caller;
        caller.send();
        CPPUNIT_ASSERT(caller.read_until("done").find("HTTP/1.1 200") == 0);
        auto stopped = std::async(std::launch::async, [&server] { server.reset(); });
        caller.wait_for_bytes();
        caller.send();
        const auto [text, error] = caller.read_all();
        stopped.get();
        CPPUNIT_ASSERT(is_closing_response(text));
        CPPUNIT_ASSERT(error == asio::error::eof);
    }

    // Guards against a reset of connections that the listener had not accepted yet.
    void connection_that_waits_to_be_accepted_gets_the_closing_response()
    {
        std::promise<void> entered;
        std::promise<void> released;
        auto server =
            start_server(1, [&](const http_request& /*request*/, const http_responder& respond) {
                entered.set_value();
                released.get_future().get();
                respond(json_response(200, "done"));
            });
        raw_caller first;
        first.send();
        // The server's only thread is busy from here on, so it accepts nobody.
        entered.get_future().get();
        raw_caller second;
        second.send();
        auto stopped = std::async(std::launch::async, [&server] { server.reset(); });
        std::this_thread::sleep_for(milliseconds{50});
        released.set_value();
        const auto first_answer = first.read_all();
        const auto second_answer = second.read_all();
        stopped.get();
        CPPUNIT_ASSERT(first_answer.first.find("HTTP/1.1 200") == 0);
        CPPUNIT_ASSERT(is_closing_response(second_answer.first));
        CPPUNIT_ASSERT(second_answer.second == asio::error::eof);
    }

    // Guards against a stop that ends the loop before it has written what it was given.
    void response_that_was_given_before_the_stop_arrives()
    {
        constexpr int rounds = 100;
        for (int round = 0; round < rounds; ++round) {
            std::promise<http_responder> responder;
            auto server = start_server(
                2, [&](const http_request& /*request*/, const http_responder& respond) {
                    responder.set_value(respond);
                });
            raw_caller caller;
            caller.send();
            auto answer = std::async(std::launch::async, [&caller] { return caller.read_all(); });
            responder.get_future().get()(json_response(200, "done"));
            server.reset();
            CPPUNIT_ASSERT(answer.get().first.find("HTTP/1.1 200") == 0);
        }
    }

    // An idle caller does not look at its connections, so the server must not wait for it for long.
    void idle_callers_hold_up_the_stop_for_less_than_a_second()
    {
        auto server = start_server(1, answer_at_once);
        raw_caller caller;
        caller.send();
        CPPUNIT_ASSERT(caller.read_until("done").find("HTTP/1.1 200") == 0);
        const auto begin = std::chrono::steady_clock::now();
        server.reset();
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < std::chrono::seconds{1});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);

} // namespace peridotrudder
