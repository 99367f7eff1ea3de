#include "peridotrudder/routing/slot_holder.hpp"

#include <algorithm>
#include <numeric>

namespace peridotrudder {

namespace {

std::uint32_t total_of(const std::map<std::string, std::uint32_t>& slots)
{
    return std::accumulate(slots.begin(), slots.end(), 0U,
                           [](std::uint32_t sum, const auto& entry) { return sum + entry.second; });
}

/// A dispatcher that takes longer to answer is considered unavailable.
constexpr milliseconds fallback_after{100};
constexpr std::uint32_t fallback_long_percent = 50;
constexpr std::uint32_t percent = 100;

} // namespace

slot_holder::slot_holder(std::string pool) : m_pool{std::move(pool)} {}

void slot_holder::set_fallback(const std::vector<worker_slots>& shares)
{
    m_fallback_slots.clear();
    for (const auto& share : shares) {
        m_fallback_slots[share.m_vm] = share.m_slots;
    }
}

void slot_holder::apply(const slot_grant& grant)
{
    if (grant.m_dispatcher == m_dispatcher && grant.m_number <= m_last_grant) {
        return;
    }
    m_dispatcher = grant.m_dispatcher;
    m_last_grant = grant.m_number;
    // The lease starts when this entry sent its report, so that it never ends later here than at
    // the dispatcher, however long the grant took to arrive.
    m_valid_until = time_point{milliseconds{grant.m_report_sent_at}} + slot_lease_time;
    m_slots.clear();
    for (const auto& granted : grant.m_slots) {
        m_slots[granted.m_vm] = granted.m_slots;
    }
    m_long_slots = grant.m_long_slots;
    m_priority_floor = grant.m_priority_floor;
    m_unanswered_since.reset();
}

bool slot_holder::uses_fallback(time_point now) const
{
    return is_expired(now) && m_unanswered_since && now - *m_unanswered_since >= fallback_after;
}

const std::map<std::string, std::uint32_t>& slot_holder::usable_slots(time_point now) const
{
    static const std::map<std::string, std::uint32_t> none;
    if (uses_fallback(now)) {
        return m_fallback_slots;
    }
    return is_expired(now) ? none : m_slots;
}

bool slot_holder::may_start_long(time_point now, std::uint32_t long_in_flight) const
{
    if (uses_fallback(now)) {
        return long_in_flight * percent < total_of(m_fallback_slots) * fallback_long_percent;
    }
    return long_in_flight < m_long_slots;
}

bool slot_holder::is_expired(time_point now) const
{
    return now >= m_valid_until;
}

std::optional<std::string> slot_holder::acquire(time_point now, const worker_filter& usable)
{
    const std::string* best = nullptr;
    std::uint32_t most_free = 0;
    for (const auto& [vm, slots] : usable_slots(now)) {
        const auto used = in_flight(vm);
        if (used < slots && slots - used > most_free && usable(vm)) {
            best = &vm;
            most_free = slots - used;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    ++m_in_flight[*best];
    return *best;
}

work_class slot_holder::priority_floor(time_point now) const
{
    return is_expired(now) ? work_class::archive : m_priority_floor;
}

bool slot_holder::release_idle_slots(time_point now)
{
    if (priority_floor(now) == work_class::archive) {
        return false;
    }
    bool released_any = false;
    for (auto& [vm, slots] : m_slots) {
        const auto used = in_flight(vm);
        released_any = released_any || used < slots;
        slots = std::min(slots, used);
    }
    return released_any;
}

void slot_holder::release(const std::string& vm)
{
    const auto found = m_in_flight.find(vm);
    if (found == m_in_flight.end()) {
        return;
    }
    if (--found->second == 0) {
        m_in_flight.erase(found);
    }
}

slot_report slot_holder::make_report(time_point now, const work_queue& queue,
                                     std::uint32_t long_in_flight)
{
    if (!m_unanswered_since) {
        m_unanswered_since = now;
    }
    slot_report report;
    report.m_pool = m_pool;
    report.m_sent_at = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    report.m_applied_grant = m_last_grant;
    report.m_applied_dispatcher = m_dispatcher;
    for (const auto& [vm, count] : m_slots) {
        if (count > 0) {
            report.m_held.push_back({vm, count});
        }
    }
    for (const auto& [vm, count] : m_in_flight) {
        report.m_in_flight.push_back({vm, count});
    }
    report.m_long_in_flight = long_in_flight;
    for (std::size_t class_index = 0; class_index < work_class_count; ++class_index) {
        report.m_waiting.push_back(
            static_cast<std::uint32_t>(queue.waiting_short(static_cast<work_class>(class_index))));
    }
    report.m_long_waiting = static_cast<std::uint32_t>(queue.waiting_long());
    return report;
}

std::uint32_t slot_holder::in_flight(const std::string& vm) const
{
    const auto found = m_in_flight.find(vm);
    return found == m_in_flight.end() ? 0 : found->second;
}

std::uint32_t slot_holder::in_flight() const
{
    return total_of(m_in_flight);
}

std::uint32_t slot_holder::leased_total() const
{
    return total_of(m_slots);
}

std::uint32_t slot_holder::leased(const std::string& vm, time_point now) const
{
    const auto found = m_slots.find(vm);
    return is_expired(now) || found == m_slots.end() ? 0 : found->second;
}

} // namespace peridotrudder
