#include "peridotrudder/scheduling/task_placer.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

bool has_waiting(const job& of, std::uint32_t occurrence, std::uint32_t step)
{
    return of.waiting(occurrence, step) != 0 && of.unblocked(occurrence, step);
}

} // namespace

std::map<std::string, std::vector<task_placer::waiting_job>> task_placer::collect(moment now)
{
    std::map<std::string, std::vector<waiting_job>> by_pool;
    for (const auto& id : m_state->m_schedulable_jobs) {
        auto* of = m_state->m_job_store.find(id);
        if (of == nullptr || of->phase() != job_phase::active) {
            continue;
        }
        const auto& queue = m_state->queue_of(of->header());
        by_pool[queue.m_pool].push_back({rank_job(*of, queue, now.m_unix_ms), of, &queue});
    }
    for (auto& [pool, jobs] : by_pool) {
        std::sort(jobs.begin(), jobs.end(), [](const waiting_job& left, const waiting_job& right) {
            return left.m_rank < right.m_rank;
        });
    }
    return by_pool;
}

std::vector<candidate> task_placer::candidates_of(const std::string& pool, time_point now)
{
    std::vector<candidate> candidates;
    auto& health = m_state->health_of(pool);
    for (auto& [id, session] : m_state->m_workers) {
        const bool leaving = m_state->m_leaving.count(id) != 0;
        if (session.report().m_pool != pool || leaving || !session.takes_work(now)) {
            continue;
        }
        candidate each;
        each.m_session = &session;
        each.m_unhealthy = !health.usable(id, now);
        candidates.push_back(each);
    }
    return candidates;
}

placement_request task_placer::make_placement_request(const waiting_job& waiting,
                                                      const task_ref& ref) const
{
    placement_request need;
    need.m_step = &waiting.m_job->spec().m_steps[ref.m_step];
    need.m_job = waiting.m_job->header().m_id;
    need.m_occurrence = ref.m_occurrence;
    need.m_step_index = ref.m_step;
    const auto failed = m_state->m_failed_on.find({need.m_job, ref});
    if (failed != m_state->m_failed_on.end()) {
        need.m_avoid = failed->second;
    }
    need.m_last_attempt = !need.m_step->m_long_running &&
                          waiting.m_job->at(ref).m_failures + 1 >= waiting.m_queue->m_attempts;
    need.m_tickets = waiting.m_queue->m_policy ? &m_state->m_tickets : nullptr;
    return need;
}

void task_placer::note_begun(const job& of, const std::string& worker, moment now) const
{
    if (!of.begun()) {
        m_state->log_timed("job_begun", of.header().m_id, worker, "",
                           milliseconds{now.m_unix_ms - of.due_ms(0)});
    }
}

void task_placer::place_task(job& of, const task_ref& ref, candidate& where, moment now)
{
    const auto& step = of.spec().m_steps[ref.m_step];
    const auto life = where.m_session->life();
    note_begun(of, life.m_worker, now);
    const auto number = of.place(ref, life);
    const run_key key{of.header().m_id, ref};
    where.m_session->reserve(key, make_run(step, number));
    m_state->m_job_store.mark_changed(key.m_job);
    m_state->m_effects.emplace_back(start_effect{life, key, number});
}

bool task_placer::place_gang(const waiting_job& waiting, std::uint32_t occurrence,
                             std::uint32_t step, std::vector<candidate>& candidates, moment now)
{
    auto& of = *waiting.m_job;
    const auto count = of.spec().m_steps[step].m_count;
    if (of.waiting(occurrence, step) != count) {
        return true;
    }
    // All members or none: room is taken for each in turn, and given back if one finds none.
    std::vector<candidate*> chosen;
    for (std::uint32_t index = 0; index < count; ++index) {
        const task_ref ref{occurrence, step, index};
        const auto need = make_placement_request(waiting, ref);
        auto* where = choose_worker(need, candidates, now.m_at);
        if (where == nullptr) {
            want_tickets(waiting, need, candidates, now.m_at);
            for (std::uint32_t placed = 0; placed < chosen.size(); ++placed) {
                chosen[placed]->m_session->release({of.header().m_id, {occurrence, step, placed}});
            }
            return false;
        }
        where->m_session->reserve({of.header().m_id, ref}, make_run(of.spec().m_steps[step], 0));
        chosen.push_back(where);
    }
    std::vector<worker_instance> lives;
    lives.reserve(chosen.size());
    for (const auto* each : chosen) {
        lives.push_back(each->m_session->life());
    }
    note_begun(of, lives.front().m_worker, now);
    const auto number = of.place_gang(occurrence, step, lives);
    for (std::uint32_t index = 0; index < count; ++index) {
        const run_key key{of.header().m_id, {occurrence, step, index}};
        chosen[index]->m_session->reserve(key, make_run(of.spec().m_steps[step], number));
        m_state->m_effects.emplace_back(start_effect{lives[index], key, number});
    }
    m_state->m_job_store.mark_changed(of.header().m_id);
    return true;
}

