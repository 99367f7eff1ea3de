#include "peridotrudder/routing/slot_dispatcher.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace peridotrudder {

namespace {

/// Percentage of the slots that long requests may use at most.
constexpr std::uint32_t long_share_percent = 75;
constexpr std::uint32_t percent = 100;
/// Free slots that an entry is granted beyond its demand, so that its next request need not wait
/// for a grant.
constexpr std::uint32_t standby_slots = 2;
constexpr milliseconds priority_floor_hold_time{50};

std::uint32_t total_of(const std::map<std::string, std::uint32_t>& slots)
{
    return std::accumulate(slots.begin(), slots.end(), 0U,
                           [](std::uint32_t sum, const auto& entry) { return sum + entry.second; });
}

std::uint32_t value_or_zero(const std::map<std::string, std::uint32_t>& slots,
                            const std::string& vm)
{
    const auto found = slots.find(vm);
    return found == slots.end() ? 0 : found->second;
}

std::map<std::string, std::uint32_t> sum_by_worker(gsl::span<const worker_slots> list)
{
    std::map<std::string, std::uint32_t> slots;
    for (const auto& worker : list) {
        slots[worker.m_vm] += worker.m_slots;
    }
    return slots;
}

} // namespace

namespace internal {

std::uint32_t fill_evenly(std::uint32_t available, gsl::span<const std::uint32_t> demands,
                          gsl::span<std::uint32_t> shares)
{
    while (available > 0) {
        std::size_t smallest = shares.size();
        for (std::size_t index = 0; index < shares.size(); ++index) {
            const bool below_demand = shares[index] < demands[index];
            if (below_demand && (smallest == shares.size() || shares[index] < shares[smallest])) {
                smallest = index;
            }
        }
        if (smallest == shares.size()) {
            break;
        }
        ++shares[smallest];
        --available;
    }
    return available;
}

} // namespace internal

slot_dispatcher::slot_dispatcher(std::string pool, std::string run, time_point now)
    : m_pool{std::move(pool)},
      m_dispatcher_run{std::move(run)},
      m_first_grant_at{now + slot_lease_time}
{
}

void slot_dispatcher::set_workers(gsl::span<const worker_slots> workers)
{
    m_workers = sum_by_worker(workers);
}

void slot_dispatcher::report(const std::string& entry, const slot_report& report, time_point now)
{
    auto& state = m_entries[entry];
    state.m_report = report;
    state.m_reported_at = now;
    state.m_needs_grant = true;
    const auto in_flight = sum_by_worker(report.m_in_flight);
    if (report.m_applied_dispatcher == m_dispatcher_run &&
        report.m_applied_grant == state.m_last_grant) {
        // The entry applied the newest grant, so it can use only that, and whatever it still runs
        // beyond it.
        const auto held = sum_by_worker(report.m_held);
        for (auto& [vm, slots] : state.m_granted) {
            slots = std::min(slots, value_or_zero(held, vm));
        }
        state.m_committed = state.m_granted;
    }
    for (const auto& [vm, count] : in_flight) {
        auto& committed = state.m_committed[vm];
        committed = std::max(committed, count);
    }
}

