#include "standins/fleet/task_worker.hpp"

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
constexpr std::int64_t max_lease_ms = 6'000;
constexpr std::int64_t stop_delay_ms = 100;
constexpr std::int64_t max_hold_wait_ms = 2'000;
constexpr std::size_t max_listed_ends = 500;

http_response make_refusal(const char* reason, std::int64_t clock)
{
    return json_response(conflict, json{{"reason", reason}, {"clock-ms", clock}}.dump());
}

http_response make_acceptance(std::int64_t clock)
{
    return json_response(ok, json{{"clock-ms", clock}}.dump());
}

} // namespace

task_worker task_worker::create(std::string id, std::int64_t now_ms, event_sink sink,
                                std::int64_t born_shift_ms)
{
    task_worker worker;
    worker.m_id = std::move(id);
    worker.m_started_at_ms = now_ms;
    worker.m_born_shift_ms = born_shift_ms;
    worker.m_sink = std::move(sink);
    return worker;
}

void task_worker::answer(const http_request& request, std::int64_t now_ms, responder respond)
{
    const auto body = json::parse(request.m_body, nullptr, false);
    if (!body.is_object()) {
        respond(json_response(bad_request, "{}"));
        return;
    }
    if (!accept_fencing_token(body.value("fence", std::uint64_t{0}))) {
        respond(make_refusal("fence", clock(now_ms)));
        return;
    }
    if (request.m_path == "/-/run-start") {
        respond(start(body, now_ms));
    }
    else if (request.m_path == "/-/run-stop") {
        respond(stop(body, now_ms));
    }
    else if (request.m_path == "/-/hold") {
        hold(body, now_ms, std::move(respond));
    }
    else {
        respond(make_acceptance(clock(now_ms)));
    }
}

bool task_worker::accept_fencing_token(std::uint64_t fencing_token)
{
    if (fencing_token < m_fencing_token) {
        return false;
    }
    m_fencing_token = fencing_token;
    return true;
}

void task_worker::extend_lease(const json& body, std::int64_t now_ms)
{
    if (body.contains("deadline-ms")) {
        const auto requested_ms = body["deadline-ms"].get<std::int64_t>();
        m_lease_end_ms =
            std::max(m_lease_end_ms, std::min(requested_ms, clock(now_ms) + max_lease_ms));
    }
}

http_response task_worker::start(const json& body, std::int64_t now_ms)
{
    const auto task = body.value("task", std::string{});
    const auto run = body.value("run", std::uint64_t{0});
    const auto existing_run = m_runs.find(task);
    if (existing_run != m_runs.end() && existing_run->second.m_run == run) {
        return make_acceptance(clock(now_ms));
    }
    if (m_highest_closed_run[task] >= run || existing_run != m_runs.end()) {
        extend_lease(body, now_ms);
        return make_refusal("old", clock(now_ms));
    }
    if (clock(now_ms) > body.value("deadline-ms", std::int64_t{0})) {
        return make_refusal("late", clock(now_ms));
    }
    extend_lease(body, now_ms);
    active_run active;
    active.m_run = run;
    active.m_begin_ms = now_ms;
    const auto payload = json::parse(body.value("spec", std::string{}), nullptr, false);
    if (payload.is_object() && payload.contains("ms")) {
        active.m_finish_ms = now_ms + payload["ms"].get<std::int64_t>();
        active.m_will_fail = run <= payload.value("fails", std::uint64_t{0});
    }
    if (payload.is_object() && payload.contains("crashes")) {
        active.m_crash_ms = now_ms + payload["crashes"].get<std::int64_t>();
    }
    m_runs.emplace(task, active);
    emit_event("start", task, run, now_ms);
    return make_acceptance(clock(now_ms));
}

http_response task_worker::stop(const json& body, std::int64_t now_ms)
{
    const auto task = body.value("task", std::string{});
    const auto run = body.value("run", std::uint64_t{0});
    auto& highest_closed_run = m_highest_closed_run[task];
    highest_closed_run = std::max(highest_closed_run, run);
    const auto active_entry = m_runs.find(task);
    if (active_entry != m_runs.end() && active_entry->second.m_run <= run &&
        !active_entry->second.m_stop_ms) {
        active_entry->second.m_stop_ms = now_ms + stop_delay_ms;
    }
    return make_acceptance(clock(now_ms));
}

