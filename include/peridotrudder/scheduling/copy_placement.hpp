#pragma once

/// @file
/// Starts copies of late runs in capacity that no waiting task can use.

#include "peridotrudder/scheduling/placement.hpp"
#include "peridotrudder/scheduling/rack_placement.hpp"
#include "peridotrudder/scheduling/scheduler_state.hpp"
#include "peridotrudder/scheduling/task_copies.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace peridotrudder {

/// Judges the runs of speculative steps at intervals, and places the copies that
/// `scheduling/task_copies` decides on. Not thread-safe.
class copy_placement {
public:
    explicit copy_placement(scheduler_state& state) : m_state{&state}, m_racks{state} {}

    /// Notes that runs of the job may get copies.
    void note_start(const job& target, std::uint32_t step);

    void tick(time_point now);
    /// Returns whether runs are to be judged.
    bool due() const { return m_due; }

    using candidates_hook = std::function<std::vector<candidate>(const std::string& pool)>;

    /// Places copies once the waiting tasks were tried, unless that was not finished for the pool.
    /// Starts are sent only after they are recorded.
    void place_all(const candidates_hook& candidates_of, const std::set<std::string>& unfinished,
                   moment now);

private:
    struct judged_run {
        job* m_job{nullptr};
        const queue_config* m_queue{nullptr};
        task_ref m_ref;
        late_run m_run;
        std::size_t m_learned_runs{0};
    };

    /// Returns the late runs among those that this turn judges, by pool.
    std::map<std::string, std::vector<judged_run>> find_late_runs(moment now);
    /// Judges the runs of a job. Returns how many it has.
    std::size_t judge_job(job& target, const queue_config& queue, moment now,
                          std::vector<judged_run>& late) const;
    std::optional<judged_run> judge_run(job& target, const queue_config& queue, const task_ref& ref,
                                        moment now) const;
    void place_in_pool(const std::string& pool, std::vector<judged_run>& late,
                       std::vector<candidate>& candidates, moment now);
    /// Places a copy of the run, if a worker is worth it. Returns whether it did.
    bool place(const judged_run& judged, const waiting_sizes& waiting,
               std::vector<candidate>& candidates, moment now);
    void start(const judged_run& judged, const copy_place& place, candidate& chosen, moment now);
    waiting_sizes sizes_waiting_in(const std::string& pool, moment now);
    void add_waiting(const job& source, waiting_sizes& waiting, moment now);
    double slowness_of(const job& source, const task_ref& ref, const worker_session& session);

    scheduler_state* m_state;
    rack_placement m_racks;
    time_point m_judged_at;
    /// The job whose runs were judged last; empty if all were.
    std::string m_last_job;
    bool m_due{false};
};

/// Logs what became of a task's copy, if it had one before a run ended for this reason.
void log_copy_end(const scheduler_state& state, const run_key& key, const task& before,
                  std::uint32_t run, std::string_view reason);

} // namespace peridotrudder
