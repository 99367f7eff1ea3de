#include "peridotrudder/planning/pool_demand.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

constexpr std::int64_t vm_cpu = 16'000;
constexpr std::int64_t start_ms = 1'000'000;
constexpr milliseconds lead{1'700};

moment at(std::int64_t ms)
{
    return {time_point{milliseconds{start_ms + ms}}, start_ms + ms};
}

/// A pool with one queue, to which jobs are added as if they had been accepted.
struct fixture {
    scheduler_state m_state;
    pool_demand m_demand{pool_demand::create(lead)};
    int m_jobs{0};

    fixture()
    {
        queue_config queue;
        queue.m_host = "host";
        queue.m_prefix = "/queue/";
        queue.m_pool = "pool";
        queue.m_stretch = 1.6;
        queue.m_target = milliseconds{600};
        m_state.m_config = fleet_config::create(1, {queue}, {{"pool", false, false}});
    }

    job& add(std::uint32_t tasks, bool long_running, std::int64_t now_ms)
    {
        step_spec step;
        step.m_count = tasks;
        step.m_task_resources.m_cpu_millis = 1'000;
        step.m_estimate = milliseconds{long_running ? 0 : 500};
        step.m_long_running = long_running;
        step.m_max_per_worker = long_running ? 1 : 0;
        job_header header;
        header.m_id = std::to_string(m_jobs++);
        header.m_queue = m_state.m_config.queues().front();
        header.m_accepted_ms = start_ms + now_ms;
        header.m_spec.m_steps = {step};
        if (!long_running) {
            auto& total = m_state.m_accepted_work["pool"];
            total.m_work += estimated_work(header.m_spec);
            ++total.m_jobs;
            total.m_work_by_chain += estimated_work(header.m_spec) * 500;
        }
        return m_state.m_job_store.add(header);
    }

    std::uint32_t wanted(std::int64_t now_ms)
    {
        return wanted_vms(m_demand.measure(m_state, at(now_ms)).at("pool"), vm_cpu);
    }
};

} // namespace

class pool_demand_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(pool_demand_test);
    CPPUNIT_TEST(idle_pool_needs_nothing);
    CPPUNIT_TEST(long_running_tasks_need_as_many_vms_as_they_must_spread_over);
    CPPUNIT_TEST(all_that_waits_counts_whole);
    CPPUNIT_TEST(the_more_jobs_come_the_sooner_a_turn_is_believed);
    CPPUNIT_TEST(turn_of_five_times_the_mean_is_followed_up_and_down);
    CPPUNIT_TEST_SUITE_END();

public:
    void idle_pool_needs_nothing()
    {
        fixture it;
        CPPUNIT_ASSERT_EQUAL(0U, it.wanted(0));
    }

    void long_running_tasks_need_as_many_vms_as_they_must_spread_over()
    {
        fixture it;
        it.add(5, true, 0);
        CPPUNIT_ASSERT_EQUAL(5U, it.wanted(0));
    }

    void all_that_waits_counts_whole()
    {
        fixture it;
        it.add(64, false, 0);
        // 64 cores wait now, though they would have 1.4 s.
        CPPUNIT_ASSERT(it.wanted(0) >= 64'000 / vm_cpu);
    }

    void the_more_jobs_come_the_sooner_a_turn_is_believed()
    {
        // 1,000 cores' worth of work a second, in many jobs and in few, for 300 ms from nothing.
        const auto arriving_after = [](std::uint32_t tasks, int jobs_each_step) {
            fixture it;
            std::int64_t arriving = 0;
            for (std::int64_t now = 0; now <= 300; now += 100) {
                for (int each = 0; each < jobs_each_step; ++each) {
                    it.add(tasks, false, now);
                }
                arriving = it.m_demand.measure(it.m_state, at(now)).at("pool").m_arriving;
            }
            return arriving;
        };
        constexpr std::int64_t true_cpu = 1'000'000;
        CPPUNIT_ASSERT_MESSAGE("200 jobs a second: nine tenths are believed",
                               arriving_after(10, 20) > true_cpu * 9 / 10);
        CPPUNIT_ASSERT_MESSAGE("10 jobs a second: two thirds at most",
                               arriving_after(200, 1) < true_cpu * 2 / 3);
    }

    void turn_of_five_times_the_mean_is_followed_up_and_down()
    {
        fixture it;
        std::uint32_t highest = 0;
        std::vector<job*> running;
        for (std::int64_t now = 0; now < 4'000; now += 100) {
            // 20 jobs of 10 tasks a second: 100 cores.
            for (int each = 0; each < 2; ++each) {
                auto& added = it.add(10, false, now);
                for (std::uint32_t index = 0; index < 10; ++index) {
                    added.place({0, 0, index}, {"i-1", 1});
                }
                running.push_back(&added);
            }
            if (now >= 500) {
                for (int each = 0; each < 2; ++each) {
                    for (std::uint32_t index = 0; index < 10; ++index) {
                        running.front()->end({0, 0, index}, 1, run_end::done, "", 3,
                                             start_ms + now);
                    }
                    running.erase(running.begin());
                }
            }
            highest = std::max(highest, it.wanted(now));
        }
        CPPUNIT_ASSERT_MESSAGE("100 cores need 7 VMs or more", highest >= 7);
        CPPUNIT_ASSERT_MESSAGE("but not twice as many", highest <= 14);
        for (auto* each : running) {
            for (std::uint32_t index = 0; index < 10; ++index) {
                each->end({0, 0, index}, 1, run_end::done, "", 3, start_ms + 4'000);
            }
        }
        std::uint32_t after = 0;
        for (std::int64_t now = 4'100; now <= 6'000; now += 100) {
            after = it.wanted(now);
        }
        CPPUNIT_ASSERT_MESSAGE("two seconds after the turn the VMs are free", after <= 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pool_demand_test);

} // namespace peridotrudder
