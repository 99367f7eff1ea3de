#pragma once

/// @file
/// One request on its way through an entry.

#include "peridotrudder/base/clock.hpp"
#include "peridotrudder/contracts/limits.hpp"
#include "peridotrudder/requests/partition_replica.hpp"
#include "peridotrudder/telemetry/spans.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace peridotrudder {

/// A request and all that the entry knows of it. Its fields are set before it is shared; the
/// counters below `m_attempts` belong to whichever step handles the call at the time.
struct call {
    std::string m_request_id;
    trace_context m_trace;
    std::string m_customer;
    std::string m_pool;
    std::string m_method;
    /// Path and query as the upstream gets them.
    std::string m_path;
    std::string m_content_type;
    std::string m_body;
    std::string m_idempotency_key;
    work_class m_class{work_class::normal};
    milliseconds m_declared_run_time{0};
    customer_limits m_limits;
    time_point m_received;
    /// Time by which the request must have a slot.
    time_point m_wait_until;
    /// Whether the caller is connected to this entry; otherwise another entry forwarded the call.
    bool m_local{true};
    /// Takes the outcome; called once.
    std::function<void(const outcome&)> m_respond;

    std::uint32_t m_attempts{0};
    std::set<std::string> m_failed_vms;
    record_version m_version;
    /// Whether an attempt may have run, so that the request can no longer be called not run.
    bool m_may_have_run{false};
    bool m_intent_kept{false};
    time_point m_intent_kept_at;
    bool m_long{false};
    time_point m_queued;
    time_point m_started;

    bool is_keyed() const { return !m_idempotency_key.empty(); }
    bool is_idempotent() const;

    /// Returns the customer and its key as one string. A customer's name has no slash.
    std::string table_key() const { return m_customer + "/" + m_idempotency_key; }

    /// Returns what the estimator knows the request by.
    std::string route() const;
};

using call_ptr = std::shared_ptr<call>;

} // namespace peridotrudder
