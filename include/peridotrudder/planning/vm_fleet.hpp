#pragma once

/// @file
/// The VMs as the platform lists them, and the pending orders to them.

#include "peridotrudder/base/loop_port.hpp"
#include "peridotrudder/machines/vm_fate.hpp"
#include "peridotrudder/ownership/log_port.hpp"
#include "peridotrudder/planning/vm_control.hpp"
#include "peridotrudder/scheduling/scheduler_state.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotrudder {

struct vm_fleet_options {
    /// Interval of reading the VM list.
    milliseconds m_list_interval{1'000};
    /// The same while orders are pending or VMs are being moved.
    milliseconds m_busy_list_interval{300};
    /// Time in which a VM that a predecessor ordered gets no other order: two owners that order the
    /// same VM one after the other would undo each other's work.
    milliseconds m_vm_lease{3'000};
    /// Time after the take-over in which an order that a predecessor recorded, and whose answer it
    /// did not record, may still be carried out: for as long it sends it by an old proof of
    /// ownership, and a call takes its time.
    milliseconds m_open_order_time{4'000};
};

/// Progress of an order to a VM.
enum class vm_order_phase {
    /// To be recorded, so that a successor does not order the VM for the duration of the lease.
    decided,
    recording,
    /// To be sent, at `m_order_at` or later.
    due,
    sent,
};

/// A VM and the order that is pending for it.
struct managed_vm {
    /// The VM's newest entry that could be read.
    platform_vm m_listed;
    /// The newest list has unreadable entries, and this VM may be one of them.
    bool m_unreadable{false};
    /// The worker that the VM had before its present one.
    std::string m_former_worker;
    /// Since when nothing runs on the VM.
    std::optional<time_point> m_idle_since;
    /// The pending order; it is repeated until it is answered.
    std::optional<vm_order> m_order;
    vm_order_phase m_order_phase{vm_order_phase::decided};
    time_point m_order_at;
    /// Number of the wave for which the VM is being drained; zero for none.
    std::uint64_t m_leaving_for_wave{0};
    /// Pool that the VM was moved to, until the list shows it there; empty for none. After an order
    /// that the VM was busy for or that was fenced: its present pool, until a newer list is read.
    std::string m_destination_pool;
    /// When the newest order was answered.
    time_point m_order_answered_at;
};

/// Interfaces that the fleet uses, and the events that it reports.
struct vm_fleet_hooks {
    loop_port m_loop;
    vm_port m_vms;
    /// Returns whether the owner may send orders now.
    std::function<bool()> m_may_order;
    std::function<void(const decision&)> m_decided;
    /// A list was received; it was requested at `asked_at`.
    std::function<void(time_point asked_at)> m_listed;
    /// An order has ended: it was carried out or finally refused.
    std::function<void(const vm_order& order, vm_order_result result)> m_ended;
};

/// Reads the VM list at regular intervals and sends orders. Each order is recorded before it is
/// sent and repeated until it is answered. Not thread-safe; runs on the loop.
class vm_fleet {
public:
    static std::unique_ptr<vm_fleet> create(vm_fleet_options options, std::uint64_t fence,
                                            vm_fleet_hooks hooks);

    /// Restores the records of the VMs that a predecessor ordered.
    void restore(const std::vector<keyed_record>& records, moment now);

    std::map<std::string, managed_vm>& vms() { return m_managed_vms; }
    const std::map<std::string, managed_vm>& vms() const { return m_managed_vms; }
    /// Returns when the newest list received was requested; nothing before the first list.
    std::optional<time_point> newest_list_requested_at() const
    {
        return m_newest_list_requested_at;
    }
    /// Returns whether the newest list names all VMs: only then is a VM gone that it does not name.
    bool list_complete() const { return m_unreadable_entries == 0; }
    /// Returns those of the workers that the newest list shows to have ended, with their fates. The
    /// workers are given with their pools, which are empty if not known. VMs of `spare_pool` have
    /// no workers.
    std::map<std::string, vm_fate> ended_workers(const std::map<std::string, std::string>& workers,
                                                 const std::string& spare_pool) const;
    /// Returns whether a predecessor's order to the VM may still be pending.
    bool ordered_by_predecessor(const managed_vm& managed, time_point now) const;
    /// Returns the workers on VMs that a predecessor's order may still end.
    std::set<std::string, std::less<>> workers_under_open_orders(time_point now) const;
    /// Returns whether the VM may get a new order now.
    bool can_be_ordered(const managed_vm& managed, time_point now) const;

    /// Returns the mean processor of the listed VMs, in thousandths of a core.
    std::int64_t mean_cpu_millis() const;
    /// Orders the VM to another pool, or to maintenance for a wave. The order is sent once it is
    /// recorded.
    void order_move(managed_vm& managed, const std::string& pool, time_point now);
    void order_maintenance(managed_vm& managed, std::uint64_t wave, time_point now);

    /// Reads the list when it is due, and repeats unanswered orders.
    void tick(moment now);
    /// Returns the records of new orders, to be written before the orders are sent.
    std::vector<keyed_record> take_changes();
    /// Sends the orders whose records are written.
    void written();

private:
    /// Returns what a worker's absence from the list tells, if anything: its VM may be one whose
    /// entry names no worker.
    std::optional<vm_fate> fate_of_unnamed(const std::string& pool,
                                           const std::string& spare_pool) const;
    vm_fleet(vm_fleet_options options, std::uint64_t fence, vm_fleet_hooks hooks);

    void read_list(time_point now);
    void apply_list(const platform_vms& list, time_point asked_at);
    void update(managed_vm& managed, const platform_vm& listed);
    void log_unreadable(std::size_t unreadable);
    void log_change(const platform_vm& before, const platform_vm& after);
    void set_order(managed_vm& managed, vm_order sent_order, time_point now);
    void send_order(const std::string& vm_id);
    void close_predecessor_orders(time_point now);
    void handle_answer(const vm_order& sent_order, vm_order_result result);

    vm_fleet_options m_options;
    std::uint64_t m_fence{0};
    vm_fleet_hooks m_hooks;
    std::map<std::string, managed_vm> m_managed_vms;
    std::size_t m_unreadable_entries{0};
    /// VMs that a predecessor ordered, and when they may be ordered again.
    std::map<std::string, time_point> m_predecessor_lease_ends;
    /// An order of a predecessor without an answer on record.
    struct open_order {
        /// Worker that the VM had then; empty if there was none.
        std::string m_worker;
        time_point m_until;
    };
    std::map<std::string, open_order> m_predecessor_orders;
    /// VMs whose order is over, which is to be recorded.
    std::set<std::string> m_closed_orders;
    std::optional<time_point> m_newest_list_requested_at;
    time_point m_list_requested_at;
    bool m_list_in_flight{false};
    /// Callbacks of pending calls hold a weak pointer to it, to detect that the fleet is destroyed.
    std::shared_ptr<vm_fleet*> m_self;
};

} // namespace peridotrudder
