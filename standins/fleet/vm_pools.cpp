#include "standins/fleet/vm_pools.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace standins {

using nlohmann::json;
using peridotrudder::http_request;
using peridotrudder::http_response;
using peridotrudder::json_response;

namespace {

constexpr std::uint32_t ok = 200;
constexpr std::uint32_t bad_request = 400;
constexpr std::uint32_t conflict = 409;
constexpr std::int64_t move_duration_ms = 1'500;
constexpr std::int64_t maintenance_ms = 2'000;
constexpr std::int64_t report_interval_ms = 1'500;
constexpr std::uint32_t vms_per_rack = 4;
constexpr const char* worker_topic = "keyed.servers";
/// State of a VM after a crash, which no order of the scheduler causes.
constexpr const char* crashed_state = "down";
/// Outcomes of the runs of a worker that ends, see `worker_event`.
constexpr const char* lost_run = "lost";
constexpr const char* killed_run = "killed";

constexpr std::uint32_t full_percent = 100;
/// An entry expires after this many reports that did not come.
constexpr std::int64_t missed_reports = 3;

std::uint32_t share_of(std::uint32_t full, std::uint32_t percent)
{
    return full * percent / full_percent;
}

std::uint32_t cpu_millis(std::uint32_t percent)
{
    constexpr std::uint32_t full_cpu_millis = 16'000;
    return share_of(full_cpu_millis, percent);
}

json capacity(std::uint32_t percent)
{
    constexpr std::uint32_t full_memory_mb = 32'768;
    return {
        {"cpu", cpu_millis(percent)}, {"mem-mb", share_of(full_memory_mb, percent)}, {"gpu", 0}};
}

} // namespace

vm_pools::vm_pools(vm_pools_options options, log_store& log, event_sink sink)
    : m_options{std::move(options)},
      m_log{log},
      m_sink{std::move(sink)}
{
    auto pools = m_options.m_pools;
    pools.push_back(m_options.m_spare_pool);
    auto sizes = m_options.m_pool_sizes;
    sizes.resize(pools.size(), m_options.m_vms_per_pool);
    const auto& zones = m_options.m_zones;
    std::uint32_t number = 0;
    for (std::size_t place = 0; place < pools.size(); ++place) {
        for (std::uint32_t index = 0; index < sizes[place]; ++index) {
            const auto rack = number / vms_per_rack;
            stand_in_vm vm;
            vm.m_id = fmt::format("m-{:04}", number);
            vm.m_pool = pools[place];
            vm.m_rack = fmt::format("r{}", rack);
            vm.m_zone = zones[rack % zones.size()];
            vm.m_address = m_options.m_address;
            vm.m_port = static_cast<std::uint16_t>(m_options.m_first_port + number);
            ++number;
            m_vms.emplace(vm.m_id, std::move(vm));
        }
    }
}

http_response vm_pools::answer(const http_request& request, std::int64_t now_ms)
{
    if (request.m_path == "/-/machines") {
        return json_response(ok, list_vms());
    }
    const auto body = json::parse(request.m_body, nullptr, false);
    const auto vm_entry =
        body.is_object() ? m_vms.find(body.value("machine", std::string{})) : m_vms.end();
    if (vm_entry == m_vms.end()) {
        return json_response(bad_request, "{}");
    }
    auto& vm = vm_entry->second;
    const bool is_move = request.m_path == "/-/machine-move";
    const auto pool = body.value("pool", std::string{});
    if (is_move && vm.m_pool == pool) {
        return json_response(ok, "{}");
    }
    if (vm.m_state != "up") {
        return json_response(conflict, R"({"reason":"busy"})");
    }
    if (is_move) {
        vm.m_pool = pool;
        take_down(vm, "moving", now_ms, move_duration_ms);
    }
    else {
        take_down(vm, "upkeep", now_ms, maintenance_ms);
    }
    return json_response(ok, "{}");
}

std::string vm_pools::list_vms() const
{
    auto machines = json::array();
    for (const auto& [id, vm] : m_vms) {
        machines.push_back({{"machine", id},
                            {"pool", vm.m_pool},
                            {"state", vm.m_state},
                            {"zone", vm.m_zone},
                            {"labels", {"a", vm.m_rack}},
                            {"capacity", capacity(full_percent)},
                            {"id", vm.m_worker ? vm.m_worker->id() : std::string{}}});
    }
    return json{{"machines", std::move(machines)}, {"next-token", nullptr}}.dump();
}

void vm_pools::start_worker(stand_in_vm& vm, std::int64_t now_ms)
{
    const auto restart = vm.m_restart.value_or(worker_restart{});
    vm.m_restart.reset();
    const auto id =
        restart.m_keeps_id ? vm.m_last_worker_id : fmt::format("i-{:06}", ++m_started_workers);
    vm.m_worker = std::make_unique<task_worker>(
        task_worker::create(id, now_ms, m_sink, restart.m_born_shift_ms));
    vm.m_draining = false;
    vm.m_reports = 0;
    if (vm.m_capacity_percent != full_percent) {
        emit_capacity(vm, now_ms);
    }
    // The first report is due `m_entry_delay_ms` from now.
    vm.m_reported_at_ms = now_ms + restart.m_entry_delay_ms - report_interval_ms;
}

