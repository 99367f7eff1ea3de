#include "peridotrudder/planning/fleet_planner.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <fmt/format.h>

namespace peridotrudder {

namespace {

constexpr std::uint64_t fence = 4;

/// A fleet of eight VMs in a pool and two in the spare pool. The test answers the VM control calls.
struct fleet_fixture {
    moment m_now;
    std::vector<platform_vm> m_listed_vms;
    std::size_t m_unreadable{0};
    std::vector<vm_order> m_orders;
    std::deque<std::function<void(vm_order_result)>> m_answers;
    std::vector<std::pair<std::string, bool>> m_reported_waves;
    std::vector<stop_order> m_stops;
    std::unique_ptr<job_scheduler> m_scheduler;
    std::unique_ptr<fleet_planner> m_planner;

    fleet_fixture() : fleet_fixture{{}, {time_point{milliseconds{1'000'000}}, 1'000'000}} {}

    /// Starts at `now` with the records of a predecessor.
    fleet_fixture(const std::vector<keyed_record>& records, moment now) : m_now{now}
    {
        for (int index = 0; index < 10; ++index) {
            platform_vm listed;
            listed.m_id = "m-" + std::to_string(index);
            listed.m_pool = index < 8 ? "pool" : "spare";
            listed.m_state = platform_vm_state::up;
            listed.m_worker = "i-" + std::to_string(index);
            m_listed_vms.push_back(listed);
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
        fleet_planner_ports hooks;
        hooks.m_loop.m_now = [this] { return m_now; };
        hooks.m_loop.m_after = [](milliseconds, const std::function<void()>&) {};
        hooks.m_vms.m_list = [this](const std::function<void(platform_vm_list)>& callback) {
            callback(platform_vms{m_listed_vms, m_unreadable});
        };
        hooks.m_vms.m_order = [this](const vm_order& order,
                                     std::function<void(vm_order_result)> callback) {
            m_orders.push_back(order);
            m_answers.push_back(std::move(callback));
        };
        hooks.m_report_wave = [this](const std::string& key, bool completed) {
            m_reported_waves.emplace_back(key, completed);
        };
        hooks.m_decided = [](const decision&) {};
        m_planner = fleet_planner::create({}, fence, hooks);
        m_planner->restore(records, m_now);
    }

    /// Starts two long-running tasks, of which one may be missing, on the first two VMs.
    void run_long_running_job()
    {
        order_long_running_job();
        list_runs();
    }

    /// Does the same, but the starts get no answer.
    void order_long_running_job()
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
    }

    /// Submits a job of tasks of one core each, which wait because no worker is known.
    void submit_waiting_tasks(std::uint32_t tasks, std::optional<std::string> key_digest = {})
    {
        job_call call{call_kind::submit, "host", "/queue/00000000000000bb", job_spec{}};
        step_spec step;
        step.m_count = tasks;
        step.m_task_resources.m_cpu_millis = 1'000;
        step.m_estimate = milliseconds{100};
        call.m_spec->m_steps.push_back(step);
        call.m_key_digest = std::move(key_digest);
        m_scheduler->take_call(1, call, m_now);
    }

    /// Lets the workers report all ordered runs as running at 100 percent.
    void list_runs()
    {
        for (int index = 0; index < 2; ++index) {
            const worker_instance instance{"i-" + std::to_string(index), 1};
            hold_answer answer;
            answer.m_result = order_result::accepted;
            answer.m_born_ms = 1;
            const auto& session = *m_scheduler->mutable_state().find_instance(instance);
            for (const auto& [key, run] : session.runs()) {
                answer.m_running.push_back({key, run.m_run, "", 100, 0});
            }
            m_scheduler->hold_answered({instance, session.fence()}, answer, m_now.m_at, m_now);
        }
    }

