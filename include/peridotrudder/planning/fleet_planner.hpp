#pragma once

/// @file
/// Moves VMs between pools and takes them down for maintenance.

#include "peridotrudder/planning/pool_demand.hpp"
#include "peridotrudder/planning/vm_fleet.hpp"
#include "peridotrudder/planning/wave_tracker.hpp"
#include "peridotrudder/scheduling/job_scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotrudder {

struct planner_options {
    vm_fleet_options m_fleet;
    /// Pause between plans.
    milliseconds m_plan_interval{100};
    /// A VM that its pool does not need is moved once it has been idle for so long.
    milliseconds m_idle_before_move{700};
    /// One is switched off once it has been idle for so long: moving it back costs about as much.
    milliseconds m_idle_before_off{1'200};
    /// Time that a VM needs to change its pool, and for its maintenance.
    milliseconds m_move_time{1'500};
    milliseconds m_maintenance_time{2'000};
    /// Until a run that a predecessor told to stop has ended, it is listed as at work: so long
    /// after a take-over no long-running task is moved. Longer than a stop takes, and its way.
    milliseconds m_settle_time{1'000};
};

/// How the planner reaches the world.
struct planner_ports {
    loop_port m_loop;
    vm_port m_vms;
    /// Tells operators the state of a wave, by the key of its records.
    std::function<void(const std::string& key, bool completed)> m_tell_wave;
    std::function<void(const decision&)> m_decided;
};

/// Plans for all pools of an owner.
///
/// A VM is ordered away only when nothing runs on it; until then its worker gets no new work and
/// its long-running tasks are moved, never more of a step at once than may be missing. Not
/// thread-safe; runs on the loop.
class fleet_planner {
public:
    static std::unique_ptr<fleet_planner> create(planner_options options, std::uint64_t fence,
                                                 planner_ports ports);

    /// Takes what a predecessor recorded: the progress of waves, and the VMs that it ordered.
    void restore(const std::vector<keyed_record>& records, moment now);
    void declare(declared_wave wave, const std::string& key, moment now);
    void tick(job_scheduler& scheduler, moment now);
    /// Returns records to be written; `written` is to be called when they are.
    std::vector<keyed_record> take_changes();
    /// Sends the orders whose records are written.
    void written() { m_fleet->written(); }

private:
    fleet_planner(planner_options options, std::uint64_t fence, planner_ports ports);

    vm_fleet_hooks make_fleet_hooks();
    void note_returned(time_point asked_at);
    void note_ended(const vm_order& order, vm_result result);
    void note_idle(const scheduler_state& state, time_point now);
    void note_lost_workers(job_scheduler& scheduler);
    void plan_waves(job_scheduler& scheduler, moment now);
    void plan_wave(wave_state& wave, job_scheduler& scheduler, moment now);
    void plan_pools(job_scheduler& scheduler, moment now);
    /// Tells the scheduler what each pool has to do and what it can do, VMs that can follow
    /// included.
    void tell_outlooks(job_scheduler& scheduler, const std::map<std::string, pool_load>& loads,
                       time_point now);
    void report(const scheduler_state& state, const std::map<std::string, pool_load>& loads);
    void move_to(const std::string& pool, std::uint32_t count, moment now);
    void release_idle(const std::string& pool, std::uint32_t count, moment now);
    void empty(planned_machine& machine, job_scheduler& scheduler, moment now);
    void mark_leaving(job_scheduler& scheduler);
    std::uint32_t supply_of(const std::string& pool, const scheduler_state& state) const;

    planner_options m_options;
    planner_ports m_ports;
    std::unique_ptr<vm_fleet> m_fleet;
    time_point m_planned_at;
    /// When this owner planned first.
    std::optional<time_point> m_began_at;
    time_point m_reported_at;
    std::map<std::string, std::uint32_t> m_wanted;
    std::string m_spare_pool;
    wave_tracker m_waves;
    pool_demand m_demand;
};

} // namespace peridotrudder
