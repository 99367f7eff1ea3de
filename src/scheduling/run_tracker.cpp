#include "peridotrudder/scheduling/run_tracker.hpp"

#include "peridotrudder/scheduling/job_rank.hpp"
#include "peridotrudder/scheduling/pacing.hpp"

#include <fmt/format.h>

namespace peridotrudder {

namespace {

/// Pause before a stop without an answer is sent again.
constexpr milliseconds stop_retry{300};
/// Time for which a worker that turned an order down gets no other.
constexpr milliseconds unhealthy_pause{500};
constexpr milliseconds invalid_pause{1'000};
/// A run whose progress stands still for so long is taken as stalled.
constexpr milliseconds stall_time{1'200};
/// Progress is told in whole hundredths: a long run moves rarely.
constexpr int slow_steps = 4;
constexpr int percent_steps = 100;
constexpr std::uint32_t whole = 100;

milliseconds patience(const worker_run& run)
{
    return std::max(stall_time, run.m_estimate * slow_steps / percent_steps + stall_time);
}

step_key step_of(const run_key& key)
{
    return {key.m_job, key.m_task.m_occurrence, key.m_task.m_step};
}

/// Returns the tasks that have a run.
std::vector<task_ref> placed_tasks_of(const job& of)
{
    std::vector<task_ref> placed;
    if (of.placed_tasks() == 0) {
        return placed;
    }
    for (std::uint32_t occurrence = 0; occurrence < of.occurrences(); ++occurrence) {
        for (std::uint32_t step = 0; step < of.spec().m_steps.size(); ++step) {
            const auto tasks = of.tasks(occurrence, step);
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].m_phase == task_phase::placed) {
                    placed.push_back({occurrence, step, index});
                }
            }
        }
    }
    return placed;
}

} // namespace

void run_tracker::adopt_recorded_runs(moment now)
{
    for (const auto& [id, each] : m_state->m_job_store.jobs()) {
        if (each.phase() == job_phase::active) {
            m_state->m_schedulable_jobs.insert(id);
        }
        for (const auto& ref : placed_tasks_of(each)) {
            adopt({id, ref}, each, now);
        }
    }
}

void run_tracker::adopt(const run_key& key, const job& of, moment now)
{
    const auto& placed = of.at(key.m_task);
    auto found = m_state->m_workers.find(placed.m_placed_on.m_worker);
    if (found == m_state->m_workers.end()) {
        // The worker is not listed now. It may be back, or run on unseen until its lease is over.
        worker_report unseen;
        unseen.m_instance = placed.m_placed_on;
        auto session = worker_session::create(unseen, m_state->m_options.m_fence,
                                              m_state->m_options.m_lease, now.m_at);
        session.set_listed(false, now.m_at);
        found = m_state->m_workers.emplace(placed.m_placed_on.m_worker, std::move(session)).first;
    }
    auto& session = found->second;
    if (!(session.life() == placed.m_placed_on)) {
        m_state->log_run("run_lost", key, session.id(), "worker is in another life");
        m_state->m_job_store.find(key.m_job)->void_run(key.m_task);
        m_state->changed(key.m_job);
        return;
    }
    const auto& step = of.spec().m_steps[key.m_task.m_step];
    auto run = make_run(step, placed.m_run);
    run.m_phase = run_phase::doubtful;
    // Whatever the predecessor sent is refused once the worker knows this owner's fencing token.
    run.m_barred_at = now.m_at;
    run.m_pace_known = false;
    run.m_stopping = of.phase() != job_phase::active;
    session.reserve(key, run);
}

void run_tracker::send_start(const start_effect& start, moment now)
{
    auto* session = m_state->find_instance(start.m_instance);
    auto* run = session == nullptr ? nullptr : session->find(start.m_key);
    auto* of = m_state->m_job_store.find(start.m_key.m_job);
    if (run == nullptr || of == nullptr || run->m_run != start.m_run ||
        run->m_phase != run_phase::recording) {
        return;
    }
    const bool wanted = of->phase() == job_phase::active && !run->m_stopping;
    if (!wanted || !session->takes_work(now.m_at)) {
        mark_run_lost(*session, start.m_key, "not sent");
        return;
    }
    const auto step = step_of(start.m_key);
    const bool restricted = m_state->queue_of(of->header()).m_policy.has_value();
    const auto ticket = m_state->m_tickets.ticket_for(step, start.m_instance, now.m_at);
    if (restricted && ticket.empty()) {
        mark_run_lost(*session, start.m_key, "ticket is over");
        return;
    }
    start_order order;
    order.m_ticket = restricted ? ticket : std::string{};
    order.m_key = start.m_key;
    order.m_run = start.m_run;
    order.m_payload = of->spec().m_payload;
    order.m_checkpoint = of->at(start.m_key.m_task).m_checkpoint;
    order.m_fence = m_state->m_options.m_fence;
    order.m_deadline_ms = session->start_deadline(now.m_at);
    run->m_phase = run_phase::ordered;
    m_state->m_ports.m_start(session->report(), order);
}

