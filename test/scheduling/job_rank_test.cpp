#include "peridotrudder/scheduling/job_rank.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <vector>

namespace peridotrudder {

namespace {

constexpr std::int64_t step_ms = 10;
constexpr std::int64_t peak_ms = 4'000;
constexpr std::size_t slots = 100;
constexpr std::int64_t mean_task_ms = 540;

queue_config make_queue()
{
    queue_config queue;
    queue.m_stretch = 1.6;
    queue.m_target = milliseconds{600};
    return queue;
}

/// A job of one or two steps of one task each, with declared run times that are off.
struct peak_job {
    job m_job;
    std::vector<std::int64_t> m_true_ms;
};

/// Plays a peak on a pool of equal slots: jobs arrive for four seconds with `load` times the work
/// that the slots can do, and start in the order of their ranks.
class peak_replay {
public:
    peak_replay(double load, std::uint64_t seed) : m_random{seed}
    {
        const auto mean_steps = 1.5;
        const auto jobs = static_cast<int>(load * static_cast<double>(slots * peak_ms) /
                                           (mean_steps * static_cast<double>(mean_task_ms)));
        for (int index = 0; index < jobs; ++index) {
            m_jobs.push_back(make_job(peak_ms * index / jobs, index));
        }
    }

    /// Returns the work of the jobs that end within their objectives, as a share of what the slots
    /// can do until the last objective.
    double work_in_time()
    {
        const auto queue = make_queue();
        std::int64_t served = 0;
        std::int64_t last_objective = 0;
        for (std::int64_t now = 0; now < 3 * peak_ms; now += step_ms) {
            end_runs(now);
            start_waiting(queue, now);
        }
        for (const auto& entry : m_jobs) {
            const auto limits = limits_of(entry.m_job.header(), queue);
            last_objective = std::max(last_objective, limits.m_objective_ms);
            const bool in_time = entry.m_job.phase() == job_phase::completed &&
                                 entry.m_job.ended_ms() <= limits.m_objective_ms;
            for (const auto run_ms : entry.m_true_ms) {
                served += in_time ? run_ms : 0;
            }
        }
        return static_cast<double>(served) /
               static_cast<double>(static_cast<std::int64_t>(slots) * last_objective);
    }

private:
    struct slot_run {
        std::int64_t m_ends_at{0};
        std::size_t m_job{0};
        task_ref m_task;
        std::uint32_t m_run{0};
    };

    peak_job make_job(std::int64_t at_ms, int number)
    {
        std::lognormal_distribution<double> size{-0.125, 0.5};
        std::lognormal_distribution<double> error{0.0, 0.4};
        job_header header;
        header.m_id = std::to_string(number);
        header.m_queue = make_queue();
        header.m_accepted_ms = at_ms;
        std::vector<std::int64_t> true_ms;
        for (std::uint32_t index = 0; index <= static_cast<std::uint32_t>(number % 2); ++index) {
            const auto run_ms = static_cast<double>(mean_task_ms) * size(m_random);
            step_spec step;
            step.m_count = 1;
            step.m_task_resources.m_cpu_millis = 1'000;
            step.m_estimate = milliseconds{static_cast<std::int64_t>(run_ms * error(m_random))};
            if (index > 0) {
                step.m_depends_on = {index - 1};
            }
            header.m_spec.m_steps.push_back(step);
            true_ms.push_back(static_cast<std::int64_t>(run_ms));
        }
        return {job::create(header), true_ms};
    }

    void end_runs(std::int64_t now)
    {
        for (auto run = m_runs.begin(); run != m_runs.end();) {
            if (run->m_ends_at > now) {
                ++run;
                continue;
            }
            m_jobs[run->m_job].m_job.end(run->m_task, run->m_run, run_end::done, "", 3, now);
            run = m_runs.erase(run);
        }
    }

    void start_waiting(const queue_config& queue, std::int64_t now)
    {
        std::vector<std::pair<job_rank, std::size_t>> waiting;
        for (std::size_t index = 0; index < m_jobs.size(); ++index) {
            const auto& candidate = m_jobs[index].m_job;
            if (candidate.header().m_accepted_ms <= now && next_task(candidate)) {
                waiting.emplace_back(rank_job(candidate, queue, now), index);
            }
        }
        std::sort(waiting.begin(), waiting.end(),
                  [](const auto& left, const auto& right) { return left.first < right.first; });
        for (const auto& [rank, index] : waiting) {
            if (m_runs.size() == slots) {
                return;
            }
            auto& chosen = m_jobs[index];
            const auto ref = *next_task(chosen.m_job);
            const auto run = chosen.m_job.place(ref, {"i-1", 1});
            m_runs.push_back({now + chosen.m_true_ms[ref.m_step], index, ref, run});
        }
    }

    static std::optional<task_ref> next_task(const job& source)
    {
        for (std::uint32_t step = 0; step < source.spec().m_steps.size(); ++step) {
            if (source.waiting(0, step) != 0 && source.unblocked(0, step)) {
                return task_ref{0, step, 0};
            }
        }
        return std::nullopt;
    }

    std::mt19937_64 m_random;
    std::vector<peak_job> m_jobs;
    std::vector<slot_run> m_runs;
};

} // namespace

class job_rank_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_rank_test);
    CPPUNIT_TEST(heavier_peak_serves_hardly_less_work_in_time);
    CPPUNIT_TEST_SUITE_END();

public:
    void heavier_peak_serves_hardly_less_work_in_time()
    {
        // The pool is full either way: more waiting jobs are no reason to end fewer in time.
        const auto at_half_more = peak_replay{1.5, 7}.work_in_time();
        for (const double load : {2.0, 3.0}) {
            const auto share = peak_replay{load, 7}.work_in_time();
            CPPUNIT_ASSERT_MESSAGE(std::to_string(share) + " of the capacity at load " +
                                       std::to_string(load) + ", " + std::to_string(at_half_more) +
                                       " at 1.5",
                                   share >= 0.85 * at_half_more);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_rank_test);

} // namespace peridotrudder