    std::vector<keyed_record> advance(milliseconds duration)
    {
        std::vector<keyed_record> all_records;
        for (milliseconds passed{0}; passed < duration; passed += milliseconds{100}) {
            m_now.m_at += milliseconds{100};
            m_now.m_unix_ms += 100;
            m_planner->tick(*m_scheduler, m_now);
            for (auto& record : m_planner->take_changes()) {
                all_records.push_back(std::move(record));
            }
            m_planner->written();
        }
        return all_records;
    }

    /// Carries out all pending orders and answers them with `done`.
    void complete_orders()
    {
        const auto orders = m_orders;
        for (std::size_t index = orders.size() - m_answers.size(); index < orders.size(); ++index) {
            for (auto& listed : m_listed_vms) {
                if (listed.m_id == orders[index].m_vm_id && !orders[index].m_pool.empty()) {
                    listed.m_pool = orders[index].m_pool;
                }
            }
        }
        auto answers = std::move(m_answers);
        m_answers.clear();
        for (auto& answer : answers) {
            answer(vm_order_result::done);
        }
    }

    /// Replaces the entry of the VM by one that cannot be read.
    void make_unreadable(const std::string& id)
    {
        m_listed_vms.erase(
            std::remove_if(m_listed_vms.begin(), m_listed_vms.end(),
                           [&id](const platform_vm& listed) { return listed.m_id == id; }),
            m_listed_vms.end());
        ++m_unreadable;
    }

    std::size_t run_count(const std::string& worker) const
    {
        return m_scheduler->state().m_workers.at(worker).runs().size();
    }

    std::size_t maintenance_order_count() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_orders.begin(), m_orders.end(),
                          [](const vm_order& order) { return order.m_pool.empty(); }));
    }
};

declared_wave make_wave(std::uint32_t most_away)
{
    return {1, {"m-0", "m-1", "m-2", "m-3", "m-8"}, milliseconds{25'000}, most_away};
}

} // namespace

class fleet_planner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fleet_planner_test);
    CPPUNIT_TEST(all_idle_vms_but_one_are_moved_to_the_spare_pool);
    CPPUNIT_TEST(larger_vms_are_kept_in_smaller_numbers);
    CPPUNIT_TEST(vms_were_kept_for_work_beyond_a_quota);
    CPPUNIT_TEST(order_is_recorded_before_it_is_sent);
    CPPUNIT_TEST(vm_ordered_by_a_predecessor_gets_no_order_during_its_lease);
    CPPUNIT_TEST(unanswered_order_is_repeated_and_its_worker_stays_marked_as_leaving);
    CPPUNIT_TEST(wave_never_takes_down_more_vms_than_allowed);
    CPPUNIT_TEST(wave_is_completed_only_when_maintenance_of_all_vms_has_begun);
    CPPUNIT_TEST(successor_restores_the_progress_of_a_wave);
    CPPUNIT_TEST(successor_moves_no_task_while_its_predecessors_stops_may_be_pending);
    CPPUNIT_TEST(wave_is_spread_over_its_duration_with_a_reserve_for_outages);
    CPPUNIT_TEST(maintenance_that_a_predecessor_did_not_record_counts_as_away);
    CPPUNIT_TEST(work_of_accepted_jobs_at_their_limits_was_negative);
    CPPUNIT_TEST(record_of_an_order_with_a_time_beyond_any_clock_blocked_its_vm);
    CPPUNIT_TEST(run_ended_because_the_entry_of_its_vm_was_unreadable);
    CPPUNIT_TEST(run_ended_since_the_entry_of_its_vm_named_no_worker);
    CPPUNIT_TEST(successor_ended_a_run_whose_vm_is_up_and_names_no_worker);
    CPPUNIT_TEST(run_ended_since_a_second_vm_that_was_down_named_its_worker);
    CPPUNIT_TEST(successor_took_a_worker_for_gone_whose_vm_was_down);
    CPPUNIT_TEST(list_without_any_vm_ended_all_runs);
    CPPUNIT_TEST(crash_was_not_seen_while_another_vms_entry_was_unreadable);
    CPPUNIT_TEST(wave_counted_a_vm_with_an_unreadable_entry_as_gone);
    CPPUNIT_TEST(wave_counted_a_vm_with_an_unreadable_entry_as_back);
    CPPUNIT_TEST_SUITE_END();

