#pragma once

/// @file
/// What tenants wait for, for the log.

#include "peridotrudder/planning/pool_load.hpp"
#include "peridotrudder/scheduling/tenant_outlook.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace peridotrudder {

struct waiting_tenant {
    std::string m_tenant;
    /// Backlog in each pool where its tasks wait, and its quota if that holds them back.
    std::string m_detail;
};

/// Returns the tenants with backlog in a pool where ready tasks wait, or whose quota holds tasks
/// back: the `most` ones with the largest backlogs, largest first.
std::vector<waiting_tenant> waiting_tenants(const std::map<std::string, pool_load>& loads,
                                            const tenant_outlooks& outlooks, std::size_t most);

} // namespace peridotrudder
