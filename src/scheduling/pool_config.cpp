#include "peridotrudder/scheduling/pool_config.hpp"

#include <algorithm>
#include <iterator>

namespace peridotrudder {

fleet_config fleet_config::create(std::uint64_t version, std::vector<queue_config> queues,
                                  std::vector<pool_config> pools, tenant_directory tenants)
{
    fleet_config config;
    config.m_version = version;
    config.m_queues = std::move(queues);
    for (std::size_t position = 0; position < config.m_queues.size(); ++position) {
        const auto& queue = config.m_queues[position];
        config.m_by_host[queue.m_host].emplace(queue.m_prefix, position);
        config.m_by_key.emplace(queue_key(queue), position);
    }
    config.m_pools = std::move(pools);
    config.m_tenants = std::move(tenants);
    return config;
}

const queue_config* fleet_config::match(std::string_view host, std::string_view path) const
{
    const auto prefixes = m_by_host.find(host);
    if (prefixes == m_by_host.end()) {
        return nullptr;
    }
    // A prefix of the path sorts before it. If the last one that does is no prefix itself, what it
    // has in common with the path limits the length of all others.
    auto limit = path;
    while (true) {
        const auto after = prefixes->second.upper_bound(limit);
        if (after == prefixes->second.begin()) {
            return nullptr;
        }
        const auto& [prefix, position] = *std::prev(after);
        if (path.substr(0, prefix.size()) == prefix) {
            return &m_queues[position];
        }
        const auto common = std::mismatch(limit.begin(), limit.end(), prefix.begin(), prefix.end());
        limit = limit.substr(0, static_cast<std::size_t>(common.first - limit.begin()));
    }
}

const queue_config* fleet_config::find_queue(std::string_view key) const
{
    const auto found = m_by_key.find(key);
    return found == m_by_key.end() ? nullptr : &m_queues[found->second];
}

const pool_config* fleet_config::find_pool(std::string_view name) const
{
    for (const auto& pool : m_pools) {
        if (pool.m_name == name) {
            return &pool;
        }
    }
    return nullptr;
}

} // namespace peridotrudder
