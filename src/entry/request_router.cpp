#include "peridotrudder/entry/request_router.hpp"

#include "peridotrudder/base/hash.hpp"
#include "peridotrudder/entry/upstream_exchange.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace peridotrudder {

namespace {

constexpr milliseconds not_ready_pause{20};
/// Time beyond the request's own limits that the home gets for its answer.
constexpr milliseconds forward_slack{2'000};
constexpr milliseconds intent_timeout{1'000};
/// A kept intent may be sent within this time; a process that was paused longer must not.
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
                       std::visit([&](const auto& each) { m_links.m_send(to, each); }, message);
                   },
                   [this](const acknowledged_intent& kept) { intent_kept(kept); }},
      m_forwarder{
          m_options.m_self,
          m_options.m_upstream_timeout + forward_slack,
          {[this](const call& wanted) { return m_partitions.home_of(wanted); }, m_links.m_send,
           [this](const call_ptr& ended, const outcome& result) { conclude(ended, result); },
           [this](const call_ptr& mine) { submit_keyed(mine); }}}
{
}

// Counts the call as open until it is answered.
void request_router::adopt(const call_ptr& taken)
{
    ++m_open_calls;
    taken->m_respond = [this, answer = std::move(taken->m_respond)](const outcome& result) {
        answer(result);
        --m_open_calls;
    };
}

void request_router::submit(const call_ptr& submitted)
{
    adopt(submitted);
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
        submitted->m_intent_kept = false;
        enqueue(submitted);
        return;
    case begin_verdict::running:
        return;
    case begin_verdict::answered:
        conclude(submitted, *begun.m_outcome);
        return;
    case begin_verdict::unknown:
        conclude(submitted, outcome_unknown(refusal::earlier_attempt));
        return;
    case begin_verdict::records_lost:
        conclude(submitted, outcome_unknown(refusal::records_lost));
        return;
    case begin_verdict::key_reused:
        conclude(submitted, not_run(refusal::key_reused, true));
        return;
    case begin_verdict::not_home:
        m_forwarder.forward(submitted);
        return;
    case begin_verdict::not_ready:
        if (now >= submitted->m_wait_until) {
            conclude(submitted, not_run(refusal::not_ready, true));
            return;
        }
        retry_later(submitted);
        return;
    }
}

void request_router::retry_later(const call_ptr& delayed)
{
    const std::lock_guard<std::mutex> lock{m_delayed_mutex};
    m_delayed.emplace(now_point() + not_ready_pause, delayed);
}

void request_router::resubmit_delayed(time_point now)
{
    std::vector<call_ptr> due;
    {
        const std::lock_guard<std::mutex> lock{m_delayed_mutex};
        const auto end = m_delayed.upper_bound(now);
        std::transform(m_delayed.begin(), end, std::back_inserter(due),
                       [](const auto& each) { return each.second; });
        m_delayed.erase(m_delayed.begin(), end);
    }
    for (const auto& each : due) {
        submit_keyed(each);
    }
}

void request_router::receive(const std::string& from, const forwarded_call& message)
{
    const auto taken = make_forwarded_call(message, now_point());
    const auto id = taken->m_request_id;
    if (m_partitions.home_of(*taken) != m_options.m_self) {
        m_links.m_send(from, forwarded_reply{id, not_run(refusal::home_moved, true)});
        return;
    }
    taken->m_respond = [this, from, id](const outcome& result) {
        m_links.m_send(from, forwarded_reply{id, result});
    };
    adopt(taken);
    submit_keyed(taken);
}

void request_router::receive(const std::string& from, const forwarded_reply& message)
{
    m_forwarder.receive(from, message);
}

void request_router::enqueue(const call_ptr& queued)
{
    const auto now = now_point();
    const auto lane = lane_of(queued->m_pool);
    if (!lane) {
        finish(queued, not_run(refusal::no_upstream));
        return;
    }
    if (lane->would_wait_too_long(*queued, now)) {
        finish(queued, not_run(refusal::wait_exceeded));
        return;
    }
    lane->push(queued, now);
    pump(lane);
    send_reports(lane, now);
}

void request_router::pump(const std::shared_ptr<pool_lane>& lane)
{
    for (const auto& each : lane->take_ready(now_point())) {
        dispatch(each);
    }
}

