#include "peridotrudder/planning/fleet_planner.hpp"

#include "peridotrudder/planning/tenant_report.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace peridotrudder {

namespace {

constexpr std::uint32_t full_percent = 100;
/// Time from the end of a move until the VM's worker is listed and has answered.
constexpr milliseconds arrival_slack{200};
constexpr milliseconds report_interval{1'000};
/// Most lines about waiting tenants in a report.
constexpr std::size_t max_tenant_lines = 10;

/// Returns how many tasks of the step that `ref` belongs to are not fully working.
std::uint32_t count_missing_tasks(const scheduler_state& state, const job& owning_job,
                                  const task_ref& ref)
{
    std::uint32_t missing = 0;
    const auto tasks = owning_job.tasks(ref.m_occurrence, ref.m_step);
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const auto& task = tasks[index];
        const auto worker = state.m_workers.find(task.m_placed_on.m_worker);
        const run_key key{owning_job.header().m_id, {ref.m_occurrence, ref.m_step, index}};
        const auto run = worker == state.m_workers.end()
                             ? std::map<run_key, worker_run>::const_iterator{}
                             : worker->second.runs().find(key);
        const bool has_run = worker != state.m_workers.end() && run != worker->second.runs().end();
        const bool at_work = has_run && run->second.m_phase == run_phase::running &&
                             !run->second.m_stopping && run->second.m_percent >= full_percent &&
                             worker->second.takes_work(time_point::max());
        missing += at_work ? 0 : 1;
    }
    return missing;
}

} // namespace

std::unique_ptr<fleet_planner> fleet_planner::create(fleet_planner_options options,
                                                     std::uint64_t fence, fleet_planner_ports ports)
{
    return std::unique_ptr<fleet_planner>{new fleet_planner{options, fence, std::move(ports)}};
}

fleet_planner::fleet_planner(fleet_planner_options options, std::uint64_t fence,
                             fleet_planner_ports ports)
    : m_options{options},
      m_ports{std::move(ports)},
      m_fleet{vm_fleet::create(options.m_fleet, fence, make_fleet_hooks())},
      m_demand{pool_demand::create(options.m_move_time + arrival_slack)}
{
}

vm_fleet_hooks fleet_planner::make_fleet_hooks()
{
    vm_fleet_hooks hooks;
    hooks.m_loop = m_ports.m_loop;
    hooks.m_vms = m_ports.m_vms;
    hooks.m_may_order = m_ports.m_may_order;
    hooks.m_decided = m_ports.m_decided;
    hooks.m_listed = [this](time_point asked_at) { update_returned_vms(asked_at); };
    hooks.m_ended = [this](const vm_order& order, vm_order_result result) {
        handle_order_result(order, result);
    };
    return hooks;
}

void fleet_planner::declare(declared_wave wave, const std::string& key, moment now)
{
    m_ports.m_decided({"wave_declared", "", "",
                       fmt::format("{}, {} VMs, {} at once", wave.m_number,
                                   wave.m_listed_vms.size(), wave.m_max_away)});
    m_waves.declare(std::move(wave), key, now.m_unix_ms);
}

void fleet_planner::restore(const std::vector<keyed_record>& records, moment now)
{
    m_waves.restore(records);
    m_fleet->restore(records, now);
}

std::vector<keyed_record> fleet_planner::take_changes()
{
    auto records = m_waves.take_changes();
    for (auto& record : m_fleet->take_changes()) {
        records.push_back(std::move(record));
    }
    return records;
}

void fleet_planner::tick(job_scheduler& scheduler, moment now)
{
    if (now.m_at - m_planned_at < m_options.m_plan_interval) {
        return;
    }
    m_planned_at = now.m_at;
    m_first_planned_at = m_first_planned_at.value_or(now.m_at);
    if (m_fleet->newest_list_requested_at()) {
        update_idle_times(scheduler.state(), now.m_at);
        report_lost_workers(scheduler, now);
        plan_waves(scheduler, now);
        plan_pools(scheduler, now);
    }
    mark_leaving(scheduler, now);
    m_fleet->tick(now);
}

void fleet_planner::update_returned_vms(time_point asked_at)
{
    const auto& vms = m_fleet->vms();
    for (auto& [number, wave] : m_waves.waves()) {
        const auto ids = wave.m_wave.m_listed_vms;
        for (const auto& id : ids) {
            const auto listed = vms.find(id);
            if (listed == vms.end()) {
                // The VM is no longer listed: there is nothing left to maintain.
                if (m_fleet->list_complete() && wave.m_begun.count(id) == 0) {
                    m_waves.mark_gone(wave, id);
                }
                continue;
            }
            const auto& managed = listed->second;
            const bool back = managed.m_listed.m_state == platform_vm_state::up &&
                              !managed.m_unreadable && !managed.m_order &&
                              asked_at - managed.m_order_answered_at > m_options.m_maintenance_time;
            if (back && wave.m_away.count(id) != 0) {
                m_waves.mark_returned(wave, id);
            }
        }
    }
}

