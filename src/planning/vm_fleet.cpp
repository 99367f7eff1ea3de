#include "peridotrudder/planning/vm_fleet.hpp"

#include "peridotrudder/base/packed_cbor.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace peridotrudder {

namespace {

/// Processor of a VM while the list does not tell any.
constexpr std::int64_t assumed_vm_cpu_millis = 16'000;
/// Pause before an order that was not answered, or refused for now, is sent again.
constexpr milliseconds order_retry{400};
/// A move counts as failed if the VM is not listed in its new pool after this time.
constexpr milliseconds arrival_patience{6'000};
constexpr std::string_view vm_prefix = "vm/";
/// Records of orders whose answer is not known: the worker on the VM.
constexpr std::string_view open_order_prefix = "vm-open/";
/// Maximum difference between the clocks of two nodes.
constexpr milliseconds clock_slack{300};

/// Returns whether the VM may have a worker that its entry does not name.
bool may_run_unnamed(const platform_vm& listed)
{
    return listed.m_state == platform_vm_state::up && listed.m_worker.empty();
}

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
    for (const auto& record : records) {
        if (record.m_value && record.m_key.rfind(open_order_prefix, 0) == 0) {
            const auto worker = from_packed_cbor<std::string>(*record.m_value);
            m_predecessor_orders[record.m_key.substr(open_order_prefix.size())] = {
                worker ? *worker : std::string{}, now.m_at + m_options.m_open_order_time};
        }
        if (!record.m_value || record.m_key.rfind(vm_prefix, 0) != 0) {
            continue;
        }
        const auto ordered_ms = from_packed_cbor<std::int64_t>(*record.m_value);
        if (!ordered_ms) {
            m_hooks.m_decided({"vm_record_unreadable", "", "", record.m_key});
            continue;
        }
        const auto lease = m_options.m_vm_lease + clock_slack;
        // Clocks differ: whatever time a record has, it blocks the VM for the lease at most.
        const auto passed = milliseconds{
            now.m_unix_ms - std::clamp(*ordered_ms, now.m_unix_ms - lease.count(), now.m_unix_ms)};
        m_predecessor_lease_ends[record.m_key.substr(vm_prefix.size())] = now.m_at + lease - passed;
    }
}

bool vm_fleet::ordered_by_predecessor(const managed_vm& managed, time_point now) const
{
    const auto open = m_predecessor_orders.find(managed.m_listed.m_id);
    if (open != m_predecessor_orders.end() && now < open->second.m_until) {
        return true;
    }
    const auto until = m_predecessor_lease_ends.find(managed.m_listed.m_id);
    return until != m_predecessor_lease_ends.end() && now < until->second;
}

std::set<std::string, std::less<>> vm_fleet::workers_under_open_orders(time_point now) const
{
    std::set<std::string, std::less<>> workers;
    for (const auto& [id, order] : m_predecessor_orders) {
        if (now >= order.m_until) {
            continue;
        }
        workers.insert(order.m_worker);
        // It may be repeated, and then ends the VM's next worker too.
        const auto listed = m_managed_vms.find(id);
        if (listed != m_managed_vms.end()) {
            workers.insert(listed->second.m_listed.m_worker);
        }
    }
    workers.erase(std::string{});
    return workers;
}

void vm_fleet::close_predecessor_orders(time_point now)
{
    for (auto entry = m_predecessor_orders.begin(); entry != m_predecessor_orders.end();) {
        if (now < entry->second.m_until) {
            ++entry;
            continue;
        }
        m_closed_orders.insert(entry->first);
        entry = m_predecessor_orders.erase(entry);
    }
}

bool vm_fleet::can_be_ordered(const managed_vm& managed, time_point now) const
{
    return managed.m_listed.m_state == platform_vm_state::up && !managed.m_unreadable &&
           !managed.m_order && managed.m_destination_pool.empty() &&
           managed.m_leaving_for_wave == 0 && !ordered_by_predecessor(managed, now);
}

std::int64_t vm_fleet::mean_cpu_millis() const
{
    std::int64_t total = 0;
    std::int64_t count = 0;
    for (const auto& [id, managed] : m_managed_vms) {
        const auto cpu = managed.m_listed.m_capacity.m_cpu_millis;
        total += cpu;
        count += cpu > 0 ? 1 : 0;
    }
    return count == 0 ? assumed_vm_cpu_millis : total / count;
}

void vm_fleet::order_move(managed_vm& managed, const std::string& pool, time_point now)
{
    set_order(managed, {managed.m_listed.m_id, pool, 0, m_fence}, now);
}

void vm_fleet::order_maintenance(managed_vm& managed, std::uint64_t wave, time_point now)
{
    set_order(managed, {managed.m_listed.m_id, "", wave, m_fence}, now);
}

void vm_fleet::set_order(managed_vm& managed, vm_order sent_order, time_point now)
{
    m_hooks.m_decided({"vm_ordered", "", managed.m_listed.m_worker,
                       fmt::format("{} {}", sent_order.m_vm_id,
                                   sent_order.m_pool.empty() ? "maintenance" : sent_order.m_pool)});
    managed.m_order = std::move(sent_order);
    // The order is recorded before it is sent. Its worker is marked as leaving before either.
    managed.m_order_phase = vm_order_phase::decided;
    managed.m_order_at = now;
}

void vm_fleet::tick(moment now)
{
    read_list(now.m_at);
    close_predecessor_orders(now.m_at);
    for (auto& [id, managed] : m_managed_vms) {
        if (managed.m_order && managed.m_order_phase == vm_order_phase::due &&
            now.m_at >= managed.m_order_at) {
            send_order(id);
        }
    }
}

void vm_fleet::read_list(time_point now)
{
    const bool busy =
        std::any_of(m_managed_vms.begin(), m_managed_vms.end(), [](const auto& entry) {
            return entry.second.m_order || !entry.second.m_destination_pool.empty();
        });
    const auto interval = busy ? m_options.m_busy_list_interval : m_options.m_list_interval;
    if (m_list_in_flight || now - m_list_requested_at < interval) {
        return;
    }
    m_list_in_flight = true;
    m_list_requested_at = now;
    const std::weak_ptr<vm_fleet*> self = m_self;
    m_hooks.m_vms.m_list([self, now](const platform_vm_list& list) {
        const auto alive = self.lock();
        if (!alive) {
            return;
        }
        (*alive)->m_list_in_flight = false;
        // A list without any VM is an answer without the list: the callers' jobs run somewhere.
        if (list && !list->m_vms.empty()) {
            (*alive)->apply_list(*list, now);
        }
    });
}

void vm_fleet::apply_list(const platform_vms& list, time_point asked_at)
{
    log_unreadable(list.m_unreadable);
    m_unreadable_entries = list.m_unreadable;
    const auto is_overdue = [asked_at](const managed_vm& managed) {
        return asked_at - managed.m_order_answered_at > arrival_patience;
    };
    std::set<std::string> listed_ids;
    for (const auto& listed : list.m_vms) {
        listed_ids.insert(listed.m_id);
        auto& managed = m_managed_vms[listed.m_id];
        update(managed, listed);
        const bool arrived =
            listed.m_state == platform_vm_state::up && listed.m_pool == managed.m_destination_pool;
        if (!managed.m_destination_pool.empty() && asked_at > managed.m_order_answered_at &&
            (arrived || is_overdue(managed))) {
            managed.m_destination_pool.clear();
        }
    }
    for (auto entry = m_managed_vms.begin(); entry != m_managed_vms.end();) {
        const bool is_listed = listed_ids.count(entry->first) != 0;
        entry->second.m_unreadable = !is_listed;
        if (!is_listed && is_overdue(entry->second)) {
            entry->second.m_destination_pool.clear();
        }
        entry = is_listed || !list_complete() ? std::next(entry) : m_managed_vms.erase(entry);
    }
    m_newest_list_requested_at = asked_at;
    m_hooks.m_listed(asked_at);
}

void vm_fleet::update(managed_vm& managed, const platform_vm& listed)
{
    log_change(managed.m_listed, listed);
    if (!managed.m_listed.m_worker.empty() && managed.m_listed.m_worker != listed.m_worker) {
        managed.m_former_worker = managed.m_listed.m_worker;
    }
    managed.m_listed = listed;
}

std::optional<vm_fate> vm_fleet::fate_of_unnamed(const std::string& pool,
                                                 const std::string& spare_pool) const
{
    if (!list_complete()) {
        return std::nullopt;
    }
    auto fate = vm_fate::gone;
    for (const auto& [id, managed] : m_managed_vms) {
        const auto& listed = managed.m_listed;
        const bool other_pool = pool.empty() ? listed.m_pool == spare_pool : listed.m_pool != pool;
        if (!listed.m_worker.empty() || other_pool) {
            continue;
        }
        if (may_run_unnamed(listed)) {
            return std::nullopt;
        }
        fate = listed.m_state == platform_vm_state::down ? vm_fate::down : fate;
    }
    return fate;
}

std::map<std::string, vm_fate>
vm_fleet::ended_workers(const std::map<std::string, std::string>& workers,
                        const std::string& spare_pool) const
{
    std::map<std::string, std::optional<vm_fate>> shown;
    std::map<std::string, std::optional<vm_fate>> shown_of_former;
    for (const auto& [id, managed] : m_managed_vms) {
        const auto& listed = managed.m_listed;
        const bool down = listed.m_state == platform_vm_state::down;
        if (!listed.m_worker.empty()) {
            const auto fate =
                down && !managed.m_unreadable ? std::optional{vm_fate::down} : std::nullopt;
            // Of two VMs that name one worker, the one that is up counts.
            const auto known = shown.emplace(listed.m_worker, fate).first;
            known->second = fate ? known->second : std::nullopt;
        }
        if (managed.m_unreadable || managed.m_former_worker.empty()) {
            continue;
        }
        auto& fate = shown_of_former[managed.m_former_worker];
        if (listed.m_worker.empty() && down) {
            fate = vm_fate::down;
        }
        else if (!may_run_unnamed(listed)) {
            fate = vm_fate::gone;
        }
    }
    std::map<std::string, vm_fate> ended;
    for (const auto& [worker, pool] : workers) {
        const auto named = shown.find(worker);
        const auto former = shown_of_former.find(worker);
        std::optional<vm_fate> fate;
        if (named != shown.end()) {
            fate = named->second;
        }
        else if (former != shown_of_former.end()) {
            fate = former->second;
        }
        else {
            fate = fate_of_unnamed(pool, spare_pool);
        }
        if (fate) {
            ended.emplace(worker, *fate);
        }
    }
    return ended;
}

void vm_fleet::log_unreadable(std::size_t unreadable)
{
    if (unreadable != m_unreadable_entries) {
        m_hooks.m_decided({"vm_entries_unreadable", "", "", std::to_string(unreadable)});
    }
}

void vm_fleet::log_change(const platform_vm& before, const platform_vm& after)
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
    for (const auto& id : m_closed_orders) {
        records.push_back({std::string{open_order_prefix} + id, std::nullopt, 0});
    }
    m_closed_orders.clear();
    for (auto& [id, managed] : m_managed_vms) {
        if (managed.m_order && managed.m_order_phase == vm_order_phase::decided) {
            managed.m_order_phase = vm_order_phase::recording;
            records.push_back({std::string{vm_prefix} + id,
                               nlohmann::json::to_cbor(nlohmann::json(now.m_unix_ms)), 0});
            records.push_back({std::string{open_order_prefix} + id,
                               nlohmann::json::to_cbor(nlohmann::json(managed.m_listed.m_worker)),
                               0});
        }
    }
    return records;
}

