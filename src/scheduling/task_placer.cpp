#include "peridotrudder/scheduling/task_placer.hpp"

#include "peridotrudder/scheduling/crash_suspects.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

/// Starts of one pass. More in one turn of the loop would delay an owner's heartbeats on a slow
/// processor when a whole fleet is free, as after a takeover that outlasts the runs.
constexpr std::size_t max_starts_per_pass = 1'000;

/// Returns the worker's grade; full where workers are not graded.
worker_grade grade_of(const scheduler_state& state, const worker_session& session)
{
    const auto grades = state.m_options.m_graded_health
                            ? state.m_grades.find(session.report().m_pool)
                            : state.m_grades.end();
    return grades == state.m_grades.end() ? worker_grade::full
                                          : grades->second.grade_of(session.id());
}

/// Returns why the worker is no candidate in its pool; `none` if it is one.
worker_obstacle candidate_obstacle(const scheduler_state& state, const worker_session& session,
                                   time_point now)
{
    if (state.m_leaving.count(session.id()) != 0) {
        return worker_obstacle::leaving;
    }
    const auto obstacle = session.work_obstacle(now);
    const bool is_out =
        obstacle == worker_obstacle::none && grade_of(state, session) == worker_grade::out;
    return is_out ? worker_obstacle::unhealthy : obstacle;
}

bool has_waiting(const job& source, std::uint32_t occurrence, std::uint32_t step)
{
    return source.waiting(occurrence, step) != 0 && source.unblocked(occurrence, step);
}

} // namespace

std::map<std::string, std::vector<task_placer::waiting_job>> task_placer::collect(moment now)
{
    std::map<std::string, std::vector<waiting_job>> by_pool;
    for (const auto& id : m_state->m_schedulable_jobs) {
        auto* target = m_state->m_job_store.find(id);
        if (target == nullptr || target->phase() != job_phase::active) {
            continue;
        }
        const auto& queue = m_state->queue_of(target->header());
        by_pool[queue.m_pool].push_back({rank_job(*target, queue, now.m_unix_ms), target, &queue,
                                         &m_state->account_of(target->header())});
    }
    return by_pool;
}

std::vector<candidate> task_placer::candidates_of(const std::string& pool, time_point now)
{
    std::vector<candidate> candidates;
    auto& health = m_state->health_of(pool);
    for (auto& [id, session] : m_state->m_workers) {
        if (session.report().m_pool != pool ||
            candidate_obstacle(*m_state, session, now) != worker_obstacle::none) {
            continue;
        }
        candidate worker;
        worker.m_session = &session;
        worker.m_grade = grade_of(*m_state, session);
        worker.m_unhealthy = worker.m_grade != worker_grade::full || !health.usable(id, now);
        worker.m_starts_left = m_state->m_orders.starts_left(id);
        candidates.push_back(worker);
    }
    return candidates;
}

placement_request task_placer::make_constraints(const waiting_job& waiting,
                                                const task_ref& ref) const
{
    placement_request request;
    request.m_step = &waiting.m_job->spec().m_steps[ref.m_step];
    request.m_job = waiting.m_job->header().m_id;
    request.m_occurrence = ref.m_occurrence;
    request.m_step_index = ref.m_step;
    request.m_index = ref.m_index;
    const auto failed = m_state->m_failed_on.find({request.m_job, ref});
    if (failed != m_state->m_failed_on.end()) {
        request.m_avoid = failed->second;
    }
    request.m_last_attempt = !request.m_step->m_long_running &&
                             waiting.m_job->failures(ref) + 1 >= waiting.m_queue->m_attempts;
    request.m_on_trial = is_on_trial(waiting.m_job->at(ref));
    request.m_tickets = waiting.m_queue->m_policy ? &m_state->m_tickets : nullptr;
    return request;
}

placement_request task_placer::make_placement_request(const waiting_job& waiting,
                                                      const task_ref& ref)
{
    auto request = make_constraints(waiting, ref);
    request.m_preferred_rack = m_racks.preferred_rack(*waiting.m_job, ref.m_occurrence, ref.m_step);
    return request;
}

