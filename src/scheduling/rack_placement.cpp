#include "peridotrudder/scheduling/rack_placement.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <string_view>
#include <unordered_map>

namespace peridotrudder {

namespace {

/// Time for which expected places are used. Progress is reported about once a second.
constexpr milliseconds places_age{50};
constexpr std::size_t max_place_lists = 256;

milliseconds scaled(milliseconds time, double factor)
{
    return milliseconds{std::llround(static_cast<double>(time.count()) * factor)};
}

worker_outlook outlook_of(const worker_session& session, time_point now)
{
    worker_outlook outlook;
    outlook.m_room = session.room();
    for (const auto& [key, run] : session.runs()) {
        if (run.m_long_running || run.m_best_effort) {
            continue;
        }
        const auto expected = run.m_expected.count() > 0 ? run.m_expected : run.m_estimate;
        outlook.m_ends.push_back({now + expected_remaining(run, expected, now), run.m_reserved});
    }
    return outlook;
}

bool has_required_label(const worker_session& session, const std::string& label)
{
    const auto& labels = session.report().m_labels;
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

} // namespace

void rack_placement::begin_pass(const std::string& pool, const std::vector<candidate>& candidates,
                                time_point now)
{
    m_pool = pool;
    m_candidates = &candidates;
    m_racks.clear();
    m_groups.clear();
    m_asked_step.reset();
    m_waits.prune(now);
    if (m_places.size() > max_place_lists) {
        m_places.clear();
    }
}

rack_placement::rack_pass* rack_placement::find_rack(const std::string& rack)
{
    const auto known = m_racks.find(rack);
    if (known != m_racks.end()) {
        return known->second.m_workers.empty() ? nullptr : &known->second;
    }
    auto& pass = m_racks[rack];
    for (const auto& worker : *m_candidates) {
        if (worker.m_session->report().m_rack == rack) {
            pass.m_workers.push_back(&worker);
        }
    }
    return pass.m_workers.empty() ? nullptr : &pass;
}

std::string rack_placement::preferred_rack(const job& source, std::uint32_t occurrence,
                                           std::uint32_t step)
{
    const auto& spec = source.spec().m_steps[step];
    const bool has_group = spec.m_same_rack && !spec.m_gang && far_factor() > 1.0;
    if (!spec.m_data_rack.empty() || !has_group) {
        return spec.m_data_rack;
    }
    const step_key key{source.header().m_id, occurrence, step};
    const auto known = m_groups.find(key);
    if (known != m_groups.end()) {
        return known->second;
    }
    auto rack = rack_with_most_runs(source, occurrence, step);
    if (rack.empty()) {
        rack = rack_with_most_room(spec);
    }
    return m_groups.emplace(key, rack).first->second;
}

std::string rack_placement::rack_with_most_runs(const job& source, std::uint32_t occurrence,
                                                std::uint32_t step) const
{
    std::map<std::string, std::size_t> runs;
    source.tasks(occurrence, step).visit_changed([&](std::uint32_t /*index*/, const task& member) {
        const auto* session = member.m_phase == task_phase::placed
                                  ? m_state->find_worker(member.m_placed_on.m_worker)
                                  : nullptr;
        if (session != nullptr) {
            ++runs[session->report().m_rack];
        }
    });
    const auto most =
        std::max_element(runs.begin(), runs.end(), [](const auto& left, const auto& right) {
            return left.second < right.second;
        });
    return most == runs.end() ? std::string{} : most->first;
}

std::string rack_placement::rack_with_most_room(const step_spec& step) const
{
    std::unordered_map<std::string_view, std::int64_t> places;
    const auto each = std::max<std::int64_t>(reserved_for(step).m_cpu_millis, 1);
    std::string_view best;
    for (const auto& worker : *m_candidates) {
        const auto& session = *worker.m_session;
        const auto& rack = session.report().m_rack;
        places[rack] += session.room().m_cpu_millis / each;
        if (best.empty() || places[rack] > places[best]) {
            best = rack;
        }
    }
    return std::string{best};
}

bool rack_placement::may_wait(const placement_request& request) const
{
    const auto& step = *request.m_step;
    const bool is_ordinary = !step.m_long_running && !step.m_best_effort && !step.m_gang;
    // Which workers a policy permits, and for how long, is not known in advance.
    return far_factor() > 1.0 && !request.m_preferred_rack.empty() && is_ordinary &&
           !request.m_on_trial && !request.m_last_attempt && request.m_tickets == nullptr;
}

bool rack_placement::has_room_on_rack(const placement_request& request, time_point now)
{
    auto* rack = find_rack(request.m_preferred_rack);
    if (rack == nullptr) {
        return false;
    }
    // Room only shrinks in a pass.
    const auto required = reserved_for(*request.m_step);
    auto& too_large = rack->m_sizes_without_room;
    if (std::any_of(too_large.begin(), too_large.end(),
                    [&required](const resources& size) { return fits(size, required); })) {
        return false;
    }
    const auto& workers = rack->m_workers;
    if (std::any_of(workers.begin(), workers.end(),
                    [&](const auto* worker) { return has_room(request, *worker, now); })) {
        return true;
    }
    if (request.m_step->m_required_label.empty() && request.m_step->m_max_per_worker == 0) {
        too_large.push_back(required);
    }
    return false;
}

const rack_placement::place_list& rack_placement::places_for(const placement_request& request,
                                                             time_point now)
{
    const auto& step = *request.m_step;
    const auto each = reserved_for(step);
    auto& list = m_places[{m_pool, request.m_preferred_rack, each.m_cpu_millis, each.m_memory_mb,
                           each.m_accelerators, step.m_required_label, step.m_max_per_worker}];
    if (list.m_made_at != time_point{} && now - list.m_made_at < places_age) {
        return list;
    }
    list = {};
    list.m_made_at = now;
    const auto* rack = find_rack(request.m_preferred_rack);
    if (rack == nullptr) {
        return list;
    }
    std::vector<worker_outlook> workers;
    for (const auto* worker : rack->m_workers) {
        const auto& session = *worker->m_session;
        if (!worker->m_unhealthy && has_required_label(session, step.m_required_label)) {
            workers.push_back(outlook_of(session, now));
            list.m_oldest_report =
                std::max(list.m_oldest_report, remaining(session.last_heard_at(), now));
        }
    }
    list.m_places = expected_places(workers, each, step.m_max_per_worker, now);
    return list;
}

std::optional<milliseconds> rack_placement::time_until_room(const placement_request& request,
                                                            std::int64_t cpu_millis_ahead,
                                                            milliseconds run_time, time_point now)
{
    const auto each = std::max<std::int64_t>(reserved_for(*request.m_step).m_cpu_millis, 1);
    const auto ahead = static_cast<std::size_t>((cpu_millis_ahead + each - 1) / each);
    return time_until_place(places_for(request, now).m_places, ahead, run_time, now);
}

expected_rack_wait rack_placement::expected_wait(const placement_request& request, time_point now)
{
    expected_rack_wait expected;
    expected.m_rack = request.m_preferred_rack;
    expected.m_at_most = m_waits.longest_wait(request.key(), now);
    const auto* rack = find_rack(request.m_preferred_rack);
    if (rack != nullptr) {
        const auto& source = *m_state->m_job_store.find(request.m_job);
        // The task itself is counted among those that wait.
        const auto ahead = rack->m_waiting_cpu_millis - reserved_for(*request.m_step).m_cpu_millis;
        expected.m_place_in = time_until_room(
            request, ahead, usual_time(source, request.m_occurrence, request.m_step_index), now);
    }
    return expected;
}

rack_choice rack_placement::expect(const placement_request& request, const candidate& chosen,
                                   time_point now)
{
    rack_choice choice;
    choice.m_key = request.key();
    const auto& source = *m_state->m_job_store.find(request.m_job);
    choice.m_run_time = usual_time(source, request.m_occurrence, request.m_step_index);
    choice.m_run_time_here =
        scaled(choice.m_run_time,
               far_factor() * m_state->m_run_times.slowness(chosen.m_session->instance()));
    auto* rack = find_rack(request.m_preferred_rack);
    if (rack == nullptr) {
        return choice;
    }
    choice.m_place_in =
        time_until_room(request, rack->m_waiting_cpu_millis, choice.m_run_time, now);
    return choice;
}

bool rack_placement::still_waits(const placement_request& request, time_point now)
{
    if (!may_wait(request) || !m_waits.was_judged(request.key(), now) ||
        has_room_on_rack(request, now)) {
        return false;
    }
    auto* rack = find_rack(request.m_preferred_rack);
    if (rack == nullptr) {
        return false;
    }
    rack->m_waiting_cpu_millis += reserved_for(*request.m_step).m_cpu_millis;
    return true;
}

bool rack_placement::waits(const placement_request& request, const candidate& chosen,
                           time_point now)
{
    if (request.m_preferred_rack.empty() || far_factor() <= 1.0) {
        return false;
    }
    const bool on_rack = chosen.m_session->report().m_rack == request.m_preferred_rack;
    if (!on_rack && may_wait(request)) {
        const auto choice = expect(request, chosen, now);
        const auto decision = m_waits.decide(choice, now);
        if (decision == rack_decision::begin_wait) {
            log_wait(request, choice, chosen, now);
        }
        if (decision != rack_decision::start) {
            find_rack(request.m_preferred_rack)->m_waiting_cpu_millis +=
                reserved_for(*request.m_step).m_cpu_millis;
            return true;
        }
    }
    log_start(request, chosen, now);
    return false;
}

void rack_placement::log_wait(const placement_request& request, const rack_choice& choice,
                              const candidate& chosen, time_point now)
{
    const auto& source = *m_state->m_job_store.find(request.m_job);
    const auto runs = m_state->m_run_times.runs_of(class_of(source, request.m_step_index));
    const auto& list = places_for(request, now);
    m_state->log_run(
        "rack_wait", request.key(), chosen.m_session->id(),
        fmt::format("rack {}: room in {} ms and {} ms to run, or {} ms here; from {} runs, {} "
                    "places, expected {} ms ago from answers up to {} ms old",
                    request.m_preferred_rack, choice.m_place_in->count(), choice.m_run_time.count(),
                    choice.m_run_time_here.count(), runs, list.m_places.size(),
                    remaining(list.m_made_at, now).count(), list.m_oldest_report.count()));
}

void rack_placement::log_start(const placement_request& request, const candidate& chosen,
                               time_point now)
{
    const bool on_rack = chosen.m_session->report().m_rack == request.m_preferred_rack;
    const auto ended = m_waits.start(request.key(), on_rack, now);
    if (!ended) {
        return;
    }
    m_state->log_run(
        on_rack ? "rack_reached" : "rack_missed", request.key(), chosen.m_session->id(),
        fmt::format("rack {} after {} ms{}", request.m_preferred_rack, ended->m_waited.count(),
                    ended->m_deadline_passed ? ", the longest wait" : ""));
}

milliseconds rack_placement::usual_time(const job& source, std::uint32_t occurrence,
                                        std::uint32_t step)
{
    // The tasks of a step are placed one after the other.
    const bool is_known = m_asked_step && m_asked_step->m_step == step &&
                          m_asked_step->m_occurrence == occurrence &&
                          m_asked_step->m_job == source.header().m_id;
    if (!is_known) {
        m_asked_step = step_key{source.header().m_id, occurrence, step};
        m_usual_time = m_state->m_run_times.expected(class_of(source, step),
                                                     source.spec().m_steps[step].m_estimate);
    }
    return m_usual_time;
}

void rack_placement::set_expectation(worker_run& run, const job& source, const task_ref& ref,
                                     const worker_session& session)
{
    const auto& step = source.spec().m_steps[ref.m_step];
    if (step.m_long_running || step.m_best_effort || !m_state->uses_run_times(step)) {
        return;
    }
    const auto rack = preferred_rack(source, ref.m_occurrence, ref.m_step);
    const bool is_far = !rack.empty() && session.report().m_rack != rack;
    run.m_place_factor = is_far ? std::max(far_factor(), 1.0) : 1.0;
    const auto normal = usual_time(source, ref.m_occurrence, ref.m_step);
    run.m_expected =
        scaled(normal, run.m_place_factor * m_state->m_run_times.slowness(session.instance()));
}

} // namespace peridotrudder
