#include "peridotrudder/scheduling/placement_report.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <tuple>

namespace peridotrudder {

namespace {

/// Id of a task's job that is asked for without a job. Ids of submitted jobs are hexadecimal.
const std::string asked_job{"~"};
/// The copy takes some 120 bytes for each task, and the smallest VM has 160 MB.
constexpr std::uint64_t max_copied_tasks = 100'000;
/// Sums and products of larger values than these would overflow.
constexpr std::int64_t max_asked_amount = 1'000'000'000;
constexpr std::chrono::hours max_asked_estimate{24 * 365};

/// Returns a copy of what placement reads, with the jobs that it may place and the one that is
/// asked for; nothing if they have too many tasks. What it logs and sends goes nowhere.
std::optional<scheduler_state> copy_for_placement(const scheduler_state& state, const job& asked)
{
    scheduler_state copy;
    const auto& asked_id = asked.header().m_id;
    // A new job, or one of which the last pass found that nothing starts before it changes.
    const bool is_added = state.m_schedulable_jobs.count(asked_id) == 0;
    // That of a question without a job is one task, and is not counted.
    std::uint64_t tasks = is_added && asked_id != asked_job ? asked.all_tasks() : 0;
    for (const auto& id : state.m_schedulable_jobs) {
        const auto found = state.m_job_store.jobs().find(id);
        if (found == state.m_job_store.jobs().end()) {
            continue;
        }
        // The copy has the tasks that are done, too.
        tasks += found->second.all_tasks();
        if (tasks > max_copied_tasks) {
            return std::nullopt;
        }
        copy.m_job_store.add_restored(found->second.copy_for_placement());
    }
    if (tasks > max_copied_tasks) {
        return std::nullopt;
    }
    copy.m_options = state.m_options;
    copy.m_ports.m_log = [](const decision&) {};
    copy.m_config = state.m_config;
    copy.m_quotas = state.m_quotas.detached_copy();
    for (const auto& [id, session] : state.m_workers) {
        copy.m_workers.emplace(id, session.without_charges());
    }
    copy.m_orders = state.m_orders;
    copy.m_health = state.m_health;
    copy.m_grades = state.m_grades;
    copy.m_leaving = state.m_leaving;
    copy.m_schedulable_jobs = state.m_schedulable_jobs;
    if (is_added) {
        copy.m_job_store.add_restored(asked.copy_for_placement());
        copy.m_schedulable_jobs.insert(asked_id);
    }
    copy.m_tickets = state.m_tickets;
    copy.m_strangers = state.m_strangers;
    copy.m_failed_on = state.m_failed_on;
    copy.m_run_times = state.m_run_times;
    return copy;
}

const queue_config* find_queue(const fleet_config& config, const std::string& name)
{
    const auto parts = split_queue(name);
    if (!parts) {
        return nullptr;
    }
    const auto* queue = config.match(parts->first, parts->second);
    return queue != nullptr ? queue : config.match(parts->first, parts->second + '/');
}

/// Returns a job of one task as the question describes it.
job_header make_header(const placement_question& question, const queue_config& queue, moment now)
{
    step_spec step;
    step.m_task_resources.m_cpu_millis =
        question.m_cpu_millis.value_or(default_task_resources.m_cpu_millis);
    step.m_task_resources.m_memory_mb =
        question.m_memory_mb.value_or(default_task_resources.m_memory_mb);
    step.m_task_resources.m_accelerators =
        question.m_accelerators.value_or(default_task_resources.m_accelerators);
    step.m_estimate = question.m_estimate.value_or(default_task_estimate);
    step.m_required_label = question.m_label.value_or("");
    step.m_data_rack = question.m_data_rack.value_or("");
    job_header header;
    header.m_id = asked_job;
    header.m_queue = queue;
    header.m_accepted_ms = now.m_unix_ms;
    header.m_spec.m_steps.push_back(step);
    if (question.m_tenant && !question.m_tenant->empty()) {
        header.m_tenant = job_tenant{*question.m_tenant, false};
    }
    return header;
}

/// Returns the first task that waits, of a step that waits for no other one if there is one.
std::optional<task_ref> first_waiting(const job& source)
{
    std::optional<task_ref> blocked;
    for (std::uint32_t occurrence = 0; occurrence < source.occurrences(); ++occurrence) {
        for (std::uint32_t step = 0; step < source.spec().m_steps.size(); ++step) {
            if (source.waiting(occurrence, step) == 0) {
                continue;
            }
            const auto tasks = source.tasks(occurrence, step);
            const auto found = std::find_if(tasks.begin(), tasks.end(), [](const task& each) {
                return each.m_phase == task_phase::waiting;
            });
            const task_ref ref{occurrence, step, static_cast<std::uint32_t>(found - tasks.begin())};
            if (source.unblocked(occurrence, step)) {
                return ref;
            }
            blocked = blocked.value_or(ref);
        }
    }
    return blocked;
}

placement_verdict verdict_of(const placement_probe& probe)
{
    switch (probe.m_outcome) {
    case task_outcome::starts:
        return placement_verdict::starts;
    case task_outcome::quota:
        return placement_verdict::quota;
    case task_outcome::rack:
        return placement_verdict::rack;
    case task_outcome::ticket:
        return placement_verdict::ticket;
    case task_outcome::stopping:
        return placement_verdict::stopping;
    case task_outcome::trial:
        return placement_verdict::trial;
    case task_outcome::gang:
        return placement_verdict::gang;
    case task_outcome::not_reached:
        return placement_verdict::turn;
    case task_outcome::no_room:
        break;
    }
    if (probe.m_had_room && probe.m_starts_before > 0) {
        return placement_verdict::turn;
    }
    const bool has_worker = std::any_of(probe.m_workers.begin(), probe.m_workers.end(),
                                        [](const probed_worker& worker) {
                                            // The others concern the worker, whichever task it is.
                                            return worker.m_obstacle == worker_obstacle::none ||
                                                   worker.m_obstacle >= worker_obstacle::label;
                                        });
    return has_worker ? placement_verdict::no_room : placement_verdict::no_worker;
}

std::string describe_quota(const tenant_account& account)
{
    const auto& used = account.m_used;
    const auto& quota = account.m_quota;
    return fmt::format("tenant {} uses {} of {} millicores, {} of {} MB, {} of {} accelerators "
                       "(0: no limit)",
                       account.m_tenant, used.m_cpu_millis, quota.m_cpu_millis, used.m_memory_mb,
                       quota.m_memory_mb, used.m_accelerators, quota.m_accelerators);
}

std::string describe_rack_wait(const expected_rack_wait& wait)
{
    const auto room = wait.m_place_in ? fmt::format("room in {} ms", wait.m_place_in->count())
                                      : std::string{"no room known"};
    return fmt::format("rack {}: {}, waits for at most {} ms", wait.m_rack, room,
                       wait.m_at_most.count());
}

/// Returns the worker's obstacle, or why another one that can take the task comes first.
worker_obstacle reason_of(const probed_worker& worker, const placement_probe& probe)
{
    if (worker.m_obstacle != worker_obstacle::none) {
        return worker.m_obstacle;
    }
    if (worker.m_unhealthy) {
        return worker_obstacle::unhealthy;
    }
    const bool is_far = !probe.m_preferred_rack.empty() && worker.m_rack != probe.m_preferred_rack;
    return is_far ? worker_obstacle::other_rack : worker_obstacle::none;
}

/// Adds the workers, those that are closest to taking the task first.
void add_workers(placement_report& report, const placement_probe& probe, std::size_t most)
{
    std::vector<worker_verdict> workers;
    for (const auto& worker : probe.m_workers) {
        if (worker.m_id != report.m_worker) {
            workers.push_back(
                {worker.m_id, worker.m_rack, reason_of(worker, probe), worker.m_room});
        }
    }
    std::sort(workers.begin(), workers.end(), [](const auto& left, const auto& right) {
        const auto key = [](const worker_verdict& each) {
            const bool could_take = each.m_obstacle == worker_obstacle::none;
            return std::tuple{!could_take, -static_cast<int>(each.m_obstacle),
                              -each.m_room.m_cpu_millis, each.m_worker};
        };
        return key(left) < key(right);
    });
    for (auto& worker : workers) {
        if (report.m_workers.size() < most) {
            report.m_workers.push_back(std::move(worker));
        }
        else {
            ++report.m_other_workers[std::string{to_string(worker.m_obstacle)}];
        }
    }
}

void add_outcome(placement_report& report, const placement_probe& probe,
                 const tenant_account& account)
{
    report.m_verdict = verdict_of(probe);
    report.m_worker = probe.m_worker;
    if (report.m_verdict == placement_verdict::quota) {
        report.m_detail = describe_quota(account);
    }
    if (report.m_verdict == placement_verdict::turn && probe.m_starts_before > 0) {
        report.m_detail = fmt::format("{} tasks start before it", probe.m_starts_before);
    }
    if (probe.m_rack_wait) {
        const auto& wait = *probe.m_rack_wait;
        report.m_detail = describe_rack_wait(wait);
        report.m_wait = std::min(wait.m_place_in.value_or(wait.m_at_most), wait.m_at_most);
    }
}

/// Fills in what is known of a job's task without a pass. Returns whether a pass may start it.
bool is_ready(placement_report& report, const job& source, const std::optional<task_ref>& ref,
              moment now)
{
    if (!ref) {
        report.m_verdict = placement_verdict::nothing_waits;
        report.m_detail = fmt::format("{} tasks run", source.placed_tasks());
        return false;
    }
    report.m_task = to_text(*ref);
    report.m_required = reserved_for(source.spec().m_steps[ref->m_step]);
    if (source.spec().m_recurrence && source.due_ms(ref->m_occurrence) > now.m_unix_ms) {
        report.m_verdict = placement_verdict::not_due;
        report.m_wait = milliseconds{source.due_ms(ref->m_occurrence) - now.m_unix_ms};
        return false;
    }
    if (!source.unblocked(ref->m_occurrence, ref->m_step)) {
        report.m_verdict = placement_verdict::dependency;
        for (const auto step : source.spec().m_steps[ref->m_step].m_depends_on) {
            const auto open = source.open_tasks(ref->m_occurrence, step);
            if (open > 0) {
                report.m_detail += fmt::format("{}step {} has {} tasks that are not done",
                                               report.m_detail.empty() ? "" : ", ", step, open);
            }
        }
        return false;
    }
    return true;
}

placement_error find_fault(const placement_question& question, const fleet_config& config,
                           const job_header& header)
{
    const auto& step = header.m_spec.m_steps.front();
    const auto& required = step.m_task_resources;
    const auto largest =
        std::max({required.m_cpu_millis, required.m_memory_mb, required.m_accelerators});
    if (check_spec(header.m_spec) != spec_fault::none || largest > max_asked_amount ||
        step.m_estimate > max_asked_estimate) {
        return placement_error::bad_question;
    }
    const bool is_unknown = header.m_tenant && config.tenants().find(*question.m_tenant) == nullptr;
    return is_unknown ? placement_error::unknown_tenant : placement_error::none;
}

bool is_well_formed(const placement_question& question)
{
    return split_queue(question.m_queue) &&
           question.m_listed_workers.value_or(default_listed_workers) <= max_listed_workers;
}

/// Returns the job that the question names if its queue has it, or null.
const job* find_job(const scheduler_state& state, const placement_question& question,
                    const queue_config& queue)
{
    const auto& jobs = state.m_job_store.jobs();
    const auto found = jobs.find(*question.m_job);
    const bool is_there =
        found != jobs.end() && queue_key(found->second.header().m_queue) == queue_key(queue);
    return is_there ? &found->second : nullptr;
}

/// Adds to the report what a pass over a copy decides about the task of the job, which the copy
/// gets if it lacks it.
void report_pass(placement_report& report, const scheduler_state& state, const task_placer& placer,
                 const job& source, const task_ref& ref, std::size_t most, moment now)
{
    auto copy = copy_for_placement(state, source);
    if (!copy) {
        report.m_error = placement_error::too_much_waiting;
        return;
    }
    const auto& header = source.header();
    placement_probe probe;
    probe.m_key = {header.m_id, ref};
    if (header.m_spec.m_steps[ref.m_step].m_gang) {
        // All members are placed at once, with the first one.
        probe.m_key.m_task.m_index = 0;
    }
    probe.m_pool = report.m_pool;
    task_placer trial{*copy, placer};
    trial.watch(probe);
    trial.place_all(now);
    add_outcome(report, probe, copy->account_of(header));
    add_workers(report, probe, most);
}

} // namespace

placement_report report_placement(const scheduler_state& state, const task_placer& placer,
                                  const placement_question& question, moment now)
{
    if (state.m_config.version() == 0 && state.m_config.queues().empty()) {
        return failed_report(question, placement_error::no_configuration);
    }
    if (!is_well_formed(question)) {
        return failed_report(question, placement_error::bad_question);
    }
    const auto* queue = find_queue(state.m_config, question.m_queue);
    if (queue == nullptr) {
        return failed_report(question, placement_error::unknown_queue);
    }
    std::optional<job> asked;
    const job* source = nullptr;
    if (question.m_job) {
        source = find_job(state, question, *queue);
    }
    else {
        const auto header = make_header(question, *queue, now);
        const auto fault = find_fault(question, state.m_config, header);
        if (fault != placement_error::none) {
            return failed_report(question, fault);
        }
        source = &asked.emplace(job::create(header));
    }
    if (source == nullptr) {
        return failed_report(question, placement_error::unknown_job);
    }
    if (source->phase() != job_phase::active) {
        return failed_report(question, placement_error::job_ended,
                             std::string{to_string(source->phase())});
    }
    auto report = failed_report(question, placement_error::none);
    report.m_queue = queue_key(*queue);
    report.m_tenant = source->header().m_tenant ? source->header().m_tenant->m_name : "";
    report.m_pool = state.queue_of(source->header()).m_pool;
    const auto ref = first_waiting(*source);
    if (is_ready(report, *source, ref, now)) {
        report_pass(report, state, placer, *source, *ref,
                    question.m_listed_workers.value_or(default_listed_workers), now);
    }
    return report;
}

} // namespace peridotrudder
