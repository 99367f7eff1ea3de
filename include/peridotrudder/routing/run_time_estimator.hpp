#pragma once

/// @file
/// Estimates the run time of requests from earlier requests of the same route.

#include "peridotrudder/base/clock.hpp"

#include <string>
#include <string_view>
#include <unordered_map>

namespace peridotrudder {

/// Requests that are expected to run longer than this are long.
inline constexpr milliseconds long_work_threshold{1'000};

/// Keeps an exponential moving average of the run times of each route. The declared run time is
/// used only until a route has a measurement, since it is often far off. Memory is bounded: routes
/// beyond `max_routes` share one estimate. Pure; not thread-safe.
class run_time_estimator {
public:
    static constexpr std::size_t max_routes = 4'096;

    /// Adds the run time of a finished request to the route's average.
    void learn(std::string_view route, milliseconds run_time);

    /// Returns the expected run time, or `declared` for a route without measurements.
    milliseconds expected(std::string_view route, milliseconds declared) const;

    /// Returns whether a request of the route is expected to run longer than
    /// `long_work_threshold`.
    bool is_long(std::string_view route, milliseconds declared) const
    {
        return expected(route, declared) > long_work_threshold;
    }

private:
    std::string key_for(std::string_view route) const;

    std::unordered_map<std::string, double> m_mean_ms;
};

} // namespace peridotrudder
