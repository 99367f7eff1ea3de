#pragma once

/// @file
/// What an accepted job costs its owner in memory.

#include "peridotrudder/jobs/job_spec.hpp"

#include <cstddef>

namespace peridotrudder {

/// Returns how many bytes a job with this specification takes at most until its tasks start.
std::size_t waiting_cost(const job_spec& spec);

} // namespace peridotrudder