void vm_fleet::written()
{
    for (auto& [id, managed] : m_managed_vms) {
        if (managed.m_order && managed.m_order_phase == vm_order_phase::recording) {
            send_order(id);
        }
    }
}

void vm_fleet::send_order(const std::string& vm_id)
{
    auto& managed = m_managed_vms.at(vm_id);
    if (!m_hooks.m_may_order()) {
        managed.m_order_phase = vm_order_phase::due;
        managed.m_order_at = m_hooks.m_loop.m_now().m_at + order_retry;
        return;
    }
    managed.m_order_phase = vm_order_phase::sent;
    const std::weak_ptr<vm_fleet*> self = m_self;
    const auto sent_order = *managed.m_order;
    m_hooks.m_vms.m_order(sent_order, [self, sent_order](vm_order_result result) {
        if (const auto alive = self.lock()) {
            (*alive)->handle_answer(sent_order, result);
        }
    });
}

void vm_fleet::handle_answer(const vm_order& sent_order, vm_order_result result)
{
    const auto now = m_hooks.m_loop.m_now().m_at;
    const auto position = m_managed_vms.find(sent_order.m_vm_id);
    if (result != vm_order_result::done) {
        m_hooks.m_decided({"vm_order_failed", "", "",
                           fmt::format("{} {}", sent_order.m_vm_id, to_string(result))});
    }
    if (position == m_managed_vms.end()) {
        m_closed_orders.insert(sent_order.m_vm_id);
        return;
    }
    auto& managed = position->second;
    if (result == vm_order_result::refused || result == vm_order_result::unanswered) {
        managed.m_order_phase = vm_order_phase::due;
        managed.m_order_at = now + order_retry;
        return;
    }
    managed.m_order.reset();
    m_closed_orders.insert(sent_order.m_vm_id);
    managed.m_leaving_for_wave = 0;
    const bool impossible =
        result == vm_order_result::not_in_wave || result == vm_order_result::impossible;
    if (!impossible) {
        // After `busy` or `fenced` the list is out of date: setting the present pool as destination
        // prevents new orders until a newer list is read.
        const bool moves = result == vm_order_result::done && !sent_order.m_pool.empty();
        managed.m_destination_pool = moves ? sent_order.m_pool : managed.m_listed.m_pool;
        managed.m_order_answered_at = now;
    }
    m_hooks.m_ended(sent_order, result);
}

} // namespace peridotrudder
