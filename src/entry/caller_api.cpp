#include "peridotrudder/entry/caller_api.hpp"

#include "peridotrudder/base/hash.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace peridotrudder {

namespace {

constexpr std::size_t max_key_length = 128;
constexpr std::size_t request_id_bytes = 12;
constexpr std::string_view path_prefix = "/v1/";
constexpr std::string_view bearer_prefix = "Bearer ";
/// Highest levels of RFC 9218's `Priority: u=N` that map to the urgent and the normal class.
constexpr int last_urgent_level = 1;
constexpr int last_normal_level = 4;
constexpr const char* retry_after_s = "1";

std::uint32_t status_of(const outcome& result)
{
    if (result.m_execution_status == execution_status::outcome_unknown) {
        return 504;
    }
    switch (result.m_refusal) {
    case refusal::unauthorized:
        return 401;
    case refusal::bad_request:
    case refusal::key_too_long:
        return 400;
    case refusal::body_too_large:
        return 413;
    case refusal::unknown_service:
        return 404;
    case refusal::key_reused:
        return 422;
    case refusal::over_limit:
        return 429;
    case refusal::answer_not_kept:
        return 410;
    default:
        return 503;
    }
}

/// Returns whether the caller caused the refusal, so that it does not count against availability.
bool is_caller_error(refusal reason)
{
    switch (reason) {
    case refusal::unauthorized:
    case refusal::bad_request:
    case refusal::body_too_large:
    case refusal::key_too_long:
    case refusal::key_reused:
    case refusal::unknown_service:
    case refusal::over_limit:
        return true;
    default:
        return false;
    }
}

bool is_retryable_status(std::uint32_t status)
{
    return status == 429 || status == 503 || status == 504;
}

milliseconds declared_run_time(std::string_view header)
{
    std::uint32_t run_time_ms = 0;
    std::from_chars(header.data(), header.data() + header.size(), run_time_ms);
    return milliseconds{run_time_ms};
}

} // namespace

http_response to_response(const std::string& request_id, const outcome& result)
{
    http_response response;
    const bool has_full_answer =
        result.m_execution_status == execution_status::done && result.m_refusal == refusal::none;
    if (has_full_answer) {
        response.m_status = result.m_status;
        response.m_body = result.m_body;
        if (!result.m_content_type.empty()) {
            response.m_headers.push_back({"Content-Type", result.m_content_type});
        }
    }
    else {
        const nlohmann::json body = {
            {"code", to_string(result.m_execution_status)},
            {"reason", to_string(result.m_refusal)},
            {"request_id", request_id},
            {"earlier_attempt_possible", result.m_earlier_attempt_possible}};
        response = json_response(status_of(result), body.dump());
        if (is_retryable_status(response.m_status)) {
            response.m_headers.push_back({"Retry-After", retry_after_s});
        }
    }
    response.m_headers.push_back({"X-Request-Id", request_id});
    response.m_headers.push_back({"X-Outcome", std::string{to_string(result.m_execution_status)}});
    return response;
}

work_class class_of(std::string_view priority, work_class highest)
{
    const auto position = priority.find("u=");
    if (position == std::string_view::npos || position + 2 >= priority.size()) {
        return highest;
    }
    // Whether `char` is signed depends on the machine.
    const int level = static_cast<unsigned char>(priority[position + 2]) - '0';
    auto requested = work_class::archive;
    if (level <= last_urgent_level) {
        requested = work_class::urgent;
    }
    else if (level <= last_normal_level) {
        requested = work_class::normal;
    }
    return std::max(requested, highest);
}

http_response closing_response()
{
    return to_response(random_hex(request_id_bytes), not_run(refusal::shutting_down));
}

caller_api::caller_api(request_router& router, entry_metrics& metrics, span_store& spans)
    : m_router{router},
      m_metrics{metrics},
      m_spans{spans},
      m_customers{std::make_shared<const directory>()}
{
}

void caller_api::set_state(const std::shared_ptr<const fleet_state>& state)
{
    auto known_customers = std::make_shared<directory>();
    for (const auto& [name, entry] : state->contracts()) {
        known_customer customer{entry.m_contract, derive_limits(entry.m_contract), 0};
        customer.m_pending_limit =
            entry_share(customer.m_limits.m_max_pending, state->current_view().m_members.size());
        known_customers->emplace(entry.m_contract.m_api_key_sha256, std::move(customer));
    }
    const std::lock_guard<std::mutex> lock{m_mutex};
    m_customers = std::move(known_customers);
}

