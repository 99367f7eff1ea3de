#include "peridotrudder/entry/pool_lane.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace peridotrudder {

namespace {

/// A report goes out at once when a slot is missing, but no more often than this.
constexpr milliseconds report_spacing{20};
/// The same for slots that urgent work waits for.
constexpr milliseconds hurried_spacing{4};
/// A lease in use is renewed well before it lapses.
constexpr milliseconds renewal_interval{400};
/// Slots are given up after a time without use.
constexpr milliseconds idle_time{1'000};
/// Time over which the pace of completions is averaged, in seconds.
constexpr double pace_window_s = 2.0;
constexpr std::size_t waiting_to_judge = 16;

class two_choices_policy {
public:
    explicit two_choices_policy(std::uint32_t seed) : m_random{seed} {}

    std::optional<std::string> operator()(slot_holder& slots,
                                          const std::vector<lane_worker>& workers,
                                          time_point /*now*/, const worker_filter& usable)
    {
        std::vector<const lane_worker*> candidates;
        for (const auto& each : workers) {
            if (usable(each.m_vm) && slots.in_flight(each.m_vm) < each.m_slots) {
                candidates.push_back(&each);
            }
        }
        if (candidates.empty()) {
            return std::nullopt;
        }
        std::uniform_int_distribution<std::size_t> index{0, candidates.size() - 1};
        const auto* first = candidates[index(m_random)];
        const auto* second = candidates[index(m_random)];
        const bool take_first = slots.in_flight(first->m_vm) <= slots.in_flight(second->m_vm);
        const auto& chosen = take_first ? first->m_vm : second->m_vm;
        slots.acquire_unleased(chosen);
        return chosen;
    }

private:
    std::mt19937 m_random;
};

std::vector<worker_slots> fallback_shares(const lane_setup& setup)
{
    std::vector<worker_slots> shares;
    for (const auto& each : setup.m_workers) {
        const auto entries = std::max(1U, setup.m_entries);
        shares.push_back({each.m_vm, std::max(1U, each.m_slots / entries)});
    }
    return shares;
}

} // namespace

lane_policy leased_slots()
{
    return {[](slot_holder& slots, const std::vector<lane_worker>& /*workers*/, time_point now,
               const worker_filter& usable) { return slots.acquire(now, usable); },
            true};
}

lane_policy two_choices(std::uint32_t seed)
{
    return {two_choices_policy{seed}, false};
}

pool_lane::pool_lane(std::string pool, std::string self, lane_policy policy)
    : m_pool{std::move(pool)},
      m_self{std::move(self)},
      m_policy{std::move(policy)},
      m_slots{m_pool}
{
}

void pool_lane::set_up(const lane_setup& setup, time_point now)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    const bool new_dispatcher = setup.m_dispatcher != m_setup.m_dispatcher;
    m_setup = setup;
    m_slots.set_fallback(fallback_shares(setup));
    if (setup.m_dispatcher != m_self) {
        m_divider.reset();
        return;
    }
    if (new_dispatcher || !m_divider) {
        m_divider.emplace(m_pool, fmt::format("{}/{}", m_self, setup.m_view), now);
    }
    std::vector<worker_slots> workers;
    for (const auto& each : setup.m_workers) {
        workers.push_back({each.m_vm, each.m_slots});
    }
    m_divider->set_workers(workers);
}

const lane_worker* pool_lane::find_worker(const std::string& vm) const
{
    const auto found = std::find_if(m_setup.m_workers.begin(), m_setup.m_workers.end(),
                                    [&](const lane_worker& each) { return each.m_vm == vm; });
    return found == m_setup.m_workers.end() ? nullptr : &*found;
}

bool pool_lane::would_wait_too_long(const call& wanted, time_point now) const
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    std::size_t ahead = 0;
    for (std::size_t of = 0; of <= static_cast<std::size_t>(wanted.m_class); ++of) {
        ahead += m_queue.waiting_short(static_cast<work_class>(of));
    }
    const bool stalled = now - m_last_completion > std::chrono::duration<double>(pace_window_s);
    if (ahead < waiting_to_judge || stalled || m_completions_per_second <= 0) {
        return false;
    }
    const double wait_s = static_cast<double>(ahead) / m_completions_per_second;
    return wait_s > std::chrono::duration<double>(remaining(now, wanted.m_wait_until)).count();
}

void pool_lane::push(const call_ptr& queued, time_point now)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    queued->m_long = m_run_times.is_long(queued->route(), queued->m_declared_run_time);
    const auto ticket = ++m_last_ticket;
    m_queue.push({ticket, queued->m_class, queued->m_wait_until, queued->m_long});
    m_calls.emplace(ticket, queued);
    m_last_use = now;
}

