#include "peridotrudder/planning/fleet_planner.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace peridotrudder {

namespace {

/// Room of a VM whose size the list does not tell.
constexpr std::int64_t default_vm_cpu = 16'000;
constexpr std::uint32_t fully_at_work = 100;
/// From the end of a move until the VM's worker is listed and has answered.
constexpr milliseconds arrival_slack{200};
constexpr milliseconds report_interval{1'000};

/// Returns how many tasks of the run's step are not fully at work.
std::uint32_t missing_of_step(const scheduler_state& state, const job& of, const task_ref& ref)
{
    std::uint32_t missing = 0;
    const auto tasks = of.tasks(ref.m_occurrence, ref.m_step);
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const auto& each = tasks[index];
        const auto worker = state.m_workers.find(each.m_placed_on.m_worker);
        const run_key key{of.header().m_id, {ref.m_occurrence, ref.m_step, index}};
        const auto run = worker == state.m_workers.end()
                             ? std::map<run_key, worker_run>::const_iterator{}
                             : worker->second.runs().find(key);
        const bool found = worker != state.m_workers.end() && run != worker->second.runs().end();
        const bool at_work = found && run->second.m_phase == run_phase::running &&
                             !run->second.m_stopping && run->second.m_percent >= fully_at_work &&
                             worker->second.takes_work(time_point::max());
        missing += at_work ? 0 : 1;
    }
    return missing;
}

} // namespace

std::unique_ptr<fleet_planner> fleet_planner::create(planner_options options, std::uint64_t fence,
                                                     planner_ports ports)
{
    return std::unique_ptr<fleet_planner>{new fleet_planner{options, fence, std::move(ports)}};
}

fleet_planner::fleet_planner(planner_options options, std::uint64_t fence, planner_ports ports)
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
    hooks.m_decided = m_ports.m_decided;
    hooks.m_listed = [this](time_point asked_at) { note_returned(asked_at); };
    hooks.m_ended = [this](const vm_order& order, vm_result result) { note_ended(order, result); };
    return hooks;
}

void fleet_planner::declare(declared_wave wave, const std::string& key, moment now)
{
    m_ports.m_decided({"wave_declared", "", "",
                       fmt::format("{}, {} VMs, {} at once", wave.m_number, wave.m_machines.size(),
                                   wave.m_most_away)});
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
    for (auto& each : m_fleet->take_changes()) {
        records.push_back(std::move(each));
    }
    return records;
}

void fleet_planner::tick(job_scheduler& scheduler, moment now)
{
    if (now.m_at - m_planned_at < m_options.m_plan_interval) {
        return;
    }
    m_planned_at = now.m_at;
    m_began_at = m_began_at.value_or(now.m_at);
    if (m_fleet->list_asked_at()) {
        note_idle(scheduler.state(), now.m_at);
        note_lost_workers(scheduler);
        plan_waves(scheduler, now);
        plan_pools(scheduler, now);
        mark_leaving(scheduler);
    }
    m_fleet->tick(now);
}

void fleet_planner::note_returned(time_point asked_at)
{
    const auto& machines = m_fleet->machines();
    for (auto& [number, wave] : m_waves.waves()) {
        const auto ids = wave.m_wave.m_machines;
        for (const auto& id : ids) {
            const auto found = machines.find(id);
            if (found == machines.end()) {
                // No longer listed: there is nothing left to maintain.
                if (wave.m_begun.count(id) == 0) {
                    m_waves.gone(wave, id);
                }
                continue;
            }
            const auto& machine = found->second;
            const bool back = machine.m_listed.m_state == machine_state::up && !machine.m_order &&
                              asked_at - machine.m_bound_at > m_options.m_maintenance_time;
            if (back && wave.m_away.count(id) != 0) {
                m_waves.returned(wave, id);
            }
        }
    }
}

void fleet_planner::note_ended(const vm_order& order, vm_result result)
{
    const auto wave = m_waves.waves().find(order.m_wave);
    if (!order.m_pool.empty() || wave == m_waves.waves().end()) {
        return;
    }
    if (result == vm_result::done) {
        m_waves.begun(wave->second, order.m_machine);
    }
    else if (result == vm_result::not_in_wave || result == vm_result::impossible) {
        m_waves.gone(wave->second, order.m_machine);
    }
}

void fleet_planner::note_idle(const scheduler_state& state, time_point now)
{
    for (auto& [id, machine] : m_fleet->machines()) {
        const auto worker = state.m_workers.find(machine.m_listed.m_worker);
        const bool idle = worker == state.m_workers.end() || worker->second.runs().empty();
        if (!idle) {
            machine.m_idle_since.reset();
        }
        else if (!machine.m_idle_since) {
            machine.m_idle_since = now;
        }
    }
    m_spare_pool.clear();
    for (const auto& pool : state.m_config.pools()) {
        if (pool.m_spare) {
            m_spare_pool = pool.m_name;
        }
    }
}

