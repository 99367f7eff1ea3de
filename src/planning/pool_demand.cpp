#include "peridotrudder/planning/pool_demand.hpp"

#include "peridotrudder/scheduling/job_rank.hpp"

#include <algorithm>
#include <cmath>
#include <set>

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
/// A pool is overloaded for long if tasks have waited in this share of the time, as averaged below.
/// From the first wait on this takes 16 s, so that the rates are measured in such a time only.
constexpr double min_waited_share = 0.8;
constexpr double waited_averaging_ms = 10'000.0;
/// Most time that one measurement stands for. The first one has none before it.
constexpr double max_measured_ms = 1'000.0;
/// Jobs must take less than this part of `overload_window`, so that enough of them end in it.
constexpr double max_duration_in_window = 1.0 / 3.0;
/// Share of a pool's CPU that it has served at least if it worked all the time. Declared run times
/// may be too short by a half.
constexpr double least_served_share = 0.4;
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
        const auto waiting = std::int64_t{pool_job.waiting(occurrence, index)};
        const auto placed = std::int64_t{pool_job.placed(occurrence, index)};
        load.m_waiting += unblocked ? waiting * step.m_task_resources.m_cpu_millis : 0;
        load.m_placed += placed * step.m_task_resources.m_cpu_millis;
        // A placed task has run for an unknown time: on average half of its work is left.
        work +=
            work_of_task(step) * (static_cast<double>(waiting) + static_cast<double>(placed) / 2.0);
    }
    return work;
}

/// Returns the estimated work of the occurrence's tasks that have no run.
work_amount waiting_work(const job& pool_job, std::uint32_t occurrence)
{
    work_amount work;
    for (std::uint32_t index = 0; index < pool_job.spec().m_steps.size(); ++index) {
        const auto& step = pool_job.spec().m_steps[index];
        work += work_of(step, pool_job.waiting(occurrence, index));
    }
    return work;
}

/// What a measurement tells of a pool's backlog.
enum class backlog_detail {
    total,
    by_tenant,
    by_rank,
};

/// Returns the backlog that the job belongs to.
tenant_backlog& backlog_of(const job& pool_job, const queue_config& queue, pool_load& load)
{
    const auto& tenant = pool_job.header().m_tenant;
    return load.m_backlog_by_tenant[queue.m_priority][tenant ? tenant->m_name : ""];
}

bool is_excess(const job& pool_job)
{
    const auto& tenant = pool_job.header().m_tenant;
    return tenant && tenant->m_excess;
}

void add_backlog(const job& pool_job, const queue_config& queue, std::uint32_t occurrence,
                 punctuality reachable, backlog_detail detail, pool_load& load)
{
    const auto work = waiting_work(pool_job, occurrence);
    load.m_backlog += work.m_cpu;
    if (detail == backlog_detail::total) {
        return;
    }
    auto& backlog = backlog_of(pool_job, queue, load);
    backlog.of(is_excess(pool_job)) += work;
    if (detail == backlog_detail::by_rank) {
        auto& ranked = backlog.ranked(is_excess(pool_job));
        auto& level = reachable == punctuality::in_time ? ranked.m_in_time : ranked.m_late;
        level.add(remaining_chain(pool_job, occurrence), work.m_cpu);
    }
}

void add_short(const job& pool_job, const queue_config& queue, std::int64_t now_ms,
               backlog_detail detail, pool_load& load)
{
    for (std::uint32_t occurrence = 0; occurrence < pool_job.occurrences(); ++occurrence) {
        if (pool_job.spec().m_recurrence && pool_job.due_ms(occurrence) > now_ms) {
            return;
        }
        const auto limits = limits_of(pool_job.header(), queue);
        const auto work = remaining_work(pool_job, occurrence, load);
        const auto left_ms = limits.m_objective_ms - now_ms;
        if (pool_job.placed_tasks() < pool_job.unfinished_tasks()) {
            const auto reachable = punctuality_of(pool_job, limits, now_ms);
            if (reachable != punctuality::useless) {
                add_backlog(pool_job, queue, occurrence, reachable, detail, load);
            }
        }
        // More processor than the tasks can use at once would not make a late job faster.
        const auto needed_cpu = work / static_cast<double>(std::max(left_ms, min_time_left_ms));
        load.m_accepted += static_cast<std::int64_t>(
            std::min(needed_cpu, static_cast<double>(most_cpu_at_once(pool_job, occurrence))));
    }
}

