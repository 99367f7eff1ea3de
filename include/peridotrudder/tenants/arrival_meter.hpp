#pragma once

/// @file
/// Tells contracted jobs of a tenant from excess ones.

#include "peridotrudder/base/clock.hpp"
#include "peridotrudder/jobs/job.hpp"
#include "peridotrudder/tenants/tenant_directory.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace peridotrudder {

/// A token bucket for each tenant, with a rate of `weight` jobs a second and a burst of two
/// seconds' worth, at least one job. A job that finds a token is contracted.
///
/// Asking takes no token; only an accepted job does. So a refused job costs its tenant nothing,
/// however often it is submitted, and a successor finds all that it needs in the jobs' records.
/// A tenant without a positive weight has no contracted jobs. Does no I/O and reads no clock; not
/// thread-safe.
class arrival_meter {
public:
    /// Returns the meter of an owner that begins with the recorded jobs. Jobs with a time in the
    /// future, by a predecessor's clock that was ahead, count as accepted now.
    static arrival_meter restore(const std::map<std::string, job, std::less<>>& jobs, moment now);

    /// Returns whether a job that the tenant submits now is contracted.
    bool is_contracted(const tenant_config& tenant, time_point now);
    /// Notes that a contracted job was accepted.
    void accept_contracted(const tenant_config& tenant, time_point now);
    /// Drops the tenants that are not in the directory.
    void retain(const tenant_directory& directory);

private:
    struct bucket {
        double m_tokens{0.0};
        time_point m_filled_at;
    };
    struct recorded_arrival {
        time_point m_at;
        bool m_excess{false};
    };

    bucket& filled_bucket(const tenant_config& tenant, time_point now);
    bucket replay(const tenant_config& tenant, time_point now);

    std::map<std::string, bucket> m_buckets;
    /// Recorded jobs of tenants that were not asked for yet, oldest first.
    std::map<std::string, std::vector<recorded_arrival>> m_recorded;
};

} // namespace peridotrudder