bool task_placer::place_step(const waiting_job& waiting, std::uint32_t occurrence,
                             std::uint32_t step, std::vector<candidate>& candidates, moment now)
{
    auto& of = *waiting.m_job;
    if (of.spec().m_steps[step].m_gang) {
        return place_gang(waiting, occurrence, step, candidates, now);
    }
    const auto count = of.spec().m_steps[step].m_count;
    for (std::uint32_t index = 0; index < count; ++index) {
        const task_ref ref{occurrence, step, index};
        if (of.at(ref).m_phase != task_phase::waiting) {
            continue;
        }
        const auto need = make_placement_request(waiting, ref);
        if (is_refused(*need.m_step)) {
            return false;
        }
        auto* where = choose_worker(need, candidates, now.m_at);
        if (where == nullptr) {
            want_tickets(waiting, need, candidates, now.m_at);
            note_refusal(need);
            return false;
        }
        place_task(of, ref, *where, now);
    }
    return true;
}

void task_placer::want_tickets(const waiting_job& waiting, const placement_request& need,
                               const std::vector<candidate>& candidates, time_point now)
{
    if (need.m_tickets != nullptr) {
        m_state->m_tickets.want(need.step(), *waiting.m_queue->m_policy,
                                workers_with_room(need, candidates, now), now);
    }
}

bool task_placer::is_refused(const step_spec& step) const
{
    const auto wanted = reserved_for(step);
    return std::any_of(m_refused.begin(), m_refused.end(),
                       [&wanted](const resources& each) { return fits(each, wanted); });
}

void task_placer::note_refusal(const placement_request& need)
{
    const auto& step = *need.m_step;
    // Only what any task of that size would meet says something of others.
    const bool plain = step.m_required_label.empty() && step.m_max_per_worker == 0 &&
                       !need.m_last_attempt && need.m_tickets == nullptr;
    if (plain && !is_refused(step)) {
        m_refused.push_back(reserved_for(step));
    }
}

bool task_placer::place_job(const waiting_job& waiting, std::vector<candidate>& candidates,
                            moment now)
{
    auto& of = *waiting.m_job;
    bool all = true;
    for (std::uint32_t occurrence = 0; occurrence < of.occurrences(); ++occurrence) {
        if (of.spec().m_recurrence && of.due_ms(occurrence) > now.m_unix_ms) {
            return false;
        }
        for (std::uint32_t step = 0; step < of.spec().m_steps.size(); ++step) {
            if (has_waiting(of, occurrence, step)) {
                all = place_step(waiting, occurrence, step, candidates, now) && all;
            }
        }
    }
    return all;
}

void task_placer::place_all(moment now)
{
    for (auto& [pool, jobs] : collect(now)) {
        auto candidates = candidates_of(pool, now.m_at);
        m_refused.clear();
        for (auto& each : jobs) {
            if (place_job(each, candidates, now)) {
                m_state->m_schedulable_jobs.erase(each.m_rank.m_id);
            }
        }
    }
    for (auto each = m_state->m_schedulable_jobs.begin();
         each != m_state->m_schedulable_jobs.end();) {
        const auto* of = m_state->m_job_store.find(*each);
        const bool over = of == nullptr || of->phase() != job_phase::active;
        each = over ? m_state->m_schedulable_jobs.erase(each) : std::next(each);
    }
}

} // namespace peridotrudder
