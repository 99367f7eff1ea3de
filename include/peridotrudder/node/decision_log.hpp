#pragma once

/// @file
/// Log of a node's decisions and answers, with its metrics.

#include "peridotrudder/ownership/owner_contact.hpp"
#include "peridotrudder/scheduling/job_call.hpp"
#include "peridotrudder/scheduling/scheduler_state.hpp"
#include "peridotrudder/telemetry/log_budget.hpp"
#include "peridotrudder/telemetry/node_metrics.hpp"

#include <cstdint>
#include <string>

namespace peridotrudder {

/// Counts decisions and answers, and logs them at a limited rate: events of single runs can come to
/// a thousand lines a second. Not thread-safe.
class decision_log {
public:
    decision_log();

    /// Counts and logs a decision of the owner of an epoch.
    void decided(const decision& made, std::uint64_t epoch, time_point now);

    /// A call that was answered. The path ends with the job's id.
    struct answered_call {
        call_kind m_kind{call_kind::query};
        std::string m_path;
        time_point m_taken_at;
        std::uint64_t m_epoch{0};
        /// Owner that the entry reaches directly; empty if none.
        std::string m_owner;
        /// Peer that passes calls on to the owner; empty if none does.
        std::string m_through;
        owner_contact m_contact;
    };
    /// Counts an answer to a caller; logs it if the call was not served.
    void answered(const answered_call& call, const call_answer& answer, time_point now);

    node_metrics& metrics() { return m_metrics; }

private:
    log_budget& budget_for(const decision& made);

    node_metrics m_metrics;
    log_budget m_budget;
    /// For refusals of tenants' jobs and what tenants wait for.
    log_budget m_tenant_budget;
};

} // namespace peridotrudder
