#pragma once

/// @file
/// The tenants of one version of the configuration.

#include "peridotrudder/tenants/tenant_config.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace peridotrudder {

/// Finds tenants by name and by the digest of a key. Immutable.
///
/// A default-constructed directory is that of a configuration without tenants: calls need no keys,
/// and no quotas or shares apply.
class tenant_directory {
public:
    tenant_directory() = default;

    /// Returns a directory that is enabled, also if `tenants` is empty: then no key is valid. If
    /// two tenants have a key in common, it is the first one's. Entries with the same name are one
    /// tenant with the keys of all, so that no valid key is refused, and with the weight and quota
    /// of the first.
    static tenant_directory create(std::vector<tenant_config> tenants);

    /// Returns whether the configuration has tenants.
    bool enabled() const { return m_enabled; }
    const std::vector<tenant_config>& tenants() const { return m_tenants; }
    /// Returns the names that more than one entry of the configuration has.
    const std::set<std::string, std::less<>>& repeated_names() const { return m_repeated_names; }
    /// Returns the tenant with the key, or null. Valid for the directory's lifetime.
    const tenant_config* find_by_key(std::string_view digest) const;
    /// Returns the tenant with the name, or null.
    const tenant_config* find(std::string_view name) const;
    /// Returns the tenant's weight when a pool is full, positive and finite. One that was removed
    /// or has no positive weight gets the smallest positive weight of the directory, all jobs
    /// without a tenant, under the empty name, together get 1.
    double share_weight(std::string_view name) const;
    /// Returns the names of the `count` tenants with the largest weights.
    std::set<std::string, std::less<>> largest(std::size_t count) const;

private:
    using index = std::map<std::string, std::size_t, std::less<>>;

    void add(tenant_config tenant);
    const tenant_config* find_in(const index& positions, std::string_view key) const;

    bool m_enabled{false};
    /// Of those that are positive; 1 if none is.
    double m_smallest_weight{1.0};
    std::vector<tenant_config> m_tenants;
    index m_by_key;
    index m_by_name;
    std::set<std::string, std::less<>> m_repeated_names;
};

} // namespace peridotrudder
