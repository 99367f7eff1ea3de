#include "peridotrudder/scheduling/locality_wait.hpp"

#include <algorithm>
#include <iterator>

namespace peridotrudder {

namespace {

/// A wait must save at least this share of the run time, in percent: expected ends are rough.
constexpr int least_gain_percent = 25;
constexpr int whole_percent = 100;
/// Interval between decisions for a task whose rack has no room. Each compares all workers of the
/// pool.
constexpr milliseconds judge_interval{100};
constexpr milliseconds prune_interval{5'000};
/// Time after which a task that was not judged again is forgotten.
constexpr milliseconds keep_time{30'000};
constexpr std::size_t max_waits = 20'000;
/// Places of one worker that are looked at. Callers choose how small a task is.
constexpr std::uint32_t max_places_per_worker = 256;

bool pays(const rack_choice& choice)
{
    const auto gain = choice.m_run_time_here - choice.m_run_time - *choice.m_place_in;
    return gain > choice.m_run_time * least_gain_percent / whole_percent;
}

void add_places(const worker_outlook& worker, const resources& each, std::uint32_t max_per_worker,
                time_point now, std::vector<time_point>& places)
{
    auto ends = worker.m_ends;
    std::sort(ends.begin(), ends.end(), [](const expected_end& left, const expected_end& right) {
        return left.m_at < right.m_at;
    });
    auto room = worker.m_room;
    const auto most = max_per_worker == 0 ? max_places_per_worker
                                          : std::min(max_per_worker, max_places_per_worker);
    std::uint32_t found = 0;
    const auto take = [&](time_point at) {
        while (fits(each, room) && found < most) {
            room = room - each;
            places.push_back(std::max(at, now));
            ++found;
        }
    };
    take(now);
    for (const auto& end : ends) {
        room = room + end.m_freed;
        take(end.m_at);
    }
}

} // namespace

std::vector<time_point> expected_places(gsl::span<const worker_outlook> workers,
                                        const resources& each, std::uint32_t max_per_worker,
                                        time_point now)
{
    std::vector<time_point> places;
    if (each.m_cpu_millis <= 0 && each.m_memory_mb <= 0 && each.m_accelerators <= 0) {
        // Any number of such tasks fits.
        return places;
    }
    for (const auto& worker : workers) {
        add_places(worker, each, max_per_worker, now, places);
    }
    std::sort(places.begin(), places.end());
    return places;
}

std::optional<milliseconds> time_until_place(gsl::span<const time_point> places, std::size_t ahead,
                                             milliseconds run_time, time_point now)
{
    if (places.empty()) {
        return std::nullopt;
    }
    // Each place is free again once the task that took it has ended.
    const auto count = static_cast<std::size_t>(places.size());
    const auto rounds = static_cast<std::int64_t>(ahead / count);
    const auto& place = places[static_cast<gsl::span<const time_point>::size_type>(ahead % count)];
    return remaining(now, place) + run_time * rounds;
}

rack_decision rack_waits::decide(const rack_choice& choice, time_point now)
{
    const auto known = m_waits.find(choice.m_key);
    if (!choice.m_place_in || !pays(choice)) {
        return rack_decision::start;
    }
    if (known == m_waits.end()) {
        if (m_waits.size() >= max_waits) {
            return rack_decision::start;
        }
        const auto longest = choice.m_run_time_here - choice.m_run_time;
        m_waits.emplace(choice.m_key, wait_record{now, now + longest, now});
        return rack_decision::begin_wait;
    }
    auto& record = known->second;
    if (record.m_over || now >= record.m_deadline) {
        return rack_decision::start;
    }
    record.m_judged_at = now;
    return rack_decision::wait;
}

bool rack_waits::was_judged(const run_key& key, time_point now) const
{
    const auto known = m_waits.find(key);
    return known != m_waits.end() && !known->second.m_over && now < known->second.m_deadline &&
           now - known->second.m_judged_at < judge_interval;
}

milliseconds rack_waits::longest_wait(const run_key& key, time_point now) const
{
    const auto known = m_waits.find(key);
    return known == m_waits.end() || known->second.m_over
               ? milliseconds{0}
               : remaining(now, known->second.m_deadline);
}

std::optional<ended_rack_wait> rack_waits::start(const run_key& key, bool on_rack, time_point now)
{
    const auto known = m_waits.find(key);
    if (known == m_waits.end() || known->second.m_over) {
        return std::nullopt;
    }
    auto& record = known->second;
    const ended_rack_wait ended{remaining(record.m_since, now), now >= record.m_deadline};
    if (on_rack) {
        m_waits.erase(known);
    }
    else {
        // If the start does not come about, the task must not begin to wait once more.
        record.m_over = true;
        record.m_judged_at = now;
    }
    return ended;
}

void rack_waits::prune(time_point now)
{
    if (now - m_pruned_at < prune_interval) {
        return;
    }
    m_pruned_at = now;
    for (auto entry = m_waits.begin(); entry != m_waits.end();) {
        const bool forgotten = now - entry->second.m_judged_at > keep_time;
        entry = forgotten ? m_waits.erase(entry) : std::next(entry);
    }
}

} // namespace peridotrudder
