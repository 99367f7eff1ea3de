#pragma once

/// @file
/// Names runs that their tasks no longer have in the records of their jobs, while they may last.

#include "peridotrudder/scheduling/scheduler_state.hpp"

#include <deque>
#include <set>
#include <string>

namespace peridotrudder {

/// Lets the records of tenants' jobs tell a successor of runs that count against a quota though
/// their tasks no longer have them, and writes the records again without them once they are
/// certainly over. Not thread-safe.
class leftover_runs {
public:
    explicit leftover_runs(scheduler_state& state) : m_state{&state} {}

    /// Lets the job's next record name a run. `settled` tells that its start is not open.
    void note(const run_key& key, std::uint32_t run, const std::string& worker, bool settled,
              moment now);
    /// Watches the runs that a predecessor has left in the job's record.
    void adopted(const std::string& job_id, time_point now);
    /// Lets the next records of the changed jobs no longer name runs that are certainly over.
    void drop_from_changed(time_point now);
    /// Marks the jobs as changed whose records name runs that are certainly over by now.
    void tick(time_point now);

private:
    struct check {
        time_point m_due;
        std::string m_job;
    };

    /// Returns whether a worker's session still has the run.
    bool is_known(const std::string& job_id, const leftover_run& leftover);
    /// Returns whether a run was dropped from what the job's next record names.
    bool drop_from(job& target, time_point now);
    void watch(const std::string& job_id, time_point now);

    scheduler_state* m_state;
    /// In the order of their times, as all are due after the same delay.
    std::deque<check> m_checks;
    /// Jobs that have a check.
    std::set<std::string> m_watched;
};

} // namespace peridotrudder
