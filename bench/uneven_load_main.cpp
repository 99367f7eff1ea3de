/// @file
/// Prints what waiting for racks, and copies of slow runs, change under an uneven load.

#include "scheduling/uneven_load.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace peridotrudder;

constexpr std::uint64_t seeds = 5;
constexpr int peaks = 3;

struct summary {
    double m_mean_ms{0.0};
    double m_p95_ms{0.0};
    double m_in_time{0.0};
    double m_near{0.0};
    std::size_t m_waits{0};
    std::size_t m_missed{0};
    /// Share of the run time of all runs that stopped ones had.
    double m_stopped{0.0};
    std::size_t m_copies{0};
    std::size_t m_won{0};
};

summary replay(uneven_load_options options)
{
    summary sum;
    for (options.m_seed = 1; options.m_seed <= seeds; ++options.m_seed) {
        uneven_load load{options};
        load.play(peaks);
        const auto report = load.report();
        if (!report.m_violation.empty()) {
            fmt::print("seed {}: {}\n", options.m_seed, report.m_violation);
        }
        constexpr auto count = static_cast<double>(seeds);
        sum.m_mean_ms += report.m_mean_ms / count;
        sum.m_p95_ms += static_cast<double>(report.m_p95.count()) / count;
        sum.m_in_time += report.m_in_time_share / count;
        sum.m_near += static_cast<double>(report.m_near_starts) /
                      static_cast<double>(std::max<std::size_t>(report.m_starts, 1)) / count;
        sum.m_waits += report.events("rack_wait");
        sum.m_missed += report.events("rack_missed");
        sum.m_stopped += static_cast<double>(report.m_stopped_run_time.count()) /
                         static_cast<double>(report.m_run_time.count()) / count;
        sum.m_copies += report.events("copy_started");
        sum.m_won += report.events("copy_won");
    }
    return sum;
}

void print(const std::string& name, uneven_load_options options)
{
    const auto result = replay(std::move(options));
    fmt::print("{:<38} mean {:5.0f} ms, p95 {:5.0f} ms, in time {:.3f}, near {:.3f}, waits {}, "
               "missed {}\n",
               name, result.m_mean_ms, result.m_p95_ms, result.m_in_time, result.m_near,
               result.m_waits, result.m_missed);
}

void print_copies(const std::string& name, uneven_load_options options)
{
    options.m_speculative = true;
    options.m_known_far_factor = options.m_far_factor;
    for (const std::uint32_t percent : {0U, 5U}) {
        options.m_copies_percent = percent;
        const auto result = replay(options);
        fmt::print("{:<38} mean {:5.0f} ms, p95 {:5.0f} ms, in time {:.3f}, stopped {:.3f}, copies "
                   "{}, won {}\n",
                   fmt::format("{}, copies {} %", name, percent), result.m_mean_ms, result.m_p95_ms,
                   result.m_in_time, result.m_stopped, result.m_copies, result.m_won);
    }
}

void print_all_copies()
{
    for (const double rate : {15.0, 40.0, 60.0}) {
        uneven_load_options options;
        options.m_far_factor = 1.0;
        options.m_peak_jobs_per_second = rate;
        print_copies(fmt::format("{:.0f} jobs/s", rate), options);
    }
    uneven_load_options slow;
    slow.m_far_factor = 1.0;
    slow.m_slow_worker_factor = 3.0;
    slow.m_peak_jobs_per_second = 15.0;
    print_copies("15 jobs/s, one slow worker", slow);
    for (const double rate : {15.0, 60.0}) {
        uneven_load_options far;
        far.m_peak_jobs_per_second = rate;
        print_copies(fmt::format("{:.0f} jobs/s, far rack", rate), far);
    }
}

} // namespace

int main()
{
    print_all_copies();
    for (const bool same_rack : {false, true}) {
        for (const double far : {2.0, 3.0}) {
            for (const double rate : {10.0, 20.0, 30.0, 40.0}) {
                uneven_load_options options;
                options.m_same_rack = same_rack;
                options.m_far_factor = far;
                options.m_peak_jobs_per_second = rate;
                const auto name = fmt::format("{}, {:.0f} times, {:.0f} jobs/s",
                                              same_rack ? "group" : "data", far, rate);
                options.m_known_far_factor = 1.0;
                print(name + ", no waits", options);
                options.m_known_far_factor = far;
                print(name + ", waits", options);
            }
        }
    }
    return 0;
}