void task_placer::probe_room(const std::string& pool, const std::vector<waiting_job>& jobs,
                             const std::vector<candidate>& candidates, time_point now)
{
    if (m_probe == nullptr || m_probe->m_pool != pool) {
        return;
    }
    for (const auto& waiting : jobs) {
        if (!watches(waiting, m_probe->m_key.m_task)) {
            continue;
        }
        const auto request = make_constraints(waiting, m_probe->m_key.m_task);
        m_probe->m_had_room =
            std::any_of(candidates.begin(), candidates.end(), [&](const candidate& worker) {
                return find_obstacle(request, worker, now) == worker_obstacle::none;
            });
        probe_workers(request, candidates, now);
    }
}

void task_placer::probe_workers(const placement_request& request,
                                const std::vector<candidate>& candidates, time_point now)
{
    m_probe->m_workers.clear();
    for (const auto& [id, session] : m_state->m_workers) {
        if (session.report().m_pool != m_probe->m_pool) {
            continue;
        }
        probed_worker worker{id,
                             session.report().m_rack,
                             session.report().m_capacity,
                             session.room(),
                             false,
                             candidate_obstacle(*m_state, session, now)};
        const auto found = std::find_if(
            candidates.begin(), candidates.end(),
            [&session = session](const auto& each) { return each.m_session == &session; });
        if (found != candidates.end()) {
            worker.m_unhealthy = found->m_unhealthy;
            worker.m_obstacle = find_obstacle(request, *found, now);
        }
        m_probe->m_workers.push_back(std::move(worker));
    }
}

void task_placer::observe(task_outcome outcome, const waiting_job& waiting,
                          const placement_request& request,
                          const std::vector<candidate>& candidates, time_point now,
                          const candidate* chosen)
{
    if (!watches(waiting, request.key().m_task)) {
        return;
    }
    m_probe->m_outcome = outcome;
    m_probe->m_worker = chosen == nullptr ? std::string{} : chosen->m_session->id();
    m_probe->m_preferred_rack = request.m_preferred_rack;
    m_probe->m_starts_before = m_starts;
    m_probe->m_rack_wait.reset();
    if (outcome == task_outcome::rack) {
        // On a copy, because expected places are kept for later decisions.
        auto racks = m_racks;
        m_probe->m_rack_wait = racks.expected_wait(request, now);
    }
    probe_workers(request, candidates, now);
}

void task_placer::observe(task_outcome outcome, const waiting_job& waiting, const task_ref& ref,
                          const std::vector<candidate>& candidates, time_point now)
{
    if (watches(waiting, ref)) {
        // Without the preferred rack, which the pass would keep for the group.
        observe(outcome, waiting, make_constraints(waiting, ref), candidates, now);
    }
}

task_outcome task_placer::outcome_without_worker(const placement_request& request,
                                                 const std::vector<candidate>& candidates,
                                                 time_point now)
{
    const bool lacks_ticket =
        request.m_tickets != nullptr && !workers_with_room(request, candidates, now).empty();
    return lacks_ticket ? task_outcome::ticket : task_outcome::no_room;
}

void task_placer::log_first_placement(const job& target, const std::string& worker,
                                      moment now) const
{
    if (target.placed_ms() == 0) {
        m_state->log_timed("job_begun", target.header().m_id, worker, "",
                           milliseconds{now.m_unix_ms - target.due_ms(0)});
    }
}

void task_placer::place_task(job& target, const task_ref& ref, candidate& chosen, moment now)
{
    const auto instance = chosen.m_session->instance();
    log_first_placement(target, instance.m_worker, now);
    const auto number = target.place(ref, instance);
    target.note_placement(now.m_unix_ms);
    const run_key key{target.header().m_id, ref};
    auto run = make_charged_run(*m_state, target, ref.m_step, number);
    run.m_placed_at = now.m_at;
    run.m_on_trial = is_on_trial(target.at(ref));
    m_racks.set_expectation(run, target, ref, *chosen.m_session);
    chosen.m_session->reserve(key, run);
    chosen.m_session->note_start(now.m_at + crash_window, run.m_on_trial);
    m_state->m_job_store.mark_changed(key.m_job);
    m_state->start_when_recorded(instance, key, number);
    chosen.note_start();
    m_copies.note_start(target, ref.m_step);
    ++m_starts;
}

