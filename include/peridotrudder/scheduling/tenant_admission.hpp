#pragma once

/// @file
/// Admission control where tenants share a pool.

#include "peridotrudder/scheduling/admission.hpp"
#include "peridotrudder/scheduling/tenant_outlook.hpp"
#include "peridotrudder/tenants/tenant_directory.hpp"

#include <map>
#include <string>

namespace peridotrudder {

/// A job that a tenant submits.
struct tenant_job {
    /// Empty for a job without a tenant.
    std::string m_tenant;
    bool m_excess{false};
    const job_spec* m_spec{nullptr};
    const queue_config* m_queue{nullptr};
};

/// What a decision is made by: the newest measurement, and the work accepted since.
struct fleet_outlook {
    const std::map<std::string, pool_outlook>& m_pools;
    const tenant_outlooks& m_tenants;
    const tenant_directory& m_directory;
};

/// What a job waits for.
enum class wait_cause { pool, quota };

template <>
struct enum_names<wait_cause> {
    static constexpr std::array<std::string_view, 2> values{"pool", "quota"};
};

struct tenant_decision {
    bool m_admitted{true};
    /// Estimated time until the job would be admitted; zero for an admitted job.
    milliseconds m_retry_after{0};
    /// Estimated time until the work that is served before the job has been started.
    milliseconds m_wait{0};
    wait_cause m_cause{wait_cause::pool};
    /// Judged by what the pool has achieved and what arrives, since it has been full for long.
    bool m_overloaded{false};
    /// The tenant's own work that is served before the job: CPU, in thousandths of a core times
    /// milliseconds.
    double m_own_backlog{0.0};
    /// CPU that the tenant gets as long as all tenants with such work have some, or its quota, in
    /// thousandths of a core.
    double m_share{0.0};
};

/// Decides whether to admit a job that has just arrived.
///
/// Estimates when it would complete if work is served by the queues' priorities, then contracted
/// before excess, then in weighted fair shares among tenants; a tenant at its quota is served at
/// the rate of its quota, behind its own work only. Rejects a job that would complete too late to
/// be useful, and none while no ready task waits for CPU in the pool, unless the tenant is at its
/// quota. Other tenants' excess work never delays a contracted job's estimate. Recurring and
/// long-running jobs are always admitted.
tenant_decision decide_tenant_admission(const tenant_job& submitted, const fleet_outlook& fleet);

/// Returns what the decision was made by, for log lines.
std::string describe(const tenant_decision& decision);

/// Adds an accepted short job to the outlooks of its pool and tenant, until the next measurement.
void add_accepted(const tenant_job& accepted, pool_outlook& pool, tenant_outlooks& tenants);

} // namespace peridotrudder
