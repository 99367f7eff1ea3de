#include "peridotrudder/routing/slot_dispatcher.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace peridotrudder {

namespace {

/// Slots in a hundred that long work may use at most.
constexpr std::uint32_t long_share_percent = 75;
constexpr std::uint32_t percent = 100;
/// Free slots that an entry gets beyond its demand, so that its next request need not ask.
constexpr std::uint32_t standby_slots = 2;
constexpr milliseconds priority_floor_hold_time{50};

std::uint32_t sum_of(const std::map<std::string, std::uint32_t>& slots)
{
    return std::accumulate(slots.begin(), slots.end(), 0U,
                           [](std::uint32_t sum, const auto& each) { return sum + each.second; });
}

std::uint32_t value_or_zero(const std::map<std::string, std::uint32_t>& slots,
                            const std::string& vm)
{
    const auto found = slots.find(vm);
    return found == slots.end() ? 0 : found->second;
}

std::map<std::string, std::uint32_t> by_worker(gsl::span<const worker_slots> list)
{
    std::map<std::string, std::uint32_t> slots;
    for (const auto& each : list) {
        slots[each.m_vm] += each.m_slots;
    }
    return slots;
}

} // namespace

namespace internal {

std::uint32_t fill_evenly(std::uint32_t available, gsl::span<const std::uint32_t> demands,
                          gsl::span<std::uint32_t> shares)
{
    while (available > 0) {
        std::size_t neediest = shares.size();
        for (std::size_t index = 0; index < shares.size(); ++index) {
            const bool wants = shares[index] < demands[index];
            if (wants && (neediest == shares.size() || shares[index] < shares[neediest])) {
                neediest = index;
            }
        }
        if (neediest == shares.size()) {
            break;
        }
        ++shares[neediest];
        --available;
    }
    return available;
}

} // namespace internal

slot_dispatcher::slot_dispatcher(std::string pool, std::string run, time_point now)
    : m_pool{std::move(pool)},
      m_run{std::move(run)},
      m_grants_from{now + slot_lease_time}
{
}

void slot_dispatcher::set_workers(gsl::span<const worker_slots> workers)
{
    m_workers = by_worker(workers);
}

void slot_dispatcher::report(const std::string& entry, const slot_report& report, time_point now)
{
    auto& each = m_holders[entry];
    each.m_report = report;
    each.m_reported_at = now;
    each.m_unanswered = true;
    const auto in_flight = by_worker(report.m_in_flight);
    if (report.m_applied_dispatcher == m_run && report.m_applied_grant == each.m_last_grant) {
        // The entry has the newest grant: what it holds is that, and what still runs beyond it.
        const auto held = by_worker(report.m_held);
        for (auto& [vm, slots] : each.m_granted) {
            slots = std::min(slots, value_or_zero(held, vm));
        }
        each.m_committed = each.m_granted;
    }
    for (const auto& [vm, count] : in_flight) {
        auto& committed = each.m_committed[vm];
        committed = std::max(committed, count);
    }
}

std::vector<addressed_grant> slot_dispatcher::allocate_slots(time_point now)
{
    std::vector<addressed_grant> grants;
    drop_lapsed(now);
    if (now < m_grants_from) {
        return grants;
    }
    set_long_targets();
    set_targets();
    std::map<std::string, std::map<std::string, std::uint32_t>> before;
    for (auto& [entry, each] : m_holders) {
        before[entry] = each.m_granted;
        drop_lost_workers(each);
    }
    lower_where_needed();
    auto free = free_slots();
    for (auto& [entry, each] : m_holders) {
        raise(each, each.m_target, free);
    }
    if (are_all_targets_met()) {
        for (auto& [entry, each] : m_holders) {
            raise(each, each.m_target + standby_slots, free);
        }
    }
    const auto priority_floor = held_priority_floor(now);
    const bool priority_floor_changed =
        priority_floor != std::exchange(m_priority_floor, priority_floor);
    for (auto& [entry, each] : m_holders) {
        const bool changed = priority_floor_changed || each.m_granted != before[entry] ||
                             each.m_long_granted != each.m_long_target;
        if (!changed && !each.m_unanswered) {
            continue;
        }
        each.m_unanswered = false;
        each.m_long_granted = each.m_long_target;
        each.m_last_grant = ++m_last_number;
        slot_grant grant;
        grant.m_pool = m_pool;
        grant.m_dispatcher = m_run;
        grant.m_number = each.m_last_grant;
        grant.m_report_sent_at = each.m_report.m_sent_at;
        grant.m_long_slots = each.m_long_granted;
        grant.m_priority_floor = priority_floor;
        for (const auto& [vm, slots] : each.m_granted) {
            if (slots > 0) {
                grant.m_slots.push_back({vm, slots});
            }
        }
        grants.push_back({entry, std::move(grant)});
    }
    return grants;
}

void slot_dispatcher::drop_lapsed(time_point now)
{
    for (auto each = m_holders.begin(); each != m_holders.end();) {
        const bool lapsed = now - each->second.m_reported_at >= slot_lease_time;
        each = lapsed ? m_holders.erase(each) : std::next(each);
    }
}

std::uint32_t slot_dispatcher::total_slots() const
{
    return sum_of(m_workers);
}

// Keeps the priority_floor for a while after the last such work got its slot: more of it is likely
// to come, and slots that fall idle meanwhile wait for it.
work_class slot_dispatcher::held_priority_floor(time_point now)
{
    const auto needed = needed_priority_floor();
    if (needed != work_class::archive) {
        m_priority_floor_until = now + priority_floor_hold_time;
        return needed;
    }
    return now < m_priority_floor_until ? m_priority_floor : needed;
}