bool task_placer::has_stranger_of_step(const run_key& first, std::uint32_t count) const
{
    for (std::uint32_t index = 0; index < count; ++index) {
        auto key = first;
        key.m_task.m_index = index;
        if (m_state->has_stranger(key)) {
            return true;
        }
    }
    return false;
}

bool task_placer::place_gang(const waiting_job& waiting, std::uint32_t occurrence,
                             std::uint32_t step, std::vector<candidate>& candidates, moment now)
{
    auto& target = *waiting.m_job;
    const auto count = target.spec().m_steps[step].m_count;
    const run_key first{target.header().m_id, {occurrence, step, 0}};
    if (target.waiting(occurrence, step) != count) {
        observe(task_outcome::gang, waiting, first.m_task, candidates, now.m_at);
        return true;
    }
    if (has_stranger_of_step(first, count)) {
        observe(task_outcome::stopping, waiting, first.m_task, candidates, now.m_at);
        return false;
    }
    const auto required = times(target.spec().m_steps[step].m_task_resources, count);
    if (!m_state->quota_allows(*waiting.m_account, required, now.m_at)) {
        observe(task_outcome::quota, waiting, first.m_task, candidates, now.m_at);
        return false;
    }
    // All or nothing: capacity is reserved member by member and released if one does not fit.
    std::vector<candidate*> chosen;
    for (std::uint32_t index = 0; index < count; ++index) {
        const task_ref ref{occurrence, step, index};
        const auto request = make_placement_request(waiting, ref);
        auto* worker = choose_worker(request, candidates, now.m_at);
        if (worker == nullptr) {
            request_tickets(waiting, request, candidates, now.m_at);
            for (std::uint32_t placed = 0; placed < chosen.size(); ++placed) {
                chosen[placed]->m_session->release(
                    {target.header().m_id, {occurrence, step, placed}});
            }
            if (watches(waiting, first.m_task)) {
                observe(outcome_without_worker(request, candidates, now.m_at), waiting,
                        make_placement_request(waiting, first.m_task), candidates, now.m_at);
            }
            return false;
        }
        worker->m_session->reserve({target.header().m_id, ref},
                                   make_run(target.spec().m_steps[step], 0));
        chosen.push_back(worker);
    }
    std::vector<worker_instance> instances;
    instances.reserve(chosen.size());
    for (const auto* member : chosen) {
        instances.push_back(member->m_session->instance());
    }
    if (watches(waiting, first.m_task)) {
        observe(task_outcome::starts, waiting, make_placement_request(waiting, first.m_task),
                candidates, now.m_at, chosen.front());
    }
    log_first_placement(target, instances.front().m_worker, now);
    const auto number = target.place_gang(occurrence, step, instances);
    target.note_placement(now.m_unix_ms);
    for (std::uint32_t index = 0; index < count; ++index) {
        const run_key key{target.header().m_id, {occurrence, step, index}};
        auto run = make_charged_run(*m_state, target, step, number);
        run.m_placed_at = now.m_at;
        run.m_on_trial = is_on_trial(target.at(key.m_task));
        chosen[index]->m_session->reserve(key, run);
        chosen[index]->m_session->note_start(now.m_at + crash_window, run.m_on_trial);
        m_state->start_when_recorded(instances[index], key, number);
        chosen[index]->note_start();
    }
    m_state->m_job_store.mark_changed(target.header().m_id);
    m_starts += count;
    return true;
}