void fleet_planner::note_lost_workers(job_scheduler& scheduler)
{
    // The list shows a crash long before the leases are over. A worker on no VM that is up has
    // ended.
    std::set<std::string> up;
    for (const auto& [id, machine] : m_fleet->machines()) {
        if (machine.m_listed.m_state != machine_state::down) {
            up.insert(machine.m_listed.m_worker);
        }
    }
    std::vector<std::string> ended;
    for (const auto& [id, session] : scheduler.state().m_workers) {
        if (up.count(id) == 0 && !session.runs().empty()) {
            ended.push_back(id);
        }
    }
    for (const auto& id : ended) {
        scheduler.worker_down(id, *m_fleet->list_asked_at());
    }
}

void fleet_planner::plan_waves(job_scheduler& scheduler, moment now)
{
    for (auto& [number, wave] : m_waves.waves()) {
        if (!wave.m_told_completed || (wave.completed() && !*wave.m_told_completed)) {
            wave.m_told_completed = wave.completed();
            m_ports.m_tell_wave(wave.m_key, wave.completed());
        }
        if (!wave.completed()) {
            plan_wave(wave, scheduler, now);
        }
    }
}

void fleet_planner::plan_wave(wave_state& wave, job_scheduler& scheduler, moment now)
{
    std::vector<planned_machine*> open;
    std::uint32_t under_way = static_cast<std::uint32_t>(wave.m_away.size());
    std::uint32_t leaving = 0;
    for (const auto& id : wave.m_wave.m_machines) {
        const auto found = m_fleet->machines().find(id);
        if (found == m_fleet->machines().end() || wave.m_begun.count(id) != 0) {
            continue;
        }
        auto& machine = found->second;
        const bool down = machine.m_listed.m_state == machine_state::upkeep;
        if (machine.m_order || down || m_fleet->ordered_by_predecessor(machine, now.m_at)) {
            // An order without an answer may be carried out at any moment, and a predecessor's may
            // have been without its record.
            ++under_way;
        }
        else if (machine.m_leaving_for == wave.m_wave.m_number) {
            ++leaving;
            open.push_back(&machine);
        }
        else if (m_fleet->movable(machine, now.m_at)) {
            open.push_back(&machine);
        }
    }
    const auto& workers = scheduler.state().m_workers;
    const auto runs_on = [&workers](const planned_machine* each) {
        const auto worker = workers.find(each->m_listed.m_worker);
        return worker == workers.end() ? std::size_t{0} : worker->second.runs().size();
    };
    std::sort(open.begin(), open.end(), [&runs_on](const auto* left, const auto* right) {
        return runs_on(left) < runs_on(right);
    });
    const auto wanted_leaving = vms_to_empty(wave, open.size(), now.m_unix_ms);
    for (auto* machine : open) {
        if (runs_on(machine) == 0 && under_way < wave.m_wave.m_most_away) {
            ++under_way;
            machine->m_leaving_for = wave.m_wave.m_number;
            m_fleet->order_maintenance(*machine, wave.m_wave.m_number, now.m_at);
            continue;
        }
        if (machine->m_leaving_for == 0 && leaving < wanted_leaving) {
            ++leaving;
            machine->m_leaving_for = wave.m_wave.m_number;
        }
        if (machine->m_leaving_for != 0) {
            empty(*machine, scheduler, now);
        }
    }
}

void fleet_planner::empty(planned_machine& machine, job_scheduler& scheduler, moment now)
{
    auto* session = scheduler.mutable_state().find_worker(machine.m_listed.m_worker);
    if (session == nullptr || now.m_at - *m_began_at < m_options.m_settle_time) {
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
        const auto* of = scheduler.mutable_state().m_job_store.find(key.m_job);
        if (of == nullptr) {
            continue;
        }
        const auto may_miss = std::max(of->spec().m_steps[key.m_task.m_step].m_max_unavailable, 1U);
        const auto* run = session->find(key);
        const bool at_work = run->m_percent >= fully_at_work;
        const auto missing = missing_of_step(scheduler.state(), *of, key.m_task);
        // A task that is not at work itself is among the missing already.
        if (missing < may_miss + (at_work ? 0 : 1)) {
            scheduler.state().log_run(
                "task_moved_off", key, session->id(),
                fmt::format("for {}, {} of {} missing", machine.m_listed.m_id, missing, may_miss));
            scheduler.runs().stop_run(*session, key, now.m_at);
        }
    }
}

std::uint32_t fleet_planner::supply_of(const std::string& pool, const scheduler_state& state) const
{
    std::uint32_t supply = 0;
    for (const auto& [id, machine] : m_fleet->machines()) {
        if (!machine.m_bound_for.empty() || machine.m_order) {
            const bool coming =
                machine.m_bound_for == pool || (machine.m_order && machine.m_order->m_pool == pool);
            supply += coming ? 1 : 0;
            continue;
        }
        if (machine.m_listed.m_pool != pool || machine.m_listed.m_state != machine_state::up) {
            continue;
        }
        const auto worker = state.m_workers.find(machine.m_listed.m_worker);
        const bool serves = worker == state.m_workers.end() || !worker->second.silent();
        supply += machine.m_leaving_for == 0 && serves ? 1 : 0;
    }
    return supply;
}

