#include "peridotrudder/scheduling/pool_config.hpp"

namespace peridotrudder {

fleet_config fleet_config::create(std::uint64_t version, std::vector<queue_config> queues,
                                  std::vector<pool_config> pools, tenant_directory tenants)
{
    fleet_config config;
    config.m_version = version;
    config.m_queues = std::move(queues);
    config.m_pools = std::move(pools);
    config.m_tenants = std::move(tenants);
    return config;
}

const queue_config* fleet_config::match(std::string_view host, std::string_view path) const
{
    const queue_config* longest = nullptr;
    for (const auto& queue : m_queues) {
        const bool has_prefix = path.substr(0, queue.m_prefix.size()) == queue.m_prefix;
        if (queue.m_host != host || !has_prefix) {
            continue;
        }
        if (longest == nullptr || queue.m_prefix.size() > longest->m_prefix.size()) {
            longest = &queue;
        }
    }
    return longest;
}

const queue_config* fleet_config::find_queue(std::string_view key) const
{
    for (const auto& queue : m_queues) {
        if (key.size() == queue.m_host.size() + queue.m_prefix.size() &&
            key.substr(0, queue.m_host.size()) == queue.m_host &&
            key.substr(queue.m_host.size()) == queue.m_prefix) {
            return &queue;
        }
    }
    return nullptr;
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
