#include "peridotrudder/planning/quota_demand.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace peridotrudder {

namespace {

std::int64_t limit_or_none(std::int64_t configured)
{
    return configured > 0 ? configured : unlimited;
}

bool is_limited(const resources& quota)
{
    return quota.m_cpu_millis > 0 || quota.m_memory_mb > 0 || quota.m_accelerators > 0;
}

std::int64_t left_of(std::int64_t limit, std::int64_t used)
{
    return limit == unlimited ? unlimited : std::max<std::int64_t>(limit - used, 0);
}

resources left_of(const resources& limit, const resources& used)
{
    return {left_of(limit.m_cpu_millis, used.m_cpu_millis),
            left_of(limit.m_memory_mb, used.m_memory_mb),
            left_of(limit.m_accelerators, used.m_accelerators)};
}

resources multiply(const resources& each, std::int64_t count)
{
    return {each.m_cpu_millis * count, each.m_memory_mb * count, each.m_accelerators * count};
}

/// Returns how many of `wanted` tasks fit.
std::int64_t count_that_fit(const resources& each, const resources& room, std::int64_t wanted)
{
    const auto fit_in = [wanted](std::int64_t required, std::int64_t available) {
        return required <= 0 ? wanted : std::min(wanted, available / required);
    };
    return std::min({fit_in(each.m_cpu_millis, room.m_cpu_millis),
                     fit_in(each.m_memory_mb, room.m_memory_mb),
                     fit_in(each.m_accelerators, room.m_accelerators)});
}

double room_beside(std::int64_t room, double ready)
{
    if (room == unlimited) {
        return unlimited_amount;
    }
    return std::max(static_cast<double>(room) - ready, 0.0);
}

work_amount room_beside(const resources& room, const work_amount& ready)
{
    return {room_beside(room.m_cpu_millis, ready.m_cpu),
            room_beside(room.m_memory_mb, ready.m_memory),
            room_beside(room.m_accelerators, ready.m_accelerators)};
}

/// An amount of each resource beside its limit.
using limited_amounts = std::array<std::pair<double, std::int64_t>, 3>;

limited_amounts pair_up(const work_amount& amount, const resources& limit)
{
    return {{{amount.m_cpu, limit.m_cpu_millis},
             {amount.m_memory, limit.m_memory_mb},
             {amount.m_accelerators, limit.m_accelerators}}};
}

} // namespace

quota_demand quota_demand::create(const tenant_directory& directory)
{
    quota_demand demand;
    for (const auto& configured : directory.tenants()) {
        if (!is_limited(configured.m_quota)) {
            continue;
        }
        limited_tenant tenant;
        tenant.m_quota = {limit_or_none(configured.m_quota.m_cpu_millis),
                          limit_or_none(configured.m_quota.m_memory_mb),
                          limit_or_none(configured.m_quota.m_accelerators)};
        demand.m_tenants.emplace(configured.m_name, std::move(tenant));
    }
    return demand;
}

bool quota_demand::limits(const job& active) const
{
    const auto& tenant = active.header().m_tenant;
    return !m_tenants.empty() && tenant && m_tenants.find(tenant->m_name) != m_tenants.end();
}

quota_demand::limited_tenant& quota_demand::tenant_of(const job& active)
{
    return m_tenants.find(active.header().m_tenant->m_name)->second;
}

pool_load& quota_demand::load_of(const job& active, const std::string& pool)
{
    return tenant_of(active).m_loads[pool];
}

void quota_demand::add_usage(const job& active)
{
    if (active.placed_tasks() == 0) {
        return;
    }
    auto& tenant = tenant_of(active);
    for (std::uint32_t occurrence = 0; occurrence < active.occurrences(); ++occurrence) {
        for (std::uint32_t index = 0; index < active.spec().m_steps.size(); ++index) {
            const auto& step = active.spec().m_steps[index];
            const auto count = active.placed(occurrence, index);
            const auto used = multiply(step.m_task_resources, count);
            tenant.m_used = tenant.m_used + used;
            if (step.m_long_running) {
                tenant.m_used_long_running = tenant.m_used_long_running + used;
                continue;
            }
            tenant.m_placed_work += work_of(step, count).m_cpu;
            tenant.m_placed_cpu += static_cast<double>(used.m_cpu_millis);
        }
    }
}

void quota_demand::add_long_running(const job& active, const std::string& pool)
{
    auto& tenant = tenant_of(active);
    auto& load = tenant.m_loads[pool];
    for (std::uint32_t index = 0; index < active.spec().m_steps.size(); ++index) {
        const auto& step = active.spec().m_steps[index];
        if (!step.m_long_running) {
            continue;
        }
        const auto waiting = std::int64_t{active.waiting(0, index)};
        const auto placed = std::int64_t{active.placed(0, index)};
        const auto startable = count_that_fit(step.m_task_resources, tenant.room(), waiting);
        tenant.m_room = left_of(tenant.m_room, multiply(step.m_task_resources, startable));
        const auto count = placed + startable;
        tenant.m_long_running = tenant.m_long_running + multiply(step.m_task_resources, count);
        load.m_long_running += step.m_best_effort ? 0 : step.m_task_resources.m_cpu_millis * count;
        const auto spread = step.m_max_per_worker == 0
                                ? std::min<std::int64_t>(count, 1)
                                : (count + step.m_max_per_worker - 1) / step.m_max_per_worker;
        load.m_spread_vms = std::max(load.m_spread_vms, static_cast<std::uint32_t>(spread));
    }
}