void fleet_planner::plan_pools(job_scheduler& scheduler, moment now)
{
    const auto& state = scheduler.state();
    const auto loads = m_demand.measure(state, now);
    tell_outlooks(scheduler, loads, now.m_at);
    std::map<std::string, std::uint32_t> missing;
    std::map<std::string, std::uint32_t> surplus;
    m_wanted.clear();
    for (const auto& pool : state.m_config.pools()) {
        if (pool.m_spare) {
            continue;
        }
        const auto wanted = wanted_vms(loads.at(pool.m_name), default_vm_cpu) + 1;
        const auto supply = supply_of(pool.m_name, state);
        m_wanted[pool.m_name] = wanted;
        if (wanted > supply) {
            missing[pool.m_name] = wanted - supply;
        }
        else if (supply > wanted) {
            surplus[pool.m_name] = supply - wanted;
        }
    }
    if (now.m_at - m_reported_at >= report_interval) {
        m_reported_at = now.m_at;
        report(state, loads);
    }
    for (const auto& [pool, count] : missing) {
        move_to(pool, count, now);
    }
    for (const auto& [pool, count] : surplus) {
        release_idle(pool, count, now);
    }
}

void fleet_planner::tell_outlooks(job_scheduler& scheduler,
                                  const std::map<std::string, pool_load>& loads, time_point now)
{
    const auto can_follow = std::count_if(m_fleet->machines().begin(), m_fleet->machines().end(),
                                          [&](const auto& each) {
                                              return each.second.m_listed.m_pool == m_spare_pool &&
                                                     m_fleet->movable(each.second, now);
                                          });
    std::map<std::string, pool_outlook> outlooks;
    for (const auto& [pool, load] : loads) {
        const auto vms = supply_of(pool, scheduler.state()) + can_follow;
        const auto accepted = scheduler.state().m_accepted_work.find(pool);
        pool_outlook outlook;
        outlook.m_backlog = load.m_backlog;
        outlook.m_waiting_cpu = load.m_waiting;
        outlook.m_cpu = vms * default_vm_cpu - load.m_long_running;
        outlook.m_accepted_work =
            accepted == scheduler.state().m_accepted_work.end() ? 0 : accepted->second.m_work;
        outlooks.emplace(pool, outlook);
    }
    scheduler.set_outlooks(std::move(outlooks));
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
        detail +=
            fmt::format("{}: {} VMs, {} busy, {} wanted; cpu {} used, {} waiting, {} accepted, {} "
                        "arriving, {} forecast, {} long-running; ",
                        pool, supply_of(pool, state), busy, m_wanted[pool], used, load.m_waiting,
                        load.m_accepted, load.m_arriving, load.m_forecast, load.m_long_running);
    }
    m_ports.m_decided({"pools", "", "", detail});
}

void fleet_planner::move_to(const std::string& pool, std::uint32_t count, moment now)
{
    // From the spare pool first; then from pools that do not need theirs.
    std::vector<planned_machine*> sources;
    for (auto& [id, machine] : m_fleet->machines()) {
        const auto& from = machine.m_listed.m_pool;
        if (!m_fleet->movable(machine, now.m_at) || from == pool || !machine.m_idle_since) {
            continue;
        }
        const bool needed =
            from != m_spare_pool && now.m_at - *machine.m_idle_since < m_options.m_idle_before_move;
        if (!needed) {
            sources.push_back(&machine);
        }
    }
    std::sort(sources.begin(), sources.end(), [this](const auto* left, const auto* right) {
        const bool left_off = left->m_listed.m_pool == m_spare_pool;
        const bool right_off = right->m_listed.m_pool == m_spare_pool;
        return std::tie(right_off, left->m_listed.m_id) < std::tie(left_off, right->m_listed.m_id);
    });
    for (auto* each : sources) {
        if (count == 0) {
            return;
        }
        m_fleet->order_move(*each, pool, now.m_at);
        --count;
    }
}

void fleet_planner::release_idle(const std::string& pool, std::uint32_t count, moment now)
{
    if (m_spare_pool.empty()) {
        return;
    }
    for (auto& [id, machine] : m_fleet->machines()) {
        if (count == 0) {
            return;
        }
        const bool idle =
            machine.m_idle_since && now.m_at - *machine.m_idle_since >= m_options.m_idle_before_off;
        if (machine.m_listed.m_pool == pool && m_fleet->movable(machine, now.m_at) && idle) {
            m_fleet->order_move(machine, m_spare_pool, now.m_at);
            --count;
        }
    }
}

void fleet_planner::mark_leaving(job_scheduler& scheduler)
{
    std::set<std::string, std::less<>> leaving;
    for (const auto& [id, machine] : m_fleet->machines()) {
        const bool away =
            machine.m_order || machine.m_leaving_for != 0 || (!machine.m_bound_for.empty());
        if (away && !machine.m_listed.m_worker.empty()) {
            leaving.insert(machine.m_listed.m_worker);
        }
    }
    scheduler.set_leaving(std::move(leaving));
}

} // namespace peridotrudder
