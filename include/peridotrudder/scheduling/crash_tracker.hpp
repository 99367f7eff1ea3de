#pragma once

/// @file
/// Counts the crashes of workers against the tasks that may have caused them.

#include "peridotrudder/scheduling/crash_suspects.hpp"
#include "peridotrudder/scheduling/scheduler_state.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace peridotrudder {

/// A run under which a worker crashed, and which may be the cause.
struct crash_suspect {
    run_key m_key;
    crash_evidence m_evidence{crash_evidence::none};
    /// The run was a trial of the task.
    bool m_on_trial{false};
    /// From the start to the worker's last answer; absent if a predecessor sent the start.
    std::optional<milliseconds> m_heard_after_start;
};

/// Keeps the weight of crashes in the records of jobs. Not thread-safe.
class crash_tracker {
public:
    explicit crash_tracker(scheduler_state& state) : m_state{&state} {}

    /// Returns those of the runs that may have crashed their worker, which was last heard of at
    /// `last_heard_at`. None if the worker was expected to end.
    std::vector<crash_suspect> suspects(worker_session& session, const std::vector<run_key>& keys,
                                        time_point last_heard_at) const;
    /// Holds the crash of a run's worker against the task, and gives the task up at the limit.
    /// Returns whether its job failed by that.
    bool blame(const crash_suspect& suspect, const worker_instance& instance,
               std::string_view reason, moment now);
    /// Forgets the crashes of tasks whose present worker has survived their start.
    void clear_survivors(worker_session& session);

private:
    scheduler_state* m_state;
};

} // namespace peridotrudder
