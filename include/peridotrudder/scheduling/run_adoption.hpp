#pragma once

/// @file
/// Takes over the runs of a previous owner.

#include "peridotrudder/scheduling/scheduler_state.hpp"

#include <optional>
#include <string>

namespace peridotrudder {

/// Adopts the runs that the job records place on workers, as runs whose state is uncertain,
/// whichever incarnations of the workers are listed. Goes through the jobs in steps of bounded
/// size; no job may be added or removed between them.
class run_adoption {
public:
    /// Adopts the runs of the next job. Returns the job, or null once all are adopted.
    const job* adopt_next(scheduler_state& state, moment now);
    /// Returns whether all runs are adopted.
    bool complete() const { return m_complete; }

private:
    /// The last job whose runs are adopted.
    std::optional<std::string> m_last_job;
    bool m_complete{false};
};

} // namespace peridotrudder
