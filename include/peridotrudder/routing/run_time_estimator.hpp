#pragma once

/// @file
/// Learns how long work runs, by customer and route.

#include "peridotrudder/base/clock.hpp"

#include <string>
#include <string_view>
#include <unordered_map>

namespace peridotrudder {

/// Work that runs longer than this counts as long.
inline constexpr milliseconds long_work_threshold{1'000};

/// Keeps a moving mean of run times. Declared times are only a first guess, since they are often
/// far off. Pure; not thread-safe. Bounded: routes beyond `max_routes` share one estimate.
class run_time_estimator {
public:
    static constexpr std::size_t max_routes = 4'096;

    /// Takes the run time of a finished request.
    void learn(std::string_view route, milliseconds run_time);

    /// Returns the expected run time, or `declared` for a route that was never seen.
    milliseconds expected(std::string_view route, milliseconds declared) const;

    /// Returns whether a request of the route is expected to be long.
    bool is_long(std::string_view route, milliseconds declared) const
    {
        return expected(route, declared) > long_work_threshold;
    }

private:
    std::string slot_of(std::string_view route) const;

    std::unordered_map<std::string, double> m_mean_ms;
};

} // namespace peridotrudder
