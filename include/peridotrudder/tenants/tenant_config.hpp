#pragma once

/// @file
/// Configuration of a tenant.

#include "peridotrudder/jobs/job_spec.hpp"

#include <string>
#include <vector>

namespace peridotrudder {

/// A tenant that shares the fleet with others.
struct tenant_config {
    std::string m_name;
    /// SHA-256 digests of the keys that the tenant's calls carry.
    std::vector<std::string> m_key_digests;
    /// Jobs a second that are contracted, and the tenant's weight in a full pool.
    double m_weight{0.0};
    /// Most that the tenant's tasks may reserve on all workers together; zero for no limit.
    resources m_quota;
};

} // namespace peridotrudder
