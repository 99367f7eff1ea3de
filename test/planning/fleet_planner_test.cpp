#include "peridotrudder/planning/fleet_planner.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>

namespace peridotrudder {

namespace {

constexpr std::uint64_t fence = 4;

/// A fleet of eight VMs in a pool and two in the spare pool, whose control the test answers.
struct fixture {
    moment m_now;
    std::vector<listed_machine> m_machines;
    std::vector<vm_order> m_orders;
    std::deque<std::function<void(vm_result)>> m_answers;
    std::vector<std::pair<std::string, bool>> m_told;
    std::vector<stop_order> m_stops;
    std::unique_ptr<job_scheduler> m_scheduler;
    std::unique_ptr<fleet_planner> m_planner;

    fixture() : fixture{{}, {time_point{milliseconds{1'000'000}}, 1'000'000}} {}

    /// Starts at `now` with what a predecessor recorded.
    fixture(const std::vector<keyed_record>& records, moment now) : m_now{now}
    {
        for (int index = 0; index < 10; ++index) {
            listed_machine machine;
            machine.m_id = "m-" + std::to_string(index);
            machine.m_pool = index < 8 ? "pool" : "spare";
            machine.m_state = machine_state::up;
            machine.m_worker = "i-" + std::to_string(index);
            m_machines.push_back(machine);
        }
        scheduler_ports ports;
        ports.m_start = [](const worker_report&, const start_order&) {};
        ports.m_stop = [this](const worker_report&, const stop_order& order) {
            m_stops.push_back(order);
        };
        ports.m_pace = [](const worker_report&, const pace_order&) {};
        ports.m_hold = [](const worker_report&, const hold_order&) {};
        ports.m_answer = [](std::uint64_t, const call_answer&) {};
        ports.m_log = [](const decision&) {};
        ports.m_deposed = [] {};
        m_scheduler = job_scheduler::create({}, ports, {}, m_now);
        queue_config queue;
        queue.m_host = "host";
        queue.m_prefix = "/queue/";
        queue.m_pool = "pool";
        m_scheduler->set_config(
            fleet_config::create(1, {queue}, {{"pool", false, false}, {"spare", true, false}}));
        planner_ports hooks;
        hooks.m_loop.m_now = [this] { return m_now; };
        hooks.m_loop.m_after = [](milliseconds, const std::function<void()>&) {};
        hooks.m_vms.m_list = [this](const std::function<void(machine_list)>& callback) {
            callback(m_machines);
        };
        hooks.m_vms.m_order = [this](const vm_order& order,
                                     std::function<void(vm_result)> callback) {
            m_orders.push_back(order);
            m_answers.push_back(std::move(callback));
        };
        hooks.m_tell_wave = [this](const std::string& key, bool completed) {
            m_told.emplace_back(key, completed);
        };
        hooks.m_decided = [](const decision&) {};
        m_planner = fleet_planner::create({}, fence, hooks);
        m_planner->restore(records, m_now);
    }

    /// Lets two tasks that last, of which one may be missing, run on the first two VMs.
    void run_lasting_job()
    {
        for (int index = 0; index < 2; ++index) {
            worker_report worker;
            worker.m_instance = {"i-" + std::to_string(index), 1};
            worker.m_pool = "pool";
            worker.m_port = 80;
            worker.m_capacity = {16'000, 32'768, 0};
            m_scheduler->worker_listed(worker, m_now);
        }
        m_scheduler->begin(m_now);
        list_runs();
        job_call call{call_kind::submit, "host", "/queue/00000000000000aa", job_spec{}};
        step_spec step;
        step.m_count = 2;
        step.m_long_running = true;
        step.m_max_per_worker = 1;
        step.m_max_unavailable = 1;
        call.m_spec->m_steps.push_back(step);
        m_scheduler->take_call(1, call, m_now);
        m_scheduler->written(m_scheduler->take_batch(m_now), m_now);
        list_runs();
    }

    /// Lets the workers list all that they were told to run, fully at work.
    void list_runs()
    {
        for (int index = 0; index < 2; ++index) {
            const worker_instance life{"i-" + std::to_string(index), 1};
            hold_answer answer;
            answer.m_result = order_result::accepted;
            answer.m_born_ms = 1;
            for (const auto& [key, run] :
                 m_scheduler->mutable_state().find_instance(life)->runs()) {
                answer.m_running.push_back({key, run.m_run, "", 100, 0});
            }
            m_scheduler->hold_answered(life, answer, m_now.m_at, m_now);
        }
    }

