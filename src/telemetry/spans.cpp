#include "peridotrudder/telemetry/spans.hpp"

#include "peridotrudder/base/hash.hpp"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>

namespace peridotrudder {

namespace {

constexpr std::size_t trace_id_length = 32;
constexpr std::size_t span_id_length = 16;
constexpr std::size_t traceparent_length = 55;
constexpr std::size_t trace_id_start = 3;
constexpr std::size_t span_id_start = 36;

std::uint64_t unix_ns()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(since_epoch).count());
}

/// Span ids must be unique, not secret, so a per-thread hash sequence with a random seed suffices.
std::string random_id(std::size_t length)
{
    thread_local std::uint64_t state = std::stoull(random_hex(8), nullptr, 16);
    std::string id;
    while (id.size() < length) {
        id += fmt::format("{:016x}", placement_hash("id", ++state));
    }
    id.resize(length);
    return id;
}

bool is_hex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char letter) {
        return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
    });
}

nlohmann::json attribute(std::string_view name, std::string_view value)
{
    return {{"key", name}, {"value", {{"stringValue", value}}}};
}

nlohmann::json to_otlp(const span& finished)
{
    return {
        {"traceId", finished.m_trace_id},
        {"spanId", finished.m_span_id},
        {"parentSpanId", finished.m_parent_id},
        {"name", finished.m_name},
        {"kind", 2},
        {"startTimeUnixNano", std::to_string(finished.m_start_unix_ns)},
        {"endTimeUnixNano", std::to_string(finished.m_end_unix_ns)},
        {"attributes",
         {attribute("request.id", finished.m_request_id), attribute("result", finished.m_result)}}};
}

} // namespace

std::string trace_context::to_traceparent() const
{
    return fmt::format("00-{}-{}-01", m_trace_id, m_span_id);
}

std::optional<trace_context> parse_traceparent(std::string_view header)
{
    if (header.size() != traceparent_length || header.substr(0, trace_id_start) != "00-") {
        return std::nullopt;
    }
    const auto trace_id = header.substr(trace_id_start, trace_id_length);
    const auto span_id = header.substr(span_id_start, span_id_length);
    const bool separated =
        header[span_id_start - 1] == '-' && header[span_id_start + span_id_length] == '-';
    const bool zero = trace_id.find_first_not_of('0') == std::string_view::npos ||
                      span_id.find_first_not_of('0') == std::string_view::npos;
    if (!separated || zero || !is_hex(trace_id) || !is_hex(span_id)) {
        return std::nullopt;
    }
    return trace_context{std::string{trace_id}, std::string{span_id}};
}

trace_context new_trace()
{
    return {random_id(trace_id_length), random_id(span_id_length)};
}

span_timer::span_timer(const trace_context& parent, std::string name, std::string request_id)
{
    m_span.m_trace_id = parent.m_trace_id;
    m_span.m_parent_id = parent.m_span_id;
    m_span.m_span_id = random_id(span_id_length);
    m_span.m_name = std::move(name);
    m_span.m_request_id = std::move(request_id);
    m_span.m_start_unix_ns = unix_ns();
}

span span_timer::finish(std::string result)
{
    m_span.m_end_unix_ns = unix_ns();
    m_span.m_result = std::move(result);
    return m_span;
}

span_store::span_store(std::size_t capacity) : m_capacity{capacity} {}

void span_store::add(span finished)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    m_spans.push_back(std::move(finished));
    if (m_spans.size() > m_capacity) {
        m_spans.pop_front();
    }
}

nlohmann::json span_store::export_request(std::string_view request_id,
                                          std::string_view service) const
{
    auto spans = nlohmann::json::array();
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        for (const auto& stored : m_spans) {
            if (stored.m_request_id == request_id) {
                spans.push_back(to_otlp(stored));
            }
        }
    }
    const nlohmann::json resource = {
        {"attributes", nlohmann::json::array({attribute("service.name", service)})}};
    const nlohmann::json scope_spans = {{"scope", {{"name", "peridotrudder"}}}, {"spans", spans}};
    const nlohmann::json resource_spans = {{"resource", resource},
                                           {"scopeSpans", nlohmann::json::array({scope_spans})}};
    return {{"resourceSpans", nlohmann::json::array({resource_spans})}};
}

} // namespace peridotrudder