std::vector<addressed_grant> slot_dispatcher::allocate_slots(time_point now)
{
    std::vector<addressed_grant> grants;
    drop_expired_leases(now);
    if (now < m_first_grant_at) {
        return grants;
    }
    set_long_targets();
    set_targets();
    std::map<std::string, std::map<std::string, std::uint32_t>> before;
    for (auto& [entry, state] : m_entries) {
        before[entry] = state.m_granted;
        revoke_removed_workers(state);
    }
    revoke_needed_slots();
    auto free = free_slots();
    for (auto& [entry, state] : m_entries) {
        grant_up_to(state, state.m_target, free);
    }
    if (are_all_targets_met()) {
        for (auto& [entry, state] : m_entries) {
            grant_up_to(state, state.m_target + standby_slots, free);
        }
    }
    const auto priority_floor = held_priority_floor(now);
    const bool priority_floor_changed =
        priority_floor != std::exchange(m_priority_floor, priority_floor);
    for (auto& [entry, state] : m_entries) {
        const bool changed = priority_floor_changed || state.m_granted != before[entry] ||
                             state.m_long_granted != state.m_long_target;
        if (!changed && !state.m_needs_grant) {
            continue;
        }
        state.m_needs_grant = false;
        state.m_long_granted = state.m_long_target;
        state.m_last_grant = ++m_last_grant_number;
        slot_grant grant;
        grant.m_pool = m_pool;
        grant.m_dispatcher = m_dispatcher_run;
        grant.m_number = state.m_last_grant;
        grant.m_report_sent_at = state.m_report.m_sent_at;
        grant.m_long_slots = state.m_long_granted;
        grant.m_priority_floor = priority_floor;
        for (const auto& [vm, slots] : state.m_granted) {
            if (slots > 0) {
                grant.m_slots.push_back({vm, slots});
            }
        }
        grants.push_back({entry, std::move(grant)});
    }
    return grants;
}

void slot_dispatcher::drop_expired_leases(time_point now)
{
    for (auto state = m_entries.begin(); state != m_entries.end();) {
        const bool expired = now - state->second.m_reported_at >= slot_lease_time;
        state = expired ? m_entries.erase(state) : std::next(state);
    }
}

std::uint32_t slot_dispatcher::total_slots() const
{
    return total_of(m_workers);
}

// Keeps the floor for `priority_floor_hold_time` after the last such request got its slot: more of
// them are likely to come, and slots that become idle in the meantime are kept free for them.
work_class slot_dispatcher::held_priority_floor(time_point now)
{
    const auto needed = needed_priority_floor();
    if (needed != work_class::archive) {
        m_priority_floor_until = now + priority_floor_hold_time;
        return needed;
    }
    return now < m_priority_floor_until ? m_priority_floor : needed;
}

// Returns the highest class in which some entry has waiting requests that its slots don't cover.
work_class slot_dispatcher::needed_priority_floor() const
{
    for (std::size_t class_index = 0; class_index < work_class_count; ++class_index) {
        for (const auto& [entry, state] : m_entries) {
            const auto& waiting = state.m_report.m_waiting;
            auto demand = total_of(sum_by_worker(state.m_report.m_in_flight));
            for (std::size_t up_to = 0; up_to <= class_index && up_to < waiting.size(); ++up_to) {
                demand += waiting[up_to];
            }
            const bool waits = class_index < waiting.size() && waiting[class_index] > 0;
            if (waits && demand > total_of(state.m_granted)) {
                return static_cast<work_class>(class_index);
            }
        }
    }
    return work_class::archive;
}

void slot_dispatcher::set_long_targets()
{
    std::vector<std::uint32_t> demands;
    for (const auto& [entry, state] : m_entries) {
        demands.push_back(state.m_report.m_long_in_flight + state.m_report.m_long_waiting);
    }
    std::vector<std::uint32_t> shares(demands.size(), 0);
    internal::fill_evenly(total_slots() * long_share_percent / percent, demands, shares);
    std::size_t index = 0;
    for (auto& [entry, state] : m_entries) {
        state.m_long_target = shares[index++];
    }
}

// Allocates in rounds: first to the requests that run, then to those that wait, class by class from
// the highest, and last to long requests.
void slot_dispatcher::set_targets()
{
    std::vector<std::uint32_t> demands;
    for (const auto& [entry, state] : m_entries) {
        demands.push_back(total_of(sum_by_worker(state.m_report.m_in_flight)));
    }
    std::vector<std::uint32_t> shares(demands.size(), 0);
    auto available = internal::fill_evenly(total_slots(), demands, shares);
    for (std::size_t class_index = 0; class_index < work_class_count; ++class_index) {
        std::size_t index = 0;
        for (const auto& [entry, state] : m_entries) {
            const auto& waiting = state.m_report.m_waiting;
            demands[index++] += class_index < waiting.size() ? waiting[class_index] : 0;
        }
        available = internal::fill_evenly(available, demands, shares);
    }
    std::size_t index = 0;
    for (const auto& [entry, state] : m_entries) {
        const auto running = std::min(state.m_report.m_long_in_flight, state.m_long_target);
        demands[index++] += std::min(state.m_report.m_long_waiting, state.m_long_target - running);
    }
    internal::fill_evenly(available, demands, shares);
    index = 0;
    for (auto& [entry, state] : m_entries) {
        state.m_target = shares[index++];
    }
}