std::uint32_t pool_lane::long_in_flight(time_point now) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_running.begin(), m_running.end(), [now](const call* each) {
            return each->m_long || now - each->m_started > long_work_threshold;
        }));
}

std::vector<dispatched_call> pool_lane::take_ready(time_point now)
{
    std::vector<dispatched_call> ready;
    const std::lock_guard<std::mutex> lock{m_mutex};
    while (m_queue.size() > 0) {
        const bool allow_long =
            !m_policy.m_leased || m_slots.may_start_long(now, long_in_flight(now));
        const auto next = m_queue.pop(allow_long, m_slots.priority_floor(now));
        if (!next) {
            break;
        }
        const auto& waiting = m_calls.at(next->m_ticket);
        const auto vm = choose_worker(*waiting, now);
        if (!vm) {
            m_queue.push(*next);
            break;
        }
        waiting->m_started = now;
        m_running.insert(waiting.get());
        ready.push_back({waiting, *find_worker(*vm)});
        m_calls.erase(next->m_ticket);
    }
    m_report_wanted = m_report_wanted || m_queue.size() > 0;
    const bool gave_up = m_slots.release_idle_slots(now);
    m_hurried = m_hurried || gave_up || m_queue.waiting_short(work_class::urgent) > 0;
    return ready;
}

std::optional<std::string> pool_lane::choose_worker(const call& wanted, time_point now)
{
    const auto usable = [&](std::string_view vm) {
        return find_worker(std::string{vm}) != nullptr && m_health.usable(vm, now);
    };
    const auto untried = [&](std::string_view vm) {
        return usable(vm) && wanted.m_failed_vms.count(std::string{vm}) == 0;
    };
    auto vm = m_policy.m_choose(m_slots, m_setup.m_workers, now, untried);
    if (vm || wanted.m_failed_vms.empty()) {
        return vm;
    }
    // A worker that failed the call before is better than holding up the queue.
    return m_policy.m_choose(m_slots, m_setup.m_workers, now, usable);
}

std::vector<call_ptr> pool_lane::take_expired(time_point now)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    std::vector<call_ptr> expired;
    for (const auto& each : m_queue.take_expired(now)) {
        auto node = m_calls.extract(each.m_ticket);
        expired.push_back(std::move(node.mapped()));
    }
    return expired;
}

void pool_lane::finished(const call& ended, const std::string& vm, bool failed,
                         std::optional<milliseconds> run_time, time_point now)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    m_slots.release(vm);
    m_running.erase(&ended);
    m_last_use = now;
    if (failed) {
        m_health.failed(vm, m_setup.m_workers.size(), now);
    }
    else if (run_time) {
        m_health.succeeded(vm);
        m_run_times.learn(ended.route(), *run_time);
    }
    // An average that fades with time: each completion adds its share of the window.
    const std::chrono::duration<double> gap = now - m_last_completion;
    m_completions_per_second =
        m_completions_per_second * std::exp(-gap.count() / pace_window_s) + 1.0 / pace_window_s;
    m_last_completion = now;
}

void pool_lane::receive_grant(const std::string& from, const slot_grant& grant)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    if (from != m_setup.m_dispatcher) {
        return;
    }
    const auto before = m_slots.leased_total();
    m_slots.apply(grant);
    // A smaller lease is confirmed at once: others wait for what it gave up.
    m_report_wanted = m_report_wanted || m_slots.leased_total() < before;
}

std::vector<addressed_grant> pool_lane::receive_report(const std::string& from,
                                                       const slot_report& report, time_point now)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    if (!m_divider) {
        return {};
    }
    m_divider->report(from, report, now);
    return m_divider->allocate_slots(now);
}

std::optional<slot_report> pool_lane::take_due_report(time_point now)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    const bool in_use = now - m_last_use < idle_time || m_slots.in_flight() > 0;
    const auto since = now - m_last_report;
    const bool due = (m_report_wanted && since >= report_spacing) ||
                     (m_hurried && since >= hurried_spacing) ||
                     (in_use && since >= renewal_interval);
    if (!due || !m_policy.m_leased || m_setup.m_dispatcher.empty()) {
        return std::nullopt;
    }
    m_report_wanted = false;
    m_hurried = false;
    m_last_report = now;
    return m_slots.make_report(now, m_queue, long_in_flight(now));
}

std::string pool_lane::dispatcher() const
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    return m_setup.m_dispatcher;
}

std::uint32_t pool_lane::in_flight(const std::string& vm) const
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    return m_slots.in_flight(vm);
}

std::size_t pool_lane::waiting() const
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    return m_queue.size();
}

} // namespace peridotrudder
