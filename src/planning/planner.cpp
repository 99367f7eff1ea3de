#include "peridotrudder/planning/planner.hpp"

#include "peridotrudder/contracts/limits.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <set>

namespace peridotrudder {

namespace {

/// The VM list lags: a VM that is missing for a shorter time may still be there.
constexpr milliseconds removal_delay{30'000};
/// A reboot is asked for again when the boot generation has not risen for so long.
constexpr milliseconds reboot_repeat{10'000};

const listed_vm* find_listed(const planner_inputs& inputs, const std::string& id)
{
    const auto& vms = inputs.m_vms->m_vms;
    const auto found = std::find_if(vms.begin(), vms.end(),
                                    [&](const listed_vm& each) { return each.m_vm.m_id == id; });
    return found == vms.end() ? nullptr : &*found;
}

bool uses_pool(const contract& value, const std::string& pool)
{
    return std::find(value.m_pools.begin(), value.m_pools.end(), pool) != value.m_pools.end();
}

/// What a pool's contracts ask of maintenance.
struct pool_bounds {
    std::uint32_t m_vms_away{std::numeric_limits<std::uint32_t>::max()};
    std::uint32_t m_held_slots{0};
    bool m_budget_burns{false};
};

pool_bounds bounds_of(const planner_inputs& inputs, const std::string& pool)
{
    pool_bounds bounds;
    for (const auto& [customer, entry] : inputs.m_state->contracts()) {
        if (!uses_pool(entry.m_contract, pool)) {
            continue;
        }
        const auto limits = derive_limits(entry.m_contract);
        bounds.m_vms_away = std::min(bounds.m_vms_away, limits.m_vms_away);
        bounds.m_held_slots += entry.m_contract.m_capacity_slots;
        const auto burn = inputs.m_burn_rates.find(customer);
        if (burn != inputs.m_burn_rates.end() && burn->second >= limits.m_pause_burn_rate) {
            bounds.m_budget_burns = true;
        }
    }
    return bounds;
}

/// The VMs of a pool that take no work now.
struct pool_absence {
    std::uint32_t m_away{0};
    std::uint32_t m_serving_slots{0};
    std::set<std::string> m_zones;
    std::set<std::string> m_racks;
};

pool_absence absence_of(const planner_inputs& inputs, const std::string& pool)
{
    pool_absence absence;
    for (const auto& [id, entry] : inputs.m_state->vms()) {
        if (entry.m_vm.m_pool != pool) {
            continue;
        }
        const auto* listed = find_listed(inputs, id);
        const bool there = listed != nullptr && !listed->m_leaving;
        if (entry.m_phase == vm_phase::serving && there) {
            absence.m_serving_slots += entry.m_vm.m_slots;
            continue;
        }
        ++absence.m_away;
        absence.m_zones.insert(entry.m_vm.m_zone);
        absence.m_racks.insert(entry.m_vm.m_rack);
    }
    return absence;
}

/// Returns whether the set has nothing but `name` in it.
bool only_contains(const std::set<std::string>& names, const std::string& name)
{
    return names.empty() || (names.size() == 1 && names.count(name) == 1);
}

vm_phase_changed change_phase(const std::string& id, const vm_entry& entry, vm_phase to)
{
    vm_phase_changed change;
    change.m_vm = id;
    change.m_from = entry.m_phase;
    change.m_to = to;
    change.m_wave = entry.m_wave;
    change.m_to_pool = entry.m_to_pool;
    change.m_boot = entry.m_boot;
    return change;
}

} // namespace

std::vector<planned_action> planner::plan(const planner_inputs& inputs)
{
    std::vector<planned_action> actions;
    if (!inputs.m_vms) {
        // Without the list nobody knows which VMs have failed: nothing more is taken away.
        return actions;
    }
    plan_listed_vms(inputs, actions);
    for (const auto& [id, entry] : inputs.m_state->vms()) {
        plan_vm(inputs, id, entry, actions);
    }
    for (const auto& [id, wave] : inputs.m_state->waves()) {
        if (wave.m_status == wave_status::running) {
            plan_wave(inputs, wave, actions);
        }
    }
    return actions;
}

void planner::plan_listed_vms(const planner_inputs& inputs, std::vector<planned_action>& actions)
{
    const auto& known = inputs.m_state->vms();
    vms_added added;
    std::set<std::string> listed;
    for (const auto& each : inputs.m_vms->m_vms) {
        const bool first = listed.insert(each.m_vm.m_id).second;
        if (first && !each.m_leaving && known.count(each.m_vm.m_id) == 0) {
            added.m_vms.push_back(each.m_vm);
        }
    }
    if (!added.m_vms.empty()) {
        actions.emplace_back(planned_record{added, "in the VM list, but in no pool yet"});
    }
    for (const auto& [id, entry] : known) {
        if (listed.count(id) != 0) {
            m_missing_since.erase(id);
            continue;
        }
        const auto since = m_missing_since.emplace(id, inputs.m_now).first->second;
        if (inputs.m_now - since >= removal_delay) {
            actions.emplace_back(planned_record{vm_removed{id}, "gone from the VM list"});
        }
    }
}

void planner::plan_vm(const planner_inputs& inputs, const std::string& id, const vm_entry& entry,
                      std::vector<planned_action>& actions)
{
    if (entry.m_phase == vm_phase::away) {
        plan_away(inputs, id, entry, actions);
        return;
    }
    if (entry.m_phase != vm_phase::draining) {
        return;
    }
    const auto wave = inputs.m_state->waves().find(entry.m_wave);
    const bool for_wave = !entry.m_wave.empty();
    const bool wanted =
        wave != inputs.m_state->waves().end() && wave->second.m_status == wave_status::running;
    if (for_wave && !wanted) {
        actions.emplace_back(planned_record{change_phase(id, entry, vm_phase::serving),
                                            "its wave was cancelled before it was stopped"});
        return;
    }
    const auto drain = inputs.m_drains.find(id);
    const bool empty = drain != inputs.m_drains.end() && drain->second.m_entries_done &&
                       drain->second.m_worker_idle;
    if (!empty) {
        return;
    }
    if (!for_wave) {
        actions.emplace_back(planned_record{change_phase(id, entry, vm_phase::serving),
                                            "drained, so that it can change its pool"});
        return;
    }
    auto change = change_phase(id, entry, vm_phase::away);
    const auto* listed = find_listed(inputs, id);
    if (listed != nullptr) {
        change.m_boot = listed->m_boot;
        actions.emplace_back(
            planned_record{change, "no entry has work in flight there, and the worker is idle"});
    }
}

void planner::plan_away(const planner_inputs& inputs, const std::string& id, const vm_entry& entry,
                        std::vector<planned_action>& actions)
{
    const auto* listed = find_listed(inputs, id);
    if (listed == nullptr) {
        return;
    }
    if (listed->m_boot > entry.m_boot) {
        m_next_reboot.erase(id);
        actions.emplace_back(
            planned_record{change_phase(id, entry, vm_phase::serving), "rebooted"});
        return;
    }
    // The answer to a reboot may be lost, and the list lags: the boot generation makes a second
    // call harmless.
    auto& next = m_next_reboot[id];
    if (inputs.m_now >= next) {
        next = inputs.m_now + reboot_repeat;
        actions.emplace_back(planned_reboot{id, entry.m_boot});
    }
}

wave_step next_wave_step(const planner_inputs& inputs, const wave_entry& wave)
{
    if (!inputs.m_vms) {
        return {"", wave_hold_reason::vm_list_unreadable};
    }
    const auto& pool = wave.m_wave.m_pool;
    const auto bounds = bounds_of(inputs, pool);
    if (bounds.m_budget_burns) {
        return {"", wave_hold_reason::burn_rate};
    }
    const auto absence = absence_of(inputs, pool);
    if (absence.m_away >= bounds.m_vms_away) {
        return {"", wave_hold_reason::vms_away};
    }
    wave_step step{"", wave_hold_reason::no_candidate};
    for (const auto& id : wave.m_pending) {
        const auto found = inputs.m_state->vms().find(id);
        const auto* listed = find_listed(inputs, id);
        if (found == inputs.m_state->vms().end() || listed == nullptr || listed->m_leaving ||
            found->second.m_phase != vm_phase::serving || found->second.m_vm.m_pool != pool) {
            continue;
        }
        const auto& machine = found->second.m_vm;
        if (!only_contains(absence.m_zones, machine.m_zone)) {
            step.m_hold = wave_hold_reason::other_zone;
            continue;
        }
        if (!only_contains(absence.m_racks, machine.m_rack)) {
            step.m_hold = wave_hold_reason::other_rack;
            continue;
        }
        if (absence.m_serving_slots < bounds.m_held_slots + machine.m_slots) {
            step.m_hold = wave_hold_reason::held_capacity;
            continue;
        }
        return {id, wave_hold_reason::none};
    }
    return step;
}

void planner::plan_wave(const planner_inputs& inputs, const wave_entry& wave,
                        std::vector<planned_action>& actions)
{
    const auto step = next_wave_step(inputs, wave);
    if (step.m_hold != wave_hold_reason::none) {
        return;
    }
    // One VM a step: the next one is weighed against a state that has this one draining.
    const auto& entry = inputs.m_state->vms().at(step.m_vm);
    auto change = change_phase(step.m_vm, entry, vm_phase::draining);
    change.m_wave = wave.m_wave.m_id;
    actions.emplace_back(planned_record{change, fmt::format("next in wave {}", wave.m_wave.m_id)});
}

} // namespace peridotrudder
