#include "peridotrudder/planning/vm_fleet.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace peridotrudder {

namespace {

/// Pause before an order without an answer, or one that was turned down, is sent again.
constexpr milliseconds order_retry{400};
/// A VM that was moved and is not listed in its new pool after so long is taken as lost.
constexpr milliseconds arrival_patience{6'000};
constexpr std::string_view vm_prefix = "vm/";
/// Difference that the nodes' clocks may have.
constexpr milliseconds clock_slack{300};

} // namespace

std::unique_ptr<vm_fleet> vm_fleet::create(vm_fleet_options options, std::uint64_t fence,
                                           vm_fleet_hooks hooks)
{
    return std::unique_ptr<vm_fleet>{new vm_fleet{options, fence, std::move(hooks)}};
}

vm_fleet::vm_fleet(vm_fleet_options options, std::uint64_t fence, vm_fleet_hooks hooks)
    : m_options{options},
      m_fence{fence},
      m_hooks{std::move(hooks)},
      m_self{std::make_shared<vm_fleet*>(this)}
{
}

void vm_fleet::restore(const std::vector<keyed_record>& records, moment now)
{
    for (const auto& each : records) {
        if (!each.m_value || each.m_key.rfind(vm_prefix, 0) != 0) {
            continue;
        }
        const auto json = parse_cbor(*each.m_value);
        if (!json || !json->is_number_integer()) {
            m_hooks.m_decided({"vm_record_unreadable", "", "", each.m_key});
            continue;
        }
        const auto lease = m_options.m_vm_lease + clock_slack;
        const auto left = milliseconds{json->get<std::int64_t>() - now.m_unix_ms} + lease;
        // Clocks differ: no record keeps a VM for longer than the lease.
        m_foreign_until[each.m_key.substr(vm_prefix.size())] =
            now.m_at + std::clamp(left, milliseconds{0}, lease);
    }
}

bool vm_fleet::ordered_by_predecessor(const planned_machine& machine, time_point now) const
{
    const auto until = m_foreign_until.find(machine.m_listed.m_id);
    return until != m_foreign_until.end() && now < until->second;
}

bool vm_fleet::movable(const planned_machine& machine, time_point now) const
{
    return machine.m_listed.m_state == machine_state::up && !machine.m_order &&
           machine.m_bound_for.empty() && machine.m_leaving_for == 0 &&
           !ordered_by_predecessor(machine, now);
}

void vm_fleet::order_move(planned_machine& machine, const std::string& pool, time_point now)
{
    order(machine, {machine.m_listed.m_id, pool, 0, m_fence}, now);
}

void vm_fleet::order_maintenance(planned_machine& machine, std::uint64_t wave, time_point now)
{
    order(machine, {machine.m_listed.m_id, "", wave, m_fence}, now);
}

void vm_fleet::order(planned_machine& machine, vm_order what, time_point now)
{
    m_hooks.m_decided(
        {"vm_ordered", "", machine.m_listed.m_worker,
         fmt::format("{} {}", what.m_machine, what.m_pool.empty() ? "maintenance" : what.m_pool)});
    machine.m_order = std::move(what);
    // Recorded before it is sent, and its worker marked as leaving before either.
    machine.m_order_phase = vm_order_phase::decided;
    machine.m_order_at = now;
}

void vm_fleet::tick(moment now)
{
    read_list(now.m_at);
    for (auto& [id, machine] : m_machines) {
        if (machine.m_order && machine.m_order_phase == vm_order_phase::due &&
            now.m_at >= machine.m_order_at) {
            send_order(id);
        }
    }
}

void vm_fleet::read_list(time_point now)
{
    const bool busy = std::any_of(m_machines.begin(), m_machines.end(), [](const auto& each) {
        return each.second.m_order || !each.second.m_bound_for.empty();
    });
    const auto interval = busy ? m_options.m_busy_list_interval : m_options.m_list_interval;
    if (m_listing || now - m_listing_since < interval) {
        return;
    }
    m_listing = true;
    m_listing_since = now;
    const std::weak_ptr<vm_fleet*> self = m_self;
    m_hooks.m_vms.m_list([self, now](const machine_list& machines) {
        const auto alive = self.lock();
        if (!alive) {
            return;
        }
        (*alive)->m_listing = false;
        if (machines) {
            (*alive)->take_list(*machines, now);
        }
    });
}

void vm_fleet::take_list(const std::vector<listed_machine>& machines, time_point asked_at)
{
    std::set<std::string> listed;
    for (const auto& each : machines) {
        listed.insert(each.m_id);
        auto& machine = m_machines[each.m_id];
        note_change(machine.m_listed, each);
        machine.m_listed = each;
        const bool arrived =
            each.m_state == machine_state::up && each.m_pool == machine.m_bound_for;
        const bool overdue = asked_at - machine.m_bound_at > arrival_patience;
        if (!machine.m_bound_for.empty() && asked_at > machine.m_bound_at && (arrived || overdue)) {
            machine.m_bound_for.clear();
        }
    }
    for (auto each = m_machines.begin(); each != m_machines.end();) {
        each = listed.count(each->first) != 0 ? std::next(each) : m_machines.erase(each);
    }
    m_list_asked_at = asked_at;
    m_hooks.m_listed(asked_at);
}

void vm_fleet::note_change(const listed_machine& before, const listed_machine& after)
{
    const bool same = before.m_state == after.m_state && before.m_worker == after.m_worker &&
                      before.m_pool == after.m_pool;
    if (before.m_id.empty() || same) {
        return;
    }
    m_hooks.m_decided(
        {"vm_changed", "", after.m_worker,
         fmt::format("{} {} {}", after.m_id, to_string(after.m_state), after.m_pool)});
}

std::vector<keyed_record> vm_fleet::take_changes()
{
    std::vector<keyed_record> records;
    const auto now = m_hooks.m_loop.m_now();
    for (auto& [id, machine] : m_machines) {
        if (machine.m_order && machine.m_order_phase == vm_order_phase::decided) {
            machine.m_order_phase = vm_order_phase::recording;
            records.push_back({std::string{vm_prefix} + id,
                               nlohmann::json::to_cbor(nlohmann::json(now.m_unix_ms)), 0});
        }
    }
    return records;
}

void vm_fleet::written()
{
    for (auto& [id, machine] : m_machines) {
        if (machine.m_order && machine.m_order_phase == vm_order_phase::recording) {
            send_order(id);
        }
    }
}

void vm_fleet::send_order(const std::string& machine_id)
{
    auto& machine = m_machines.at(machine_id);
    machine.m_order_phase = vm_order_phase::sent;
    const std::weak_ptr<vm_fleet*> self = m_self;
    const auto what = *machine.m_order;
    m_hooks.m_vms.m_order(what, [self, what](vm_result result) {
        if (const auto alive = self.lock()) {
            (*alive)->answered(what, result);
        }
    });
}

void vm_fleet::answered(const vm_order& what, vm_result result)
{
    const auto now = m_hooks.m_loop.m_now().m_at;
    const auto found = m_machines.find(what.m_machine);
    if (result != vm_result::done) {
        m_hooks.m_decided(
            {"vm_order_failed", "", "", fmt::format("{} {}", what.m_machine, to_string(result))});
    }
    if (found == m_machines.end()) {
        return;
    }
    auto& machine = found->second;
    if (result == vm_result::refused || result == vm_result::unanswered) {
        machine.m_order_phase = vm_order_phase::due;
        machine.m_order_at = now + order_retry;
        return;
    }
    machine.m_order.reset();
    machine.m_leaving_for = 0;
    const bool impossible = result == vm_result::not_in_wave || result == vm_result::impossible;
    if (!impossible) {
        // Busy or fenced: another state than the list told, to be planned anew from the next one.
        const bool moves = result == vm_result::done && !what.m_pool.empty();
        machine.m_bound_for = moves ? what.m_pool : machine.m_listed.m_pool;
        machine.m_bound_at = now;
    }
    m_hooks.m_ended(what, result);
}

} // namespace peridotrudder
