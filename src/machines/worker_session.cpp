#include "peridotrudder/machines/worker_session.hpp"

#include <algorithm>
#include <set>

namespace peridotrudder {

namespace {

/// A worker's clock may be this much slower than ours.
constexpr double slowest_clock = 0.98;
/// Covers the time between a lease's end and the end of what ran under it.
constexpr milliseconds lapse_margin{60};
/// Pause before a worker that did not answer is asked again.
constexpr milliseconds retry_pause{100};
constexpr milliseconds longest_retry_pause{500};
/// A worker lists at most this many ends in one answer; what else it has is not known then.
constexpr std::size_t listed_ends_limit = 500;

} // namespace

worker_session worker_session::create(worker_report report, std::uint64_t fence,
                                      lease_options options, time_point now)
{
    worker_session made;
    made.m_report = std::move(report);
    made.m_fence = fence;
    made.m_options = options;
    made.m_created_at = now;
    made.m_next_hold = now;
    made.m_foreign_lease_over = now + options.m_predecessor_grace + made.longest_lease();
    return made;
}

worker_run* worker_session::find(const run_key& key)
{
    const auto found = m_runs.find(key);
    return found == m_runs.end() ? nullptr : &found->second;
}

bool worker_session::update(const worker_report& report, time_point now)
{
    m_listed = true;
    // Reports may arrive late: one of an earlier life says nothing of this one.
    if (report.m_instance.m_born_ms < life().m_born_ms) {
        return false;
    }
    const bool reborn = life().m_born_ms != 0 && report.m_instance.m_born_ms != life().m_born_ms;
    const auto born_ms = life().m_born_ms;
    const bool moved = report.m_address != m_report.m_address || report.m_port != m_report.m_port;
    m_report = report;
    if (reborn) {
        // The caller empties the session, and needs the old life until then.
        m_report.m_instance.m_born_ms = born_ms;
    }
    if (moved) {
        m_misses = 0;
        m_next_hold = now;
    }
    return reborn;
}

void worker_session::set_listed(bool listed, time_point now)
{
    m_listed = listed;
    m_next_hold = std::min(m_next_hold, now);
}

void worker_session::set_down()
{
    m_misses = std::max(m_misses, silent_misses);
    m_fenced = false;
}

bool worker_session::takes_work(time_point now) const
{
    return m_listed && m_fenced && !m_report.m_draining && m_misses == 0 &&
           now >= m_held_back_until;
}

void worker_session::reserve(const run_key& key, const worker_run& run)
{
    release(key);
    m_runs.emplace(key, run);
    m_used = m_used + run.m_reserved;
    m_long_running_runs += run.m_long_running && !run.m_best_effort ? 1 : 0;
    m_filling_cpu += run.m_filling_cpu;
    m_stopping_runs += run.m_stopping ? 1 : 0;
}

void worker_session::release(const run_key& key)
{
    const auto found = m_runs.find(key);
    if (found != m_runs.end()) {
        const auto& run = found->second;
        m_used = m_used - run.m_reserved;
        m_long_running_runs -= run.m_long_running && !run.m_best_effort ? 1 : 0;
        m_filling_cpu -= run.m_filling_cpu;
        m_stopping_runs -= run.m_stopping ? 1 : 0;
        m_runs.erase(found);
    }
}

void worker_session::set_stopping(worker_run& run)
{
    m_stopping_runs += run.m_stopping ? 0 : 1;
    run.m_stopping = true;
}

std::int64_t worker_session::clock_estimate(time_point now) const
{
    const auto passed = std::chrono::duration_cast<milliseconds>(now - m_clock_at).count();
    return m_clock_ms + static_cast<std::int64_t>(static_cast<double>(passed) * slowest_clock);
}

void worker_session::note_deadline(std::int64_t deadline_ms)
{
    m_latest_deadline_ms = std::max(m_latest_deadline_ms, deadline_ms);
}

std::int64_t worker_session::start_deadline(time_point now)
{
    const auto deadline = clock_estimate(now) + m_options.m_start_window.count();
    note_deadline(deadline);
    return deadline;
}

bool worker_session::wants_hold() const
{
    const bool tells_ends = m_recorded_end > m_told_end;
    return !m_fenced || !m_runs.empty() || tells_ends || m_misses > 0;
}

std::optional<time_point> worker_session::hold_due() const
{
    if (m_hold_under_way || !wants_hold() || m_newest_end > m_recorded_end) {
        return std::nullopt;
    }
    return m_next_hold;
}

std::optional<hold_order> worker_session::next_hold(time_point now)
{
    const auto due = hold_due();
    if (!due || *due > now) {
        return std::nullopt;
    }
    hold_order order;
    order.m_fence = m_fence;
    order.m_last_end = m_recorded_end;
    // A silent worker is only looked at: renewing would put off the moment from which its work is
    // surely over.
    if (m_clock_known && !silent() && !m_runs.empty()) {
        order.m_deadline_ms = clock_estimate(now) + m_options.m_lease.count();
        note_deadline(*order.m_deadline_ms);
    }
    const bool settled = m_fenced && m_misses == 0 && !m_runs.empty();
    if (settled) {
        const auto wait = m_filling_cpu > 0 ? m_options.m_watch_wait : m_options.m_hold_wait;
        order.m_wait = m_stopping_runs > 0 ? m_options.m_hold_pause : wait;
    }
    m_hold_under_way = true;
    m_end_in_hold = order.m_last_end;
    return order;
}

void worker_session::take_clock(std::int64_t clock_ms, time_point now)
{
    // Answers may overtake one another; the clock never goes back within a life.
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
    m_hold_under_way = false;
    m_next_hold = now + m_options.m_hold_pause;
    if (answer.m_result != order_result::accepted) {
        ++m_misses;
        m_next_hold = now + std::min(retry_pause * m_misses, longest_retry_pause);
        return outcome;
    }
    if (answer.m_born_ms && *answer.m_born_ms < life().m_born_ms) {
        return outcome;
    }
    if (answer.m_born_ms && life().m_born_ms != 0 && *answer.m_born_ms != life().m_born_ms) {
        outcome.m_reborn = true;
        return outcome;
    }
    if (answer.m_born_ms) {
        m_report.m_instance.m_born_ms = *answer.m_born_ms;
    }
    m_misses = 0;
    m_heard_at = std::max(m_heard_at, sent_at);
    m_told_end = std::max(m_told_end, m_end_in_hold);
    if (!m_fenced) {
        m_fenced = true;
        // From here on no predecessor can renew.
        m_foreign_lease_over = std::min(m_foreign_lease_over, now + longest_lease());
    }
    take_clock(answer.m_clock_ms, now);
    for (const auto& each : answer.m_ended) {
        if (each.m_number > m_newest_end) {
            m_newest_end = each.m_number;
            outcome.m_ended.push_back(each);
        }
    }
    compare_running(answer, sent_at, now, outcome);
    return outcome;
}

void worker_session::compare_running(const hold_answer& answer, time_point sent_at, time_point now,
                                     hold_outcome& outcome)
{
    std::set<run_key> listed;
    for (const auto& each : answer.m_running) {
        listed.insert(each.m_key);
        auto* run = find(each.m_key);
        if (run == nullptr || run->m_run != each.m_run) {
            outcome.m_strangers.push_back(each);
            continue;
        }
        if (run->m_phase != run_phase::running) {
            run->m_phase = run_phase::running;
            run->m_confirmed_at = now;
            run->m_progress_at = now;
        }
        if (run->m_percent != each.m_percent || run->m_pace == 0) {
            run->m_percent = each.m_percent;
            run->m_progress_at = now;
        }
        run->m_load = each.m_load;
    }
    if (answer.m_ended.size() >= listed_ends_limit) {
        return;
    }
    for (const auto& each : answer.m_ended) {
        listed.insert(each.m_key);
    }
    for (const auto& [key, run] : m_runs) {
        if (listed.count(key) != 0 || run.m_phase == run_phase::recording) {
            continue;
        }
        // Not there is certain only if nothing can bring it there after this look: its start was
        // confirmed before, or a stop was, or it was ordered with an earlier fencing token.
        const bool was_there = run.m_phase == run_phase::running && run.m_confirmed_at <= sent_at;
        const bool barred = run.m_barred_at && *run.m_barred_at <= sent_at;
        if (was_there || barred) {
            outcome.m_gone.push_back(key);
        }
    }
}

void worker_session::order_answered(const order_answer& answer, time_point now)
{
    if (answer.m_result == order_result::unanswered || answer.m_result == order_result::not_sent) {
        // A look at the worker tells whether only this order was lost.
        m_next_hold = std::min(m_next_hold, now);
        return;
    }
    if (answer.m_clock_ms) {
        take_clock(*answer.m_clock_ms, now);
    }
}

void worker_session::ends_recorded(std::uint64_t number)
{
    m_recorded_end = std::max(m_recorded_end, number);
}

milliseconds worker_session::longest_lease() const
{
    const auto longest = static_cast<double>(m_options.m_longest.count()) / slowest_clock;
    return milliseconds{static_cast<std::int64_t>(longest)} + lapse_margin;
}

time_point worker_session::lease_over() const
{
    if (!m_clock_known) {
        return m_foreign_lease_over;
    }
    const auto left = static_cast<double>(m_latest_deadline_ms - m_clock_ms) / slowest_clock;
    const auto own_over =
        m_clock_at + milliseconds{static_cast<std::int64_t>(std::max(left, 0.0))} + lapse_margin;
    return std::max(own_over, m_foreign_lease_over);
}

std::vector<run_key> worker_session::start_new_life(std::int64_t born_ms, time_point now)
{
    std::vector<run_key> lost;
    for (const auto& each : m_runs) {
        lost.push_back(each.first);
    }
    auto fresh = create(m_report, m_fence, m_options, now);
    fresh.m_report.m_instance.m_born_ms = born_ms;
    fresh.m_listed = m_listed;
    fresh.m_hold_under_way = m_hold_under_way;
    *this = std::move(fresh);
    return lost;
}

} // namespace peridotrudder
