#pragma once

/// @file
/// The order in which waiting work gets room.

#include "peridotrudder/jobs/job.hpp"
#include "peridotrudder/scheduling/pool_config.hpp"

#include <cstdint>
#include <string>
#include <tuple>

namespace peridotrudder {

/// What a job is worth by when it ends.
enum class punctuality {
    /// It can still end within its objective.
    in_time,
    /// It can end within three times its objective.
    late,
    /// Too late to be of use.
    useless,
};

/// Time limits of a job, in Unix milliseconds.
struct job_limits {
    std::int64_t m_objective_ms{0};
    std::int64_t m_useful_until_ms{0};
};

/// Returns for how long after a job's arrival its end is of use, by its longest chain.
milliseconds useful_time(milliseconds chain, const queue_config& queue);

/// Returns until when the job's end is in time, and of use at all.
job_limits limits_of(const job_header& header, const queue_config& queue);

/// Returns the estimated run time of the longest chain of steps that are not done.
milliseconds remaining_chain(const job& of, std::uint32_t occurrence);

/// Returns what the job can still be if its next tasks start now.
punctuality punctuality_of(const job& of, const job_limits& limits, std::int64_t now_ms);

/// Sorts waiting jobs of a pool; less is first.
///
/// Answers a turn in which a queue asks for more than its pool holds: long-running work first,
/// since it earns all the time; then by priority; then jobs that can still be in time, the most
/// urgent first. A job that is late already does not delay one that is not.
struct job_rank {
    bool m_ends{false};
    std::uint32_t m_priority{0};
    punctuality m_punctuality{punctuality::in_time};
    std::int64_t m_objective_ms{0};
    std::string m_id;
};

inline bool operator<(const job_rank& left, const job_rank& right)
{
    return std::tie(left.m_ends, left.m_priority, left.m_punctuality, left.m_objective_ms,
                    left.m_id) < std::tie(right.m_ends, right.m_priority, right.m_punctuality,
                                          right.m_objective_ms, right.m_id);
}

job_rank rank_job(const job& of, const queue_config& queue, std::int64_t now_ms);

} // namespace peridotrudder
