#include "peridotrudder/scheduling/order_sender.hpp"

#include "peridotrudder/scheduling/crash_suspects.hpp"

#include <string>
#include <utility>
#include <vector>

namespace peridotrudder {

namespace {

/// Time from the placement of a run after which its start is not sent any more.
constexpr milliseconds longest_placement_age{3'000};

} // namespace

void order_sender::send_waiting(moment now)
{
    while (const auto order = m_state->m_orders.take_next()) {
        if (!send(*order, now)) {
            m_state->m_orders.free_place(order->m_instance.m_worker, order->m_kind);
        }
    }
}

bool order_sender::send(const queued_order& order, moment now)
{
    switch (order.m_kind) {
    case order_kind::stop:
    case order_kind::stop_unknown:
        return send_stop(order, now);
    case order_kind::pace:
        return send_pace(order);
    case order_kind::start:
        return send_start(order, now);
    }
    return false;
}

bool order_sender::send_stop(const queued_order& stop, moment now)
{
    auto* session = m_state->find_worker(stop.m_instance.m_worker);
    auto* run = session == nullptr ? nullptr : session->find(stop.m_key);
    const bool is_known = run != nullptr && run->m_run == stop.m_run;
    if (session == nullptr || (!is_known && stop.m_kind == order_kind::stop)) {
        return false;
    }
    if (is_known) {
        run->m_stop_sent_at = now.m_at;
    }
    m_state->m_ports.m_stop(session->report(), {stop.m_key, stop.m_run, session->fence()});
    return true;
}

bool order_sender::send_pace(const queued_order& pace)
{
    auto* session = m_state->find_worker(pace.m_instance.m_worker);
    const auto* run = session == nullptr ? nullptr : session->find(pace.m_key);
    if (run == nullptr || run->m_run != pace.m_run) {
        return false;
    }
    m_state->m_ports.m_pace(session->report(),
                            {pace.m_key, run->m_run, run->m_pace, session->fence()});
    return true;
}

bool order_sender::send_start(const queued_order& start, moment now)
{
    auto* session = m_state->find_instance(start.m_instance);
    auto* run = session == nullptr ? nullptr : session->find(start.m_key);
    auto* target = m_state->m_job_store.find(start.m_key.m_job);
    if (run == nullptr || target == nullptr || run->m_run != start.m_run ||
        run->m_phase != run_phase::recording) {
        return false;
    }
    const bool runnable = target->phase() == job_phase::active && !run->m_stopping;
    // The worker's capacity may have shrunk while the start was being recorded.
    const bool has_room = fits(resources{}, session->room());
    // A successor reckons by the record's time until when the start may have been sent.
    const bool recent = now.m_at - run->m_placed_at <= longest_placement_age;
    if (!runnable || !has_room || !recent || !session->takes_work(now.m_at)) {
        m_not_sent(*session, start.m_key, "not sent", now);
        return false;
    }
    // The quota may have been lowered while the start was being recorded.
    if (!m_state->quota_allows(m_state->account_of(target->header()), {}, now.m_at)) {
        withdraw_start(start, now);
        return false;
    }
    const auto step = step_of(start.m_key);
    const bool restricted = m_state->queue_of(target->header()).m_policy.has_value();
    const auto ticket = m_state->m_tickets.ticket_for(step, start.m_instance, now.m_at);
    if (restricted && ticket.empty()) {
        m_not_sent(*session, start.m_key, "ticket expired", now);
        return false;
    }
    start_order order;
    order.m_ticket = restricted ? ticket : std::string{};
    order.m_key = start.m_key;
    order.m_run = start.m_run;
    order.m_payload = target->spec().m_payload;
    order.m_checkpoint = target->at(start.m_key.m_task).m_checkpoint;
    order.m_fence = session->fence();
    order.m_deadline_ms = session->start_deadline(now.m_at);
    run->m_start_deadline_ms = order.m_deadline_ms;
    run->m_phase = run_phase::ordered;
    run->m_ordered_at = now.m_at;
    session->open_start(*run, now.m_at);
    session->note_start(now.m_at + crash_window, run->m_on_trial);
    m_state->m_ports.m_start(session->report(), order);
    return true;
}

void order_sender::withdraw_start(const queued_order& start, moment now)
{
    constexpr std::string_view reason = "above its tenant's quota";
    const auto* target = m_state->m_job_store.find(start.m_key.m_job);
    const auto& ref = start.m_key.m_task;
    std::vector<std::pair<worker_instance, run_key>> withdrawn{{start.m_instance, start.m_key}};
    if (target->spec().m_steps[ref.m_step].m_gang) {
        std::uint32_t index = 0;
        for (const auto& member : target->tasks(ref.m_occurrence, ref.m_step)) {
            run_key key{start.m_key.m_job, {ref.m_occurrence, ref.m_step, index++}};
            if (member.m_phase == task_phase::placed && member.m_run == start.m_run) {
                withdrawn.emplace_back(member.m_placed_on, std::move(key));
            }
        }
    }
    for (const auto& [instance, key] : withdrawn) {
        auto* session = m_state->find_instance(instance);
        const auto* run = session == nullptr ? nullptr : session->find(key);
        if (run != nullptr && run->m_run == start.m_run && run->m_phase == run_phase::recording) {
            m_not_sent(*session, key, reason, now);
        }
    }
}

} // namespace peridotrudder