/// Adds a job of a tenant that has a quota.
void add_limited(const job& pool_job, const queue_config& queue, std::int64_t now_ms,
                 backlog_detail detail, quota_demand& quotas)
{
    if (is_long_running(pool_job.spec())) {
        quotas.add_long_running(pool_job, queue.m_pool);
        return;
    }
    for (std::uint32_t occurrence = 0; occurrence < pool_job.occurrences(); ++occurrence) {
        if (pool_job.spec().m_recurrence && pool_job.due_ms(occurrence) > now_ms) {
            break;
        }
        quotas.add_short(pool_job, occurrence, queue.m_pool);
    }
    add_short(pool_job, queue, now_ms, detail, quotas.load_of(pool_job, queue.m_pool));
}

using pool_loads = std::map<std::string, pool_load>;
using pool_names = std::set<std::string, std::less<>>;

/// Adds each active job in a configured pool to the loads, those of limited tenants to `quotas`.
void add_jobs(const scheduler_state& state, std::int64_t now_ms, const pool_names& overloaded,
              pool_loads& loads, quota_demand& quotas)
{
    const bool by_tenant = state.m_config.tenants().enabled();
    for (const auto& [id, active_job] : state.m_job_store.jobs()) {
        if (active_job.phase() != job_phase::active) {
            continue;
        }
        const auto& queue = state.queue_of(active_job.header());
        const auto load = loads.find(queue.m_pool);
        if (load == loads.end()) {
            continue;
        }
        const auto detail = !by_tenant                            ? backlog_detail::total
                            : overloaded.count(queue.m_pool) != 0 ? backlog_detail::by_rank
                                                                  : backlog_detail::by_tenant;
        if (quotas.limits(active_job)) {
            add_limited(active_job, queue, now_ms, detail, quotas);
        }
        else if (is_long_running(active_job.spec())) {
            add_long_running(active_job, load->second);
        }
        else {
            add_short(active_job, queue, now_ms, detail, load->second);
        }
    }
}

/// Adds the work that was accepted, and that of jobs that ended, in the last `overload_window`.
/// From the jobs' records, which are kept for longer, so that a successor knows it at once. A job
/// with a time in the future, after a step of the clock, is left out: too low a rate refuses
/// nothing.
void add_rates(const scheduler_state& state, std::int64_t now_ms, const pool_names& overloaded,
               pool_loads& loads)
{
    const auto window_ms = static_cast<double>(overload_window.count());
    const auto is_recent = [now_ms](std::int64_t at_ms) {
        return at_ms > now_ms - overload_window.count() && at_ms <= now_ms;
    };
    for (const auto& [id, stored] : state.m_job_store.jobs()) {
        const bool accepted = is_recent(stored.header().m_accepted_ms);
        const bool ended =
            (stored.phase() == job_phase::completed || stored.phase() == job_phase::failed) &&
            is_recent(stored.ended_ms());
        const auto& spec = stored.spec();
        if ((!accepted && !ended) || stored.phase() == job_phase::cancelled || spec.m_recurrence ||
            is_long_running(spec)) {
            continue;
        }
        const auto& queue = state.queue_of(stored.header());
        const auto load = loads.find(queue.m_pool);
        if (load == loads.end() || overloaded.count(queue.m_pool) == 0) {
            continue;
        }
        const auto rate = work_of(spec).m_cpu / window_ms;
        load->second.m_served_rate += ended ? rate : 0.0;
        if (accepted) {
            backlog_of(stored, queue, load->second)
                .ranked(is_excess(stored))
                .m_accepted_rate.add(longest_chain(spec), rate);
        }
    }
}

