#include "peridotrudder/scheduling/tenant_summary.hpp"

#include <algorithm>
#include <tuple>

namespace peridotrudder {

namespace {

std::map<std::string, std::size_t> count_waiting_jobs(const scheduler_state& state)
{
    std::map<std::string, std::size_t> counts;
    const auto& jobs = state.m_job_store.jobs();
    for (const auto& id : state.m_schedulable_jobs) {
        const auto found = jobs.find(id);
        const bool waits = found != jobs.end() && found->second.phase() == job_phase::active &&
                           found->second.header().m_tenant;
        if (waits) {
            ++counts[found->second.header().m_tenant->m_name];
        }
    }
    return counts;
}

std::vector<const tenant_config*> by_weight(const std::vector<tenant_config>& tenants)
{
    std::vector<const tenant_config*> sorted;
    sorted.reserve(tenants.size());
    for (const auto& tenant : tenants) {
        sorted.push_back(&tenant);
    }
    std::sort(sorted.begin(), sorted.end(), [](const auto* left, const auto* right) {
        return std::tuple{-left->m_weight, left->m_name} <
               std::tuple{-right->m_weight, right->m_name};
    });
    return sorted;
}

} // namespace

std::vector<tenant_summary> summarize_tenants(const scheduler_state& state, std::size_t count)
{
    std::vector<tenant_summary> summaries;
    const auto waiting = count_waiting_jobs(state);
    const auto& accounts = state.m_quotas.accounts();
    std::size_t position = 0;
    for (const auto* tenant : by_weight(state.m_config.tenants().tenants())) {
        if (position <= count) {
            summaries.push_back({position < count ? tenant->m_name : "", {}, {}, 0});
        }
        ++position;
        auto& summary = summaries.back();
        const auto account = accounts.find(tenant->m_name);
        if (account != accounts.end()) {
            summary.m_used = summary.m_used + account->second->m_used;
        }
        const auto jobs = waiting.find(tenant->m_name);
        summary.m_waiting_jobs += jobs == waiting.end() ? 0 : jobs->second;
        summary.m_quota = summary.m_quota + tenant->m_quota;
    }
    return summaries;
}

} // namespace peridotrudder
