#include "peridotrudder/planning/pool_demand.hpp"

#include "peridotrudder/scheduling/job_rank.hpp"

#include <algorithm>
#include <cmath>

namespace peridotrudder {

namespace {

/// Number of jobs that arrivals are averaged over: with fewer the average is too noisy, with more
/// it shows a burst too late.
constexpr double averaged_jobs = 12.0;
constexpr double min_averaging_ms = 120.0;
/// If few jobs arrive, the average covers half the duration of a job, and at least this time.
constexpr double min_slow_averaging_ms = 350.0;
/// Weight of the newest measurement in the average of durations.
constexpr double duration_weight = 0.05;
/// Minimum of the remaining time that a job's work is divided by, so that an almost or already late
/// job does not count as unlimited demand.
constexpr std::int64_t min_time_left_ms = 400;
/// Limit of a demand of processor that is an estimate, in thousandths of a core: a million VMs with
/// a thousand cores each.
constexpr double max_cpu_millis = 1e12;
/// Limit of the number of VMs that a pool can require.
constexpr double max_vms = 1'000'000.0;
/// Share of a VM's processor that tasks of mixed sizes can use.
constexpr double usable_share = 0.85;

void add_long_running(const job& pool_job, pool_load& load)
{
    for (const auto& step : pool_job.spec().m_steps) {
        if (!step.m_long_running) {
            continue;
        }
        const auto cpu = step.m_best_effort ? 0 : step.m_task_resources.m_cpu_millis;
        load.m_long_running += cpu * step.m_count;
        const auto spread =
            step.m_max_per_worker == 0
                ? 1
                : (step.m_count + step.m_max_per_worker - 1) / step.m_max_per_worker;
        load.m_spread_vms = std::max(load.m_spread_vms, spread);
    }
}

/// Returns the processor that the occurrence's tasks can use at once at most, in thousandths of a
/// core: its ready and placed tasks now, or later those of a step that depends on them.
std::int64_t most_cpu_at_once(const job& pool_job, std::uint32_t occurrence)
{
    std::int64_t ready = 0;
    std::int64_t widest_blocked = 0;
    for (std::uint32_t index = 0; index < pool_job.spec().m_steps.size(); ++index) {
        const auto cpu = std::int64_t{pool_job.open_tasks(occurrence, index)} *
                         pool_job.spec().m_steps[index].m_task_resources.m_cpu_millis;
        if (pool_job.unblocked(occurrence, index)) {
            ready += cpu;
        }
        else {
            widest_blocked = std::max(widest_blocked, cpu);
        }
    }
    return std::max(ready, widest_blocked);
}

/// Returns the estimated work of one task, in thousandths of a core times milliseconds. As a real
/// number, since the sum over a job's tasks may exceed any integer.
double work_of_task(const step_spec& step)
{
    return static_cast<double>(step.m_task_resources.m_cpu_millis) *
           static_cast<double>(step.m_estimate.count());
}

/// Returns the occurrence's remaining work, in thousandths of a core times milliseconds, and adds
/// its ready and its placed tasks to the load.
double remaining_work(const job& pool_job, std::uint32_t occurrence, pool_load& load)
{
    double work = 0.0;
    for (std::uint32_t index = 0; index < pool_job.spec().m_steps.size(); ++index) {
        const auto& step = pool_job.spec().m_steps[index];
        const bool unblocked = pool_job.unblocked(occurrence, index);
        for (const auto& task : pool_job.tasks(occurrence, index)) {
            const auto task_work = work_of_task(step);
            if (task.m_phase == task_phase::waiting) {
                work += task_work;
                load.m_waiting += unblocked ? step.m_task_resources.m_cpu_millis : 0;
            }
            else if (task.m_phase == task_phase::placed) {
                // It has run for an unknown time: on average half of its work is left.
                work += task_work / 2.0;
                load.m_placed += step.m_task_resources.m_cpu_millis;
            }
        }
    }
    return work;
}

/// Returns the estimated work of the occurrence's tasks that have no run, in thousandths of a core
/// times milliseconds.
double waiting_work(const job& pool_job, std::uint32_t occurrence)
{
    double work = 0.0;
    for (std::uint32_t index = 0; index < pool_job.spec().m_steps.size(); ++index) {
        const auto& step = pool_job.spec().m_steps[index];
        work += pool_job.waiting(occurrence, index) * work_of_task(step);
    }
    return work;
}

void add_job(const job& pool_job, const queue_config& queue, std::int64_t now_ms, pool_load& load)
{
    if (is_long_running(pool_job.spec())) {
        add_long_running(pool_job, load);
        return;
    }
    for (std::uint32_t occurrence = 0; occurrence < pool_job.occurrences(); ++occurrence) {
        if (pool_job.spec().m_recurrence && pool_job.due_ms(occurrence) > now_ms) {
            return;
        }
        const auto limits = limits_of(pool_job.header(), queue);
        const auto work = remaining_work(pool_job, occurrence, load);
        const auto left_ms = limits.m_objective_ms - now_ms;
        if (pool_job.placed_tasks() < pool_job.unfinished_tasks() &&
            punctuality_of(pool_job, limits, now_ms) != punctuality::useless) {
            load.m_backlog += waiting_work(pool_job, occurrence);
        }
        // More processor than the tasks can use at once would not make a late job faster.
        const auto needed_cpu = work / static_cast<double>(std::max(left_ms, min_time_left_ms));
        load.m_accepted += static_cast<std::int64_t>(
            std::min(needed_cpu, static_cast<double>(most_cpu_at_once(pool_job, occurrence))));
    }
}

} // namespace

pool_demand pool_demand::create(milliseconds lead)
{
    pool_demand demand;
    demand.m_lead = lead;
    return demand;
}

std::map<std::string, pool_load> pool_demand::measure(const scheduler_state& state, moment now)
{
    std::map<std::string, pool_load> loads;
    for (const auto& pool : state.m_config.pools()) {
        loads[pool.m_name];
    }
    for (const auto& [id, active_job] : state.m_job_store.jobs()) {
        if (active_job.phase() != job_phase::active) {
            continue;
        }
        const auto& queue = state.queue_of(active_job.header());
        const auto load = loads.find(queue.m_pool);
        if (load != loads.end()) {
            add_job(active_job, queue, now.m_unix_ms, load->second);
        }
    }
    const auto passed = static_cast<double>(remaining(m_measured_at, now.m_at).count());
    m_measured_at = now.m_at;
    for (auto& [pool, load] : loads) {
        auto& average = m_arrivals[pool];
        const auto total = state.m_accepted_work.find(pool);
        update_arrivals(total == state.m_accepted_work.end() ? accepted_total{} : total->second,
                        passed, average);
        load.m_arriving = static_cast<std::int64_t>(std::min(average.m_work_rate, max_cpu_millis));
        const double remaining_share =
            std::exp(-static_cast<double>(m_lead.count()) / average.m_duration_ms);
        load.m_forecast = static_cast<std::int64_t>(
            std::min(static_cast<double>(load.m_accepted) * remaining_share +
                         average.m_work_rate * (1.0 - remaining_share),
                     max_cpu_millis));
    }
    return loads;
}

void pool_demand::update_arrivals(const accepted_total& total, double passed_ms,
                                  arrival_average& average) const
{
    const auto work = total.m_work - average.m_last_total.m_work;
    const auto weighted = total.m_work_by_chain - average.m_last_total.m_work_by_chain;
    const auto jobs = static_cast<double>(total.m_jobs - average.m_last_total.m_jobs);
    average.m_last_total = total;
    if (work > 0.0) {
        average.m_duration_ms += (weighted / work - average.m_duration_ms) * duration_weight;
    }
    if (passed_ms <= 0.0) {
        return;
    }
    const double newest_job_rate = jobs / passed_ms;
    const double max_averaging_ms = std::max(min_slow_averaging_ms, average.m_duration_ms / 2.0);
    const double averaging_ms = averaged_jobs / std::max({newest_job_rate, average.m_job_rate,
                                                          averaged_jobs / max_averaging_ms});
    const double old_weight = std::exp(-passed_ms / std::max(averaging_ms, min_averaging_ms));
    average.m_job_rate = average.m_job_rate * old_weight + newest_job_rate * (1.0 - old_weight);
    average.m_work_rate = average.m_work_rate * old_weight + work / passed_ms * (1.0 - old_weight);
}

std::uint32_t required_vms(const pool_load& load, std::int64_t vm_cpu)
{
    // Tasks that wait now are late already: they count in full, not spread over the remaining time.
    const auto short_work =
        std::max({load.m_accepted, load.m_forecast, load.m_placed + load.m_waiting});
    const auto cpu = static_cast<double>(load.m_long_running + short_work) / usable_share;
    const auto by_cpu = std::ceil(cpu / static_cast<double>(std::max<std::int64_t>(vm_cpu, 1)));
    return static_cast<std::uint32_t>(
        std::clamp(by_cpu, std::min(static_cast<double>(load.m_spread_vms), max_vms), max_vms));
}

} // namespace peridotrudder