void fleet_planner::handle_order_result(const vm_order& order, vm_order_result result)
{
    const auto wave = m_waves.waves().find(order.m_wave);
    if (!order.m_pool.empty() || wave == m_waves.waves().end()) {
        return;
    }
    if (result == vm_order_result::done) {
        m_waves.mark_begun(wave->second, order.m_vm_id);
    }
    else if (result == vm_order_result::not_in_wave || result == vm_order_result::impossible) {
        m_waves.mark_gone(wave->second, order.m_vm_id);
    }
}

void fleet_planner::update_idle_times(const scheduler_state& state, time_point now)
{
    for (auto& [id, managed] : m_fleet->vms()) {
        const auto worker = state.m_workers.find(managed.m_listed.m_worker);
        const bool idle = worker == state.m_workers.end() || worker->second.runs().empty();
        if (!idle) {
            managed.m_idle_since.reset();
        }
        else if (!managed.m_idle_since) {
            managed.m_idle_since = now;
        }
    }
    m_spare_pool.clear();
    for (const auto& pool : state.m_config.pools()) {
        if (pool.m_spare) {
            m_spare_pool = pool.m_name;
        }
    }
}

void fleet_planner::report_lost_workers(job_scheduler& scheduler, moment now)
{
    // The list shows a crash long before the leases expire. A worker that is on no listed VM, or on
    // one that is down, has ended.
    std::map<std::string, std::string> used;
    for (const auto& [id, session] : scheduler.state().m_workers) {
        if (!session.runs().empty()) {
            used.emplace(id, session.report().m_pool);
        }
    }
    for (const auto& [id, fate] : m_fleet->ended_workers(used, m_spare_pool)) {
        scheduler.worker_ended(id, fate, *m_fleet->newest_list_requested_at(), now);
    }
}

void fleet_planner::plan_waves(job_scheduler& scheduler, moment now)
{
    for (auto& [number, wave] : m_waves.waves()) {
        if (!wave.m_reported_completed || (wave.completed() && !*wave.m_reported_completed)) {
            wave.m_reported_completed = wave.completed();
            m_ports.m_report_wave(wave.m_key, wave.completed());
        }
        if (!wave.completed()) {
            plan_wave(wave, scheduler, now);
        }
    }
}

void fleet_planner::plan_wave(wave_state& wave, job_scheduler& scheduler, moment now)
{
    std::vector<managed_vm*> remaining_vms;
    std::uint32_t under_way = static_cast<std::uint32_t>(wave.m_away.size());
    std::uint32_t leaving = 0;
    for (const auto& id : wave.m_wave.m_listed_vms) {
        const auto position = m_fleet->vms().find(id);
        if (position == m_fleet->vms().end() || wave.m_begun.count(id) != 0) {
            continue;
        }
        auto& managed = position->second;
        const bool down = managed.m_listed.m_state == platform_vm_state::upkeep;
        if (managed.m_order || down || m_fleet->ordered_by_predecessor(managed, now.m_at)) {
            // An unanswered order may be carried out at any moment. A predecessor's order may have
            // been carried out without a record of the wave's progress.
            ++under_way;
        }
        else if (managed.m_leaving_for_wave == wave.m_wave.m_number) {
            ++leaving;
            remaining_vms.push_back(&managed);
        }
        else if (m_fleet->can_be_ordered(managed, now.m_at)) {
            remaining_vms.push_back(&managed);
        }
    }
    const auto& workers = scheduler.state().m_workers;
    const auto runs_on = [&workers](const managed_vm* managed) {
        const auto worker = workers.find(managed->m_listed.m_worker);
        return worker == workers.end() ? std::size_t{0} : worker->second.runs().size();
    };
    std::sort(
        remaining_vms.begin(), remaining_vms.end(),
        [&runs_on](const auto* left, const auto* right) { return runs_on(left) < runs_on(right); });
    const auto leaving_target = vms_to_drain(wave, remaining_vms.size(), now.m_unix_ms);
    for (auto* managed : remaining_vms) {
        if (runs_on(managed) == 0 && under_way < wave.m_wave.m_max_away) {
            ++under_way;
            managed->m_leaving_for_wave = wave.m_wave.m_number;
            m_fleet->order_maintenance(*managed, wave.m_wave.m_number, now.m_at);
            continue;
        }
        if (managed->m_leaving_for_wave == 0 && leaving < leaving_target) {
            ++leaving;
            managed->m_leaving_for_wave = wave.m_wave.m_number;
        }
        if (managed->m_leaving_for_wave != 0) {
            move_tasks_off(*managed, scheduler, now);
        }
    }
}

