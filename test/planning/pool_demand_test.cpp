#include "peridotrudder/planning/pool_demand.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

constexpr std::int64_t vm_cpu = 16'000;
constexpr std::int64_t start_ms = 1'000'000;
constexpr milliseconds lead{1'700};

moment moment_at(std::int64_t ms)
{
    return {time_point{milliseconds{start_ms + ms}}, start_ms + ms};
}

/// A pool with one queue, to which jobs are added as if they had been accepted.
struct demand_fixture {
    scheduler_state m_state;
    pool_demand m_demand{pool_demand::create(lead)};
    int m_jobs{0};

    demand_fixture()
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

    /// Adds a job of `steps` steps, each of one task that depends on the step before.
    job& add_chain(std::uint32_t steps, std::int64_t now_ms)
    {
        job_header header;
        header.m_id = std::to_string(m_jobs++);
        header.m_queue = m_state.m_config.queues().front();
        header.m_accepted_ms = start_ms + now_ms;
        for (std::uint32_t index = 0; index < steps; ++index) {
            step_spec step;
            step.m_count = 1;
            step.m_task_resources.m_cpu_millis = 8'000;
            step.m_estimate = milliseconds{1'000};
            if (index > 0) {
                step.m_depends_on = {index - 1};
            }
            header.m_spec.m_steps.push_back(step);
        }
        return m_state.m_job_store.add(header);
    }

    std::uint32_t required(std::int64_t now_ms)
    {
        return required_vms(m_demand.measure(m_state, moment_at(now_ms)).at("pool"), vm_cpu);
    }
};

} // namespace

class pool_demand_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(pool_demand_test);
    CPPUNIT_TEST(idle_pool_needs_no_vms);
    CPPUNIT_TEST(long_running_tasks_need_as_many_vms_as_they_must_spread_over);
    CPPUNIT_TEST(waiting_work_counts_in_full);
    CPPUNIT_TEST(arrival_rate_follows_many_small_jobs_faster_than_few_large_ones);
    CPPUNIT_TEST(demand_follows_a_burst_up_and_down);
    CPPUNIT_TEST(late_job_demands_no_more_than_its_tasks_can_use_at_once);
    CPPUNIT_TEST(work_of_jobs_at_their_limits_was_negative_demand);
    CPPUNIT_TEST(number_of_vms_beyond_32_bits_wrapped);
    CPPUNIT_TEST_SUITE_END();

public:
    // Sums beyond 64 bits are undefined.
    void work_of_jobs_at_their_limits_was_negative_demand()
    {
        demand_fixture demand;
        for (int index = 0; index < 3; ++index) {
            job_header header;
            header.m_id = std::to_string(index);
            header.m_queue = demand.m_state.m_config.queues().front();
            header.m_accepted_ms = start_ms;
            step_spec step;
            step.m_count = 1'000;
            step.m_task_resources.m_cpu_millis = 100'000'000;
            step.m_estimate = milliseconds{31'536'000'000};
            header.m_spec.m_steps = {step};
            demand.m_state.m_job_store.add(header);
        }
        const auto load = demand.m_demand.measure(demand.m_state, moment_at(0)).at("pool");
        const auto max_cpu = 3 * std::int64_t{1'000} * 100'000'000;
        CPPUNIT_ASSERT_EQUAL(max_cpu, load.m_waiting);
        CPPUNIT_ASSERT(load.m_accepted > 0 && load.m_accepted <= max_cpu);
        CPPUNIT_ASSERT(load.m_forecast > 0 && load.m_forecast <= max_cpu);
        CPPUNIT_ASSERT(static_cast<double>(load.m_backlog) > 9e21);
    }

    // The conversion of a real number beyond the range is undefined.
    void number_of_vms_beyond_32_bits_wrapped()
    {
        pool_load load;
        load.m_waiting = 4'294'967'296 * 85 / 100;
        CPPUNIT_ASSERT(required_vms(load, 1) >= 1'000'000);
        load.m_waiting = 2'000'000'000'000;
        CPPUNIT_ASSERT(required_vms(load, 1) >= 1'000'000);
        load.m_spread_vms = 4'294'967'295;
        CPPUNIT_ASSERT_EQUAL(1'000'000U, required_vms(load, 16'000));
    }

    void idle_pool_needs_no_vms()
    {
        demand_fixture demand;
        CPPUNIT_ASSERT_EQUAL(0U, demand.required(0));
    }

    void long_running_tasks_need_as_many_vms_as_they_must_spread_over()
    {
        demand_fixture demand;
        demand.add(5, true, 0);
        CPPUNIT_ASSERT_EQUAL(5U, demand.required(0));
    }

    void waiting_work_counts_in_full()
    {
        demand_fixture demand;
        demand.add(64, false, 0);
        // Tasks for 64 cores wait now; they count in full although they have 1.4 s left.
        CPPUNIT_ASSERT(demand.required(0) >= 64'000 / vm_cpu);
    }

    void arrival_rate_follows_many_small_jobs_faster_than_few_large_ones()
    {
        // Work for 1,000 cores arrives for 300 ms after a pause, in many small jobs or in few large
        // ones.
        const auto arriving_after = [](std::uint32_t tasks, int jobs_per_interval) {
            demand_fixture demand;
            std::int64_t arriving = 0;
            for (std::int64_t now = 0; now <= 300; now += 100) {
                for (int count = 0; count < jobs_per_interval; ++count) {
                    demand.add(tasks, false, now);
                }
                arriving =
                    demand.m_demand.measure(demand.m_state, moment_at(now)).at("pool").m_arriving;
            }
            return arriving;
        };
        constexpr std::int64_t real_rate = 1'000'000;
        CPPUNIT_ASSERT_MESSAGE("200 jobs a second: over nine tenths of the real rate",
                               arriving_after(10, 20) > real_rate * 9 / 10);
        CPPUNIT_ASSERT_MESSAGE("10 jobs a second: below two thirds of the real rate",
                               arriving_after(200, 1) < real_rate * 2 / 3);
    }

    void demand_follows_a_burst_up_and_down()
    {
        demand_fixture demand;
        std::uint32_t highest = 0;
        std::vector<job*> placed_jobs;
        for (std::int64_t now = 0; now < 4'000; now += 100) {
            // 20 jobs of 10 tasks a second: 100 cores.
            for (int count = 0; count < 2; ++count) {
                auto& added = demand.add(10, false, now);
                for (std::uint32_t index = 0; index < 10; ++index) {
                    added.place({0, 0, index}, {"i-1", 1});
                }
                placed_jobs.push_back(&added);
            }
            if (now >= 500) {
                for (int count = 0; count < 2; ++count) {
                    for (std::uint32_t index = 0; index < 10; ++index) {
                        placed_jobs.front()->end({0, 0, index}, 1, run_end::done, "", 3,
                                                 start_ms + now);
                    }
                    placed_jobs.erase(placed_jobs.begin());
                }
            }
            highest = std::max(highest, demand.required(now));
        }
        CPPUNIT_ASSERT_MESSAGE("100 cores need at least 7 VMs", highest >= 7);
        CPPUNIT_ASSERT_MESSAGE("not more than twice as many", highest <= 14);
        for (auto* placed_job : placed_jobs) {
            for (std::uint32_t index = 0; index < 10; ++index) {
                placed_job->end({0, 0, index}, 1, run_end::done, "", 3, start_ms + 4'000);
            }
        }
        std::uint32_t after = 0;
        for (std::int64_t now = 4'100; now <= 6'000; now += 100) {
            after = demand.required(now);
        }
        CPPUNIT_ASSERT_MESSAGE("two seconds after the burst at most one VM is needed", after <= 1);
    }

    void late_job_demands_no_more_than_its_tasks_can_use_at_once()
    {
        demand_fixture demand;
        for (int count = 0; count < 10; ++count) {
            demand.add_chain(4, 0).place({0, 0, 0}, {"i-1", 1});
        }
        // Ten seconds later every objective has passed. Each job runs one task of 8 cores, and the
        // steps that follow can only run after it.
        const auto load = demand.m_demand.measure(demand.m_state, moment_at(10'000)).at("pool");
        CPPUNIT_ASSERT_EQUAL(std::int64_t{10 * 8'000}, load.m_placed);
        CPPUNIT_ASSERT(load.m_accepted <= load.m_placed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pool_demand_test);

} // namespace peridotrudder
