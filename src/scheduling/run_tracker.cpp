#include "peridotrudder/scheduling/run_tracker.hpp"

#include "peridotrudder/scheduling/copy_placement.hpp"
#include "peridotrudder/scheduling/crash_suspects.hpp"
#include "peridotrudder/scheduling/job_rank.hpp"
#include "peridotrudder/scheduling/pacing.hpp"

#include <fmt/format.h>

namespace peridotrudder {

namespace {

/// Pause before an unanswered stop is sent again.
constexpr milliseconds stop_retry{300};
/// Time for which a worker that rejected an order gets no new work.
constexpr milliseconds unhealthy_pause{500};
constexpr milliseconds invalid_pause{1'000};
/// A run without progress for this long counts as stalled.
constexpr milliseconds stall_time{1'200};
/// Progress is reported in whole percent, so a long run may take several percent of its estimate
/// between two steps.
constexpr int stall_estimate_percent = 4;
constexpr int percent_per_whole = 100;
constexpr std::uint32_t full_percent = 100;
/// All workers of a fleet answer their first holds at once, and the answers list all their runs.
/// More at a time would delay the heartbeats of a new owner on a slow processor.
constexpr std::size_t max_first_holds_per_tick = 50;

milliseconds stall_timeout(const worker_run& run)
{
    return std::max(stall_time,
                    run.m_estimate * stall_estimate_percent / percent_per_whole + stall_time);
}

/// Returns whether the task is over, or has another run by now.
bool no_longer_has(const task& entry, std::uint32_t run)
{
    return entry.m_phase != task_phase::placed || !entry.has_run(run);
}

/// Returns whether an order was meant for the incarnation that answers now. The token tells apart
/// two that seem to have the same birth.
bool is_present(const order_target& target, const worker_session& session)
{
    return session.instance() == target.m_instance && session.fence() == target.m_fence;
}

/// Returns the answer without its clock if it was sent to a former incarnation.
order_answer without_former_clock(order_answer answer, const order_target& target,
                                  const worker_session& session)
{
    if (!is_present(target, session)) {
        answer.m_clock_ms.reset();
    }
    return answer;
}

} // namespace

void run_tracker::keep_charge(const worker_session& session, const run_key& key, moment now)
{
    const auto& run = session.runs().at(key);
    const auto* account = run.m_charge.account();
    if (!run.start_is_open(now.m_at) || account == nullptr || account->m_tenant.empty()) {
        return;
    }
    // Answers to holds that are lost may have renewed the lease of a run that was started late.
    const auto over_at = *run.m_start_open_until + 2 * session.longest_lease();
    m_state->m_quotas.keep(run.m_charge, session.id(), *run.m_start_open_until, over_at);
    m_leftovers.note(key, run.m_run, session.id(), false, now);
}

void run_tracker::start_answered(const order_target& target, const run_key& key,
                                 std::uint32_t number, const order_answer& answer, moment now)
{
    auto* session = find_receiver(target);
    auto* run = session == nullptr ? nullptr : session->find(key);
    if (run == nullptr || run->m_run != number) {
        return;
    }
    session->order_answered(without_former_clock(answer, target, *session), now.m_at);
    switch (answer.m_result) {
    case order_result::accepted:
        run->settle_start();
        note_settled_start(key, number);
        if (run->m_phase != run_phase::running) {
            run->m_phase = run_phase::running;
            run->m_confirmed_at = now.m_at;
            run->m_progress_at = now.m_at;
        }
        return;
    case order_result::fenced:
        depose_unless_former(*session, target);
        return;
    case order_result::unanswered:
        if (run->m_phase == run_phase::ordered) {
            // Usually only the answer is lost. A stop would end a run that is under way, so the
            // worker's next list decides.
            m_state->log_run("start_unanswered", key, session->id(), fmt::format("run {}", number));
            session->set_unanswered(*run, now.m_at);
            m_evidence.start_unanswered(*session, key, now.m_at);
        }
        return;
    case order_result::obsolete:
        // The run may have ended already; the next hold answer shows whether it has.
        run->m_phase = run_phase::uncertain;
        run->m_cannot_start_since = now.m_at;
        run->settle_start();
        return;
    case order_result::invalid:
        session->hold_back_until(now.m_at + invalid_pause);
        break;
    case order_result::unhealthy:
        m_evidence.start_refused(*session, key, now.m_at);
        session->hold_back_until(now.m_at + unhealthy_pause);
        break;
    case order_result::no_room:
        session->hold_back_until(now.m_at + unhealthy_pause);
        break;
    case order_result::bad_ticket:
        m_state->m_tickets.reject(step_of(key), target.m_instance);
        break;
    case order_result::too_late:
    case order_result::other_instance:
    case order_result::not_sent:
        break;
    }
    if (run->m_phase == run_phase::ordered) {
        run->settle_start();
        mark_run_lost(*session, key, to_string(answer.m_result), now);
    }
}

void run_tracker::stop_answered(const order_target& target, const run_key& key,
                                std::uint32_t number, const order_answer& answer, moment now)
{
    auto* session = find_receiver(target);
    auto* run = session == nullptr ? nullptr : session->find(key);
    if (run == nullptr || run->m_run != number) {
        return;
    }
    session->order_answered(without_former_clock(answer, target, *session), now.m_at);
    run->m_stop_in_flight = false;
    if (answer.m_result == order_result::fenced) {
        depose_unless_former(*session, target);
        return;
    }
    const bool answered =
        answer.m_result == order_result::accepted || answer.m_result == order_result::obsolete;
    // The answer to a stop that was sent before a restart may be the former incarnation's.
    if (answered && is_present(target, *session)) {
        run->m_stop_answered_at = now.m_at;
    }
}

void run_tracker::hold_answered(const order_target& target, const hold_answer& answer,
                                time_point sent_at, moment now)
{
    auto* session = find_receiver(target);
    // The hold that shows a restart ends the wait for its answer, so an older one was given up.
    if (session == nullptr || target.m_fence < session->fence()) {
        return;
    }
    if (answer.m_result == order_result::fenced) {
        depose_unless_former(*session, target);
    }
    if (answer.m_result == order_result::accepted && session->seen_down_since(sent_at)) {
        // The incarnation that was there before may have answered.
        session->hold_answered({}, sent_at, now.m_at);
        return;
    }
    const bool was_silent = session->silent();
    const auto last_heard_at = session->last_heard_at();
    const auto newest_end = session->newest_end();
    const auto outcome = session->hold_answered(answer, sent_at, now.m_at);
    if (session->silent() != was_silent) {
        m_state->log(was_silent ? "worker_answers" : "worker_silent", "", session->id(),
                     std::string{to_string(answer.m_result)});
    }
    // A worker that was silent before it restarted went down once.
    if (!was_silent && (session->silent() || outcome.m_restarted)) {
        m_evidence.went_down(*session, now.m_at);
    }
    if (answer.m_result == order_result::other_instance && is_present(target, *session)) {
        // The worker may live on at an address that this owner has not read yet, with runs that a
        // predecessor started there.
        std::vector<run_key> lost;
        for (const auto& [key, run] : session->runs()) {
            const bool adopted = run.m_phase == run_phase::uncertain && !run.m_ordered_at;
            if (!adopted || !is_of_other_incarnation(*session, key)) {
                lost.push_back(key);
            }
        }
        if (!lost.empty() || !session->watched()) {
            mark_lost_in_crash(*session, lost, session->last_heard_at(), true,
                               "address belongs to another worker", now);
        }
        return;
    }
    if (outcome.m_restarted) {
        m_state->log("worker_restarted", "", session->id(),
                     fmt::format("born {}", session->instance().m_born_ms));
    }
    for (const auto& key : outcome.m_begun) {
        note_settled_start(key, session->find(key)->m_run);
    }
    for (const auto& item : outcome.m_ended) {
        handle_end(*session, item, now);
    }
    for (const auto& item : outcome.m_unclear_ends) {
        judge_unclear_end(*session, item);
    }
    mark_gone(*session, outcome, last_heard_at, now);
    for (const auto& item : outcome.m_not_begun) {
        stop_not_begun(*session, item, now.m_at);
    }
    for (const auto& item : outcome.m_unknown_runs) {
        stop_unknown_run(*session, item, now);
    }
    if (outcome.m_complete) {
        m_state->m_quotas.worker_listed_runs(session->id(), sent_at);
    }
    if (outcome.m_new_ends || session->newest_end() > newest_end) {
        m_state->m_effects.emplace_back(ends_effect{session->instance(), session->newest_end()});
    }
    if (answer.m_result == order_result::accepted && !session->restart_suspected()) {
        // Without an answer of the present incarnation nothing is known about the progress of its
        // runs.
        m_crashes.clear_survivors(*session);
        stop_stalled(*session, now.m_at);
        pace_best_effort(*session, now.m_at);
    }
}

void run_tracker::mark_gone(worker_session& session, const hold_outcome& outcome,
                            time_point last_heard_at, moment now)
{
    std::vector<run_key> crashed;
    for (const auto& key : outcome.m_gone) {
        if (const auto open_until = session.find(key)->m_start_open_until) {
            session.watch_until(*open_until);
        }
        // The outcome of the start, or this owner, may have come only after the restart.
        if (outcome.m_restarted || is_of_other_incarnation(session, key)) {
            crashed.push_back(key);
        }
        else {
            mark_run_lost(session, key, "not listed by the worker", now);
        }
    }
    if (crashed.empty() && !outcome.m_restarted) {
        return;
    }
    mark_lost_in_crash(session, crashed, last_heard_at, true, "worker has restarted", now);
}

bool run_tracker::is_of_other_incarnation(const worker_session& session, const run_key& key) const
{
    const auto* target = m_state->m_job_store.find(key.m_job);
    if (target == nullptr || !target->has(key.m_task)) {
        return false;
    }
    const auto& entry = target->at(key.m_task);
    const auto run = session.runs().at(key).m_run;
    const auto& step = target->spec().m_steps[key.m_task.m_step];
    if (m_state->may_have_copies(step) && no_longer_has(entry, run)) {
        // The task no longer has this run, so its worker shows nothing about it.
        return false;
    }
    return !(entry.place_of(run) == session.instance());
}

void run_tracker::note_settled_start(const run_key& key, std::uint32_t run)
{
    auto* target = m_state->m_job_store.find(key.m_job);
    if (target != nullptr && target->has(key.m_task)) {
        target->settle_start(key.m_task, run);
    }
}

void run_tracker::handle_end(worker_session& session, const ended_entry& ended, moment now)
{
    const auto* run = session.find(ended.m_key);
    double slowness = 0.0;
    bool was_stopped = false;
    bool was_copy = false;
    if (run != nullptr && run->m_run == ended.m_run) {
        was_stopped = run->m_stopping;
        was_copy = run->m_is_copy;
        slowness = learn_run_time(session, *run, ended, now.m_at);
        session.release(ended.m_key);
    }
    auto* target = m_state->m_job_store.find(ended.m_key.m_job);
    if (target == nullptr || !target->has(ended.m_key.m_task)) {
        return;
    }
    const auto before = target->at(ended.m_key.m_task);
    const bool was_active = target->phase() == job_phase::active;
    const auto attempts = m_state->queue_of(target->header()).m_attempts;
    // A copy that a successor stops may be listed as failed, which is no attempt of the task.
    const bool is_stopped_copy = was_stopped && was_copy && before.is_copy(ended.m_run);
    const auto kind =
        is_stopped_copy && ended.m_run_end == run_end::failed ? run_end::stopped : ended.m_run_end;
    const bool changed = target->end(ended.m_key.m_task, ended.m_run, kind, ended.m_checkpoint,
                                     attempts, now.m_unix_ms);
    // A worker may list a run that is stopped in favor of the task's other run as failed.
    const bool stopped_for_other =
        was_stopped && (was_copy || no_longer_has(before, ended.m_run)) &&
        m_state->may_have_copies(target->spec().m_steps[ended.m_key.m_task.m_step]);
    if (!stopped_for_other || ended.m_run_end == run_end::done) {
        m_evidence.run_ended(session, *target, ended, slowness, now.m_at);
    }
    if (!changed) {
        return;
    }
    m_state->changed(ended.m_key.m_job);
    if (ended.m_run_end != run_end::done) {
        m_state->log_run("run_ended", ended.m_key, session.id(), to_string(ended.m_run_end));
    }
    log_copy_end(*m_state, ended.m_key, before, ended.m_run, to_string(ended.m_run_end));
    const bool failed = target->at(ended.m_key.m_task).m_phase == task_phase::failed;
    if (ended.m_run_end == run_end::done || (failed && before.m_copy)) {
        stop_other_runs(session, ended, before, now.m_at);
    }
    if (was_active && target->phase() != job_phase::active) {
        end_job(*target, now);
    }
}

void run_tracker::stop_other_runs(const worker_session& session, const ended_entry& ended,
                                  const task& before, time_point now)
{
    if (before.m_phase != task_phase::placed) {
        return;
    }
    if (before.m_run != ended.m_run || before.m_placed_on.m_worker != session.id()) {
        if (auto* elsewhere = m_state->find_worker(before.m_placed_on.m_worker)) {
            queue_stop(*elsewhere, ended.m_key, now);
        }
    }
    if (before.m_copy && !before.is_copy(ended.m_run)) {
        stop_run(before.m_copy->m_placed_on, ended.m_key, before.m_copy->m_run, now);
    }
}

void run_tracker::stop_run(const worker_instance& instance, const run_key& key, std::uint32_t run,
                           time_point now)
{
    auto* session = m_state->find_worker(instance.m_worker);
    const auto* there = session == nullptr ? nullptr : session->find(key);
    if (there != nullptr && there->m_run == run) {
        queue_stop(*session, key, now);
    }
}

double run_tracker::learn_run_time(const worker_session& session, const worker_run& run,
                                   const ended_entry& ended, time_point now)
{
    // Adopted runs began at an unknown time, and tasks with a checkpoint had done part of the work.
    const bool measured = ended.m_run_end == run_end::done && run.m_ordered_at &&
                          run.m_phase == run_phase::running && !run.m_stopping &&
                          !run.m_best_effort && !run.m_long_running;
    const auto* source = measured ? m_state->m_job_store.find(ended.m_key.m_job) : nullptr;
    if (source == nullptr || !source->has(ended.m_key.m_task)) {
        return 0.0;
    }
    const auto& step = source->spec().m_steps[ended.m_key.m_task.m_step];
    if (step.m_gang || !m_state->uses_run_times(step) ||
        !source->at(ended.m_key.m_task).m_checkpoint.empty()) {
        return 0.0;
    }
    const measured_run learned{class_of(*source, ended.m_key.m_task.m_step), session.instance(),
                               step.m_estimate, remaining(run.m_confirmed_at, now),
                               run.m_place_factor};
    return m_state->m_run_times.learn(learned);
}

void run_tracker::judge_unclear_end(worker_session& session, const unclear_end& end)
{
    const auto* target = m_state->m_job_store.find(end.m_key.m_job);
    const auto& ref = end.m_key.m_task;
    const bool may_start_again = target != nullptr && target->has(ref) &&
                                 target->phase() == job_phase::active &&
                                 target->at(ref).m_phase != task_phase::done &&
                                 !target->spec().m_steps[ref.m_step].m_long_running;
    if (!may_start_again) {
        session.accept_unclear_end(end.m_number);
        return;
    }
    m_state->log_run("end_unclear", end.m_key, session.id(), fmt::format("run {}", end.m_run));
}

void run_tracker::end_job(const job& target, moment now)
{
    const auto& header = target.header();
    const auto objective_ms =
        limits_of(header, m_state->queue_of(header)).m_objective_ms - header.m_accepted_ms;
    m_state->log_timed("job_ended", header.m_id, "",
                       fmt::format("{}, objective {} ms", to_string(target.phase()), objective_ms),
                       milliseconds{now.m_unix_ms - header.m_accepted_ms});
    m_state->m_tickets.drop_job(header.m_id);
    stop_job(target, now.m_at);
}

void run_tracker::mark_run_lost(worker_session& session, const run_key& key,
                                std::string_view reason, moment now)
{
    const auto* run = session.find(key);
    if (run == nullptr) {
        return;
    }
    const auto number = run->m_run;
    keep_charge(session, key, now);
    session.release(key);
    auto* target = m_state->m_job_store.find(key.m_job);
    if (target == nullptr || !target->has(key.m_task)) {
        return;
    }
    const auto before = target->at(key.m_task);
    if (target->void_run(key.m_task, number)) {
        m_state->changed(key.m_job);
        log_copy_end(*m_state, key, before, number, reason);
        m_state->log_run("run_lost", key, session.id(), fmt::format("run {} {}", number, reason));
    }
}

void run_tracker::mark_lost_with_vm(worker_session& session, vm_fate fate, time_point seen_at,
                                    moment now)
{
    std::vector<run_key> lost;
    for (const auto& [key, run] : session.runs()) {
        const bool was_running = run.m_phase == run_phase::running && run.m_confirmed_at <= seen_at;
        const bool settled = run.m_cannot_start_since && *run.m_cannot_start_since <= seen_at;
        const bool sent_before = !run.m_ordered_at || *run.m_ordered_at <= seen_at;
        const bool cannot_start =
            run.m_start_open_until
                ? !run.start_is_open(seen_at) || (fate == vm_fate::gone && sent_before)
                : settled;
        if (was_running || cannot_start || run.m_phase == run_phase::recording) {
            lost.push_back(key);
        }
    }
    if (lost.empty()) {
        // Each list shows the same crash again while a start is open.
        return;
    }
    if (!session.silent()) {
        m_evidence.went_down(session, now.m_at);
    }
    mark_lost_in_crash(session, lost, session.last_heard_at(), true,
                       fate == vm_fate::gone ? "its VM has another worker" : "its VM is down", now);
}

void run_tracker::mark_lost_in_crash(worker_session& session, const std::vector<run_key>& keys,
                                     time_point last_heard_at, bool crash_is_certain,
                                     std::string_view reason, moment now)
{
    const auto instance = session.instance();
    const auto suspects =
        m_crashes.suspects(session, keys, last_heard_at, crash_is_certain, now.m_at);
    for (const auto& key : keys) {
        mark_run_lost(session, key, reason, now);
    }
    for (const auto& suspect : suspects) {
        // A copy that has become the task's run is not placed any more once the job has failed.
        const auto before =
            m_state->m_job_store.find(suspect.m_key.m_job)->at(suspect.m_key.m_task);
        if (m_crashes.blame(suspect, instance, reason, now)) {
            end_job(*m_state->m_job_store.find(suspect.m_key.m_job), now);
            stop_run(before.m_placed_on, suspect.m_key, before.m_run, now.m_at);
        }
    }
}

void run_tracker::stop_run(worker_session& session, const run_key& key, moment now)
{
    queue_stop(session, key, now.m_at);
    m_sender.send_waiting(now);
}

void run_tracker::queue_stop(worker_session& session, const run_key& key, time_point now)
{
    auto* run = session.find(key);
    if (run == nullptr) {
        return;
    }
    session.set_stopping(*run);
    // A start that is not sent yet is dropped by send_start.
    if (run->m_phase == run_phase::recording || run->m_stop_in_flight || run->m_stop_answered_at) {
        return;
    }
    run->m_stop_in_flight = true;
    run->m_stop_sent_at = now;
    m_state->m_orders.push({order_kind::stop, session.instance(), key, run->m_run});
}

void run_tracker::stop_not_begun(worker_session& session, const run_key& key, time_point now)
{
    // A stop rules the start out, so that the task can run elsewhere at once. It may also reach a
    // run that began late: a long-running task is left to the deadline of its start instead, if
    // there is one, because no more tasks of its step may be stopped than may be missing.
    const auto* run = session.find(key);
    if (!run->m_long_running || run->m_start_deadline_ms == 0) {
        queue_stop(session, key, now);
    }
}

void run_tracker::stop_job(const job& target, time_point now)
{
    for (const auto& ref : target.placed_refs()) {
        const auto& entry = target.at(ref);
        if (auto* session = m_state->find_worker(entry.m_placed_on.m_worker)) {
            queue_stop(*session, {target.header().m_id, ref}, now);
        }
        if (entry.m_copy) {
            stop_run(entry.m_copy->m_placed_on, {target.header().m_id, ref}, entry.m_copy->m_run,
                     now);
        }
    }
}

void run_tracker::stop_unknown_run(worker_session& session, const running_entry& unknown,
                                   moment now)
{
    m_state->log("stranger_stopped", unknown.m_key.m_job, session.id(),
                 fmt::format("run {}", unknown.m_run));
    const auto* target = m_state->m_job_store.find(unknown.m_key.m_job);
    if (target != nullptr && target->has(unknown.m_key.m_task)) {
        // The run occupies capacity until it has ended.
        auto run = make_charged_run(*m_state, *target, unknown.m_key.m_task.m_step, unknown.m_run);
        m_state->m_strangers[unknown.m_key].insert(session.id());
        m_leftovers.note(unknown.m_key, unknown.m_run, session.id(), true, now);
        if (session.find(unknown.m_key) == nullptr) {
            run.m_phase = run_phase::running;
            run.m_confirmed_at = now.m_at;
            session.reserve(unknown.m_key, run);
            queue_stop(session, unknown.m_key, now.m_at);
            return;
        }
        session.reserve_beside(unknown.m_key, run);
    }
    m_state->m_orders.push(
        {order_kind::stop_unknown, session.instance(), unknown.m_key, unknown.m_run});
}

void run_tracker::stop_stalled(worker_session& session, time_point now)
{
    std::vector<run_key> stalled;
    for (const auto& [key, run] : session.runs()) {
        const bool watched = run.m_phase == run_phase::running && !run.m_stopping &&
                             run.m_pace == full_percent &&
                             !(run.m_long_running && run.m_percent == full_percent);
        if (watched && now - run.m_progress_at > stall_timeout(run)) {
            stalled.push_back(key);
        }
    }
    for (const auto& key : stalled) {
        const auto* run = session.find(key);
        m_state->log_run("run_stalled", key, session.id(),
                         fmt::format("{} percent for {} ms, confirmed {} ms ago", run->m_percent,
                                     remaining(run->m_progress_at, now).count(),
                                     remaining(run->m_confirmed_at, now).count()));
        m_evidence.run_stalled(session, key, now);
        queue_stop(session, key, now);
    }
}

void run_tracker::pace_best_effort(worker_session& session, time_point now)
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
        m_state->m_orders.push({order_kind::pace, session.instance(), change.m_key, run->m_run});
    }
}

void run_tracker::give_up_unreachable(worker_session& session, moment now)
{
    std::vector<run_key> over;
    for (const auto& [key, run] : session.runs()) {
        const auto over_at = session.over_at(run);
        if (now.m_at >= over_at) {
            over.push_back(key);
        }
        else if (!run.m_open_start_logged) {
            session.find(key)->m_open_start_logged = true;
            m_state->log_run(
                "start_open", key, session.id(),
                fmt::format("run {}, for {} ms", run.m_run, remaining(now.m_at, over_at).count()));
        }
    }
    // The worker may have crashed, or only be cut off.
    mark_lost_in_crash(session, over, session.last_heard_at(), false, "lease expired", now);
    session.release_all_beside();
}

void run_tracker::tick(moment now)
{
    static const std::map<run_key, worker_run> no_runs;
    m_evidence.tick(now.m_at);
    std::size_t first_holds = 0;
    for (auto entry = m_state->m_workers.begin(); entry != m_state->m_workers.end();) {
        auto& session = entry->second;
        const bool unreachable = session.silent() || session.report().m_port == 0;
        if (unreachable && !session.empty() && now.m_at >= session.lease_ends_at()) {
            give_up_unreachable(session, now);
        }
        session.end_watch(now.m_at);
        if (!session.listed() && session.empty() && !session.watched()) {
            m_state->log("worker_forgotten", "", session.id(), "");
            m_evidence.forget(session);
            // Orders with this token may still be on their way when the worker is listed again.
            auto& first_fence = m_state->m_options.m_fence;
            first_fence = std::max(first_fence, session.fence() + 1);
            entry = m_state->m_workers.erase(entry);
            continue;
        }
        std::vector<run_key> repeated_stops;
        for (const auto& [key, run] : session.stopping_runs() == 0 ? no_runs : session.runs()) {
            if (run.m_stopping && !run.m_stop_in_flight && !run.m_stop_answered_at &&
                now.m_at - run.m_stop_sent_at > stop_retry) {
                repeated_stops.push_back(key);
            }
        }
        for (const auto& key : repeated_stops) {
            queue_stop(session, key, now.m_at);
        }
        m_sender.send_waiting(now);
        const bool is_first = session.never_held();
        const bool must_wait = is_first && first_holds >= max_first_holds_per_tick;
        if (session.report().m_port != 0 && !must_wait) {
            if (const auto hold = session.next_hold(now.m_at)) {
                first_holds += is_first ? 1 : 0;
                m_state->m_ports.m_hold(session.report(), *hold);
            }
        }
        ++entry;
    }
}

worker_session* run_tracker::find_receiver(const order_target& target)
{
    auto* session = m_state->find_worker(target.m_instance.m_worker);
    return session != nullptr && target.m_fence >= session->first_fence() ? session : nullptr;
}

void run_tracker::depose_unless_former(const worker_session& session, const order_target& target)
{
    // Orders to former incarnations had this owner's own lower tokens.
    if (is_present(target, session) && !m_state->m_deposed) {
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
    run.m_best_effort_cpu_millis = step.m_best_effort ? step.m_task_resources.m_cpu_millis : 0;
    return run;
}

worker_run make_charged_run(scheduler_state& state, const job& target, std::uint32_t step,
                            std::uint32_t number)
{
    auto run = make_run(target.spec().m_steps[step], number);
    run.m_charge = state.charge_for(target, step);
    return run;
}

} // namespace peridotrudder
