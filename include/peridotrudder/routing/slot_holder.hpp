#pragma once

/// @file
/// The slots of one pool that an entry has leased, and what it uses of them.

#include "peridotrudder/routing/slot_messages.hpp"
#include "peridotrudder/routing/work_queue.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace peridotrudder {

/// Tells whether a worker may be given work now.
using worker_filter = std::function<bool(std::string_view vm)>;

/// Keeps one entry's lease on a pool. Pure; not thread-safe.
///
/// When the dispatcher does not answer and the lease has lapsed, the entry uses a fixed share of
/// each worker instead: all entries' shares together are about the worker's slots.
class slot_holder {
public:
    explicit slot_holder(std::string pool);

    /// Sets the slots of each worker that may be used while the dispatcher does not answer.
    void set_fallback(const std::vector<worker_slots>& shares);

    /// Takes a grant; one that is older than the grant held is ignored.
    void apply(const slot_grant& grant);

    /// Takes a slot of the least used worker that passes `usable`; nothing when the lease has no
    /// slot left or has lapsed.
    std::optional<std::string> acquire(time_point now, const worker_filter& usable);

    /// Takes a slot of a worker without a lease, for policies that need none.
    void acquire_unleased(const std::string& vm) { ++m_in_flight[vm]; }

    /// Returns the least pressing class that may start now.
    work_class priority_floor(time_point now) const;

    /// Gives up the slots that are idle, while a more pressing class waits elsewhere. Returns
    /// whether there were any.
    bool release_idle_slots(time_point now);

    /// Gives a slot back.
    void release(const std::string& vm);

    /// Returns whether one more long request may start.
    bool may_start_long(time_point now, std::uint32_t long_in_flight) const;

    /// Returns the report to send to the dispatcher now.
    slot_report make_report(time_point now, const work_queue& queue, std::uint32_t long_in_flight);

    /// Returns the requests in flight at one worker.
    std::uint32_t in_flight(const std::string& vm) const;

    /// Returns the requests in flight at all workers.
    std::uint32_t in_flight() const;

    /// Returns the slots leased for one worker, zero once the lease has lapsed.
    std::uint32_t leased(const std::string& vm, time_point now) const;

    /// Returns the slots in the last grant, lapsed or not.
    std::uint32_t leased_total() const;

private:
    bool lapsed(time_point now) const;
    bool falls_back(time_point now) const;
    const std::map<std::string, std::uint32_t>& usable_slots(time_point now) const;

    std::string m_pool;
    std::string m_dispatcher;
    std::uint64_t m_grant{0};
    time_point m_valid_until;
    std::map<std::string, std::uint32_t> m_slots;
    std::uint32_t m_long_slots{0};
    work_class m_priority_floor{work_class::archive};
    std::map<std::string, std::uint32_t> m_fallback;
    /// When the first report was made that no grant has answered yet.
    std::optional<time_point> m_unanswered_since;
    std::map<std::string, std::uint32_t> m_in_flight;
};

} // namespace peridotrudder
