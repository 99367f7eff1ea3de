#pragma once

/// @file
/// Moves VMs between pools and takes them down for maintenance.

#include "peridotrudder/ownership/log_port.hpp"
#include "peridotrudder/planning/vm_control.hpp"
#include "peridotrudder/scheduling/job_scheduler.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace peridotrudder {

struct planner_options {
    /// Pause between readings of the VM list.
    milliseconds m_list_interval{500};
    /// After a change of owner no VM is ordered for so long: two holders that order the same VM in
    /// turn would undo each other's work.
    milliseconds m_takeover_pause{3'000};
};

class fleet_planner {
public:
    static std::unique_ptr<fleet_planner> create(planner_options options, std::uint64_t fence,
                                                 time_point now);
    void restore(const std::vector<kept_record>& records) { static_cast<void>(records); }
    void declare(declared_wave wave, std::string key, moment now)
    {
        static_cast<void>(wave);
        static_cast<void>(key);
        static_cast<void>(now);
    }
    void tick(job_scheduler& scheduler, const vm_port& port, moment now)
    {
        static_cast<void>(scheduler);
        static_cast<void>(port);
        static_cast<void>(now);
    }
};

} // namespace peridotrudder
