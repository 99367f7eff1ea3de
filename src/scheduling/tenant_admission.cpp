#include "peridotrudder/scheduling/tenant_admission.hpp"

#include "peridotrudder/scheduling/job_rank.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace peridotrudder {

namespace {

/// Limit of the time that a job is expected to wait; no job's estimates come near it.
constexpr double max_wait_ms = 1e15;
/// Declared run times are off by half and more, and the backlog includes work that a new job
/// overtakes. So a contracted job that waits for the pool is rejected only if it would be too late
/// even if all run times are as much too long. Behind its tenant's quota this would only add jobs
/// that become useless.
constexpr double optimistic_estimate_factor = 0.6;
/// The estimate is an upper bound after each round and changes little after a few.
constexpr int wait_estimate_rounds = 8;
/// Least share of a pool that excess work is expected to get, since a peak of contracted work ends
/// after some seconds.
constexpr double min_excess_share = 0.05;
constexpr double millis_per_core = 1'000.0;

/// One tenant's work that takes part in a pool's order, in thousandths of a core times
/// milliseconds.
struct queued_tenant {
    /// Served before any work of the level that the job is on.
    double m_before{0.0};
    /// Served on that level, in fair shares.
    double m_shared{0.0};
    double m_weight{1.0};
    /// What arrives for `m_before` and `m_shared`, in thousandths of a core; zero unless the pool
    /// has been full for long.
    double m_before_rate{0.0};
    double m_shared_rate{0.0};
    /// CPU that the tenant can use at most, in thousandths of a core.
    double m_max_cpu{0.0};
};

using queued_tenants = std::map<std::string, queued_tenant, std::less<>>;

/// Returns the tenant's outlook if its quota keeps ready tasks from starting, or null. A burst can
/// reach the quota between two measurements.
const tenant_outlook* find_at_quota(const tenant_outlooks& tenants, std::string_view name)
{
    const auto found = tenants.find(name);
    if (found == tenants.end()) {
        return nullptr;
    }
    const auto& room = found->second.m_room;
    const bool exceeded = room.m_cpu < 0.0 || room.m_memory < 0.0 || room.m_accelerators < 0.0;
    return found->second.m_at_quota || exceeded ? &found->second : nullptr;
}

/// Returns the CPU of the pool that the tenant can use at most: a tenant at its quota gets no more
/// than it has now, any other one has no limit of its own.
double max_cpu_of(const tenant_outlooks& tenants, std::string_view name, const std::string& pool,
                  std::int64_t pool_cpu)
{
    const auto* limited = find_at_quota(tenants, name);
    if (limited == nullptr) {
        return unlimited_amount;
    }
    const auto here = limited->m_used_cpu.find(pool);
    const auto used = here == limited->m_used_cpu.end() ? 0 : here->second;
    return static_cast<double>(std::min(used, pool_cpu));
}

/// Returns the work that the job's level and those before it have, by tenant.
queued_tenants collect_queued(const tenant_job& submitted, const fleet_outlook& fleet,
                              const pool_outlook& pool)
{
    queued_tenants queued;
    for (const auto& [priority, tenants] : pool.m_backlog_by_tenant) {
        if (priority > submitted.m_queue->m_priority) {
            break;
        }
        for (const auto& [name, backlog] : tenants) {
            auto& tenant = queued[name];
            const auto contracted = backlog.m_contracted.m_cpu;
            const auto excess = backlog.m_excess.m_cpu;
            const auto contracted_rate = backlog.m_contracted_ranked.m_accepted_rate.total();
            const auto excess_rate = backlog.m_excess_ranked.m_accepted_rate.total();
            if (priority == submitted.m_queue->m_priority) {
                tenant.m_before += submitted.m_excess ? contracted : 0.0;
                tenant.m_shared += submitted.m_excess ? excess : contracted;
                tenant.m_before_rate += submitted.m_excess ? contracted_rate : 0.0;
                tenant.m_shared_rate += submitted.m_excess ? excess_rate : contracted_rate;
                continue;
            }
            const bool excess_counts = submitted.m_excess || name == submitted.m_tenant;
            tenant.m_before += contracted + (excess_counts ? excess : 0.0);
            tenant.m_before_rate += contracted_rate + (excess_counts ? excess_rate : 0.0);
        }
    }
    queued[submitted.m_tenant];
    for (auto& [name, tenant] : queued) {
        tenant.m_weight = fleet.m_directory.share_weight(name);
        tenant.m_max_cpu = max_cpu_of(fleet.m_tenants, name, submitted.m_queue->m_pool, pool.m_cpu);
    }
    return queued;
}

/// Returns how much of the tenant's work can be served within a time.
double served_within(const queued_tenant& tenant, double work, double time_ms)
{
    // The product of no limit and no time is not a number.
    return tenant.m_max_cpu == unlimited_amount ? work : std::min(work, tenant.m_max_cpu * time_ms);
}

/// Returns the estimated time until the tenant's own work and all that is served with or before it
/// has been started.
///
/// On the shared level, while the tenant is served its own work, each other tenant is served the
/// same amount by weight or all that it has. So the result exceeds neither the time for all work at
/// the pool's full rate nor that for the tenant's own at its share.
double fair_wait_ms(const queued_tenants& queued, const queued_tenant& own, double pool_cpu)
{
    const auto own_by_weight = own.m_shared / own.m_weight;
    double wait = max_wait_ms;
    for (int round = 0; round < wait_estimate_rounds; ++round) {
        double work = 0.0;
        for (const auto& [name, tenant] : queued) {
            const auto served =
                tenant.m_before + std::min(tenant.m_shared, own_by_weight * tenant.m_weight);
            work += served_within(tenant, served, wait);
        }
        wait = std::min(wait, work / pool_cpu);
    }
    return wait;
}

/// Returns the work that is served before the tenant's own within a time, if arrivals go on.
double work_until(const queued_tenants& queued, const queued_tenant& own, double time_ms)
{
    const auto own_by_weight = (own.m_shared + own.m_shared_rate * time_ms) / own.m_weight;
    double work = 0.0;
    for (const auto& [name, tenant] : queued) {
        const auto before = tenant.m_before + tenant.m_before_rate * time_ms;
        const auto shared = tenant.m_shared + tenant.m_shared_rate * time_ms;
        work += served_within(tenant, before + std::min(shared, own_by_weight * tenant.m_weight),
                              time_ms);
    }
    return work;
}

milliseconds to_wait(double wait_ms)
{
    return milliseconds{static_cast<std::int64_t>(std::min(wait_ms, max_wait_ms))};
}

/// Returns the time that the pool takes for all that is served before the job until it would be
/// too late. It exceeds `latest` if, and only if, the job would be too late.
milliseconds overload_wait(const queued_tenants& queued, const queued_tenant& own,
                           milliseconds latest, double served_rate)
{
    return to_wait(work_until(queued, own, static_cast<double>(latest.count())) / served_rate);
}

/// Returns the time after which a job that would be too late by now would not be, if nothing
/// arrives: what waits shrinks as it is served, after that only the average of what arrives.
milliseconds overload_retry(const queued_tenants& queued, const queued_tenant& own,
                            milliseconds latest, double served_rate)
{
    const auto latest_ms = static_cast<double>(latest.count());
    const auto waiting_ms = work_until(queued, own, 0.0) / served_rate;
    const auto all_ms = work_until(queued, own, latest_ms) / served_rate;
    const auto late_ms = all_ms - latest_ms;
    if (late_ms <= waiting_ms) {
        return to_wait(late_ms);
    }
    const auto arriving_ms = all_ms - waiting_ms;
    const auto window_ms = static_cast<double>(overload_window.count());
    return to_wait(waiting_ms + (late_ms - waiting_ms) * window_ms / arriving_ms);
}

/// Returns how long the job may wait until even an optimistic run time is too long.
milliseconds latest_start(milliseconds end, milliseconds chain)
{
    return std::max(milliseconds{0}, end - optimistic(chain));
}

/// Estimates the wait in a pool that has been full for long. Within the job's own tenant, jobs that
/// can be in time come first, the shortest of them at once, also those that arrive later. So a long
/// job is served only if shorter ones leave capacity, and once it is late only if all those that
/// can be in time do.
void estimate_overload_wait(const tenant_job& submitted, const pool_outlook& pool,
                            queued_tenants& queued, tenant_decision& decision)
{
    static const ranked_work nothing;
    const auto chain = longest_chain(*submitted.m_spec);
    const auto level = pool.m_backlog_by_tenant.find(submitted.m_queue->m_priority);
    const auto* ranked = &nothing;
    if (level != pool.m_backlog_by_tenant.end()) {
        const auto found = level->second.find(submitted.m_tenant);
        ranked =
            found == level->second.end() ? &nothing : &found->second.ranked(submitted.m_excess);
    }
    auto& own = queued.find(submitted.m_tenant)->second;
    own.m_shared = ranked->m_in_time.before(chain);
    own.m_shared_rate = ranked->m_accepted_rate.before(chain);
    const auto in_time = latest_start(objective_time(chain, *submitted.m_queue), chain);
    decision.m_wait = overload_wait(queued, own, in_time, pool.m_served_rate);
    if (decision.m_wait <= in_time) {
        return;
    }
    own.m_shared = ranked->m_in_time.total() + ranked->m_late.before(chain);
    own.m_shared_rate = ranked->m_accepted_rate.total();
    const auto useful = latest_start(useful_time(chain, *submitted.m_queue), chain);
    decision.m_wait = overload_wait(queued, own, useful, pool.m_served_rate);
    decision.m_retry_after = overload_retry(queued, own, useful, pool.m_served_rate);
}

/// Returns the CPU of the pool that the job's level gets, in thousandths of a core.
double cpu_for(const tenant_job& submitted, const pool_outlook& pool)
{
    const auto pool_cpu = static_cast<double>(pool.m_cpu);
    if (!submitted.m_excess) {
        return pool_cpu;
    }
    return std::max(pool_cpu - pool.m_contracted_rate, pool_cpu * min_excess_share);
}

void estimate_pool_wait(const tenant_job& submitted, const fleet_outlook& fleet,
                        const pool_outlook& pool, tenant_decision& decision)
{
    auto queued = collect_queued(submitted, fleet, pool);
    const auto& own = queued.find(submitted.m_tenant)->second;
    const auto pool_cpu = cpu_for(submitted, pool);
    double weights = own.m_weight;
    for (const auto& [name, tenant] : queued) {
        weights += &tenant != &own && tenant.m_shared > 0.0 ? tenant.m_weight : 0.0;
    }
    decision.m_cause = wait_cause::pool;
    decision.m_own_backlog = own.m_before + own.m_shared;
    decision.m_share = pool_cpu * own.m_weight / weights;
    if (pool.m_served_rate > 0.0) {
        decision.m_overloaded = true;
        decision.m_share = pool.m_served_rate * own.m_weight / weights;
        estimate_overload_wait(submitted, pool, queued, decision);
        return;
    }
    decision.m_wait = milliseconds{static_cast<std::int64_t>(fair_wait_ms(queued, own, pool_cpu))};
}

/// Returns the time that `amount` takes at the rate of `capacity`.
double time_for(double amount, std::int64_t capacity)
{
    if (amount <= 0.0 || capacity == unlimited) {
        return 0.0;
    }
    return capacity <= 0 ? max_wait_ms : amount / static_cast<double>(capacity);
}

/// Returns the tenant's work in all pools that is served before the job.
work_amount own_backlog(const tenant_job& submitted, const fleet_outlook& fleet)
{
    work_amount total;
    for (const auto& [name, pool] : fleet.m_pools) {
        const bool same_pool = name == submitted.m_queue->m_pool;
        for (const auto& [priority, tenants] : pool.m_backlog_by_tenant) {
            const auto own = tenants.find(submitted.m_tenant);
            const bool later = same_pool && priority > submitted.m_queue->m_priority;
            if (own == tenants.end() || later) {
                continue;
            }
            total += own->second.m_contracted;
            const bool earlier = same_pool && priority < submitted.m_queue->m_priority;
            if (submitted.m_excess || earlier) {
                total += own->second.m_excess;
            }
        }
    }
    return total;
}

void estimate_quota_wait(const tenant_job& submitted, const fleet_outlook& fleet,
                         const tenant_outlook& tenant, tenant_decision& decision)
{
    const auto backlog = own_backlog(submitted, fleet);
    const auto backlog_ms =
        std::max({time_for(backlog.m_cpu, tenant.m_quota.m_cpu_millis),
                  time_for(backlog.m_memory, tenant.m_quota.m_memory_mb),
                  time_for(backlog.m_accelerators, tenant.m_quota.m_accelerators)});
    const auto wait = backlog_ms + static_cast<double>(tenant.m_until_within_quota.count());
    decision.m_cause = wait_cause::quota;
    decision.m_own_backlog = backlog.m_cpu;
    decision.m_share = static_cast<double>(tenant.m_quota.m_cpu_millis);
    decision.m_wait = milliseconds{static_cast<std::int64_t>(std::min(wait, max_wait_ms))};
}

/// Returns whether ready tasks wait for CPU. A burst can fill the pool between two measurements.
bool has_waiting_tasks(const pool_outlook& pool)
{
    return pool.m_cpu > 0 && (pool.m_waiting_cpu > 0 || pool.m_free_cpu < 0.0);
}

/// Takes what the job's first tasks need from what is free. Best-effort tasks reserve no CPU, but
/// count with it against their tenant's quota.
void take_ready_resources(const job_spec& spec, pool_outlook& pool, tenant_outlook* tenant)
{
    for (const auto& step : spec.m_steps) {
        if (!step.m_depends_on.empty()) {
            continue;
        }
        const auto required = resources_of(step, step.m_count);
        pool.m_free_cpu -= step.m_best_effort ? 0.0 : required.m_cpu;
        if (tenant != nullptr) {
            tenant->m_room -= required;
        }
    }
}

/// Returns the longest wait with which the job is admitted.
milliseconds longest_wait(const tenant_job& submitted, const tenant_decision& decision)
{
    const auto chain = longest_chain(*submitted.m_spec);
    const auto useful = useful_time(chain, *submitted.m_queue);
    if (decision.m_overloaded) {
        return latest_start(useful, chain);
    }
    const bool allows_errors = !submitted.m_excess && decision.m_cause == wait_cause::pool;
    const auto trust = allows_errors ? optimistic_estimate_factor : 1.0;
    const auto end_ms = static_cast<double>(useful.count()) / trust;
    // A job that could not be useful without any wait is no worse for a short one.
    const auto wait_ms = std::max(0.0, end_ms - static_cast<double>(chain.count()));
    return milliseconds{static_cast<std::int64_t>(std::min(wait_ms, max_wait_ms))};
}

} // namespace

