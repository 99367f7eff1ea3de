#include "peridotrudder/node/decision_log.hpp"

#include "peridotrudder/telemetry/log.hpp"

namespace peridotrudder {

namespace {

/// A line costs about as much processor time as an order to a worker.
constexpr std::uint32_t max_lines_per_second = 120;

/// A tenant at many times its rate has a refusal logged for each job, which must not displace the
/// lines of jobs that were accepted.
constexpr std::uint32_t max_tenant_lines_per_second = 40;

/// Events that tell that a run was lost, or may run although its owner gave it up. Whether a task
/// ran twice shows in these lines only.
log_budget::kind_set doubtful_run_events()
{
    return {"run_lost",   "run_stalled",      "start_unanswered",
            "start_open", "stranger_stopped", "end_unclear"};
}

/// Events that any caller can cause at any rate.
log_budget::kind_set caller_events()
{
    return {"call_unauthorized",
            "job_withheld",
            "key_uncertain",
            "job_too_long",
            std::string{to_string(call_status::body_too_long)},
            std::string{to_string(call_status::header_too_long)},
            std::string{to_string(call_status::unauthorized)}};
}

bool is_served(call_status status)
{
    return status == call_status::done || status == call_status::state ||
           status == call_status::length;
}

} // namespace

decision_log::decision_log()
    : m_budget{log_budget::create(max_lines_per_second, doubtful_run_events(), caller_events())},
      m_tenant_budget{log_budget::create(max_tenant_lines_per_second)}
{
}

log_budget& decision_log::budget_for(const decision& made)
{
    const bool of_accepted_job = made.m_event == "job_accepted";
    return made.m_tenant.empty() || of_accepted_job ? m_budget : m_tenant_budget;
}

void decision_log::decided(const decision& made, std::uint64_t epoch, time_point now)
{
    m_metrics.decided(made.m_event);
    if (!made.m_kind.empty()) {
        m_metrics.decided_for(made.m_tenant, made.m_kind, made.m_event);
    }
    if (made.m_took) {
        m_metrics.measured(made.m_event, *made.m_took);
    }
    if (!budget_for(made).allows(made.m_event, now)) {
        return;
    }
    const auto left_out =
        m_budget.take_suppressed_count() + m_tenant_budget.take_suppressed_count();
    if (left_out > 0) {
        log_event(log_level::warning, "lines_left_out", {{"count", std::to_string(left_out)}});
    }
    const auto took = made.m_took ? std::to_string(made.m_took->count()) : "";
    if (made.m_tenant.empty()) {
        log_event(log_level::info, made.m_event,
                  {{"epoch", std::to_string(epoch)},
                   {"job", made.m_job},
                   {"worker", made.m_worker},
                   {"took_ms", took},
                   {"detail", made.m_detail}});
        return;
    }
    log_event(log_level::info, made.m_event,
              {{"epoch", std::to_string(epoch)},
               {"job", made.m_job},
               {"tenant", made.m_tenant},
               {"kind", std::string{made.m_kind}},
               {"took_ms", took},
               {"detail", made.m_detail}});
}

void decision_log::answered(const answered_call& call, const call_answer& answer, time_point now)
{
    const auto latency = remaining(call.m_taken_at, now);
    m_metrics.answered(to_string(call.m_kind), to_string(answer.m_status), latency);
    if (is_served(answer.m_status) || !m_budget.allows(to_string(answer.m_status), now)) {
        return;
    }
    log_event(log_level::info, "call_not_served",
              {{"path", call.m_path},
               {"kind", std::string{to_string(call.m_kind)}},
               {"status", std::string{to_string(answer.m_status)}},
               {"after_ms", std::to_string(latency.count())},
               {"epoch", std::to_string(call.m_epoch)},
               {"owner", call.m_owner},
               {"through", call.m_through},
               {"contact", describe_contact(call.m_contact)}});
}

} // namespace peridotrudder
