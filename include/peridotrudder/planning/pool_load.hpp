#pragma once

/// @file
/// Processor demand of a pool.

#include "peridotrudder/scheduling/tenant_outlook.hpp"

#include <cstdint>

namespace peridotrudder {

/// Processor demand of one pool, in thousandths of a core unless stated otherwise.
struct pool_load {
    /// Reserved by long-running tasks, whether placed or not.
    std::int64_t m_long_running{0};
    /// Number of VMs that the long-running tasks need because of the limit on tasks of a step per
    /// worker.
    std::uint32_t m_spread_vms{0};
    /// Needed to finish the accepted jobs within their objectives.
    std::int64_t m_accepted{0};
    /// Rate of arriving work, a moving average over about a dozen jobs.
    std::int64_t m_arriving{0};
    /// Demand expected at the time when a VM that is ordered now serves.
    std::int64_t m_forecast{0};
    /// Needed by the short tasks that are ready to run and not placed.
    std::int64_t m_waiting{0};
    /// Reserved by the short tasks that are placed.
    std::int64_t m_placed{0};
    /// Estimated work of the tasks without a run, in thousandths of a core times milliseconds.
    /// Jobs that can no longer end in time to be useful don't count.
    double m_backlog{0.0};
    /// The backlog by priority and tenant; empty without tenants in the configuration.
    priority_backlogs m_backlog_by_tenant;
    /// Contracted work that is accepted, averaged over `contracted_averaging`.
    double m_contracted_rate{0.0};
    /// Estimated work of the jobs that complete, averaged over `overload_window`; zero unless tasks
    /// have waited in nearly all of that time.
    double m_served_rate{0.0};
};

} // namespace peridotrudder
