/// @file
/// Measures how an owner takes over many jobs on a slow processor: the longest turn of its loop,
/// the longest gap between heartbeats and the time to the first start. The log and the workers are
/// simulated. The clock of the loop advances by the processor time of each turn, multiplied as on a
/// node that has a part of a core only.

#include "peridotrudder/node/fleet_owner.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace peridotrudder;
using nanoseconds = std::chrono::nanoseconds;

constexpr std::uint32_t job_count = 3'500;
constexpr std::uint32_t worker_count = 350;
constexpr std::uint32_t tasks_per_step = 8;
constexpr std::uint32_t total_runs = job_count * tasks_per_step;
constexpr std::uint32_t runs_per_worker = total_runs / worker_count;
constexpr std::int64_t task_cpu_millis = 750;
/// Runs of each worker that have ended by the time of the takeover, unless the argument says so.
constexpr std::size_t few_ended_runs = 4;
constexpr std::uint32_t most_percent = 99;
/// Wall time per processor time on a quarter of a core.
constexpr int slowdown = 4;
constexpr milliseconds tick_interval{10};
constexpr milliseconds heartbeat_interval{200};
constexpr milliseconds answer_time{4};

nanoseconds processor_time()
{
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::seconds{used.tv_sec} + nanoseconds{used.tv_nsec};
}