// Returns the most pressing class of which some entry has more waiting than slots.
work_class slot_dispatcher::needed_priority_floor() const
{
    for (std::size_t of = 0; of < work_class_count; ++of) {
        for (const auto& [entry, each] : m_holders) {
            const auto& waiting = each.m_report.m_waiting;
            auto wanted = sum_of(by_worker(each.m_report.m_in_flight));
            for (std::size_t up_to = 0; up_to <= of && up_to < waiting.size(); ++up_to) {
                wanted += waiting[up_to];
            }
            const bool waits = of < waiting.size() && waiting[of] > 0;
            if (waits && wanted > sum_of(each.m_granted)) {
                return static_cast<work_class>(of);
            }
        }
    }
    return work_class::archive;
}

void slot_dispatcher::set_long_targets()
{
    std::vector<std::uint32_t> demands;
    for (const auto& [entry, each] : m_holders) {
        demands.push_back(each.m_report.m_long_in_flight + each.m_report.m_long_waiting);
    }
    std::vector<std::uint32_t> shares(demands.size(), 0);
    internal::fill_evenly(total_slots() * long_share_percent / percent, demands, shares);
    std::size_t index = 0;
    for (auto& [entry, each] : m_holders) {
        each.m_long_target = shares[index++];
    }
}

// Fills in rounds: first what runs, then what waits, class by class, most pressing first.
void slot_dispatcher::set_targets()
{
    std::vector<std::uint32_t> demands;
    for (const auto& [entry, each] : m_holders) {
        demands.push_back(sum_of(by_worker(each.m_report.m_in_flight)));
    }
    std::vector<std::uint32_t> shares(demands.size(), 0);
    auto available = internal::fill_evenly(total_slots(), demands, shares);
    for (std::size_t of = 0; of < work_class_count; ++of) {
        std::size_t index = 0;
        for (const auto& [entry, each] : m_holders) {
            const auto& waiting = each.m_report.m_waiting;
            demands[index++] += of < waiting.size() ? waiting[of] : 0;
        }
        available = internal::fill_evenly(available, demands, shares);
    }
    std::size_t index = 0;
    for (const auto& [entry, each] : m_holders) {
        const auto running = std::min(each.m_report.m_long_in_flight, each.m_long_target);
        demands[index++] += std::min(each.m_report.m_long_waiting, each.m_long_target - running);
    }
    internal::fill_evenly(available, demands, shares);
    index = 0;
    for (auto& [entry, each] : m_holders) {
        each.m_target = shares[index++];
    }
}

void slot_dispatcher::drop_lost_workers(holder& each)
{
    for (auto& [vm, slots] : each.m_granted) {
        slots = std::min(slots, value_or_zero(m_workers, vm));
    }
}

// Slots stay where they are until they are needed elsewhere: a grant that does not change costs no
// message to the others.
void slot_dispatcher::lower_where_needed()
{
    std::uint32_t needed = 0;
    for (const auto& [entry, each] : m_holders) {
        const auto held = sum_of(each.m_granted);
        needed += each.m_target > held ? each.m_target - held : 0;
    }
    const auto free = sum_of(free_slots());
    for (auto missing = needed > free ? needed - free : 0; missing > 0; --missing) {
        holder* richest = nullptr;
        std::uint32_t most = 0;
        for (auto& [entry, each] : m_holders) {
            const auto held = sum_of(each.m_granted);
            const auto excess = held > each.m_target ? held - each.m_target : 0;
            if (excess > most) {
                richest = &each;
                most = excess;
            }
        }
        if (richest == nullptr) {
            return;
        }
        take_one(*richest);
    }
}

// Takes a slot that the entry does not use before one that it does.
void slot_dispatcher::take_one(holder& from)
{
    const auto in_flight = by_worker(from.m_report.m_in_flight);
    auto most_idle = from.m_granted.end();
    std::int64_t most = 0;
    for (auto grant = from.m_granted.begin(); grant != from.m_granted.end(); ++grant) {
        const auto idle = std::int64_t{grant->second} - value_or_zero(in_flight, grant->first);
        if (grant->second > 0 && (most_idle == from.m_granted.end() || idle > most)) {
            most_idle = grant;
            most = idle;
        }
    }
    --most_idle->second;
}

bool slot_dispatcher::are_all_targets_met() const
{
    return std::all_of(m_holders.begin(), m_holders.end(), [](const auto& each) {
        return sum_of(each.second.m_granted) >= each.second.m_target;
    });
}

void slot_dispatcher::raise(holder& each, std::uint32_t wanted,
                            std::map<std::string, std::uint32_t>& free)
{
    auto held = sum_of(each.m_granted);
    // What is committed beyond the grant counts already: granting it again needs no free slot.
    for (const auto& [vm, committed] : each.m_committed) {
        auto& granted = each.m_granted[vm];
        const auto limit = std::min(committed, value_or_zero(m_workers, vm));
        while (held < wanted && granted < limit) {
            ++granted;
            ++held;
        }
    }
    while (held < wanted) {
        const auto roomiest =
            std::max_element(free.begin(), free.end(), [](const auto& left, const auto& right) {
                return left.second < right.second;
            });
        if (roomiest == free.end() || roomiest->second == 0) {
            return;
        }
        const auto granted = ++each.m_granted[roomiest->first];
        auto& committed = each.m_committed[roomiest->first];
        committed = std::max(committed, granted);
        --roomiest->second;
        ++held;
    }
}

std::map<std::string, std::uint32_t> slot_dispatcher::free_slots() const
{
    auto free = m_workers;
    for (const auto& [entry, each] : m_holders) {
        for (const auto& [vm, committed] : each.m_committed) {
            const auto found = free.find(vm);
            if (found != free.end()) {
                found->second -= std::min(found->second, committed);
            }
        }
    }
    return free;
}

} // namespace peridotrudder
