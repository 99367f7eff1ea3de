#include "standins/fleet/task_worker.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace standins {

using nlohmann::json;
using peridotrudder::http_request;
using peridotrudder::http_response;

class task_worker_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(task_worker_test);
    CPPUNIT_TEST(starts_a_run_once_even_if_the_order_is_repeated);
    CPPUNIT_TEST(refuses_orders_with_a_lower_fencing_token);
    CPPUNIT_TEST(refuses_late_starts_and_runs_that_were_stopped);
    CPPUNIT_TEST(ends_all_runs_when_the_lease_expires);
    CPPUNIT_TEST(a_hold_waits_for_an_ended_run_and_drops_acknowledged_ones);
    CPPUNIT_TEST(fails_as_many_runs_as_the_payload_says);
    CPPUNIT_TEST(a_task_whose_payload_says_so_crashes_the_worker);
    CPPUNIT_TEST(lists_of_runs_carry_the_published_time_of_the_start);
    CPPUNIT_TEST_SUITE_END();

    std::vector<worker_event> m_events;
    task_worker m_worker = task_worker::create(
        "i-1", 0, [this](const worker_event& event) { m_events.push_back(event); });

    json call(const std::string& path, const json& body, std::int64_t now_ms)
    {
        http_request request;
        request.m_path = path;
        request.m_body = body.dump();
        json answer;
        m_worker.answer(request, now_ms, [&answer](const http_response& response) {
            answer = json::parse(response.m_body);
            answer["status"] = response.m_status;
        });
        return answer;
    }

    json start(int run, std::int64_t now_ms, const std::string& payload = R"({"ms":300})",
               std::int64_t deadline_ms = 4'000, int fence = 5)
    {
        return call("/-/run-start",
                    {{"task", "job.0.0.0"},
                     {"run", run},
                     {"spec", payload},
                     {"deadline-ms", deadline_ms},
                     {"fence", fence}},
                    now_ms);
    }

    std::string last_event() const { return m_events.empty() ? "none" : m_events.back().m_kind; }

public:
    void starts_a_run_once_even_if_the_order_is_repeated()
    {
        CPPUNIT_ASSERT_EQUAL(200, start(1, 0)["status"].get<int>());
        CPPUNIT_ASSERT_EQUAL(200, start(1, 10)["status"].get<int>());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_events.size());
        m_worker.tick(300);
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, last_event());
        CPPUNIT_ASSERT_EQUAL(std::string{"old"}, start(1, 310)["reason"].get<std::string>());
    }

    void refuses_orders_with_a_lower_fencing_token()
    {
        start(1, 0);
        const auto former = start(2, 10, R"({"ms":300})", 4'000, 4);
        CPPUNIT_ASSERT_EQUAL(std::string{"fence"}, former["reason"].get<std::string>());
    }

    void refuses_late_starts_and_runs_that_were_stopped()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"late"}, start(1, 4'001)["reason"].get<std::string>());
        call("/-/run-stop", {{"task", "job.0.0.0"}, {"run", 2}, {"fence", 5}}, 20);
        CPPUNIT_ASSERT_EQUAL(std::string{"old"}, start(2, 30)["reason"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(200, start(3, 40)["status"].get<int>());
    }

    void ends_all_runs_when_the_lease_expires()
    {
        start(1, 0, "{}", 1'000);
        call("/-/hold", {{"fence", 5}, {"last-seen", 0}, {"deadline-ms", 60'000}}, 500);

        m_worker.tick(6'499);
        CPPUNIT_ASSERT_EQUAL(std::string{"start"}, last_event());
        m_worker.tick(6'500);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a lease lasts at most six seconds", std::string{"lapsed"},
                                     last_event());
    }

    void a_hold_waits_for_an_ended_run_and_drops_acknowledged_ones()
    {
        start(1, 0);
        http_request request;
        request.m_path = "/-/hold";
        request.m_body = R"({"fence":5,"last-seen":0,"wait-ms":1000})";
        json answer;
        m_worker.answer(request, 0, [&answer](const http_response& response) {
            answer = json::parse(response.m_body);
        });
        CPPUNIT_ASSERT(answer.is_null());

        m_worker.tick(300);
        CPPUNIT_ASSERT_EQUAL(json::parse(R"([[1,"job.0.0.0",1,"done",""]])"), answer["ended"]);
        const auto next = call("/-/hold", {{"fence", 5}, {"last-seen", 1}}, 310);
        CPPUNIT_ASSERT(next["ended"].empty());
        CPPUNIT_ASSERT_EQUAL(std::string{"noted"}, last_event());
    }

    void fails_as_many_runs_as_the_payload_says()
    {
        start(1, 0, R"({"ms":100,"fails":1})");
        m_worker.tick(100);
        CPPUNIT_ASSERT_EQUAL(std::string{"failed"}, last_event());
        start(2, 110, R"({"ms":100,"fails":1})");
        m_worker.tick(210);
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, last_event());
    }

    void a_task_whose_payload_says_so_crashes_the_worker()
    {
        start(1, 0, R"({"ms":300,"crashes":50})");
        m_worker.tick(49);
        CPPUNIT_ASSERT(!m_worker.has_crashed());
        m_worker.tick(50);
        CPPUNIT_ASSERT(m_worker.has_crashed());
        CPPUNIT_ASSERT_EQUAL(std::string{"crashed"}, last_event());
        m_worker.kill(50, "lost");
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the end of the task is recorded once", std::size_t{2},
                                     m_events.size());
    }

    void lists_of_runs_carry_the_published_time_of_the_start()
    {
        m_worker = task_worker::create(
            "i-1", 1'000, [](const worker_event&) {}, -400);
        const auto answer = call("/-/hold", {{"fence", 5}, {"last-seen", 0}}, 1'100);
        CPPUNIT_ASSERT_EQUAL(600, answer["born"].get<int>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the clock counts from the start", 100,
                                     answer["clock-ms"].get<int>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(task_worker_test);

} // namespace standins