    std::vector<keyed_record> pass(milliseconds time)
    {
        std::vector<keyed_record> all;
        for (milliseconds passed{0}; passed < time; passed += milliseconds{100}) {
            m_now.m_at += milliseconds{100};
            m_now.m_unix_ms += 100;
            m_planner->tick(*m_scheduler, m_now);
            for (auto& each : m_planner->take_changes()) {
                all.push_back(std::move(each));
            }
            m_planner->written();
        }
        return all;
    }

    /// Answers all orders, as a platform that carries them out at once.
    void carry_out()
    {
        const auto orders = m_orders;
        for (std::size_t index = orders.size() - m_answers.size(); index < orders.size(); ++index) {
            for (auto& machine : m_machines) {
                if (machine.m_id == orders[index].m_machine && !orders[index].m_pool.empty()) {
                    machine.m_pool = orders[index].m_pool;
                }
            }
        }
        auto answers = std::move(m_answers);
        m_answers.clear();
        for (auto& each : answers) {
            each(vm_result::done);
        }
    }

    std::size_t maintained() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_orders.begin(), m_orders.end(),
                          [](const vm_order& each) { return each.m_pool.empty(); }));
    }
};

declared_wave wave_of(std::uint32_t most_away)
{
    return {1, {"m-0", "m-1", "m-2", "m-3", "m-8"}, milliseconds{25'000}, most_away};
}

} // namespace

class fleet_planner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fleet_planner_test);
    CPPUNIT_TEST(idle_vms_are_switched_off_but_for_one);
    CPPUNIT_TEST(order_is_recorded_before_it_is_sent);
    CPPUNIT_TEST(vm_that_a_predecessor_ordered_is_left_alone_for_the_lease);
    CPPUNIT_TEST(unanswered_order_is_repeated_and_its_vm_kept);
    CPPUNIT_TEST(wave_never_has_more_away_than_allowed);
    CPPUNIT_TEST(wave_is_completed_only_when_all_have_begun);
    CPPUNIT_TEST(successor_knows_what_a_wave_has_done);
    CPPUNIT_TEST(a_successor_moves_no_task_while_stops_of_its_predecessor_may_be_under_way);
    CPPUNIT_TEST(a_wave_is_spread_and_leaves_time_for_what_comes_between);
    CPPUNIT_TEST(maintenance_that_a_predecessor_could_not_record_counts_as_away);
    CPPUNIT_TEST_SUITE_END();

