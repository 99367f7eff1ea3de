#include "peridotrudder/machines/worker_session.hpp"

#include <algorithm>
#include <utility>

namespace peridotrudder {

namespace {

/// Lower bound of the rate of a worker's clock relative to the owner's.
constexpr double slowest_clock = 0.98;
/// Covers the time from the end of a lease to the end of the runs under it.
constexpr milliseconds lease_end_margin{60};
/// Pause before the next hold to a worker that did not answer, multiplied by the misses in a row.
constexpr milliseconds retry_pause{100};
constexpr milliseconds longest_retry_pause{500};
/// Maximum number of ends that a worker lists in one answer. A full list may be incomplete.
constexpr std::size_t listed_ends_limit = 500;
/// Two answers that show clocks further apart are of different incarnations: longer than an answer
/// is under way.
constexpr milliseconds clock_tolerance{2'000};
/// A worker can't have crashed, restarted and ended a run since an answer that is no older.
constexpr milliseconds certain_incarnation_time{500};
/// Time between holds to a worker that lists an unclear end; the incarnation stays certain.
constexpr milliseconds unclear_end_interval{250};
/// Time between holds to a worker without runs that is watched.
constexpr milliseconds watch_interval{250};

resources smaller(const resources& left, const resources& right)
{
    return {std::min(left.m_cpu_millis, right.m_cpu_millis),
            std::min(left.m_memory_mb, right.m_memory_mb),
            std::min(left.m_accelerators, right.m_accelerators)};
}

/// Returns whether the answer names the tasks of all runs that are on the worker or have ended.
bool is_complete(const hold_answer& answer)
{
    const auto unclear_ends = answer.m_unclear_ends ? answer.m_unclear_ends->size() : 0;
    const auto unclear_running = answer.m_unclear_running ? answer.m_unclear_running->size() : 0;
    return answer.m_ended.size() + unclear_ends < listed_ends_limit &&
           answer.m_unreadable.value_or(0) <= unclear_ends + unclear_running;
}

} // namespace

milliseconds longest_lease(const lease_options& options)
{
    const auto longest = static_cast<double>(options.m_max_lease.count()) / slowest_clock;
    return milliseconds{static_cast<std::int64_t>(longest)} + lease_end_margin;
}

milliseconds longest_start(const lease_options& options)
{
    return options.m_longest_order_delay + options.m_predecessor_start_slack;
}

milliseconds longest_leftover(const lease_options& options)
{
    return std::max(options.m_predecessor_grace, longest_start(options)) +
           2 * longest_lease(options);
}

worker_session worker_session::create(worker_report report, std::uint64_t fence,
                                      lease_options options, time_point now)
{
    worker_session session;
    session.m_report = std::move(report);
    // A worker that is only known from records has no address yet.
    session.m_capacity_known = session.m_report.m_port != 0;
    session.m_fence = fence;
    session.m_first_fence = fence;
    session.m_options = options;
    session.m_created_at = now;
    session.m_next_hold = now;
    session.m_foreign_lease_ends_at = now + options.m_predecessor_grace + session.longest_lease();
    return session;
}

worker_run* worker_session::find(const run_key& key)
{
    const auto position = m_runs.find(key);
    return position == m_runs.end() ? nullptr : &position->second;
}

void worker_session::update(const worker_report& report, time_point now)
{
    m_listed = true;
    // Reports may arrive late: one of an earlier incarnation says nothing about the present one.
    if (is_former(report.m_instance.m_born_ms)) {
        return;
    }
    m_listed_born_ms = report.m_instance.m_born_ms;
    const bool reborn =
        instance().m_born_ms != 0 && report.m_instance.m_born_ms != instance().m_born_ms;
    const bool moved = report.m_address != m_report.m_address || report.m_port != m_report.m_port;
    if (reborn) {
        note_other_incarnation(report, now);
    }
    else {
        m_report = report;
        m_capacity_known = true;
    }
    if (moved) {
        m_missed_answers = 0;
        m_next_hold = now;
    }
}

void worker_session::note_other_incarnation(const worker_report& report, time_point now)
{
    m_other_report = report;
    auto applied = report;
    applied.m_instance = m_report.m_instance;
    if (m_capacity_known) {
        // The report may be a former incarnation's that arrives late: what it has more, and that it
        // does not drain, says nothing about the one that answers.
        applied = m_report;
        applied.m_address = report.m_address;
        applied.m_port = report.m_port;
        applied.m_capacity = smaller(m_report.m_capacity, report.m_capacity);
        applied.m_draining = m_report.m_draining || report.m_draining;
    }
    m_report = applied;
    if (m_unconfirmed.count(report.m_instance.m_born_ms) == 0) {
        suspect_restart(now);
    }
}

void worker_session::set_listed(bool listed, time_point now)
{
    m_listed = listed;
    m_next_hold = std::min(m_next_hold, now);
}

void worker_session::set_down(time_point seen_at)
{
    m_down_seen_at = seen_at;
    m_missed_answers = std::max(m_missed_answers, silent_after_misses);
    m_token_confirmed = false;
}

worker_obstacle worker_session::work_obstacle(time_point now) const
{
    if (!m_listed) {
        return worker_obstacle::unlisted;
    }
    if (m_report.m_draining) {
        return worker_obstacle::draining;
    }
    if (!m_capacity_known) {
        return worker_obstacle::unknown_capacity;
    }
    if (m_missed_answers != 0) {
        return worker_obstacle::silent;
    }
    if (m_restart_suspected_at) {
        return worker_obstacle::restart_suspected;
    }
    if (!m_token_confirmed) {
        return worker_obstacle::unconfirmed;
    }
    return now < m_no_work_until ? worker_obstacle::held_back : worker_obstacle::none;
}

worker_session worker_session::without_charges() const
{
    auto copy = *this;
    for (auto& [key, run] : copy.m_runs) {
        run.m_charge = {};
    }
    for (auto& [key, beside] : copy.m_beside) {
        beside.m_charge = {};
    }
    return copy;
}

void worker_session::note_start(time_point suspect_until, bool on_trial)
{
    m_calm_from = std::max(m_calm_from, suspect_until);
    if (on_trial) {
        m_trial_until = std::max(m_trial_until, suspect_until);
    }
}

void worker_session::reserve(const run_key& key, const worker_run& run)
{
    release(key);
    m_runs.emplace(key, run);
    m_used = m_used + run.m_reserved;
    m_long_running_runs += run.m_long_running && !run.m_best_effort ? 1 : 0;
    m_best_effort_cpu_millis += run.m_best_effort_cpu_millis;
    m_copies_cpu_millis += run.m_is_copy ? run.m_reserved.m_cpu_millis : 0;
    m_stopping_runs += run.m_stopping ? 1 : 0;
}

void worker_session::release(const run_key& key)
{
    const auto position = m_runs.find(key);
    if (position != m_runs.end()) {
        const auto& run = position->second;
        m_used = m_used - run.m_reserved;
        m_long_running_runs -= run.m_long_running && !run.m_best_effort ? 1 : 0;
        m_best_effort_cpu_millis -= run.m_best_effort_cpu_millis;
        m_copies_cpu_millis -= run.m_is_copy ? run.m_reserved.m_cpu_millis : 0;
        m_stopping_runs -= run.m_stopping ? 1 : 0;
        m_runs.erase(position);
    }
}

void worker_session::reserve_beside(const run_key& key, const worker_run& run)
{
    if (m_beside.emplace(std::pair{key, run.m_run}, run_beside{run.m_reserved, run.m_charge})
            .second) {
        m_used = m_used + run.m_reserved;
    }
}

bool worker_session::has_run_beside(const run_key& key) const
{
    const auto first = m_beside.lower_bound({key, 0});
    return first != m_beside.end() && first->first.first == key;
}

void worker_session::release_all_beside()
{
    for (const auto& [run, beside] : m_beside) {
        m_used = m_used - beside.m_reserved;
    }
    m_beside.clear();
}

void worker_session::release_beside(const run_key& key, std::uint32_t number)
{
    const auto position = m_beside.find({key, number});
    if (position != m_beside.end()) {
        m_used = m_used - position->second.m_reserved;
        m_beside.erase(position);
    }
}

void worker_session::watch_until(time_point until)
{
    m_watched_until = std::max(m_watched_until.value_or(until), until);
}

void worker_session::end_watch(time_point now)
{
    if (m_watched_until && now >= *m_watched_until) {
        m_watched_until.reset();
    }
}

void worker_session::set_stopping(worker_run& run)
{
    m_stopping_runs += run.m_stopping ? 0 : 1;
    run.m_stopping = true;
}

void worker_session::open_start(worker_run& run, time_point now) const
{
    run.m_start_open_until = now + m_options.m_longest_order_delay;
}

void worker_session::set_unanswered(worker_run& run, time_point now)
{
    run.m_phase = run_phase::uncertain;
    run.m_unanswered_since = now;
    // The attempt may have left until its timeout.
    open_start(run, now);
}

std::int64_t worker_session::clock_estimate(time_point now) const
{
    const auto passed = std::chrono::duration_cast<milliseconds>(now - m_clock_at).count();
    return m_clock_ms + static_cast<std::int64_t>(static_cast<double>(passed) * slowest_clock);
}

void worker_session::extend_lease(std::int64_t deadline_ms)
{
    m_latest_deadline_ms = std::max(m_latest_deadline_ms, deadline_ms);
}

std::int64_t worker_session::start_deadline(time_point now)
{
    const auto deadline = clock_estimate(now) + m_options.m_start_window.count();
    extend_lease(deadline);
    return deadline;
}

bool worker_session::needs_hold() const
{
    const bool has_ends_to_confirm = m_recorded_end > m_acknowledged_end;
    return !m_token_confirmed || !empty() || has_ends_to_confirm || m_missed_answers > 0 ||
           m_restart_suspected_at || watched();
}

std::optional<time_point> worker_session::hold_due() const
{
    if (m_hold_in_flight || !needs_hold()) {
        return std::nullopt;
    }
    // The worker lists ends that are not acknowledged again, without waiting. Meanwhile holds only
    // serve to renew its lease, or to acknowledge the ends before an unclear one.
    if (newest_end() > m_recorded_end) {
        return std::max(m_next_hold, m_hold_sent_at + m_options.m_hold_wait);
    }
    const bool only_watched = watched() && empty() && m_token_confirmed && !m_restart_suspected_at;
    if (only_watched && m_missed_answers == 0) {
        return std::max(m_next_hold, m_hold_sent_at + watch_interval);
    }
    return m_unclear_ends.empty() ? m_next_hold
                                  : std::max(m_next_hold, m_hold_sent_at + unclear_end_interval);
}

std::optional<hold_order> worker_session::next_hold(time_point now)
{
    const auto due = hold_due();
    if (!due || *due > now) {
        return std::nullopt;
    }
    hold_order order;
    order.m_fence = m_fence;
    // Another incarnation would drop its own ends, which are numbered anew, unread.
    order.m_last_end = incarnation_is_certain(now) ? m_recorded_end : 0;
    // A silent worker's lease is not renewed: that would postpone the time at which its runs have
    // certainly ended.
    if (m_clock_known && !silent() && !m_runs.empty()) {
        order.m_deadline_ms = clock_estimate(now) + m_options.m_lease.count();
        extend_lease(*order.m_deadline_ms);
        if (m_restart_suspected_at) {
            expect_misdirected_renewals(now);
        }
    }
    const bool steady =
        m_token_confirmed && !m_restart_suspected_at && m_missed_answers == 0 && !m_runs.empty();
    if (steady) {
        const auto wait = m_best_effort_cpu_millis > 0 ? m_options.m_best_effort_hold_wait
                                                       : m_options.m_hold_wait;
        // The answer shows soon whether the worker has survived the start of a task on trial, or
        // those before it.
        const bool prompt = m_stopping_runs > 0 || has_trial(now) || kept_for(now) != nullptr;
        order.m_wait = prompt ? m_options.m_hold_pause : wait;
    }
    m_hold_in_flight = true;
    m_hold_sent_at = now;
    m_end_in_current_hold = order.m_last_end;
    return order;
}

void worker_session::update_clock(std::int64_t clock_ms, time_point now)
{
    // Answers may overtake one another; the clock never goes back within an incarnation.
    if (!m_clock_known || clock_ms >= m_clock_ms) {
        m_clock_ms = clock_ms;
        m_clock_at = now;
        m_clock_known = true;
    }
}

hold_outcome worker_session::hold_answered(const hold_answer& answer, time_point sent_at,
                                           time_point now)
{
    hold_outcome outcome;
    m_hold_in_flight = false;
    m_next_hold = now + m_options.m_hold_pause;
    if (answer.m_result != order_result::accepted) {
        ++m_missed_answers;
        m_next_hold = now + std::min(retry_pause * m_missed_answers, longest_retry_pause);
        return outcome;
    }
    if (answer.m_born_ms && instance().m_born_ms != 0 &&
        *answer.m_born_ms != instance().m_born_ms) {
        outcome.m_restarted = true;
        outcome.m_gone = begin_incarnation(*answer.m_born_ms, now);
    }
    if (answer.m_born_ms) {
        m_report.m_instance.m_born_ms = *answer.m_born_ms;
    }
    confirm_incarnation(sent_at, now);
    m_missed_answers = 0;
    m_answered_at = now;
    m_last_answered_hold_sent_at = std::max(m_last_answered_hold_sent_at, sent_at);
    m_acknowledged_end = std::max(m_acknowledged_end, m_end_in_current_hold);
    // The hold that shows a restart had the token of the former incarnation.
    if (!m_token_confirmed && !outcome.m_restarted) {
        m_token_confirmed = true;
        // The worker now refuses predecessors' tokens, so they can no longer renew leases.
        m_foreign_lease_ends_at = std::min(m_foreign_lease_ends_at, now + longest_lease());
    }
    update_clock(answer.m_clock_ms, now);
    take_ends(answer, outcome);
    reconcile_runs(answer, sent_at, now, outcome);
    return outcome;
}

void worker_session::take_ends(const hold_answer& answer, hold_outcome& outcome)
{
    const auto were_unclear = std::exchange(m_unclear_ends, {});
    for (const auto& entry : answer.m_ended) {
        if (entry.m_number > m_newest_end || were_unclear.count(entry.m_number) != 0) {
            m_newest_end = std::max(m_newest_end, entry.m_number);
            outcome.m_ended.push_back(entry);
        }
    }
    outcome.m_new_ends = !outcome.m_ended.empty();
    if (answer.m_unreadable_end.value_or(0) > m_newest_end) {
        // The worker would list the row again until it is acknowledged.
        m_newest_end = *answer.m_unreadable_end;
        outcome.m_new_ends = true;
    }
    outcome.m_unclear_ends = answer.m_unclear_ends.value_or(std::vector<unclear_end>{});
    for (const auto& end : outcome.m_unclear_ends) {
        m_unclear_ends.insert(end.m_number);
    }
}

std::uint64_t worker_session::newest_end() const
{
    return m_unclear_ends.empty() ? m_newest_end
                                  : std::min(m_newest_end, *m_unclear_ends.begin() - 1);
}

std::set<run_key> worker_session::note_unclear_rows(const hold_answer& answer, time_point now)
{
    std::set<run_key> named;
    if (answer.m_unclear_running) {
        named.insert(answer.m_unclear_running->begin(), answer.m_unclear_running->end());
    }
    for (const auto& end : answer.m_unclear_ends.value_or(std::vector<unclear_end>{})) {
        auto* run = find(end.m_key);
        if (run == nullptr || (end.m_run != 0 && end.m_run != run->m_run)) {
            continue;
        }
        named.insert(end.m_key);
        if (end.m_run == run->m_run) {
            // Its capacity is free, but its task must not start again.
            m_copies_cpu_millis -= run->m_is_copy ? run->m_reserved.m_cpu_millis : 0;
            m_used = m_used - std::exchange(run->m_reserved, {});
            run->m_charge = {};
            run->m_phase = run_phase::uncertain;
            run->m_cannot_start_since = run->m_cannot_start_since.value_or(now);
            run->settle_start();
        }
    }
    return named;
}

void worker_session::reconcile_runs(const hold_answer& answer, time_point sent_at, time_point now,
                                    hold_outcome& outcome)
{
    auto listed = note_unclear_rows(answer, now);
    for (const auto& entry : answer.m_running) {
        listed.insert(entry.m_key);
        // Reserved again as an unknown run, beside the other one or alone.
        release_beside(entry.m_key, entry.m_run);
        auto* run = find(entry.m_key);
        if (run == nullptr || run->m_run != entry.m_run) {
            outcome.m_unknown_runs.push_back(entry);
            continue;
        }
        run->m_former_heard_at.reset();
        if (run->m_start_open_until) {
            run->settle_start();
            outcome.m_begun.push_back(entry.m_key);
        }
        if (run->m_phase != run_phase::running) {
            run->m_phase = run_phase::running;
            run->m_confirmed_at = now;
            run->m_progress_at = now;
        }
        if (run->m_percent != entry.m_percent || run->m_pace == 0) {
            run->m_percent = entry.m_percent;
            run->m_progress_at = now;
        }
        run->m_load = entry.m_load;
    }
    if (!is_complete(answer)) {
        // A run that is not named may be on a row that is not there or cannot be read.
        return;
    }
    outcome.m_complete = true;
    release_all_beside();
    for (const auto& entry : answer.m_ended) {
        listed.insert(entry.m_key);
    }
    for (const auto& [key, run] : m_runs) {
        if (listed.count(key) != 0 || run.m_phase == run_phase::recording) {
            continue;
        }
        // A run that is not listed is certainly gone only if it cannot start after this hold was
        // sent: its start or its stop was confirmed before, it was ordered with an earlier fencing
        // token, or the deadline of its start has passed. The hold that shows a restart had the
        // earlier token itself.
        const bool confirmed_before =
            run.m_phase == run_phase::running && run.m_confirmed_at <= sent_at;
        const bool outdated =
            run.m_outdated_since && *run.m_outdated_since <= sent_at && !outcome.m_restarted;
        const bool cannot_start =
            outdated || (run.m_cannot_start_since && *run.m_cannot_start_since <= sent_at) ||
            (run.m_stop_answered_at && *run.m_stop_answered_at <= sent_at);
        const bool deadline_passed =
            run.m_start_deadline_ms != 0 && answer.m_clock_ms > run.m_start_deadline_ms;
        const bool not_begun = run.m_phase == run_phase::uncertain && !run.m_outdated_since &&
                               run.m_unanswered_since && *run.m_unanswered_since <= sent_at;
        if (confirmed_before || cannot_start || deadline_passed) {
            outcome.m_gone.push_back(key);
        }
        else if (not_begun) {
            outcome.m_not_begun.push_back(key);
        }
    }
}

void worker_session::order_answered(const order_answer& answer, time_point now)
{
    if (answer.m_result == order_result::unanswered || answer.m_result == order_result::not_sent) {
        // The next hold shows whether only this order was lost.
        m_next_hold = std::min(m_next_hold, now);
        return;
    }
    if (!answer.m_clock_ms) {
        return;
    }
    if (m_clock_known && !clock_fits(*answer.m_clock_ms, now)) {
        suspect_restart(now);
        expect_misdirected_renewals(now);
        return;
    }
    update_clock(*answer.m_clock_ms, now);
}

void worker_session::ends_recorded(std::uint64_t number)
{
    m_recorded_end = std::max(m_recorded_end, number);
}

milliseconds worker_session::longest_lease() const
{
    return peridotrudder::longest_lease(m_options);
}

time_point worker_session::lease_ends_at() const
{
    if (!m_clock_known) {
        return m_foreign_lease_ends_at;
    }
    const auto remaining_ms =
        static_cast<double>(m_latest_deadline_ms - m_clock_ms) / slowest_clock;
    const auto own_lease_ends_at =
        m_clock_at + milliseconds{static_cast<std::int64_t>(std::max(remaining_ms, 0.0))} +
        lease_end_margin;
    return std::max(own_lease_ends_at, m_foreign_lease_ends_at);
}

time_point worker_session::over_at(const worker_run& run) const
{
    const auto lease_end = lease_ends_at();
    return run.m_start_open_until ? std::max(lease_end, *run.m_start_open_until + longest_lease())
                                  : lease_end;
}

std::vector<run_key> worker_session::begin_incarnation(std::int64_t born_ms, time_point now)
{
    const bool is_listed = m_listed_born_ms == born_ms && m_other_report;
    auto new_session = create(is_listed ? *m_other_report : m_report, m_fence + 1, m_options, now);
    new_session.m_report.m_instance.m_born_ms = born_ms;
    new_session.m_first_fence = m_first_fence;
    new_session.m_listed = m_listed;
    new_session.m_capacity_known = is_listed;
    new_session.m_former = m_former;
    new_session.m_watched_until = m_watched_until;
    new_session.expect_misdirected_renewals(now);
    // Only a hold shows that a birth is an incarnation's.
    const bool confirmed = m_answered_at != time_point{};
    (confirmed ? new_session.m_former : new_session.m_unconfirmed).insert(instance().m_born_ms);
    new_session.m_former.erase(born_ms);
    std::vector<run_key> not_sent;
    for (auto [key, run] : m_runs) {
        if (run.m_phase == run_phase::recording) {
            not_sent.push_back(key);
        }
        // What the former incarnation's clock and answers to stops ruled out isn't ruled out here.
        run.m_start_deadline_ms = 0;
        run.m_stop_in_flight = false;
        run.m_stop_answered_at.reset();
        run.m_outdated_since = now;
        run.m_former_heard_at = run.m_former_heard_at.value_or(m_clock_at);
        new_session.reserve(key, run);
    }
    *this = std::move(new_session);
    return not_sent;
}

void worker_session::suspect_restart(time_point now)
{
    m_restart_suspected_at = m_restart_suspected_at.value_or(now);
    m_next_hold = now;
}

void worker_session::confirm_incarnation(time_point sent_at, time_point now)
{
    // An earlier hold may have been answered before the restart that the list or a clock shows.
    if (!m_restart_suspected_at || sent_at < *m_restart_suspected_at) {
        return;
    }
    m_restart_suspected_at.reset();
    if (m_listed_born_ms != instance().m_born_ms) {
        m_unconfirmed.insert(m_listed_born_ms);
    }
    m_foreign_lease_ends_at = std::min(m_foreign_lease_ends_at, now + longest_lease());
}

bool worker_session::clock_fits(std::int64_t clock_ms, time_point now) const
{
    const auto passed = std::chrono::duration_cast<milliseconds>(now - m_clock_at).count();
    const auto tolerance = clock_tolerance.count();
    return clock_ms >= clock_estimate(now) - tolerance &&
           clock_ms <= m_clock_ms + passed + tolerance;
}

void worker_session::expect_misdirected_renewals(time_point now)
{
    m_foreign_lease_ends_at =
        std::max(m_foreign_lease_ends_at, now + m_options.m_longest_order_delay + longest_lease());
}

bool worker_session::incarnation_is_certain(time_point now) const
{
    return m_token_confirmed && !m_restart_suspected_at && m_missed_answers == 0 &&
           now - m_answered_at <= std::max(certain_incarnation_time, 2 * m_options.m_hold_pause);
}

bool worker_session::is_former(std::int64_t born_ms) const
{
    return m_former.count(born_ms) != 0;
}

} // namespace peridotrudder