public:
    void all_idle_vms_but_one_are_moved_to_the_spare_pool()
    {
        fleet_fixture fleet;
        fleet.advance(milliseconds{3'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, fleet.m_orders.size());
        for (const auto& order : fleet.m_orders) {
            CPPUNIT_ASSERT_EQUAL(std::string{"spare"}, order.m_pool);
            CPPUNIT_ASSERT_EQUAL(fence, order.m_fence);
        }
    }

    void larger_vms_are_kept_in_smaller_numbers()
    {
        const auto kept_with = [](std::int64_t vm_cpu_millis) {
            fleet_fixture fleet;
            for (auto& listed : fleet.m_listed_vms) {
                listed.m_capacity.m_cpu_millis = vm_cpu_millis;
            }
            fleet.submit_waiting_tasks(64);
            fleet.advance(milliseconds{3'000});
            return 8 - fleet.m_orders.size();
        };
        // 64 cores that wait need 76 at the share that tasks of mixed sizes can use; one VM more is
        // kept for what comes next.
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, kept_with(16'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, kept_with(32'000));
    }

    // VMs were kept for tasks that their tenant may not run.
    void vms_were_kept_for_work_beyond_a_quota()
    {
        const auto kept_with = [](std::int64_t quota) {
            fleet_fixture fleet;
            const auto& config = fleet.m_scheduler->state().m_config;
            const tenant_config limited{"limited", {"digest"}, 1.0, {quota, 0, 0}};
            fleet.m_scheduler->set_config(fleet_config::create(
                2, config.queues(), config.pools(), tenant_directory::create({limited})));
            fleet.submit_waiting_tasks(64, "digest");
            fleet.advance(milliseconds{3'000});
            return 8 - fleet.m_orders.size();
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, kept_with(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, kept_with(64'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, kept_with(8'000));
    }

    void order_is_recorded_before_it_is_sent()
    {
        fleet_fixture fleet;
        const auto records = fleet.advance(milliseconds{3'000});
        std::set<std::string> recorded;
        for (const auto& record : records) {
            recorded.insert(record.m_key);
        }
        for (const auto& order : fleet.m_orders) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recorded.count("vm/" + order.m_vm_id));
        }
    }

    void vm_ordered_by_a_predecessor_gets_no_order_during_its_lease()
    {
        fleet_fixture before;
        const auto records = before.advance(milliseconds{2'000});
        CPPUNIT_ASSERT(!records.empty());
        fleet_fixture after{records, before.m_now};
        after.advance(milliseconds{2'500});
        for (const auto& order : after.m_orders) {
            CPPUNIT_ASSERT_MESSAGE(order.m_vm_id + " was ordered by two owners during the lease",
                                   std::none_of(before.m_orders.begin(), before.m_orders.end(),
                                                [&order](const vm_order& other) {
                                                    return other.m_vm_id == order.m_vm_id;
                                                }));
        }
    }

    void unanswered_order_is_repeated_and_its_worker_stays_marked_as_leaving()
    {
        fleet_fixture fleet;
        fleet.advance(milliseconds{2'000});
        const auto first = fleet.m_orders.front();
        fleet.m_answers.front()(vm_order_result::unanswered);
        fleet.advance(milliseconds{600});
        CPPUNIT_ASSERT(std::count_if(fleet.m_orders.begin(), fleet.m_orders.end(),
                                     [&first](const vm_order& order) {
                                         return order.m_vm_id == first.m_vm_id &&
                                                order.m_pool == first.m_pool;
                                     }) >= 2);
        CPPUNIT_ASSERT(fleet.m_scheduler->state().m_leaving.count("i-0") != 0);
    }

    void wave_never_takes_down_more_vms_than_allowed()
    {
        fleet_fixture fleet;
        fleet.m_planner->declare(make_wave(2), "wave/1", fleet.m_now);
        fleet.advance(milliseconds{1'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.maintenance_order_count());
        // Without answers it is unknown whether the VMs are down.
        fleet.advance(milliseconds{2'000});
        std::set<std::string> ordered_vms;
        for (const auto& order : fleet.m_orders) {
            if (order.m_pool.empty()) {
                ordered_vms.insert(order.m_vm_id);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ordered_vms.size());
    }

    void wave_is_completed_only_when_maintenance_of_all_vms_has_begun()
    {
        fleet_fixture fleet;
        fleet.m_planner->declare(make_wave(2), "wave/1", fleet.m_now);
        for (int round = 0; round < 30; ++round) {
            fleet.advance(milliseconds{500});
            const bool completed =
                !fleet.m_reported_waves.empty() && fleet.m_reported_waves.back().second;
            std::set<std::string> begun;
            for (std::size_t index = 0; index + fleet.m_answers.size() < fleet.m_orders.size();
                 ++index) {
                if (fleet.m_orders[index].m_pool.empty()) {
                    begun.insert(fleet.m_orders[index].m_vm_id);
                }
            }
            CPPUNIT_ASSERT(!completed || begun.size() == 5);
            fleet.complete_orders();
        }
        CPPUNIT_ASSERT(fleet.m_reported_waves.front() ==
                       std::make_pair(std::string{"wave/1"}, false));
        CPPUNIT_ASSERT(fleet.m_reported_waves.back() ==
                       std::make_pair(std::string{"wave/1"}, true));
    }

    // A sum beyond 64 bits is undefined.
    void work_of_accepted_jobs_at_their_limits_was_negative()
    {
        fleet_fixture fleet;
        for (int index = 0; index < 3; ++index) {
            job_call call{call_kind::submit, "host", fmt::format("/queue/{:016x}", index),
                          job_spec{}};
            step_spec step;
            step.m_count = 1'000;
            step.m_task_resources.m_cpu_millis = 100'000'000;
            step.m_estimate = milliseconds{31'536'000'000};
            call.m_spec->m_steps.push_back(step);
            fleet.m_scheduler->take_call(1, call, fleet.m_now);
        }
        const auto& total = fleet.m_scheduler->state().m_accepted_work.at("pool");
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, total.m_jobs);
        const double chain_ms = 31'536'000'000.0;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            chain_ms,
            static_cast<double>(total.m_work_by_chain) / static_cast<double>(total.m_work), 1.0);
    }

    // The difference to the present time exceeded 64 bits.
    void record_of_an_order_with_a_time_beyond_any_clock_blocked_its_vm()
    {
        const auto record = [](const std::string& key, const nlohmann::json& time) {
            return keyed_record{key, nlohmann::json::to_cbor(time), 0};
        };
        std::vector<std::string> logged;
        vm_fleet_hooks hooks;
        hooks.m_decided = [&logged](const decision& made) { logged.push_back(made.m_detail); };
        const auto fleet = vm_fleet::create({}, fence, hooks);
        const moment now{time_point{milliseconds{1'000'000}}, 1'000'000};
        fleet->restore({record("vm/m-0", std::numeric_limits<std::int64_t>::min()),
                        record("vm/m-1", std::numeric_limits<std::int64_t>::max()),
                        record("vm/m-2", std::numeric_limits<std::uint64_t>::max())},
                       now);
        const auto is_blocked = [&fleet](const std::string& id, time_point at) {
            managed_vm managed;
            managed.m_listed.m_id = id;
            return fleet->ordered_by_predecessor(managed, at);
        };
        CPPUNIT_ASSERT(!is_blocked("m-0", now.m_at));
        CPPUNIT_ASSERT(is_blocked("m-1", now.m_at));
        CPPUNIT_ASSERT(!is_blocked("m-1", now.m_at + milliseconds{10'000}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, logged.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"vm/m-2"}, logged.front());
    }

    // A run whose worker still runs is started a second time.
    void run_ended_because_the_entry_of_its_vm_was_unreadable()
    {
        fleet_fixture fleet;
        fleet.run_long_running_job();
        fleet.advance(milliseconds{1'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.run_count("i-0"));
        fleet.make_unreadable("m-0");
        fleet.advance(milliseconds{2'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.run_count("i-0"));
        // A list that is complete again shows that the VM is gone.
        fleet.m_unreadable = 0;
        fleet.advance(milliseconds{2'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.run_count("i-0"));
    }

    // A run whose worker still runs was started a second time.
    void run_ended_since_the_entry_of_its_vm_named_no_worker()
    {
        fleet_fixture fleet;
        fleet.run_long_running_job();
        fleet.advance(milliseconds{1'500});
        fleet.m_listed_vms.front().m_worker.clear();
        fleet.advance(milliseconds{2'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.run_count("i-0"));
        fleet.m_listed_vms.front().m_worker = "i-new";
        fleet.advance(milliseconds{2'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.run_count("i-0"));
    }

    // The successor had not seen which worker the VM had before.
    void successor_ended_a_run_whose_vm_is_up_and_names_no_worker()
    {
        fleet_fixture fleet;
        fleet.m_listed_vms.front().m_worker.clear();
        fleet.run_long_running_job();
        fleet.advance(milliseconds{2'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.run_count("i-0"));
        // VMs of the spare pool never name a worker.
        fleet.m_listed_vms.front().m_worker = "i-new";
        fleet.m_listed_vms.back().m_worker.clear();
        fleet.advance(milliseconds{2'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.run_count("i-0"));
    }

    // The worker came back under its id and carried out the start, while the task ran elsewhere.
    void successor_took_a_worker_for_gone_whose_vm_was_down()
    {
        fleet_fixture fleet;
        fleet.m_listed_vms.front().m_worker.clear();
        fleet.m_listed_vms.front().m_state = platform_vm_state::down;
        fleet.order_long_running_job();
        fleet.advance(milliseconds{2'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.run_count("i-0"));
        fleet.m_listed_vms.front().m_worker = "i-new";
        fleet.advance(milliseconds{2'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.run_count("i-0"));
    }

    // An odd entry names the worker of another VM.
    void run_ended_since_a_second_vm_that_was_down_named_its_worker()
    {
        fleet_fixture fleet;
        fleet.run_long_running_job();
        fleet.advance(milliseconds{1'500});
        fleet.m_listed_vms.back().m_worker = "i-0";
        fleet.m_listed_vms.back().m_state = platform_vm_state::down;
        fleet.advance(milliseconds{2'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.run_count("i-0"));
    }

    // An answer without the list looks like a fleet without VMs.
    void list_without_any_vm_ended_all_runs()
    {
        fleet_fixture fleet;
        fleet.run_long_running_job();
        fleet.advance(milliseconds{1'500});
        fleet.m_listed_vms.clear();
        fleet.advance(milliseconds{2'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.run_count("i-0"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.run_count("i-1"));
    }

    // An odd entry that stays must not delay what the entries of the other VMs show.
    void crash_was_not_seen_while_another_vms_entry_was_unreadable()
    {
        for (const bool replaced : {false, true}) {
            fleet_fixture fleet;
            fleet.run_long_running_job();
            fleet.advance(milliseconds{1'500});
            fleet.make_unreadable("m-1");
            auto& crashed = fleet.m_listed_vms.front();
            crashed.m_worker = replaced ? "i-new" : crashed.m_worker;
            crashed.m_state = replaced ? platform_vm_state::up : platform_vm_state::down;
            fleet.advance(milliseconds{2'500});
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.run_count("i-0"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.run_count("i-1"));
        }
    }

    void wave_counted_a_vm_with_an_unreadable_entry_as_gone()
    {
        fleet_fixture fleet;
        fleet.make_unreadable("m-8");
        fleet.m_planner->declare(make_wave(2), "wave/1", fleet.m_now);
        for (int round = 0; round < 40; ++round) {
            fleet.advance(milliseconds{500});
            fleet.complete_orders();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fleet.maintenance_order_count());
        CPPUNIT_ASSERT(!fleet.m_reported_waves.back().second);
    }

    // The entry before the maintenance says that the VM is up.
    void wave_counted_a_vm_with_an_unreadable_entry_as_back()
    {
        fleet_fixture fleet;
        fleet.m_planner->declare(make_wave(1), "wave/1", fleet.m_now);
        fleet.advance(milliseconds{2'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.maintenance_order_count());
        const auto maintained =
            std::find_if(fleet.m_orders.begin(), fleet.m_orders.end(),
                         [](const auto& order) { return order.m_pool.empty(); });
        fleet.make_unreadable(maintained->m_vm_id);
        for (int round = 0; round < 40; ++round) {
            fleet.complete_orders();
            fleet.advance(milliseconds{500});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.maintenance_order_count());
    }

    void maintenance_that_a_predecessor_did_not_record_counts_as_away()
    {
        // The predecessor recorded and sent the orders, but not the wave's progress after them.
        fleet_fixture before;
        before.m_planner->declare(make_wave(2), "wave/1", before.m_now);
        const auto records = before.advance(milliseconds{1'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, before.maintenance_order_count());
        fleet_fixture after{records, before.m_now};
        after.m_planner->declare(make_wave(2), "wave/1", after.m_now);
        after.advance(milliseconds{1'000});
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the VMs may go down at any moment", std::size_t{0},
                                     after.maintenance_order_count());
        for (auto& listed : after.m_listed_vms) {
            for (const auto& order : before.m_orders) {
                if (order.m_vm_id == listed.m_id) {
                    listed.m_state = platform_vm_state::upkeep;
                }
            }
        }
        after.advance(milliseconds{5'000});
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the list shows the VMs as down", std::size_t{0},
                                     after.maintenance_order_count());
    }

    void successor_moves_no_task_while_its_predecessors_stops_may_be_pending()
    {
        fleet_fixture fleet;
        fleet.run_long_running_job();
        fleet.m_planner->declare(make_wave(5), "wave/1", fleet.m_now);

        // A run that the predecessor ordered to stop is listed as running until it has ended.
        fleet.advance(milliseconds{900});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.m_stops.size());

        fleet.advance(milliseconds{1'000});
        CPPUNIT_ASSERT_EQUAL_MESSAGE("one task at a time", std::size_t{1}, fleet.m_stops.size());
    }

    void wave_is_spread_over_its_duration_with_a_reserve_for_outages()
    {
        // 172 VMs in 25 s, each away for 4 s including the drain, with a reserve for a 4 s
        // outage.
        constexpr std::int64_t cycle_ms = 4'000;
        constexpr std::int64_t outage_ms = 4'000;
        wave_state wave;
        wave.m_wave.m_duration = milliseconds{25'000};
        std::size_t remaining = 172;
        const auto first = vms_to_drain(wave, remaining, 0);
        CPPUNIT_ASSERT_MESSAGE("few VMs are drained at once", first < remaining / 2);
        std::int64_t now_ms = 0;
        while (remaining > 0) {
            remaining -= std::min<std::size_t>(remaining, vms_to_drain(wave, remaining, now_ms));
            now_ms += cycle_ms;
        }
        CPPUNIT_ASSERT_MESSAGE("the wave ends in time",
                               now_ms + cycle_ms + outage_ms <= wave.m_wave.m_duration.count());
    }

    void successor_restores_the_progress_of_a_wave()
    {
        fleet_fixture before;
        before.m_planner->declare(make_wave(5), "wave/1", before.m_now);
        auto records = before.advance(milliseconds{1'000});
        before.complete_orders();
        for (auto& record : before.advance(milliseconds{200})) {
            records.push_back(std::move(record));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, before.maintenance_order_count());
        fleet_fixture after{records, before.m_now};
        after.m_planner->declare(make_wave(5), "wave/1", after.m_now);
        after.advance(milliseconds{6'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, after.maintenance_order_count());
        CPPUNIT_ASSERT(after.m_reported_waves.back().second);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_planner_test);

} // namespace peridotrudder
