#include "peridotrudder/routing/slot_holder.hpp"

#include <algorithm>
#include <numeric>

namespace peridotrudder {

namespace {

std::uint32_t sum_of(const std::map<std::string, std::uint32_t>& slots)
{
    return std::accumulate(slots.begin(), slots.end(), 0U,
                           [](std::uint32_t sum, const auto& each) { return sum + each.second; });
}

/// A dispatcher that takes longer to answer is taken for lost.
constexpr milliseconds fallback_after{100};
constexpr std::uint32_t fallback_long_percent = 50;
constexpr std::uint32_t percent = 100;

} // namespace

slot_holder::slot_holder(std::string pool) : m_pool{std::move(pool)} {}

void slot_holder::set_fallback(const std::vector<worker_slots>& shares)
{
    m_fallback.clear();
    for (const auto& each : shares) {
        m_fallback[each.m_vm] = each.m_slots;
    }
}

void slot_holder::apply(const slot_grant& grant)
{
    if (grant.m_dispatcher == m_dispatcher && grant.m_number <= m_grant) {
        return;
    }
    m_dispatcher = grant.m_dispatcher;
    m_grant = grant.m_number;
    // The lease counts from this entry's own report, so that it never outlasts the dispatcher's
    // count of it, however long the grant was under way.
    m_valid_until = time_point{milliseconds{grant.m_report_sent_at}} + slot_lease_time;
    m_slots.clear();
    for (const auto& each : grant.m_slots) {
        m_slots[each.m_vm] = each.m_slots;
    }
    m_long_slots = grant.m_long_slots;
    m_priority_floor = grant.m_priority_floor;
    m_unanswered_since.reset();
}

bool slot_holder::falls_back(time_point now) const
{
    return lapsed(now) && m_unanswered_since && now - *m_unanswered_since >= fallback_after;
}

const std::map<std::string, std::uint32_t>& slot_holder::usable_slots(time_point now) const
{
    static const std::map<std::string, std::uint32_t> none;
    if (falls_back(now)) {
        return m_fallback;
    }
    return lapsed(now) ? none : m_slots;
}

bool slot_holder::may_start_long(time_point now, std::uint32_t long_in_flight) const
{
    if (falls_back(now)) {
        return long_in_flight * percent < sum_of(m_fallback) * fallback_long_percent;
    }
    return long_in_flight < m_long_slots;
}

bool slot_holder::lapsed(time_point now) const
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
    return lapsed(now) ? work_class::archive : m_priority_floor;
}

bool slot_holder::release_idle_slots(time_point now)
{
    if (priority_floor(now) == work_class::archive) {
        return false;
    }
    bool given = false;
    for (auto& [vm, slots] : m_slots) {
        const auto used = in_flight(vm);
        given = given || used < slots;
        slots = std::min(slots, used);
    }
    return given;
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
    report.m_applied_grant = m_grant;
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
    for (std::size_t of = 0; of < work_class_count; ++of) {
        report.m_waiting.push_back(
            static_cast<std::uint32_t>(queue.waiting_short(static_cast<work_class>(of))));
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
    return sum_of(m_in_flight);
}

std::uint32_t slot_holder::leased_total() const
{
    return sum_of(m_slots);
}

std::uint32_t slot_holder::leased(const std::string& vm, time_point now) const
{
    const auto found = m_slots.find(vm);
    return lapsed(now) || found == m_slots.end() ? 0 : found->second;
}

} // namespace peridotrudder