void slot_dispatcher::revoke_removed_workers(entry_state& state)
{
    for (auto& [vm, slots] : state.m_granted) {
        slots = std::min(slots, value_or_zero(m_workers, vm));
    }
}

// Revokes slots only when another entry needs them, since an unchanged grant needs no message.
// Takes them from the entries furthest above their target.
void slot_dispatcher::revoke_needed_slots()
{
    std::uint32_t needed = 0;
    for (const auto& [entry, state] : m_entries) {
        const auto held = total_of(state.m_granted);
        needed += state.m_target > held ? state.m_target - held : 0;
    }
    const auto free = total_of(free_slots());
    for (auto missing = needed > free ? needed - free : 0; missing > 0; --missing) {
        entry_state* furthest_over = nullptr;
        std::uint32_t most = 0;
        for (auto& [entry, state] : m_entries) {
            const auto held = total_of(state.m_granted);
            const auto excess = held > state.m_target ? held - state.m_target : 0;
            if (excess > most) {
                furthest_over = &state;
                most = excess;
            }
        }
        if (furthest_over == nullptr) {
            return;
        }
        revoke_one_slot(*furthest_over);
    }
}

// Revokes a slot of the worker where the entry has most idle slots.
void slot_dispatcher::revoke_one_slot(entry_state& state)
{
    const auto in_flight = sum_by_worker(state.m_report.m_in_flight);
    auto most_idle = state.m_granted.end();
    std::int64_t most = 0;
    for (auto grant = state.m_granted.begin(); grant != state.m_granted.end(); ++grant) {
        const auto idle = std::int64_t{grant->second} - value_or_zero(in_flight, grant->first);
        if (grant->second > 0 && (most_idle == state.m_granted.end() || idle > most)) {
            most_idle = grant;
            most = idle;
        }
    }
    --most_idle->second;
}

bool slot_dispatcher::are_all_targets_met() const
{
    return std::all_of(m_entries.begin(), m_entries.end(), [](const auto& state) {
        return total_of(state.second.m_granted) >= state.second.m_target;
    });
}

void slot_dispatcher::grant_up_to(entry_state& state, std::uint32_t target,
                                  std::map<std::string, std::uint32_t>& free)
{
    auto held = total_of(state.m_granted);
    // Slots committed beyond the grant are still counted for this entry: granting them again takes
    // no free slot.
    for (const auto& [vm, committed] : state.m_committed) {
        auto& granted = state.m_granted[vm];
        const auto limit = std::min(committed, value_or_zero(m_workers, vm));
        while (held < target && granted < limit) {
            ++granted;
            ++held;
        }
    }
    while (held < target) {
        const auto most_free =
            std::max_element(free.begin(), free.end(), [](const auto& left, const auto& right) {
                return left.second < right.second;
            });
        if (most_free == free.end() || most_free->second == 0) {
            return;
        }
        const auto granted = ++state.m_granted[most_free->first];
        auto& committed = state.m_committed[most_free->first];
        committed = std::max(committed, granted);
        --most_free->second;
        ++held;
    }
}

std::map<std::string, std::uint32_t> slot_dispatcher::free_slots() const
{
    auto free = m_workers;
    for (const auto& [entry, state] : m_entries) {
        for (const auto& [vm, committed] : state.m_committed) {
            const auto slots_left = free.find(vm);
            if (slots_left != free.end()) {
                slots_left->second -= std::min(slots_left->second, committed);
            }
        }
    }
    return free;
}

} // namespace peridotrudder
