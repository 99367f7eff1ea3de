#include "peridotrudder/scheduling/pacing.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

constexpr milliseconds target{200};
/// Time within which a latency disturbance must have ended.
constexpr milliseconds max_disturbance{4'000};
const run_key serving{"00000000000000aa", {0, 0, 0}};
const run_key best_effort{"00000000000000bb", {0, 0, 0}};

/// An owner's view of a worker with one latency-sensitive and one best-effort run.
struct fixture {
    time_point m_now{milliseconds{1'000'000}};
    worker_session m_session{make_session()};

    fixture()
    {
        worker_run serving_run;
        serving_run.m_run = 1;
        serving_run.m_phase = run_phase::running;
        serving_run.m_long_running = true;
        serving_run.m_latency_target = target;
        m_session.reserve(serving, serving_run);
        worker_run best_effort_run;
        best_effort_run.m_run = 1;
        best_effort_run.m_phase = run_phase::running;
        best_effort_run.m_best_effort = true;
        best_effort_run.m_best_effort_cpu_millis = 2'000;
        m_session.reserve(best_effort, best_effort_run);
    }

    static worker_session make_session()
    {
        worker_report report;
        report.m_instance = {"i-1", 1};
        report.m_capacity = {16'000, 32'768, 0};
        return worker_session::create(report, 1, {}, time_point{milliseconds{1'000'000}});
    }

    void set_tail(std::int64_t ms) { m_session.find(serving)->m_load = ms; }

    /// Applies the speed changes that the owner decides on. Returns whether there were any.
    bool decide()
    {
        const auto changes = decide_paces(m_session, m_now);
        for (const auto& change : changes) {
            auto* run = m_session.find(change.m_key);
            run->m_pace = change.m_percent;
            run->m_pace_known = true;
            run->m_paced_at = m_now;
        }
        return !changes.empty();
    }

    std::uint32_t pace() { return m_session.find(best_effort)->m_pace; }
};

} // namespace

class pacing_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(pacing_test);
    CPPUNIT_TEST(best_effort_run_that_raises_the_latency_is_paused_in_time);
    CPPUNIT_TEST(paused_run_resumes_once_there_is_slack);
    CPPUNIT_TEST(speed_settles_where_the_latency_is_under_its_target);
    CPPUNIT_TEST(runs_are_not_throttled_on_workers_without_serving_runs);
    CPPUNIT_TEST(speed_set_by_a_previous_owner_is_not_trusted);
    CPPUNIT_TEST(orders_are_repeated_because_they_may_be_lost);
    CPPUNIT_TEST(serving_runs_are_never_throttled);
    CPPUNIT_TEST_SUITE_END();

public:
    void best_effort_run_that_raises_the_latency_is_paused_in_time()
    {
        fixture setup;
        setup.set_tail(500);
        const auto started = setup.m_now;
        while (setup.pace() > 0) {
            setup.m_now += milliseconds{500};
            setup.decide();
            CPPUNIT_ASSERT(setup.m_now - started < max_disturbance);
        }
    }

    void paused_run_resumes_once_there_is_slack()
    {
        fixture setup;
        setup.m_session.find(best_effort)->m_pace = 0;
        setup.set_tail(50);
        for (int round = 0; round < 20; ++round) {
            setup.m_now += milliseconds{600};
            setup.decide();
        }
        CPPUNIT_ASSERT_EQUAL(100U, setup.pace());
    }

    void speed_settles_where_the_latency_is_under_its_target()
    {
        fixture setup;
        int over = 0;
        for (int round = 0; round < 100; ++round) {
            setup.m_now += milliseconds{600};
            // 120 ms alone, plus 1.2 ms for each percent of the best-effort task's speed.
            const auto tail = 120 + setup.pace() * 12 / 10;
            setup.set_tail(tail);
            over = tail > target.count() ? over + 1 : 0;
            CPPUNIT_ASSERT_MESSAGE("the latency is never over its target for as long as 4,000 ms",
                                   over * 600 < 4'000);
            setup.decide();
        }
        CPPUNIT_ASSERT_MESSAGE("the best-effort run is not paused", setup.pace() > 0);
    }

    void runs_are_not_throttled_on_workers_without_serving_runs()
    {
        fixture setup;
        setup.m_session.release(serving);
        setup.m_now += milliseconds{5'000};
        CPPUNIT_ASSERT(!setup.decide());
        CPPUNIT_ASSERT_EQUAL(100U, setup.pace());
    }

    void speed_set_by_a_previous_owner_is_not_trusted()
    {
        fixture setup;
        setup.m_session.find(best_effort)->m_pace_known = false;
        setup.m_now += milliseconds{1'000};
        CPPUNIT_ASSERT_MESSAGE("an order is sent although the speed is unchanged", setup.decide());
        setup.m_now += milliseconds{1'000};
        CPPUNIT_ASSERT_MESSAGE("the order is sent only once", !setup.decide());
    }

    void orders_are_repeated_because_they_may_be_lost()
    {
        fixture setup;
        setup.m_session.find(best_effort)->m_pace = 25;
        setup.m_session.find(best_effort)->m_paced_at = setup.m_now;
        setup.set_tail(150);
        setup.m_now += milliseconds{1'900};
        CPPUNIT_ASSERT(!setup.decide());
        setup.m_now += milliseconds{100};
        CPPUNIT_ASSERT(setup.decide());
        CPPUNIT_ASSERT_EQUAL(25U, setup.pace());
    }

    void serving_runs_are_never_throttled()
    {
        fixture setup;
        setup.set_tail(5'000);
        setup.m_now += milliseconds{1'000};
        for (const auto& change : decide_paces(setup.m_session, setup.m_now)) {
            CPPUNIT_ASSERT(change.m_key == best_effort);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pacing_test);

} // namespace peridotrudder
