#include "peridotrudder/tenants/tenant_directory.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peridotrudder {

tenant_directory tenant_directory::create(std::vector<tenant_config> tenants)
{
    tenant_directory directory;
    directory.m_enabled = true;
    directory.m_tenants = std::move(tenants);
    for (std::size_t position = 0; position < directory.m_tenants.size(); ++position) {
        const auto& tenant = directory.m_tenants[position];
        directory.m_by_name.emplace(tenant.m_name, position);
        for (const auto& digest : tenant.m_key_digests) {
            directory.m_by_key.emplace(digest, position);
        }
    }
    return directory;
}

const tenant_config* tenant_directory::find_by_key(std::string_view digest) const
{
    return find_in(m_by_key, digest);
}

const tenant_config* tenant_directory::find(std::string_view name) const
{
    return find_in(m_by_name, name);
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