void vm_pools::restart(stand_in_vm& vm, std::int64_t now_ms, const worker_restart& restart)
{
    if (!vm.m_worker) {
        return;
    }
    vm.m_worker->kill(now_ms, lost_run);
    vm.m_last_worker_id = vm.m_worker->id();
    vm.m_worker.reset();
    vm.m_restart = restart;
    vm.m_restart_at_ms = now_ms + restart.m_down_ms;
    m_silent_entries[vm.m_last_worker_id] =
        vm.m_reported_at_ms + missed_reports * report_interval_ms;
    if (restart.m_vm_is_down) {
        hide(vm);
    }
}

void vm_pools::hide(stand_in_vm& vm)
{
    vm.m_state = crashed_state;
    vm.m_up_at_ms = vm.m_restart_at_ms;
    m_silent_entries.erase(vm.m_last_worker_id);
    m_log.put(worker_topic, vm.m_last_worker_id, std::nullopt);
}

void vm_pools::set_capacity(stand_in_vm& vm, std::int64_t now_ms, std::uint32_t percent)
{
    vm.m_capacity_percent = percent;
    if (vm.m_worker) {
        emit_capacity(vm, now_ms);
    }
}

void vm_pools::emit_capacity(const stand_in_vm& vm, std::int64_t now_ms) const
{
    m_sink({now_ms, "capacity", "", cpu_millis(vm.m_capacity_percent), vm.m_worker->id(),
            vm.m_worker->started_at_ms()});
}

void vm_pools::take_down(stand_in_vm& vm, const std::string& state, std::int64_t now_ms,
                         std::int64_t downtime_ms)
{
    vm.m_state = state;
    vm.m_up_at_ms = now_ms + downtime_ms;
    vm.m_restart.reset();
    if (vm.m_worker) {
        vm.m_worker->kill(now_ms, state == crashed_state ? lost_run : killed_run);
        m_log.put(worker_topic, vm.m_worker->id(), std::nullopt);
        vm.m_worker.reset();
    }
}

void vm_pools::crash(stand_in_vm& vm, std::int64_t now_ms, std::int64_t down_ms)
{
    take_down(vm, crashed_state, now_ms, down_ms);
}

void vm_pools::report(stand_in_vm& vm, std::int64_t now_ms)
{
    vm.m_reported_at_ms = now_ms;
    m_silent_entries.erase(vm.m_worker->id());
    m_log.put(worker_topic, vm.m_worker->id(),
              json{{"service", vm.m_pool},
                   {"address",
                    fmt::format("{}:{}", vm.m_address, vm.m_port + m_options.m_advertised_shift)},
                   {"zone", vm.m_zone},
                   {"version", "v1"},
                   {"slots", 8},
                   {"state", vm.m_draining ? "draining" : "ready"},
                   {"cold-left-ms", 0},
                   {"capacity", capacity(vm.m_capacity_percent)},
                   {"labels", {"a", vm.m_rack}},
                   {"born", vm.m_worker->born_ms()},
                   {"sequence", ++vm.m_reports}}
                  .dump());
}

void vm_pools::drop_silent_entries(std::int64_t now_ms)
{
    for (auto entry = m_silent_entries.begin(); entry != m_silent_entries.end();) {
        if (now_ms < entry->second) {
            ++entry;
            continue;
        }
        m_log.put(worker_topic, entry->first, std::nullopt);
        entry = m_silent_entries.erase(entry);
    }
}

void vm_pools::tick(std::int64_t now_ms)
{
    drop_silent_entries(now_ms);
    for (auto& [id, vm] : m_vms) {
        tick(vm, now_ms);
    }
}

void vm_pools::tick(stand_in_vm& vm, std::int64_t now_ms)
{
    if (vm.m_state != "up" && now_ms >= vm.m_up_at_ms) {
        vm.m_state = "up";
    }
    const bool is_restarting = vm.m_restart && now_ms < vm.m_restart_at_ms;
    if (vm.m_state == "up" && !vm.m_worker && !is_restarting &&
        vm.m_pool != m_options.m_spare_pool) {
        start_worker(vm, now_ms);
    }
    if (!vm.m_worker) {
        return;
    }
    vm.m_worker->tick(now_ms);
    if (vm.m_worker->has_crashed()) {
        constexpr std::int64_t down_ms = 2'500;
        // Under a new id and under the old one in turn.
        restart(vm, now_ms, {down_ms, 0, 0, vm.m_crashes++ % 2 == 1});
    }
    else if (now_ms - vm.m_reported_at_ms >= report_interval_ms) {
        report(vm, now_ms);
    }
}

} // namespace standins
