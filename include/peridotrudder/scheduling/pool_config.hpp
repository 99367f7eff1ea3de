#pragma once

/// @file
/// The operators' configuration of queues, pools and tenants.

#include "peridotrudder/jobs/queue_config.hpp"
#include "peridotrudder/tenants/tenant_directory.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotrudder {

/// A pool of VMs.
struct pool_config {
    std::string m_name;
    /// The VMs of this pool are switched off.
    bool m_spare{false};
    /// The pool's workers themselves reject tasks that do not fit.
    bool m_guards_capacity{false};
};

/// Longest submissions, in bytes. A limit without a value is set by the nodes' settings only.
struct submission_limits {
    std::optional<std::size_t> m_max_body_bytes;
    /// Request line and headers.
    std::optional<std::size_t> m_max_header_bytes;
    /// The configuration has the limit with a value that can't be used.
    bool m_is_body_unusable{false};
    bool m_is_header_unusable{false};
};

/// One version of the configuration. Its lookups do not become slower with the number of queues,
/// which may be thousands.
class fleet_config {
public:
    static fleet_config create(std::uint64_t version, std::vector<queue_config> queues,
                               std::vector<pool_config> pools, tenant_directory tenants = {});

    std::uint64_t version() const { return m_version; }
    const std::vector<queue_config>& queues() const { return m_queues; }
    const std::vector<pool_config>& pools() const { return m_pools; }
    const tenant_directory& tenants() const { return m_tenants; }
    const submission_limits& limits() const { return m_limits; }
    void set_limits(const submission_limits& limits) { m_limits = limits; }
    /// Returns the queue with the host and the longest prefix that the path begins with, or null.
    const queue_config* match(std::string_view host, std::string_view path) const;
    const queue_config* find_queue(std::string_view key) const;
    const pool_config* find_pool(std::string_view name) const;

private:
    using queue_index = std::map<std::string, std::size_t, std::less<>>;

    std::uint64_t m_version{0};
    std::vector<queue_config> m_queues;
    /// Positions of the queues by host, then prefix, and by key.
    std::map<std::string, queue_index, std::less<>> m_by_host;
    queue_index m_by_key;
    std::vector<pool_config> m_pools;
    tenant_directory m_tenants;
    submission_limits m_limits;
};

} // namespace peridotrudder
