#pragma once

/// @file
/// Stand-in for the platform's VMs: their pools, moves, maintenance and the workers on them.

#include "standins/fleet/log_store.hpp"
#include "standins/fleet/task_worker.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace standins {

/// How the worker of a VM comes back after it has ended without notice.
struct worker_restart {
    std::int64_t m_down_ms{0};
    /// Time from its start until the worker writes its entry; until then the old entry stays,
    /// unless it has expired.
    std::int64_t m_entry_delay_ms{0};
    /// Added to the time of its start that the worker publishes.
    std::int64_t m_born_shift_ms{0};
    bool m_keeps_id{false};
    /// Whether the VM is shown as down meanwhile, and the entry goes at once.
    bool m_vm_is_down{false};
};

/// A VM and the worker that currently runs on it.
struct stand_in_vm {
    std::string m_id;
    std::string m_pool;
    std::string m_rack;
    std::string m_zone;
    /// Address on which its workers listen.
    std::string m_address;
    std::uint16_t m_port{0};
    /// "up", "moving", "upkeep" or "down".
    std::string m_state{"up"};
    /// Time at which a VM that is not up comes up again; ignored while it is up.
    std::int64_t m_up_at_ms{0};
    /// Absent while the VM is not up, and in the spare pool.
    std::unique_ptr<task_worker> m_worker;
    /// Present while the worker is down although its VM is up.
    std::optional<worker_restart> m_restart;
    std::string m_last_worker_id;
    std::int64_t m_restart_at_ms{0};
    /// Share of the VM's full capacity that its worker has.
    std::uint32_t m_capacity_percent{100};
    /// Percentage of orders that get no answer, and that are carried out seconds later by the
    /// worker that then has the id that they name.
    std::uint32_t m_late_orders_percent{0};
    /// Whether the connection of such an order is closed at once, so that its client may repeat it.
    bool m_late_orders_close{false};
    std::uint32_t m_crashes{0};
    std::uint64_t m_reports{0};
    std::int64_t m_reported_at_ms{0};
    bool m_draining{false};
};

struct vm_pools_options {
    std::string m_address{"127.0.0.1"};
    /// Port of the first VM's worker; the other VMs get the next ports.
    std::uint16_t m_first_port{0};
    /// Added to the port in a worker's record in the log, so that clients connect to a proxy.
    std::uint16_t m_advertised_shift{0};
    /// Number of VMs in each pool, the spare pool last; pools without a number have
    /// `m_vms_per_pool`.
    std::vector<std::uint32_t> m_pool_sizes;
    std::uint32_t m_vms_per_pool{4};
    std::vector<std::string> m_pools;
    /// Zones of the racks, in turn.
    std::vector<std::string> m_zones{"one"};
    /// Pool whose VMs run no worker.
    std::string m_spare_pool;
};

/// Simulates the VMs, publishes their workers in the log, and answers requests about VMs. The log
/// must outlive it. Not thread-safe.
class vm_pools {
public:
    vm_pools(vm_pools_options options, log_store& log, event_sink sink);

    std::map<std::string, stand_in_vm>& vms() { return m_vms; }
    /// Answers a request under `/-/machine`.
    peridotrudder::http_response answer(const peridotrudder::http_request& request,
                                        std::int64_t now_ms);
    /// Brings VMs up again, starts missing workers, and advances and reports the workers.
    void tick(std::int64_t now_ms);
    /// Kills the worker of a VM without notice; the VM is up again after `down_ms`.
    void crash(stand_in_vm& vm, std::int64_t now_ms, std::int64_t down_ms);
    /// Kills the worker of a VM, whose entry in the log stays until it expires; the worker comes
    /// back as `restart` says. Without effect on a VM without a worker.
    void restart(stand_in_vm& vm, std::int64_t now_ms, const worker_restart& restart);
    /// Changes the capacity of a VM's worker; its entry shows it with the next heartbeat.
    void set_capacity(stand_in_vm& vm, std::int64_t now_ms, std::uint32_t percent);

private:
    void start_worker(stand_in_vm& vm, std::int64_t now_ms);
    /// Shows the VM of a worker that restarts as down, without its worker's entry.
    void hide(stand_in_vm& vm);
    void take_down(stand_in_vm& vm, const std::string& state, std::int64_t now_ms,
                   std::int64_t downtime_ms);
    void report(stand_in_vm& vm, std::int64_t now_ms);
    void emit_capacity(const stand_in_vm& vm, std::int64_t now_ms) const;
    void drop_silent_entries(std::int64_t now_ms);
    void tick(stand_in_vm& vm, std::int64_t now_ms);
    std::string list_vms() const;

    vm_pools_options m_options;
    log_store& m_log;
    event_sink m_sink;
    std::map<std::string, stand_in_vm> m_vms;
    /// Times at which the entries of workers that ended without notice expire, by worker id.
    std::map<std::string, std::int64_t> m_silent_entries;
    std::uint64_t m_started_workers{0};
};

} // namespace standins
