#pragma once

/// @file
/// What the list of VMs tells of a worker that does not run.

namespace peridotrudder {

enum class vm_fate {
    /// Its VM is down: the worker may be back under its id, and then carry out a start that was not
    /// answered.
    down,
    /// Its VM was removed or has another worker: no worker has its id again.
    gone,
};

} // namespace peridotrudder