void request_router::dispatch(const dispatched_call& ready)
{
    const auto now = now_point();
    auto& taken = *ready.m_call;
    if (taken.m_attempts == 0) {
        m_links.m_metrics->waited(taken.m_class, now - taken.m_received);
    }
    const bool needs_intent = taken.must_run_at_most_once();
    if (!needs_intent) {
        send_upstream(ready);
        return;
    }
    if (taken.m_intent_kept) {
        if (now - taken.m_intent_kept_at < send_window) {
            send_upstream(ready);
            return;
        }
    }
    else {
        const auto key = taken.record_key();
        {
            const std::lock_guard<std::mutex> lock{m_intents_mutex};
            m_intents[key] = {ready, now + intent_timeout};
        }
        if (m_partitions.write_intent(taken, now)) {
            return;
        }
        const std::lock_guard<std::mutex> lock{m_intents_mutex};
        m_intents.erase(key);
    }
    lane_of(taken.m_pool)->finished(taken, ready.m_worker.m_vm, false, std::nullopt, now);
    finish(ready.m_call, not_run(refusal::home_moved));
}

void request_router::intent_kept(const acknowledged_intent& kept)
{
    dispatched_call ready;
    const auto now = now_point();
    {
        const std::lock_guard<std::mutex> lock{m_intents_mutex};
        const auto found = m_intents.find(kept.m_key);
        // The deadline also stops a process that was paused: its intent may be sealed by now.
        if (found == m_intents.end() || now >= found->second.m_deadline ||
            !(found->second.m_dispatched.m_call->m_version == kept.m_version)) {
            return;
        }
        ready = std::move(found->second.m_dispatched);
        m_intents.erase(found);
    }
    ready.m_call->m_intent_kept = true;
    ready.m_call->m_intent_kept_at = now;
    send_upstream(ready);
}

void request_router::check_intents(time_point now)
{
    std::vector<dispatched_call> late;
    {
        const std::lock_guard<std::mutex> lock{m_intents_mutex};
        for (auto each = m_intents.begin(); each != m_intents.end();) {
            if (now < each->second.m_deadline) {
                ++each;
                continue;
            }
            late.push_back(std::move(each->second.m_dispatched));
            each = m_intents.erase(each);
        }
    }
    for (const auto& each : late) {
        lane_of(each.m_call->m_pool)
            ->finished(*each.m_call, each.m_worker.m_vm, false, std::nullopt, now);
        finish(each.m_call, not_run(refusal::not_replicated));
    }
}

void request_router::send_upstream(const dispatched_call& ready)
{
    const auto& taken = ready.m_call;
    ++taken->m_attempts;
    const auto hop = std::make_shared<span_timer>(taken->m_trace, "upstream", taken->m_request_id);
    m_links.m_upstreams->send(
        make_upstream_call(ready, hop->context(), m_options.m_upstream_timeout),
        [this, ready, hop](const http_result& result) {
            m_links.m_spans->add(hop->finish(result ? std::to_string(result->m_status) : "failed"));
            take_answer(ready, read_upstream_answer(result));
        });
}

bool request_router::may_retry(const call& failed, const outcome& result, time_point now)
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

void request_router::take_answer(const dispatched_call& sent, const outcome& result)
{
    const auto now = now_point();
    const auto& taken = sent.m_call;
    const bool failed = is_worker_failure(result);
    taken->m_may_have_run =
        taken->m_may_have_run || result.m_execution_status != execution_status::not_run;
    const auto lane = lane_of(taken->m_pool);
    const auto run_time =
        failed ? std::optional<milliseconds>{} : std::optional{remaining(taken->m_started, now)};
    lane->finished(*taken, sent.m_worker.m_vm, failed, run_time, now);
    if (!failed) {
        earn_retries(taken->m_customer);
    }
    if (may_retry(*taken, result, now)) {
        taken->m_failed_vms.insert(sent.m_worker.m_vm);
        m_links.m_metrics->retried(taken->m_customer);
        enqueue(taken);
    }
    else {
        finish(taken, result);
    }
    pump(lane);
    send_reports(lane, now);
}

void request_router::earn_retries(const std::string& customer)
{
    const std::lock_guard<std::mutex> lock{m_budgets_mutex};
    const auto budget = m_budgets.find(customer);
    if (budget != m_budgets.end()) {
        budget->second.earn();
    }
}

// Ends a call that began an attempt here or needs none.
void request_router::finish(const call_ptr& ended, const outcome& result)
{
    auto told = result;
    if (told.m_execution_status == execution_status::not_run && ended->m_may_have_run) {
        told = outcome_unknown(refusal::upstream_failed);
    }
    std::vector<call_ptr> waiting;
    if (ended->must_run_at_most_once()) {
        // Until an intent is kept, this member may be a former home that does not know it yet:
        // another home may have run the key.
        told.m_earlier_attempt_possible =
            told.m_execution_status == execution_status::not_run && !ended->m_intent_kept;
        waiting = m_partitions.end(*ended, told, now_point());
    }
    conclude(ended, told);
    for (const auto& each : waiting) {
        conclude(each, told);
    }
}

