#include "peridotrudder/scheduling/pool_config.hpp"

namespace peridotrudder {

fleet_config fleet_config::create(std::uint64_t version, std::vector<queue_config> queues,
                                  std::vector<pool_config> pools)
{
    fleet_config made;
    made.m_version = version;
    made.m_queues = std::move(queues);
    made.m_pools = std::move(pools);
    return made;
}

const queue_config* fleet_config::match(std::string_view host, std::string_view path) const
{
    const queue_config* longest = nullptr;
    for (const auto& each : m_queues) {
        const bool begins = path.substr(0, each.m_prefix.size()) == each.m_prefix;
        if (each.m_host != host || !begins) {
            continue;
        }
        if (longest == nullptr || each.m_prefix.size() > longest->m_prefix.size()) {
            longest = &each;
        }
    }
    return longest;
}

const queue_config* fleet_config::find_queue(std::string_view key) const
{
    for (const auto& each : m_queues) {
        if (key.size() == each.m_host.size() + each.m_prefix.size() &&
            key.substr(0, each.m_host.size()) == each.m_host &&
            key.substr(each.m_host.size()) == each.m_prefix) {
            return &each;
        }
    }
    return nullptr;
}

const pool_config* fleet_config::find_pool(std::string_view name) const
{
    for (const auto& each : m_pools) {
        if (each.m_name == name) {
            return &each;
        }
    }
    return nullptr;
}

} // namespace peridotrudder
