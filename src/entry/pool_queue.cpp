#include "peridotrudder/entry/pool_queue.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace peridotrudder {

namespace {

/// Reports for missing slots are sent at once, but at most once in this interval.
constexpr milliseconds min_report_interval{20};
/// The same for reports of waiting urgent calls and of released slots.
constexpr milliseconds urgent_report_interval{4};
/// Leases in use are renewed well before they expire.
constexpr milliseconds renewal_interval{400};
/// Time without use after which leases are no longer renewed.
constexpr milliseconds idle_time{1'000};
/// Time constant of the moving average of the completion rate, in seconds.
constexpr double completion_rate_window_s = 2.0;
constexpr std::size_t min_queue_length_for_estimate = 16;

class two_choices_policy {
public:
    explicit two_choices_policy(std::uint32_t seed) : m_random{seed} {}

    std::optional<std::string> operator()(slot_holder& slots,
                                          const std::vector<pool_worker>& workers,
                                          time_point /*now*/, const worker_filter& usable)
    {
        std::vector<const pool_worker*> candidates;
        for (const auto& worker : workers) {
            if (usable(worker.m_vm) && slots.in_flight(worker.m_vm) < worker.m_slots) {
                candidates.push_back(&worker);
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

std::vector<worker_slots> unleased_shares(const pool_configuration& setup)
{
    std::vector<worker_slots> shares;
    for (const auto& worker : setup.m_workers) {
        const auto entries = std::max(1U, setup.m_entries);
        shares.push_back({worker.m_vm, std::max(1U, worker.m_slots / entries)});
    }
    return shares;
}

} // namespace

slot_acquisition_policy leased_slots()
{
    return {[](slot_holder& slots, const std::vector<pool_worker>& /*workers*/, time_point now,
               const worker_filter& usable) { return slots.acquire(now, usable); },
            true};
}

slot_acquisition_policy two_choices(std::uint32_t seed)
{
    return {two_choices_policy{seed}, false};
}

pool_queue::pool_queue(std::string pool, std::string self, slot_acquisition_policy policy)
    : m_pool{std::move(pool)},
      m_self{std::move(self)},
      m_policy{std::move(policy)},
      m_slots{m_pool}
{
}

void pool_queue::reconfigure(const pool_configuration& setup, time_point now)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    const bool new_dispatcher = setup.m_dispatcher != m_setup.m_dispatcher;
    m_setup = setup;
    m_slots.set_fallback(unleased_shares(setup));
    if (setup.m_dispatcher != m_self) {
        m_slot_dispatcher.reset();
        return;
    }
    if (new_dispatcher || !m_slot_dispatcher) {
        m_slot_dispatcher.emplace(m_pool, fmt::format("{}/{}", m_self, setup.m_view), now);
    }
    std::vector<worker_slots> workers;
    for (const auto& worker : setup.m_workers) {
        workers.push_back({worker.m_vm, worker.m_slots});
    }
    m_slot_dispatcher->set_workers(workers);
}

const pool_worker* pool_queue::find_worker(const std::string& vm) const
{
    const auto position =
        std::find_if(m_setup.m_workers.begin(), m_setup.m_workers.end(),
                     [&](const pool_worker& worker) { return worker.m_vm == vm; });
    return position == m_setup.m_workers.end() ? nullptr : &*position;
}

bool pool_queue::would_wait_too_long(const call& request, time_point now) const
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    std::size_t ahead = 0;
    for (std::size_t work_class_index = 0;
         work_class_index <= static_cast<std::size_t>(request.m_class); ++work_class_index) {
        ahead += m_queue.waiting_short(static_cast<work_class>(work_class_index));
    }
    const bool stalled =
        now - m_last_completion > std::chrono::duration<double>(completion_rate_window_s);
    if (ahead < min_queue_length_for_estimate || stalled || m_completions_per_second <= 0) {
        return false;
    }
    const double wait_s = static_cast<double>(ahead) / m_completions_per_second;
    return wait_s > std::chrono::duration<double>(remaining(now, request.m_wait_until)).count();
}

void pool_queue::push(const call_ptr& queued, time_point now)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    queued->m_long = m_run_times.is_long(queued->route(), queued->m_declared_run_time);
    const auto ticket = ++m_last_ticket;
    m_queue.push({ticket, queued->m_class, queued->m_wait_until, queued->m_long});
    m_calls.emplace(ticket, queued);
    m_last_use_at = now;
}

std::uint32_t pool_queue::long_in_flight(time_point now) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_running.begin(), m_running.end(), [now](const call* running) {
            return running->m_long || now - running->m_started > long_work_threshold;
        }));
}

