#pragma once

/// @file
/// Moves VMs between pools and takes them down for maintenance.

#include "peridotrudder/base/loop_port.hpp"
#include "peridotrudder/planning/pool_demand.hpp"
#include "peridotrudder/planning/vm_control.hpp"
#include "peridotrudder/planning/wave_tracker.hpp"
#include "peridotrudder/scheduling/job_scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace peridotrudder {

struct planner_options {
    /// Pause between plans.
    milliseconds m_plan_interval{100};
    /// Pause between readings of the VM list, and while VMs are on their way.
    milliseconds m_list_interval{1'000};
    milliseconds m_busy_list_interval{300};
    /// A VM that a predecessor has ordered is not ordered for so long: two holders that order the
    /// same VM in turn would undo each other's work.
    milliseconds m_vm_lease{3'000};
    /// A VM that its pool does not need is moved once it has been idle for so long.
    milliseconds m_idle_before_move{700};
    /// One is switched off once it has been idle for so long: moving it back costs about as much.
    milliseconds m_idle_before_off{1'200};
    /// Time that a VM needs to change its pool, and for its maintenance.
    milliseconds m_move_time{1'500};
    milliseconds m_maintenance_time{2'000};
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
    void restore(const std::vector<kept_record>& records, moment now);
    void declare(declared_wave wave, const std::string& key, moment now);
    void tick(job_scheduler& scheduler, moment now);
    /// Returns records to be written; `written` is to be called when they are.
    std::vector<kept_record> take_changes();
    /// Sends the orders whose records are written.
    void written();

private:
    enum class order_phase {
        /// To be recorded, so that a successor leaves the VM alone for a time.
        decided,
        recording,
        /// To be sent, at `m_order_at` or later.
        due,
        sent,
    };

    /// A VM and what is under way with it.
    struct planned_machine {
        listed_machine m_listed;
        /// Since when nothing runs on it.
        std::optional<time_point> m_idle_since;
        /// The order under way; it is repeated until it is answered.
        std::optional<vm_order> m_order;
        order_phase m_order_phase{order_phase::decided};
        time_point m_order_at;
        /// The wave for which it is being emptied; zero for none.
        std::uint64_t m_leaving_for{0};
        /// Pool that it has been moved to, until the list shows it there.
        std::string m_bound_for;
        time_point m_bound_at;
    };

    fleet_planner(planner_options options, std::uint64_t fence, planner_ports ports);

    void read_list(moment now);
    void take_list(const std::vector<listed_machine>& machines, time_point asked_at);
    void note_change(const listed_machine& before, const listed_machine& after);
    void note_idle(const scheduler_state& state, time_point now);
    void note_lost_workers(job_scheduler& scheduler, moment now);
    void plan_waves(job_scheduler& scheduler, moment now);
    void plan_wave(wave_state& wave, job_scheduler& scheduler, moment now);
    void plan_pools(job_scheduler& scheduler, moment now);
    void report(const scheduler_state& state, const std::map<std::string, pool_load>& loads);
    void move_to(const std::string& pool, std::uint32_t count, moment now);
    void release_idle(const std::string& pool, std::uint32_t count, moment now);
    void empty(planned_machine& machine, job_scheduler& scheduler, moment now);
    void order(planned_machine& machine, vm_order what, moment now);
    void send_order(const std::string& machine_id);
    void answered(const std::string& machine_id, const vm_order& what, vm_result result);
    void mark_leaving(job_scheduler& scheduler);
    bool movable(const planned_machine& machine, time_point now) const;
    std::uint32_t supply_of(const std::string& pool, const scheduler_state& state) const;

    planner_options m_options;
    std::uint64_t m_fence{0};
    planner_ports m_ports;
    time_point m_planned_at;
    time_point m_listed_at;
    time_point m_reported_at;
    bool m_listing{false};
    bool m_list_known{false};
    /// When the newest list was asked for.
    time_point m_list_asked_at;
    std::map<std::string, planned_machine> m_machines;
    /// VMs that a predecessor ordered, with the time from which they may be ordered again.
    std::map<std::string, time_point> m_foreign_until;
    std::map<std::string, std::uint32_t> m_wanted;
    std::string m_spare_pool;
    wave_tracker m_waves;
    pool_demand m_demand;
    /// Outlives the planner in the answers that are under way.
    std::shared_ptr<fleet_planner*> m_self;
};

} // namespace peridotrudder
