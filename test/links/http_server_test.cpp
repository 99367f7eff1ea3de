#include "peridotrudder/links/http_server.hpp"

#include "links/descriptor_shortage.hpp"
#include "peridotrudder/links/http_client.hpp"

#include <asio.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <poll.h>

#include <atomic>
#include <functional>
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
    raw_caller() : raw_caller{asio::ip::tcp::v4()} { connect(); }

    /// Has a descriptor, and connects later.
    explicit raw_caller(const asio::ip::tcp& protocol) { m_socket.open(protocol); }

    void connect() { m_socket.connect({asio::ip::make_address("127.0.0.1"), server_port}); }

    void send(std::string_view text = request_text)
    {
        asio::error_code ignored;
        asio::write(m_socket, asio::buffer(text), ignored);
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

    /// Returns whether bytes of the server, or the connection's end, arrive in this time.
    bool gets_bytes_within(milliseconds time)
    {
        pollfd awaited{m_socket.native_handle(), POLLIN, 0};
        return ::poll(&awaited, 1, static_cast<int>(time.count())) == 1;
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

/// A loop that one thread runs.
class running_loop {
public:
    running_loop() = default;
    running_loop(const running_loop&) = delete;
    running_loop& operator=(const running_loop&) = delete;
    running_loop(running_loop&&) = delete;
    running_loop& operator=(running_loop&&) = delete;

    ~running_loop()
    {
        m_loop.stop();
        m_thread.join();
    }

    std::unique_ptr<http_server> start_server()
    {
        std::unique_ptr<http_server> started;
        act([this, &started] {
            auto server = http_server::create_on(m_loop, make_options(1), answer_at_once);
            started = server ? std::move(*server) : nullptr;
        });
        CPPUNIT_ASSERT(started != nullptr);
        return started;
    }

    void stop_server(std::unique_ptr<http_server> server)
    {
        act([&server] { server.reset(); });
    }

private:
    void act(std::function<void()> action)
    {
        std::packaged_task<void()> task{std::move(action)};
        asio::post(m_loop, [&task] { task(); });
        task.get_future().get();
    }

    asio::io_context m_loop;
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_loop.get_executor()};
    std::thread m_thread{[this] { m_loop.run(); }};
};

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
    CPPUNIT_TEST(body_within_the_limits_arrives_whole_however_it_is_chunked);
    CPPUNIT_TEST(body_over_the_limit_is_refused_with_413_before_it_is_sent);
    CPPUNIT_TEST(long_bodies_beyond_the_budget_are_served_one_after_the_other);
    CPPUNIT_TEST(pipelined_requests_get_their_answers_in_order);
    CPPUNIT_TEST(connections_beyond_the_limit_do_not_keep_a_caller_out);
    CPPUNIT_TEST(threaded_server_accepts_again_after_a_shortage_of_descriptors);
    CPPUNIT_TEST(server_on_a_loop_accepts_again_after_a_shortage_of_descriptors);
    CPPUNIT_TEST(idle_connection_makes_room_when_no_descriptor_is_free);
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

    // A budget must not refuse a single request that is within the limits.
    void body_within_the_limits_arrives_whole_however_it_is_chunked()
    {
        auto server = start_limited_server();
        const std::string body(max_body, 'b');
        for (const std::size_t length : {std::size_t{1}, std::size_t{5'000}, max_body}) {
            raw_caller caller;
            caller.send(chunked(body, length));
            CPPUNIT_ASSERT_EQUAL(std::to_string(max_body), answer_of(caller));
        }
        raw_caller caller;
        caller.send(fmt::format("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{}",
                                max_body, body));
        CPPUNIT_ASSERT_EQUAL(std::to_string(max_body), answer_of(caller));
    }

    // Guards against a connection that was closed without the answer that the pages name.
    void body_over_the_limit_is_refused_with_413_before_it_is_sent()
    {
        auto server = start_limited_server();
        raw_caller announcing;
        announcing.send(
            fmt::format("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", max_body + 1));
        CPPUNIT_ASSERT(announcing.read_all().first.find("HTTP/1.1 413") == 0);
        raw_caller chunking;
        chunking.send(chunked(std::string(max_body + 1, 'b'), 1'000));
        CPPUNIT_ASSERT(chunking.read_all().first.find("HTTP/1.1 413") == 0);
    }

    // Guards against long bodies that block each other half-way.
    void long_bodies_beyond_the_budget_are_served_one_after_the_other()
    {
        auto server = start_limited_server();
        std::vector<std::future<std::string>> answers;
        answers.reserve(12);
        for (int count = 0; count < 12; ++count) {
            answers.push_back(std::async(std::launch::async, [] {
                raw_caller caller;
                caller.send(chunked(std::string(max_body, 'b'), 3'000));
                return answer_of(caller);
            }));
        }
        for (auto& answer : answers) {
            CPPUNIT_ASSERT_EQUAL(std::to_string(max_body), answer.get());
        }
    }

    // Guards against a parser that is reset while the next request is being read.
    void pipelined_requests_get_their_answers_in_order()
    {
        auto server = start_limited_server();
        raw_caller caller;
        std::string requests;
        for (const std::size_t length : {std::size_t{7}, std::size_t{20'000}, std::size_t{0}}) {
            requests += chunked(std::string(length, 'b'), 2'000);
        }
        caller.send(requests);
        const auto text = caller.read_until("end=0;");
        const auto first = text.find("end=7;");
        const auto second = text.find("end=20000;");
        CPPUNIT_ASSERT(first != std::string::npos);
        CPPUNIT_ASSERT(second != std::string::npos && first < second);
        CPPUNIT_ASSERT(text.find("end=0;") > second);
    }

    // Guards against idle connections that take all that a server may have.
    void connections_beyond_the_limit_do_not_keep_a_caller_out()
    {
        auto server = start_limited_server();
        std::vector<std::unique_ptr<raw_caller>> idle;
        idle.reserve(50);
        for (int count = 0; count < 50; ++count) {
            idle.push_back(std::make_unique<raw_caller>());
        }
        raw_caller caller;
        caller.send(chunked("body", 4));
        CPPUNIT_ASSERT_EQUAL(std::string{"4"}, answer_of(caller));
    }

    // Guards against an acceptor that ends for good at the first failed `accept`.
    void threaded_server_accepts_again_after_a_shortage_of_descriptors()
    {
        const auto server = start_server(2, answer_at_once);
        check_accepting_after_shortage();
    }

    // The same for the second kind of server.
    void server_on_a_loop_accepts_again_after_a_shortage_of_descriptors()
    {
        running_loop loop;
        auto server = loop.start_server();
        check_accepting_after_shortage();
        loop.stop_server(std::move(server));
    }

    // Guards against idle connections that keep callers out by holding the last descriptors.
    void idle_connection_makes_room_when_no_descriptor_is_free()
    {
        const auto server = start_server(2, answer_at_once);
        raw_caller idle;
        idle.send();
        CPPUNIT_ASSERT(idle.read_until("done").find("HTTP/1.1 200") == 0);
        raw_caller caller{asio::ip::tcp::v4()};
        const descriptor_shortage shortage;
        caller.connect();
        CPPUNIT_ASSERT(is_answered(caller));
    }

private:
    static bool is_answered(raw_caller& caller)
    {
        caller.send();
        return caller.gets_bytes_within(milliseconds{5'000}) &&
               caller.read_until("done").find("HTTP/1.1 200") == 0;
    }

    static void check_accepting_after_shortage()
    {
        raw_caller during{asio::ip::tcp::v4()};
        {
            const descriptor_shortage shortage;
            during.connect();
            // Time for an `accept` that fails; a later one fails too.
            std::this_thread::sleep_for(milliseconds{100});
        }
        raw_caller after;
        CPPUNIT_ASSERT(is_answered(after));
        CPPUNIT_ASSERT(is_answered(during));
    }

    static constexpr std::size_t max_body = 60'000;
    /// Callers get a fifth, half of which is for three long bodies.
    static constexpr std::size_t memory_bytes = 10'485'760;

    /// Starts a server that answers with the length of the body, and has the memory for two long
    /// bodies.
    static std::unique_ptr<http_server> start_limited_server()
    {
        auto options = make_options(2);
        options.m_max_body_bytes = max_body;
        options.m_max_connections = 20;
        options.m_budget =
            std::make_shared<caller_budget>(make_caller_limits(memory_bytes, max_body, 1'000'000));
        auto server = http_server::create(
            options, [](const http_request& request, const http_responder& respond) {
                respond(json_response(200, fmt::format("end={};", request.m_body.size())));
            });
        CPPUNIT_ASSERT(server.has_value());
        return std::move(*server);
    }

    static std::string chunked(std::string_view body, std::size_t length)
    {
        std::string text = "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (; !body.empty(); body.remove_prefix(std::min(length, body.size()))) {
            const auto chunk = body.substr(0, length);
            text += fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk);
        }
        return text + "0\r\n\r\n";
    }

    /// Returns the length of the body that the server has read.
    static std::string answer_of(raw_caller& caller)
    {
        const auto text = caller.read_until(";");
        const auto begin = text.find("end=");
        return begin == std::string::npos
                   ? "no answer: " + text
                   : text.substr(begin + 4, text.find(';', begin) - begin - 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);

} // namespace peridotrudder