void request_router::conclude(const call_ptr& ended, const outcome& result)
{
    if (result.m_refusal == refusal::home_moved && ended->m_local) {
        // The call begins again with the new home, which knows what was sent from here.
        m_forwarder.forward(ended);
        return;
    }
    ended->m_respond(result);
}

std::shared_ptr<pool_lane> request_router::lane_of(const std::string& pool) const
{
    const std::shared_lock<std::shared_mutex> lock{m_lanes_mutex};
    const auto found = m_lanes.find(pool);
    return found == m_lanes.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<pool_lane>> request_router::all_lanes() const
{
    const std::shared_lock<std::shared_mutex> lock{m_lanes_mutex};
    std::vector<std::shared_ptr<pool_lane>> lanes;
    for (const auto& [pool, lane] : m_lanes) {
        lanes.push_back(lane);
    }
    return lanes;
}

void request_router::set_state(const std::shared_ptr<const fleet_state>& state,
                               const std::set<std::string>& leaving_vms)
{
    const auto now = now_point();
    const std::lock_guard<std::mutex> state_lock{m_state_mutex};
    if (state->next_offset() < m_applied_offset) {
        return;
    }
    // The VM list alone brings the same state again, twice a second: its epochs are known.
    if (state->next_offset() != m_applied_offset) {
        m_partitions.set_state(*state, now);
    }
    std::map<std::string, lane_setup> setups;
    for (const auto& [id, entry] : state->vms()) {
        auto& setup = setups[entry.m_vm.m_pool];
        if (entry.m_phase == vm_phase::serving && leaving_vms.count(id) == 0) {
            const auto& machine = entry.m_vm;
            setup.m_workers.push_back({id, machine.m_address, machine.m_port, machine.m_slots});
        }
    }
    for (auto& [pool, setup] : setups) {
        const auto ranked = rank_members(state->current_view(), "pool/" + pool, 1);
        setup.m_dispatcher = ranked.empty() ? "" : ranked.front()->m_incarnation;
        setup.m_view = state->current_view().m_number;
        setup.m_entries = static_cast<std::uint32_t>(state->current_view().m_members.size());
        auto lane = lane_of(pool);
        if (!lane) {
            lane = std::make_shared<pool_lane>(pool, m_options.m_self, m_options.m_make_policy());
            const std::unique_lock<std::shared_mutex> lock{m_lanes_mutex};
            m_lanes.emplace(pool, lane);
        }
        lane->set_up(setup, now);
    }
    // A pool whose last VM moved away keeps its lane: calls may still wait there.
    const std::shared_lock<std::shared_mutex> lock{m_lanes_mutex};
    for (const auto& [pool, lane] : m_lanes) {
        if (setups.count(pool) == 0) {
            lane->set_up({}, now);
        }
    }
    // Only now no lane gives work to a VM that the state has as draining.
    m_applied_offset = state->next_offset();
}

void request_router::receive(const std::string& from, const slot_report& message)
{
    const auto lane = lane_of(message.m_pool);
    if (lane) {
        send_grants(lane->receive_report(from, message, now_point()));
    }
}

void request_router::receive(const std::string& from, const slot_grant& message)
{
    const auto lane = lane_of(message.m_pool);
    if (lane) {
        lane->receive_grant(from, message);
        pump(lane);
        send_reports(lane, now_point());
    }
}

void request_router::receive(const std::string& from, const partition_message& message)
{
    m_partitions.receive(from, message, now_point());
}

void request_router::send_grants(const std::vector<addressed_grant>& grants)
{
    for (const auto& each : grants) {
        if (each.m_to == m_options.m_self) {
            receive(each.m_to, each.m_grant);
        }
        else {
            m_links.m_send(each.m_to, each.m_grant);
        }
    }
}

void request_router::send_reports(const std::shared_ptr<pool_lane>& lane, time_point now)
{
    const auto report = lane->take_due_report(now);
    if (!report) {
        return;
    }
    const auto to = lane->dispatcher();
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
    for (const auto& lane : all_lanes()) {
        for (const auto& expired : lane->take_expired(now)) {
            finish(expired, not_run(refusal::wait_exceeded));
        }
        pump(lane);
        send_reports(lane, now);
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
    for (const auto& lane : all_lanes()) {
        count += lane->in_flight(vm);
    }
    return count;
}

} // namespace peridotrudder
