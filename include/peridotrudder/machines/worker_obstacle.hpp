#pragma once

/// @file
/// Reasons for which a task can't start on a worker.

#include "peridotrudder/base/enum_names.hpp"

#include <array>
#include <string_view>

namespace peridotrudder {

/// What keeps a task off a worker.
enum class worker_obstacle {
    none,
    /// Its VM is being drained for a move or for maintenance.
    leaving,
    unlisted,
    unknown_capacity,
    /// It has not confirmed this owner's fencing token, or not since it was seen down.
    unconfirmed,
    restart_suspected,
    draining,
    /// It missed its last hold.
    silent,
    /// It has rejected a start not long ago.
    held_back,
    label,
    cpu,
    memory,
    accelerators,
    /// It has not survived the trial of a task yet, or is kept for one.
    trial,
    unhealthy,
    max_per_worker,
    ticket,
    /// A task on trial starts only where no other task just has.
    recent_start,
    /// As many starts as it may have at a time are not answered yet.
    pending_starts,
    /// It could take the task, which runs faster on another rack.
    other_rack,
};

template <>
struct enum_names<worker_obstacle> {
    static constexpr std::array<std::string_view, 20> values{"none",
                                                             "leaving",
                                                             "unlisted",
                                                             "unknown_capacity",
                                                             "unconfirmed",
                                                             "restart_suspected",
                                                             "draining",
                                                             "silent",
                                                             "held_back",
                                                             "label",
                                                             "cpu",
                                                             "memory",
                                                             "accelerators",
                                                             "trial",
                                                             "unhealthy",
                                                             "max_per_worker",
                                                             "ticket",
                                                             "recent_start",
                                                             "pending_starts",
                                                             "other_rack"};
};

} // namespace peridotrudder
