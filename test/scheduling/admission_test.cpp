#include "peridotrudder/scheduling/admission.hpp"
#include "peridotrudder/scheduling/job_rank.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <random>

namespace peridotrudder {

namespace {

constexpr std::int64_t pool_cpu = 160'000;

queue_config make_queue()
{
    queue_config queue;
    queue.m_stretch = 1.6;
    queue.m_target = milliseconds{600};
    return queue;
}

job_spec make_spec(std::uint32_t tasks, milliseconds estimate)
{
    job_spec spec;
    step_spec step;
    step.m_count = tasks;
    step.m_task_resources.m_cpu_millis = 1'000;
    step.m_estimate = estimate;
    spec.m_steps.push_back(step);
    return spec;
}

/// Number of jobs of a replay by outcome.
struct outcome {
    int m_in_time{0};
    int m_useful{0};
    int m_useless{0};
    int m_refused{0};
    int m_refused_with_room{0};
};

/// Simulates random arrivals at a pool that processes work at a fixed rate in order of arrival.
/// With `admission_control`, jobs that it rejects are left out.
outcome replay(bool admission_control, std::uint32_t seed)
{
    constexpr std::int64_t step_ms = 10;
    constexpr std::int64_t measure_ms = 100;
    constexpr std::int64_t overload_ms = 6'000;
    struct waiting_job {
        std::int64_t m_arrived_ms;
        std::int64_t m_work;
        milliseconds m_chain;
    };
    std::mt19937 random{seed};
    std::deque<waiting_job> waiting;
    outcome counts;
    pool_outlook outlook;
    std::int64_t accepted = 0;
    const auto queue = make_queue();
    const auto is_useless = [&](const waiting_job& job, std::int64_t now) {
        return now + job.m_chain.count() >
               job.m_arrived_ms + useful_time(job.m_chain, queue).count();
    };
    for (std::int64_t now = 0; now < overload_ms || !waiting.empty(); now += step_ms) {
        // Three times the pool's capacity for six seconds: about 1.1 jobs in each step.
        for (int arrival = 0; now < overload_ms && arrival < 3; ++arrival) {
            if (random() % 100 >= 37) {
                continue;
            }
            const auto spec = make_spec(4 + random() % 8, milliseconds{300 + random() % 600});
            std::int64_t queued_work = 0;
            for (const auto& job : waiting) {
                queued_work += is_useless(job, now) ? 0 : job.m_work;
            }
            const auto decision = decide_admission(spec, queue, outlook, accepted);
            if (admission_control && !decision.m_admitted) {
                ++counts.m_refused;
                counts.m_refused_with_room += queued_work == 0 ? 1 : 0;
                continue;
            }
            accepted += estimated_work(spec);
            waiting.push_back({now, estimated_work(spec), longest_chain(spec)});
        }
        if (now % measure_ms == 0) {
            outlook = {0, 0, pool_cpu, static_cast<double>(accepted)};
            for (const auto& job : waiting) {
                outlook.m_backlog += is_useless(job, now) ? 0 : job.m_work;
                outlook.m_waiting_cpu += job.m_work;
            }
        }
        auto left = pool_cpu * step_ms;
        while (left > 0 && !waiting.empty()) {
            auto& first = waiting.front();
            const auto done = std::min(left, first.m_work);
            left -= done;
            first.m_work -= done;
            if (first.m_work > 0) {
                continue;
            }
            const auto took = now + first.m_chain.count() - first.m_arrived_ms;
            const auto useful = useful_time(first.m_chain, queue).count();
            counts.m_in_time += took * 3 <= useful ? 1 : 0;
            counts.m_useful += took * 3 > useful && took <= useful ? 1 : 0;
            counts.m_useless += took > useful ? 1 : 0;
            waiting.pop_front();
        }
    }
    return counts;
}

} // namespace

class admission_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(admission_test);
    CPPUNIT_TEST(admits_while_no_ready_task_waits);
    CPPUNIT_TEST(rejects_a_job_that_would_end_too_late_with_a_retry_time);
    CPPUNIT_TEST(counts_work_accepted_since_the_measurement);
    CPPUNIT_TEST(never_rejects_long_running_or_recurring_jobs);
    CPPUNIT_TEST(admitted_a_job_behind_work_at_the_limits);
    CPPUNIT_TEST(rejections_in_a_short_overload_keep_accepted_jobs_useful);
    CPPUNIT_TEST_SUITE_END();

public:
    void admits_while_no_ready_task_waits()
    {
        // A huge backlog of later steps, none of which is ready to use the free CPU.
        const pool_outlook outlook{pool_cpu * 60'000, 0, pool_cpu, 0};
        const auto decision =
            decide_admission(make_spec(4, milliseconds{500}), make_queue(), outlook, 0);
        CPPUNIT_ASSERT(decision.m_admitted);
    }

    void rejects_a_job_that_would_end_too_late_with_a_retry_time()
    {
        const auto spec = make_spec(4, milliseconds{500});
        // Useful for 3 x (1.6 x 500 + 600) = 4,200 ms; 500 of them are its own run time.
        const pool_outlook bearable{pool_cpu * 3'700, 1'000, pool_cpu, 0};
        const pool_outlook too_much{pool_cpu * 5'700, 1'000, pool_cpu, 0};

        CPPUNIT_ASSERT(decide_admission(spec, make_queue(), bearable, 0).m_admitted);
        const auto decision = decide_admission(spec, make_queue(), too_much, 0);
        CPPUNIT_ASSERT(!decision.m_admitted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2'000},
                             static_cast<std::int64_t>(decision.m_retry_after.count()));
    }

    void counts_work_accepted_since_the_measurement()
    {
        const auto spec = make_spec(4, milliseconds{500});
        const pool_outlook outlook{pool_cpu * 3'600, 1'000, pool_cpu, 50'000};
        CPPUNIT_ASSERT(decide_admission(spec, make_queue(), outlook, 50'000).m_admitted);
        CPPUNIT_ASSERT(
            !decide_admission(spec, make_queue(), outlook, 50'000 + pool_cpu * 200).m_admitted);
    }

    // The sum of the backlog and of the accepted work exceeded 64 bits.
    void admitted_a_job_behind_work_at_the_limits()
    {
        constexpr std::int64_t huge_work = 9'000'000'000'000'000'000;
        const pool_outlook outlook{huge_work, 1'000, 1, 0};
        const auto decision =
            decide_admission(make_spec(4, milliseconds{500}), make_queue(), outlook, huge_work);
        CPPUNIT_ASSERT(!decision.m_admitted);
        CPPUNIT_ASSERT(decision.m_retry_after > milliseconds{0});
    }

    void never_rejects_long_running_or_recurring_jobs()
    {
        const pool_outlook too_much{pool_cpu * 60'000, 1'000, pool_cpu, 0};
        auto long_running = make_spec(4, milliseconds{500});
        long_running.m_steps[0].m_long_running = true;
        auto recurring = make_spec(4, milliseconds{500});
        recurring.m_recurrence = recurrence{};
        CPPUNIT_ASSERT(decide_admission(long_running, make_queue(), too_much, 0).m_admitted);
        CPPUNIT_ASSERT(decide_admission(recurring, make_queue(), too_much, 0).m_admitted);
    }

    void rejections_in_a_short_overload_keep_accepted_jobs_useful()
    {
        for (std::uint32_t seed = 1; seed <= 10; ++seed) {
            const auto without_control = replay(false, seed);
            const auto with_control = replay(true, seed);

            const auto context = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 0, with_control.m_refused_with_room);
            CPPUNIT_ASSERT_MESSAGE(context, without_control.m_useless > 0);
            CPPUNIT_ASSERT_MESSAGE(context + ": nearly all accepted jobs end in time to be useful",
                                   with_control.m_useless * 20 <=
                                       with_control.m_in_time + with_control.m_useful);
            CPPUNIT_ASSERT_MESSAGE(context +
                                       ": no fewer useful jobs than without admission control",
                                   with_control.m_in_time + with_control.m_useful >=
                                       without_control.m_in_time + without_control.m_useful);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_test);

} // namespace peridotrudder
