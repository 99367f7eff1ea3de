/// @file
/// Measures the cost of an owner's decisions per start, without sockets: a pool under steady load,
/// with workers that answer immediately and runs that take exactly their declared time.

#include "peridotrudder/scheduling/job_scheduler.hpp"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace peridotrudder;

constexpr milliseconds tick_interval{10};
constexpr milliseconds run_time{540};
constexpr milliseconds hold_wait{1'000};
constexpr std::uint32_t tasks_per_step = 8;

/// A fleet and its load.
struct fleet_shape {
    std::uint32_t m_workers{0};
    std::uint32_t m_pools{1};
    /// Zero for a configuration without tenants.
    std::uint32_t m_tenants{0};
    /// Quota of each tenant, in thousandths of a core; zero for no limit.
    std::int64_t m_quota_cpu_millis{0};
    resources m_capacity{16'000, 32'768, 0};
    resources m_task{1'500, 2'200, 0};
    milliseconds m_run_time{run_time};
};

std::string pool_name(std::uint32_t index)
{
    return index == 0 ? "pool" : fmt::format("pool-{}", index);
}

std::string key_digest(std::uint32_t tenant)
{
    return fmt::format("digest-{}", tenant);
}

tenant_directory make_tenants(const fleet_shape& shape)
{
    if (shape.m_tenants == 0) {
        return {};
    }
    std::vector<tenant_config> tenants;
    for (std::uint32_t index = 0; index < shape.m_tenants; ++index) {
        tenant_config tenant;
        tenant.m_name = fmt::format("tenant-{}", index);
        tenant.m_key_digests = {key_digest(index)};
        tenant.m_weight = 1.0 + index % 10;
        tenant.m_quota.m_cpu_millis = shape.m_quota_cpu_millis;
        tenants.push_back(std::move(tenant));
    }
    return tenant_directory::create(std::move(tenants));
}

/// Simulated workers that carry out all orders and answer within the same tick.
class instant_fleet {
public:
    explicit instant_fleet(const fleet_shape& shape) : m_shape{shape}
    {
        scheduler_options options;
        options.m_fence = 1;
        restore_report report;
        m_scheduler =
            job_scheduler::create(options, make_ports(), job_store::restore({}, report), now());
        std::vector<queue_config> queues;
        std::vector<pool_config> pools;
        for (std::uint32_t index = 0; index < shape.m_pools; ++index) {
            queue_config queue;
            queue.m_name = fmt::format("queue-{}", index);
            queue.m_host = "host";
            queue.m_prefix = fmt::format("/queue-{}/", index);
            queue.m_pool = pool_name(index);
            queue.m_attempts = 3;
            queue.m_stretch = 1.6;
            queue.m_target = milliseconds{600};
            queues.push_back(queue);
            pools.push_back({queue.m_pool, false, false});
        }
        m_scheduler->set_config(fleet_config::create(1, queues, pools, make_tenants(shape)));
        for (std::uint32_t index = 0; index < shape.m_workers; ++index) {
            worker_report worker;
            worker.m_instance = {fmt::format("i-{:08x}", index), 1};
            worker.m_pool = pool_name(index % shape.m_pools);
            worker.m_address = "10.0.0.1";
            worker.m_port = 80;
            worker.m_capacity = shape.m_capacity;
            m_scheduler->worker_listed(worker, now());
        }
        m_scheduler->begin(now());
        advance(0);
    }

    /// Advances one tick, in which `jobs` jobs of two steps are submitted.
    void advance(std::uint32_t jobs)
    {
        receive(jobs);
        while (m_scheduler->needs_write()) {
            const auto batch = place();
            if (batch.m_records.empty() && batch.m_effects.empty()) {
                break;
            }
            write(batch);
        }
    }

    /// Advances one tick up to the placement: ends runs, answers holds and submits jobs.
    void receive(std::uint32_t jobs)
    {
        m_now += tick_interval;
        end_runs();
        answer_holds();
        for (std::uint32_t index = 0; index < jobs; ++index) {
            submit();
        }
        m_scheduler->tick(now());
    }

    write_batch place() { return m_scheduler->take_batch(now()); }

    void write(const write_batch& batch)
    {
        m_scheduler->written(batch, now());
        answer_starts();
    }

    std::uint64_t starts() const { return m_starts; }
    std::size_t schedulable_jobs() const { return m_scheduler->state().m_schedulable_jobs.size(); }

private:
    struct simulated_bench_worker {
        std::map<run_key, std::pair<std::uint32_t, time_point>> m_runs;
        std::vector<ended_entry> m_ended;
        std::uint64_t m_next_end{1};
        /// The hold that is not answered yet.
        std::optional<hold_order> m_hold;
        /// Time at which the hold arrived.
        time_point m_hold_received_at;
    };

    struct sent_start {
        worker_instance m_instance;
        start_order m_order;
    };

    moment now() const
    {
        return {m_now, std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count()};
    }

    scheduler_ports make_ports()
    {
        scheduler_ports ports;
        ports.m_start = [this](const worker_report& to, const start_order& order) {
            m_sent.push_back({to.m_instance, order});
        };
        ports.m_stop = [](const worker_report&, const stop_order&) {};
        ports.m_pace = [](const worker_report&, const pace_order&) {};
        ports.m_ask = [](const policy_request&) {};
        ports.m_hold = [this](const worker_report& to, const hold_order& order) {
            auto& worker = m_workers[to.m_instance.m_worker];
            worker.m_hold = order;
            worker.m_hold_received_at = m_now;
        };
        ports.m_answer = [](std::uint64_t, const call_answer&) {};
        ports.m_log = [](const decision&) {};
        ports.m_deposed = [] {};
        return ports;
    }

    void submit()
    {
        ++m_submitted;
        const auto pool = m_submitted % m_shape.m_pools;
        job_call call{call_kind::submit, "host",
                      fmt::format("/queue-{}/{:016x}", pool, m_submitted), job_spec{}};
        if (m_shape.m_tenants > 0) {
            call.m_key_digest =
                key_digest(static_cast<std::uint32_t>(m_submitted / 4 % m_shape.m_tenants));
        }
        for (std::uint32_t index = 0; index < 2; ++index) {
            step_spec step;
            step.m_count = tasks_per_step;
            step.m_task_resources = m_shape.m_task;
            step.m_estimate = m_shape.m_run_time;
            if (index > 0) {
                step.m_depends_on = {index - 1};
            }
            call.m_spec->m_steps.push_back(step);
        }
        m_scheduler->take_call(m_submitted, call, now());
    }

    void answer_starts()
    {
        const auto sent = std::move(m_sent);
        m_sent.clear();
        for (const auto& start : sent) {
            ++m_starts;
            m_workers[start.m_instance.m_worker].m_runs[start.m_order.m_key] = {
                start.m_order.m_run, m_now + m_shape.m_run_time};
            m_scheduler->start_answered({start.m_instance, start.m_order.m_fence},
                                        start.m_order.m_key, start.m_order.m_run,
                                        {order_result::accepted, now().m_unix_ms}, now());
        }
    }

    void end_runs()
    {
        for (auto& [id, worker] : m_workers) {
            for (auto entry = worker.m_runs.begin(); entry != worker.m_runs.end();) {
                if (entry->second.second > m_now) {
                    ++entry;
                    continue;
                }
                worker.m_ended.push_back(
                    {worker.m_next_end++, entry->first, entry->second.first, run_end::done, ""});
                entry = worker.m_runs.erase(entry);
            }
        }
    }

    void answer_holds()
    {
        for (auto& [id, worker] : m_workers) {
            if (!worker.m_hold) {
                continue;
            }
            auto& ended = worker.m_ended;
            while (!ended.empty() && ended.front().m_number <= worker.m_hold->m_last_end) {
                ended.erase(ended.begin());
            }
            const bool waits = worker.m_hold->m_wait.count() > 0 && ended.empty() &&
                               m_now - worker.m_hold_received_at < hold_wait;
            if (waits) {
                continue;
            }
            hold_answer answer;
            answer.m_result = order_result::accepted;
            answer.m_clock_ms = now().m_unix_ms;
            answer.m_born_ms = 1;
            for (const auto& [key, run] : worker.m_runs) {
                answer.m_running.push_back({key, run.first, "", 50, 0});
            }
            answer.m_ended = ended;
            const order_target target{{id, 1}, worker.m_hold->m_fence};
            worker.m_hold.reset();
            m_scheduler->hold_answered(target, answer, worker.m_hold_received_at, now());
        }
    }

    fleet_shape m_shape;
    time_point m_now{milliseconds{1'000'000}};
    std::unique_ptr<job_scheduler> m_scheduler;
    std::map<std::string, simulated_bench_worker> m_workers;
    std::vector<sent_start> m_sent;
    std::uint64_t m_submitted{0};
    std::uint64_t m_starts{0};
};

/// Arguments: number of workers, jobs submitted per tick of 10 ms.
void owner_under_load(benchmark::State& state)
{
    fleet_shape shape;
    shape.m_workers = static_cast<std::uint32_t>(state.range(0));
    instant_fleet fleet{shape};
    const auto jobs = static_cast<std::uint32_t>(state.range(1));
    constexpr int settling_ticks = 150;
    for (int tick = 0; tick < settling_ticks; ++tick) {
        fleet.advance(jobs);
    }
    const auto before = fleet.starts();
    for (auto iteration : state) {
        static_cast<void>(iteration);
        fleet.advance(jobs);
    }
    const auto starts = fleet.starts() - before;
    state.SetItemsProcessed(static_cast<std::int64_t>(starts));
    state.counters["hungry"] = static_cast<double>(fleet.schedulable_jobs());
    state.counters["starts_per_tick"] =
        static_cast<double>(starts) / static_cast<double>(state.iterations());
}

/// One pass of placement in four full pools of 350 workers, while 3,500 jobs wait. Arguments:
/// number of tenants, quota of each in cores.
void placement_pass(benchmark::State& state)
{
    constexpr std::uint32_t waiting_jobs = 3'500;
    constexpr std::uint32_t settling_ticks = 150;
    fleet_shape shape;
    shape.m_workers = 350;
    shape.m_pools = 4;
    shape.m_tenants = static_cast<std::uint32_t>(state.range(0));
    shape.m_quota_cpu_millis = state.range(1) * 1'000;
    shape.m_capacity = {64'000, 262'144, 0};
    shape.m_task = {6'200, 8'000, 0};
    shape.m_run_time = milliseconds{1'000};
    instant_fleet fleet{shape};
    const auto refill = [&fleet] {
        const auto waiting = static_cast<std::uint32_t>(fleet.schedulable_jobs());
        return waiting < waiting_jobs ? waiting_jobs - waiting : 0;
    };
    for (std::uint32_t tick = 0; tick < settling_ticks; ++tick) {
        fleet.advance(refill());
    }
    const auto before = fleet.starts();
    for (auto iteration : state) {
        static_cast<void>(iteration);
        fleet.receive(refill());
        const auto begun = std::chrono::steady_clock::now();
        const auto batch = fleet.place();
        state.SetIterationTime(
            std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count());
        fleet.write(batch);
    }
    state.counters["hungry"] = static_cast<double>(fleet.schedulable_jobs());
    state.counters["starts_per_pass"] =
        static_cast<double>(fleet.starts() - before) / static_cast<double>(state.iterations());
}

} // namespace

// Within the capacity of the pool, then at three times its capacity.
BENCHMARK(owner_under_load)->Args({50, 0})->Args({50, 1})->Iterations(300);
BENCHMARK(owner_under_load)->Args({250, 1})->Args({250, 3})->Iterations(200);

BENCHMARK(placement_pass)
    ->Args({0, 0})
    ->Args({110, 0})
    ->Args({110, 40})
    ->UseManualTime()
    ->Unit(benchmark::kMicrosecond)
    ->Iterations(300);

BENCHMARK_MAIN();
