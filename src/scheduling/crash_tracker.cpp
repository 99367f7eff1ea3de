#include "peridotrudder/scheduling/crash_tracker.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace peridotrudder {

namespace {

/// Time for which a crash that no start explains suggests that workers crash by other causes.
constexpr milliseconds unexplained_time{20'000};

std::string_view to_text(crash_evidence evidence)
{
    switch (evidence) {
    case crash_evidence::none:
        return "none";
    case crash_evidence::late:
        return "late";
    case crash_evidence::recorded:
        return "recorded";
    case crash_evidence::unanswered:
        return "unanswered";
    case crash_evidence::confirmed:
        return "confirmed";
    }
    return "";
}

/// Returns whether the task is done by the success of one of two runs, so that the other one is no
/// suspect any more.
bool was_done_by_other_run(const scheduler_state& state, const job& source, const task_ref& ref)
{
    return state.may_have_copies(source.spec().m_steps[ref.m_step]) &&
           source.at(ref).m_phase == task_phase::done;
}

} // namespace

std::vector<crash_suspect> crash_tracker::suspects(worker_session& session,
                                                   const std::vector<run_key>& keys,
                                                   time_point last_heard_at, bool crash_is_certain,
                                                   time_point now)
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
                             target->at(key.m_task).has_run(run.m_run) &&
                             !was_done_by_other_run(*m_state, *target, key.m_task);
        if (!current) {
            continue;
        }
        const bool suspected = is_on_trial(target->at(key.m_task));
        auto evidence = judge_crash(run, suspected, last_heard_at);
        if (!crash_is_certain) {
            evidence = without_proof_of_crash(evidence, suspected);
        }
        if (evidence == crash_evidence::none) {
            continue;
        }
        crash_suspect suspect{key, evidence, suspected && !crashes_elsewhere(key, now),
                              std::nullopt};
        if (run.m_ordered_at) {
            suspect.m_heard_after_start = remaining(*run.m_ordered_at, last_heard_at);
        }
        found.push_back(suspect);
    }
    const bool explained = std::any_of(found.begin(), found.end(), [](const auto& suspect) {
        return suspect.m_evidence == crash_evidence::confirmed ||
               suspect.m_evidence == crash_evidence::unanswered;
    });
    if (crash_is_certain && !explained) {
        forget_old_crashes(now);
        m_unexplained.push_back({now, keys});
    }
    return found;
}

void crash_tracker::forget_old_crashes(time_point now)
{
    while (!m_unexplained.empty() && now - m_unexplained.front().m_at > unexplained_time) {
        m_unexplained.pop_front();
    }
}

bool crash_tracker::crashes_elsewhere(const run_key& key, time_point now)
{
    forget_old_crashes(now);
    return std::any_of(m_unexplained.begin(), m_unexplained.end(), [&key](const auto& crash) {
        return std::find(crash.m_runs.begin(), crash.m_runs.end(), key) == crash.m_runs.end();
    });
}

// Giving a long-running job up also stops those of its tasks that are at work.
bool crash_tracker::may_give_up(const run_key& key)
{
    const auto& target = *m_state->m_job_store.find(key.m_job);
    if (!target.spec().m_steps[key.m_task.m_step].m_long_running) {
        return true;
    }
    const auto placed = target.placed_refs();
    return std::none_of(placed.begin(), placed.end(), [this, &key, &target](const auto& ref) {
        auto* session = m_state->find_worker(target.at(ref).m_placed_on.m_worker);
        const auto* run = session == nullptr ? nullptr : session->find({key.m_job, ref});
        // A predecessor may have started it long ago.
        const bool adopted = run != nullptr && !run->m_ordered_at;
        return run != nullptr && !(ref == key.m_task) &&
               (adopted || has_survived(*run, session->last_heard_at()));
    });
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
    const auto limit =
        may_give_up(key) ? suspicion_limit : std::numeric_limits<std::uint32_t>::max();
    const auto total = target->record_crash(key.m_task, weight, limit, now.m_unix_ms);
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
        // A short task is cleared by its success only: it may crash its worker at any time before.
        if (listed.m_long_running && target != nullptr && target->has(key.m_task) &&
            target->at(key.m_task).m_run == listed.m_run) {
            m_state->log_run("suspect_cleared", key, session.id(), "");
            target->clear_crashes(key.m_task);
            m_state->changed(key.m_job);
        }
    }
}

} // namespace peridotrudder