void fleet_planner::move_tasks_off(managed_vm& managed, job_scheduler& scheduler, moment now)
{
    auto* session = scheduler.mutable_state().find_worker(managed.m_listed.m_worker);
    if (session == nullptr || now.m_at - *m_first_planned_at < m_options.m_settle_time) {
        return;
    }
    std::vector<run_key> movable_runs;
    for (const auto& [key, run] : session->runs()) {
        if (!run.m_long_running || run.m_stopping || run.m_phase != run_phase::running) {
            continue;
        }
        movable_runs.push_back(key);
    }
    for (const auto& key : movable_runs) {
        const auto* owning_job = scheduler.mutable_state().m_job_store.find(key.m_job);
        if (owning_job == nullptr) {
            continue;
        }
        const auto may_miss =
            std::max(owning_job->spec().m_steps[key.m_task.m_step].m_max_unavailable, 1U);
        const auto* run = session->find(key);
        const bool at_work = run->m_percent >= full_percent;
        const auto missing = count_missing_tasks(scheduler.state(), *owning_job, key.m_task);
        // A task that is not working itself is counted as missing already.
        if (missing < may_miss + (at_work ? 0 : 1)) {
            scheduler.state().log_run(
                "task_moved_off", key, session->id(),
                fmt::format("to drain {}: {} of the step's tasks missing, {} allowed",
                            managed.m_listed.m_id, missing, may_miss));
            scheduler.runs().stop_run(*session, key, now);
        }
    }
}

std::uint32_t fleet_planner::supply_of(const std::string& pool, const scheduler_state& state) const
{
    std::uint32_t supply = 0;
    for (const auto& [id, managed] : m_fleet->vms()) {
        if (!managed.m_destination_pool.empty() || managed.m_order) {
            const bool coming = managed.m_destination_pool == pool ||
                                (managed.m_order && managed.m_order->m_pool == pool);
            supply += coming ? 1 : 0;
            continue;
        }
        if (managed.m_listed.m_pool != pool || managed.m_listed.m_state != platform_vm_state::up) {
            continue;
        }
        const auto worker = state.m_workers.find(managed.m_listed.m_worker);
        const bool serves = worker == state.m_workers.end() || !worker->second.silent();
        supply += managed.m_leaving_for_wave == 0 && serves ? 1 : 0;
    }
    return supply;
}

void fleet_planner::plan_pools(job_scheduler& scheduler, moment now)
{
    const auto& state = scheduler.state();
    const auto loads = m_demand.measure(state, now);
    update_outlooks(scheduler, loads, now.m_at);
    std::map<std::string, std::uint32_t> missing;
    std::map<std::string, std::uint32_t> surplus;
    m_target_vms.clear();
    const auto vm_cpu = m_fleet->mean_cpu_millis();
    for (const auto& pool : state.m_config.pools()) {
        if (pool.m_spare) {
            continue;
        }
        const auto target = required_vms(loads.at(pool.m_name), vm_cpu) + 1;
        const auto supply = supply_of(pool.m_name, state);
        m_target_vms[pool.m_name] = target;
        if (target > supply) {
            missing[pool.m_name] = target - supply;
        }
        else if (supply > target) {
            surplus[pool.m_name] = supply - target;
        }
    }
    if (now.m_at - m_reported_at >= report_interval) {
        m_reported_at = now.m_at;
        report(state, loads);
        report_tenants(state, loads);
    }
    for (const auto& [pool, count] : missing) {
        move_vms_to(pool, count, now);
    }
    for (const auto& [pool, count] : surplus) {
        move_idle_to_spare(pool, count, now);
    }
}

