#include "peridotrudder/scheduling/worker_evidence.hpp"

#include <fmt/format.h>

namespace peridotrudder {

namespace {

/// Terms last for seconds.
constexpr milliseconds tick_interval{100};

} // namespace

worker_grades& worker_evidence::grades_of(const worker_session& session)
{
    const auto& pool = session.report().m_pool;
    const auto [entry, is_new] = m_state->m_grades.try_emplace(pool);
    if (is_new) {
        entry->second.set_pool_size(m_state->pool_size(pool));
    }
    return entry->second;
}

void worker_evidence::run_ended(const worker_session& session, const job& target,
                                const ended_entry& ended, double slowness, time_point now)
{
    const auto& key = ended.m_key;
    if (ended.m_run_end == run_end::done) {
        m_state->m_failed_on.erase(key);
        if (is_graded()) {
            auto& grades = grades_of(session);
            grades.run_succeeded(session.id(), key.m_job, slowness, now);
            log_changes(session.report().m_pool, grades);
        }
        else {
            m_state->health_of(session.report().m_pool).succeeded(session.id());
        }
        return;
    }
    if (ended.m_run_end != run_end::failed) {
        return;
    }
    // A task that fails on different workers is itself at fault, not the workers.
    const auto elsewhere = failed_elsewhere_on(session, key);
    const bool counts = !target.spec().m_steps[key.m_task.m_step].m_long_running;
    if (counts && !elsewhere.empty()) {
        withdraw_failure(elsewhere, now);
    }
    else if (counts) {
        count_failure(session, key, now);
    }
    m_state->m_failed_on[key] = session.id();
}

std::string worker_evidence::failed_elsewhere_on(const worker_session& session,
                                                 const run_key& key) const
{
    const auto failed = m_state->m_failed_on.find(key);
    const bool elsewhere = failed != m_state->m_failed_on.end() && failed->second != session.id();
    return elsewhere ? failed->second : std::string{};
}

void worker_evidence::count_failure(const worker_session& session, const run_key& key,
                                    time_point now)
{
    if (!is_graded()) {
        m_state->health_of(session.report().m_pool)
            .failed(session.id(), m_state->pool_size(session.report().m_pool), now);
        return;
    }
    auto& grades = grades_of(session);
    grades.run_failed(session.id(), key.m_job, now);
    log_changes(session.report().m_pool, grades);
}

void worker_evidence::withdraw_failure(const std::string& worker, time_point now)
{
    const auto* session = is_graded() ? m_state->find_worker(worker) : nullptr;
    if (session != nullptr) {
        auto& grades = grades_of(*session);
        grades.withdraw_failure(worker, now);
        log_changes(session->report().m_pool, grades);
    }
}

void worker_evidence::run_stalled(const worker_session& session, const run_key& key, time_point now)
{
    count_failure(session, key, now);
}

void worker_evidence::start_refused(const worker_session& session, const run_key& key,
                                    time_point now)
{
    if (is_graded()) {
        auto& grades = grades_of(session);
        grades.start_refused(session.id(), key.m_job, now);
        log_changes(session.report().m_pool, grades);
    }
}

void worker_evidence::start_unanswered(const worker_session& session, const run_key& key,
                                       time_point now)
{
    if (is_graded()) {
        auto& grades = grades_of(session);
        grades.start_unanswered(session.id(), key.m_job, now);
        log_changes(session.report().m_pool, grades);
    }
}

void worker_evidence::went_down(const worker_session& session, time_point now)
{
    if (is_graded()) {
        auto& grades = grades_of(session);
        grades.went_down(session.id(), now);
        log_changes(session.report().m_pool, grades);
    }
}

void worker_evidence::forget(const worker_session& session)
{
    if (is_graded()) {
        grades_of(session).forget(session.id());
    }
}

void worker_evidence::tick(time_point now)
{
    if (now < m_next_tick) {
        return;
    }
    m_next_tick = now + tick_interval;
    for (auto& [pool, grades] : m_state->m_grades) {
        grades.set_pool_size(m_state->pool_size(pool));
        grades.advance(now);
        log_changes(pool, grades);
    }
}

void worker_evidence::log_changes(const std::string& pool, worker_grades& grades)
{
    for (const auto& change : grades.take_changes()) {
        const auto& evidence = change.m_evidence;
        m_state->log("worker_graded", "", change.m_worker,
                     fmt::format("pool {}: {} to {} for {} ms; score of failures {:.1f}, of slow "
                                 "runs {:.1f}; of {} outcomes {} failed, {} slow; {} outages",
                                 pool, to_string(change.m_from), to_string(change.m_to),
                                 change.m_term.count(), evidence.m_failures, evidence.m_slow_runs,
                                 evidence.m_outcomes, evidence.m_failed, evidence.m_slow,
                                 evidence.m_outages));
    }
}

} // namespace peridotrudder
