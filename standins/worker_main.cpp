/// @file
/// `standin-worker`: replaces one upstream worker in tests and demos. Runs requests in a fixed
/// number of slots, in order of arrival, and keeps a ledger of the requests it ran. Not for
/// production.
///
/// A request's run time in milliseconds is its query parameter `run_ms`.

#include "peridotrudder/base/codec.hpp"
#include "peridotrudder/base/stop_signal.hpp"
#include "peridotrudder/links/http_server.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <deque>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_uint32(port, 7100, "Port to listen on");
DEFINE_uint32(slots, 8, "Requests that run concurrently");
DEFINE_uint32(connections, 64, "Maximum of running and queued requests; more are refused");
DEFINE_uint32(usage_lag_ms, 200, "Age that the usage report states, in milliseconds");

namespace {

using namespace peridotrudder;

/// Faults in the answers to requests, which a test sets with POST /faults.
enum class answer_fault {
    none,
    /// Every request fails at once with status 500.
    fail_all,
    /// Every request is refused at once, and marked as not started.
    refuse_all,
    /// The request runs; the body of its answer is truncated to half its length.
    truncate,
    /// The request runs; its answer has a wrong request ID.
    wrong_request_id,
    /// The request runs; no answer is sent.
    no_answer,
};

} // namespace

template <>
struct peridotrudder::enum_names<answer_fault> {
    static constexpr std::array<std::string_view, 6> values{"none",     "fail_all", "refuse_all",
                                                            "truncate", "crossed",  "silent"};
};

namespace {

struct worker_faults {
    answer_fault m_answers{answer_fault::none};
    /// Factor by which run times are multiplied.
    std::uint32_t m_slow_factor{1};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("answers", self.m_answers);
        archive.field("slow_factor", self.m_slow_factor);
    }
};

struct pending_request {
    http_request m_request;
    http_responder m_respond;
};

class worker {
public:
    explicit worker(asio::io_context& context) : m_context{context} {}

    void handle(http_request request, const http_responder& respond)
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        if (request.m_path == "/usage") {
            respond(usage());
            return;
        }
        if (request.m_path == "/ledger") {
            respond(ledger());
            return;
        }
        if (request.m_path == "/faults") {
            respond(set_faults(request.m_body));
            return;
        }
        if (m_faults.m_answers == answer_fault::fail_all) {
            ++m_failed;
            respond(with_id(json_response(500, "{}"), request));
            return;
        }
        if (m_faults.m_answers == answer_fault::refuse_all ||
            m_running + m_waiting.size() >= FLAGS_connections) {
            auto refusal = with_id(json_response(503, "{}"), request);
            refusal.m_headers.push_back({"X-Not-Started", "1"});
            respond(std::move(refusal));
            return;
        }
        m_waiting.push_back({std::move(request), respond});
        start_waiting();
    }

private:
    static http_response with_id(http_response response, const http_request& request)
    {
        response.m_headers.push_back(
            {"X-Request-Id", std::string{find_header(request.m_headers, "X-Request-Id")}});
        return response;
    }

    void start_waiting()
    {
        while (m_running < FLAGS_slots && !m_waiting.empty()) {
            auto next = std::move(m_waiting.front());
            m_waiting.pop_front();
            start(std::move(next));
        }
    }

    void start(pending_request pending)
    {
        ++m_running;
        const auto& request = pending.m_request;
        const auto key = find_header(request.m_headers, "Idempotency-Key");
        const auto customer = find_header(request.m_headers, "X-Customer");
        if (!key.empty()) {
            ++m_runs[fmt::format("{}/{}", customer, key)];
        }
        ++m_started;
        const milliseconds run_time{query_number(request.m_query, "run_ms", 0) *
                                    m_faults.m_slow_factor};
        const auto timer = std::make_shared<asio::steady_timer>(m_context, run_time);
        timer->async_wait([this, timer, pending = std::move(pending)](const asio::error_code&) {
            finish(pending);
        });
    }

    void finish(const pending_request& finished_request)
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        --m_running;
        start_waiting();
        const auto& request = finished_request.m_request;
        const nlohmann::json body = {{"path", request.m_path}, {"echo", request.m_body}};
        auto response = with_id(json_response(200, body.dump()), request);
        switch (m_faults.m_answers) {
        case answer_fault::truncate:
            response.m_declared_length = response.m_body.size();
            response.m_body.resize(response.m_body.size() / 2);
            break;
        case answer_fault::wrong_request_id:
            response.m_headers.back().m_value = "of-another-request";
            break;
        case answer_fault::no_answer:
            m_unanswered.push_back(finished_request);
            return;
        default:
            break;
        }
        finished_request.m_respond(std::move(response));
    }

    http_response usage() const
    {
        const nlohmann::json body = {
            {"running", m_running}, {"queued", m_waiting.size()}, {"age_ms", FLAGS_usage_lag_ms}};
        return json_response(200, body.dump());
    }

    http_response ledger() const
    {
        const nlohmann::json body = {
            {"runs", m_runs}, {"started", m_started}, {"failed", m_failed}};
        return json_response(200, body.dump());
    }

    http_response set_faults(const std::string& body)
    {
        auto merged = encode_json(m_faults);
        const auto changes = parse_json(body);
        if (!changes || !changes->is_object()) {
            return json_response(400, "{}");
        }
        merged.update(*changes);
        const auto decoded = decode_json<worker_faults>(merged);
        if (!decoded) {
            return json_response(400, "{}");
        }
        m_faults = *decoded;
        return json_response(200, merged.dump());
    }

    asio::io_context& m_context;
    std::mutex m_mutex;
    worker_faults m_faults;
    std::uint32_t m_running{0};
    std::deque<pending_request> m_waiting;
    std::deque<pending_request> m_unanswered;
    /// Number of runs by customer and idempotency key; tests find lost and duplicated requests by
    /// it.
    std::map<std::string, std::uint64_t> m_runs;
    std::uint64_t m_started{0};
    std::uint64_t m_failed{0};
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("[--port N] [--slots N]\n\nReplaces one upstream worker in tests.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    install_stop_signals();
    asio::io_context context;
    const auto work_guard = asio::make_work_guard(context);
    worker stand_in_worker{context};
    http_server_options options;
    options.m_address = FLAGS_address;
    options.m_port = static_cast<std::uint16_t>(FLAGS_port);
    const auto server = http_server::create(
        options, [&stand_in_worker](http_request request, const http_responder& respond) {
            stand_in_worker.handle(std::move(request), respond);
        });
    if (!server) {
        std::cerr << "cannot listen: " << server.error().m_reason << '\n';
        return 3;
    }
    std::thread timers{[&context] { context.run(); }};
    while (!stop_requested()) {
        std::this_thread::sleep_for(milliseconds{50});
    }
    context.stop();
    timers.join();
    return 0;
}
