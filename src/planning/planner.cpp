#include "peridotrudder/planning/planner.hpp"

#include "peridotrudder/contracts/limits.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <set>

namespace peridotrudder {

namespace {

/// Time for which a VM must be missing from the list, which lags, before it is removed.
constexpr milliseconds removal_delay{30'000};
/// A reboot is requested again if the boot generation has not risen after this time.
constexpr milliseconds reboot_repeat{10'000};

const listed_vm* find_listed(const planner_inputs& inputs, const std::string& id)
{
    const auto& vms = inputs.m_vms->m_vms;
    const auto position = std::find_if(vms.begin(), vms.end(), [&](const listed_vm& candidate) {
        return candidate.m_vm.m_id == id;
    });
    return position == vms.end() ? nullptr : &*position;
}

bool uses_pool(const contract& customer_contract, const std::string& pool)
{
    return std::find(customer_contract.m_pools.begin(), customer_contract.m_pools.end(), pool) !=
           customer_contract.m_pools.end();
}

/// Limits that the contracts of a pool set for maintenance.
struct pool_bounds {
    std::uint32_t m_vms_away{std::numeric_limits<std::uint32_t>::max()};
    std::uint32_t m_held_slots{0};
    bool m_burn_rate_exceeded{false};
};

pool_bounds maintenance_bounds(const planner_inputs& inputs, const std::string& pool)
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
            bounds.m_burn_rate_exceeded = true;
        }
    }
    return bounds;
}

/// The VMs of a pool that take no work now, with their zones and racks, and the slots of the rest.
struct pool_availability {
    std::uint32_t m_away{0};
    std::uint32_t m_serving_slots{0};
    std::set<std::string> m_zones;
    std::set<std::string> m_racks;
};

pool_availability measure_availability(const planner_inputs& inputs, const std::string& pool)
{
    pool_availability availability;
    for (const auto& [id, entry] : inputs.m_state->vms()) {
        if (entry.m_vm.m_pool != pool) {
            continue;
        }
        const auto* listed = find_listed(inputs, id);
        const bool available = listed != nullptr && !listed->m_leaving;
        if (entry.m_phase == vm_phase::serving && available) {
            availability.m_serving_slots += entry.m_vm.m_slots;
            continue;
        }
        ++availability.m_away;
        availability.m_zones.insert(entry.m_vm.m_zone);
        availability.m_racks.insert(entry.m_vm.m_rack);
    }
    return availability;
}

/// Returns whether the set is empty or contains only `name`.
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
        // Without the list it is unknown which VMs have failed, so no more VMs may be taken down.
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
    const auto& known_vms = inputs.m_state->vms();
    vms_added added;
    std::set<std::string> listed_ids;
    for (const auto& listed_entry : inputs.m_vms->m_vms) {
        const bool first = listed_ids.insert(listed_entry.m_vm.m_id).second;
        if (first && !listed_entry.m_leaving && known_vms.count(listed_entry.m_vm.m_id) == 0) {
            added.m_vms.push_back(listed_entry.m_vm);
        }
    }
    if (!added.m_vms.empty()) {
        actions.emplace_back(planned_record{added, "in the VM list, but in no pool yet"});
    }
    for (const auto& [id, entry] : known_vms) {
        if (listed_ids.count(id) != 0) {
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
    const bool wave_running =
        wave != inputs.m_state->waves().end() && wave->second.m_status == wave_status::running;
    if (for_wave && !wave_running) {
        actions.emplace_back(planned_record{change_phase(id, entry, vm_phase::serving),
                                            "its wave was cancelled before the VM was stopped"});
        return;
    }
    const auto drain = inputs.m_drains.find(id);
    const bool drained = drain != inputs.m_drains.end() && drain->second.m_entries_done &&
                         drain->second.m_worker_idle;
    if (!drained) {
        return;
    }
    if (!for_wave) {
        actions.emplace_back(planned_record{change_phase(id, entry, vm_phase::serving),
                                            "drained for its change of pool"});
        return;
    }
    auto change = change_phase(id, entry, vm_phase::away);
    const auto* listed = find_listed(inputs, id);
    if (listed != nullptr) {
        change.m_boot = listed->m_boot;
        actions.emplace_back(planned_record{
            change, "no entry has requests in flight to it, and its worker is idle"});
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
    // The answer to a reboot may be lost, and the list lags. A repeated call is harmless, since it
    // names the boot generation.
    auto& next_reboot_at = m_next_reboot[id];
    if (inputs.m_now >= next_reboot_at) {
        next_reboot_at = inputs.m_now + reboot_repeat;
        actions.emplace_back(planned_reboot{id, entry.m_boot});
    }
}

wave_step next_wave_step(const planner_inputs& inputs, const wave_entry& wave)
{
    if (!inputs.m_vms) {
        return {"", wave_hold_reason::vm_list_unreadable};
    }
    const auto& pool = wave.m_wave.m_pool;
    const auto bounds = maintenance_bounds(inputs, pool);
    if (bounds.m_burn_rate_exceeded) {
        return {"", wave_hold_reason::burn_rate};
    }
    const auto availability = measure_availability(inputs, pool);
    if (availability.m_away >= bounds.m_vms_away) {
        return {"", wave_hold_reason::vms_away};
    }
    wave_step step{"", wave_hold_reason::no_candidate};
    for (const auto& id : wave.m_pending) {
        const auto position = inputs.m_state->vms().find(id);
        const auto* listed = find_listed(inputs, id);
        if (position == inputs.m_state->vms().end() || listed == nullptr || listed->m_leaving ||
            position->second.m_phase != vm_phase::serving || position->second.m_vm.m_pool != pool) {
            continue;
        }
        const auto& candidate = position->second.m_vm;
        if (!only_contains(availability.m_zones, candidate.m_zone)) {
            step.m_hold_reason = wave_hold_reason::other_zone;
            continue;
        }
        if (!only_contains(availability.m_racks, candidate.m_rack)) {
            step.m_hold_reason = wave_hold_reason::other_rack;
            continue;
        }
        if (availability.m_serving_slots < bounds.m_held_slots + candidate.m_slots) {
            step.m_hold_reason = wave_hold_reason::held_capacity;
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
    if (step.m_hold_reason != wave_hold_reason::none) {
        return;
    }
    // One VM per step, so that the next one is checked against a state in which this one drains.
    const auto& entry = inputs.m_state->vms().at(step.m_vm);
    auto change = change_phase(step.m_vm, entry, vm_phase::draining);
    change.m_wave = wave.m_wave.m_id;
    actions.emplace_back(planned_record{change, fmt::format("next in wave {}", wave.m_wave.m_id)});
}

} // namespace peridotrudder
