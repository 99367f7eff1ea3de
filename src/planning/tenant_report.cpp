#include "peridotrudder/planning/tenant_report.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace peridotrudder {

namespace {

constexpr double millis_per_core = 1'000.0;

struct tenant_line {
    double m_backlog{0.0};
    std::string m_detail;
};

using tenant_lines = std::map<std::string, tenant_line>;

bool is_at_quota(const tenant_outlooks& outlooks, const std::string& tenant)
{
    const auto found = outlooks.find(tenant);
    return found != outlooks.end() && found->second.m_at_quota;
}

std::string amount_or_none(std::int64_t amount)
{
    return amount == unlimited ? "any" : std::to_string(amount);
}

void add_pool(const std::string& pool, const pool_load& load, const tenant_outlooks& outlooks,
              tenant_lines& lines)
{
    tenant_backlogs all_priorities;
    for (const auto& [priority, tenants] : load.m_backlog_by_tenant) {
        for (const auto& [name, backlog] : tenants) {
            all_priorities[name].m_contracted += backlog.m_contracted;
            all_priorities[name].m_excess += backlog.m_excess;
        }
    }
    for (const auto& [name, backlog] : all_priorities) {
        const auto total = backlog.m_contracted.m_cpu + backlog.m_excess.m_cpu;
        const bool waits = load.m_waiting > 0 || is_at_quota(outlooks, name);
        if (name.empty() || total <= 0.0 || !waits) {
            continue;
        }
        auto& line = lines[name];
        line.m_backlog += total;
        line.m_detail += fmt::format("{}{}: {:.0f} core ms contracted, {:.0f} excess",
                                     line.m_detail.empty() ? "" : "; ", pool,
                                     backlog.m_contracted.m_cpu / millis_per_core,
                                     backlog.m_excess.m_cpu / millis_per_core);
    }
}

} // namespace

std::vector<waiting_tenant> waiting_tenants(const std::map<std::string, pool_load>& loads,
                                            const tenant_outlooks& outlooks, std::size_t most)
{
    tenant_lines lines;
    for (const auto& [pool, load] : loads) {
        add_pool(pool, load, outlooks, lines);
    }
    std::vector<std::pair<std::string, tenant_line>> ranked{lines.begin(), lines.end()};
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) {
        return left.second.m_backlog > right.second.m_backlog;
    });
    ranked.resize(std::min(ranked.size(), most));
    std::vector<waiting_tenant> waiting;
    for (auto& [name, line] : ranked) {
        if (is_at_quota(outlooks, name)) {
            const auto& quota = outlooks.find(name)->second.m_quota;
            line.m_detail +=
                fmt::format("; at its quota, which leaves short tasks {} thousandths "
                            "of a core, {} MB, {} accelerators",
                            amount_or_none(quota.m_cpu_millis), amount_or_none(quota.m_memory_mb),
                            amount_or_none(quota.m_accelerators));
        }
        waiting.push_back({name, std::move(line.m_detail)});
    }
    return waiting;
}

} // namespace peridotrudder