public:
    void idle_vms_are_switched_off_but_for_one()
    {
        fixture it;
        it.pass(milliseconds{3'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, it.m_orders.size());
        for (const auto& each : it.m_orders) {
            CPPUNIT_ASSERT_EQUAL(std::string{"spare"}, each.m_pool);
            CPPUNIT_ASSERT_EQUAL(fence, each.m_fence);
        }
    }

    void order_is_recorded_before_it_is_sent()
    {
        fixture it;
        const auto records = it.pass(milliseconds{3'000});
        std::set<std::string> recorded;
        for (const auto& each : records) {
            recorded.insert(each.m_key);
        }
        for (const auto& each : it.m_orders) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recorded.count("vm/" + each.m_machine));
        }
    }

    void vm_that_a_predecessor_ordered_is_left_alone_for_the_lease()
    {
        fixture before;
        const auto records = before.pass(milliseconds{2'000});
        CPPUNIT_ASSERT(!records.empty());
        fixture after{records, before.m_now};
        after.pass(milliseconds{2'500});
        for (const auto& each : after.m_orders) {
            CPPUNIT_ASSERT_MESSAGE(each.m_machine + " was ordered by two holders in turn",
                                   std::none_of(before.m_orders.begin(), before.m_orders.end(),
                                                [&each](const vm_order& other) {
                                                    return other.m_machine == each.m_machine;
                                                }));
        }
    }

    void unanswered_order_is_repeated_and_its_vm_kept()
    {
        fixture it;
        it.pass(milliseconds{2'000});
        const auto first = it.m_orders.front();
        it.m_answers.front()(vm_result::unanswered);
        it.pass(milliseconds{600});
        CPPUNIT_ASSERT(
            std::count_if(it.m_orders.begin(), it.m_orders.end(), [&first](const vm_order& each) {
                return each.m_machine == first.m_machine && each.m_pool == first.m_pool;
            }) >= 2);
        CPPUNIT_ASSERT(it.m_scheduler->state().m_leaving.count("i-0") != 0);
    }

    void wave_never_has_more_away_than_allowed()
    {
        fixture it;
        it.m_planner->declare(wave_of(2), "wave/1", it.m_now);
        it.pass(milliseconds{1'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.maintained());
        // Without answers nobody knows whether they are down.
        it.pass(milliseconds{2'000});
        std::set<std::string> machines;
        for (const auto& each : it.m_orders) {
            if (each.m_pool.empty()) {
                machines.insert(each.m_machine);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, machines.size());
    }

    void wave_is_completed_only_when_all_have_begun()
    {
        fixture it;
        it.m_planner->declare(wave_of(2), "wave/1", it.m_now);
        for (int round = 0; round < 30; ++round) {
            it.pass(milliseconds{500});
            const bool completed = !it.m_told.empty() && it.m_told.back().second;
            std::set<std::string> begun;
            for (std::size_t index = 0; index + it.m_answers.size() < it.m_orders.size(); ++index) {
                if (it.m_orders[index].m_pool.empty()) {
                    begun.insert(it.m_orders[index].m_machine);
                }
            }
            CPPUNIT_ASSERT(!completed || begun.size() == 5);
            it.carry_out();
        }
        CPPUNIT_ASSERT(it.m_told.front() == std::make_pair(std::string{"wave/1"}, false));
        CPPUNIT_ASSERT(it.m_told.back() == std::make_pair(std::string{"wave/1"}, true));
    }

    void maintenance_that_a_predecessor_could_not_record_counts_as_away()
    {
        // The orders were recorded and carried out; that they were was not.
        fixture before;
        before.m_planner->declare(wave_of(2), "wave/1", before.m_now);
        const auto records = before.pass(milliseconds{1'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, before.maintained());
        fixture after{records, before.m_now};
        after.m_planner->declare(wave_of(2), "wave/1", after.m_now);
        after.pass(milliseconds{1'000});
        CPPUNIT_ASSERT_EQUAL_MESSAGE("they may go down at any moment", std::size_t{0},
                                     after.maintained());
        for (auto& machine : after.m_machines) {
            for (const auto& order : before.m_orders) {
                if (order.m_machine == machine.m_id) {
                    machine.m_state = machine_state::upkeep;
                }
            }
        }
        after.pass(milliseconds{5'000});
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the list shows them down", std::size_t{0},
                                     after.maintained());
    }

    void a_successor_moves_no_task_while_stops_of_its_predecessor_may_be_under_way()
    {
        fixture it;
        it.run_lasting_job();
        it.m_planner->declare(wave_of(5), "wave/1", it.m_now);

        // A run that the predecessor has told to stop is listed as at work until it has ended.
        it.pass(milliseconds{900});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.m_stops.size());

        it.pass(milliseconds{1'000});
        CPPUNIT_ASSERT_EQUAL_MESSAGE("then one at a time", std::size_t{1}, it.m_stops.size());
    }

    void a_wave_is_spread_and_leaves_time_for_what_comes_between()
    {
        // 172 VMs in 25 s, each away for 4 s with the time to empty it; an outage of 4 s comes.
        constexpr std::int64_t cycle_ms = 4'000;
        constexpr std::int64_t outage_ms = 4'000;
        wave_state wave;
        wave.m_wave.m_duration = milliseconds{25'000};
        std::size_t open = 172;
        const auto first = vms_to_empty(wave, open, 0);
        CPPUNIT_ASSERT_MESSAGE("little is away at once", first < open / 2);
        std::int64_t now_ms = 0;
        while (open > 0) {
            open -= std::min<std::size_t>(open, vms_to_empty(wave, open, now_ms));
            now_ms += cycle_ms;
        }
        CPPUNIT_ASSERT_MESSAGE("in time",
                               now_ms + cycle_ms + outage_ms <= wave.m_wave.m_duration.count());
    }

    void successor_knows_what_a_wave_has_done()
    {
        fixture before;
        before.m_planner->declare(wave_of(5), "wave/1", before.m_now);
        auto records = before.pass(milliseconds{1'000});
        before.carry_out();
        for (auto& each : before.pass(milliseconds{200})) {
            records.push_back(std::move(each));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, before.maintained());
        fixture after{records, before.m_now};
        after.m_planner->declare(wave_of(5), "wave/1", after.m_now);
        after.pass(milliseconds{6'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, after.maintained());
        CPPUNIT_ASSERT(after.m_told.back().second);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_planner_test);

} // namespace peridotrudder
