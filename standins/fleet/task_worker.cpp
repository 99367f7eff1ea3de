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
constexpr std::int64_t longest_lease_ms = 6'000;
constexpr std::int64_t stop_time_ms = 100;
constexpr std::int64_t longest_wait_ms = 2'000;
constexpr std::size_t most_listed_ends = 500;

http_response refused(const char* reason, std::int64_t clock)
{
    return json_response(conflict, json{{"reason", reason}, {"clock-ms", clock}}.dump());
}

http_response accepted(std::int64_t clock)
{
    return json_response(ok, json{{"clock-ms", clock}}.dump());
}

} // namespace

task_worker task_worker::create(std::string id, std::int64_t now_ms, event_sink sink)
{
    task_worker made;
    made.m_id = std::move(id);
    made.m_born_ms = now_ms;
    made.m_sink = std::move(sink);
    return made;
}

void task_worker::answer(const http_request& request, std::int64_t now_ms, responder respond)
{
    const auto body = json::parse(request.m_body, nullptr, false);
    if (!body.is_object()) {
        respond(json_response(bad_request, "{}"));
        return;
    }
    if (!takes(body.value("fence", std::uint64_t{0}))) {
        respond(refused("fence", clock(now_ms)));
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
        respond(accepted(clock(now_ms)));
    }
}

bool task_worker::takes(std::uint64_t fence)
{
    if (fence < m_fence) {
        return false;
    }
    m_fence = fence;
    return true;
}

void task_worker::extend(const json& body, std::int64_t now_ms)
{
    if (body.contains("deadline-ms")) {
        const auto wanted = body["deadline-ms"].get<std::int64_t>();
        m_lease_end = std::max(m_lease_end, std::min(wanted, clock(now_ms) + longest_lease_ms));
    }
}

http_response task_worker::start(const json& body, std::int64_t now_ms)
{
    const auto task = body.value("task", std::string{});
    const auto run = body.value("run", std::uint64_t{0});
    const auto there = m_runs.find(task);
    if (there != m_runs.end() && there->second.m_run == run) {
        return accepted(clock(now_ms));
    }
    if (m_barred[task] >= run || there != m_runs.end()) {
        extend(body, now_ms);
        return refused("old", clock(now_ms));
    }
    if (clock(now_ms) > body.value("deadline-ms", std::int64_t{0})) {
        return refused("late", clock(now_ms));
    }
    extend(body, now_ms);
    held_run held;
    held.m_run = run;
    held.m_began_ms = now_ms;
    const auto payload = json::parse(body.value("spec", std::string{}), nullptr, false);
    if (payload.is_object() && payload.contains("ms")) {
        held.m_done_ms = now_ms + payload["ms"].get<std::int64_t>();
        held.m_fails = run <= payload.value("fails", std::uint64_t{0});
    }
    m_runs.emplace(task, held);
    tell("start", task, run, now_ms);
    return accepted(clock(now_ms));
}

http_response task_worker::stop(const json& body, std::int64_t now_ms)
{
    const auto task = body.value("task", std::string{});
    const auto run = body.value("run", std::uint64_t{0});
    auto& barred = m_barred[task];
    barred = std::max(barred, run);
    const auto found = m_runs.find(task);
    if (found != m_runs.end() && found->second.m_run <= run && !found->second.m_stopped_ms) {
        found->second.m_stopped_ms = now_ms + stop_time_ms;
    }
    return accepted(clock(now_ms));
}

void task_worker::hold(const json& body, std::int64_t now_ms, responder respond)
{
    extend(body, now_ms);
    const auto seen = body.value("last-seen", std::uint64_t{0});
    for (const auto& each : m_ended) {
        if (each.at(0).get<std::uint64_t>() <= seen && each.at(3) == "done") {
            tell("noted", each.at(1), each.at(2), now_ms);
        }
    }
    m_ended.erase(std::remove_if(
                      m_ended.begin(), m_ended.end(),
                      [seen](const json& each) { return each.at(0).get<std::uint64_t>() <= seen; }),
                  m_ended.end());
    const auto wait = std::min(body.value("wait-ms", std::int64_t{0}), longest_wait_ms);
    if (wait == 0 || !m_ended.empty()) {
        respond(json_response(ok, lists(now_ms)));
        return;
    }
    m_holds.push_back({now_ms + wait, std::move(respond)});
}

std::string task_worker::lists(std::int64_t now_ms) const
{
    auto running = json::array();
    for (const auto& [task, held] : m_runs) {
        constexpr std::int64_t whole = 100;
        std::int64_t percent = whole;
        if (held.m_done_ms) {
            const auto length = std::max<std::int64_t>(*held.m_done_ms - held.m_began_ms, 1);
            percent = std::min(whole, (now_ms - held.m_began_ms) * whole / length);
        }
        running.push_back({task, held.m_run, "", percent, 0});
    }
    auto ended = json::array();
    for (const auto& each : m_ended) {
        if (ended.size() < most_listed_ends) {
            ended.push_back(each);
        }
    }
    return json{{"clock-ms", clock(now_ms)},
                {"born", m_born_ms},
                {"running", std::move(running)},
                {"ended", std::move(ended)}}
        .dump();
}

void task_worker::end(const std::string& task, const std::string& how, std::int64_t now_ms)
{
    const auto found = m_runs.find(task);
    const auto run = found->second.m_run;
    m_runs.erase(found);
    auto& barred = m_barred[task];
    barred = std::max(barred, run);
    m_ended.push_back({m_next_end++, task, run, how, ""});
    tell(how, task, run, now_ms);
}

void task_worker::tick(std::int64_t now_ms)
{
    std::vector<std::pair<std::string, std::string>> over;
    for (const auto& [task, held] : m_runs) {
        if (clock(now_ms) >= m_lease_end) {
            over.emplace_back(task, "lapsed");
        }
        else if (held.m_stopped_ms && now_ms >= *held.m_stopped_ms) {
            over.emplace_back(task, "stopped");
        }
        else if (held.m_done_ms && now_ms >= *held.m_done_ms) {
            over.emplace_back(task, held.m_fails ? "failed" : "done");
        }
    }
    for (const auto& [task, how] : over) {
        end(task, how, now_ms);
    }
    auto holds = std::move(m_holds);
    m_holds.clear();
    for (auto& each : holds) {
        if (!m_ended.empty() || now_ms >= each.m_until_ms) {
            each.m_respond(json_response(ok, lists(now_ms)));
        }
        else {
            m_holds.push_back(std::move(each));
        }
    }
}

void task_worker::end_life(std::int64_t now_ms)
{
    for (const auto& [task, held] : m_runs) {
        tell("killed", task, held.m_run, now_ms);
    }
    m_runs.clear();
    m_holds.clear();
}

void task_worker::tell(const std::string& what, const std::string& task, std::uint64_t run,
                       std::int64_t now_ms) const
{
    m_sink({now_ms, what, task, run, m_id, m_born_ms});
}

} // namespace standins
