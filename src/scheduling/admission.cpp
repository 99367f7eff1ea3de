#include "peridotrudder/scheduling/admission.hpp"

#include "peridotrudder/scheduling/job_rank.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

/// Limit of the time that a job is expected to wait; no job's estimates come near it.
constexpr double max_wait_ms = 1e15;

} // namespace

admission_decision decide_admission(const job_spec& spec, const queue_config& queue,
                                    const pool_outlook& outlook, double accepted_work)
{
    admission_decision decision;
    const bool has_room = outlook.m_waiting_cpu == 0 || outlook.m_cpu <= 0;
    if (has_room || spec.m_recurrence || is_long_running(spec)) {
        return decision;
    }
    const auto queued_work = outlook.m_backlog + accepted_work - outlook.m_accepted_work;
    const auto wait_ms = queued_work / static_cast<double>(outlook.m_cpu);
    const milliseconds wait{
        static_cast<std::int64_t>(std::clamp(wait_ms, -max_wait_ms, max_wait_ms))};
    const auto chain = longest_chain(spec);
    const auto useful = useful_time(chain, queue);
    if (wait + chain > useful) {
        decision.m_admitted = false;
        decision.m_retry_after = wait + chain - useful;
    }
    return decision;
}

} // namespace peridotrudder
