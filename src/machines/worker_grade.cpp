#include "peridotrudder/machines/worker_grade.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotrudder {

namespace {

/// Share of runs that fail on a bad worker, and the least one assumed of a sound one.
constexpr double bad_failure_share = 0.4;
constexpr double sound_failure_share = 0.03;
/// The same for runs that are slow. One run in 33 is a straggler on any worker.
constexpr double bad_slow_share = 0.7;
constexpr double sound_slow_share = 0.05;
/// A run is slow from this multiple of the upper quartile of its class on. The slowest of tasks
/// that differ by a third take 1.15 times the quartile, those of jobs that differ by five
/// times 1.25.
constexpr double slow_multiple = 1.6;
/// Two jobs with failures.
constexpr double reduced_failure_score = 5.0;
constexpr double out_failure_score = 7.5;
constexpr double max_failure_score_of_job = 4.0;
/// Three jobs with slow runs: two stragglers say nothing.
constexpr double reduced_slow_score = 7.0;
constexpr double max_slow_score_of_job = 2.8;
/// Share of the newest outcomes that failed, or were slow. A worker that fails about half of its
/// runs is of use while the pool is full. Stragglers that outlast the other runs of a peak end one
/// after the other, so that only their share of all runs shows that they are few.
constexpr double out_failure_share = 0.75;
constexpr double reduced_slow_share = 0.5;
/// Limits how many good runs clear a score.
constexpr double max_score = 10.0;
/// An order is often not answered because of the network.
constexpr double unanswered_weight = 0.5;

constexpr std::size_t max_outcomes = 16;
/// With fewer outcomes than this a share is computed as if there were so many.
constexpr std::size_t min_outcomes = 4;
/// Time for which an outcome shows what the pool fares like now.
constexpr milliseconds outcome_age{10'000};
/// If so large a share of the median worker's runs is bad, the workers are not the cause.
constexpr double common_share = 0.2;

/// Two outages in this time take a worker out; one may be maintenance.
constexpr milliseconds outage_window{60'000};
constexpr std::size_t outages_to_out = 2;
/// Outages within this time have a common cause if they are of more than a quarter of the pool.
constexpr milliseconds common_outage_time{10'000};
constexpr std::size_t common_outage_parts = 4;

constexpr milliseconds first_term{8'000};
/// The longest term is 64 s.
constexpr std::uint32_t max_doublings = 3;
/// Time at full after which one doubling is forgotten.
constexpr milliseconds forget_time{120'000};
/// A worker that fails 45 % of its runs passes one probation in 120.
constexpr std::uint32_t good_runs_to_pass = 8;
/// Without a bad run for so long a probation is passed, so that tasks which must not run on
/// probation wait for a bounded time.
constexpr milliseconds longest_probation{20'000};

milliseconds term_of(std::uint32_t doublings)
{
    return first_term * (1U << std::min(doublings, max_doublings));
}

} // namespace

std::string_view to_string(worker_grade grade)
{
    switch (grade) {
    case worker_grade::full:
        return "full";
    case worker_grade::reduced:
        return "reduced";
    case worker_grade::out:
        return "out";
    case worker_grade::probation:
        return "probation";
    }
    return "";
}

worker_grades::entry& worker_grades::entry_of(std::string_view worker)
{
    const auto known = m_records.find(worker);
    return known != m_records.end() ? *known
                                    : *m_records.emplace(std::string{worker}, record{}).first;
}

void worker_grades::add_outcome(record& known, const outcome& added)
{
    known.m_outcomes.push_back(added);
    if (known.m_outcomes.size() > max_outcomes) {
        known.m_outcomes.erase(known.m_outcomes.begin());
    }
}

worker_grades::score& worker_grades::score_of(record& known, cause of)
{
    return of == cause::failure ? known.m_failures : known.m_slow_runs;
}

double worker_grades::median_share_of_others(const std::string& worker, cause of,
                                             time_point now) const
{
    std::vector<double> shares;
    for (const auto& [id, known] : m_records) {
        std::size_t recent = 0;
        std::size_t bad = 0;
        for (const auto& item : known.m_outcomes) {
            const bool is_recent = now - item.m_at <= outcome_age;
            recent += is_recent ? 1 : 0;
            bad += is_recent && (of == cause::failure ? item.m_failed : item.m_slow) ? 1 : 0;
        }
        if (id != worker && recent > 0) {
            shares.push_back(static_cast<double>(bad) /
                             static_cast<double>(std::max(recent, min_outcomes)));
        }
    }
    if (shares.empty()) {
        return 0.0;
    }
    const auto middle = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2);
    std::nth_element(shares.begin(), middle, shares.end());
    return *middle;
}

void worker_grades::run_succeeded(std::string_view worker, std::string_view job, double slowness,
                                  time_point now)
{
    auto& graded = entry_of(worker);
    auto& known = graded.second;
    const bool is_slow = slowness >= slow_multiple;
    add_outcome(known, {now, false, is_slow});
    count_good(known, cause::failure);
    if (is_slow) {
        count_bad(graded, cause::slow_run, job, 1.0, now);
        return;
    }
    if (slowness > 0.0) {
        count_good(known, cause::slow_run);
    }
    const bool passed =
        known.m_grade == worker_grade::probation && ++known.m_good_runs >= good_runs_to_pass;
    const bool cleared = known.m_grade == worker_grade::reduced &&
                         known.m_failures.m_value <= 0.0 && known.m_slow_runs.m_value <= 0.0;
    if (passed || cleared) {
        set_grade(graded, worker_grade::full, milliseconds{0}, now);
    }
}

void worker_grades::run_failed(std::string_view worker, std::string_view job, time_point now)
{
    auto& graded = entry_of(worker);
    add_outcome(graded.second, {now, true, false});
    count_bad(graded, cause::failure, job, 1.0, now);
}

void worker_grades::start_refused(std::string_view worker, std::string_view job, time_point now)
{
    run_failed(worker, job, now);
}

void worker_grades::start_unanswered(std::string_view worker, std::string_view job, time_point now)
{
    auto& graded = entry_of(worker);
    add_outcome(graded.second, {now, true, false});
    count_bad(graded, cause::failure, job, unanswered_weight, now);
}

void worker_grades::count_good(record& known, cause of)
{
    const bool failures = of == cause::failure;
    const double bad = failures ? bad_failure_share : bad_slow_share;
    const double sound = failures ? sound_failure_share : sound_slow_share;
    const double subtracted = std::log((1.0 - sound) / (1.0 - bad));
    auto& counted = score_of(known, of);
    counted.m_value = std::max(counted.m_value - subtracted, 0.0);
    counted.m_of_job = std::max(counted.m_of_job - subtracted, 0.0);
}

void worker_grades::count_bad(entry& worker, cause of, std::string_view job, double weight_factor,
                              time_point now)
{
    const bool failures = of == cause::failure;
    const double share = median_share_of_others(worker.first, of, now);
    if (share >= common_share) {
        drop_common_evidence(of, now);
        return;
    }
    const double sound = std::max(share, failures ? sound_failure_share : sound_slow_share);
    const double bad = failures ? bad_failure_share : bad_slow_share;
    auto& counted = score_of(worker.second, of);
    if (counted.m_job != job) {
        counted.m_job = job;
        counted.m_of_job = 0.0;
    }
    const double limit = failures ? max_failure_score_of_job : max_slow_score_of_job;
    const double added =
        std::clamp(limit - counted.m_of_job, 0.0, std::log(bad / sound) * weight_factor);
    counted.m_of_job += added;
    counted.m_value = std::min(counted.m_value + added, max_score);
    judge(worker, of, now);
}

double worker_grades::share_of(const record& known, cause of)
{
    const auto& outcomes = known.m_outcomes;
    const auto bad = std::count_if(outcomes.begin(), outcomes.end(), [of](const outcome& item) {
        return of == cause::failure ? item.m_failed : item.m_slow;
    });
    return static_cast<double>(bad) / static_cast<double>(std::max(outcomes.size(), min_outcomes));
}

void worker_grades::judge(entry& worker, cause of, time_point now)
{
    auto& known = worker.second;
    const auto& counted = score_of(known, of);
    const bool failures = of == cause::failure;
    const auto share = share_of(known, of);
    const bool is_out =
        failures && counted.m_value >= out_failure_score && share >= out_failure_share;
    const bool is_reduced =
        failures ? counted.m_value >= reduced_failure_score
                 : counted.m_value >= reduced_slow_score && share >= reduced_slow_share;
    switch (known.m_grade) {
    case worker_grade::full:
        if (is_out || is_reduced) {
            lower(worker, is_out ? worker_grade::out : worker_grade::reduced, now);
        }
        return;
    case worker_grade::reduced:
        if (is_out) {
            lower(worker, worker_grade::out, now);
        }
        else {
            known.m_term_ends = std::max(known.m_term_ends, now + first_term);
        }
        return;
    case worker_grade::probation:
        lower(worker, known.m_lowered_to, now);
        return;
    case worker_grade::out:
        return;
    }
}

void worker_grades::lower(entry& worker, worker_grade to, time_point now)
{
    auto& known = worker.second;
    const auto below_full = m_records.size() - count(worker_grade::full);
    if (known.m_grade == worker_grade::full && (below_full + 1) * 2 > m_pool_size) {
        return;
    }
    // From reduced to out is no return: the term began with the former.
    const bool is_return = known.m_grade != worker_grade::reduced;
    known.m_doublings += is_return ? 1 : 0;
    known.m_for_outages = false;
    known.m_lowered_to = to;
    set_grade(worker, to, term_of(std::max(known.m_doublings, 1U) - 1), now);
}

void worker_grades::withdraw_failure(std::string_view worker, time_point now)
{
    const auto known = m_records.find(worker);
    if (known == m_records.end()) {
        return;
    }
    auto& graded = known->second;
    graded.m_failures.m_value = std::max(
        graded.m_failures.m_value - std::log(bad_failure_share / sound_failure_share), 0.0);
    const auto newest_failure = std::find_if(graded.m_outcomes.rbegin(), graded.m_outcomes.rend(),
                                             [](const outcome& item) { return item.m_failed; });
    if (newest_failure != graded.m_outcomes.rend()) {
        newest_failure->m_failed = false;
    }
    const bool is_lowered =
        graded.m_grade == worker_grade::reduced || graded.m_grade == worker_grade::out;
    if (is_lowered && !graded.m_for_outages && graded.m_failures.m_value < reduced_failure_score &&
        graded.m_slow_runs.m_value < reduced_slow_score) {
        restore(*known, now);
    }
}

void worker_grades::restore(entry& worker, time_point now)
{
    auto& known = worker.second;
    known.m_doublings -= known.m_doublings > 0 ? 1 : 0;
    const bool probation = known.m_before == worker_grade::probation;
    set_grade(worker, probation ? worker_grade::probation : worker_grade::full,
              probation ? longest_probation : milliseconds{0}, now);
}

void worker_grades::drop_common_evidence(cause of, time_point now)
{
    for (auto& graded : m_records) {
        auto& known = graded.second;
        score_of(known, of) = {};
        const bool is_lowered =
            known.m_grade == worker_grade::reduced || known.m_grade == worker_grade::out;
        if (is_lowered && !known.m_for_outages && now - known.m_graded_at <= outcome_age) {
            restore(graded, now);
        }
    }
}

void worker_grades::went_down(std::string_view worker, time_point now)
{
    auto& graded = entry_of(worker);
    auto& known = graded.second;
    known.m_outages.push_back(now);
    if (known.m_outages.size() > max_outcomes) {
        known.m_outages.erase(known.m_outages.begin());
    }
    if ((recently_down(now) - 1) * common_outage_parts > m_pool_size) {
        drop_common_outages(now);
        return;
    }
    const auto recent = std::count_if(known.m_outages.begin(), known.m_outages.end(),
                                      [now](time_point at) { return now - at <= outage_window; });
    const bool flaps = static_cast<std::size_t>(recent) >= outages_to_out;
    if (known.m_grade == worker_grade::out) {
        known.m_term_ends = std::max(known.m_term_ends, now + first_term);
    }
    else if (flaps || known.m_grade == worker_grade::probation) {
        lower(graded, worker_grade::out, now);
        known.m_for_outages = known.m_grade == worker_grade::out;
    }
}

std::size_t worker_grades::recently_down(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(), [now](const entry& graded) {
            const auto& outages = graded.second.m_outages;
            return !outages.empty() && now - outages.back() <= common_outage_time;
        }));
}

void worker_grades::drop_common_outages(time_point now)
{
    for (auto& graded : m_records) {
        auto& known = graded.second;
        // The newest one is kept, so that further workers are seen to share the cause.
        const bool shares =
            !known.m_outages.empty() && now - known.m_outages.back() <= common_outage_time;
        if (shares) {
            known.m_outages = {known.m_outages.back()};
        }
        if (shares && known.m_grade == worker_grade::out && known.m_for_outages &&
            now - known.m_graded_at <= common_outage_time) {
            restore(graded, now);
        }
    }
}

void worker_grades::forget(std::string_view worker)
{
    const auto known = m_records.find(worker);
    if (known != m_records.end()) {
        m_records.erase(known);
    }
}

void worker_grades::advance(time_point now)
{
    for (auto graded = m_records.begin(); graded != m_records.end();) {
        auto& known = graded->second;
        if (known.m_grade != worker_grade::full && now >= known.m_term_ends) {
            const bool passed = known.m_grade == worker_grade::probation;
            set_grade(*graded, passed ? worker_grade::full : worker_grade::probation,
                      passed ? milliseconds{0} : longest_probation, now);
        }
        const bool is_full = known.m_grade == worker_grade::full;
        if (is_full && known.m_doublings > 0 && now >= known.m_forget_at) {
            --known.m_doublings;
            known.m_forget_at = now + forget_time;
        }
        const bool is_idle =
            (known.m_outcomes.empty() || now - known.m_outcomes.back().m_at > forget_time) &&
            (known.m_outages.empty() || now - known.m_outages.back() > outage_window);
        const bool may_be_dropped = is_full && known.m_doublings == 0 && is_idle;
        graded = may_be_dropped ? m_records.erase(graded) : std::next(graded);
    }
}

worker_grade worker_grades::grade_of(std::string_view worker) const
{
    const auto known = m_records.find(worker);
    return known == m_records.end() ? worker_grade::full : known->second.m_grade;
}

std::size_t worker_grades::count(worker_grade grade) const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(),
                      [grade](const entry& graded) { return graded.second.m_grade == grade; }));
}

void worker_grades::set_grade(entry& worker, worker_grade to, milliseconds term, time_point now)
{
    auto& known = worker.second;
    grade_change change{worker.first, known.m_grade, to, {}, term};
    change.m_evidence.m_failures = known.m_failures.m_value;
    change.m_evidence.m_slow_runs = known.m_slow_runs.m_value;
    change.m_evidence.m_outcomes = known.m_outcomes.size();
    for (const auto& item : known.m_outcomes) {
        change.m_evidence.m_failed += item.m_failed ? 1 : 0;
        change.m_evidence.m_slow += item.m_slow ? 1 : 0;
    }
    change.m_evidence.m_outages = known.m_outages.size();
    m_changes.push_back(std::move(change));
    known.m_before = known.m_grade;
    known.m_grade = to;
    known.m_graded_at = now;
    known.m_term_ends = now + term;
    known.m_forget_at = now + forget_time;
    known.m_good_runs = 0;
    if (to == worker_grade::full || to == worker_grade::probation) {
        known.m_failures = {};
        known.m_slow_runs = {};
    }
}

std::vector<grade_change> worker_grades::take_changes()
{
    return std::exchange(m_changes, {});
}

} // namespace peridotrudder
