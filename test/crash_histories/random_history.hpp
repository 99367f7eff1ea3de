#pragma once

/// @file
/// Random histories of tasks that crash workers, takeovers, cuts, and crashes that no task causes.

#include "scheduling/fleet_simulation.hpp"

#include <rapidcheck.h>

namespace peridotrudder {

inline constexpr milliseconds short_time{30};
inline constexpr milliseconds settling_time{40'000};
inline constexpr milliseconds longest_backlog{400'000};

/// Plays a random history. No journal outages or lost orders: the bound holds for machines in
/// touch.
inline void play_history(fleet_simulation& simulation)
{
    simulation.change_owner(false);
    const auto actions = *rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0U, 1'000U)));
    for (const auto& [action, number] : actions) {
        if (action == 3) {
            simulation.set_deadly(number % 3);
        }
        apply_action(simulation, action == 3 ? 0 : action, number);
        simulation.pass(short_time * (number % 30 + 1));
        RC_ASSERT(simulation.violation() == "");
    }
    simulation.remove_faults();
    simulation.judge_idle_jobs();
    // Tasks that crash their workers keep them away for long, so the backlog ends when it ends. No
    // job may wait beside free capacity meanwhile.
    for (milliseconds passed{0}; passed < longest_backlog; passed += milliseconds{1'000}) {
        simulation.pass(milliseconds{1'000});
        RC_ASSERT(simulation.violation() == "");
        if (passed >= settling_time && simulation.open_job().empty()) {
            return;
        }
    }
    RC_ASSERT(simulation.violation() == "");
    RC_ASSERT(simulation.open_job() == "");
}

} // namespace peridotrudder