std::shared_ptr<const caller_api::directory> caller_api::customers() const
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    return m_customers;
}

tl::expected<call_ptr, refusal> caller_api::make_call(const known_customer& customer,
                                                      http_request& request) const
{
    const auto& path = request.m_path;
    if (path.compare(0, path_prefix.size(), path_prefix) != 0) {
        return tl::make_unexpected(refusal::unknown_service);
    }
    const auto end = std::min(path.find('/', path_prefix.size()), path.size());
    const auto pool = path.substr(path_prefix.size(), end - path_prefix.size());
    const auto& pools = customer.m_contract.m_pools;
    if (std::find(pools.begin(), pools.end(), pool) == pools.end()) {
        return tl::make_unexpected(refusal::unknown_service);
    }
    const auto key = find_header(request.m_headers, "Idempotency-Key");
    if (key.size() > max_key_length) {
        return tl::make_unexpected(refusal::key_too_long);
    }
    auto new_call = std::make_shared<call>();
    new_call->m_request_id = random_hex(request_id_bytes);
    new_call->m_trace =
        parse_traceparent(find_header(request.m_headers, "traceparent")).value_or(new_trace());
    new_call->m_customer = customer.m_contract.m_customer;
    new_call->m_pool = pool;
    new_call->m_method = request.m_method;
    new_call->m_path = end == path.size() ? "/" : path.substr(end);
    if (!request.m_query.empty()) {
        new_call->m_path += "?" + request.m_query;
    }
    new_call->m_content_type = std::string{find_header(request.m_headers, "Content-Type")};
    new_call->m_idempotency_key = std::string{key};
    new_call->m_class =
        class_of(find_header(request.m_headers, "Priority"), customer.m_limits.m_class);
    new_call->m_declared_run_time =
        declared_run_time(find_header(request.m_headers, "X-Expected-Run-Ms"));
    new_call->m_limits = customer.m_limits;
    new_call->m_received = std::chrono::steady_clock::now();
    new_call->m_wait_until = new_call->m_received + customer.m_limits.m_time_to_wait;
    new_call->m_body = std::move(request.m_body);
    return new_call;
}

void caller_api::count(const std::string& customer, const outcome& result)
{
    if (is_caller_error(result.m_refusal)) {
        return;
    }
    const std::lock_guard<std::mutex> lock{m_windows_mutex};
    m_windows[customer].count(result.m_execution_status == execution_status::done,
                              std::chrono::steady_clock::now());
}

std::map<std::string, availability_counts> caller_api::availability()
{
    const std::lock_guard<std::mutex> lock{m_windows_mutex};
    std::map<std::string, availability_counts> counts;
    for (auto& [customer, window] : m_windows) {
        counts[customer] = window.counts(std::chrono::steady_clock::now());
    }
    return counts;
}

void caller_api::handle(http_request request, const http_responder& respond)
{
    const auto refuse = [&](std::string_view customer, refusal reason) {
        const auto result = not_run(reason);
        m_metrics.answered(customer, result);
        respond(to_response(random_hex(request_id_bytes), result));
    };
    const auto credential = find_header(request.m_headers, "Authorization");
    if (credential.substr(0, bearer_prefix.size()) != bearer_prefix) {
        refuse("", refusal::unauthorized);
        return;
    }
    const auto known_customers = customers();
    const auto customer =
        known_customers->find(sha256_hex(credential.substr(bearer_prefix.size())));
    if (customer == known_customers->end()) {
        refuse("", refusal::unauthorized);
        return;
    }
    const auto& name = customer->second.m_contract.m_customer;
    if (m_draining) {
        refuse(name, refusal::shutting_down);
        return;
    }
    const auto new_call = make_call(customer->second, request);
    if (!new_call) {
        refuse(name, new_call.error());
        return;
    }
    if (!m_admission.enter(name, customer->second.m_pending_limit)) {
        refuse(name, refusal::over_limit);
        return;
    }
    const auto& accepted = *new_call;
    const auto hop =
        std::make_shared<span_timer>(accepted->m_trace, "entry", accepted->m_request_id);
    accepted->m_trace = hop->context();
    accepted->m_respond = [this, respond, hop, name,
                           id = accepted->m_request_id](const outcome& result) {
        m_admission.leave(name);
        m_metrics.answered(name, result);
        count(name, result);
        m_spans.add(hop->finish(std::string{to_string(result.m_execution_status)}));
        respond(to_response(id, result));
    };
    m_router.submit(accepted);
}

} // namespace peridotrudder