void run_tracker::start_answered(const worker_instance& life, const run_key& key,
                                 std::uint32_t number, const order_answer& answer, moment now)
{
    auto* session = m_state->find_instance(life);
    auto* run = session == nullptr ? nullptr : session->find(key);
    if (run == nullptr || run->m_run != number) {
        return;
    }
    session->order_answered(answer, now.m_at);
    switch (answer.m_result) {
    case order_result::accepted:
        if (run->m_phase != run_phase::running) {
            run->m_phase = run_phase::running;
            run->m_confirmed_at = now.m_at;
            run->m_progress_at = now.m_at;
        }
        return;
    case order_result::fenced:
        depose();
        return;
    case order_result::unanswered:
        if (run->m_phase == run_phase::ordered) {
            m_state->log_run("start_unanswered", key, life.m_worker, "");
            run->m_phase = run_phase::doubtful;
            stop_run(*session, key, now.m_at);
        }
        return;
    case order_result::obsolete:
        // It may have run and ended already: the next look tells.
        run->m_phase = run_phase::doubtful;
        run->m_barred_at = now.m_at;
        return;
    case order_result::invalid:
        session->hold_back_until(now.m_at + invalid_pause);
        break;
    case order_result::unhealthy:
    case order_result::no_room:
        session->hold_back_until(now.m_at + unhealthy_pause);
        break;
    case order_result::bad_ticket:
        m_state->m_tickets.reject(step_of(key), life);
        break;
    case order_result::too_late:
    case order_result::other_life:
    case order_result::not_sent:
        break;
    }
    if (run->m_phase == run_phase::ordered) {
        mark_run_lost(*session, key, to_string(answer.m_result));
    }
}

void run_tracker::stop_answered(const worker_instance& life, const run_key& key,
                                std::uint32_t number, const order_answer& answer, moment now)
{
    auto* session = m_state->find_instance(life);
    auto* run = session == nullptr ? nullptr : session->find(key);
    if (run == nullptr || run->m_run != number) {
        return;
    }
    session->order_answered(answer, now.m_at);
    run->m_stop_under_way = false;
    if (answer.m_result == order_result::fenced) {
        depose();
        return;
    }
    if (answer.m_result == order_result::accepted || answer.m_result == order_result::obsolete) {
        run->m_stop_answered = true;
        run->m_barred_at = now.m_at;
    }
}

void run_tracker::hold_answered(const worker_instance& life, const hold_answer& answer,
                                time_point sent_at, moment now)
{
    auto* session = m_state->find_worker(life.m_worker);
    if (session == nullptr) {
        return;
    }
    if (answer.m_result == order_result::fenced) {
        depose();
        return;
    }
    const bool was_silent = session->silent();
    const auto outcome = session->hold_answered(answer, sent_at, now.m_at);
    if (session->silent() != was_silent) {
        m_state->log(was_silent ? "worker_answers" : "worker_silent", "", session->id(),
                     std::string{to_string(answer.m_result)});
    }
    if (answer.m_result == order_result::other_life && session->life() == life) {
        mark_all_lost(*session, "address belongs to another worker");
        return;
    }
    if (outcome.m_reborn) {
        handle_worker_restart(*session, *answer.m_born_ms, now);
        return;
    }
    for (const auto& each : outcome.m_ended) {
        note_end(*session, each, now);
    }
    for (const auto& each : outcome.m_gone) {
        mark_run_lost(*session, each, "not at the worker");
    }
    for (const auto& each : outcome.m_strangers) {
        stop_unknown_run(*session, each, now.m_at);
    }
    if (!outcome.m_ended.empty()) {
        m_state->m_effects.emplace_back(ends_effect{session->life(), session->newest_end()});
    }
    stop_stalled(*session, now.m_at);
    pace_filling(*session, now.m_at);
}

