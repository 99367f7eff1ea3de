#pragma once

/// @file
/// Gives waiting tasks room on workers.

#include "peridotrudder/scheduling/job_rank.hpp"
#include "peridotrudder/scheduling/run_tracker.hpp"

#include <map>
#include <string>
#include <vector>

namespace peridotrudder {

/// One pass over all waiting work, pool by pool. Not thread-safe.
class task_placer {
public:
    explicit task_placer(scheduler_state& state) : m_state{&state} {}

    /// Places what has room. Starts are sent only after they are recorded.
    void place_all(moment now);

private:
    struct waiting_job {
        job_rank m_rank;
        job* m_job{nullptr};
        const queue_config* m_queue{nullptr};
    };

    std::map<std::string, std::vector<waiting_job>> collect(moment now);
    std::vector<candidate> candidates_of(const std::string& pool, time_point now);
    /// Returns whether all tasks that may start have been placed.
    bool place_job(const waiting_job& waiting, std::vector<candidate>& candidates, moment now);
    bool place_step(const waiting_job& waiting, std::uint32_t occurrence, std::uint32_t step,
                    std::vector<candidate>& candidates, moment now);
    bool place_gang(const waiting_job& waiting, std::uint32_t occurrence, std::uint32_t step,
                    std::vector<candidate>& candidates, moment now);
    placement_request make_placement_request(const waiting_job& waiting, const task_ref& ref) const;
    void place_task(job& of, const task_ref& ref, candidate& where, moment now);
    /// Logs the first placement of a job.
    void note_begun(const job& of, const std::string& worker, moment now) const;

    /// Asks for tickets where only they are missing.
    void want_tickets(const waiting_job& waiting, const placement_request& need,
                      const std::vector<candidate>& candidates, time_point now);
    bool is_refused(const step_spec& step) const;
    void note_refusal(const placement_request& need);

    scheduler_state* m_state;
    /// Sizes that found no room in the pool of this pass: nothing as large will either.
    std::vector<resources> m_refused;
};

} // namespace peridotrudder
