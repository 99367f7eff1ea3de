#include "peridotrudder/entry/upstream_exchange.hpp"

#include <fmt/format.h>

namespace peridotrudder {

namespace {

constexpr std::uint32_t first_server_error = 500;
constexpr std::uint32_t service_unavailable = 503;
constexpr const char* request_id_header = "X-Request-Id";
/// An upstream sends this header with status 503 if it did not start the request.
constexpr std::string_view not_started_header = "X-Not-Started";

outcome outcome_of(transport_fault fault)
{
    switch (fault) {
    case transport_fault::not_connected:
        return not_run(refusal::upstream_refused);
    case transport_fault::incomplete_answer:
    case transport_fault::answer_too_long:
        return outcome_unknown(refusal::incomplete_answer);
    case transport_fault::crossed_answer:
        return outcome_unknown(refusal::crossed_answer);
    case transport_fault::broken:
        break;
    }
    return outcome_unknown(refusal::upstream_failed);
}

} // namespace

http_call make_upstream_call(const dispatched_call& sent, const trace_context& hop,
                             milliseconds timeout)
{
    const auto& request = *sent.m_call;
    http_call upstream;
    upstream.m_method = request.m_method;
    upstream.m_url = fmt::format("http://{}:{}{}", sent.m_worker.m_address, sent.m_worker.m_port,
                                 request.m_path);
    upstream.m_body = request.m_body;
    upstream.m_timeout = timeout;
    upstream.m_may_reuse_connection = request.is_idempotent();
    upstream.m_required_header = http_header{request_id_header, request.m_request_id};
    upstream.m_headers = {{request_id_header, request.m_request_id},
                          {"traceparent", hop.to_traceparent()},
                          {"X-Customer", request.m_customer}};
    if (request.is_keyed()) {
        upstream.m_headers.push_back({"Idempotency-Key", request.m_idempotency_key});
    }
    if (!request.m_content_type.empty()) {
        upstream.m_headers.push_back({"Content-Type", request.m_content_type});
    }
    return upstream;
}

outcome read_upstream_answer(const http_result& result)
{
    if (!result) {
        return outcome_of(result.error());
    }
    if (result->m_status == service_unavailable &&
        find_header(result->m_headers, not_started_header) == "1") {
        return not_run(refusal::upstream_refused);
    }
    outcome done;
    done.m_execution_status = execution_status::done;
    done.m_status = result->m_status;
    done.m_content_type = std::string{find_header(result->m_headers, "Content-Type")};
    done.m_body = result->m_body;
    return done;
}

bool is_worker_failure(const outcome& result)
{
    return result.m_execution_status != execution_status::done ||
           result.m_status >= first_server_error;
}

} // namespace peridotrudder
