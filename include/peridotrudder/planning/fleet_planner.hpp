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

struct fleet_planner_options {
    vm_fleet_options m_fleet;
    /// Pause between plans.
    milliseconds m_plan_interval{100};
    /// Idle time after which a VM that its pool does not need may be moved to another pool.
    milliseconds m_idle_before_move{700};
    /// Idle time after which such a VM is moved to the spare pool, that is, switched off. Moving it
    /// back costs about as much time.
    milliseconds m_idle_before_off{1'200};
    /// Time that a VM needs to change its pool.
    milliseconds m_move_time{1'500};
    /// Time that the maintenance of a VM takes.
    milliseconds m_maintenance_time{2'000};
    /// Time after a take-over in which no long-running task is moved: a run that the predecessor
    /// ordered to stop is listed as working until it has ended. Longer than a stop order and the
    /// stop itself take.
    milliseconds m_settle_time{1'000};
};

/// Interfaces that the planner uses: the event loop, the platform's VM control and reporting.
struct fleet_planner_ports {
    loop_port m_loop;
    vm_port m_vms;
    /// Returns whether the owner may send orders to VMs now.
    std::function<bool()> m_may_order{[] { return true; }};
    /// Reports the state of a wave to operators; `key` is the key of the wave's records.
    std::function<void(const std::string& key, bool completed)> m_report_wave;
    std::function<void(const decision&)> m_decided;
};

/// Plans for all pools of an owner.
///
/// A VM is moved or taken down only when nothing runs on it. Until then its worker gets no new
/// work, and its long-running tasks are moved off, never more of a step at once than may be
/// missing. Not thread-safe; runs on the loop.
class fleet_planner {
public:
    static std::unique_ptr<fleet_planner> create(fleet_planner_options options, std::uint64_t fence,
                                                 fleet_planner_ports ports);

    /// Restores what a predecessor recorded: the progress of waves, and the VMs that it ordered.
    void restore(const std::vector<keyed_record>& records, moment now);
    void declare(declared_wave wave, const std::string& key, moment now);
    void tick(job_scheduler& scheduler, moment now);
    /// Tells the scheduler which workers get no new work: those whose VM is to leave, or may be
    /// ended by an order of a predecessor.
    void mark_leaving(job_scheduler& scheduler, moment now);
    /// Returns the records to write. The caller calls `written` once they are written.
    std::vector<keyed_record> take_changes();
    /// Sends the orders whose records are written.
    void written() { m_fleet->written(); }

private:
    fleet_planner(fleet_planner_options options, std::uint64_t fence, fleet_planner_ports ports);

    vm_fleet_hooks make_fleet_hooks();
    void update_returned_vms(time_point asked_at);
    void handle_order_result(const vm_order& order, vm_order_result result);
    void update_idle_times(const scheduler_state& state, time_point now);
    void report_lost_workers(job_scheduler& scheduler, moment now);
    void plan_waves(job_scheduler& scheduler, moment now);
    void plan_wave(wave_state& wave, job_scheduler& scheduler, moment now);
    void plan_pools(job_scheduler& scheduler, moment now);
    /// Passes each pool's backlog and processor capacity to the scheduler. The capacity includes
    /// the spare VMs that can be moved to the pool.
    void update_outlooks(job_scheduler& scheduler, const std::map<std::string, pool_load>& loads,
                         time_point now);
    void report(const scheduler_state& state, const std::map<std::string, pool_load>& loads);
    /// Reports the tenants with the largest backlogs, if ready tasks wait.
    void report_tenants(const scheduler_state& state,
                        const std::map<std::string, pool_load>& loads);
    void move_vms_to(const std::string& pool, std::uint32_t count, moment now);
    void move_idle_to_spare(const std::string& pool, std::uint32_t count, moment now);
    void move_tasks_off(managed_vm& managed, job_scheduler& scheduler, moment now);
    std::uint32_t supply_of(const std::string& pool, const scheduler_state& state) const;

    fleet_planner_options m_options;
    fleet_planner_ports m_ports;
    std::unique_ptr<vm_fleet> m_fleet;
    time_point m_planned_at;
    /// When this owner made its first plan.
    std::optional<time_point> m_first_planned_at;
    time_point m_reported_at;
    std::map<std::string, std::uint32_t> m_target_vms;
    std::string m_spare_pool;
    wave_tracker m_waves;
    pool_demand m_demand;
};

} // namespace peridotrudder
