#pragma once

/// @file
/// Counts the crashes of workers against the tasks that may have caused them.

#include "peridotrudder/scheduling/crash_suspects.hpp"
#include "peridotrudder/scheduling/scheduler_state.hpp"

#include <deque>
#include <optional>
#include <string_view>
#include <vector>

namespace peridotrudder {

/// A run under which a worker crashed, and which may be the cause.
struct crash_suspect {
    run_key m_key;
    crash_evidence m_evidence{crash_evidence::none};
    /// The run was a trial of the task, and no workers crash by other causes.
    bool m_on_trial{false};
    /// From the start to the worker's last answer; absent if a predecessor sent the start.
    std::optional<milliseconds> m_heard_after_start;
};

/// Keeps the weight of crashes in the records of jobs. Not thread-safe.
class crash_tracker {
public:
    explicit crash_tracker(scheduler_state& state) : m_state{&state} {}

    /// Returns those of the runs that may have crashed their worker, which was last heard of at
    /// `last_heard_at`, or is only believed to have ended. None if that was expected.
    std::vector<crash_suspect> suspects(worker_session& session, const std::vector<run_key>& keys,
                                        time_point last_heard_at, bool crash_is_certain,
                                        time_point now);
    /// Holds the crash of a run's worker against the task, and gives the task up at the limit.
    /// Returns whether its job failed by that.
    bool blame(const crash_suspect& suspect, const worker_instance& instance,
               std::string_view reason, moment now);
    /// Ends the trials of runs whose worker has survived their start.
    void clear_survivors(worker_session& session);

private:
    /// A crash without a run that had begun shortly before.
    struct unexplained_crash {
        time_point m_at;
        std::vector<run_key> m_runs;
    };

    /// Returns whether the task's job may be given up now.
    bool may_give_up(const run_key& key);
    /// Drops crashes that say nothing any more.
    void forget_old_crashes(time_point now);
    /// Returns whether a worker without this run crashed of late, and no start explains that.
    bool crashes_elsewhere(const run_key& key, time_point now);

    scheduler_state* m_state;
    std::deque<unexplained_crash> m_unexplained;
};

} // namespace peridotrudder