std::vector<dispatched_call> pool_queue::take_ready(time_point now)
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
    m_report_due = m_report_due || m_queue.size() > 0;
    const bool any_released = m_slots.release_idle_slots(now);
    m_urgent_report_due =
        m_urgent_report_due || any_released || m_queue.waiting_short(work_class::urgent) > 0;
    return ready;
}

std::optional<std::string> pool_queue::choose_worker(const call& request, time_point now)
{
    const auto usable = [&](std::string_view vm) {
        return find_worker(std::string{vm}) != nullptr && m_health.usable(vm, now);
    };
    const auto untried = [&](std::string_view vm) {
        return usable(vm) && request.m_failed_vms.count(std::string{vm}) == 0;
    };
    auto vm = m_policy.m_choose(m_slots, m_setup.m_workers, now, untried);
    if (vm || request.m_failed_vms.empty()) {
        return vm;
    }
    // Retrying on a worker that failed this call is better than blocking the queue.
    return m_policy.m_choose(m_slots, m_setup.m_workers, now, usable);
}

std::vector<call_ptr> pool_queue::take_expired(time_point now)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    std::vector<call_ptr> expired;
    for (const auto& entry : m_queue.take_expired(now)) {
        auto node = m_calls.extract(entry.m_ticket);
        expired.push_back(std::move(node.mapped()));
    }
    return expired;
}

void pool_queue::record_completion(const call& ended, const std::string& vm, bool failed,
                                   std::optional<milliseconds> run_time, time_point now)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    m_slots.release(vm);
    m_running.erase(&ended);
    m_last_use_at = now;
    if (failed) {
        m_health.failed(vm, m_setup.m_workers.size(), now);
    }
    else if (run_time) {
        m_health.succeeded(vm);
        m_run_times.learn(ended.route(), *run_time);
    }
    // An exponentially decaying average: each completion adds 1 / window.
    const std::chrono::duration<double> gap = now - m_last_completion;
    m_completions_per_second =
        m_completions_per_second * std::exp(-gap.count() / completion_rate_window_s) +
        1.0 / completion_rate_window_s;
    m_last_completion = now;
}

void pool_queue::receive_grant(const std::string& from, const slot_grant& grant)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    if (from != m_setup.m_dispatcher) {
        return;
    }
    const auto before = m_slots.leased_total();
    m_slots.apply(grant);
    // A reduced lease is confirmed at once, since other entries wait for the released slots.
    m_report_due = m_report_due || m_slots.leased_total() < before;
}

std::vector<addressed_grant> pool_queue::receive_report(const std::string& from,
                                                        const slot_report& report, time_point now)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    if (!m_slot_dispatcher) {
        return {};
    }
    m_slot_dispatcher->report(from, report, now);
    return m_slot_dispatcher->allocate_slots(now);
}

std::optional<slot_report> pool_queue::take_due_report(time_point now)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    const bool in_use = now - m_last_use_at < idle_time || m_slots.in_flight() > 0;
    const auto since = now - m_last_report;
    const bool due = (m_report_due && since >= min_report_interval) ||
                     (m_urgent_report_due && since >= urgent_report_interval) ||
                     (in_use && since >= renewal_interval);
    if (!due || !m_policy.m_leased || m_setup.m_dispatcher.empty()) {
        return std::nullopt;
    }
    m_report_due = false;
    m_urgent_report_due = false;
    m_last_report = now;
    return m_slots.make_report(now, m_queue, long_in_flight(now));
}

std::string pool_queue::dispatcher() const
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    return m_setup.m_dispatcher;
}

std::uint32_t pool_queue::in_flight(const std::string& vm) const
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    return m_slots.in_flight(vm);
}

std::size_t pool_queue::waiting() const
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    return m_queue.size();
}

} // namespace peridotrudder
