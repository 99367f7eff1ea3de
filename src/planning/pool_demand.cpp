#include "peridotrudder/planning/pool_demand.hpp"

#include "peridotrudder/scheduling/job_rank.hpp"

#include <algorithm>
#include <cmath>

namespace peridotrudder {

namespace {

/// Arrivals are averaged over so many jobs: fewer tell little, more tell of a turn too late.
constexpr double averaged_jobs = 12.0;
constexpr double least_memory_ms = 120.0;
/// Where few jobs come, half the time that they take is averaged over, and at least this.
constexpr double least_long_memory_ms = 350.0;
/// Weight of the jobs since the last measurement in the average of durations.
constexpr double duration_weight = 0.05;
/// A job that is almost or already late does not count as needing endless room.
constexpr std::int64_t least_time_left_ms = 400;
/// Share of a VM that tasks of mixed sizes can fill.
constexpr double fill_share = 0.85;

void add_long_running(const job& of, pool_load& load)
{
    for (const auto& step : of.spec().m_steps) {
        if (!step.m_long_running) {
            continue;
        }
        const auto cpu = step.m_best_effort ? 0 : step.m_task_resources.m_cpu_millis;
        load.m_long_running += cpu * step.m_count;
        const auto spread =
            step.m_max_per_worker == 0
                ? 1
                : (step.m_count + step.m_max_per_worker - 1) / step.m_max_per_worker;
        load.m_spread = std::max(load.m_spread, spread);
    }
}

/// Returns what is left of the occurrence's work, in thousandths of a core times milliseconds, and
/// adds what waits and what is placed to the load.
std::int64_t remaining_work(const job& of, std::uint32_t occurrence, pool_load& load)
{
    std::int64_t work = 0;
    for (std::uint32_t index = 0; index < of.spec().m_steps.size(); ++index) {
        const auto& step = of.spec().m_steps[index];
        const bool unblocked = of.unblocked(occurrence, index);
        for (const auto& each : of.tasks(occurrence, index)) {
            const auto whole = step.m_task_resources.m_cpu_millis * step.m_estimate.count();
            if (each.m_phase == task_phase::waiting) {
                work += whole;
                load.m_waiting += unblocked ? step.m_task_resources.m_cpu_millis : 0;
            }
            else if (each.m_phase == task_phase::placed) {
                // Under way for an unknown time: on average half is left.
                work += whole / 2;
                load.m_placed += step.m_task_resources.m_cpu_millis;
            }
        }
    }
    return work;
}

/// Returns the estimated work of the occurrence's tasks that have no run.
std::int64_t waiting_work(const job& of, std::uint32_t occurrence)
{
    std::int64_t work = 0;
    for (std::uint32_t index = 0; index < of.spec().m_steps.size(); ++index) {
        const auto& step = of.spec().m_steps[index];
        work += of.waiting(occurrence, index) * step.m_task_resources.m_cpu_millis *
                step.m_estimate.count();
    }
    return work;
}

void add_job(const job& of, const queue_config& queue, std::int64_t now_ms, pool_load& load)
{
    if (is_long_running(of.spec())) {
        add_long_running(of, load);
        return;
    }
    for (std::uint32_t occurrence = 0; occurrence < of.occurrences(); ++occurrence) {
        if (of.spec().m_recurrence && of.due_ms(occurrence) > now_ms) {
            return;
        }
        const auto limits = limits_of(of.header(), queue);
        const auto work = remaining_work(of, occurrence, load);
        const auto left = limits.m_objective_ms - now_ms;
        if (of.placed_tasks() < of.unfinished_tasks() &&
            punctuality_of(of, limits, now_ms) != punctuality::useless) {
            load.m_backlog += waiting_work(of, occurrence);
        }
        load.m_accepted += work / std::max(left, least_time_left_ms);
    }
}

} // namespace

pool_demand pool_demand::create(milliseconds lead)
{
    pool_demand made;
    made.m_lead = lead;
    return made;
}

std::map<std::string, pool_load> pool_demand::measure(const scheduler_state& state, moment now)
{
    std::map<std::string, pool_load> loads;
    for (const auto& pool : state.m_config.pools()) {
        loads[pool.m_name];
    }
    for (const auto& [id, each] : state.m_job_store.jobs()) {
        if (each.phase() != job_phase::active) {
            continue;
        }
        const auto& queue = state.queue_of(each.header());
        const auto found = loads.find(queue.m_pool);
        if (found != loads.end()) {
            add_job(each, queue, now.m_unix_ms, found->second);
        }
    }
    const auto passed = static_cast<double>(remaining(m_measured_at, now.m_at).count());
    m_measured_at = now.m_at;
    for (auto& [pool, load] : loads) {
        auto& seen = m_arrivals[pool];
        const auto found = state.m_accepted_work.find(pool);
        note_arrivals(found == state.m_accepted_work.end() ? accepted_total{} : found->second,
                      passed, seen);
        load.m_arriving = static_cast<std::int64_t>(seen.m_rate);
        const double left = std::exp(-static_cast<double>(m_lead.count()) / seen.m_duration_ms);
        load.m_forecast = static_cast<std::int64_t>(static_cast<double>(load.m_accepted) * left +
                                                    seen.m_rate * (1.0 - left));
    }
    return loads;
}

void pool_demand::note_arrivals(const accepted_total& total, double passed_ms, arrivals& seen) const
{
    const auto work = static_cast<double>(total.m_work - seen.m_seen.m_work);
    const auto weighted = static_cast<double>(total.m_work_by_chain - seen.m_seen.m_work_by_chain);
    const auto jobs = static_cast<double>(total.m_jobs - seen.m_seen.m_jobs);
    seen.m_seen = total;
    if (work > 0.0) {
        seen.m_duration_ms += (weighted / work - seen.m_duration_ms) * duration_weight;
    }
    if (passed_ms <= 0.0) {
        return;
    }
    const double newest_job_rate = jobs / passed_ms;
    const double longest_ms = std::max(least_long_memory_ms, seen.m_duration_ms / 2.0);
    const double jobs_ms =
        averaged_jobs / std::max({newest_job_rate, seen.m_job_rate, averaged_jobs / longest_ms});
    const double keep = std::exp(-passed_ms / std::max(jobs_ms, least_memory_ms));
    seen.m_job_rate = seen.m_job_rate * keep + newest_job_rate * (1.0 - keep);
    seen.m_rate = seen.m_rate * keep + work / passed_ms * (1.0 - keep);
}

std::uint32_t wanted_vms(const pool_load& load, std::int64_t vm_cpu)
{
    // What waits now is late already: it counts whole, not spread over the time that is left.
    const auto short_work =
        std::max({load.m_accepted, load.m_forecast, load.m_placed + load.m_waiting});
    const auto cpu = static_cast<double>(load.m_long_running + short_work) / fill_share;
    const auto by_cpu = static_cast<std::uint32_t>(
        std::ceil(cpu / static_cast<double>(std::max<std::int64_t>(vm_cpu, 1))));
    return std::max(by_cpu, load.m_spread);
}

} // namespace peridotrudder
