#pragma once

/// @file
/// Decides the next steps of maintenance: which VMs to drain, to reboot and to give back.

#include "peridotrudder/journal/fleet_state.hpp"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridotrudder {

/// What is known about the remaining work of a draining VM.
struct drain_status {
    /// Every entry of the view has read the drain and has no request in flight at the VM.
    bool m_entries_done{false};
    /// The worker reported itself idle in a report made after the entries were done.
    bool m_worker_idle{false};
};

/// All inputs of a plan.
struct planner_inputs {
    const fleet_state* m_state{nullptr};
    /// The VM list; absent if it could not be read.
    std::optional<vm_list> m_vms;
    std::map<std::string, drain_status> m_drains;
    /// Burn rate of each customer's failure budget; 1 uses it up over exactly the whole window.
    std::map<std::string, double> m_burn_rates;
    time_point m_now;
};

/// A record to append under the planner's term.
struct planned_record {
    record_body m_body;
    std::string m_reason;
};

/// A VM to reboot if its boot generation is still `m_boot`.
struct planned_reboot {
    std::string m_vm;
    std::uint64_t m_boot{0};
};

using planned_action = std::variant<planned_record, planned_reboot>;

/// Plans one step at a time from the state replayed from the log, so that any successor can
/// continue.
///
/// Keeps only timers itself; all its decisions are in the log. Has no side effects; not
/// thread-safe.
class planner {
public:
    /// Returns the next actions. Records must be appended and read back before the next call.
    std::vector<planned_action> plan(const planner_inputs& inputs);

private:
    void plan_listed_vms(const planner_inputs& inputs, std::vector<planned_action>& actions);
    void plan_vm(const planner_inputs& inputs, const std::string& id, const vm_entry& entry,
                 std::vector<planned_action>& actions);
    void plan_away(const planner_inputs& inputs, const std::string& id, const vm_entry& entry,
                   std::vector<planned_action>& actions);
    static void plan_wave(const planner_inputs& inputs, const wave_entry& wave,
                          std::vector<planned_action>& actions);

    std::map<std::string, time_point> m_missing_since;
    std::map<std::string, time_point> m_next_reboot;
};

/// Why a wave cannot drain one more VM of its pool.
enum class wave_hold_reason {
    none,
    no_candidate,
    vms_away,
    other_zone,
    other_rack,
    held_capacity,
    burn_rate,
    vm_list_unreadable,
};

template <>
struct enum_names<wave_hold_reason> {
    static constexpr std::array<std::string_view, 8> values{
        "none",       "no_candidate",  "vms_away",  "other_zone",
        "other_rack", "held_capacity", "burn_rate", "vm_list_unreadable"};
};

/// The next VM of a wave, or the reason why none can be drained now.
struct wave_step {
    std::string m_vm;
    wave_hold_reason m_hold_reason{wave_hold_reason::none};
};

/// Returns the wave's next step. VMs that are draining, stopped, leaving or not listed count as
/// away.
wave_step next_wave_step(const planner_inputs& inputs, const wave_entry& wave);

} // namespace peridotrudder
