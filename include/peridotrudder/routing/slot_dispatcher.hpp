#pragma once

/// @file
/// Leases the slots of one pool to the entries.

#include "peridotrudder/routing/slot_messages.hpp"

#include <gsl/span>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace peridotrudder {

/// A grant and the entry that receives it.
struct addressed_grant {
    std::string m_to;
    slot_grant m_grant;
};

/// Leases one pool's slots to entries according to their reported demand.
///
/// At any time the valid leases for a worker add up to no more than its slots: a slot revoked from
/// one entry is granted to another only after the first entry reported that it applied the smaller
/// grant, or after its lease expired. A new dispatcher grants nothing for one lease time, since it
/// does not know what its predecessor leased. Pure; not thread-safe.
class slot_dispatcher {
public:
    /// `run` identifies this dispatcher run and must be unique among all that the pool ever had.
    slot_dispatcher(std::string pool, std::string run, time_point now);

    /// Sets the workers that may receive new work, with their slots.
    void set_workers(gsl::span<const worker_slots> workers);

    /// Stores an entry's report, which also renews its leases.
    void report(const std::string& entry, const slot_report& report, time_point now);

    /// Allocates the slots by the latest reports. Returns the grants that changed, and those that
    /// answer a report.
    std::vector<addressed_grant> allocate_slots(time_point now);

private:
    /// One entry's demand and the slots it may still use.
    struct entry_state {
        slot_report m_report;
        time_point m_reported_at;
        bool m_needs_grant{false};
        std::uint64_t m_last_grant{0};
        /// Slots in the last grant, by worker.
        std::map<std::string, std::uint32_t> m_granted;
        /// Slots that the entry may still use or occupy, by worker: at least the last grant, and
        /// more until the entry has applied a smaller one.
        std::map<std::string, std::uint32_t> m_committed;
        std::uint32_t m_long_granted{0};
        std::uint32_t m_long_target{0};
        std::uint32_t m_target{0};
    };

    void drop_expired_leases(time_point now);
    void set_long_targets();
    void set_targets();
    void revoke_removed_workers(entry_state& state);
    void revoke_needed_slots();
    static void revoke_one_slot(entry_state& state);
    bool are_all_targets_met() const;
    void grant_up_to(entry_state& state, std::uint32_t target,
                     std::map<std::string, std::uint32_t>& free);
    std::map<std::string, std::uint32_t> free_slots() const;
    std::uint32_t total_slots() const;
    work_class needed_priority_floor() const;
    work_class held_priority_floor(time_point now);

    std::string m_pool;
    std::string m_dispatcher_run;
    time_point m_first_grant_at;
    std::uint64_t m_last_grant_number{0};
    work_class m_priority_floor{work_class::archive};
    time_point m_priority_floor_until;
    std::map<std::string, std::uint32_t> m_workers;
    std::map<std::string, entry_state> m_entries;
};

namespace internal {

/// Distributes `available` slots by max-min fairness: no share exceeds its demand, and the smallest
/// share is as large as possible. `shares` holds the initial shares and is raised in place. Returns
/// the slots left over.
std::uint32_t fill_evenly(std::uint32_t available, gsl::span<const std::uint32_t> demands,
                          gsl::span<std::uint32_t> shares);

} // namespace internal

} // namespace peridotrudder
