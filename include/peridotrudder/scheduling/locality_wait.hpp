#pragma once

/// @file
/// Decides whether a task waits for room on the rack that it runs fastest on.

#include "peridotrudder/machines/worker_session.hpp"

#include <cstdint>
#include <gsl/span>
#include <map>
#include <optional>
#include <vector>

namespace peridotrudder {

/// Capacity that is expected to become free when a run ends.
struct expected_end {
    time_point m_at;
    resources m_freed;
};

/// Capacity of one worker of a rack, now and later.
struct worker_outlook {
    resources m_room;
    std::vector<expected_end> m_ends;
};

/// Returns when places for tasks of this size are expected on the workers, in order of time. Places
/// that are free now are at `now`. At most `max_per_worker` are on one worker; zero for no limit.
std::vector<time_point> expected_places(gsl::span<const worker_outlook> workers,
                                        const resources& each, std::uint32_t max_per_worker,
                                        time_point now);

/// Returns the time until the place that is left to a task with `ahead` tasks of its size before
/// it, each of which takes `run_time`; nothing if there are no places.
std::optional<milliseconds> time_until_place(gsl::span<const time_point> places, std::size_t ahead,
                                             milliseconds run_time, time_point now);

/// What is expected of a task on the rack that it prefers, and elsewhere.
struct rack_choice {
    run_key m_key;
    /// Run time on the preferred rack.
    milliseconds m_run_time{0};
    /// Run time on the worker that has room for it now, on another rack.
    milliseconds m_run_time_here{0};
    /// Time until the task finds room on the preferred rack; absent if no worker of it is live.
    std::optional<milliseconds> m_place_in;
};

enum class rack_decision {
    start,
    /// The first time that the task waits.
    begin_wait,
    wait,
};

/// How the wait of a task ended.
struct ended_rack_wait {
    milliseconds m_waited{0};
    bool m_deadline_passed{false};
};

/// The tasks that wait for a rack. Has no side effects; not thread-safe.
///
/// A wait lasts while the expected completion on the preferred rack is clearly earlier than the one
/// on the worker that is free now. A task that has waited for as long as a run elsewhere would take
/// longer, does not wait again: it then completes after at most twice the time that the better
/// choice would have taken, however wrong the expectations are.
class rack_waits {
public:
    /// Decides for a task whose best worker now is on another rack.
    rack_decision decide(const rack_choice& choice, time_point now);

    /// Returns whether the task was judged so recently that it goes on waiting unless its rack has
    /// room now.
    bool was_judged(const run_key& key, time_point now) const;

    /// Returns the time after which the task no longer waits; zero if it does not wait.
    milliseconds longest_wait(const run_key& key, time_point now) const;

    /// Notes that the task starts now, on its preferred rack or not. Returns its wait, if it had
    /// one.
    std::optional<ended_rack_wait> start(const run_key& key, bool on_rack, time_point now);

    /// Forgets tasks that have not been judged for long, such as those of cancelled jobs.
    void prune(time_point now);

    std::size_t size() const { return m_waits.size(); }

private:
    struct wait_record {
        time_point m_since;
        time_point m_deadline;
        time_point m_judged_at;
        bool m_over{false};
    };

    std::map<run_key, wait_record> m_waits;
    time_point m_pruned_at;
};

} // namespace peridotrudder
