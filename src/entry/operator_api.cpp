#include "peridotrudder/entry/operator_api.hpp"

#include "peridotrudder/base/hash.hpp"
#include "peridotrudder/telemetry/log.hpp"

#include <asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace peridotrudder {

namespace {

constexpr std::size_t blocking_threads = 4;
constexpr milliseconds append_timeout{10'000};

http_response error_response(std::uint32_t status, std::string_view code)
{
    return json_response(status, nlohmann::json{{"error", code}}.dump());
}

/// Returns the non-empty rest of `path` after `prefix`, or nothing.
std::optional<std::string> strip_prefix(const std::string& path, std::string_view prefix)
{
    if (path.compare(0, prefix.size(), prefix) != 0 || path.size() == prefix.size()) {
        return std::nullopt;
    }
    return path.substr(prefix.size());
}

std::uint32_t status_of(verdict decision)
{
    switch (decision) {
    case verdict::accepted:
    case verdict::duplicate:
        return 200;
    case verdict::conflict:
    case verdict::stale_term:
    case verdict::not_applicable:
    case verdict::too_few_observers:
        return 409;
    case verdict::unknown_object:
        return 404;
    case verdict::invalid:
    case verdict::exceeds_fleet:
        return 422;
    }
    return 500;
}

} // namespace

operator_api::operator_api(dependencies resources)
    : m_dependencies{std::move(resources)},
      m_workers{blocking_threads}
{
}

void operator_api::stop()
{
    m_workers.join();
}

void operator_api::handle(http_request request, const http_responder& respond)
{
    if (request.m_path == "/healthz") {
        const bool ready = m_dependencies.m_is_ready();
        respond(json_response(ready ? 200 : 503, nlohmann::json{{"ready", ready}}.dump()));
        return;
    }
    const auto expected = "Bearer " + m_dependencies.m_token;
    if (!equal_secrets(find_header(request.m_headers, "Authorization"), expected)) {
        respond(error_response(401, "unauthorized"));
        return;
    }
    asio::post(m_workers,
               [this, request = std::move(request), respond] { respond(answer(request)); });
}

http_response operator_api::answer(const http_request& request)
{
    if (request.m_method == "GET") {
        return answer_get(request.m_path);
    }
    return answer_change(request);
}

http_response operator_api::answer_get(const std::string& path)
{
    const auto state = m_dependencies.m_log->state();
    if (path == "/metrics") {
        http_response response;
        response.m_headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
        response.m_body = m_dependencies.m_metrics->expose();
        return response;
    }
    if (path == "/v1/state") {
        return json_response(200, state->to_json().dump());
    }
    if (path == "/v1/availability") {
        const availability_report report{m_dependencies.m_availability()};
        return json_response(200, encode_json(report).dump());
    }
    if (path == "/v1/offset") {
        const nlohmann::json body = {
            {"next_offset", m_dependencies.m_router->applied_offset()},
            {"log_connected", m_dependencies.m_log->is_connected()},
            {"open_partitions", m_dependencies.m_router->partitions().open_count()},
            {"open_calls", m_dependencies.m_router->open_calls()}};
        return json_response(200, body.dump());
    }
    if (const auto vm = strip_prefix(path, "/v1/in-flight/")) {
        // The offset is read first: once it covers the drain, no new request can start at the VM,
        // so the count includes only requests that began before the drain.
        const auto offset = m_dependencies.m_router->applied_offset();
        const vm_in_flight in_flight{offset, m_dependencies.m_router->in_flight(*vm)};
        return json_response(200, encode_json(in_flight).dump());
    }
    if (const auto request = strip_prefix(path, "/v1/requests/")) {
        return json_response(
            200, m_dependencies.m_spans->export_request(*request, m_dependencies.m_entry).dump());
    }
    if (const auto vm = strip_prefix(path, "/v1/explain/vm/")) {
        return explain("vm", *vm);
    }
    if (const auto customer = strip_prefix(path, "/v1/explain/customer/")) {
        return explain("customer", *customer);
    }
    if (const auto wave = strip_prefix(path, "/v1/explain/wave/")) {
        return explain("wave", *wave);
    }
    return error_response(404, "unknown_path");
}

http_response operator_api::explain(const std::string& kind, const std::string& name) const
{
    const auto state = m_dependencies.m_log->state();
    nlohmann::json body = {{"kind", kind}, {"name", name}};
    const auto vm = state->vms().find(name);
    const auto customer = state->contracts().find(name);
    const auto wave = state->waves().find(name);
    if (kind == "vm" && vm != state->vms().end()) {
        body["now"] = encode_json(vm->second);
    }
    else if (kind == "customer" && customer != state->contracts().end()) {
        body["now"] = encode_json(customer->second);
        body["limits"] = encode_json(derive_limits(customer->second.m_contract));
    }
    else if (kind == "wave" && wave != state->waves().end()) {
        body["now"] = encode_json(wave->second);
    }
    else {
        return error_response(404, "unknown_object");
    }
    auto history = nlohmann::json::array();
    for (const auto& decision : state->decisions()) {
        if (decision.m_object == name) {
            history.push_back(encode_json(decision));
        }
    }
    body["history"] = history;
    return json_response(200, body.dump());
}

http_response operator_api::answer_change(const http_request& request)
{
    change_request change;
    if (!request.m_body.empty()) {
        auto decoded = decode_text<change_request>(request.m_body);
        if (!decoded) {
            const nlohmann::json body = {{"error", "bad_request"},
                                         {"fault", to_string(decoded.error().m_fault)},
                                         {"field", decoded.error().m_field}};
            return json_response(400, body.dump());
        }
        change = std::move(*decoded);
    }
    const auto contract_name = strip_prefix(request.m_path, "/v1/contracts/");
    const auto wave_name = strip_prefix(request.m_path, "/v1/waves/");
    if (contract_name && request.m_method == "PUT" && change.m_contract) {
        change.m_contract->m_customer = *contract_name;
        return append(contract_applied{*change.m_contract}, change);
    }
    if (contract_name && request.m_method == "DELETE") {
        return append(contract_removed{*contract_name}, change);
    }
    if (wave_name && request.m_method == "PUT" && change.m_wave) {
        change.m_wave->m_id = *wave_name;
        return append(wave_declared{*change.m_wave}, change);
    }
    if (wave_name && request.m_method == "DELETE") {
        return append(wave_cancelled{*wave_name}, change);
    }
    return error_response(404, "unknown_path");
}

http_response operator_api::append(record_body body, const change_request& change)
{
    auto value =
        m_dependencies.m_log->make_record(std::move(body), change.m_reason.value_or("operator"));
    value.m_based_on = change.m_based_on.value_or(value.m_based_on);
    const auto result = m_dependencies.m_log->append(value, append_timeout);
    if (!result) {
        // The error code says whether the record has no effect or may still take effect.
        return error_response(503, to_string(result.error()));
    }
    log_event(log_level::info, "change",
              {{"kind", std::string{kind_of(value.m_body)}},
               {"verdict", std::string{to_string(result->m_verdict)}},
               {"offset", std::to_string(result->m_offset)}});
    return json_response(status_of(result->m_verdict), encode_json(*result).dump());
}

} // namespace peridotrudder
