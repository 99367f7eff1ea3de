#include "peridotrudder/scheduling/run_adoption.hpp"

#include "peridotrudder/scheduling/crash_suspects.hpp"
#include "peridotrudder/scheduling/run_tracker.hpp"

#include <algorithm>
#include <iterator>

namespace peridotrudder {

namespace {

/// Returns the latest time at which the predecessor may have sent a start of the job.
time_point newest_start_of(const job& source, milliseconds slack, moment now)
{
    // Records of earlier versions have no time.
    const auto age = source.placed_ms() == 0 ? milliseconds{0}
                                             : milliseconds{now.m_unix_ms - source.placed_ms()};
    return now.m_at - std::max(age, milliseconds{0}) + slack;
}

/// Adopts the task's run or copy with this number. A copy is stopped, and remains the task's until
/// it is certainly over.
void adopt(scheduler_state& state, const run_key& key, std::uint32_t number, const job& source,
           moment now)
{
    const auto& placed = source.at(key.m_task);
    const bool is_copy = placed.is_copy(number);
    const auto& placed_on = placed.place_of(number);
    auto entry = state.m_workers.find(placed_on.m_worker);
    if (entry == state.m_workers.end()) {
        // The worker is not listed now. It may return, or keep running until its lease expires.
        worker_report unseen;
        unseen.m_instance = placed_on;
        auto session = worker_session::create(unseen, state.m_options.m_fence,
                                              state.m_options.m_lease, now.m_at);
        session.set_listed(false, now.m_at);
        entry = state.m_workers.emplace(placed_on.m_worker, std::move(session)).first;
    }
    auto& session = entry->second;
    // The list may be older than the record, and any incarnation may have got the start, so the
    // first hold decides.
    auto run = make_charged_run(state, source, key.m_task.m_step, number);
    run.m_phase = run_phase::uncertain;
    // Orders of the previous owner are rejected once the worker knows this owner's fencing token.
    run.m_cannot_start_since = now.m_at;
    if (!(is_copy ? placed.m_copy->m_start_settled : placed.m_start_settled)) {
        session.open_start(
            run, newest_start_of(source, state.m_options.m_lease.m_predecessor_start_slack, now));
    }
    run.m_pace_known = false;
    run.m_on_trial = is_on_trial(placed);
    run.m_stopping = is_copy || source.phase() != job_phase::active;
    run.m_is_copy = is_copy;
    state.m_adopted_copies = state.m_adopted_copies || is_copy;
    session.reserve(key, run);
}

/// Counts a run that no task has, but that may still be on its worker, against its tenant's quota.
/// Its record has a time of day only, which may be off by any amount. So the run counts as if the
/// predecessor had noted it just now.
void charge_leftover(scheduler_state& state, const job& source, const leftover_run& leftover,
                     moment now)
{
    const auto open_until =
        leftover.m_settled ? now.m_at : now.m_at + longest_start(state.m_options.m_lease);
    state.m_quotas.keep(state.charge_for(source, leftover.m_task.m_step), leftover.m_worker,
                        open_until, now.m_at + longest_leftover(state.m_options.m_lease));
}

} // namespace

const job* run_adoption::adopt_next(scheduler_state& state, moment now)
{
    const auto& jobs = state.m_job_store.jobs();
    const auto next = m_last_job ? jobs.upper_bound(*m_last_job) : jobs.begin();
    if (next == jobs.end()) {
        m_complete = true;
        return nullptr;
    }
    const auto& [id, stored_job] = *next;
    if (stored_job.phase() == job_phase::active) {
        state.m_schedulable_jobs.insert(id);
    }
    for (const auto& ref : stored_job.placed_refs()) {
        const auto& placed = stored_job.at(ref);
        adopt(state, {id, ref}, placed.m_run, stored_job, now);
        if (placed.m_copy) {
            adopt(state, {id, ref}, placed.m_copy->m_run, stored_job, now);
        }
    }
    for (const auto& leftover : stored_job.leftovers()) {
        charge_leftover(state, stored_job, leftover, now);
    }
    m_last_job = id;
    m_complete = std::next(next) == jobs.end();
    return &stored_job;
}

} // namespace peridotrudder