bool task_placer::place_step(const waiting_job& waiting, std::uint32_t occurrence,
                             std::uint32_t step, std::vector<candidate>& candidates, moment now)
{
    auto& target = *waiting.m_job;
    if (target.spec().m_steps[step].m_gang) {
        return place_gang(waiting, occurrence, step, candidates, now);
    }
    const auto& spec = target.spec().m_steps[step];
    auto suspects = count_suspects(
        target, occurrence, step, [this, &target](const auto& ref, const auto& entry) {
            auto* session = m_state->find_worker(entry.m_placed_on.m_worker);
            const auto* run =
                session == nullptr ? nullptr : session->find({target.header().m_id, ref});
            return run != nullptr && run->m_on_trial;
        });
    bool all = true;
    bool has_room = true;
    for (std::uint32_t index = 0; index < spec.m_count; ++index) {
        const task_ref ref{occurrence, step, index};
        const auto& entry = target.at(ref);
        const bool on_trial = is_on_trial(entry);
        if (entry.m_phase != task_phase::waiting || (!has_room && !on_trial)) {
            continue;
        }
        const bool runs_already = m_state->has_stranger({target.header().m_id, ref});
        if (runs_already || !may_start(spec, entry, suspects)) {
            observe(runs_already ? task_outcome::stopping : task_outcome::trial, waiting, ref,
                    candidates, now.m_at);
            all = false;
            continue;
        }
        if (!m_state->quota_allows(*waiting.m_account, spec.m_task_resources, now.m_at)) {
            observe(task_outcome::quota, waiting, ref, candidates, now.m_at);
            return false;
        }
        const auto request = make_placement_request(waiting, ref);
        if (m_racks.still_waits(request, now.m_at)) {
            observe(task_outcome::rack, waiting, request, candidates, now.m_at);
            all = false;
            continue;
        }
        if (auto* chosen = find_worker(waiting, request, candidates, now.m_at)) {
            if (m_racks.waits(request, *chosen, now.m_at)) {
                observe(task_outcome::rack, waiting, request, candidates, now.m_at);
                all = false;
                continue;
            }
            observe(task_outcome::starts, waiting, request, candidates, now.m_at, chosen);
            suspects.m_on_trial += on_trial ? 1 : 0;
            place_task(target, ref, *chosen, now);
            if (on_trial) {
                end_reservation(request.key(), candidates, now.m_at);
            }
            if (turn_is_over()) {
                // The job's next turn, in the same pass, shows what is left to place.
                return false;
            }
            continue;
        }
        all = false;
        if (on_trial) {
            // A kept worker counts like one that is used.
            const bool is_kept = reserve_for_trial(request, candidates, now.m_at);
            suspects.m_on_trial += is_kept ? 1 : 0;
            observe(is_kept ? task_outcome::trial : task_outcome::no_room, waiting, request,
                    candidates, now.m_at);
            continue;
        }
        if (watches(waiting, ref)) {
            observe(outcome_without_worker(request, candidates, now.m_at), waiting, request,
                    candidates, now.m_at);
        }
        if (suspects.m_waiting == 0) {
            return false;
        }
        // A worker may be kept for a task on trial further on.
        has_room = false;
    }
    return all;
}

candidate* task_placer::find_worker(const waiting_job& waiting, const placement_request& request,
                                    std::vector<candidate>& candidates, time_point now)
{
    if (!request.m_on_trial && is_known_not_to_fit(*request.m_step)) {
        return nullptr;
    }
    auto* chosen = choose_worker(request, candidates, now);
    if (chosen == nullptr) {
        request_tickets(waiting, request, candidates, now);
        if (!request.m_on_trial) {
            remember_size(request);
        }
    }
    return chosen;
}

void task_placer::request_tickets(const waiting_job& waiting, const placement_request& request,
                                  const std::vector<candidate>& candidates, time_point now)
{
    if (request.m_tickets != nullptr) {
        m_state->m_tickets.request(request.step(), *waiting.m_queue->m_policy,
                                   workers_with_room(request, candidates, now), now);
    }
}

bool task_placer::is_known_not_to_fit(const step_spec& step) const
{
    const auto required = reserved_for(step);
    return std::any_of(m_sizes_without_room.begin(), m_sizes_without_room.end(),
                       [&required](const resources& size) { return fits(size, required); });
}

void task_placer::remember_size(const placement_request& request)
{
    const auto& step = *request.m_step;
    // Only the failure of an unconstrained task shows that no task of its size fits.
    const bool may_use_all = !m_state->m_options.m_graded_health || !needs_worker_at_full(request);
    const bool plain = step.m_required_label.empty() && step.m_max_per_worker == 0 &&
                       !request.m_last_attempt && request.m_tickets == nullptr && may_use_all;
    if (plain && !is_known_not_to_fit(step)) {
        m_sizes_without_room.push_back(reserved_for(step));
    }
}