void task_worker::hold(const json& body, std::int64_t now_ms, responder respond)
{
    extend_lease(body, now_ms);
    const auto seen = body.value("last-seen", std::uint64_t{0});
    for (const auto& ended_run : m_ended_runs) {
        if (ended_run.at(0).get<std::uint64_t>() <= seen && ended_run.at(3) == "done") {
            emit_event("noted", ended_run.at(1), ended_run.at(2), now_ms);
        }
    }
    m_ended_runs.erase(std::remove_if(m_ended_runs.begin(), m_ended_runs.end(),
                                      [seen](const json& ended_run) {
                                          return ended_run.at(0).get<std::uint64_t>() <= seen;
                                      }),
                       m_ended_runs.end());
    const auto wait = std::min(body.value("wait-ms", std::int64_t{0}), max_hold_wait_ms);
    if (wait == 0 || !m_ended_runs.empty()) {
        respond(json_response(ok, make_hold_answer(now_ms)));
        return;
    }
    m_waiting_holds.push_back({now_ms + wait, std::move(respond)});
}

std::string task_worker::make_hold_answer(std::int64_t now_ms) const
{
    auto running = json::array();
    for (const auto& [task, active] : m_runs) {
        constexpr std::int64_t full_percent = 100;
        std::int64_t percent = full_percent;
        if (active.m_finish_ms) {
            const auto length = std::max<std::int64_t>(*active.m_finish_ms - active.m_begin_ms, 1);
            percent = std::min(full_percent, (now_ms - active.m_begin_ms) * full_percent / length);
        }
        running.push_back({task, active.m_run, "", percent, 0});
    }
    auto ended = json::array();
    for (const auto& ended_run : m_ended_runs) {
        if (ended.size() < max_listed_ends) {
            ended.push_back(ended_run);
        }
    }
    return json{{"clock-ms", clock(now_ms)},
                {"born", born_ms()},
                {"running", std::move(running)},
                {"ended", std::move(ended)}}
        .dump();
}

void task_worker::end_run(const std::string& task, const std::string& outcome, std::int64_t now_ms)
{
    const auto active_entry = m_runs.find(task);
    const auto run = active_entry->second.m_run;
    m_runs.erase(active_entry);
    auto& highest_closed_run = m_highest_closed_run[task];
    highest_closed_run = std::max(highest_closed_run, run);
    m_ended_runs.push_back({m_next_end_number++, task, run, outcome, ""});
    emit_event(outcome, task, run, now_ms);
}

bool task_worker::crash(std::int64_t now_ms)
{
    const auto culprit = std::find_if(m_runs.begin(), m_runs.end(), [now_ms](const auto& entry) {
        const auto& crash_ms = entry.second.m_crash_ms;
        return crash_ms && now_ms >= *crash_ms;
    });
    if (culprit == m_runs.end()) {
        return false;
    }
    emit_event("crashed", culprit->first, culprit->second.m_run, now_ms);
    m_runs.erase(culprit);
    m_has_crashed = true;
    return true;
}

void task_worker::tick(std::int64_t now_ms)
{
    if (crash(now_ms)) {
        return;
    }
    std::vector<std::pair<std::string, std::string>> ended_runs;
    for (const auto& [task, active] : m_runs) {
        if (clock(now_ms) >= m_lease_end_ms) {
            ended_runs.emplace_back(task, "lapsed");
        }
        else if (active.m_stop_ms && now_ms >= *active.m_stop_ms) {
            ended_runs.emplace_back(task, "stopped");
        }
        else if (active.m_finish_ms && now_ms >= *active.m_finish_ms) {
            ended_runs.emplace_back(task, active.m_will_fail ? "failed" : "done");
        }
    }
    for (const auto& [task, outcome] : ended_runs) {
        end_run(task, outcome, now_ms);
    }
    auto holds = std::move(m_waiting_holds);
    m_waiting_holds.clear();
    for (auto& waiting : holds) {
        if (!m_ended_runs.empty() || now_ms >= waiting.m_deadline_ms) {
            waiting.m_respond(json_response(ok, make_hold_answer(now_ms)));
        }
        else {
            m_waiting_holds.push_back(std::move(waiting));
        }
    }
}

void task_worker::kill(std::int64_t now_ms, const char* outcome)
{
    for (const auto& [task, active] : m_runs) {
        emit_event(outcome, task, active.m_run, now_ms);
    }
    m_runs.clear();
    m_waiting_holds.clear();
}

void task_worker::emit_event(const std::string& kind, const std::string& task, std::uint64_t run,
                             std::int64_t now_ms) const
{
    m_sink({now_ms, kind, task, run, m_id, m_started_at_ms});
}

} // namespace standins
