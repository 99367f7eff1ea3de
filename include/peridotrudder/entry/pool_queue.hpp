#pragma once

/// @file
/// The state of one pool at one entry: its queue, its slots and its workers.

#include "peridotrudder/entry/call.hpp"
#include "peridotrudder/journal/fleet_state.hpp"
#include "peridotrudder/machines/worker_health.hpp"
#include "peridotrudder/routing/run_time_estimator.hpp"
#include "peridotrudder/routing/slot_dispatcher.hpp"
#include "peridotrudder/routing/slot_holder.hpp"
#include "peridotrudder/routing/work_queue.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridotrudder {

/// A worker that a pool queue may send calls to.
struct pool_worker {
    std::string m_vm;
    std::string m_address;
    std::uint16_t m_port{0};
    std::uint32_t m_slots{0};
};

/// A call and the worker on which a slot was acquired for it.
struct dispatched_call {
    call_ptr m_call;
    pool_worker m_worker;
};

/// The workers and the dispatcher of a pool, according to the log and the VM list.
struct pool_configuration {
    std::vector<pool_worker> m_workers;
    /// Number of entries in the view.
    std::uint32_t m_entries{1};
    /// Incarnation of the entry that leases the pool's slots.
    std::string m_dispatcher;
    /// Number of the view that determined the dispatcher.
    std::uint64_t m_view{0};
};

/// Acquires a slot for the next call and returns its worker, or nothing if no slot is free. A
/// `std::function` so that policies can be compared.
using slot_chooser = std::function<std::optional<std::string>(
    slot_holder& slots, const std::vector<pool_worker>& workers, time_point now,
    const worker_filter& usable)>;

/// How a pool queue acquires slots.
struct slot_acquisition_policy {
    slot_chooser m_choose;
    /// Whether slots, including those for long-running calls, are leased from the pool's
    /// dispatcher.
    bool m_leased{true};
};

/// Returns the policy that uses leased slots only.
slot_acquisition_policy leased_slots();

/// Returns the policy that picks the less loaded of two random workers, by this entry's own counts
/// of calls in flight.
slot_acquisition_policy two_choices(std::uint32_t seed);

/// Queues the calls of one pool and assigns slots to them. Thread-safe: one lock per pool.
class pool_queue {
public:
    pool_queue(std::string pool, std::string self, slot_acquisition_policy policy);

    void reconfigure(const pool_configuration& setup, time_point now);

    /// Returns whether a call is expected to wait past its deadline, by the recent completion rate.
    bool would_wait_too_long(const call& request, time_point now) const;

    void push(const call_ptr& queued, time_point now);

    /// Removes and returns the calls that get a slot now.
    std::vector<dispatched_call> take_ready(time_point now);

    /// Removes and returns the calls whose time to wait is over.
    std::vector<call_ptr> take_expired(time_point now);

    /// Releases the slot of a call and updates the worker's health and the run time estimates.
    /// `run_time` is empty if the call failed or did not run.
    void record_completion(const call& ended, const std::string& vm, bool failed,
                           std::optional<milliseconds> run_time, time_point now);

    /// Handles a message of the slot protocol.
    void receive_grant(const std::string& from, const slot_grant& grant);
    std::vector<addressed_grant> receive_report(const std::string& from, const slot_report& report,
                                                time_point now);

    /// Returns the report that is due, if any.
    std::optional<slot_report> take_due_report(time_point now);

    /// Returns the incarnation of the entry that reports are sent to.
    std::string dispatcher() const;

    /// Returns the number of requests in flight at one worker.
    std::uint32_t in_flight(const std::string& vm) const;
    std::size_t waiting() const;

private:
    const pool_worker* find_worker(const std::string& vm) const;
    std::optional<std::string> choose_worker(const call& request, time_point now);
    std::uint32_t long_in_flight(time_point now) const;

    mutable std::mutex m_mutex;
    std::string m_pool;
    std::string m_self;
    slot_acquisition_policy m_policy;
    pool_configuration m_setup;
    work_queue m_queue;
    std::unordered_map<std::uint64_t, call_ptr> m_calls;
    std::uint64_t m_last_ticket{0};
    slot_holder m_slots;
    std::optional<slot_dispatcher> m_slot_dispatcher;
    worker_health m_health;
    run_time_estimator m_run_times;
    std::set<const call*> m_running;
    double m_completions_per_second{0};
    time_point m_last_completion;
    time_point m_last_report;
    time_point m_last_use_at;
    bool m_report_due{false};
    bool m_urgent_report_due{false};
};

} // namespace peridotrudder
