#pragma once

/// @file
/// The order in which waiting jobs are placed.

#include "peridotrudder/jobs/job.hpp"
#include "peridotrudder/scheduling/pool_config.hpp"

#include <cstdint>
#include <string>
#include <tuple>

namespace peridotrudder {

/// Whether a job can still meet its latency objective.
enum class punctuality {
    /// It can still end within its objective.
    in_time,
    /// It can end within three times its objective.
    late,
    /// It would end too late to be useful.
    useless,
};

/// Deadlines of a job, in Unix milliseconds.
struct job_limits {
    std::int64_t m_objective_ms{0};
    std::int64_t m_useful_until_ms{0};
};

/// Returns the time after a job's arrival within which it can end in time. `chain` is the run time
/// of its longest chain of steps.
milliseconds objective_time(milliseconds chain, const queue_config& queue);

/// Returns the time after a job's arrival within which its result is useful. `chain` is the run
/// time of its longest chain of steps.
milliseconds useful_time(milliseconds chain, const queue_config& queue);

/// Returns the time of the job's objective and the time until which its result is useful.
job_limits limits_of(const job_header& header, const queue_config& queue);

/// Returns the estimated run time of the longest chain of steps that are not done.
milliseconds remaining_chain(const job& source, std::uint32_t occurrence);

/// Returns the least run time that a declared one stands for: declared run times are rough, and a
/// job counts as late only if even this would be too long.
milliseconds optimistic(milliseconds declared);

/// Returns the punctuality that the job can still reach if its next tasks start now.
punctuality punctuality_of(const job& source, const job_limits& limits, std::int64_t now_ms);

/// Sort key of the waiting jobs of a pool; lower ranks are placed first.
///
/// The order matters when a queue asks for more than its pool holds. Long-running jobs come first,
/// since they are useful all the time; then jobs by priority; then jobs that can still be in time.
/// A job that is already late does not delay one that is not. Among jobs that can be in time, the
/// one with the least run time left comes first: in the order of their objectives, all jobs of an
/// overload start when too little time is left.
struct job_rank {
    /// False for long-running jobs.
    bool m_finite{false};
    std::uint32_t m_priority{0};
    punctuality m_punctuality{punctuality::in_time};
    /// Estimated run time of the longest chain of steps that are not done.
    milliseconds m_remaining_chain{0};
    std::int64_t m_objective_ms{0};
    std::string m_id;
};

inline bool operator<(const job_rank& left, const job_rank& right)
{
    return std::tie(left.m_finite, left.m_priority, left.m_punctuality, left.m_remaining_chain,
                    left.m_objective_ms, left.m_id) <
           std::tie(right.m_finite, right.m_priority, right.m_punctuality, right.m_remaining_chain,
                    right.m_objective_ms, right.m_id);
}

job_rank rank_job(const job& source, const queue_config& queue, std::int64_t now_ms);

} // namespace peridotrudder
