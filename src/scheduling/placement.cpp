#include "peridotrudder/scheduling/placement.hpp"

#include <algorithm>
#include <tuple>

namespace peridotrudder {

namespace {

/// Time for which a worker is kept for a task on trial that does not ask again. Passes of placement
/// follow each other faster, unless records can't be written.
constexpr milliseconds keep_time{1'000};

bool is_kept_for(const candidate& worker, const run_key& key, time_point now)
{
    const auto* kept_for = worker.m_session->kept_for(now);
    return kept_for != nullptr && *kept_for == key;
}

std::uint32_t tasks_of_step(const worker_session& session, const placement_request& request)
{
    const run_key first{request.m_job, {request.m_occurrence, request.m_step_index, 0}};
    std::uint32_t count = 0;
    for (auto entry = session.runs().lower_bound(first); entry != session.runs().end(); ++entry) {
        const auto& key = entry->first;
        const bool same_step = key.m_job == request.m_job &&
                               key.m_task.m_occurrence == request.m_occurrence &&
                               key.m_task.m_step == request.m_step_index;
        if (!same_step) {
            break;
        }
        ++count;
    }
    return count;
}

bool has_ticket(const placement_request& request, const candidate& worker, time_point now)
{
    return request.m_tickets == nullptr ||
           !request.m_tickets->ticket_for(request.step(), worker.m_session->instance(), now)
                .empty();
}

bool may_run(const placement_request& request, const candidate& worker, time_point now)
{
    return has_room(request, worker, now) && has_ticket(request, worker, now);
}

/// Returns the resource of which there is too little; `none` if the task fits.
worker_obstacle missing_resource(const resources& required, const resources& room)
{
    if (fits(required, room)) {
        return worker_obstacle::none;
    }
    if (required.m_cpu_millis > room.m_cpu_millis) {
        return worker_obstacle::cpu;
    }
    return required.m_memory_mb > room.m_memory_mb ? worker_obstacle::memory
                                                   : worker_obstacle::accelerators;
}

/// Returns whether a crash of the worker would show which task is at fault. The members of a gang
/// start together, so they are not kept apart.
bool is_calm(const placement_request& request, const candidate& worker, time_point now)
{
    return !request.m_on_trial || request.m_step->m_gang || worker.m_session->is_calm(now);
}

/// Returns whether the grade permits to start the task.
bool grade_permits(const placement_request& request, const candidate& worker)
{
    if (worker.m_grade == worker_grade::full) {
        return true;
    }
    const bool may_take_another =
        worker.m_grade == worker_grade::reduced || worker.m_session->runs().empty();
    return worker.m_grade != worker_grade::out && !needs_worker_at_full(request) &&
           may_take_another;
}

/// Compared lexicographically; lower is better.
using rank = std::tuple<int, bool, bool, std::int64_t, std::int64_t>;

/// Returns the first part of a rank. A worker on probation comes first for a task that has not
/// failed yet: otherwise it would have no runs to pass on while the pool is not full.
int standing_of(const placement_request& request, const candidate& worker, bool off_rack)
{
    enum standing { on_probation, healthy, unhealthy };
    const bool may_test = worker.m_grade == worker_grade::probation && request.m_avoid.empty() &&
                          !request.m_step->m_best_effort && !off_rack;
    if (may_test) {
        return on_probation;
    }
    return worker.m_unhealthy ? unhealthy : healthy;
}

rank rank_of(const placement_request& request, const candidate& worker)
{
    const auto& session = *worker.m_session;
    const auto& step = *request.m_step;
    const bool off_rack =
        !request.m_preferred_rack.empty() && session.report().m_rack != request.m_preferred_rack;
    const bool avoided = session.id() == request.m_avoid;
    const auto room = session.room().m_cpu_millis;
    const auto standing = standing_of(request, worker, off_rack);
    if (request.m_on_trial) {
        // As few runs as possible would be lost with the worker.
        return {standing, avoided, off_rack, static_cast<std::int64_t>(session.runs().size()),
                room};
    }
    if (step.m_best_effort) {
        return {standing, avoided, off_rack, session.best_effort_cpu_millis() - room, room};
    }
    if (step.m_long_running) {
        return {standing, avoided, off_rack, -std::int64_t{session.long_running_runs()}, room};
    }
    return {standing, avoided, off_rack, room, 0};
}

} // namespace

bool needs_worker_at_full(const placement_request& request)
{
    // A failure costs a gang all its runs, a long-running task its place, and a last attempt the
    // job; a crash under a task on trial would say nothing about the task.
    return request.m_last_attempt || request.m_on_trial || request.m_step->m_gang ||
           request.m_step->m_long_running;
}

bool has_required_label(const step_spec& step, const worker_session& session)
{
    const auto& labels = session.report().m_labels;
    return step.m_required_label.empty() ||
           std::find(labels.begin(), labels.end(), step.m_required_label) != labels.end();
}

resources reserved_for(const step_spec& step)
{
    auto reserved = step.m_task_resources;
    if (step.m_best_effort) {
        reserved.m_cpu_millis = 0;
    }
    return reserved;
}

worker_obstacle room_obstacle(const placement_request& request, const candidate& worker,
                              time_point now)
{
    const auto& session = *worker.m_session;
    const auto& step = *request.m_step;
    const auto refusal = session.work_obstacle(now);
    if (refusal != worker_obstacle::none) {
        return refusal;
    }
    // Before the room, since it does not change with time.
    if (!has_required_label(step, session)) {
        return worker_obstacle::label;
    }
    const auto shortage = missing_resource(reserved_for(step), session.room());
    if (shortage != worker_obstacle::none) {
        return shortage;
    }
    const bool kept_for_other =
        session.kept_for(now) != nullptr && !is_kept_for(worker, request.key(), now);
    if (session.has_trial(now) || kept_for_other) {
        return worker_obstacle::trial;
    }
    if ((worker.m_unhealthy && request.m_last_attempt) || !grade_permits(request, worker)) {
        return worker_obstacle::unhealthy;
    }
    const bool has_place =
        step.m_max_per_worker == 0 || tasks_of_step(session, request) < step.m_max_per_worker;
    return has_place ? worker_obstacle::none : worker_obstacle::max_per_worker;
}

worker_obstacle find_obstacle(const placement_request& request, const candidate& worker,
                              time_point now)
{
    const auto obstacle = room_obstacle(request, worker, now);
    if (obstacle != worker_obstacle::none) {
        return obstacle;
    }
    if (!has_ticket(request, worker, now)) {
        return worker_obstacle::ticket;
    }
    if (!is_calm(request, worker, now)) {
        return worker_obstacle::recent_start;
    }
    // The members of a gang start together or not at all.
    return worker.m_starts_left == 0 && !request.m_step->m_gang ? worker_obstacle::pending_starts
                                                                : worker_obstacle::none;
}

std::vector<worker_instance> workers_with_room(const placement_request& request,
                                               const std::vector<candidate>& candidates,
                                               time_point now)
{
    std::vector<worker_instance> workers;
    for (const auto& worker : candidates) {
        if (has_room(request, worker, now)) {
            workers.push_back(worker.m_session->instance());
        }
    }
    return workers;
}

bool reserve_for_trial(const placement_request& request, std::vector<candidate>& candidates,
                       time_point now)
{
    const auto key = request.key();
    candidate* chosen = nullptr;
    for (auto& worker : candidates) {
        if (!may_run(request, worker, now)) {
            continue;
        }
        if (is_kept_for(worker, key, now)) {
            chosen = &worker;
            break;
        }
        const bool sooner =
            chosen == nullptr || worker.m_session->calm_from() < chosen->m_session->calm_from();
        chosen = sooner ? &worker : chosen;
    }
    // The one kept so far may have no room any more, or no ticket.
    end_reservation(key, candidates, now);
    if (chosen != nullptr) {
        chosen->m_session->keep_for_trial(key, now + keep_time);
    }
    return chosen != nullptr;
}

void end_reservation(const run_key& key, std::vector<candidate>& candidates, time_point now)
{
    for (auto& worker : candidates) {
        if (is_kept_for(worker, key, now)) {
            worker.m_session->end_keeping();
        }
    }
}

candidate* choose_worker(const placement_request& request, std::vector<candidate>& candidates,
                         time_point now)
{
    candidate* best = nullptr;
    rank best_rank;
    for (auto& worker : candidates) {
        if (find_obstacle(request, worker, now) != worker_obstacle::none) {
            continue;
        }
        const auto worker_rank = rank_of(request, worker);
        if (best == nullptr || worker_rank < best_rank) {
            best = &worker;
            best_rank = worker_rank;
        }
    }
    return best;
}

} // namespace peridotrudder
