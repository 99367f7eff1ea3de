#include "peridotrudder/tenants/tenant_directory.hpp"

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

const tenant_config* tenant_directory::find_in(const index& positions, std::string_view key) const
{
    const auto found = positions.find(key);
    return found == positions.end() ? nullptr : &m_tenants[found->second];
}

} // namespace peridotrudder
