/// @file
/// Measures the lookup of the queue for a call and of a job's queue in large configurations.

#include "peridotrudder/scheduling/pool_config.hpp"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

namespace {

using namespace peridotrudder;

fleet_config make_config(std::int64_t count)
{
    std::vector<queue_config> queues;
    for (std::int64_t index = 0; index < count; ++index) {
        queue_config queue;
        queue.m_host = fmt::format("host{}.example", index % 4);
        queue.m_prefix = fmt::format("/queue{}/", index);
        queues.push_back(std::move(queue));
    }
    return fleet_config::create(1, std::move(queues), {});
}

void match_call(benchmark::State& state)
{
    const auto config = make_config(state.range(0));
    const auto path = fmt::format("/queue{}/0123456789abcdef", state.range(0) - 4);
    for (auto _ : state) {
        benchmark::DoNotOptimize(config.match("host0.example", path));
    }
}

void find_queue_of_job(benchmark::State& state)
{
    const auto config = make_config(state.range(0));
    const auto key = queue_key(config.queues().back());
    for (auto _ : state) {
        benchmark::DoNotOptimize(config.find_queue(key));
    }
}

} // namespace

BENCHMARK(match_call)->Arg(8)->Arg(1'400);
BENCHMARK(find_queue_of_job)->Arg(8)->Arg(1'400);

BENCHMARK_MAIN();
