/// @file
/// Measures the cost of decisions at several sizes. docs/CAPACITY.md uses the slopes.

#include "peridotrudder/entry/pool_queue.hpp"
#include "peridotrudder/journal/log_follower.hpp"
#include "peridotrudder/links/peer_messages.hpp"
#include "peridotrudder/planning/planner.hpp"
#include "peridotrudder/requests/partition_replica.hpp"
#include "peridotrudder/routing/slot_dispatcher.hpp"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <malloc.h>

namespace {

using namespace peridotrudder;

view make_view(std::size_t entries)
{
    view result;
    result.m_number = 1;
    for (std::size_t index = 0; index < entries; ++index) {
        member entry;
        entry.m_entry = fmt::format("entry-{}", index);
        entry.m_incarnation = fmt::format("{:016x}", index * 7'919);
        entry.m_zone = fmt::format("zone-{}", index % 6);
        entry.m_address = "127.0.0.1";
        result.m_members.push_back(entry);
    }
    return result;
}

record make_record(std::uint64_t offset, std::uint64_t term, record_body body)
{
    record result;
    result.m_id = fmt::format("{:024x}", offset);
    result.m_author = "planner";
    result.m_term = term;
    result.m_based_on = offset;
    result.m_body = std::move(body);
    return result;
}

contract make_contract(int number, int pools)
{
    contract result;
    result.m_customer = fmt::format("customer-{}", number);
    result.m_api_key_sha256 = std::string(64, 'a');
    result.m_pools = {fmt::format("pool-{}", number % pools)};
    result.m_capacity_slots = 1;
    result.m_vms_away = 1;
    result.m_time_to_wait = milliseconds{1'700};
    result.m_availability_ppm = 999'000;
    result.m_availability_window = milliseconds{60'000};
    result.m_retry_window = milliseconds{60'000};
    return result;
}

/// Returns a fleet of `vms` VMs, with pools and customers in the proportions of the target fleet:
/// 289 pools and 110 customers for 430 VMs.
fleet_state make_fleet(int vms)
{
    const int pools = std::max(1, vms * 289 / 430);
    const int customers = std::max(1, vms * 110 / 430);
    fleet_state state;
    state.fold(0, make_record(0, 0, term_claimed{"planner", 0}));
    vms_added added;
    for (int index = 0; index < vms; ++index) {
        vm item;
        item.m_id = fmt::format("vm-{}", index);
        item.m_address = "127.0.0.1";
        item.m_zone = fmt::format("zone-{}", index % 6);
        item.m_rack = fmt::format("zone-{}-rack-{}", index % 6, index / 24);
        item.m_slots = 8;
        item.m_pool = fmt::format("pool-{}", index % pools);
        added.m_vms.push_back(item);
    }
    state.fold(1, make_record(1, 1, added));
    std::uint64_t offset = 2;
    for (const auto& item : make_view(9).m_members) {
        state.fold(offset, make_record(offset, 1, entry_joined{item}));
        ++offset;
    }
    for (int number = 0; number < customers; ++number) {
        state.fold(offset, make_record(offset, 1, contract_applied{make_contract(number, pools)}));
        ++offset;
    }
    return state;
}

/// Folds one change of a contract and copies the state for its readers.
void fold_change(benchmark::State& run)
{
    auto state = make_fleet(static_cast<int>(run.range(0)));
    for (auto step : run) {
        static_cast<void>(step);
        const auto offset = state.next_offset();
        state.fold(offset, make_record(offset, 1, contract_applied{make_contract(0, 1)}));
        benchmark::DoNotOptimize(std::make_shared<const fleet_state>(state));
    }
    run.counters["snapshot_bytes"] = static_cast<double>(state.to_json().dump().size());
}

/// Applies one change of the view to the histories of all partitions.
void change_view(benchmark::State& run)
{
    const auto full_view = make_view(static_cast<std::size_t>(run.range(0)));
    std::vector<partition_history> histories;
    auto current = full_view;
    for (auto step : run) {
        static_cast<void>(step);
        ++current.m_number;
        current.m_members = full_view.m_members;
        if (current.m_number % 2 == 0) {
            current.m_members.pop_back();
        }
        extend_histories(histories, current);
    }
}

/// Runs one planner step over the whole fleet with one active wave.
void plan_step(benchmark::State& run)
{
    auto state = make_fleet(static_cast<int>(run.range(0)));
    const auto offset = state.next_offset();
    state.fold(offset, make_record(offset, 1, wave_declared{{"wave", "pool-0"}}));
    vm_list list;
    for (const auto& [id, entry] : state.vms()) {
        list.m_vms.push_back({entry.m_vm, false, 1});
    }
    planner_inputs inputs;
    inputs.m_state = &state;
    inputs.m_vms = list;
    planner tested_planner;
    for (auto step : run) {
        static_cast<void>(step);
        benchmark::DoNotOptimize(tested_planner.plan(inputs));
    }
}

/// Handles one slot report and divides the slots once, with nine entries that all have waiting
/// requests.
void divide_slots(benchmark::State& run)
{
    const time_point now{milliseconds{1'000'000}};
    slot_dispatcher dispatcher{"pool", "run", now - slot_lease_time};
    std::vector<worker_slots> workers;
    workers.reserve(static_cast<std::size_t>(run.range(0)));
    for (int index = 0; index < run.range(0); ++index) {
        workers.push_back({fmt::format("vm-{}", index), 8});
    }
    dispatcher.set_workers(workers);
    slot_report report;
    report.m_pool = "pool";
    report.m_waiting = {5, 5, 20};
    for (int entry = 0; entry < 9; ++entry) {
        dispatcher.report(fmt::format("entry-{}", entry), report, now);
    }
    int turn = 0;
    for (auto step : run) {
        static_cast<void>(step);
        report.m_waiting[0] = static_cast<std::uint32_t>(turn % 7);
        dispatcher.report(fmt::format("entry-{}", turn++ % 9), report, now);
        benchmark::DoNotOptimize(dispatcher.allocate_slots(now));
    }
    slot_grant grant;
    grant.m_pool = "pool-123";
    grant.m_dispatcher = "0123456789abcdef/123456";
    grant.m_slots = {{"pool-123-vm-1", 3}, {"pool-123-vm-2", 3}};
    run.counters["report_bytes"] = static_cast<double>(encode_peer_message(report).size());
    run.counters["grant_bytes"] = static_cast<double>(encode_peer_message(grant).size());
}

/// Processes one keyed request at a home with two copies: begin, intent, acknowledgement, outcome.
void run_key(benchmark::State& run)
{
    std::vector<partition_history> histories;
    const auto current = make_view(3);
    extend_histories(histories, current);
    const auto& holders = histories[0].m_epochs[0].m_holders;
    const time_point now{milliseconds{1'000'000}};
    partition_replica home{0, holders[0]};
    replica_actions actions;
    home.set_history(histories[0], current, now, actions);
    home.receive(holders[1], install_reply{0, 1}, now, actions);
    std::size_t bytes = 0;
    std::uint64_t number = 0;
    for (auto step : run) {
        static_cast<void>(step);
        replica_actions sent;
        const auto key = fmt::format("customer/key-{}", number++);
        const auto beginning = home.begin({key, "digest", milliseconds{60'000}}, now);
        if (beginning.m_verdict != begin_verdict::started) {
            continue;
        }
        home.write_intent(key, beginning.m_version, now, sent);
        home.receive(holders[1], intent_reply{0, 1, key, beginning.m_version}, now, sent);
        outcome final_outcome;
        final_outcome.m_execution_status = execution_status::done;
        final_outcome.m_body = std::string(100, 'a');
        home.finish(key, beginning.m_version, final_outcome, now, sent);
        if (bytes == 0) {
            for (const auto& item : sent.m_messages) {
                std::visit(
                    [&bytes](const auto& body) { bytes += encode_peer_message(body).size(); },
                    item.m_message);
            }
        }
    }
    run.counters["bytes_per_key"] = static_cast<double>(bytes);
}

/// Keeps records of idempotency keys with answers of 100 bytes.
void hold_keys(benchmark::State& run)
{
    std::vector<partition_history> histories;
    const auto current = make_view(1);
    extend_histories(histories, current);
    const time_point now{milliseconds{1'000'000}};
    const auto bytes_before = mallinfo2().uordblks;
    partition_replica home{0, histories[0].m_epochs[0].m_holders[0]};
    replica_actions actions;
    home.set_history(histories[0], current, now, actions);
    outcome final_outcome;
    final_outcome.m_execution_status = execution_status::done;
    final_outcome.m_content_type = "application/json";
    final_outcome.m_body = std::string(100, 'a');
    for (std::int64_t number = 0; number < run.range(0); ++number) {
        const auto key = fmt::format("customer/key-{}", number);
        const auto beginning = home.begin({key, "0123456789abcdef", milliseconds{60'000}}, now);
        home.write_intent(key, beginning.m_version, now, actions);
        home.finish(key, beginning.m_version, final_outcome, now, actions);
        actions = {};
    }
    const auto bytes_held = mallinfo2().uordblks - bytes_before;
    for (auto step : run) {
        static_cast<void>(step);
        home.tick(now + milliseconds{200}, actions);
    }
    run.counters["bytes_per_record"] =
        static_cast<double>(bytes_held) / static_cast<double>(run.range(0));
}

/// Runs one tick over the `pool_queue` objects of idle pools.
void tick_idle_pool_queues(benchmark::State& run)
{
    const time_point now{milliseconds{1'000'000}};
    std::vector<std::unique_ptr<pool_queue>> queues;
    for (std::int64_t number = 0; number < run.range(0); ++number) {
        queues.push_back(
            std::make_unique<pool_queue>(fmt::format("pool-{}", number), "self", leased_slots()));
        pool_configuration setup;
        setup.m_dispatcher = "other";
        setup.m_workers = {{"vm-1", "127.0.0.1", 7100, 8}, {"vm-2", "127.0.0.1", 7101, 8}};
        queues.back()->reconfigure(setup, now - milliseconds{60'000});
    }
    for (auto step : run) {
        static_cast<void>(step);
        for (const auto& queue : queues) {
            benchmark::DoNotOptimize(queue->take_expired(now));
            benchmark::DoNotOptimize(queue->take_ready(now));
            benchmark::DoNotOptimize(queue->take_due_report(now));
        }
    }
}

/// Encodes and decodes one heartbeat.
void pass_heartbeat(benchmark::State& run)
{
    heartbeat message;
    message.m_next_offset = 123'456;
    std::size_t bytes = 0;
    for (auto step : run) {
        static_cast<void>(step);
        const auto frame = encode_peer_message(message);
        bytes = frame.size();
        benchmark::DoNotOptimize(decode_peer_message(frame));
    }
    run.counters["bytes"] = static_cast<double>(bytes);
}

} // namespace

BENCHMARK(fold_change)->Arg(50)->Arg(200)->Arg(430);
BENCHMARK(change_view)->Arg(9)->Arg(18)->Arg(27);
BENCHMARK(plan_step)->Arg(50)->Arg(200)->Arg(430);
BENCHMARK(divide_slots)->Arg(2)->Arg(12)->Arg(50);
BENCHMARK(run_key)->Iterations(100'000);
BENCHMARK(hold_keys)->Arg(10'000)->Arg(50'000)->Arg(200'000);
BENCHMARK(tick_idle_pool_queues)->Arg(5)->Arg(50)->Arg(289);
BENCHMARK(pass_heartbeat);

BENCHMARK_MAIN();
