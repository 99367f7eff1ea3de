#include "peridotrudder/scheduling/run_times.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace peridotrudder {

namespace {

constexpr std::size_t max_values = 32;
/// Values after which quartiles are computed anew; fewer while there are few values.
constexpr std::size_t summary_interval = 8;
/// Fewer runs say less than the declared estimate.
constexpr std::size_t enough_runs = 4;
/// Tasks of one class differ by a third, so fewer runs say little about their worker.
constexpr std::size_t enough_runs_of_worker = 12;
constexpr std::size_t max_classes = 512;
constexpr std::size_t max_queues = 128;
constexpr std::size_t max_workers = 2'048;
/// Progress at which reported and learned times count equally, in percent.
constexpr double equal_weight_percent = 5.0;
constexpr double full_percent = 100.0;
/// Share of its age that a run without progress is expected to go on for at least.
constexpr double overdue_share = 0.5;

/// Removes the entry that was used least recently.
template <typename Map>
void evict_oldest(Map& entries)
{
    entries.erase(
        std::min_element(entries.begin(), entries.end(), [](const auto& left, const auto& right) {
            return left.second.m_used < right.second.m_used;
        }));
}

double in_ms(milliseconds time)
{
    return static_cast<double>(time.count());
}

milliseconds from_ms(double time)
{
    return milliseconds{std::llround(time)};
}

} // namespace

void recent_values::add(double value)
{
    if (m_values.size() < max_values) {
        m_values.push_back(value);
    }
    else {
        m_values[m_next] = value;
        m_next = (m_next + 1) % max_values;
    }
    ++m_added;
}

const recent_values::quartiles& recent_values::summary() const
{
    const bool is_outdated =
        m_added >= summary_interval || (m_added > 0 && m_values.size() <= summary_interval);
    if (is_outdated) {
        auto sorted = m_values;
        std::sort(sorted.begin(), sorted.end());
        const auto last = sorted.size() - 1;
        m_summary = {sorted[last / 4], sorted[last / 2], sorted[last - last / 4]};
        m_added = 0;
    }
    return m_summary;
}

double recent_values::median() const
{
    return summary().m_median;
}

double recent_values::upper_quartile() const
{
    return summary().m_upper;
}

double recent_values::spread() const
{
    const auto& values = summary();
    return values.m_lower > 0.0 ? values.m_upper / values.m_lower
                                : std::numeric_limits<double>::infinity();
}

run_times::class_times& run_times::times_of(const run_class& tasks)
{
    const auto known = m_classes.find(tasks);
    if (known != m_classes.end()) {
        return known->second;
    }
    if (m_classes.size() >= max_classes) {
        evict_oldest(m_classes);
    }
    return m_classes[tasks];
}

recent_values& run_times::ratios_of(const std::string& queue)
{
    if (m_queues.size() >= max_queues && m_queues.count(queue) == 0) {
        evict_oldest(m_queues);
    }
    auto& known = m_queues[queue];
    known.m_used = m_learned;
    return known.m_ratios;
}

double run_times::learn(const measured_run& run)
{
    ++m_learned;
    const double normal = in_ms(run.m_took) / run.m_place_factor;
    auto& times = times_of(run.m_class);
    times.m_used = m_learned;
    // The estimate may be wrong for all tasks of the class, which says nothing about the worker.
    if (times.m_times.count() >= enough_runs) {
        learn_speed(run, normal / std::max(in_ms(expected_of(times, run.m_declared)), 1.0));
    }
    const double upper = upper_time_of(times, run.m_declared);
    times.m_times.add(normal);
    if (run.m_declared.count() > 0) {
        const double ratio = normal / in_ms(run.m_declared);
        times.m_ratios.add(ratio);
        ratios_of(run.m_class.m_queue).add(ratio);
    }
    return upper > 0.0 ? normal / std::max(upper, 1.0) : 0.0;
}

void run_times::learn_speed(const measured_run& run, double relative)
{
    if (m_workers.size() >= max_workers && m_workers.count(run.m_worker.m_worker) == 0) {
        m_workers.erase(m_workers.begin());
    }
    auto& speed = m_workers[run.m_worker.m_worker];
    if (speed.m_born_ms != run.m_worker.m_born_ms) {
        speed = {run.m_worker.m_born_ms, {}};
    }
    speed.m_relative_times.add(relative);
}

bool run_times::follows_estimates(const class_times& known, milliseconds declared)
{
    // Jobs of one class may differ in size, which their estimates show if these fit better than a
    // common time.
    return declared.count() > 0 && known.m_ratios.count() >= enough_runs &&
           known.m_ratios.spread() < known.m_times.spread();
}

milliseconds run_times::expected_of(const class_times& known, milliseconds declared)
{
    return from_ms(follows_estimates(known, declared) ? in_ms(declared) * known.m_ratios.median()
                                                      : known.m_times.median());
}

double run_times::upper_time_of(const class_times& known, milliseconds declared)
{
    if (known.m_times.count() < max_values) {
        return 0.0;
    }
    return follows_estimates(known, declared) ? in_ms(declared) * known.m_ratios.upper_quartile()
                                              : known.m_times.upper_quartile();
}

milliseconds run_times::expected(const run_class& tasks, milliseconds declared) const
{
    const auto known = m_classes.find(tasks);
    if (known != m_classes.end() && known->second.m_times.count() >= enough_runs) {
        return expected_of(known->second, declared);
    }
    const auto queue = m_queues.find(tasks.m_queue);
    const bool is_corrected =
        queue != m_queues.end() && queue->second.m_ratios.count() >= enough_runs;
    return is_corrected ? from_ms(in_ms(declared) * queue->second.m_ratios.median()) : declared;
}

std::size_t run_times::runs_of(const run_class& tasks) const
{
    const auto known = m_classes.find(tasks);
    const auto count = known == m_classes.end() ? 0 : known->second.m_times.count();
    return count >= enough_runs ? count : 0;
}

double run_times::slowness(const worker_instance& worker) const
{
    const auto known = m_workers.find(worker.m_worker);
    const bool is_measured = known != m_workers.end() &&
                             known->second.m_born_ms == worker.m_born_ms &&
                             known->second.m_relative_times.count() >= enough_runs_of_worker;
    return is_measured ? known->second.m_relative_times.median() : 1.0;
}

void run_times::forget_queue(std::string_view queue)
{
    for (auto entry = m_classes.begin(); entry != m_classes.end();) {
        entry = entry->first.m_queue == queue ? m_classes.erase(entry) : std::next(entry);
    }
    const auto ratios = m_queues.find(queue);
    if (ratios != m_queues.end()) {
        m_queues.erase(ratios);
    }
}

milliseconds expected_remaining(const worker_run& run, milliseconds expected, time_point now)
{
    if (run.m_phase != run_phase::running) {
        return expected;
    }
    const double age = in_ms(remaining(run.m_confirmed_at, now));
    if (run.m_percent == 0) {
        return from_ms(std::max(in_ms(expected) - age, age * overdue_share));
    }
    const double percent = run.m_percent;
    const double shown_in = in_ms(remaining(run.m_confirmed_at, run.m_progress_at));
    const double projected = shown_in * full_percent / percent;
    const double weight = percent / (percent + equal_weight_percent);
    const double total = projected * weight + in_ms(expected) * (1.0 - weight);
    return from_ms(std::max(total - age, 0.0));
}

} // namespace peridotrudder
