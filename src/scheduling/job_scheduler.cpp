#include "peridotrudder/scheduling/job_scheduler.hpp"

#include "peridotrudder/jobs/job_cost.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace peridotrudder {

namespace {

constexpr std::size_t id_length = 16;
/// Callers choose the paths of the calls that they make without a key.
constexpr std::size_t longest_logged_path = 128;
constexpr std::int64_t millis_per_core = 1'000;
/// Pause between removals of expired jobs.
constexpr milliseconds expiry_interval{1'000};
/// Jobs leave the memory when their retention ends, which is checked every second.
constexpr milliseconds memory_retry_after{5'000};
/// Names of repeated tenants in a log line.
constexpr std::size_t max_listed_names = 10;

bool is_id(std::string_view text)
{
    return text.size() == id_length &&
           std::all_of(text.begin(), text.end(),
                       [](unsigned char character) { return std::isxdigit(character) != 0; });
}

call_answer status_only(call_status status)
{
    call_answer answer;
    answer.m_status = status;
    return answer;
}

} // namespace

std::unique_ptr<job_scheduler>
job_scheduler::create(scheduler_options options, scheduler_ports ports, job_store store, moment now)
{
    auto scheduler = std::unique_ptr<job_scheduler>{
        new job_scheduler{options, std::move(ports), std::move(store)}};
    scheduler->m_expired_at = now.m_at;
    scheduler->m_arrivals = arrival_meter::restore(scheduler->m_state.m_job_store.jobs(), now);
    return scheduler;
}

job_scheduler::job_scheduler(scheduler_options options, scheduler_ports ports, job_store store)
    : m_runs{m_state},
      m_placer{m_state}
{
    m_state.m_options = options;
    m_state.m_ports = std::move(ports);
    m_state.m_job_store = std::move(store);
}

void job_scheduler::set_config(fleet_config config)
{
    forget_changed_queues(config);
    m_state.m_config = std::move(config);
    m_state.m_quotas.set_tenants(m_state.m_config.tenants());
    m_arrivals.retain(m_state.m_config.tenants());
    log_repeated_tenants();
    // A queue may have moved to a pool that has free capacity.
    for (const auto& [id, stored_job] : m_state.m_job_store.jobs()) {
        if (stored_job.phase() == job_phase::active) {
            m_state.m_schedulable_jobs.insert(id);
        }
    }
}

void job_scheduler::log_repeated_tenants() const
{
    const auto& names = m_state.m_config.tenants().repeated_names();
    if (names.empty()) {
        return;
    }
    std::string listed;
    std::size_t count = 0;
    for (const auto& name : names) {
        if (count++ == max_listed_names) {
            listed += ", ...";
            break;
        }
        listed += (listed.empty() ? "" : ", ") + name;
    }
    m_state.log(
        "tenant_repeated", "", "",
        fmt::format("the first entry's weight and quota count, and the keys of all: {}", listed));
}

void job_scheduler::forget_changed_queues(const fleet_config& config)
{
    for (const auto& queue : m_state.m_config.queues()) {
        const auto key = queue_key(queue);
        const auto* next = config.find_queue(key);
        if (next == nullptr || encode_packed(*next) != encode_packed(queue)) {
            m_state.m_run_times.forget_queue(key);
        }
    }
}

void job_scheduler::worker_listed(const worker_report& report, moment now)
{
    auto* session = m_state.find_worker(report.m_instance.m_worker);
    if (session == nullptr) {
        m_state.m_workers.emplace(report.m_instance.m_worker,
                                  worker_session::create(report, m_state.m_options.m_fence,
                                                         m_state.m_options.m_lease, now.m_at));
        return;
    }
    session->update(report, now.m_at);
}

void job_scheduler::worker_unlisted(std::string_view id, moment now)
{
    auto* session = m_state.find_worker(id);
    if (session != nullptr && session->listed()) {
        m_state.log("worker_unlisted", "", std::string{id}, "");
        session->set_listed(false, now.m_at);
    }
}

void job_scheduler::worker_ended(std::string_view id, vm_fate fate, time_point seen_at, moment now)
{
    auto* session = m_state.find_worker(id);
    if (session == nullptr || session->last_answered_hold_sent_at() >= seen_at ||
        session->runs().empty()) {
        return;
    }
    m_runs.mark_lost_with_vm(*session, fate, seen_at, now);
    session->set_down(seen_at);
    m_runs.send_waiting(now);
}

void job_scheduler::begin(moment now)
{
    begin_some(std::numeric_limits<std::size_t>::max(), now);
}

std::size_t job_scheduler::begin_some(std::size_t max_jobs, moment now)
{
    std::size_t adopted = 0;
    while (adopted < max_jobs) {
        const auto* stored_job = m_adoption.adopt_next(m_state, now);
        if (stored_job == nullptr) {
            break;
        }
        const auto& id = stored_job->header().m_id;
        m_recorded_states.emplace(id, visible_state(*stored_job));
        m_runs.leftovers().adopted(id, now.m_at);
        ++adopted;
    }
    return adopted;
}

void job_scheduler::set_hold_pause(milliseconds pause)
{
    m_state.m_options.m_lease.m_hold_pause = pause;
    for (auto& [id, session] : m_state.m_workers) {
        session.set_hold_pause(pause);
    }
}

void job_scheduler::set_outlooks(std::map<std::string, pool_outlook> outlooks,
                                 tenant_outlooks tenants)
{
    m_state.m_outlooks = std::move(outlooks);
    m_state.m_tenant_outlooks = std::move(tenants);
}

void job_scheduler::set_leaving(std::set<std::string, std::less<>> workers)
{
    m_state.m_leaving = std::move(workers);
}

bool job_scheduler::is_new_job(const job_call& call)
{
    const auto* queue = m_state.m_config.match(call.m_host, call.m_path);
    if (queue == nullptr || call.m_kind != call_kind::submit) {
        return false;
    }
    return m_state.m_job_store.find(call.m_path.substr(queue->m_prefix.size())) == nullptr;
}

bool job_scheduler::needs_key(const job_call& call) const
{
    const auto* queue = m_state.m_config.match(call.m_host, call.m_path);
    return queue != nullptr && m_state.m_config.tenants().enabled() && !queue->m_public;
}

bool job_scheduler::lacks_key(const job_call& call) const
{
    const auto* queue = m_state.m_config.match(call.m_host, call.m_path);
    return queue != nullptr && !identify(*queue, call);
}

void job_scheduler::take_call(std::uint64_t token, const job_call& call, moment now)
{
    const auto* queue = m_state.m_config.match(call.m_host, call.m_path);
    if (queue == nullptr) {
        m_state.m_ports.m_answer(token, status_only(call_status::unknown_queue));
        return;
    }
    const auto caller = identify(*queue, call);
    if (!caller) {
        m_state.log("call_unauthorized", call.m_path.substr(0, longest_logged_path), "",
                    call.m_key_digest ? "unknown key" : "no key");
        m_state.m_ports.m_answer(token, status_only(call_status::unauthorized));
        return;
    }
    const auto id = call.m_path.substr(queue->m_prefix.size());
    if (call.m_kind == call_kind::query && id.empty()) {
        auto answer = status_only(call_status::length);
        answer.m_length = waiting_jobs(*queue, now.m_unix_ms);
        m_state.m_ports.m_answer(token, answer);
        return;
    }
    switch (call.m_kind) {
    case call_kind::submit:
        submit(token, *queue, id, call, *caller, now);
        return;
    case call_kind::cancel:
        cancel(token, *queue, id, *caller, now);
        return;
    case call_kind::query:
        query(token, *queue, id, *caller);
        return;
    }
}

std::optional<job_scheduler::caller_identity> job_scheduler::identify(const queue_config& queue,
                                                                      const job_call& call) const
{
    const auto& tenants = m_state.m_config.tenants();
    if (!tenants.enabled() || queue.m_public) {
        return caller_identity{};
    }
    const auto* tenant = call.m_key_digest ? tenants.find_by_key(*call.m_key_digest) : nullptr;
    if (tenant == nullptr) {
        return std::nullopt;
    }
    return caller_identity{tenant};
}

// Who has no access learns nothing of the job, not even that it exists.
job* job_scheduler::find_accessible(const queue_config& queue, const std::string& id,
                                    const caller_identity& caller)
{
    auto* found = m_state.m_job_store.find(id);
    const bool restricted =
        found != nullptr && found->header().m_tenant && m_state.m_config.tenants().enabled();
    if (!restricted) {
        return found;
    }
    const auto& header = found->header();
    // A queue that has become public gives access to the jobs that it had before.
    const bool accessible = caller.m_tenant == nullptr
                                ? queue_key(header.m_queue) == queue_key(queue)
                                : header.m_tenant->m_name == caller.m_tenant->m_name;
    if (!accessible) {
        m_state.log("job_withheld", id, "", "the job is another tenant's");
        return nullptr;
    }
    return found;
}

// Called for unknown ids only: a refusal of a job that exists would be untrue.
bool job_scheduler::reject_if_too_long(std::uint64_t token, const std::string& id,
                                       const job_call& call)
{
    const auto& limits = m_state.m_config.limits();
    auto status = call_status::done;
    if (limits.m_max_header_bytes && call.m_header_bytes.value_or(0) > *limits.m_max_header_bytes) {
        status = call_status::header_too_long;
    }
    else if (limits.m_max_body_bytes && call.m_body_bytes.value_or(0) > *limits.m_max_body_bytes) {
        status = call_status::body_too_long;
    }
    if (status == call_status::done) {
        return false;
    }
    m_state.log("job_too_long", id.substr(0, longest_logged_path), "",
                std::string{to_string(status)});
    m_state.m_ports.m_answer(token, status_only(status));
    return true;
}

void job_scheduler::submit(std::uint64_t token, const queue_config& queue, const std::string& id,
                           const job_call& call, const caller_identity& caller, moment now)
{
    if (m_state.m_job_store.find(id) != nullptr) {
        if (find_accessible(queue, id, caller) == nullptr) {
            m_state.m_ports.m_answer(token, status_only(call_status::invalid));
            return;
        }
        answer_when_written(token, status_only(call_status::done), id);
        return;
    }
    if (reject_if_too_long(token, id, call)) {
        return;
    }
    const auto fault = call.m_spec ? check_spec(*call.m_spec) : spec_fault::no_steps;
    if (!is_id(id) || fault != spec_fault::none) {
        m_state.log("job_invalid", id, "", std::string{to_string(fault)});
        m_state.m_ports.m_answer(token, status_only(call_status::invalid));
        return;
    }
    if (reject_if_above_quota(token, id, *call.m_spec, caller) ||
        reject_if_out_of_memory(token, id, *call.m_spec)) {
        return;
    }
    tenant_job submitted{"", false, &*call.m_spec, &queue};
    std::optional<job_tenant> tenant;
    if (caller.m_tenant != nullptr) {
        submitted.m_tenant = caller.m_tenant->m_name;
        submitted.m_excess = !m_arrivals.is_contracted(*caller.m_tenant, now.m_at);
        tenant = job_tenant{submitted.m_tenant, submitted.m_excess};
    }
    const bool rejected = m_state.m_config.tenants().enabled()
                              ? reject_by_tenant(token, id, submitted)
                              : reject_if_overloaded(token, queue, id, *call.m_spec);
    if (rejected) {
        return;
    }
    if (caller.m_tenant != nullptr && !submitted.m_excess) {
        m_arrivals.accept_contracted(*caller.m_tenant, now.m_at);
    }
    m_state.m_job_store.add({id, queue, now.m_unix_ms, *call.m_spec, std::move(tenant)});
    m_state.m_schedulable_jobs.insert(id);
    if (!is_long_running(*call.m_spec)) {
        count_accepted(submitted);
    }
    log_submission("job_accepted", id, submitted, queue.m_name);
    answer_when_written(token, status_only(call_status::done), id);
}

bool job_scheduler::reject_if_above_quota(std::uint64_t token, const std::string& id,
                                          const job_spec& spec, const caller_identity& caller)
{
    if (caller.m_tenant == nullptr) {
        return false;
    }
    const auto& account = m_state.m_quotas.account_of(caller.m_tenant->m_name);
    const bool may_run =
        std::all_of(spec.m_steps.begin(), spec.m_steps.end(), [&](const step_spec& step) {
            const auto started_together = step.m_gang ? step.m_count : 1;
            return m_state.m_quotas.may_ever_start(account,
                                                   times(step.m_task_resources, started_together));
        });
    if (may_run) {
        return false;
    }
    m_state.log("job_refused", id, "",
                fmt::format("a task or gang needs more than the quota of tenant {}",
                            caller.m_tenant->m_name));
    m_state.m_ports.m_answer(token, status_only(call_status::overloaded));
    return true;
}

bool job_scheduler::reject_if_out_of_memory(std::uint64_t token, const std::string& id,
                                            const job_spec& spec)
{
    const auto cost = waiting_cost(spec);
    const auto used = m_state.m_job_store.waiting_bytes();
    const auto most = m_state.m_options.m_max_job_bytes;
    if (cost <= most && used <= most - cost) {
        return false;
    }
    m_state.log(
        "job_refused", id, "",
        fmt::format("needs {} bytes of memory: accepted jobs take {} of {}", cost, used, most));
    if (cost > most) {
        m_state.m_ports.m_answer(token, status_only(call_status::body_too_long));
        return true;
    }
    answer_overloaded(token, memory_retry_after);
    return true;
}

void job_scheduler::count_accepted(const tenant_job& accepted)
{
    const auto& pool = accepted.m_queue->m_pool;
    auto& total = m_state.m_accepted_work[pool];
    const auto work = static_cast<double>(estimated_work(*accepted.m_spec));
    total.m_work += work;
    ++total.m_jobs;
    total.m_work_by_chain += work * static_cast<double>(longest_chain(*accepted.m_spec).count());
    if (!m_state.m_config.tenants().enabled()) {
        return;
    }
    total.m_contracted_work += accepted.m_excess ? 0.0 : work;
    total.m_work_by_tenant[accepted.m_tenant] += work;
    const auto outlook = m_state.m_outlooks.find(pool);
    if (outlook != m_state.m_outlooks.end()) {
        add_accepted(accepted, outlook->second, m_state.m_tenant_outlooks);
    }
}

bool job_scheduler::reject_if_overloaded(std::uint64_t token, const queue_config& queue,
                                         const std::string& id, const job_spec& spec)
{
    const auto outlook = m_state.m_outlooks.find(queue.m_pool);
    if (outlook == m_state.m_outlooks.end()) {
        return false;
    }
    const auto decision = decide_admission(spec, queue, outlook->second,
                                           m_state.m_accepted_work[queue.m_pool].m_work);
    if (decision.m_admitted) {
        return false;
    }
    m_state.log("job_refused", id, "",
                fmt::format("would end too late to be useful: backlog {:.0f} core ms, {} cores",
                            outlook->second.m_backlog / static_cast<double>(millis_per_core),
                            outlook->second.m_cpu / millis_per_core));
    answer_overloaded(token, decision.m_retry_after);
    return true;
}

bool job_scheduler::reject_by_tenant(std::uint64_t token, const std::string& id,
                                     const tenant_job& submitted)
{
    const fleet_outlook fleet{m_state.m_outlooks, m_state.m_tenant_outlooks,
                              m_state.m_config.tenants()};
    const auto decision = decide_tenant_admission(submitted, fleet);
    if (decision.m_admitted ||
        (decision.m_cause == wait_cause::pool && take_free_worker(submitted))) {
        return false;
    }
    log_submission("job_refused", id, submitted,
                   "would end too late to be useful: " + describe(decision));
    answer_overloaded(token, decision.m_retry_after);
    return true;
}

void job_scheduler::log_submission(std::string_view event, const std::string& id,
                                   const tenant_job& submitted, std::string detail) const
{
    decision made{event, id, "", std::move(detail)};
    if (!submitted.m_tenant.empty()) {
        made.m_tenant = submitted.m_tenant;
        made.m_kind = submitted.m_excess ? "excess" : "contracted";
    }
    m_state.m_ports.m_log(made);
}

bool job_scheduler::take_free_worker(const tenant_job& submitted)
{
    // Tasks may wait although workers are free: for a label, a ticket or a trial, or since they are
    // larger than what is left.
    auto& free = m_state.m_free_workers[submitted.m_queue->m_pool];
    const auto& steps = submitted.m_spec->m_steps;
    const auto suits = [this](const step_spec& step, const free_worker& worker) {
        const auto* session = m_state.find_worker(worker.m_id);
        return session != nullptr && step.m_depends_on.empty() &&
               fits(step.m_task_resources, worker.m_room) && has_required_label(step, *session);
    };
    const auto found = std::find_if(free.begin(), free.end(), [&](const free_worker& worker) {
        return std::any_of(steps.begin(), steps.end(),
                           [&](const step_spec& step) { return suits(step, worker); });
    });
    if (found == free.end()) {
        return false;
    }
    free.erase(found);
    return true;
}

void job_scheduler::answer_overloaded(std::uint64_t token, milliseconds retry_after)
{
    auto answer = status_only(call_status::overloaded);
    answer.m_retry_after = retry_after;
    m_state.m_ports.m_answer(token, answer);
}

void job_scheduler::cancel(std::uint64_t token, const queue_config& queue, const std::string& id,
                           const caller_identity& caller, moment now)
{
    auto* target = find_accessible(queue, id, caller);
    if (target == nullptr) {
        m_state.m_ports.m_answer(token, status_only(call_status::unknown_job));
        return;
    }
    if (target->cancel(now.m_unix_ms)) {
        m_state.m_job_store.mark_changed(id);
        m_state.log("job_cancelled", id, "", "");
        m_state.m_tickets.drop_job(id);
        m_runs.stop_job(*target, now.m_at);
        m_runs.send_waiting(now);
    }
    answer_when_written(token, status_only(call_status::done), id);
}

void job_scheduler::query(std::uint64_t token, const queue_config& queue, const std::string& id,
                          const caller_identity& caller)
{
    const auto* target = find_accessible(queue, id, caller);
    if (target == nullptr) {
        m_state.m_ports.m_answer(token, status_only(call_status::unknown_job));
        return;
    }
    auto answer = status_only(call_status::state);
    const auto recorded = m_recorded_states.find(id);
    if (recorded != m_recorded_states.end()) {
        // Newer states could still be lost with this owner, so only recorded ones are returned.
        answer.m_state = recorded->second;
        m_state.m_ports.m_answer(token, answer);
        return;
    }
    answer.m_state = visible_state(*target);
    answer_when_written(token, answer, id);
}

std::uint64_t job_scheduler::waiting_jobs(const queue_config& queue, std::int64_t now_ms) const
{
    const auto key = queue_key(queue);
    std::uint64_t count = 0;
    for (const auto& [id, stored_job] : m_state.m_job_store.jobs()) {
        const bool waits = stored_job.phase() == job_phase::active && !stored_job.begun() &&
                           stored_job.due_ms(0) <= now_ms;
        count += waits && queue_key(stored_job.header().m_queue) == key ? 1 : 0;
    }
    return count;
}

void job_scheduler::answer_when_written(std::uint64_t token, const call_answer& answer,
                                        const std::string& id)
{
    if (m_state.m_job_store.dirty(id) || m_states_in_flight.count(id) != 0) {
        m_state.m_effects.emplace_back(answer_effect{token, answer});
        return;
    }
    m_state.m_ports.m_answer(token, answer);
}

void job_scheduler::start_answered(const order_target& target, const run_key& key,
                                   std::uint32_t run, const order_answer& answer, moment now)
{
    m_state.m_orders.free_place(target.m_instance.m_worker, order_kind::start);
    m_runs.start_answered(target, key, run, answer, now);
    m_runs.send_waiting(now);
}

void job_scheduler::stop_answered(const order_target& target, const run_key& key, std::uint32_t run,
                                  const order_answer& answer, moment now)
{
    m_state.m_orders.free_place(target.m_instance.m_worker, order_kind::stop);
    m_runs.stop_answered(target, key, run, answer, now);
    m_runs.send_waiting(now);
}

void job_scheduler::pace_answered(const order_target& target, moment now)
{
    m_state.m_orders.free_place(target.m_instance.m_worker, order_kind::pace);
    m_runs.send_waiting(now);
}

void job_scheduler::hold_answered(const order_target& target, const hold_answer& answer,
                                  time_point sent_at, moment now)
{
    m_runs.hold_answered(target, answer, sent_at, now);
    m_runs.send_waiting(now);
}

void job_scheduler::policy_answered(const policy_answer& answer, moment now)
{
    const auto id = m_state.m_tickets.answered(answer, now.m_at);
    m_state.log(answer.m_answered ? "tickets_granted" : "policy_unanswered", id, "",
                fmt::format("{} workers", answer.m_granted.size()));
}

void job_scheduler::tick(moment now)
{
    m_runs.tick(now);
    m_runs.leftovers().tick(now.m_at);
    m_placer.tick(now.m_at);
    m_state.m_quotas.expire(now.m_at);
    m_state.log_quota_waits(now.m_at);
    if (now.m_at - m_expired_at >= expiry_interval) {
        m_expired_at = now.m_at;
        for (const auto& id :
             m_state.m_job_store.expire(now.m_unix_ms - m_state.m_options.m_retention.count())) {
            m_recorded_states.erase(id);
        }
    }
}

bool job_scheduler::needs_write() const
{
    return has_changes() || !m_state.m_schedulable_jobs.empty() || m_placer.copies_due();
}

write_batch job_scheduler::take_batch(moment now)
{
    m_placer.place_all(now);
    if (const auto request = m_state.m_tickets.next_policy_request(now.m_at)) {
        m_state.m_ports.m_ask(*request);
    }
    m_runs.leftovers().drop_from_changed(now.m_at);
    return take_changes();
}

bool job_scheduler::has_changes() const
{
    return m_state.m_job_store.has_changes() || !m_state.m_effects.empty();
}

write_batch job_scheduler::take_changes()
{
    write_batch batch;
    for (const auto& id : m_state.m_job_store.dirty_ids()) {
        const auto* changed = m_state.m_job_store.find(id);
        if (changed != nullptr) {
            batch.m_jobs.emplace(id, visible_state(*changed));
        }
    }
    batch.m_records = m_state.m_job_store.take_changes();
    batch.m_effects.swap(m_state.m_effects);
    m_states_in_flight = batch.m_jobs;
    return batch;
}

void job_scheduler::written(const write_batch& batch, moment now)
{
    m_states_in_flight.clear();
    for (const auto& [id, state] : batch.m_jobs) {
        m_recorded_states[id] = state;
    }
    for (const auto& effect : batch.m_effects) {
        if (const auto* answer = std::get_if<answer_effect>(&effect)) {
            m_state.m_ports.m_answer(answer->m_token, answer->m_answer);
        }
        else if (const auto* start = std::get_if<start_effect>(&effect)) {
            m_state.m_orders.push(
                {order_kind::start, start->m_instance, start->m_key, start->m_run});
        }
        else if (const auto* acknowledgement = std::get_if<ends_effect>(&effect)) {
            auto* session = m_state.find_instance(acknowledgement->m_instance);
            if (session != nullptr) {
                session->ends_recorded(acknowledgement->m_number);
            }
        }
    }
    m_runs.send_waiting(now);
}

} // namespace peridotrudder
