#pragma once

/// @file
/// Grades the workers of a pool by how their runs, orders and connections fare.

#include "peridotrudder/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace peridotrudder {

enum class worker_grade {
    full,
    /// Used where no worker at full has room, and not for tasks that a failure costs much.
    reduced,
    /// Gets no new work.
    out,
    /// Gets one task at a time until enough of them went well.
    probation,
};

std::string_view to_string(worker_grade grade);

/// What a grade was decided on.
struct grade_evidence {
    /// Log-likelihood ratios of a bad worker to a sound one; zero without evidence.
    double m_failures{0.0};
    double m_slow_runs{0.0};
    /// Of the worker's newest outcomes.
    std::size_t m_outcomes{0};
    std::size_t m_failed{0};
    std::size_t m_slow{0};
    std::size_t m_outages{0};
};

struct grade_change {
    std::string m_worker;
    worker_grade m_from{worker_grade::full};
    worker_grade m_to{worker_grade::full};
    grade_evidence m_evidence;
    /// How long the new grade lasts if nothing else happens; zero for full.
    milliseconds m_term{0};
};

/// Grades of one pool's workers. Has no side effects; not thread-safe.
///
/// Failed and slow runs add up to a score each (CUSUM): a bad run adds the logarithm of how much
/// more likely it is on a bad worker than on the pool's median worker, a good one subtracts. A
/// worker that fails about half of its runs is so told from one that fails now and then, within a
/// few runs and without a fixed window. What one job adds is limited, as it may be at fault itself
/// or larger than others. At most half of the pool is below full. If the median
/// worker fails as well, the evidence is counted against none.
class worker_grades {
public:
    void set_pool_size(std::size_t workers) { m_pool_size = workers; }
    /// Records a run that succeeded. `slowness` is its time as a multiple of the upper quartile of
    /// such runs; zero if that is not known.
    void run_succeeded(std::string_view worker, std::string_view job, double slowness,
                       time_point now);
    /// Records a run that failed or stalled.
    void run_failed(std::string_view worker, std::string_view job, time_point now);
    /// Withdraws a failure of a run, which the task turned out to be at fault for.
    void withdraw_failure(std::string_view worker, time_point now);
    /// Records that the worker refused a start as unhealthy.
    void start_refused(std::string_view worker, std::string_view job, time_point now);
    /// Records that a start was not answered, which may be the network's fault.
    void start_unanswered(std::string_view worker, std::string_view job, time_point now);
    /// Records that the worker has restarted, or has become silent.
    void went_down(std::string_view worker, time_point now);
    void forget(std::string_view worker);

    /// Ends terms that are over. Call it before `grade_of` is asked.
    void advance(time_point now);
    worker_grade grade_of(std::string_view worker) const;
    std::size_t count(worker_grade grade) const;
    /// Returns and resets the changes since the last call.
    std::vector<grade_change> take_changes();

private:
    enum class cause { failure, slow_run };

    struct outcome {
        time_point m_at;
        bool m_failed{false};
        bool m_slow{false};
    };

    struct score {
        double m_value{0.0};
        /// The job whose bad runs were counted last, and what they add to the score.
        std::string m_job;
        double m_of_job{0.0};
    };

    struct record {
        worker_grade m_grade{worker_grade::full};
        /// The grade before this one, which withdrawn evidence restores.
        worker_grade m_before{worker_grade::full};
        score m_failures;
        score m_slow_runs;
        std::vector<outcome> m_outcomes;
        std::vector<time_point> m_outages;
        /// The lower grade that a probation follows.
        worker_grade m_lowered_to{worker_grade::reduced};
        /// How often the term has doubled.
        std::uint32_t m_doublings{0};
        std::uint32_t m_good_runs{0};
        /// Whether outages led to the grade.
        bool m_for_outages{false};
        time_point m_graded_at;
        time_point m_term_ends;
        /// When a doubling is forgotten, at full.
        time_point m_forget_at;
    };

    using entry = std::pair<const std::string, record>;

    entry& entry_of(std::string_view worker);
    static void add_outcome(record& known, const outcome& added);
    static score& score_of(record& known, cause of);
    /// Returns the share of such runs on the median of the other workers.
    double median_share_of_others(const std::string& worker, cause of, time_point now) const;
    void count_bad(entry& worker, cause of, std::string_view job, double weight_factor,
                   time_point now);
    static void count_good(record& known, cause of);
    /// Returns the share of such runs among the worker's newest outcomes.
    static double share_of(const record& known, cause of);
    /// Lowers the grade as far as the scores ask for it.
    void judge(entry& worker, cause of, time_point now);
    void lower(entry& worker, worker_grade to, time_point now);
    /// Drops the evidence of a fault that many workers share, and the grades that came from it.
    void drop_common_evidence(cause of, time_point now);
    /// Returns how many workers went down lately.
    std::size_t recently_down(time_point now) const;
    /// Drops the outages that many workers had at once, and the grades that came from them.
    void drop_common_outages(time_point now);
    void restore(entry& worker, time_point now);
    void set_grade(entry& worker, worker_grade to, milliseconds term, time_point now);

    std::map<std::string, record, std::less<>> m_records;
    std::vector<grade_change> m_changes;
    std::size_t m_pool_size{0};
};

} // namespace peridotrudder
