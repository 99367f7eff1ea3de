#include "peridotrudder/scheduling/placement.hpp"

#include <algorithm>
#include <tuple>

namespace peridotrudder {

namespace {

std::uint32_t tasks_of_step(const worker_session& session, const placement_request& need)
{
    const run_key first{need.m_job, {need.m_occurrence, need.m_step_index, 0}};
    std::uint32_t count = 0;
    for (auto each = session.runs().lower_bound(first); each != session.runs().end(); ++each) {
        const auto& key = each->first;
        const bool same = key.m_job == need.m_job && key.m_task.m_occurrence == need.m_occurrence &&
                          key.m_task.m_step == need.m_step_index;
        if (!same) {
            break;
        }
        ++count;
    }
    return count;
}

bool has_label(const worker_session& session, const std::string& label)
{
    const auto& labels = session.report().m_labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool has_room(const placement_request& need, const candidate& each, time_point now)
{
    const auto& session = *each.m_session;
    const auto& step = *need.m_step;
    if (!session.takes_work(now) || !fits(reserved_for(step), session.room())) {
        return false;
    }
    if (each.m_unhealthy && need.m_last_attempt) {
        return false;
    }
    if (!step.m_required_label.empty() && !has_label(session, step.m_required_label)) {
        return false;
    }
    return step.m_max_per_worker == 0 || tasks_of_step(session, need) < step.m_max_per_worker;
}

bool may_run(const placement_request& need, const candidate& each, time_point now)
{
    const bool permitted =
        need.m_tickets == nullptr ||
        !need.m_tickets->ticket_for(need.step(), each.m_session->life(), now).empty();
    return permitted && has_room(need, each, now);
}

/// Lower is better, field by field.
using rank = std::tuple<bool, bool, bool, std::int64_t, std::int64_t>;

rank rank_of(const placement_request& need, const candidate& each)
{
    const auto& session = *each.m_session;
    const auto& step = *need.m_step;
    const bool far = !step.m_data_rack.empty() && session.report().m_rack != step.m_data_rack;
    const bool avoided = session.id() == need.m_avoid;
    const auto room = session.room().m_cpu_millis;
    if (step.m_best_effort) {
        return {each.m_unhealthy, avoided, far, session.filling_cpu() - room, room};
    }
    if (step.m_long_running) {
        return {each.m_unhealthy, avoided, far, -std::int64_t{session.long_running_runs()}, room};
    }
    return {each.m_unhealthy, avoided, far, room, 0};
}

} // namespace

resources reserved_for(const step_spec& step)
{
    auto reserved = step.m_task_resources;
    if (step.m_best_effort) {
        reserved.m_cpu_millis = 0;
    }
    return reserved;
}

std::vector<worker_instance> workers_with_room(const placement_request& need,
                                               const std::vector<candidate>& candidates,
                                               time_point now)
{
    std::vector<worker_instance> workers;
    for (const auto& each : candidates) {
        if (has_room(need, each, now)) {
            workers.push_back(each.m_session->life());
        }
    }
    return workers;
}

candidate* choose_worker(const placement_request& need, std::vector<candidate>& candidates,
                         time_point now)
{
    candidate* best = nullptr;
    rank best_rank;
    for (auto& each : candidates) {
        if (!may_run(need, each, now)) {
            continue;
        }
        const auto its_rank = rank_of(need, each);
        if (best == nullptr || its_rank < best_rank) {
            best = &each;
            best_rank = its_rank;
        }
    }
    return best;
}

} // namespace peridotrudder