tenant_decision decide_tenant_admission(const tenant_job& submitted, const fleet_outlook& fleet)
{
    tenant_decision decision;
    const auto pool = fleet.m_pools.find(submitted.m_queue->m_pool);
    const auto& spec = *submitted.m_spec;
    if (pool == fleet.m_pools.end() || spec.m_recurrence || is_long_running(spec)) {
        return decision;
    }
    if (const auto* tenant = find_at_quota(fleet.m_tenants, submitted.m_tenant)) {
        estimate_quota_wait(submitted, fleet, *tenant, decision);
    }
    else if (has_waiting_tasks(pool->second)) {
        estimate_pool_wait(submitted, fleet, pool->second, decision);
    }
    const auto longest = longest_wait(submitted, decision);
    if (decision.m_wait > longest) {
        decision.m_admitted = false;
        decision.m_retry_after = std::max(decision.m_retry_after, decision.m_wait - longest);
        return decision;
    }
    decision.m_retry_after = milliseconds{0};
    return decision;
}

std::string describe(const tenant_decision& decision)
{
    const auto share = decision.m_cause == wait_cause::quota ? "quota" : "share";
    const auto limited = decision.m_share < static_cast<double>(unlimited);
    return fmt::format("waits for the {}, own backlog {:.0f} core ms, {} {}, wait {} ms, retry "
                       "after {} ms",
                       decision.m_overloaded ? "overloaded pool" : to_string(decision.m_cause),
                       decision.m_own_backlog / millis_per_core, share,
                       limited ? fmt::format("{:.1f} cores", decision.m_share / millis_per_core)
                               : "of other resources",
                       decision.m_wait.count(), decision.m_retry_after.count());
}

void add_accepted(const tenant_job& accepted, pool_outlook& pool, tenant_outlooks& tenants_by_name)
{
    if (accepted.m_spec->m_recurrence) {
        // It may be due later; once it is due, it is measured.
        return;
    }
    const auto limited = tenants_by_name.find(accepted.m_tenant);
    take_ready_resources(*accepted.m_spec, pool,
                         limited == tenants_by_name.end() ? nullptr : &limited->second);
    auto& backlog = pool.m_backlog_by_tenant[accepted.m_queue->m_priority][accepted.m_tenant];
    const auto work = work_of(*accepted.m_spec);
    backlog.of(accepted.m_excess) += work;
    if (pool.m_served_rate > 0.0) {
        const auto chain = longest_chain(*accepted.m_spec);
        auto& ranked = backlog.ranked(accepted.m_excess);
        ranked.m_in_time.add(chain, work.m_cpu);
        ranked.m_accepted_rate.add(chain,
                                   work.m_cpu / static_cast<double>(overload_window.count()));
    }
    if (!accepted.m_excess) {
        pool.m_contracted_rate += work.m_cpu / static_cast<double>(contracted_averaging.count());
    }
}

} // namespace peridotrudder
