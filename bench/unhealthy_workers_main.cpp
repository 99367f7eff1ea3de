/// @file
/// Prints what grades of workers change, compared with ejections after failures in a row.

#include "scheduling/uneven_load.hpp"

#include <fmt/format.h>

#include <string>

namespace {

using namespace peridotrudder;

constexpr std::uint64_t seeds = 5;
constexpr int peaks = 6;

struct summary {
    double m_in_time{0.0};
    double m_mean_ms{0.0};
    double m_p95_ms{0.0};
    double m_failed_jobs{0.0};
    double m_failed_runs{0.0};
    double m_wasted_cpu_s{0.0};
    double m_changes{0.0};
};

summary replay(uneven_load_options options)
{
    summary mean;
    for (options.m_seed = 1; options.m_seed <= seeds; ++options.m_seed) {
        uneven_load load{options};
        load.play(peaks);
        const auto report = load.report();
        if (!report.m_violation.empty()) {
            fmt::print("seed {}: {}\n", options.m_seed, report.m_violation);
        }
        constexpr auto count = static_cast<double>(seeds);
        mean.m_in_time += report.m_in_time_share / count;
        mean.m_mean_ms += report.m_mean_ms / count;
        mean.m_p95_ms += static_cast<double>(report.m_p95.count()) / count;
        mean.m_failed_jobs += static_cast<double>(report.m_failed_jobs) / count;
        mean.m_failed_runs += static_cast<double>(report.m_failed_runs) / count;
        mean.m_wasted_cpu_s += report.m_wasted_cpu_s / count;
        mean.m_changes += static_cast<double>(report.events("worker_graded")) / count;
    }
    return mean;
}

/// Prints the load if its name begins with `wanted`.
void print(const std::string& name, uneven_load_options options, const std::string& wanted)
{
    if (name.compare(0, wanted.size(), wanted) != 0) {
        return;
    }
    for (const double rate : {8.0, 20.0, 40.0}) {
        options.m_peak_jobs_per_second = rate;
        for (const bool graded : {false, true}) {
            options.m_graded_health = graded;
            const auto result = replay(options);
            fmt::print(
                "{:<26} {:2.0f} jobs/s {:<8} in time {:.3f}, mean {:5.0f} ms, p95 {:5.0f} ms, "
                "failed jobs {:5.1f}, failed runs {:6.1f}, wasted {:6.1f} core s, changes "
                "{:.1f}\n",
                name, rate, graded ? "graded" : "ejected", result.m_in_time, result.m_mean_ms,
                result.m_p95_ms, result.m_failed_jobs, result.m_failed_runs, result.m_wasted_cpu_s,
                result.m_changes);
        }
    }
}

uneven_load_options with_faults(std::uint32_t workers, worker_fault fault)
{
    uneven_load_options options;
    for (std::uint32_t index = 0; index < workers; ++index) {
        // In different racks, so that the first has one of them.
        options
            .m_faults[uneven_load::worker_name(index % options.m_racks, index / options.m_racks)] =
            fault;
    }
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string wanted = argc > 1 ? argv[1] : "";
    print("sound", {}, wanted);
    for (const std::uint32_t workers : {1U, 3U}) {
        print(fmt::format("{} fail 45 %", workers), with_faults(workers, {45, 1.0, {}}), wanted);
        print(fmt::format("{} fail always", workers), with_faults(workers, {100, 1.0, {}}), wanted);
        print(fmt::format("{} three times slow", workers), with_faults(workers, {0, 3.0, {}}),
              wanted);
        print(fmt::format("{} flap every 5 s", workers),
              with_faults(workers, {0, 1.0, milliseconds{5'000}}), wanted);
    }
    auto all_fail = with_faults(20, {45, 1.0, {}});
    all_fail.m_faults_from = milliseconds{9'000};
    all_fail.m_faults_until = milliseconds{12'000};
    print("all fail 45 % for 3 s", all_fail, wanted);
    uneven_load_options bad_jobs;
    bad_jobs.m_bad_jobs_percent = 5;
    print("5 % of jobs fail always", bad_jobs, wanted);
    uneven_load_options different;
    different.m_jobs_differ = true;
    print("estimates off by half", different, wanted);
    return 0;
}
