#include "peridotrudder/planning/fleet_planner.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace peridotrudder {

namespace {

/// Pause before an order without an answer, or one that was turned down, is sent again.
constexpr milliseconds order_retry{400};
/// Maintenance of a VM, with the time to empty it.
constexpr milliseconds wave_cycle{4'000};
/// Room of a VM whose size the list does not tell.
constexpr std::int64_t default_vm_cpu = 16'000;
/// A VM that was moved and is not listed in its new pool after so long is taken as lost.
constexpr milliseconds arrival_patience{6'000};
constexpr std::uint32_t fully_at_work = 100;
/// From the end of a move until the VM's worker is listed and has answered.
constexpr milliseconds arrival_slack{200};
constexpr std::string_view vm_prefix = "vm/";
/// Difference that the nodes' clocks may have.
constexpr milliseconds clock_slack{300};
constexpr milliseconds report_interval{1'000};

/// Returns how many tasks of the run's step are not fully at work.
std::uint32_t missing_of_step(const scheduler_state& state, const job& of, const task_ref& ref)
{
    std::uint32_t missing = 0;
    const auto tasks = of.tasks(ref.m_occurrence, ref.m_step);
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const auto& each = tasks[index];
        const auto worker = state.m_workers.find(each.m_where.m_worker);
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
      m_fence{fence},
      m_ports{std::move(ports)},
      m_demand{pool_demand::create(options.m_move_time + arrival_slack)},
      m_self{std::make_shared<fleet_planner*>(this)}
{
}

void fleet_planner::declare(declared_wave wave, const std::string& key, moment now)
{
    m_ports.m_decided({"wave_declared", "", "",
                       fmt::format("{}, {} VMs, {} at once", wave.m_number, wave.m_machines.size(),
                                   wave.m_most_away)});
    m_waves.declare(std::move(wave), key, now.m_unix_ms);
}

void fleet_planner::tick(job_scheduler& scheduler, moment now)
{
    if (now.m_at - m_planned_at < m_options.m_plan_interval) {
        return;
    }
    m_planned_at = now.m_at;
    read_list(now);
    if (!m_list_known) {
        return;
    }
    note_idle(scheduler.state(), now.m_at);
    note_lost_workers(scheduler, now);
    plan_waves(scheduler, now);
    plan_pools(scheduler, now);
    mark_leaving(scheduler);
    for (auto& [id, machine] : m_machines) {
        if (machine.m_order && machine.m_order_phase == order_phase::due &&
            now.m_at >= machine.m_order_at) {
            send_order(id);
        }
    }
}

void fleet_planner::restore(const std::vector<kept_record>& records, moment now)
{
    m_waves.restore(records);
    for (const auto& each : records) {
        if (!each.m_value || each.m_key.rfind(vm_prefix, 0) != 0) {
            continue;
        }
        const auto json = parse_cbor(*each.m_value);
        if (!json || !json->is_number_integer()) {
            m_ports.m_decided({"vm_record_unreadable", "", "", each.m_key});
            continue;
        }
        const auto lease = m_options.m_vm_lease + clock_slack;
        const auto left = milliseconds{json->get<std::int64_t>() - now.m_unix_ms} + lease;
        // Clocks differ: no record keeps a VM for longer than the lease.
        m_foreign_until[each.m_key.substr(vm_prefix.size())] =
            now.m_at + std::clamp(left, milliseconds{0}, lease);
    }
}

std::vector<kept_record> fleet_planner::take_changes()
{
    auto records = m_waves.take_changes();
    const auto now = m_ports.m_loop.m_now();
    for (auto& [id, machine] : m_machines) {
        if (machine.m_order && machine.m_order_phase == order_phase::decided) {
            machine.m_order_phase = order_phase::recording;
            records.push_back({std::string{vm_prefix} + id,
                               nlohmann::json::to_cbor(nlohmann::json(now.m_unix_ms)), 0});
        }
    }
    return records;
}

void fleet_planner::written()
{
    for (auto& [id, machine] : m_machines) {
        if (machine.m_order && machine.m_order_phase == order_phase::recording) {
            send_order(id);
        }
    }
}

void fleet_planner::read_list(moment now)
{
    const bool busy = std::any_of(m_machines.begin(), m_machines.end(), [](const auto& each) {
        return each.second.m_order || !each.second.m_bound_for.empty();
    });
    const auto interval = busy ? m_options.m_busy_list_interval : m_options.m_list_interval;
    if (m_listing || now.m_at - m_listed_at < interval) {
        return;
    }
    m_listing = true;
    m_listed_at = now.m_at;
    const std::weak_ptr<fleet_planner*> self = m_self;
    m_ports.m_vms.m_list([self, asked_at = now.m_at](const machine_list& machines) {
        if (const auto alive = self.lock()) {
            (*alive)->m_listing = false;
            if (machines) {
                (*alive)->take_list(*machines, asked_at);
            }
        }
    });
}

void fleet_planner::take_list(const std::vector<listed_machine>& machines, time_point asked_at)
{
    std::set<std::string> listed;
    for (const auto& each : machines) {
        listed.insert(each.m_id);
        auto& machine = m_machines[each.m_id];
        note_change(machine.m_listed, each);
        machine.m_listed = each;
        const bool arrived =
            each.m_state == machine_state::up && each.m_pool == machine.m_bound_for;
        const bool overdue = asked_at - machine.m_bound_at > arrival_patience;
        if (!machine.m_bound_for.empty() && asked_at > machine.m_bound_at && (arrived || overdue)) {
            machine.m_bound_for.clear();
        }
        for (auto& [number, wave] : m_waves.waves()) {
            const bool back = each.m_state == machine_state::up && !machine.m_order &&
                              asked_at - machine.m_bound_at > m_options.m_maintenance_time;
            if (back && wave.m_away.count(each.m_id) != 0) {
                m_waves.returned(wave, each.m_id);
            }
        }
    }
    for (auto each = m_machines.begin(); each != m_machines.end();) {
        each = listed.count(each->first) != 0 ? std::next(each) : m_machines.erase(each);
    }
    for (auto& [number, wave] : m_waves.waves()) {
        for (const auto& id : wave.m_wave.m_machines) {
            if (listed.count(id) == 0 && wave.m_begun.count(id) == 0) {
                m_waves.gone(wave, id);
            }
        }
    }
    m_list_known = true;
    m_list_asked_at = asked_at;
}

void fleet_planner::note_change(const listed_machine& before, const listed_machine& after)
{
    const bool same = before.m_state == after.m_state && before.m_worker == after.m_worker &&
                      before.m_pool == after.m_pool;
    if (before.m_id.empty() || same) {
        return;
    }
    m_ports.m_decided(
        {"vm_changed", "", after.m_worker,
         fmt::format("{} {} {}", after.m_id, to_string(after.m_state), after.m_pool)});
}

void fleet_planner::note_idle(const scheduler_state& state, time_point now)
{
    for (auto& [id, machine] : m_machines) {
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

void fleet_planner::note_lost_workers(job_scheduler& scheduler, moment now)
{
    // The list shows a crash long before the leases are over. A worker on no VM that is up has
    // ended.
    std::set<std::string> up;
    for (const auto& [id, machine] : m_machines) {
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
        scheduler.worker_down(id, m_list_asked_at, now);
    }
}

bool fleet_planner::movable(const planned_machine& machine, time_point now) const
{
    const auto foreign = m_foreign_until.find(machine.m_listed.m_id);
    return machine.m_listed.m_state == machine_state::up && !machine.m_order &&
           machine.m_bound_for.empty() && machine.m_leaving_for == 0 &&
           (foreign == m_foreign_until.end() || now >= foreign->second);
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
        const auto found = m_machines.find(id);
        if (found == m_machines.end() || wave.m_begun.count(id) != 0) {
            continue;
        }
        auto& machine = found->second;
        if (machine.m_order) {
            // An order without an answer may be carried out at any moment.
            ++under_way;
        }
        else if (machine.m_leaving_for == wave.m_wave.m_number) {
            ++leaving;
            open.push_back(&machine);
        }
        else if (movable(machine, now.m_at)) {
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
    const auto left_ms = wave.m_declared_ms + wave.m_wave.m_duration.count() - now.m_unix_ms;
    const auto cycles =
        std::max<std::int64_t>((left_ms - wave_cycle.count()) / wave_cycle.count(), 1);
    // Spread over the time that is left, so that little capacity is away at once.
    const auto wanted_leaving =
        static_cast<std::uint32_t>((static_cast<std::int64_t>(open.size()) + cycles - 1) / cycles);
    for (auto* machine : open) {
        if (runs_on(machine) == 0 && under_way < wave.m_wave.m_most_away) {
            ++under_way;
            machine->m_leaving_for = wave.m_wave.m_number;
            order(*machine, {machine->m_listed.m_id, "", wave.m_wave.m_number, m_fence}, now);
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
    if (session == nullptr) {
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
        const auto* of = scheduler.mutable_state().m_book.find(key.m_job);
        if (of == nullptr) {
            continue;
        }
        const auto may_miss = std::max(of->spec().m_steps[key.m_task.m_step].m_may_miss, 1U);
        const auto* run = session->find(key);
        const bool at_work = run->m_percent >= fully_at_work;
        const auto missing = missing_of_step(scheduler.state(), *of, key.m_task);
        // A task that is not at work itself is among the missing already.
        if (missing < may_miss + (at_work ? 0 : 1)) {
            m_ports.m_decided({"task_moved_off", key.m_job, session->id(), machine.m_listed.m_id});
            scheduler.runs().stop_run(*session, key, now.m_at);
        }
    }
}

std::uint32_t fleet_planner::supply_of(const std::string& pool, const scheduler_state& state) const
{
    std::uint32_t supply = 0;
    for (const auto& [id, machine] : m_machines) {
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
    for (auto& [id, machine] : m_machines) {
        const auto& from = machine.m_listed.m_pool;
        if (!movable(machine, now.m_at) || from == pool || !machine.m_idle_since) {
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
    std::map<std::string, std::uint32_t> available;
    for (const auto* each : sources) {
        ++available[each->m_listed.m_pool];
    }
    for (auto* each : sources) {
        if (count == 0) {
            return;
        }
        order(*each, {each->m_listed.m_id, pool, 0, m_fence}, now);
        --count;
    }
}

void fleet_planner::release_idle(const std::string& pool, std::uint32_t count, moment now)
{
    if (m_spare_pool.empty()) {
        return;
    }
    for (auto& [id, machine] : m_machines) {
        if (count == 0) {
            return;
        }
        const bool idle =
            machine.m_idle_since && now.m_at - *machine.m_idle_since >= m_options.m_idle_before_off;
        if (machine.m_listed.m_pool == pool && movable(machine, now.m_at) && idle) {
            order(machine, {id, m_spare_pool, 0, m_fence}, now);
            --count;
        }
    }
}

void fleet_planner::order(planned_machine& machine, vm_order what, moment now)
{
    m_ports.m_decided(
        {"vm_ordered", "", machine.m_listed.m_worker,
         fmt::format("{} {}", what.m_machine, what.m_pool.empty() ? "maintenance" : what.m_pool)});
    machine.m_order = std::move(what);
    // Recorded before it is sent, and its worker marked as leaving before either.
    machine.m_order_phase = order_phase::decided;
    machine.m_order_at = now.m_at;
}

void fleet_planner::send_order(const std::string& machine_id)
{
    auto& machine = m_machines.at(machine_id);
    machine.m_order_phase = order_phase::sent;
    const std::weak_ptr<fleet_planner*> self = m_self;
    const auto what = *machine.m_order;
    m_ports.m_vms.m_order(what, [self, machine_id, what](vm_result result) {
        if (const auto alive = self.lock()) {
            (*alive)->answered(machine_id, what, result);
        }
    });
}

void fleet_planner::answered(const std::string& machine_id, const vm_order& what, vm_result result)
{
    const auto now = m_ports.m_loop.m_now();
    const auto found = m_machines.find(machine_id);
    if (result != vm_result::done) {
        m_ports.m_decided(
            {"vm_order_failed", "", "", fmt::format("{} {}", machine_id, to_string(result))});
    }
    if (found == m_machines.end()) {
        return;
    }
    auto& machine = found->second;
    const auto wave = m_waves.waves().find(what.m_wave);
    const bool for_wave = what.m_pool.empty() && wave != m_waves.waves().end();
    switch (result) {
    case vm_result::done:
        machine.m_order.reset();
        machine.m_leaving_for = 0;
        machine.m_bound_for = for_wave ? machine.m_listed.m_pool : what.m_pool;
        machine.m_bound_at = now.m_at;
        if (for_wave) {
            m_waves.begun(wave->second, machine_id);
        }
        return;
    case vm_result::not_in_wave:
    case vm_result::impossible:
        machine.m_order.reset();
        machine.m_leaving_for = 0;
        if (for_wave) {
            m_waves.gone(wave->second, machine_id);
        }
        return;
    case vm_result::busy:
    case vm_result::fenced:
        // Another state than the list told: the plan is made anew from the next list.
        machine.m_order.reset();
        machine.m_bound_for = machine.m_listed.m_pool;
        machine.m_bound_at = now.m_at;
        machine.m_leaving_for = 0;
        return;
    case vm_result::refused:
    case vm_result::unanswered:
        machine.m_order_phase = order_phase::due;
        machine.m_order_at = now.m_at + order_retry;
        return;
    }
}

void fleet_planner::mark_leaving(job_scheduler& scheduler)
{
    std::set<std::string, std::less<>> leaving;
    for (const auto& [id, machine] : m_machines) {
        const bool away =
            machine.m_order || machine.m_leaving_for != 0 || (!machine.m_bound_for.empty());
        if (away && !machine.m_listed.m_worker.empty()) {
            leaving.insert(machine.m_listed.m_worker);
        }
    }
    scheduler.set_leaving(std::move(leaving));
}

} // namespace peridotrudder