void quota_demand::add_short(const job& active, std::uint32_t occurrence, const std::string& pool)
{
    auto& tenant = tenant_of(active);
    tenant.m_loads[pool];
    for (std::uint32_t index = 0; index < active.spec().m_steps.size(); ++index) {
        const auto& step = active.spec().m_steps[index];
        const auto waiting = static_cast<double>(active.waiting(occurrence, index));
        tenant.m_waiting_work += work_of(step, waiting);
        if (active.unblocked(occurrence, index)) {
            tenant.m_ready += resources_of(step, waiting);
        }
    }
}

tenant_outlooks quota_demand::apply(std::map<std::string, pool_load>& loads) const
{
    tenant_outlooks outlooks;
    for (const auto& [name, tenant] : m_tenants) {
        double accepted = 0.0;
        for (const auto& [pool, own] : tenant.m_loads) {
            accepted += static_cast<double>(own.m_accepted);
        }
        const auto startable = tenant.startable_share();
        const auto usable = accepted <= 0.0 ? 1.0 : std::min(1.0, tenant.usable_cpu() / accepted);
        auto outlook = tenant.outlook();
        for (const auto& [pool, own] : tenant.m_loads) {
            auto& load = loads[pool];
            load.m_long_running += own.m_long_running;
            load.m_spread_vms = std::max(load.m_spread_vms, own.m_spread_vms);
            load.m_accepted +=
                static_cast<std::int64_t>(static_cast<double>(own.m_accepted) * usable);
            load.m_waiting +=
                static_cast<std::int64_t>(static_cast<double>(own.m_waiting) * startable);
            load.m_placed += own.m_placed;
            load.m_backlog += own.m_backlog;
            for (const auto& [priority, tenants] : own.m_backlog_by_tenant) {
                for (const auto& [backlog_of, backlog] : tenants) {
                    load.m_backlog_by_tenant[priority][backlog_of] = backlog;
                }
            }
            outlook.m_used_cpu[pool] = own.m_placed;
        }
        outlooks.emplace(name, std::move(outlook));
    }
    return outlooks;
}

double quota_demand::usable_share(std::string_view tenant, double rate) const
{
    const auto found = m_tenants.find(tenant);
    if (found == m_tenants.end() || rate <= 0.0) {
        return 1.0;
    }
    return std::min(1.0, found->second.usable_cpu() / rate);
}

const resources& quota_demand::limited_tenant::room()
{
    if (!m_room_known) {
        m_room = left_of_quota();
        m_room_known = true;
    }
    return m_room;
}

resources quota_demand::limited_tenant::left_of_quota() const
{
    return left_of(m_quota, m_used);
}

resources quota_demand::limited_tenant::short_quota() const
{
    return left_of(m_quota, m_long_running);
}

double quota_demand::limited_tenant::usable_cpu() const
{
    const auto quota = short_quota();
    double usable = quota.m_cpu_millis == unlimited ? std::numeric_limits<double>::infinity()
                                                    : static_cast<double>(quota.m_cpu_millis);
    for (const auto& [work, limit] : pair_up(m_waiting_work, quota)) {
        if (limit != unlimited && work > 0.0) {
            usable = std::min(usable, static_cast<double>(limit) * m_waiting_work.m_cpu / work);
        }
    }
    return usable;
}

double quota_demand::limited_tenant::startable_share() const
{
    const auto room = room_now();
    double share = 1.0;
    for (const auto& [ready, limit] : pair_up(m_ready, room)) {
        if (limit != unlimited && ready > static_cast<double>(limit)) {
            share = std::min(share, static_cast<double>(limit) / ready);
        }
    }
    return share;
}

milliseconds quota_demand::limited_tenant::until_within_quota() const
{
    const auto quota = short_quota();
    const auto used = m_used - m_used_long_running;
    const work_amount amounts{static_cast<double>(used.m_cpu_millis),
                              static_cast<double>(used.m_memory_mb),
                              static_cast<double>(used.m_accelerators)};
    double ending_share = 0.0;
    for (const auto& [amount, limit] : pair_up(amounts, quota)) {
        if (limit != unlimited && amount > static_cast<double>(limit)) {
            ending_share = std::max(ending_share, 1.0 - static_cast<double>(limit) / amount);
        }
    }
    // The runs have begun at different times, so their ends are spread over one run time.
    const auto run_ms = m_placed_cpu > 0.0 ? m_placed_work / m_placed_cpu : 0.0;
    return milliseconds{static_cast<std::int64_t>(run_ms * ending_share)};
}

tenant_outlook quota_demand::limited_tenant::outlook() const
{
    tenant_outlook outlook;
    outlook.m_at_quota = startable_share() < 1.0;
    outlook.m_room = room_beside(room_now(), m_ready);
    outlook.m_quota = short_quota();
    outlook.m_until_within_quota = until_within_quota();
    return outlook;
}

} // namespace peridotrudder
