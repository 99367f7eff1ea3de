#include "peridotrudder/tenants/tenant_directory.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peridotrudder {

namespace {

/// Limits of a weight, so that quotients of weights stay finite.
constexpr double min_weight = 1e-6;
constexpr double max_weight = 1e6;
constexpr double weight_without_tenant = 1.0;

double smallest_weight(const std::vector<tenant_config>& tenants)
{
    double smallest = 0.0;
    for (const auto& tenant : tenants) {
        // False for NaN as well.
        if (tenant.m_weight > 0.0) {
            smallest = smallest > 0.0 ? std::min(smallest, tenant.m_weight) : tenant.m_weight;
        }
    }
    return smallest > 0.0 ? std::clamp(smallest, min_weight, max_weight) : 1.0;
}

} // namespace

tenant_directory tenant_directory::create(std::vector<tenant_config> tenants)
{
    tenant_directory directory;
    directory.m_enabled = true;
    for (auto& tenant : tenants) {
        directory.add(std::move(tenant));
    }
    directory.m_smallest_weight = smallest_weight(directory.m_tenants);
    return directory;
}

void tenant_directory::add(tenant_config tenant)
{
    const auto [named, is_new] = m_by_name.emplace(tenant.m_name, m_tenants.size());
    const auto position = named->second;
    for (const auto& digest : tenant.m_key_digests) {
        m_by_key.emplace(digest, position);
    }
    if (is_new) {
        m_tenants.push_back(std::move(tenant));
        return;
    }
    m_repeated_names.insert(tenant.m_name);
    auto& digests = m_tenants[position].m_key_digests;
    digests.insert(digests.end(), tenant.m_key_digests.begin(), tenant.m_key_digests.end());
}

const tenant_config* tenant_directory::find_by_key(std::string_view digest) const
{
    return find_in(m_by_key, digest);
}

const tenant_config* tenant_directory::find(std::string_view name) const
{
    return find_in(m_by_name, name);
}

double tenant_directory::share_weight(std::string_view name) const
{
    if (name.empty()) {
        return weight_without_tenant;
    }
    const auto* tenant = find(name);
    const bool has_weight = tenant != nullptr && tenant->m_weight > 0.0;
    return has_weight ? std::clamp(tenant->m_weight, min_weight, max_weight) : m_smallest_weight;
}

std::set<std::string, std::less<>> tenant_directory::largest(std::size_t count) const
{
    std::vector<std::pair<double, std::string_view>> ranked;
    for (const auto& tenant : m_tenants) {
        // NaN cannot be compared.
        ranked.emplace_back(tenant.m_weight > 0.0 ? tenant.m_weight : 0.0, tenant.m_name);
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) {
        return std::tie(right.first, left.second) < std::tie(left.first, right.second);
    });
    std::set<std::string, std::less<>> names;
    for (const auto& [weight, name] : ranked) {
        if (names.size() == count) {
            break;
        }
        names.emplace(name);
    }
    return names;
}

const tenant_config* tenant_directory::find_in(const index& positions, std::string_view key) const
{
    const auto found = positions.find(key);
    return found == positions.end() ? nullptr : &m_tenants[found->second];
}

} // namespace peridotrudder