/// Counts what limited tenants use, which must be known before what they may start.
void add_usage(const scheduler_state& state, quota_demand& quotas)
{
    for (const auto& [id, active_job] : state.m_job_store.jobs()) {
        if (active_job.phase() == job_phase::active && quotas.limits(active_job)) {
            quotas.add_usage(active_job);
        }
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
    auto quotas = quota_demand::create(state.m_config.tenants());
    const auto overloaded = overloaded_pools(state);
    add_usage(state, quotas);
    add_jobs(state, now.m_unix_ms, overloaded, loads, quotas);
    m_tenants = quotas.apply(loads);
    if (!overloaded.empty()) {
        add_rates(state, now.m_unix_ms, overloaded, loads);
    }
    const auto passed = static_cast<double>(remaining(m_measured_at, now.m_at).count());
    m_measured_at = now.m_at;
    for (auto& [pool, load] : loads) {
        const auto total = state.m_accepted_work.find(pool);
        if (total != state.m_accepted_work.end()) {
            update_arrivals(total->second, passed, m_arrivals[pool]);
        }
        else {
            update_arrivals({}, passed, m_arrivals[pool]);
        }
    }
    for (auto& [pool, load] : loads) {
        auto& average = m_arrivals[pool];
        load.m_served_rate /= std::max(average.m_waited_share, min_waited_share);
        update_waited_share(load, passed, average);
        const auto work_rate = usable_work_rate(average, quotas);
        load.m_contracted_rate = average.m_contracted_rate;
        load.m_arriving = static_cast<std::int64_t>(std::min(work_rate, max_cpu_millis));
        const double remaining_share =
            std::exp(-static_cast<double>(m_lead.count()) / average.m_duration_ms);
        load.m_forecast = static_cast<std::int64_t>(
            std::min(static_cast<double>(load.m_accepted) * remaining_share +
                         work_rate * (1.0 - remaining_share),
                     max_cpu_millis));
    }
    return loads;
}

std::set<std::string, std::less<>> pool_demand::overloaded_pools(const scheduler_state& state) const
{
    pool_names overloaded;
    if (!state.m_config.tenants().enabled()) {
        return overloaded;
    }
    const auto longest_ms = static_cast<double>(overload_window.count()) * max_duration_in_window;
    for (const auto& [pool, average] : m_arrivals) {
        if (average.m_waited_share >= min_waited_share && average.m_duration_ms <= longest_ms) {
            overloaded.insert(pool);
        }
    }
    return overloaded;
}

void pool_demand::update_waited_share(const pool_load& load, double passed_ms,
                                      arrival_average& average)
{
    const auto old_weight = std::exp(-std::min(passed_ms, max_measured_ms) / waited_averaging_ms);
    const auto waits = load.m_waiting > 0 ? 1.0 : 0.0;
    average.m_waited_share = average.m_waited_share * old_weight + waits * (1.0 - old_weight);
}

void pool_demand::update_arrivals(const accepted_total& total, double passed_ms,
                                  arrival_average& average) const
{
    const auto work = total.m_work - average.m_last_total.m_work;
    const auto weighted = total.m_work_by_chain - average.m_last_total.m_work_by_chain;
    const auto jobs = static_cast<double>(total.m_jobs - average.m_last_total.m_jobs);
    const auto contracted = total.m_contracted_work - average.m_last_total.m_contracted_work;
    average.m_last_total = total;
    const auto averaging = static_cast<double>(contracted_averaging.count());
    average.m_contracted_rate =
        average.m_contracted_rate * std::exp(-passed_ms / averaging) + contracted / averaging;
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
    update_tenants(total, passed_ms, old_weight, average);
}

// All tenants are averaged over the same time as the pool, so that their rates add up to its rate.
void pool_demand::update_tenants(const accepted_total& total, double passed_ms, double old_weight,
                                 arrival_average& average)
{
    for (const auto& [name, work] : total.m_work_by_tenant) {
        auto& tenant = average.m_tenants[name];
        const auto newest_rate = (work - tenant.m_last_work) / passed_ms;
        tenant.m_last_work = work;
        tenant.m_work_rate = tenant.m_work_rate * old_weight + newest_rate * (1.0 - old_weight);
    }
}

double pool_demand::work_rate_of(std::string_view tenant) const
{
    double rate = 0.0;
    for (const auto& [pool, average] : m_arrivals) {
        const auto own = average.m_tenants.find(tenant);
        rate += own == average.m_tenants.end() ? 0.0 : own->second.m_work_rate;
    }
    return rate;
}

double pool_demand::usable_work_rate(const arrival_average& average,
                                     const quota_demand& quotas) const
{
    double rate = average.m_work_rate;
    for (const auto& [name, tenant] : average.m_tenants) {
        rate -= tenant.m_work_rate * (1.0 - quotas.usable_share(name, work_rate_of(name)));
    }
    return std::max(rate, 0.0);
}

double usable_served_rate(double served_rate, std::int64_t pool_cpu)
{
    return served_rate >= least_served_share * static_cast<double>(pool_cpu) ? served_rate : 0.0;
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