double in_ms(nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

struct simulated_worker {
    std::vector<running_entry> m_running;
    std::vector<ended_entry> m_ended;
};

/// Loop, log and workers of one owner after another.
class simulated_node {
public:
    /// Creates the owner and lets it claim the journal.
    void start_owner(std::uint64_t epoch)
    {
        m_starts = 0;
        m_first_start.reset();
        m_served_at.reset();
        owner_options options;
        options.m_epoch = epoch;
        m_owner = fleet_owner::create(options, make_ports());
        m_begun = m_now;
        m_ticked_at = m_now;
        m_heartbeat_at = m_now;
        m_turns.clear();
        m_longest_gap = nanoseconds{0};
        m_longest_tick_gap = nanoseconds{0};
        m_owner->start();
    }

    void stop_owner()
    {
        m_owner.reset();
        m_due.clear();
    }

    /// Runs the loop until the time has passed or `done` returns true.
    void run(milliseconds time, const std::function<bool()>& done)
    {
        const auto until = m_now + time;
        while (m_now < until && !done()) {
            const auto tick_at = m_ticked_at + tick_interval;
            const bool is_action = !m_due.empty() && m_due.begin()->first <= tick_at;
            m_now = std::max<nanoseconds>(m_now, is_action ? m_due.begin()->first : tick_at);
            if (is_action) {
                const auto action = std::move(m_due.begin()->second);
                m_due.erase(m_due.begin());
                take_turn(action.first, action.second);
                continue;
            }
            take_turn("tick", [this] { m_owner->tick(); });
            if (m_now - m_ticked_at > m_longest_tick_gap) {
                m_longest_tick_gap = m_now - m_ticked_at;
                m_gap_begun = m_ticked_at;
            }
            m_ticked_at = m_now;
            if (m_now - m_heartbeat_at >= heartbeat_interval) {
                m_longest_gap = std::max(m_longest_gap, m_now - m_heartbeat_at);
                m_heartbeat_at = m_now;
            }
        }
    }

    void submit_jobs()
    {
        for (std::uint32_t index = 0; index < job_count; ++index) {
            job_call call{call_kind::submit, "host", fmt::format("/queue/{:016x}", index),
                          job_spec{}};
            for (std::uint32_t number = 0; number < 2; ++number) {
                step_spec step;
                step.m_count = tasks_per_step;
                step.m_task_resources = {task_cpu_millis, 100, 0};
                step.m_estimate = milliseconds{1'000};
                call.m_spec->m_steps.push_back(step);
            }
            m_owner->take_call(index, call);
        }
    }

    void end_runs(std::size_t ended_runs)
    {
        for (auto& [id, worker] : m_workers) {
            std::uint64_t number = 0;
            while (!worker.m_running.empty() && worker.m_ended.size() < ended_runs) {
                const auto& run = worker.m_running.back();
                worker.m_ended.push_back({++number, run.m_key, run.m_run, run_end::done, ""});
                worker.m_running.pop_back();
            }
        }
    }

    std::size_t starts() const { return m_starts; }
    bool has_started() const { return m_first_start.has_value(); }

    std::vector<keyed_record> journal() const
    {
        std::vector<keyed_record> records;
        for (const auto& [key, value] : m_topics.at("keyed.jobs")) {
            records.push_back({key, value, 0});
        }
        return records;
    }

    /// Reports the processor time of each part of a takeover, done at once.
    void report_parts()
    {
        const auto records = journal();
        std::size_t bytes = 0;
        for (const auto& record : records) {
            bytes += record.m_value ? record.m_value->size() : 0;
        }
        fmt::print("journal: {} records, {} bytes\n", records.size(), bytes);
        const auto measure = [](std::string_view part, const std::function<void()>& action) {
            const auto before = processor_time();
            action();
            fmt::print("{}: {:.1f} ms of processor time\n", part, in_ms(processor_time() - before));
        };
        auto ports = make_scheduler_ports();
        restore_report restored;
        std::optional<job_store> store;
        std::unique_ptr<job_scheduler> scheduler;
        auto planner = fleet_planner::create({}, 1, make_planner_ports());
        write_batch batch;
        measure("restored", [&] { store = job_store::restore(records, restored); });
        measure("scheduler created", [&] {
            scheduler = job_scheduler::create({}, std::move(ports), std::move(*store), now());
        });
        const auto schema = make_schema();
        scheduler->set_config(*schema.m_config({}));
        measure("workers listed", [&] {
            for (const auto& [id, worker] : m_workers) {
                scheduler->worker_listed(*schema.m_worker(id, {}), now());
            }
        });
        measure("runs adopted", [&] { scheduler->begin(now()); });
        measure("first pass without workers", [&] { batch = scheduler->take_batch(now()); });
        measure("first tick", [&] { scheduler->tick(now()); });
        measure("350 holds answered", [&] {
            for (const auto& [id, worker] : m_workers) {
                hold_answer answer;
                answer.m_result = order_result::accepted;
                answer.m_clock_ms = now().m_unix_ms;
                answer.m_born_ms = 1;
                answer.m_running = worker.m_running;
                answer.m_ended = worker.m_ended;
                const auto& session = scheduler->state().m_workers.at(id);
                scheduler->hold_answered({session.instance(), session.fence()}, answer, now().m_at,
                                         now());
            }
        });
        measure("first batch", [&] { batch = scheduler->take_batch(now()); });
        fmt::print("  {} records, {} effects\n", batch.m_records.size(), batch.m_effects.size());
        measure("batch written", [&] { scheduler->written(batch, now()); });
        planner->tick(*scheduler, now());
        m_now += std::chrono::seconds{1};
        take_vm_list();
        measure("first planning", [&] { planner->tick(*scheduler, now()); });
        m_due.clear();
    }

    void report() const
    {
        auto turns = m_turns;
        std::sort(turns.begin(), turns.end(),
                  [](const auto& left, const auto& right) { return left.m_took > right.m_took; });
        // A heartbeat that is due just after a tick waits for the next one.
        fmt::print(
            "on 1/{} of a core: longest gap between heartbeats {:.0f} ms, at worst {:.0f} ms; "
            "between ticks {:.0f} ms\n",
            slowdown, in_ms(m_longest_gap), in_ms(heartbeat_interval + m_longest_tick_gap),
            in_ms(m_longest_tick_gap));
        fmt::print("serving after {:.0f} ms, first start after {:.0f} ms, {} starts\n",
                   m_served_at ? in_ms(*m_served_at - m_begun) : -1.0,
                   m_first_start ? in_ms(*m_first_start - m_begun) : -1.0, m_starts);
        std::map<std::string, std::pair<std::size_t, nanoseconds>> in_gap;
        for (const auto& turn : turns) {
            if (turn.m_at >= m_gap_begun && turn.m_at < m_gap_begun + m_longest_tick_gap) {
                auto& [count, took] = in_gap[turn.m_kind];
                ++count;
                took += turn.m_took;
            }
        }
        for (const auto& [kind, turns_of_kind] : in_gap) {
            fmt::print(
                "between the ticks at {:.0f} ms: {} turns of {}, {:.1f} ms of processor time\n",
                in_ms(m_gap_begun - m_begun), turns_of_kind.first, kind,
                in_ms(turns_of_kind.second));
        }
        constexpr std::size_t reported_turns = 8;
        for (std::size_t index = 0; index < std::min(turns.size(), reported_turns); ++index) {
            fmt::print("turn of {:.1f} ms of processor time at {:.0f} ms: {}\n",
                       in_ms(turns[index].m_took), in_ms(turns[index].m_at - m_begun),
                       turns[index].m_kind);
        }
    }

private:
    struct loop_turn {
        std::string m_kind;
        nanoseconds m_at;
        nanoseconds m_took;
    };

    void take_turn(const std::string& kind, const std::function<void()>& action)
    {
        const auto at = m_now;
        m_turn_begun = processor_time();
        action();
        const auto took = processor_time() - *m_turn_begun;
        m_turn_begun.reset();
        m_now += took * slowdown;
        m_turns.push_back({kind, at, took});
        if (!m_served_at && m_owner->phase() == owner_phase::serving) {
            m_served_at = m_now;
        }
    }

    void later(milliseconds delay, std::string kind, std::function<void()> action)
    {
        m_due.emplace(m_now + delay, std::make_pair(std::move(kind), std::move(action)));
    }

    moment now() const
    {
        const auto in_turn =
            m_turn_begun ? (processor_time() - *m_turn_begun) * slowdown : nanoseconds{0};
        const auto whole = std::chrono::duration_cast<milliseconds>(m_now + in_turn);
        return {time_point{whole}, whole.count()};
    }

    owner_ports make_ports()
    {
        owner_ports ports;
        ports.m_loop.m_now = [this] { return now(); };
        ports.m_loop.m_after = [this](milliseconds delay, std::function<void()> action) {
            later(delay, "timer", std::move(action));
        };
        add_log(ports);
        add_workers(ports);
        ports.m_vms.m_list = [this](const std::function<void(platform_vm_list)>& callback) {
            later(answer_time, "list of VMs", [callback] { callback(list_vms()); });
        };
        ports.m_vms.m_order = [](const vm_order&, const std::function<void(vm_order_result)>&) {};
        ports.m_policy.m_ask = [](const policy_request&,
                                  const std::function<void(policy_answer)>&) {};
        ports.m_record_schema = make_schema();
        ports.m_answer = [](std::uint64_t, const call_answer&) {};
        ports.m_decided = [](const decision&) {};
        ports.m_measured = [](std::string_view, milliseconds) {};
        ports.m_is_supported = [] { return true; };
        ports.m_ended = [] {};
        return ports;
    }

    scheduler_ports make_scheduler_ports() const
    {
        scheduler_ports ports;
        ports.m_start = [](const worker_report&, const start_order&) {};
        ports.m_stop = [](const worker_report&, const stop_order&) {};
        ports.m_pace = [](const worker_report&, const pace_order&) {};
        ports.m_hold = [](const worker_report&, const hold_order&) {};
        ports.m_ask = [](const policy_request&) {};
        ports.m_answer = [](std::uint64_t, const call_answer&) {};
        ports.m_log = [](const decision&) {};
        ports.m_deposed = [] {};
        return ports;
    }

    fleet_planner_ports make_planner_ports()
    {
        const auto owner = make_ports();
        fleet_planner_ports ports;
        ports.m_loop = owner.m_loop;
        ports.m_vms = owner.m_vms;
        ports.m_may_order = [] { return false; };
        ports.m_report_wave = [](const std::string&, bool) {};
        ports.m_decided = [](const decision&) {};
        return ports;
    }

    /// Answers all requests for the list of VMs.
    void take_vm_list()
    {
        auto due = std::move(m_due);
        m_due.clear();
        for (const auto& [at, action] : due) {
            if (action.first == "list of VMs") {
                action.second();
            }
        }
    }

    void add_log(owner_ports& ports)
    {
        ports.m_log.m_append = [this](const append_request& request,
                                      const std::function<void(append_answer)>& callback) {
            for (const auto& record : request.m_records) {
                m_topics[request.m_topic][record.m_key] = record.m_value;
            }
            later(answer_time, "written", [callback] {
                append_answer answer;
                answer.m_result = log_result::ok;
                callback(answer);
            });
        };
        ports.m_log.m_newest = [this](const std::string& topic,
                                      const std::function<void(newest_answer)>& callback) {
            newest_answer answer;
            answer.m_result = log_result::ok;
            for (const auto& [key, value] : m_topics[topic]) {
                if (value) {
                    answer.m_records.push_back({key, value, 0});
                }
            }
            later(answer_time, "read " + topic,
                  [callback, answer = std::move(answer)] { callback(answer); });
        };
        ports.m_log.m_read = [this](const read_request& request,
                                    const std::function<void(read_answer)>& callback) {
            later(std::max(request.m_wait, answer_time), "changes", [callback] {
                callback({log_result::ok, 0, 0, {}});
            });
        };
    }

    void add_workers(owner_ports& ports)
    {
        ports.m_workers.m_start = [this](const worker_report& to, const start_order& order,
                                         const worker_port::callback<order_answer>& callback) {
            ++m_starts;
            m_first_start = m_first_start.value_or(m_now);
            m_workers[to.m_instance.m_worker].m_running.push_back(
                {order.m_key, order.m_run, "", 0, 0});
            later(answer_time, "start", [this, callback] {
                callback({order_result::accepted, now().m_unix_ms});
            });
        };
        ports.m_workers.m_stop = [](const worker_report&, const stop_order&,
                                    const worker_port::callback<order_answer>&) {};
        ports.m_workers.m_pace = [](const worker_report&, const pace_order&,
                                    const worker_port::callback<order_answer>&) {};
        ports.m_workers.m_hold = [this](const worker_report& to, const hold_order& order,
                                        const worker_port::callback<hold_answer>& callback) {
            const auto id = to.m_instance.m_worker;
            auto& ended = m_workers[id].m_ended;
            ended.erase(std::remove_if(ended.begin(), ended.end(),
                                       [&order](const ended_entry& entry) {
                                           return entry.m_number <= order.m_last_end;
                                       }),
                        ended.end());
            const auto wait = ended.empty() ? std::max(order.m_wait, answer_time) : answer_time;
            later(wait, "hold", [this, id, callback] {
                hold_answer answer;
                answer.m_result = order_result::accepted;
                answer.m_clock_ms = now().m_unix_ms;
                answer.m_born_ms = 1;
                for (auto& run : m_workers[id].m_running) {
                    // Without progress a run counts as stalled.
                    run.m_percent = std::min(run.m_percent + 1, most_percent);
                }
                answer.m_running = m_workers[id].m_running;
                answer.m_ended = m_workers[id].m_ended;
                callback(answer);
            });
        };
    }

    static platform_vms list_vms()
    {
        platform_vms listed;
        for (std::uint32_t index = 0; index < worker_count; ++index) {
            platform_vm vm;
            vm.m_id = fmt::format("m-{:08x}", index);
            vm.m_pool = "pool";
            vm.m_state = platform_vm_state::up;
            vm.m_worker = fmt::format("i-{:08x}", index);
            vm.m_capacity = {task_cpu_millis * runs_per_worker, 262'144, 0};
            listed.m_vms.push_back(std::move(vm));
        }
        return listed;
    }

    static record_schema make_schema()
    {
        record_schema schema;
        schema.m_operator_topic = "operators";
        schema.m_config_key = "config";
        schema.m_wave_prefix = "wave/";
        schema.m_worker_topic = "workers";
        schema.m_status_topic = "status";
        schema.m_config = [](record_schema::bytes) -> tl::expected<fleet_config, decode_error> {
            queue_config queue;
            queue.m_host = "host";
            queue.m_prefix = "/queue/";
            queue.m_pool = "pool";
            queue.m_attempts = 3;
            return fleet_config::create(1, {queue}, {{"pool", false, false}});
        };
        schema.m_worker = [](const std::string& id,
                             record_schema::bytes) -> tl::expected<worker_report, decode_error> {
            worker_report report;
            report.m_instance = {id, 1};
            report.m_pool = "pool";
            report.m_port = 80;
            report.m_capacity = {task_cpu_millis * runs_per_worker, 262'144, 0};
            return report;
        };
        schema.m_wave = [](record_schema::bytes) -> tl::expected<declared_wave, decode_error> {
            return declared_wave{};
        };
        schema.m_wave_state = [](bool) { return std::vector<std::uint8_t>{}; };
        return schema;
    }

public:
    simulated_node()
    {
        m_topics["operators"]["config"] = std::vector<std::uint8_t>{1};
        for (std::uint32_t index = 0; index < worker_count; ++index) {
            m_topics["workers"][fmt::format("i-{:08x}", index)] = std::vector<std::uint8_t>{1};
        }
    }

private:
    nanoseconds m_now{std::chrono::seconds{1'000'000}};
    std::multimap<nanoseconds, std::pair<std::string, std::function<void()>>> m_due;
    std::map<std::string, std::map<std::string, std::optional<std::vector<std::uint8_t>>>> m_topics;
    std::map<std::string, simulated_worker> m_workers;
    std::unique_ptr<fleet_owner> m_owner;
    std::size_t m_starts{0};
    std::optional<nanoseconds> m_first_start;
    std::optional<nanoseconds> m_served_at;
    nanoseconds m_begun{0};
    /// Processor time at the begin of the turn; the clock advances within a turn too.
    std::optional<nanoseconds> m_turn_begun;
    nanoseconds m_ticked_at{0};
    nanoseconds m_heartbeat_at{0};
    nanoseconds m_longest_gap{0};
    nanoseconds m_longest_tick_gap{0};
    nanoseconds m_gap_begun{0};
    std::vector<loop_turn> m_turns;
};

} // namespace

/// Arguments: the number of runs of each worker that have ended by the time of the takeover.
int main(int argc, char** argv)
{
    const auto ended_runs = argc > 1 ? std::stoul(argv[1]) : few_ended_runs;
    simulated_node node;
    node.start_owner(1);
    node.run(milliseconds{3'000}, [] { return false; });
    node.submit_jobs();
    node.run(milliseconds{60'000}, [&node] { return node.starts() == total_runs; });
    fmt::print("predecessor: {} runs on {} workers\n", node.starts(), worker_count);
    node.run(milliseconds{1'000}, [] { return false; });
    node.stop_owner();
    node.end_runs(ended_runs);
    node.report_parts();
    node.start_owner(2);
    node.run(milliseconds{10'000}, [&node] { return node.has_started(); });
    node.run(milliseconds{2'000}, [] { return false; });
    node.report();
    return 0;
}
