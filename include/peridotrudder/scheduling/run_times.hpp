#pragma once

/// @file
/// Expected run times of tasks, learned from runs that have ended.

#include "peridotrudder/machines/worker_session.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace peridotrudder {

/// Tasks that are expected to take about equally long: those of one queue with the same program
/// and the same resources.
struct run_class {
    std::string m_queue;
    std::string m_image;
    resources m_each;
};

inline bool operator<(const run_class& left, const run_class& right)
{
    const auto fields = [](const run_class& of) {
        return std::tie(of.m_queue, of.m_image, of.m_each.m_cpu_millis, of.m_each.m_memory_mb,
                        of.m_each.m_accelerators);
    };
    return fields(left) < fields(right);
}

/// A run that succeeded at full speed.
struct measured_run {
    run_class m_class;
    worker_instance m_worker;
    milliseconds m_declared{0};
    milliseconds m_took{0};
    /// Factor by which the run's place slowed it down; 1 on the rack that it runs fastest on.
    double m_place_factor{1.0};
};

/// The newest values of a measurement, and their quartiles.
class recent_values {
public:
    void add(double value);
    std::size_t count() const { return m_values.size(); }
    double median() const;
    double upper_quartile() const;
    /// Returns the upper quartile as a multiple of the lower one.
    double spread() const;

private:
    struct quartiles {
        double m_lower{0.0};
        double m_median{0.0};
        double m_upper{0.0};
    };

    const quartiles& summary() const;

    std::vector<double> m_values;
    std::size_t m_next{0};
    mutable quartiles m_summary;
    /// Values added since the summary was made.
    mutable std::size_t m_added{0};
};

/// Expected run times, of bounded size. Has no side effects; not thread-safe.
///
/// Medians are used instead of means because a few runs take many times as long as the others. The
/// speed of a worker is kept apart from the times of its tasks, and does not change what is learned
/// of these: each would follow the other's error. Nothing is stored; after a loss the declared
/// estimates are used.
class run_times {
public:
    /// Learns from a run, and returns its time as a multiple of the upper quartile of the runs of
    /// its class before it; zero without enough of them.
    double learn(const measured_run& run);

    /// Returns the expected run time on a worker of normal speed at the best place. Without enough
    /// runs of the class this is the declared estimate, corrected by how long the queue's tasks
    /// take compared with theirs.
    milliseconds expected(const run_class& tasks, milliseconds declared) const;

    /// Returns how many runs the expected time of the class is based on; zero for an estimate.
    std::size_t runs_of(const run_class& tasks) const;

    /// Returns by which factor runs take longer on the worker than on others.
    double slowness(const worker_instance& worker) const;

    /// Forgets the times of a queue whose configuration has changed.
    void forget_queue(std::string_view queue);

    std::size_t classes() const { return m_classes.size(); }
    std::size_t workers() const { return m_workers.size(); }

private:
    struct class_times {
        /// In milliseconds.
        recent_values m_times;
        /// As multiples of the declared estimates.
        recent_values m_ratios;
        std::uint64_t m_used{0};
    };

    struct worker_speed {
        std::int64_t m_born_ms{0};
        /// As multiples of the expected times.
        recent_values m_relative_times;
    };

    struct queue_ratios {
        recent_values m_ratios;
        std::uint64_t m_used{0};
    };

    /// Returns the expected time of a class of which enough is known.
    static milliseconds expected_of(const class_times& known, milliseconds declared);
    /// Returns the upper quartile of the times of runs with this estimate; zero if too few are
    /// known.
    static double upper_time_of(const class_times& known, milliseconds declared);
    /// Returns whether estimates tell the times of the class better than a common time.
    static bool follows_estimates(const class_times& known, milliseconds declared);
    class_times& times_of(const run_class& tasks);
    recent_values& ratios_of(const std::string& queue);
    void learn_speed(const measured_run& run, double relative);

    std::map<run_class, class_times> m_classes;
    std::map<std::string, queue_ratios, std::less<>> m_queues;
    std::unordered_map<std::string, worker_speed> m_workers;
    std::uint64_t m_learned{0};
};

/// Returns the expected time until a run of a task with this expected run time ends.
///
/// Progress counts more the further a run is, because it is reported in whole percent. Without
/// progress, a run that has outlasted its expected time goes on for a share of the time it has run:
/// most such runs are stragglers.
milliseconds expected_remaining(const worker_run& run, milliseconds expected, time_point now);

} // namespace peridotrudder