void fleet_planner::update_outlooks(job_scheduler& scheduler,
                                    const std::map<std::string, pool_load>& loads, time_point now)
{
    const auto can_follow =
        std::count_if(m_fleet->vms().begin(), m_fleet->vms().end(), [&](const auto& entry) {
            return entry.second.m_listed.m_pool == m_spare_pool &&
                   m_fleet->can_be_ordered(entry.second, now);
        });
    std::map<std::string, pool_outlook> outlooks;
    for (const auto& [pool, load] : loads) {
        const auto usable_vms = supply_of(pool, scheduler.state()) + can_follow;
        const auto accepted = scheduler.state().m_accepted_work.find(pool);
        pool_outlook outlook;
        outlook.m_backlog = load.m_backlog;
        outlook.m_waiting_cpu = load.m_waiting;
        outlook.m_cpu = usable_vms * m_fleet->mean_cpu_millis() - load.m_long_running;
        outlook.m_backlog_by_tenant = load.m_backlog_by_tenant;
        outlook.m_contracted_rate = load.m_contracted_rate;
        outlook.m_served_rate = usable_served_rate(load.m_served_rate, outlook.m_cpu);
        outlook.m_free_cpu = static_cast<double>(
            std::max<std::int64_t>(outlook.m_cpu - load.m_placed - load.m_waiting, 0));
        outlook.m_accepted_work =
            accepted == scheduler.state().m_accepted_work.end() ? 0.0 : accepted->second.m_work;
        outlooks.emplace(pool, outlook);
    }
    scheduler.set_outlooks(std::move(outlooks), m_demand.tenants());
}

void fleet_planner::report(const scheduler_state& state,
                           const std::map<std::string, pool_load>& loads)
{
    std::string detail;
    for (const auto& [pool, load] : loads) {
        std::int64_t used = 0;
        std::uint32_t busy = 0;
        for (const auto& [id, session] : state.m_workers) {
            if (session.report().m_pool == pool) {
                used += session.used().m_cpu_millis;
                busy += session.runs().empty() ? 0 : 1;
            }
        }
        detail += fmt::format(
            "{}: {} VMs, {} busy, {} wanted; cpu {} used, {} waiting, {} accepted, {} "
            "arriving, {} forecast, {} long-running; ",
            pool, supply_of(pool, state), busy, m_target_vms[pool], used, load.m_waiting,
            load.m_accepted, load.m_arriving, load.m_forecast, load.m_long_running);
    }
    m_ports.m_decided({"pools", "", "", detail});
}

void fleet_planner::report_tenants(const scheduler_state& state,
                                   const std::map<std::string, pool_load>& loads)
{
    if (!state.m_config.tenants().enabled()) {
        return;
    }
    for (auto& waiting : waiting_tenants(loads, m_demand.tenants(), max_tenant_lines)) {
        decision made{"tenant_waiting", "", "", std::move(waiting.m_detail)};
        made.m_tenant = std::move(waiting.m_tenant);
        m_ports.m_decided(made);
    }
}

void fleet_planner::move_vms_to(const std::string& pool, std::uint32_t count, moment now)
{
    // Take VMs from the spare pool first, then idle ones from other pools.
    std::vector<managed_vm*> sources;
    for (auto& [id, managed] : m_fleet->vms()) {
        const auto& from = managed.m_listed.m_pool;
        if (!m_fleet->can_be_ordered(managed, now.m_at) || from == pool || !managed.m_idle_since) {
            continue;
        }
        const bool needed =
            from != m_spare_pool && now.m_at - *managed.m_idle_since < m_options.m_idle_before_move;
        if (!needed) {
            sources.push_back(&managed);
        }
    }
    std::sort(sources.begin(), sources.end(), [this](const auto* left, const auto* right) {
        const bool left_off = left->m_listed.m_pool == m_spare_pool;
        const bool right_off = right->m_listed.m_pool == m_spare_pool;
        return std::tie(right_off, left->m_listed.m_id) < std::tie(left_off, right->m_listed.m_id);
    });
    for (auto* source : sources) {
        if (count == 0) {
            return;
        }
        m_fleet->order_move(*source, pool, now.m_at);
        --count;
    }
}

void fleet_planner::move_idle_to_spare(const std::string& pool, std::uint32_t count, moment now)
{
    if (m_spare_pool.empty()) {
        return;
    }
    for (auto& [id, managed] : m_fleet->vms()) {
        if (count == 0) {
            return;
        }
        const bool idle =
            managed.m_idle_since && now.m_at - *managed.m_idle_since >= m_options.m_idle_before_off;
        if (managed.m_listed.m_pool == pool && m_fleet->can_be_ordered(managed, now.m_at) && idle) {
            m_fleet->order_move(managed, m_spare_pool, now.m_at);
            --count;
        }
    }
}

void fleet_planner::mark_leaving(job_scheduler& scheduler, moment now)
{
    auto leaving = m_fleet->workers_under_open_orders(now.m_at);
    for (const auto& [id, managed] : m_fleet->vms()) {
        const bool away = managed.m_order || managed.m_leaving_for_wave != 0 ||
                          (!managed.m_destination_pool.empty());
        if (away && !managed.m_listed.m_worker.empty()) {
            leaving.insert(managed.m_listed.m_worker);
        }
    }
    scheduler.set_leaving(std::move(leaving));
}

} // namespace peridotrudder
