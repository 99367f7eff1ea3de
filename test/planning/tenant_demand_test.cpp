#include "peridotrudder/planning/pool_demand.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

constexpr std::int64_t start_ms = 1'000'000;

moment moment_at(std::int64_t ms)
{
    return {time_point{milliseconds{start_ms + ms}}, start_ms + ms};
}

step_spec make_step(std::uint32_t count, std::int64_t cpu_millis = 1'000)
{
    step_spec step;
    step.m_count = count;
    step.m_task_resources = {cpu_millis, 500, 0};
    step.m_estimate = milliseconds{500};
    return step;
}

/// Two pools with a queue each, and tenants `limited` and `free`, of which the first has a quota.
struct demand_fixture {
    scheduler_state m_state;
    pool_demand m_demand{pool_demand::create(milliseconds{1'700})};
    int m_jobs{0};
    double m_chain_ms{500.0};

    explicit demand_fixture(const resources& quota) { set_quota(quota); }

    void set_quota(const resources& quota)
    {
        tenant_config limited{"limited", {}, 10.0, quota};
        tenant_config free{"free", {}, 10.0, {}};
        m_state.m_config = fleet_config::create(1, {make_queue("pool"), make_queue("other")},
                                                {{"pool", false, false}, {"other", false, false}},
                                                tenant_directory::create({limited, free}));
    }

    static queue_config make_queue(const std::string& pool)
    {
        queue_config queue;
        queue.m_host = "host";
        queue.m_prefix = "/" + pool + "/";
        queue.m_pool = pool;
        queue.m_priority = pool == "pool" ? 0 : 3;
        queue.m_stretch = 1.6;
        queue.m_target = milliseconds{600};
        return queue;
    }

    job& add(const std::string& tenant, const step_spec& step, bool excess = false,
             const std::string& pool = "pool", std::int64_t now_ms = 0)
    {
        job_header header;
        header.m_id = std::to_string(m_jobs++);
        header.m_queue = make_queue(pool);
        header.m_accepted_ms = start_ms + now_ms;
        header.m_spec.m_steps = {step};
        if (!tenant.empty()) {
            header.m_tenant = job_tenant{tenant, excess};
        }
        if (!step.m_long_running) {
            auto& total = m_state.m_accepted_work[pool];
            const auto work = static_cast<double>(estimated_work(header.m_spec));
            total.m_work += work;
            total.m_work_by_chain += work * m_chain_ms;
            total.m_work_by_tenant[tenant] += work;
            total.m_contracted_work += excess ? 0.0 : work;
            ++total.m_jobs;
        }
        return m_state.m_job_store.add(header);
    }

    /// Lets jobs of 12 cores' worth arrive, of which ten end.
    void run_overload(std::int64_t until_ms, std::int64_t from_ms = 0)
    {
        for (auto passed = from_ms; passed < until_ms; passed += 500) {
            add("free", make_step(2), false, "pool", passed);
            for (int index = 0; index < 10; ++index) {
                auto& served = add("free", make_step(1), false, "pool", passed);
                const auto run = served.place({0, 0, 0}, {"i-1", 1});
                served.end({0, 0, 0}, run, run_end::done, "", 3, start_ms + passed);
            }
            for (int index = 0; index < 5; ++index) {
                measure(passed + index * 100);
            }
        }
    }

    static void place(job& target, std::uint32_t tasks)
    {
        for (std::uint32_t index = 0; index < tasks; ++index) {
            target.place({0, 0, index}, {"i-1", 1});
        }
    }

    std::map<std::string, pool_load> measure(std::int64_t now_ms = 100)
    {
        return m_demand.measure(m_state, moment_at(now_ms));
    }

    const tenant_outlook& limited() const { return m_demand.tenants().at("limited"); }
};

} // namespace

class tenant_demand_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(tenant_demand_test);
    CPPUNIT_TEST(work_beyond_the_quota_is_backlog_but_no_demand);
    CPPUNIT_TEST(placed_tasks_use_the_quota_up);
    CPPUNIT_TEST(quota_is_shared_by_the_pools_that_its_tenant_uses);
    CPPUNIT_TEST(quota_of_memory_limits_the_demand_of_cpu);
    CPPUNIT_TEST(long_running_tasks_beyond_the_quota_are_no_demand);
    CPPUNIT_TEST(long_running_tasks_have_the_quota_first);
    CPPUNIT_TEST(arriving_work_beyond_the_quota_was_forecast);
    CPPUNIT_TEST(lowered_quota_tells_when_it_is_met);
    CPPUNIT_TEST(raised_quota_counts_at_once);
    CPPUNIT_TEST(backlog_is_kept_by_priority_tenant_and_kind);
    CPPUNIT_TEST(useless_jobs_are_no_backlog);
    CPPUNIT_TEST(contracted_work_is_averaged_over_two_seconds);
    CPPUNIT_TEST(without_tenants_no_backlog_is_kept_by_tenant);
    CPPUNIT_TEST(rates_are_known_once_tasks_have_waited_for_sixteen_seconds);
    CPPUNIT_TEST(rates_are_unknown_without_tenants_or_while_jobs_take_long);
    CPPUNIT_TEST(pool_that_stalled_or_grew_is_not_judged_by_what_it_served);
    CPPUNIT_TEST(ranked_backlog_tells_late_work_from_work_in_time);
    CPPUNIT_TEST_SUITE_END();

public:
    void work_beyond_the_quota_is_backlog_but_no_demand()
    {
        demand_fixture demand{{8'000, 0, 0}};
        demand.add("limited", make_step(100));
        demand.add("free", make_step(20));
        const auto load = demand.measure().at("pool");
        CPPUNIT_ASSERT_EQUAL(std::int64_t{28'000}, load.m_waiting);
        CPPUNIT_ASSERT(load.m_accepted <= 28'000);
        CPPUNIT_ASSERT(load.m_forecast <= 28'000);
        CPPUNIT_ASSERT_EQUAL(3U, required_vms(load, 16'000));
        CPPUNIT_ASSERT_EQUAL(100'000.0 * 500.0,
                             load.m_backlog_by_tenant.at(0).at("limited").m_contracted.m_cpu);
        CPPUNIT_ASSERT(demand.limited().m_at_quota);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{8'000}, demand.limited().m_quota.m_cpu_millis);
        CPPUNIT_ASSERT_EQUAL(unlimited, demand.limited().m_quota.m_memory_mb);
        CPPUNIT_ASSERT_EQUAL(0.0, demand.limited().m_room.m_cpu);
        CPPUNIT_ASSERT(demand.m_demand.tenants().count("free") == 0);
    }

    void placed_tasks_use_the_quota_up()
    {
        demand_fixture demand{{8'000, 0, 0}};
        auto& target = demand.add("limited", make_step(100));
        demand_fixture::place(target, 5);
        auto load = demand.measure().at("pool");
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3'000}, load.m_waiting);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5'000}, load.m_placed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5'000}, demand.limited().m_used_cpu.at("pool"));
        demand_fixture::place(demand.add("limited", make_step(3)), 3);
        load = demand.measure(200).at("pool");
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, load.m_waiting);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{8'000}, load.m_placed);
    }

    void quota_is_shared_by_the_pools_that_its_tenant_uses()
    {
        demand_fixture demand{{8'000, 0, 0}};
        demand.add("limited", make_step(30));
        demand.add("limited", make_step(10), false, "other");
        const auto loads = demand.measure();
        CPPUNIT_ASSERT_EQUAL(std::int64_t{6'000}, loads.at("pool").m_waiting);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2'000}, loads.at("other").m_waiting);
    }

    void quota_of_memory_limits_the_demand_of_cpu()
    {
        demand_fixture demand{{0, 1'000, 0}};
        demand.add("limited", make_step(100));
        const auto load = demand.measure().at("pool");
        // Two tasks at a time.
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2'000}, load.m_waiting);
        CPPUNIT_ASSERT(load.m_accepted <= 2'000);
    }

    void long_running_tasks_beyond_the_quota_are_no_demand()
    {
        demand_fixture demand{{5'000, 0, 0}};
        auto step = make_step(24);
        step.m_long_running = true;
        step.m_max_per_worker = 1;
        auto& target = demand.add("limited", step);
        demand_fixture::place(target, 2);
        const auto load = demand.measure().at("pool");
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5'000}, load.m_long_running);
        CPPUNIT_ASSERT_EQUAL(5U, load.m_spread_vms);
    }

    void long_running_tasks_have_the_quota_first()
    {
        demand_fixture demand{{5'000, 0, 0}};
        demand.add("limited", make_step(10));
        auto step = make_step(4);
        step.m_long_running = true;
        demand.add("limited", step);
        const auto load = demand.measure().at("pool");
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4'000}, load.m_long_running);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'000}, load.m_waiting);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'000}, demand.limited().m_quota.m_cpu_millis);
    }

    // VMs were ordered for arrivals that their tenant's quota keeps waiting.
    void arriving_work_beyond_the_quota_was_forecast()
    {
        const auto forecast_of = [](const std::string& tenant) {
            demand_fixture demand{{4'000, 0, 0}};
            std::int64_t forecast = 0;
            for (int passed = 0; passed < 2'000; passed += 100) {
                // 50 cores' worth.
                demand.add(tenant, make_step(10), true, "pool", passed);
                forecast = demand.measure(passed + 100).at("pool").m_forecast;
            }
            return forecast;
        };
        CPPUNIT_ASSERT(forecast_of("free") > 40'000);
        CPPUNIT_ASSERT(forecast_of("limited") <= 4'000);
    }

    void lowered_quota_tells_when_it_is_met()
    {
        demand_fixture demand{{20'000, 0, 0}};
        auto& target = demand.add("limited", make_step(30));
        demand_fixture::place(target, 20);
        demand.measure();
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                             std::int64_t{demand.limited().m_until_within_quota.count()});
        demand.set_quota({2'000, 0, 0});
        const auto load = demand.measure(200).at("pool");
        // Nine tenths of the runs, whose ends are spread over 500 ms.
        CPPUNIT_ASSERT_EQUAL(std::int64_t{450},
                             std::int64_t{demand.limited().m_until_within_quota.count()});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, load.m_waiting);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{20'000}, load.m_placed);
    }

    void raised_quota_counts_at_once()
    {
        demand_fixture demand{{2'000, 0, 0}};
        demand.add("limited", make_step(10));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2'000}, demand.measure().at("pool").m_waiting);
        demand.set_quota({20'000, 0, 0});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{10'000}, demand.measure(200).at("pool").m_waiting);
        CPPUNIT_ASSERT(!demand.limited().m_at_quota);
        CPPUNIT_ASSERT_EQUAL(10'000.0, demand.limited().m_room.m_cpu);
        demand.set_quota({});
        demand.measure(300);
        CPPUNIT_ASSERT(demand.m_demand.tenants().empty());
    }

    void backlog_is_kept_by_priority_tenant_and_kind()
    {
        demand_fixture demand{{8'000, 0, 0}};
        demand.add("limited", make_step(1));
        demand.add("limited", make_step(2), true);
        demand.add("limited", make_step(4), true, "other");
        auto& half_placed = demand.add("free", make_step(8));
        demand_fixture::place(half_placed, 4);
        demand.add("", make_step(16));
        demand.add("removed", make_step(32), true);
        const auto loads = demand.measure();
        const auto& pool = loads.at("pool").m_backlog_by_tenant.at(0);
        CPPUNIT_ASSERT_EQUAL(500'000.0, pool.at("limited").m_contracted.m_cpu);
        CPPUNIT_ASSERT_EQUAL(1'000'000.0, pool.at("limited").m_excess.m_cpu);
        CPPUNIT_ASSERT_EQUAL(500'000.0, pool.at("limited").m_excess.m_memory);
        CPPUNIT_ASSERT_EQUAL(2'000'000.0, pool.at("free").m_contracted.m_cpu);
        CPPUNIT_ASSERT_EQUAL(8'000'000.0, pool.at("").m_contracted.m_cpu);
        CPPUNIT_ASSERT_EQUAL(16'000'000.0, pool.at("removed").m_excess.m_cpu);
        const auto& other = loads.at("other").m_backlog_by_tenant.at(3);
        CPPUNIT_ASSERT_EQUAL(2'000'000.0, other.at("limited").m_excess.m_cpu);
        CPPUNIT_ASSERT_EQUAL(27'500'000.0, loads.at("pool").m_backlog);
    }

    void useless_jobs_are_no_backlog()
    {
        demand_fixture demand{{8'000, 0, 0}};
        demand.add("limited", make_step(10));
        demand.add("free", make_step(10));
        CPPUNIT_ASSERT(demand.measure(60'000).at("pool").m_backlog_by_tenant.empty());
    }

    void contracted_work_is_averaged_over_two_seconds()
    {
        demand_fixture demand{{8'000, 0, 0}};
        for (int passed = 0; passed < 10'000; passed += 100) {
            // 10 cores' worth of contracted work, and as much excess.
            demand.add("free", make_step(2), false, "pool", passed);
            demand.add("free", make_step(2), true, "pool", passed);
            demand.measure(passed + 100);
        }
        const auto rate = demand.measure(10'100).at("pool").m_contracted_rate;
        CPPUNIT_ASSERT(rate > 9'000.0 && rate < 11'000.0);
        const auto later = demand.measure(12'100).at("pool").m_contracted_rate;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(rate / 2.718, later, 10.0);
    }

    void without_tenants_no_backlog_is_kept_by_tenant()
    {
        demand_fixture demand{{8'000, 0, 0}};
        const auto& config = demand.m_state.m_config;
        demand.m_state.m_config = fleet_config::create(1, config.queues(), config.pools());
        // Accepted under an earlier version.
        demand.add("limited", make_step(100));
        const auto load = demand.measure().at("pool");
        CPPUNIT_ASSERT(load.m_backlog_by_tenant.empty());
        CPPUNIT_ASSERT(demand.m_demand.tenants().empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{100'000}, load.m_waiting);
        CPPUNIT_ASSERT_EQUAL(50'000'000.0, load.m_backlog);
    }

    // A peak of seconds is judged by the backlog alone.
    void rates_are_known_once_tasks_have_waited_for_sixteen_seconds()
    {
        demand_fixture demand{{}};
        demand.run_overload(14'900);
        auto load = demand.measure(15'000).at("pool");
        CPPUNIT_ASSERT_EQUAL(0.0, load.m_served_rate);
        demand.run_overload(20'000, 15'000);
        load = demand.measure(19'950).at("pool");
        // 10 cores' worth of work ends, and 12 arrives, in four fifths of the time.
        CPPUNIT_ASSERT(load.m_served_rate >= 10'000.0 && load.m_served_rate <= 12'500.0);
        const auto& ranked = load.m_backlog_by_tenant.at(0).at("free").m_contracted_ranked;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(12'000.0, ranked.m_accepted_rate.total(), 200.0);
        CPPUNIT_ASSERT_EQUAL(0.0, ranked.m_accepted_rate.before(milliseconds{100}));
    }

    void rates_are_unknown_without_tenants_or_while_jobs_take_long()
    {
        demand_fixture demand{{}};
        const auto& config = demand.m_state.m_config;
        demand.m_state.m_config = fleet_config::create(1, config.queues(), config.pools());
        demand.run_overload(30'000);
        CPPUNIT_ASSERT_EQUAL(0.0, demand.measure(30'100).at("pool").m_served_rate);
        demand_fixture slow{{}};
        slow.m_chain_ms = 100'000.0;
        slow.run_overload(30'000);
        CPPUNIT_ASSERT_EQUAL(0.0, slow.measure(30'100).at("pool").m_served_rate);
    }

    // Guards against refusing nearly all jobs after a stall in which nothing ended.
    void pool_that_stalled_or_grew_is_not_judged_by_what_it_served()
    {
        CPPUNIT_ASSERT_EQUAL(0.0, usable_served_rate(1'000.0, 64'000));
        CPPUNIT_ASSERT_EQUAL(0.0, usable_served_rate(20'000.0, 64'000));
        CPPUNIT_ASSERT_EQUAL(32'000.0, usable_served_rate(32'000.0, 64'000));
        CPPUNIT_ASSERT_EQUAL(100'000.0, usable_served_rate(100'000.0, 64'000));
    }

    void ranked_backlog_tells_late_work_from_work_in_time()
    {
        demand_fixture demand{{}};
        demand.run_overload(30'000);
        // In time for 1,400 ms, less 0.6 of its run time.
        const auto& waiting = demand.add("limited", make_step(2), true, "pool", 30'000);
        const auto ranked_at = [&demand](std::int64_t now_ms) {
            return demand.measure(now_ms)
                .at("pool")
                .m_backlog_by_tenant.at(0)
                .at("limited")
                .m_excess_ranked;
        };
        CPPUNIT_ASSERT_EQUAL(1'000'000.0, ranked_at(31'000).m_in_time.total());
        CPPUNIT_ASSERT_EQUAL(0.0, ranked_at(31'000).m_late.total());
        CPPUNIT_ASSERT_EQUAL(0.0, ranked_at(31'200).m_in_time.total());
        CPPUNIT_ASSERT_EQUAL(1'000'000.0, ranked_at(31'200).m_late.total());
        CPPUNIT_ASSERT(waiting.phase() == job_phase::active);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(tenant_demand_test);

} // namespace peridotrudder
