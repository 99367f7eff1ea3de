#include "peridotrudder/scheduling/leftover_runs.hpp"

#include <utility>

namespace peridotrudder {

void leftover_runs::note(const run_key& key, std::uint32_t run, const std::string& worker,
                         bool settled, moment now)
{
    auto* target = m_state->m_job_store.find(key.m_job);
    if (target != nullptr && target->has(key.m_task) &&
        target->note_leftover({key.m_task, run, worker, now.m_unix_ms, settled})) {
        m_state->m_job_store.mark_changed(key.m_job);
    }
}

void leftover_runs::adopted(const std::string& job_id, time_point now)
{
    auto* target = m_state->m_job_store.find(job_id);
    if (target != nullptr && target->has_leftovers()) {
        drop_from(*target, now);
        watch(job_id, now);
    }
}

void leftover_runs::drop_from_changed(time_point now)
{
    for (const auto& id : m_state->m_job_store.dirty_ids()) {
        auto* target = m_state->m_job_store.find(id);
        if (target == nullptr || !target->has_leftovers()) {
            continue;
        }
        drop_from(*target, now);
        watch(id, now);
    }
}

void leftover_runs::tick(time_point now)
{
    while (!m_checks.empty() && m_checks.front().m_due <= now) {
        const auto id = std::move(m_checks.front().m_job);
        m_checks.pop_front();
        m_watched.erase(id);
        auto* target = m_state->m_job_store.find(id);
        if (target == nullptr || !target->has_leftovers()) {
            continue;
        }
        // A job that has ended changes no more, so its record would name them until it is deleted.
        if (drop_from(*target, now)) {
            m_state->m_job_store.mark_changed(id);
        }
        if (target->has_leftovers()) {
            watch(id, now);
        }
    }
}

bool leftover_runs::is_known(const std::string& job_id, const leftover_run& leftover)
{
    auto* session = m_state->find_worker(leftover.m_worker);
    if (session == nullptr) {
        return false;
    }
    const run_key key{job_id, leftover.m_task};
    const auto* run = session->find(key);
    return (run != nullptr && run->m_run == leftover.m_run) || session->has_run_beside(key);
}

bool leftover_runs::drop_from(job& target, time_point now)
{
    const auto& id = target.header().m_id;
    return target.drop_leftovers(
        now, longest_leftover(m_state->m_options.m_lease),
        [this, &id](const leftover_run& leftover) { return is_known(id, leftover); });
}

void leftover_runs::watch(const std::string& job_id, time_point now)
{
    if (m_watched.insert(job_id).second) {
        m_checks.push_back({now + longest_leftover(m_state->m_options.m_lease), job_id});
    }
}

} // namespace peridotrudder
