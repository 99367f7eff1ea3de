#include "peridotrudder/entry/request_router.hpp"

#include "peridotrudder/base/hash.hpp"
#include "peridotrudder/entry/upstream_exchange.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace peridotrudder {

namespace {

constexpr milliseconds not_ready_retry_delay{20};
/// Time that the home gets for its answer beyond the time to wait and the upstream timeout.
constexpr milliseconds forward_grace_time{2'000};
constexpr milliseconds intent_timeout{1'000};
/// Time after an acknowledged intent within which the call may be sent. A process that was paused
/// longer must not send it.
constexpr milliseconds send_window{2'000};
constexpr milliseconds partition_tick_interval{50};
constexpr std::uint32_t max_attempts = 3;

time_point now_point()
{
    return std::chrono::steady_clock::now();
}

std::string digest_of(const call& submitted)
{
    return fmt::format(
        "{:016x}",
        placement_hash(submitted.m_body, placement_hash(submitted.m_method + submitted.m_path)));
}

} // namespace

request_router::request_router(router_options options, router_links links)
    : m_options{std::move(options)},
      m_links{std::move(links)},
      m_partitions{m_options.m_self,
                   [this](const std::string& to, const partition_message& message) {
                       std::visit([&](const auto& content) { m_links.m_send(to, content); },
                                  message);
                   },
                   [this](const acknowledged_intent& intent) { on_intent_acknowledged(intent); }},
      m_forwarder{m_options.m_self,
                  m_options.m_upstream_timeout + forward_grace_time,
                  {[this](const call& request) { return m_partitions.home_of(request); },
                   m_links.m_send,
                   [this](const call_ptr& ended, const outcome& result) {
                       respond_or_forward(ended, result);
                   },
                   [this](const call_ptr& mine) { submit_keyed(mine); }}}
{
}

// Counts the call as open until it is answered.
void request_router::count_as_open(const call_ptr& opened)
{
    ++m_open_calls;
    opened->m_respond = [this, answer = std::move(opened->m_respond)](const outcome& result) {
        answer(result);
        --m_open_calls;
    };
}

void request_router::submit(const call_ptr& submitted)
{
    count_as_open(submitted);
    if (submitted->must_run_at_most_once()) {
        submit_keyed(submitted);
        return;
    }
    enqueue(submitted);
}

void request_router::submit_keyed(const call_ptr& submitted)
{
    const auto now = now_point();
    const auto begun = m_partitions.begin(submitted, digest_of(*submitted), now);
    switch (begun.m_verdict) {
    case begin_verdict::started:
        submitted->m_version = begun.m_version;
        submitted->m_intent_acknowledged = false;
        enqueue(submitted);
        return;
    case begin_verdict::running:
        return;
    case begin_verdict::answered:
        respond_or_forward(submitted, *begun.m_outcome);
        return;
    case begin_verdict::unknown:
        respond_or_forward(submitted, outcome_unknown(refusal::earlier_attempt));
        return;
    case begin_verdict::records_lost:
        respond_or_forward(submitted, outcome_unknown(refusal::records_lost));
        return;
    case begin_verdict::key_reused:
        respond_or_forward(submitted, not_run(refusal::key_reused, true));
        return;
    case begin_verdict::not_home:
        m_forwarder.forward(submitted);
        return;
    case begin_verdict::not_ready:
        if (now >= submitted->m_wait_until) {
            respond_or_forward(submitted, not_run(refusal::not_ready, true));
            return;
        }
        retry_later(submitted);
        return;
    }
}

void request_router::retry_later(const call_ptr& delayed)
{
    const std::lock_guard<std::mutex> lock{m_delayed_mutex};
    m_delayed.emplace(now_point() + not_ready_retry_delay, delayed);
}

void request_router::resubmit_delayed(time_point now)
{
    std::vector<call_ptr> due;
    {
        const std::lock_guard<std::mutex> lock{m_delayed_mutex};
        const auto end = m_delayed.upper_bound(now);
        std::transform(m_delayed.begin(), end, std::back_inserter(due),
                       [](const auto& delayed) { return delayed.second; });
        m_delayed.erase(m_delayed.begin(), end);
    }
    for (const auto& delayed : due) {
        submit_keyed(delayed);
    }
}

void request_router::receive(const std::string& from, const forwarded_call& message)
{
    const auto received = make_forwarded_call(message, now_point());
    const auto id = received->m_request_id;
    if (m_partitions.home_of(*received) != m_options.m_self) {
        m_links.m_send(from, forwarded_reply{id, not_run(refusal::home_moved, true)});
        return;
    }
    received->m_respond = [this, from, id](const outcome& result) {
        m_links.m_send(from, forwarded_reply{id, result});
    };
    count_as_open(received);
    submit_keyed(received);
}

void request_router::receive(const std::string& from, const forwarded_reply& message)
{
    m_forwarder.receive(from, message);
}

void request_router::enqueue(const call_ptr& queued)
{
    const auto now = now_point();
    const auto queue = find_pool_queue(queued->m_pool);
    if (!queue) {
        finish(queued, not_run(refusal::no_upstream));
        return;
    }
    if (queue->would_wait_too_long(*queued, now)) {
        finish(queued, not_run(refusal::wait_exceeded));
        return;
    }
    queue->push(queued, now);
    dispatch_ready_calls(queue);
    send_reports(queue, now);
}

void request_router::dispatch_ready_calls(const std::shared_ptr<pool_queue>& queue)
{
    for (const auto& ready : queue->take_ready(now_point())) {
        start_attempt(ready);
    }
}

void request_router::start_attempt(const dispatched_call& ready)
{
    const auto now = now_point();
    auto& request = *ready.m_call;
    if (request.m_attempts == 0) {
        m_links.m_metrics->waited(request.m_class, now - request.m_received);
    }
    const bool needs_intent = request.must_run_at_most_once();
    if (!needs_intent) {
        send_upstream(ready);
        return;
    }
    if (request.m_intent_acknowledged) {
        if (now - request.m_intent_acknowledged_at < send_window) {
            send_upstream(ready);
            return;
        }
    }
    else {
        const auto key = request.record_key();
        {
            const std::lock_guard<std::mutex> lock{m_intents_mutex};
            m_intents[key] = {ready, now + intent_timeout};
        }
        if (m_partitions.write_intent(request, now)) {
            return;
        }
        const std::lock_guard<std::mutex> lock{m_intents_mutex};
        m_intents.erase(key);
    }
    find_pool_queue(request.m_pool)
        ->record_completion(request, ready.m_worker.m_vm, false, std::nullopt, now);
    finish(ready.m_call, not_run(refusal::home_moved));
}

void request_router::on_intent_acknowledged(const acknowledged_intent& intent)
{
    dispatched_call ready;
    const auto now = now_point();
    {
        const std::lock_guard<std::mutex> lock{m_intents_mutex};
        const auto position = m_intents.find(intent.m_key);
        // The deadline also protects against a process that was paused: its intent may be sealed by
        // now.
        if (position == m_intents.end() || now >= position->second.m_deadline ||
            !(position->second.m_dispatched.m_call->m_version == intent.m_version)) {
            return;
        }
        ready = std::move(position->second.m_dispatched);
        m_intents.erase(position);
    }
    ready.m_call->m_intent_acknowledged = true;
    ready.m_call->m_intent_acknowledged_at = now;
    send_upstream(ready);
}

void request_router::check_intents(time_point now)
{
    std::vector<dispatched_call> late;
    {
        const std::lock_guard<std::mutex> lock{m_intents_mutex};
        for (auto position = m_intents.begin(); position != m_intents.end();) {
            if (now < position->second.m_deadline) {
                ++position;
                continue;
            }
            late.push_back(std::move(position->second.m_dispatched));
            position = m_intents.erase(position);
        }
    }
    for (const auto& timed_out : late) {
        find_pool_queue(timed_out.m_call->m_pool)
            ->record_completion(*timed_out.m_call, timed_out.m_worker.m_vm, false, std::nullopt,
                                now);
        finish(timed_out.m_call, not_run(refusal::not_replicated));
    }
}

void request_router::send_upstream(const dispatched_call& ready)
{
    const auto& request = ready.m_call;
    ++request->m_attempts;
    const auto hop =
        std::make_shared<span_timer>(request->m_trace, "upstream", request->m_request_id);
    m_links.m_upstreams->send(
        make_upstream_call(ready, hop->context(), m_options.m_upstream_timeout),
        [this, ready, hop](const http_result& result) {
            m_links.m_spans->add(hop->finish(result ? std::to_string(result->m_status) : "failed"));
            handle_answer(ready, read_upstream_answer(result));
        });
}

bool request_router::try_spend_retry(const call& failed, const outcome& result, time_point now)
{
    const bool safe =
        result.m_execution_status == execution_status::not_run || failed.is_idempotent();
    if (!is_worker_failure(result) || !safe || failed.m_attempts >= max_attempts ||
        now >= failed.m_wait_until) {
        return false;
    }
    const std::lock_guard<std::mutex> lock{m_budgets_mutex};
    const auto& limits = failed.m_limits;
    auto& budget =
        m_budgets.emplace(failed.m_customer, retry_budget{limits.m_retry_ppm, limits.m_retry_burst})
            .first->second;
    return budget.spend();
}

void request_router::handle_answer(const dispatched_call& sent, const outcome& result)
{
    const auto now = now_point();
    const auto& request = sent.m_call;
    const bool failed = is_worker_failure(result);
    request->m_may_have_run =
        request->m_may_have_run || result.m_execution_status != execution_status::not_run;
    const auto queue = find_pool_queue(request->m_pool);
    const auto run_time =
        failed ? std::optional<milliseconds>{} : std::optional{remaining(request->m_started, now)};
    queue->record_completion(*request, sent.m_worker.m_vm, failed, run_time, now);
    if (!failed) {
        replenish_retry_budget(request->m_customer);
    }
    if (try_spend_retry(*request, result, now)) {
        request->m_failed_vms.insert(sent.m_worker.m_vm);
        m_links.m_metrics->retried(request->m_customer);
        enqueue(request);
    }
    else {
        finish(request, result);
    }
    dispatch_ready_calls(queue);
    send_reports(queue, now);
}

void request_router::replenish_retry_budget(const std::string& customer)
{
    const std::lock_guard<std::mutex> lock{m_budgets_mutex};
    const auto budget = m_budgets.find(customer);
    if (budget != m_budgets.end()) {
        budget->second.earn();
    }
}

// Ends a call that began an attempt here, or that has no key and so needs no record.
void request_router::finish(const call_ptr& ended, const outcome& result)
{
    auto reported = result;
    if (reported.m_execution_status == execution_status::not_run && ended->m_may_have_run) {
        reported = outcome_unknown(refusal::upstream_failed);
    }
    std::vector<call_ptr> waiting;
    if (ended->must_run_at_most_once()) {
        // Until an intent is acknowledged, this member may be a former home without knowing it:
        // another home may have run the key.
        reported.m_earlier_attempt_possible =
            reported.m_execution_status == execution_status::not_run &&
            !ended->m_intent_acknowledged;
        waiting = m_partitions.end(*ended, reported, now_point());
    }
    respond_or_forward(ended, reported);
    for (const auto& duplicate : waiting) {
        respond_or_forward(duplicate, reported);
    }
}

void request_router::respond_or_forward(const call_ptr& ended, const outcome& result)
{
    if (result.m_refusal == refusal::home_moved && ended->m_local) {
        // The call starts again at the new home, whose records include what was sent from here.
        m_forwarder.forward(ended);
        return;
    }
    ended->m_respond(result);
}

std::shared_ptr<pool_queue> request_router::find_pool_queue(const std::string& pool) const
{
    const std::shared_lock<std::shared_mutex> lock{m_pool_queues_mutex};
    const auto position = m_pool_queues.find(pool);
    return position == m_pool_queues.end() ? nullptr : position->second;
}

std::vector<std::shared_ptr<pool_queue>> request_router::all_pool_queues() const
{
    const std::shared_lock<std::shared_mutex> lock{m_pool_queues_mutex};
    std::vector<std::shared_ptr<pool_queue>> queues;
    for (const auto& [pool, queue] : m_pool_queues) {
        queues.push_back(queue);
    }
    return queues;
}

void request_router::set_state(const std::shared_ptr<const fleet_state>& state,
                               const std::set<std::string>& leaving_vms)
{
    const auto now = now_point();
    const std::lock_guard<std::mutex> state_lock{m_state_mutex};
    if (state->next_offset() < m_applied_offset) {
        return;
    }
    // Reading the VM list applies the same state again, twice a second; the partitions have it
    // already.
    if (state->next_offset() != m_applied_offset) {
        m_partitions.set_state(*state, now);
    }
    std::map<std::string, pool_configuration> setups;
    for (const auto& [id, entry] : state->vms()) {
        auto& setup = setups[entry.m_vm.m_pool];
        if (entry.m_phase == vm_phase::serving && leaving_vms.count(id) == 0) {
            const auto& vm = entry.m_vm;
            setup.m_workers.push_back({id, vm.m_address, vm.m_port, vm.m_slots});
        }
    }
    for (auto& [pool, setup] : setups) {
        const auto ranked = rank_members(state->current_view(), "pool/" + pool, 1);
        setup.m_dispatcher = ranked.empty() ? "" : ranked.front()->m_incarnation;
        setup.m_view = state->current_view().m_number;
        setup.m_entries = static_cast<std::uint32_t>(state->current_view().m_members.size());
        auto queue = find_pool_queue(pool);
        if (!queue) {
            queue = std::make_shared<pool_queue>(pool, m_options.m_self, m_options.m_make_policy());
            const std::unique_lock<std::shared_mutex> lock{m_pool_queues_mutex};
            m_pool_queues.emplace(pool, queue);
        }
        queue->reconfigure(setup, now);
    }
    // A pool whose last VM moved away keeps its queue, since calls may still wait there.
    const std::shared_lock<std::shared_mutex> lock{m_pool_queues_mutex};
    for (const auto& [pool, queue] : m_pool_queues) {
        if (setups.count(pool) == 0) {
            queue->reconfigure({}, now);
        }
    }
    // Only from here on does no queue send calls to a VM that is draining in this state.
    m_applied_offset = state->next_offset();
}

void request_router::receive(const std::string& from, const slot_report& message)
{
    const auto queue = find_pool_queue(message.m_pool);
    if (queue) {
        send_grants(queue->receive_report(from, message, now_point()));
    }
}

void request_router::receive(const std::string& from, const slot_grant& message)
{
    const auto queue = find_pool_queue(message.m_pool);
    if (queue) {
        queue->receive_grant(from, message);
        dispatch_ready_calls(queue);
        send_reports(queue, now_point());
    }
}

void request_router::receive(const std::string& from, const partition_message& message)
{
    m_partitions.receive(from, message, now_point());
}

void request_router::send_grants(const std::vector<addressed_grant>& grants)
{
    for (const auto& grant : grants) {
        if (grant.m_to == m_options.m_self) {
            receive(grant.m_to, grant.m_grant);
        }
        else {
            m_links.m_send(grant.m_to, grant.m_grant);
        }
    }
}

void request_router::send_reports(const std::shared_ptr<pool_queue>& queue, time_point now)
{
    const auto report = queue->take_due_report(now);
    if (!report) {
        return;
    }
    const auto to = queue->dispatcher();
    if (to == m_options.m_self) {
        receive(to, *report);
    }
    else {
        m_links.m_send(to, *report);
    }
}

void request_router::tick()
{
    const auto now = now_point();
    for (const auto& queue : all_pool_queues()) {
        for (const auto& expired : queue->take_expired(now)) {
            finish(expired, not_run(refusal::wait_exceeded));
        }
        dispatch_ready_calls(queue);
        send_reports(queue, now);
    }
    check_intents(now);
    m_forwarder.tick(now);
    resubmit_delayed(now);
    const std::lock_guard<std::mutex> lock{m_tick_mutex};
    if (now >= m_next_partition_tick) {
        m_next_partition_tick = now + partition_tick_interval;
        m_partitions.tick(now);
    }
}

std::uint32_t request_router::in_flight(const std::string& vm) const
{
    std::uint32_t count = 0;
    for (const auto& queue : all_pool_queues()) {
        count += queue->in_flight(vm);
    }
    return count;
}

} // namespace peridotrudder