void run_tracker::note_end(worker_session& session, const ended_entry& ended, moment now)
{
    const auto* run = session.find(ended.m_key);
    if (run != nullptr && run->m_run == ended.m_run) {
        session.release(ended.m_key);
    }
    auto* of = m_state->m_job_store.find(ended.m_key.m_job);
    if (of == nullptr || !of->has(ended.m_key.m_task)) {
        return;
    }
    const auto before = of->at(ended.m_key.m_task);
    const bool was_active = of->phase() == job_phase::active;
    const auto attempts = m_state->queue_of(of->header()).m_attempts;
    const bool changed = of->end(ended.m_key.m_task, ended.m_run, ended.m_how, ended.m_checkpoint,
                                 attempts, now.m_unix_ms);
    blame(session, *of, ended.m_key, ended.m_how, now.m_at);
    if (!changed) {
        return;
    }
    m_state->changed(ended.m_key.m_job);
    if (ended.m_how != run_end::done) {
        m_state->log_run("run_ended", ended.m_key, session.id(), to_string(ended.m_how));
    }
    const bool other_run = before.m_phase == task_phase::placed &&
                           (before.m_run != ended.m_run || !(before.m_placed_on == session.life()));
    auto* elsewhere = other_run ? m_state->find_instance(before.m_placed_on) : nullptr;
    if (elsewhere != nullptr && ended.m_how == run_end::done) {
        stop_run(*elsewhere, ended.m_key, now.m_at);
    }
    if (was_active && of->phase() != job_phase::active) {
        const auto accepted_ms = of->header().m_accepted_ms;
        const auto objective_ms =
            limits_of(of->header(), m_state->queue_of(of->header())).m_objective_ms - accepted_ms;
        m_state->log_timed("job_ended", ended.m_key.m_job, "",
                           fmt::format("{}, objective {} ms", to_string(of->phase()), objective_ms),
                           milliseconds{now.m_unix_ms - accepted_ms});
        m_state->m_tickets.drop_job(ended.m_key.m_job);
        stop_job(*of, now.m_at);
    }
}

void run_tracker::blame(worker_session& session, const job& of, const run_key& key, run_end how,
                        time_point now)
{
    auto& health = m_state->health_of(session.report().m_pool);
    if (how == run_end::done) {
        health.succeeded(session.id());
        m_state->m_failed_on.erase(key);
        return;
    }
    if (how != run_end::failed) {
        return;
    }
    // A task that fails on one worker after the other is at fault itself.
    const auto failed = m_state->m_failed_on.find(key);
    const bool elsewhere_too =
        failed != m_state->m_failed_on.end() && failed->second != session.id();
    if (!elsewhere_too && !of.spec().m_steps[key.m_task.m_step].m_long_running) {
        health.failed(session.id(), m_state->pool_size(session.report().m_pool), now);
    }
    m_state->m_failed_on[key] = session.id();
}

void run_tracker::mark_run_lost(worker_session& session, const run_key& key, std::string_view why)
{
    const auto* run = session.find(key);
    if (run == nullptr) {
        return;
    }
    const auto number = run->m_run;
    session.release(key);
    auto* of = m_state->m_job_store.find(key.m_job);
    if (of == nullptr || !of->has(key.m_task)) {
        return;
    }
    const auto& each = of->at(key.m_task);
    if (each.m_phase == task_phase::placed && each.m_run == number) {
        of->void_run(key.m_task);
        m_state->changed(key.m_job);
        m_state->log_run("run_lost", key, session.id(), why);
    }
}

void run_tracker::mark_all_lost(worker_session& session, std::string_view why)
{
    std::vector<run_key> keys;
    for (const auto& each : session.runs()) {
        keys.push_back(each.first);
    }
    for (const auto& each : keys) {
        mark_run_lost(session, each, why);
    }
}

void run_tracker::handle_worker_restart(worker_session& session, std::int64_t born_ms, moment now)
{
    mark_all_lost(session, "worker is in another life");
    session.start_new_life(born_ms, now.m_at);
}

void run_tracker::stop_run(worker_session& session, const run_key& key, time_point now)
{
    auto* run = session.find(key);
    if (run == nullptr) {
        return;
    }
    session.set_stopping(*run);
    // What is not sent yet is dropped when its turn to be sent comes.
    if (run->m_phase == run_phase::recording || run->m_stop_under_way || run->m_stop_answered) {
        return;
    }
    run->m_stop_under_way = true;
    run->m_stop_sent_at = now;
    m_state->m_ports.m_stop(session.report(), {key, run->m_run, m_state->m_options.m_fence});
}

