#include "peridotrudder/scheduling/crash_tracker.hpp"

#include <fmt/format.h>

namespace peridotrudder {

namespace {

std::string_view to_text(crash_evidence evidence)
{
    switch (evidence) {
    case crash_evidence::none:
        return "none";
    case crash_evidence::recorded:
        return "recorded";
    case crash_evidence::unanswered:
        return "unanswered";
    case crash_evidence::confirmed:
        return "confirmed";
    }
    return "";
}

} // namespace

std::vector<crash_suspect> crash_tracker::suspects(worker_session& session,
                                                   const std::vector<run_key>& keys,
                                                   time_point last_heard_at) const
{
    std::vector<crash_suspect> found;
    // A worker that drains is told to leave, so its end is no crash.
    if (session.report().m_draining || m_state->m_leaving.count(session.id()) != 0) {
        return found;
    }
    for (const auto& key : keys) {
        const auto& run = *session.find(key);
        const auto* target = m_state->m_job_store.find(key.m_job);
        const bool current = target != nullptr && target->has(key.m_task) &&
                             target->at(key.m_task).m_run == run.m_run;
        if (!current) {
            continue;
        }
        const bool suspected = is_on_trial(target->at(key.m_task));
        const auto evidence = judge_crash(run, suspected, last_heard_at);
        if (evidence == crash_evidence::none) {
            continue;
        }
        crash_suspect suspect{key, evidence, run.m_on_trial, std::nullopt};
        if (run.m_ordered_at) {
            suspect.m_heard_after_start = remaining(*run.m_ordered_at, last_heard_at);
        }
        found.push_back(suspect);
    }
    return found;
}

bool crash_tracker::blame(const crash_suspect& suspect, const worker_instance& instance,
                          std::string_view reason, moment now)
{
    const auto& key = suspect.m_key;
    auto* target = m_state->m_job_store.find(key.m_job);
    if (target->phase() != job_phase::active) {
        return false;
    }
    const auto weight = weight_of(suspect.m_evidence, suspect.m_on_trial);
    const auto total = target->record_crash(key.m_task, weight, suspicion_limit, now.m_unix_ms);
    m_state->changed(key.m_job);
    const auto& heard_after_start = suspect.m_heard_after_start;
    const auto heard = heard_after_start
                           ? fmt::format("{} ms after the start", heard_after_start->count())
                           : std::string{"under a predecessor"};
    m_state->log_run("crash_blamed", key, instance.m_worker,
                     fmt::format("{} start, weight {} of {}, {}, last heard of {}",
                                 to_text(suspect.m_evidence), total, suspicion_limit, reason,
                                 heard));
    if (target->phase() == job_phase::active) {
        return false;
    }
    m_state->log_run("task_given_up", key, instance.m_worker, "crashes its workers");
    return true;
}

void crash_tracker::clear_survivors(worker_session& session)
{
    for (const auto& [key, listed] : session.runs()) {
        if (!listed.m_on_trial || !has_survived(listed, session.last_heard_at())) {
            continue;
        }
        session.find(key)->m_on_trial = false;
        auto* target = m_state->m_job_store.find(key.m_job);
        if (target != nullptr && target->has(key.m_task) &&
            target->at(key.m_task).m_run == listed.m_run) {
            m_state->log_run("suspect_cleared", key, session.id(), "");
            target->clear_crashes(key.m_task);
            m_state->changed(key.m_job);
        }
    }
}

} // namespace peridotrudder
