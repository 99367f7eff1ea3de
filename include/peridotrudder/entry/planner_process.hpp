#pragma once

/// @file
/// The process on an entry VM that plans maintenance while it is the elected planner.

#include "peridotrudder/links/log_watcher.hpp"
#include "peridotrudder/links/vm_list_reader.hpp"
#include "peridotrudder/planning/planner.hpp"
#include "peridotrudder/settings/entry_settings.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace peridotrudder {

/// Claims the leader term when it is vacant, and then executes the planner's decisions.
///
/// Runs on the caller's thread. A holder stops acting by its own clock before others may claim the
/// term.
class planner_process {
public:
    explicit planner_process(const entry_settings& settings);

    /// Runs until `should_stop` returns true.
    void run(const std::function<bool()>& should_stop);

private:
    void step();
    bool claim_or_renew_term(time_point now);
    void claim_term(const fleet_state& state, time_point now);
    void renew_term(time_point now);
    void execute_plan(time_point now);
    void append_record(const planned_record& planned);
    void reboot(const planned_reboot& planned);
    void take_snapshot_if_due();
    drain_status check_drain(const fleet_state& state, const std::string& id, const vm_entry& entry,
                             time_point now);
    std::map<std::string, double> burn_rates(const fleet_state& state) const;
    bool entries_are_done(const fleet_state& state, const std::string& id,
                          const vm_entry& entry) const;
    static bool worker_is_idle(const vm& worker_vm, milliseconds max_age);

    entry_settings m_settings;
    std::string m_self;
    platform_client m_platform;
    vm_list_reader m_vm_list;
    log_watcher m_log;
    planner m_planner;
    std::uint64_t m_held_term{0};
    time_point m_renewed;
    std::uint64_t m_seen_renewal{0};
    time_point m_seen_renewal_at;
    std::uint64_t m_snapshot_offset{0};
    /// Time at which all entries first reported no request in flight at a draining VM, by VM and
    /// version of its drain.
    std::map<std::pair<std::string, std::uint64_t>, time_point> m_entries_done_since;
};

} // namespace peridotrudder
