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

/// What became of the jobs of a replay.
struct outcome {
    int m_in_time{0};
    int m_useful{0};
    int m_useless{0};
    int m_refused{0};
    int m_refused_with_room{0};
};

/// Plays arrivals against a pool that does work at a fixed rate, the earliest first, as a fluid.
outcome replay(bool judges, std::uint32_t seed)
{
    constexpr std::int64_t step_ms = 10;
    constexpr std::int64_t measure_ms = 100;
    constexpr std::int64_t overload_ms = 6'000;
    struct waiting_job {
        std::int64_t m_came_ms;
        std::int64_t m_work;
        milliseconds m_chain;
    };
    std::mt19937 random{seed};
    std::deque<waiting_job> waiting;
    outcome seen;
    pool_outlook outlook;
    std::int64_t accepted = 0;
    const auto queue = make_queue();
    const auto is_useless = [&](const waiting_job& job, std::int64_t now) {
        return now + job.m_chain.count() > job.m_came_ms + useful_time(job.m_chain, queue).count();
    };
    for (std::int64_t now = 0; now < overload_ms || !waiting.empty(); now += step_ms) {
        // Three times what the pool can do for six seconds: about 1.1 jobs in each step.
        for (int each = 0; now < overload_ms && each < 3; ++each) {
            if (random() % 100 >= 37) {
                continue;
            }
            const auto spec = make_spec(4 + random() % 8, milliseconds{300 + random() % 600});
            std::int64_t ahead = 0;
            for (const auto& job : waiting) {
                ahead += is_useless(job, now) ? 0 : job.m_work;
            }
            const auto verdict = decide_admission(spec, queue, outlook, accepted);
            if (judges && !verdict.m_admitted) {
                ++seen.m_refused;
                seen.m_refused_with_room += ahead == 0 ? 1 : 0;
                continue;
            }
            accepted += estimated_work(spec);
            waiting.push_back({now, estimated_work(spec), longest_chain(spec)});
        }
        if (now % measure_ms == 0) {
            outlook = {0, 0, pool_cpu, accepted};
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
            const auto took = now + first.m_chain.count() - first.m_came_ms;
            const auto useful = useful_time(first.m_chain, queue).count();
            seen.m_in_time += took * 3 <= useful ? 1 : 0;
            seen.m_useful += took * 3 > useful && took <= useful ? 1 : 0;
            seen.m_useless += took > useful ? 1 : 0;
            waiting.pop_front();
        }
    }
    return seen;
}

} // namespace

class admission_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(admission_test);
    CPPUNIT_TEST(admits_while_nothing_waits_for_room);
    CPPUNIT_TEST(turns_away_what_could_only_end_too_late_and_says_when_to_return);
    CPPUNIT_TEST(counts_what_came_since_the_measurement);
    CPPUNIT_TEST(never_turns_away_work_without_end_or_at_set_times);
    CPPUNIT_TEST(overload_of_seconds_ends_with_useful_work_instead_of_late_work);
    CPPUNIT_TEST_SUITE_END();

public:
    void admits_while_nothing_waits_for_room()
    {
        // A huge backlog of later steps, but none of it could use the room now.
        const pool_outlook outlook{pool_cpu * 60'000, 0, pool_cpu, 0};
        const auto verdict =
            decide_admission(make_spec(4, milliseconds{500}), make_queue(), outlook, 0);
        CPPUNIT_ASSERT(verdict.m_admitted);
    }

    void turns_away_what_could_only_end_too_late_and_says_when_to_return()
    {
        const auto spec = make_spec(4, milliseconds{500});
        // Useful for 3 x (1.6 x 500 + 600) = 4,200 ms; 500 of them are its own run time.
        const pool_outlook bearable{pool_cpu * 3'700, 1'000, pool_cpu, 0};
        const pool_outlook too_much{pool_cpu * 5'700, 1'000, pool_cpu, 0};

        CPPUNIT_ASSERT(decide_admission(spec, make_queue(), bearable, 0).m_admitted);
        const auto verdict = decide_admission(spec, make_queue(), too_much, 0);
        CPPUNIT_ASSERT(!verdict.m_admitted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2'000},
                             static_cast<std::int64_t>(verdict.m_retry_after.count()));
    }

    void counts_what_came_since_the_measurement()
    {
        const auto spec = make_spec(4, milliseconds{500});
        const pool_outlook outlook{pool_cpu * 3'600, 1'000, pool_cpu, 50'000};
        CPPUNIT_ASSERT(decide_admission(spec, make_queue(), outlook, 50'000).m_admitted);
        CPPUNIT_ASSERT(
            !decide_admission(spec, make_queue(), outlook, 50'000 + pool_cpu * 200).m_admitted);
    }

    void never_turns_away_work_without_end_or_at_set_times()
    {
        const pool_outlook too_much{pool_cpu * 60'000, 1'000, pool_cpu, 0};
        auto lasting = make_spec(4, milliseconds{500});
        lasting.m_steps[0].m_long_running = true;
        auto timed = make_spec(4, milliseconds{500});
        timed.m_recurrence = recurrence{};
        CPPUNIT_ASSERT(decide_admission(lasting, make_queue(), too_much, 0).m_admitted);
        CPPUNIT_ASSERT(decide_admission(timed, make_queue(), too_much, 0).m_admitted);
    }

    void overload_of_seconds_ends_with_useful_work_instead_of_late_work()
    {
        for (std::uint32_t seed = 1; seed <= 10; ++seed) {
            const auto before = replay(false, seed);
            const auto after = replay(true, seed);

            const auto context = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 0, after.m_refused_with_room);
            CPPUNIT_ASSERT_MESSAGE(context, before.m_useless > 0);
            CPPUNIT_ASSERT_MESSAGE(context + ": what is taken ends in time to be of use",
                                   after.m_useless * 20 <= after.m_in_time + after.m_useful);
            CPPUNIT_ASSERT_MESSAGE(context + ": and no less of it than before",
                                   after.m_in_time + after.m_useful >=
                                       before.m_in_time + before.m_useful);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_test);

} // namespace peridotrudder
