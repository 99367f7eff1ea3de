#pragma once

/// @file
/// The slots of one pool that an entry has leased, and how many of them it uses.

#include "peridotrudder/routing/slot_messages.hpp"
#include "peridotrudder/routing/work_queue.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace peridotrudder {

/// Returns whether a worker may receive work now.
using worker_filter = std::function<bool(std::string_view vm)>;

/// Holds one entry's lease on a pool. Pure; not thread-safe.
///
/// When the lease has expired and the dispatcher does not answer, the entry uses a fixed share of
/// each worker's slots. The shares of all entries add up to about the worker's slots.
class slot_holder {
public:
    explicit slot_holder(std::string pool);

    /// Sets the slots of each worker to use while the dispatcher does not answer.
    void set_fallback(const std::vector<worker_slots>& shares);

    /// Replaces the lease by a grant. Ignores a grant that is not newer than the current one of the
    /// same dispatcher.
    void apply(const slot_grant& grant);

    /// Takes a slot of the worker with the most free slots that passes `usable` and returns its VM.
    /// Returns nothing if no slot is left or the lease has expired.
    std::optional<std::string> acquire(time_point now, const worker_filter& usable);

    /// Takes a slot of a worker without a lease, for slot policies that use no leases.
    void acquire_unleased(const std::string& vm) { ++m_in_flight[vm]; }

    /// Returns the lowest class that may start now.
    work_class priority_floor(time_point now) const;

    /// Drops the idle slots from the lease while a higher class waits at another entry. Returns
    /// whether there were any.
    bool release_idle_slots(time_point now);

    /// Frees a slot taken with `acquire` or `acquire_unleased`.
    void release(const std::string& vm);

    /// Returns whether another long request may start while `long_in_flight` run.
    bool may_start_long(time_point now, std::uint32_t long_in_flight) const;

    /// Returns the report to send to the dispatcher now.
    slot_report make_report(time_point now, const work_queue& queue, std::uint32_t long_in_flight);

    /// Returns the number of requests in flight at one worker.
    std::uint32_t in_flight(const std::string& vm) const;

    /// Returns the number of requests in flight at all workers.
    std::uint32_t in_flight() const;

    /// Returns the number of slots leased for one worker; zero once the lease has expired.
    std::uint32_t leased(const std::string& vm, time_point now) const;

    /// Returns the number of slots in the last grant, expired or not, without those released since.
    std::uint32_t leased_total() const;

private:
    bool is_expired(time_point now) const;
    bool uses_fallback(time_point now) const;
    const std::map<std::string, std::uint32_t>& usable_slots(time_point now) const;

    std::string m_pool;
    std::string m_dispatcher;
    std::uint64_t m_last_grant{0};
    time_point m_valid_until;
    std::map<std::string, std::uint32_t> m_slots;
    std::uint32_t m_long_slots{0};
    work_class m_priority_floor{work_class::archive};
    std::map<std::string, std::uint32_t> m_fallback_slots;
    /// Time of the first report since the last applied grant.
    std::optional<time_point> m_unanswered_since;
    std::map<std::string, std::uint32_t> m_in_flight;
};

} // namespace peridotrudder
