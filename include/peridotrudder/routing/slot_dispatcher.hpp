#pragma once

/// @file
/// Divides the slots of one pool among the entries, as leases.

#include "peridotrudder/routing/slot_messages.hpp"

#include <gsl/span>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace peridotrudder {

/// A grant and the entry that it goes to.
struct addressed_grant {
    std::string m_to;
    slot_grant m_grant;
};

/// Leases one pool's slots to entries by what they report.
///
/// At any moment the valid leases for a worker add up to no more than its slots: a slot taken from
/// one entry is given to another only after the first reported that it applied the smaller grant,
/// or after its lease lapsed. Pure; not thread-safe. A new dispatcher holds back for one lease
/// time, as it cannot know what its predecessor leased.
class slot_dispatcher {
public:
    /// `run` must differ between any two dispatchers that a pool ever had.
    slot_dispatcher(std::string pool, std::string run, time_point now);

    /// Sets the workers that may be given new work.
    void set_workers(gsl::span<const worker_slots> workers);

    /// Takes an entry's report.
    void report(const std::string& entry, const slot_report& report, time_point now);

    /// Divides the slots anew and returns the grants that changed or must be renewed.
    std::vector<addressed_grant> allocate_slots(time_point now);

private:
    /// One entry's demand and what it may believe to hold.
    struct holder {
        slot_report m_report;
        time_point m_reported_at;
        bool m_unanswered{false};
        std::uint64_t m_last_grant{0};
        /// Slots in the last grant, by worker.
        std::map<std::string, std::uint32_t> m_granted;
        /// Slots that the entry may still use or occupy, by worker.
        std::map<std::string, std::uint32_t> m_committed;
        std::uint32_t m_long_granted{0};
        std::uint32_t m_long_target{0};
        std::uint32_t m_target{0};
    };

    void drop_lapsed(time_point now);
    void set_long_targets();
    void set_targets();
    void drop_lost_workers(holder& each);
    void lower_where_needed();
    static void take_one(holder& from);
    bool are_all_targets_met() const;
    void raise(holder& each, std::uint32_t wanted, std::map<std::string, std::uint32_t>& free);
    std::map<std::string, std::uint32_t> free_slots() const;
    std::uint32_t total_slots() const;
    work_class needed_priority_floor() const;
    work_class held_priority_floor(time_point now);

    std::string m_pool;
    std::string m_run;
    time_point m_grants_from;
    std::uint64_t m_last_number{0};
    work_class m_priority_floor{work_class::archive};
    time_point m_priority_floor_until;
    std::map<std::string, std::uint32_t> m_workers;
    std::map<std::string, holder> m_holders;
};

namespace internal {

/// Shares out `available` so that no demand is exceeded and the smallest share is as large as can
/// be. `shares` holds what each has already and is raised in place; returns what is left over.
std::uint32_t fill_evenly(std::uint32_t available, gsl::span<const std::uint32_t> demands,
                          gsl::span<std::uint32_t> shares);

} // namespace internal

} // namespace peridotrudder
