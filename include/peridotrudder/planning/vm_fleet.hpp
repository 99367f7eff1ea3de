#pragma once

/// @file
/// The VMs as the platform lists them, and the orders that are under way with them.

#include "peridotrudder/base/loop_port.hpp"
#include "peridotrudder/ownership/log_port.hpp"
#include "peridotrudder/planning/vm_control.hpp"
#include "peridotrudder/scheduling/scheduler_state.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotrudder {

struct vm_fleet_options {
    /// Pause between readings of the VM list, and while VMs are on their way.
    milliseconds m_list_interval{1'000};
    milliseconds m_busy_list_interval{300};
    /// A VM that a predecessor has ordered is not ordered for so long: two holders that order the
    /// same VM in turn would undo each other's work.
    milliseconds m_vm_lease{3'000};
};

/// How far an order to a VM is.
enum class vm_order_phase {
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
    vm_order_phase m_order_phase{vm_order_phase::decided};
    time_point m_order_at;
    /// The wave for which it is being emptied; zero for none.
    std::uint64_t m_leaving_for{0};
    /// Pool that it has been moved to, until the list shows it there.
    std::string m_bound_for;
    time_point m_bound_at;
};

/// How the fleet reaches the world.
struct vm_fleet_hooks {
    loop_port m_loop;
    vm_port m_vms;
    std::function<void(const decision&)> m_decided;
    /// A list has come; `asked_at` is when it was asked for.
    std::function<void(time_point asked_at)> m_listed;
    /// An order has ended, by `done` or by a refusal that stands.
    std::function<void(const vm_order& order, vm_result result)> m_ended;
};

/// Reads the VM list at a steady pace and sends orders, each recorded before it is sent and
/// repeated until it is answered. Not thread-safe; runs on the loop.
class vm_fleet {
public:
    static std::unique_ptr<vm_fleet> create(vm_fleet_options options, std::uint64_t fence,
                                            vm_fleet_hooks hooks);

    /// Takes the VMs that a predecessor ordered.
    void restore(const std::vector<keyed_record>& records, moment now);

    std::map<std::string, planned_machine>& machines() { return m_machines; }
    const std::map<std::string, planned_machine>& machines() const { return m_machines; }
    /// Returns when the newest list was asked for; nothing before the first.
    std::optional<time_point> list_asked_at() const { return m_list_asked_at; }
    /// Returns whether a predecessor's order may still be under way.
    bool ordered_by_predecessor(const planned_machine& machine, time_point now) const;
    /// Returns whether the VM may be ordered now.
    bool movable(const planned_machine& machine, time_point now) const;

    /// Decides an order: to another pool, or to maintenance for a wave.
    void order_move(planned_machine& machine, const std::string& pool, time_point now);
    void order_maintenance(planned_machine& machine, std::uint64_t wave, time_point now);

    /// Reads the list when it is time, and repeats orders.
    void tick(moment now);
    /// Returns the records of orders that are to be sent.
    std::vector<keyed_record> take_changes();
    /// Sends the orders whose records are written.
    void written();

private:
    vm_fleet(vm_fleet_options options, std::uint64_t fence, vm_fleet_hooks hooks);

    void read_list(time_point now);
    void take_list(const std::vector<listed_machine>& machines, time_point asked_at);
    void note_change(const listed_machine& before, const listed_machine& after);
    void order(planned_machine& machine, vm_order what, time_point now);
    void send_order(const std::string& machine_id);
    void answered(const vm_order& what, vm_result result);

    vm_fleet_options m_options;
    std::uint64_t m_fence{0};
    vm_fleet_hooks m_hooks;
    std::map<std::string, planned_machine> m_machines;
    /// VMs that a predecessor ordered, with the time from which they may be ordered again.
    std::map<std::string, time_point> m_foreign_until;
    std::optional<time_point> m_list_asked_at;
    time_point m_listing_since;
    bool m_listing{false};
    /// Outlives the fleet in the answers that are under way.
    std::shared_ptr<vm_fleet*> m_self;
};

} // namespace peridotrudder
