#include "peridotrudder/scheduling/pacing.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

constexpr milliseconds target{200};
/// Time within which a disturbance must be over, by the promise.
constexpr milliseconds harm_time{4'000};
const run_key serving{"00000000000000aa", {0, 0, 0}};
const run_key filling{"00000000000000bb", {0, 0, 0}};

/// A worker with a task that serves and one that fills, as its owner sees it.
struct fixture {
    time_point m_now{milliseconds{1'000'000}};
    worker_session m_session{make_session()};

    fixture()
    {
        worker_run serves;
        serves.m_run = 1;
        serves.m_phase = run_phase::running;
        serves.m_long_running = true;
        serves.m_latency_target = target;
        m_session.reserve(serving, serves);
        worker_run fills;
        fills.m_run = 1;
        fills.m_phase = run_phase::running;
        fills.m_best_effort = true;
        fills.m_filling_cpu = 2'000;
        m_session.reserve(filling, fills);
    }

    static worker_session make_session()
    {
        worker_report report;
        report.m_instance = {"i-1", 1};
        report.m_capacity = {16'000, 32'768, 0};
        return worker_session::create(report, 1, {}, time_point{milliseconds{1'000'000}});
    }

    void set_tail(std::int64_t ms) { m_session.find(serving)->m_load = ms; }

    /// Lets the owner decide, and carries its decision out. Returns whether there was one.
    bool decide()
    {
        const auto changes = decide_paces(m_session, m_now);
        for (const auto& each : changes) {
            auto* run = m_session.find(each.m_key);
            run->m_pace = each.m_percent;
            run->m_pace_known = true;
            run->m_paced_at = m_now;
        }
        return !changes.empty();
    }

    std::uint32_t pace() { return m_session.find(filling)->m_pace; }
};

} // namespace

class pacing_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(pacing_test);
    CPPUNIT_TEST(filling_work_that_disturbs_others_stands_still_before_the_bound);
    CPPUNIT_TEST(it_works_again_once_there_is_slack);
    CPPUNIT_TEST(it_settles_where_the_tail_is_under_its_target);
    CPPUNIT_TEST(nothing_is_slowed_where_nobody_serves);
    CPPUNIT_TEST(the_speed_that_a_predecessor_set_is_not_trusted);
    CPPUNIT_TEST(an_order_that_may_be_lost_is_repeated);
    CPPUNIT_TEST(serving_runs_are_never_slowed);
    CPPUNIT_TEST_SUITE_END();

public:
    void filling_work_that_disturbs_others_stands_still_before_the_bound()
    {
        fixture it;
        it.set_tail(500);
        const auto begun = it.m_now;
        while (it.pace() > 0) {
            it.m_now += milliseconds{500};
            it.decide();
            CPPUNIT_ASSERT(it.m_now - begun < harm_time);
        }
    }

    void it_works_again_once_there_is_slack()
    {
        fixture it;
        it.m_session.find(filling)->m_pace = 0;
        it.set_tail(50);
        for (int looks = 0; looks < 20; ++looks) {
            it.m_now += milliseconds{600};
            it.decide();
        }
        CPPUNIT_ASSERT_EQUAL(100U, it.pace());
    }

    void it_settles_where_the_tail_is_under_its_target()
    {
        fixture it;
        int over = 0;
        for (int looks = 0; looks < 100; ++looks) {
            it.m_now += milliseconds{600};
            // 120 ms alone, and 1.2 ms more for each hundredth of the filling task's speed.
            const auto tail = 120 + it.pace() * 12 / 10;
            it.set_tail(tail);
            over = tail > target.count() ? over + 1 : 0;
            CPPUNIT_ASSERT_MESSAGE("never over for as long as the bound", over * 600 < 4'000);
            it.decide();
        }
        CPPUNIT_ASSERT_MESSAGE("it still works", it.pace() > 0);
    }

    void nothing_is_slowed_where_nobody_serves()
    {
        fixture it;
        it.m_session.release(serving);
        it.m_now += milliseconds{5'000};
        CPPUNIT_ASSERT(!it.decide());
        CPPUNIT_ASSERT_EQUAL(100U, it.pace());
    }

    void the_speed_that_a_predecessor_set_is_not_trusted()
    {
        fixture it;
        it.m_session.find(filling)->m_pace_known = false;
        it.m_now += milliseconds{1'000};
        CPPUNIT_ASSERT_MESSAGE("told in any case", it.decide());
        it.m_now += milliseconds{1'000};
        CPPUNIT_ASSERT_MESSAGE("but once", !it.decide());
    }

    void an_order_that_may_be_lost_is_repeated()
    {
        fixture it;
        it.m_session.find(filling)->m_pace = 25;
        it.m_session.find(filling)->m_paced_at = it.m_now;
        it.set_tail(150);
        it.m_now += milliseconds{1'900};
        CPPUNIT_ASSERT(!it.decide());
        it.m_now += milliseconds{100};
        CPPUNIT_ASSERT(it.decide());
        CPPUNIT_ASSERT_EQUAL(25U, it.pace());
    }

    void serving_runs_are_never_slowed()
    {
        fixture it;
        it.set_tail(5'000);
        it.m_now += milliseconds{1'000};
        for (const auto& each : decide_paces(it.m_session, it.m_now)) {
            CPPUNIT_ASSERT(each.m_key == filling);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pacing_test);

} // namespace peridotrudder
