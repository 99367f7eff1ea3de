#include "peridotrudder/scheduling/copy_placement.hpp"

#include "peridotrudder/scheduling/crash_suspects.hpp"
#include "peridotrudder/scheduling/job_rank.hpp"
#include "peridotrudder/scheduling/run_tracker.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <tuple>
#include <utility>

namespace peridotrudder {

namespace {

/// Progress is reported about once a second, and runs that are worth a copy last longer than this.
constexpr milliseconds judge_interval{100};
/// Runs judged in one turn of the loop. More would delay heartbeats on a slow processor.
constexpr std::size_t max_judged_runs = 2'000;
constexpr std::uint32_t full_pace = 100;

/// Returns whether it is known when the run began and how far it is.
bool is_under_way(const worker_run& run)
{
    return run.m_phase == run_phase::running && run.m_ordered_at && !run.m_stopping &&
           !run.m_former_heard_at && run.m_pace == full_pace;
}

bool has_suspects(const job& source, const task_ref& ref)
{
    bool has_any = false;
    source.tasks(ref.m_occurrence, ref.m_step)
        .visit_changed([&has_any](std::uint32_t /*index*/, const task& entry) {
            has_any = has_any || is_on_trial(entry);
        });
    return has_any;
}

} // namespace

void copy_placement::note_start(const job& target, std::uint32_t step)
{
    if (m_state->m_options.m_copies_percent > 0 && has_copies(target.spec(), step)) {
        m_state->m_speculative_jobs.insert(target.header().m_id);
    }
}

void copy_placement::tick(time_point now)
{
    m_due = !m_state->m_speculative_jobs.empty() && now - m_judged_at >= judge_interval;
}

void copy_placement::place_all(const candidates_hook& candidates_of,
                               const std::set<std::string>& unfinished, moment now)
{
    if (!std::exchange(m_due, false)) {
        return;
    }
    m_judged_at = now.m_at;
    for (auto& [pool, late] : find_late_runs(now)) {
        if (!late.empty() && unfinished.count(pool) == 0) {
            auto candidates = candidates_of(pool);
            place_in_pool(pool, late, candidates, now);
        }
    }
}

std::map<std::string, std::vector<copy_placement::judged_run>>
copy_placement::find_late_runs(moment now)
{
    std::map<std::string, std::vector<judged_run>> by_pool;
    auto& ids = m_state->m_speculative_jobs;
    std::size_t judged = 0;
    auto id = ids.upper_bound(m_last_job);
    while (id != ids.end() && judged < max_judged_runs) {
        m_last_job = *id;
        auto* target = m_state->m_job_store.find(*id);
        // A job with waiting tasks is noted again with their starts.
        if (target == nullptr || target->phase() != job_phase::active ||
            target->placed_tasks() == 0) {
            id = ids.erase(id);
            continue;
        }
        const auto& queue = m_state->queue_of(target->header());
        judged += judge_job(*target, queue, now, by_pool[queue.m_pool]);
        ++id;
    }
    if (id == ids.end()) {
        m_last_job.clear();
    }
    return by_pool;
}

std::size_t copy_placement::judge_job(job& target, const queue_config& queue, moment now,
                                      std::vector<judged_run>& late) const
{
    const auto placed = target.placed_refs();
    for (const auto& ref : placed) {
        if (auto judged = judge_run(target, queue, ref, now)) {
            late.push_back(std::move(*judged));
        }
    }
    return placed.size();
}

std::optional<copy_placement::judged_run> copy_placement::judge_run(job& target,
                                                                    const queue_config& queue,
                                                                    const task_ref& ref,
                                                                    moment now) const
{
    const auto& entry = target.at(ref);
    const run_key key{target.header().m_id, ref};
    auto* session = may_be_copied(target, ref, queue.m_attempts)
                        ? m_state->find_instance(entry.m_placed_on)
                        : nullptr;
    const auto* run = session == nullptr ? nullptr : session->find(key);
    if (run == nullptr || run->m_run != entry.m_run || !is_under_way(*run)) {
        return std::nullopt;
    }
    const auto& step = target.spec().m_steps[ref.m_step];
    const auto tasks = class_of(target, ref.m_step);
    const auto& times = m_state->m_run_times;
    const auto learned_runs = times.runs_of(tasks);
    late_run late;
    late.m_worker = session->id();
    late.m_cpu_millis = reserved_for(step).m_cpu_millis;
    late.m_usual = cautious_time(times.expected(tasks, step.m_estimate), learned_runs);
    const auto slowness = run->m_place_factor * times.slowness(session->instance());
    const auto expected = milliseconds{
        static_cast<std::int64_t>(static_cast<double>(late.m_usual.count()) * slowness)};
    late.m_rest = expected_remaining(*run, expected, now.m_at);
    const auto limits = limits_of(target.header(), queue);
    const auto after = time_after_step(target.spec(), ref.m_step);
    late.m_until_objective = milliseconds{limits.m_objective_ms - now.m_unix_ms} - after;
    late.m_until_useless = milliseconds{limits.m_useful_until_ms - now.m_unix_ms} - after;
    if (!is_worth_a_copy(late, 1.0)) {
        return std::nullopt;
    }
    return judged_run{&target, &queue, ref, std::move(late), learned_runs};
}

void copy_placement::place_in_pool(const std::string& pool, std::vector<judged_run>& late,
                                   std::vector<candidate>& candidates, moment now)
{
    std::int64_t capacity = 0;
    std::int64_t largest_room = 0;
    for (const auto& worker : candidates) {
        capacity += worker.m_session->report().m_capacity.m_cpu_millis;
        largest_room = std::max(largest_room, worker.m_session->room().m_cpu_millis);
    }
    std::int64_t used = 0;
    for (const auto& [id, session] : m_state->m_workers) {
        used += session.report().m_pool == pool ? session.copies_cpu_millis() : 0;
    }
    auto budget = copy_budget::create(capacity, used, m_state->m_options.m_copies_percent);
    const auto has_room = [largest_room](const judged_run& judged) {
        return judged.m_run.m_cpu_millis <= largest_room;
    };
    if (std::none_of(late.begin(), late.end(), has_room)) {
        return;
    }
    // The runs that take longest hold up their jobs most.
    std::sort(late.begin(), late.end(), [](const judged_run& left, const judged_run& right) {
        return std::tie(right.m_run.m_rest, left.m_job->header().m_id, left.m_ref) <
               std::tie(left.m_run.m_rest, right.m_job->header().m_id, right.m_ref);
    });
    m_racks.begin_pass(pool, candidates, now.m_at);
    const auto waiting = sizes_waiting_in(pool, now);
    for (const auto& judged : late) {
        auto left = budget;
        if (left.take(judged.m_run.m_cpu_millis) && place(judged, waiting, candidates, now)) {
            budget = left;
        }
    }
}

bool copy_placement::place(const judged_run& judged, const waiting_sizes& waiting,
                           std::vector<candidate>& candidates, moment now)
{
    auto& target = *judged.m_job;
    const auto& ref = judged.m_ref;
    const auto& step = target.spec().m_steps[ref.m_step];
    const auto& account = m_state->account_of(target.header());
    // A tenant at its quota does not wait for it because of copies, so no wait is noted.
    if (!m_state->m_quotas.may_start(account, step.m_task_resources) ||
        m_state->has_stranger({target.header().m_id, ref}) || has_suspects(target, ref)) {
        return false;
    }
    placement_request request;
    request.m_step = &step;
    request.m_job = target.header().m_id;
    request.m_occurrence = ref.m_occurrence;
    request.m_step_index = ref.m_step;
    request.m_index = ref.m_index;
    const auto failed = m_state->m_failed_on.find(request.key());
    const auto is_restricted = judged.m_queue->m_policy.has_value();
    std::vector<copy_place> places;
    std::vector<candidate*> workers;
    std::vector<worker_instance> without_ticket;
    for (auto& worker : candidates) {
        const auto& session = *worker.m_session;
        const bool avoided = failed != m_state->m_failed_on.end() && failed->second == session.id();
        if (worker.m_unhealthy || avoided || !has_room(request, worker, now.m_at) ||
            session.kept_for(now.m_at) != nullptr ||
            waiting.may_use(session.room(), session.report().m_labels)) {
            continue;
        }
        if (is_restricted &&
            m_state->m_tickets.ticket_for(request.step(), session.instance(), now.m_at).empty()) {
            without_ticket.push_back(session.instance());
            continue;
        }
        places.push_back(
            {session.id(), session.room().m_cpu_millis, slowness_of(target, ref, session)});
        workers.push_back(&worker);
    }
    const auto chosen = choose_copy_place(judged.m_run, places);
    if (chosen) {
        start(judged, places[*chosen], *workers[*chosen], now);
        return true;
    }
    if (is_restricted && !without_ticket.empty()) {
        m_state->m_tickets.request(request.step(), *judged.m_queue->m_policy, without_ticket,
                                   now.m_at);
    }
    return false;
}

double copy_placement::slowness_of(const job& source, const task_ref& ref,
                                   const worker_session& session)
{
    worker_run run;
    m_racks.set_expectation(run, source, ref, session);
    return run.m_place_factor * m_state->m_run_times.slowness(session.instance());
}

void copy_placement::start(const judged_run& judged, const copy_place& place, candidate& chosen,
                           moment now)
{
    auto& target = *judged.m_job;
    const auto& ref = judged.m_ref;
    auto& session = *chosen.m_session;
    const auto number = target.place_copy(ref, session.instance());
    target.note_placement(now.m_unix_ms);
    const run_key key{target.header().m_id, ref};
    auto run = make_charged_run(*m_state, target, ref.m_step, number);
    run.m_is_copy = true;
    run.m_placed_at = now.m_at;
    m_racks.set_expectation(run, target, ref, session);
    session.reserve(key, run);
    session.note_start(now.m_at + crash_window, false);
    m_state->m_job_store.mark_changed(key.m_job);
    m_state->start_when_recorded(session.instance(), key, number);
    chosen.note_start();
    for (auto& free : m_state->m_free_workers[judged.m_queue->m_pool]) {
        free.m_room = free.m_id == session.id() ? session.room() : free.m_room;
    }
    m_state->log_run(
        "copy_started", key, session.id(),
        fmt::format("run {} beside run {} on {}: {} ms left there, {} ms to start and {} ms x "
                    "{:.2f} to run here, from {} runs; {} ms until the objective",
                    number, target.at(ref).m_run, judged.m_run.m_worker,
                    judged.m_run.m_rest.count(), expected_start_time.count(),
                    judged.m_run.m_usual.count(), place.m_slowness, judged.m_learned_runs,
                    judged.m_run.m_until_objective.count()));
}

waiting_sizes copy_placement::sizes_waiting_in(const std::string& pool, moment now)
{
    waiting_sizes waiting;
    for (const auto& id : m_state->m_schedulable_jobs) {
        const auto* source = m_state->m_job_store.find(id);
        if (source != nullptr && source->phase() == job_phase::active &&
            m_state->queue_of(source->header()).m_pool == pool) {
            add_waiting(*source, waiting, now);
        }
    }
    return waiting;
}

void copy_placement::add_waiting(const job& source, waiting_sizes& waiting, moment now)
{
    const auto& account = m_state->account_of(source.header());
    const auto& spec = source.spec();
    for (std::uint32_t occurrence = 0; occurrence < source.occurrences(); ++occurrence) {
        if (spec.m_recurrence && source.due_ms(occurrence) > now.m_unix_ms) {
            return;
        }
        for (std::uint32_t index = 0; index < spec.m_steps.size(); ++index) {
            const auto& step = spec.m_steps[index];
            const auto together = step.m_gang ? step.m_count : 1;
            // Tasks that their tenant's quota holds back can't use any capacity now.
            if (source.waiting(occurrence, index) != 0 && source.unblocked(occurrence, index) &&
                m_state->m_quotas.may_start(account, times(step.m_task_resources, together))) {
                waiting.add(reserved_for(step), step.m_required_label);
            }
        }
    }
}

void log_copy_end(const scheduler_state& state, const run_key& key, const task& before,
                  std::uint32_t run, std::string_view reason)
{
    if (before.m_phase != task_phase::placed || !before.m_copy) {
        return;
    }
    const auto& after = state.m_job_store.jobs().at(key.m_job).at(key.m_task);
    const bool of_copy = before.is_copy(run);
    std::string_view event = of_copy ? "copy_lost" : "copy_kept";
    if (after.m_phase == task_phase::failed) {
        event = "copy_lost";
    }
    else if (after.m_phase == task_phase::done) {
        event = of_copy ? "copy_won" : "copy_lost";
    }
    state.log_run(event, key, before.m_copy->m_placed_on.m_worker,
                  fmt::format("run {}: run {} on {} {}", before.m_copy->m_run, run,
                              before.place_of(run).m_worker, reason));
}

} // namespace peridotrudder
