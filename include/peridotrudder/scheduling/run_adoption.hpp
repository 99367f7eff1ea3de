#pragma once

/// @file
/// Takes over the runs of a previous owner.

#include "peridotrudder/scheduling/scheduler_state.hpp"

namespace peridotrudder {

/// Adopts the runs that the job records place on workers, as runs whose state is uncertain,
/// whichever incarnations of the workers are listed.
void adopt_recorded_runs(scheduler_state& state, moment now);

} // namespace peridotrudder
