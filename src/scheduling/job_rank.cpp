#include "peridotrudder/scheduling/job_rank.hpp"

#include <algorithm>
#include <vector>

namespace peridotrudder {

namespace {

/// A result is useful up to this many times the objective after the job's arrival.
constexpr double useful_objective_factor = 3.0;
/// Declared run times are rough: a job counts as late only if even this fraction of its remaining
/// run time would be too long.
constexpr double optimistic_estimate_factor = 0.6;

} // namespace

namespace {

double objective_ms(milliseconds chain, const queue_config& queue)
{
    return queue.m_stretch * static_cast<double>(chain.count()) +
           static_cast<double>(queue.m_target.count());
}

} // namespace

milliseconds objective_time(milliseconds chain, const queue_config& queue)
{
    return milliseconds{static_cast<std::int64_t>(objective_ms(chain, queue))};
}

milliseconds useful_time(milliseconds chain, const queue_config& queue)
{
    return milliseconds{
        static_cast<std::int64_t>(objective_ms(chain, queue) * useful_objective_factor)};
}

job_limits limits_of(const job_header& header, const queue_config& queue)
{
    const auto chain = longest_chain(header.m_spec);
    return {header.m_accepted_ms + static_cast<std::int64_t>(objective_ms(chain, queue)),
            header.m_accepted_ms + useful_time(chain, queue).count()};
}

milliseconds remaining_chain(const job& source, std::uint32_t occurrence)
{
    milliseconds longest{0};
    const auto& steps = source.spec().m_steps;
    std::vector<milliseconds> finish(steps.size());
    for (std::uint32_t index = 0; index < steps.size(); ++index) {
        milliseconds start{0};
        for (const auto dependency : steps[index].m_depends_on) {
            start = std::max(start, finish[dependency]);
        }
        const bool open = source.open_tasks(occurrence, index) != 0;
        finish[index] = start + (open ? steps[index].m_estimate : milliseconds{0});
        longest = std::max(longest, finish[index]);
    }
    return longest;
}

milliseconds optimistic(milliseconds declared)
{
    return milliseconds{static_cast<std::int64_t>(static_cast<double>(declared.count()) *
                                                  optimistic_estimate_factor)};
}

punctuality punctuality_of(const job& source, const job_limits& limits, std::int64_t now_ms)
{
    const auto end_ms = now_ms + optimistic(remaining_chain(source, 0)).count();
    if (end_ms <= limits.m_objective_ms) {
        return punctuality::in_time;
    }
    return end_ms <= limits.m_useful_until_ms ? punctuality::late : punctuality::useless;
}

job_rank rank_job(const job& source, const queue_config& queue, std::int64_t now_ms)
{
    job_rank rank;
    rank.m_id = source.header().m_id;
    rank.m_priority = queue.m_priority;
    rank.m_finite = !is_long_running(source.spec());
    if (source.spec().m_recurrence) {
        rank.m_objective_ms = source.due_ms(0);
        return rank;
    }
    const auto limits = limits_of(source.header(), queue);
    rank.m_objective_ms = limits.m_objective_ms;
    if (rank.m_finite) {
        rank.m_remaining_chain = remaining_chain(source, 0);
        rank.m_punctuality = punctuality_of(source, limits, now_ms);
    }
    return rank;
}

} // namespace peridotrudder
