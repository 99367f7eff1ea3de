#pragma once

/// @file
/// Applies data and group locality to the placement of tasks.

#include "peridotrudder/scheduling/locality_wait.hpp"
#include "peridotrudder/scheduling/placement.hpp"
#include "peridotrudder/scheduling/placement_probe.hpp"
#include "peridotrudder/scheduling/scheduler_state.hpp"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace peridotrudder {

/// Chooses the racks that tasks prefer, and lets tasks wait for them where that pays. Not
/// thread-safe.
class rack_placement {
public:
    explicit rack_placement(scheduler_state& state) : m_state{&state} {}
    /// Continues with the waits of another one on a copy of its state.
    rack_placement(scheduler_state& state, const rack_placement& other) : rack_placement{other}
    {
        m_state = &state;
    }

    /// Begins a placement pass over the workers of one pool. `candidates` must outlive the pass.
    void begin_pass(const std::string& pool, const std::vector<candidate>& candidates,
                    time_point now);

    /// Returns the rack that a task of the step runs fastest on; empty for none. The rack of a
    /// group is the one with most of its runs, or at first the one with most room.
    std::string preferred_rack(const job& source, std::uint32_t occurrence, std::uint32_t step);

    /// Returns whether the task has been waiting and still does, as its rack has no room.
    bool still_waits(const placement_request& request, time_point now);

    /// Returns whether the task waits for its rack rather than start on the worker that was chosen.
    bool waits(const placement_request& request, const candidate& chosen, time_point now);

    /// Returns how long the task is expected to wait, after `waits` or `still_waits` has returned
    /// true for it in this pass.
    expected_rack_wait expected_wait(const placement_request& request, time_point now);

    /// Sets the expected time of a run on the worker.
    void set_expectation(worker_run& run, const job& source, const task_ref& ref,
                         const worker_session& session);

private:
    struct rack_pass {
        std::vector<const candidate*> m_workers;
        /// CPU of the tasks that wait for the rack and come first, in thousandths of a core.
        std::int64_t m_waiting_cpu_millis{0};
        /// Sizes that did not fit; tasks at least as large are not tried.
        std::vector<resources> m_sizes_without_room;
    };

    /// Pool, rack, size, label and limit for each worker.
    using place_key = std::tuple<std::string, std::string, std::int64_t, std::int64_t, std::int64_t,
                                 std::string, std::uint32_t>;

    struct place_list {
        time_point m_made_at;
        std::vector<time_point> m_places;
        /// Age of the oldest answer of a worker that the list is based on.
        milliseconds m_oldest_report{0};
    };

    double far_factor() const { return m_state->m_options.m_far_factor; }
    bool may_wait(const placement_request& request) const;
    /// Returns the workers of a rack; null if it has none that takes work.
    rack_pass* find_rack(const std::string& rack);
    bool has_room_on_rack(const placement_request& request, time_point now);
    const place_list& places_for(const placement_request& request, time_point now);
    /// Returns the time until the task finds room on its rack, behind tasks of so much CPU.
    std::optional<milliseconds> time_until_room(const placement_request& request,
                                                std::int64_t cpu_millis_ahead,
                                                milliseconds run_time, time_point now);
    rack_choice expect(const placement_request& request, const candidate& chosen, time_point now);
    void log_wait(const placement_request& request, const rack_choice& choice,
                  const candidate& chosen, time_point now);
    void log_start(const placement_request& request, const candidate& chosen, time_point now);
    /// Returns the expected run time of the step's tasks at the best place.
    milliseconds usual_time(const job& source, std::uint32_t occurrence, std::uint32_t step);
    std::string rack_with_most_runs(const job& source, std::uint32_t occurrence,
                                    std::uint32_t step) const;
    std::string rack_with_most_room(const step_spec& step) const;

    scheduler_state* m_state;
    rack_waits m_waits;
    std::string m_pool;
    const std::vector<candidate>* m_candidates{nullptr};
    /// By rack, in this pass; empty before a task asks.
    std::map<std::string, rack_pass> m_racks;
    std::map<place_key, place_list> m_places;
    /// The step that was asked for last in this pass, and its expected run time.
    std::optional<step_key> m_asked_step;
    milliseconds m_usual_time{0};
    /// Racks of groups in this pass.
    std::map<step_key, std::string> m_groups;
};

} // namespace peridotrudder