bool task_placer::place_job(const waiting_job& waiting, std::vector<candidate>& candidates,
                            moment now)
{
    auto& target = *waiting.m_job;
    bool all = true;
    for (std::uint32_t occurrence = 0; occurrence < target.occurrences(); ++occurrence) {
        if (target.spec().m_recurrence && target.due_ms(occurrence) > now.m_unix_ms) {
            return false;
        }
        for (std::uint32_t step = 0; step < target.spec().m_steps.size(); ++step) {
            if (has_waiting(target, occurrence, step)) {
                all = place_step(waiting, occurrence, step, candidates, now) && all;
                if (turn_is_over()) {
                    return false;
                }
            }
        }
    }
    return all;
}

void task_placer::note_free_workers(const std::string& pool,
                                    const std::vector<candidate>& candidates, time_point now)
{
    auto& free = m_state->m_free_workers[pool];
    free.clear();
    for (const auto& worker : candidates) {
        const auto& session = *worker.m_session;
        const bool usable = !worker.m_unhealthy && !session.has_trial(now) &&
                            session.kept_for(now) == nullptr && session.room().m_cpu_millis > 0;
        if (usable) {
            free.push_back({session.id(), session.room()});
        }
    }
}

void task_placer::place_by_rank(std::vector<waiting_job>& jobs, std::vector<candidate>& candidates,
                                moment now)
{
    std::sort(jobs.begin(), jobs.end(), [](const waiting_job& left, const waiting_job& right) {
        return left.m_rank < right.m_rank;
    });
    for (const auto& waiting : jobs) {
        if (m_starts >= m_max_starts) {
            // The others remain schedulable, for the pass after the next write.
            return;
        }
        if (place_job(waiting, candidates, now)) {
            m_state->m_schedulable_jobs.erase(waiting.m_rank.m_id);
        }
    }
}

void task_placer::place_fairly(const std::string& pool, const std::vector<waiting_job>& jobs,
                               std::vector<candidate>& candidates, moment now)
{
    resources capacity;
    for (const auto& worker : candidates) {
        capacity = capacity + worker.m_session->report().m_capacity;
    }
    std::vector<fair_job> offered;
    offered.reserve(jobs.size());
    for (const auto& waiting : jobs) {
        const auto& tenant = waiting.m_job->header().m_tenant;
        offered.push_back({&waiting.m_rank, waiting.m_account, tenant && tenant->m_excess});
    }
    fair_order order{offered, pool, capacity};
    m_order = &order;
    while (const auto index = order.next()) {
        if (m_starts >= m_max_starts) {
            break;
        }
        const bool all = place_job(jobs[*index], candidates, now);
        if (all) {
            m_state->m_schedulable_jobs.erase(jobs[*index].m_rank.m_id);
        }
        if (all || order.keeps_turn()) {
            order.remove_current();
        }
    }
    m_order = nullptr;
}

void task_placer::place_all(moment now)
{
    m_state->m_quotas.expire(now.m_at);
    auto by_pool = collect(now);
    m_max_starts = max_starts_per_pass / std::max<std::size_t>(by_pool.size(), 1) + 1;
    std::set<std::string> unfinished;
    for (auto& [pool, jobs] : by_pool) {
        auto candidates = candidates_of(pool, now.m_at);
        m_sizes_without_room.clear();
        m_racks.begin_pass(pool, candidates, now.m_at);
        m_starts = 0;
        probe_room(pool, jobs, candidates, now.m_at);
        if (m_state->m_config.tenants().enabled()) {
            place_fairly(pool, jobs, candidates, now);
            note_free_workers(pool, candidates, now.m_at);
            if (m_starts >= m_max_starts) {
                // Tasks that the pass did not come to will take them.
                m_state->m_free_workers[pool].clear();
            }
        }
        else {
            place_by_rank(jobs, candidates, now);
        }
        if (m_starts >= m_max_starts) {
            unfinished.insert(pool);
        }
    }
    m_copies.place_all(
        [this, &now](const std::string& pool) { return candidates_of(pool, now.m_at); }, unfinished,
        now);
    for (auto entry = m_state->m_schedulable_jobs.begin();
         entry != m_state->m_schedulable_jobs.end();) {
        const auto* target = m_state->m_job_store.find(*entry);
        const bool over = target == nullptr || target->phase() != job_phase::active;
        entry = over ? m_state->m_schedulable_jobs.erase(entry) : std::next(entry);
    }
    m_state->log_quota_waits(now.m_at);
}

} // namespace peridotrudder
