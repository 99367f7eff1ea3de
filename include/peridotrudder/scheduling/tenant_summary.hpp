#pragma once

/// @file
/// Usage, quotas and waiting jobs of tenants, for metrics.

#include "peridotrudder/scheduling/scheduler_state.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace peridotrudder {

/// State of one tenant, or the sum over several.
struct tenant_summary {
    /// Empty for the sum over all tenants without an entry of their own.
    std::string m_tenant;
    resources m_used;
    /// Zero for no limit; tenants without a limit add nothing to a sum.
    resources m_quota;
    /// Active jobs that may have tasks to start.
    std::size_t m_waiting_jobs{0};
};

/// Returns the configured tenants with the largest weights, at most `count`, and the sum over the
/// others if there are any. Empty without tenants.
std::vector<tenant_summary> summarize_tenants(const scheduler_state& state, std::size_t count);

} // namespace peridotrudder