void run_tracker::stop_job(const job& of, time_point now)
{
    for (const auto& ref : placed_tasks_of(of)) {
        if (auto* session = m_state->find_instance(of.at(ref).m_placed_on)) {
            stop_run(*session, {of.header().m_id, ref}, now);
        }
    }
}

void run_tracker::stop_unknown_run(worker_session& session, const running_entry& stranger,
                                   time_point now)
{
    m_state->log("stranger_stopped", stranger.m_key.m_job, session.id(),
                 fmt::format("run {}", stranger.m_run));
    const auto* of = m_state->m_job_store.find(stranger.m_key.m_job);
    if (of != nullptr && of->has(stranger.m_key.m_task) &&
        session.find(stranger.m_key) == nullptr) {
        // It takes room until it has ended.
        auto run = make_run(of->spec().m_steps[stranger.m_key.m_task.m_step], stranger.m_run);
        run.m_phase = run_phase::running;
        run.m_confirmed_at = now;
        session.reserve(stranger.m_key, run);
        stop_run(session, stranger.m_key, now);
        return;
    }
    m_state->m_ports.m_stop(session.report(),
                            {stranger.m_key, stranger.m_run, m_state->m_options.m_fence});
}

void run_tracker::stop_stalled(worker_session& session, time_point now)
{
    std::vector<run_key> stalled;
    for (const auto& [key, run] : session.runs()) {
        const bool watched = run.m_phase == run_phase::running && !run.m_stopping &&
                             run.m_pace == whole && !(run.m_long_running && run.m_percent == whole);
        if (watched && now - run.m_progress_at > patience(run)) {
            stalled.push_back(key);
        }
    }
    for (const auto& key : stalled) {
        m_state->log_run("run_stalled", key, session.id(), "");
        auto& health = m_state->health_of(session.report().m_pool);
        health.failed(session.id(), m_state->pool_size(session.report().m_pool), now);
        stop_run(session, key, now);
    }
}

void run_tracker::pace_filling(worker_session& session, time_point now)
{
    for (const auto& change : decide_paces(session, now)) {
        auto* run = session.find(change.m_key);
        if (run->m_pace != change.m_percent) {
            m_state->log_run("run_paced", change.m_key, session.id(),
                             fmt::format("{} of 100", change.m_percent));
        }
        run->m_pace = change.m_percent;
        run->m_pace_known = true;
        run->m_paced_at = now;
        run->m_progress_at = now;
        m_state->m_ports.m_pace(session.report(), {change.m_key, run->m_run, change.m_percent,
                                                   m_state->m_options.m_fence});
    }
}

void run_tracker::tick(moment now)
{
    static const std::map<run_key, worker_run> no_runs;
    for (auto each = m_state->m_workers.begin(); each != m_state->m_workers.end();) {
        auto& session = each->second;
        const bool unreachable = session.silent() || !session.listed();
        if (unreachable && !session.runs().empty() && now.m_at >= session.lease_over() &&
            (session.silent() || session.report().m_port == 0)) {
            mark_all_lost(session, "lease over");
        }
        if (!session.listed() && session.runs().empty()) {
            m_state->log("worker_forgotten", "", session.id(), "");
            each = m_state->m_workers.erase(each);
            continue;
        }
        std::vector<run_key> again;
        for (const auto& [key, run] : session.stopping_runs() == 0 ? no_runs : session.runs()) {
            if (run.m_stopping && !run.m_stop_under_way && !run.m_stop_answered &&
                now.m_at - run.m_stop_sent_at > stop_retry) {
                again.push_back(key);
            }
        }
        for (const auto& key : again) {
            stop_run(session, key, now.m_at);
        }
        if (session.report().m_port != 0) {
            if (const auto hold = session.next_hold(now.m_at)) {
                m_state->m_ports.m_hold(session.report(), *hold);
            }
        }
        ++each;
    }
}

void run_tracker::depose()
{
    if (!m_state->m_deposed) {
        m_state->m_deposed = true;
        m_state->m_ports.m_deposed();
    }
}

worker_run make_run(const step_spec& step, std::uint32_t number)
{
    worker_run run;
    run.m_run = number;
    run.m_reserved = reserved_for(step);
    run.m_long_running = step.m_long_running;
    run.m_best_effort = step.m_best_effort;
    run.m_latency_target = step.m_latency_target;
    run.m_estimate = step.m_estimate;
    run.m_filling_cpu = step.m_best_effort ? step.m_task_resources.m_cpu_millis : 0;
    return run;
}

} // namespace peridotrudder
