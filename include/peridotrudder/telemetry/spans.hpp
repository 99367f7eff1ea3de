#pragma once

/// @file
/// OpenTelemetry spans of requests, one for each hop.

#include "peridotrudder/base/codec.hpp"

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotrudder {

/// The W3C trace context: the trace and the parent of the next span.
struct trace_context {
    /// 32 hexadecimal characters.
    std::string m_trace_id;
    /// 16 hexadecimal characters.
    std::string m_span_id;

    /// Returns the context as a `traceparent` header's value.
    std::string to_traceparent() const;
};

/// Returns the context in a `traceparent` header, or nothing if it is not well formed.
std::optional<trace_context> parse_traceparent(std::string_view header);

/// Returns a context for a new trace.
trace_context new_trace();

/// One hop of a request.
struct span {
    std::string m_trace_id;
    std::string m_span_id;
    std::string m_parent_id;
    std::string m_name;
    std::string m_request_id;
    std::uint64_t m_start_unix_ns{0};
    std::uint64_t m_end_unix_ns{0};
    std::string m_result;
};

/// Measures one hop, from its start until `finish`.
class span_timer {
public:
    /// Starts a child span of `parent`.
    span_timer(const trace_context& parent, std::string name, std::string request_id);

    /// Returns the context for child spans of this one.
    trace_context context() const { return {m_span.m_trace_id, m_span.m_span_id}; }

    /// Returns the finished span.
    span finish(std::string result);

private:
    span m_span;
};

/// Stores the latest spans of this process in memory, up to a capacity. Thread-safe.
class span_store {
public:
    explicit span_store(std::size_t capacity);

    void add(span finished);

    /// Returns the spans of one request as an OTLP/JSON `ExportTraceServiceRequest`.
    nlohmann::json export_request(std::string_view request_id, std::string_view service) const;

private:
    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<span> m_spans;
};

} // namespace peridotrudder
