#pragma once

/// @file
/// What a placement pass decides about one task.

#include "peridotrudder/machines/worker_session.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace peridotrudder {

/// What a pass decided about a task when it last came to it.
enum class task_outcome {
    /// The pass did not come to the task.
    not_reached,
    starts,
    /// Its tenant's quota does not allow the start.
    quota,
    /// It waits for its rack rather than start elsewhere.
    rack,
    /// No worker with room has a ticket.
    ticket,
    no_room,
    /// A worker still has a run of the task that it is to stop.
    stopping,
    /// It waits for a trial of its own, or of another task of its step.
    trial,
    /// Another member of its gang still has a run.
    gang,
};

/// A worker of the pool when the pass came to the task.
struct probed_worker {
    std::string m_id;
    std::string m_rack;
    resources m_capacity;
    resources m_room;
    bool m_unhealthy{false};
    worker_obstacle m_obstacle{worker_obstacle::none};
};

/// What is expected of a wait for a rack.
struct expected_rack_wait {
    std::string m_rack;
    /// Time until the task finds room there; absent if no worker of the rack is live.
    std::optional<milliseconds> m_place_in;
    /// Time after which the task no longer waits.
    milliseconds m_at_most{0};
};

/// Records what a pass decides about one task. The pass decides as without it.
struct placement_probe {
    run_key m_key;
    std::string m_pool;
    task_outcome m_outcome{task_outcome::not_reached};
    /// Where the task starts; for a gang, the worker of its first member.
    std::string m_worker;
    std::string m_preferred_rack;
    std::vector<probed_worker> m_workers;
    std::optional<expected_rack_wait> m_rack_wait;
    /// A worker could have taken the task when the pass began.
    bool m_had_room{false};
    /// Tasks that the pass started in the pool before it came to the task.
    std::size_t m_starts_before{0};
};

} // namespace peridotrudder
