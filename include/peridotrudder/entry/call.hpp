#pragma once

/// @file
/// A request while an entry processes it.

#include "peridotrudder/base/clock.hpp"
#include "peridotrudder/requests/partition_replica.hpp"
#include "peridotrudder/routing/call_request.hpp"
#include "peridotrudder/telemetry/spans.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace peridotrudder {

/// A request and its progress at this entry. The request fields do not change once the call is
/// shared; the progress fields are accessed only by the step that handles the call at the time.
struct call : call_request {
    trace_context m_trace;
    time_point m_received;
    /// Time by which the request must get a slot.
    time_point m_wait_until;
    /// Whether the caller is connected to this entry; otherwise another entry forwarded the call.
    bool m_local{true};
    /// Delivers the outcome; called once.
    std::function<void(const outcome&)> m_respond;

    std::uint32_t m_attempts{0};
    std::set<std::string> m_failed_vms;
    record_version m_version;
    /// Whether an attempt may have run, so that the outcome can no longer be `not_run`.
    bool m_may_have_run{false};
    bool m_intent_acknowledged{false};
    time_point m_intent_acknowledged_at;
    bool m_long{false};
    time_point m_started;
};

using call_ptr = std::shared_ptr<call>;

} // namespace peridotrudder
