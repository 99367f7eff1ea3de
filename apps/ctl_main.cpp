/// @file
/// `peridotctl`: the operator's command line.

#include "peridotrudder/entry/operator_api.hpp"
#include "peridotrudder/links/http_client.hpp"
#include "peridotrudder/node/operator_question.hpp"
#include "peridotrudder/scheduling/placement_report.hpp"
#include "peridotrudder/settings/entry_settings.hpp"
#include "peridotrudder/telemetry/log_timeline.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

constexpr auto default_cpu_millis = peridotrudder::default_task_resources.m_cpu_millis;
constexpr auto default_memory_mb = peridotrudder::default_task_resources.m_memory_mb;
constexpr auto default_estimate_ms = peridotrudder::default_task_estimate.count();

} // namespace

DEFINE_string(url, "http://127.0.0.1:7001", "URL of any entry's operator port");
DEFINE_string(token_file, "", "File with the operator token");
DEFINE_bool(json, false, "Print JSON instead of tables");
DEFINE_bool(wait, false, "Wait until every entry has applied the change");
DEFINE_uint32(timeout_s, 30, "Timeout of --wait, in seconds");
DEFINE_string(tenant, "", "Tenant of the task that `where` asks for without a job");
DEFINE_int64(cpu_millis, default_cpu_millis, "Its CPU, in thousandths of a core");
DEFINE_int64(memory_mb, default_memory_mb, "Its memory, in MB");
DEFINE_int64(accelerators, 0, "Its accelerators");
DEFINE_int64(estimate_ms, default_estimate_ms, "Its estimated run time, in milliseconds");
DEFINE_string(label, "", "Label that its worker must have");
DEFINE_string(data_rack, "", "Rack that holds its input");
DEFINE_uint32(workers, peridotrudder::default_listed_workers,
              "Workers that `where` lists, at most 100");
DEFINE_string(reason, "", "Reason for the change; recorded in the fleet's history");

namespace {

using namespace peridotrudder;

/// Exit codes; each kind of failure has its own, so that scripts can react to it.
enum exit_code {
    exit_ok = 0,
    exit_usage = 1,
    exit_bad_settings = 2,
    exit_unreachable = 3,
    exit_refused = 4,
    exit_conflict = 5,
    exit_log_unavailable = 6,
    exit_unknown_outcome = 7,
    exit_no_answer = 8,
};

constexpr const char* usage =
    "COMMAND ...\n\n"
    "  contract apply FILE            apply every contract in an INI file\n"
    "  contract list                  list contracts\n"
    "  contract show CUSTOMER         show a contract and the limits derived from it\n"
    "  contract remove CUSTOMER       end a contract\n"
    "  maintenance declare ID POOL    reboot each VM of a pool once\n"
    "  maintenance cancel ID          cancel a maintenance wave\n"
    "  maintenance status             list maintenance waves\n"
    "  status                         show entries, pools and the planner's term\n"
    "  explain vm|customer|wave NAME  show an object with its history\n"
    "  explain request ID             show the trace spans of a request\n"
    "  explain job|worker|vm ID LOG.. show its timeline from log files of scheduler nodes\n"
    "  where QUEUE [JOB]              show where a task of the queue or job would start now, and\n"
    "                                 why; --url is the metrics port of any scheduler node\n"
    "  settings check FILE            check the settings of an entry VM\n"
    "  contracts check FILE           check a contracts file\n\n"
    "Exit codes: 0 done, 1 usage error, 2 invalid settings or contracts, 3 entry unreachable,\n"
    "4 refused, 5 conflict with another operator's change, 6 log unavailable (no effect),\n"
    "7 outcome unknown (the change may still take effect), 8 no owner that can answer.";

std::string read_token()
{
    std::ifstream file{FLAGS_token_file};
    std::string token;
    file >> token;
    return token;
}

/// Sends a request without the operator's token, which only entries need.
http_result send_without_token(const std::string& url, const std::string& method,
                               const std::string& path, std::string body,
                               std::vector<http_header> headers = {})
{
    http_call call;
    call.m_method = method;
    call.m_url = url + path;
    call.m_body = std::move(body);
    call.m_timeout = milliseconds{20'000};
    call.m_may_reuse_connection = false;
    call.m_headers = std::move(headers);
    return fetch(call);
}

http_result send_request(const std::string& url, const std::string& method, const std::string& path,
                         std::string body)
{
    return send_without_token(url, method, path, std::move(body),
                              {{"Authorization", "Bearer " + read_token()}});
}

int to_exit_code(const http_response& response)
{
    const auto body = parse_json(response.m_body);
    if (response.m_status < 300) {
        return exit_ok;
    }
    if (response.m_status == 409) {
        return exit_conflict;
    }
    if (response.m_status == 503 && body && body->value("error", "") == "log_unavailable") {
        return exit_log_unavailable;
    }
    return response.m_status == 503 ? exit_unknown_outcome : exit_refused;
}

int print_errors(const std::vector<settings_error>& errors)
{
    for (const auto& error : errors) {
        std::cerr << to_text(error) << '\n';
    }
    return exit_bad_settings;
}

std::optional<nlohmann::json> get_json(const std::string& url, const std::string& path, int& code)
{
    const auto response = send_request(url, "GET", path, "");
    if (!response) {
        std::cerr << "cannot get a response from the entry at " << url << '\n';
        code = exit_unreachable;
        return std::nullopt;
    }
    code = to_exit_code(*response);
    if (code != exit_ok) {
        std::cerr << response->m_body << '\n';
        return std::nullopt;
    }
    const auto body = parse_json(response->m_body);
    return body ? std::optional{*body} : std::nullopt;
}

std::optional<fleet_state> get_state(int& code)
{
    const auto body = get_json(FLAGS_url, "/v1/state", code);
    if (!body) {
        return std::nullopt;
    }
    auto state = fleet_state::from_json(*body);
    return state ? std::optional{std::move(*state)} : std::nullopt;
}

/// Returns whether every entry in the membership view has applied the log record at `offset`.
bool is_applied_everywhere(std::uint64_t offset)
{
    int code = exit_ok;
    const auto state = get_state(code);
    if (!state) {
        return false;
    }
    const auto& members = state->current_view().m_members;
    return std::all_of(members.begin(), members.end(), [&](const member& entry) {
        const auto url = fmt::format("http://{}:{}", entry.m_address, entry.m_operator_port);
        const auto body = get_json(url, "/v1/offset", code);
        return body && body->value("next_offset", std::uint64_t{0}) > offset;
    });
}

int wait_until_applied(std::uint64_t offset)
{
    constexpr milliseconds pause{50};
    const auto begin = std::chrono::steady_clock::now();
    const auto deadline = begin + std::chrono::seconds{FLAGS_timeout_s};
    while (!is_applied_everywhere(offset)) {
        if (std::chrono::steady_clock::now() >= deadline) {
            std::cerr << "change accepted, but not every entry confirmed it within --timeout_s\n";
            return exit_unknown_outcome;
        }
        std::this_thread::sleep_for(pause);
    }
    std::cout << "applied by every entry after "
              << remaining(begin, std::chrono::steady_clock::now()).count() << " ms\n";
    return exit_ok;
}

int submit_change(const std::string& method, const std::string& path, change_request request)
{
    if (!FLAGS_reason.empty()) {
        request.m_reason = FLAGS_reason;
    }
    const auto response = send_request(FLAGS_url, method, path, encode_json(request).dump());
    if (!response) {
        std::cerr << "no response from " << FLAGS_url << '\n';
        return response.error() == transport_fault::not_connected ? exit_unreachable
                                                                  : exit_unknown_outcome;
    }
    std::cout << path << ' ' << response->m_body << '\n';
    const auto result = decode_text<fold_result>(response->m_body);
    const int code = to_exit_code(*response);
    if (code == exit_ok && FLAGS_wait && result) {
        return wait_until_applied(result->m_offset);
    }
    return code;
}

int apply_contracts(const std::string& file)
{
    const auto contracts = load_contracts(file);
    if (!contracts) {
        return print_errors(contracts.error());
    }
    int code = exit_ok;
    const auto state = get_state(code);
    if (!state) {
        return code;
    }
    for (const auto& new_contract : *contracts) {
        change_request request;
        request.m_based_on = state->next_offset();
        request.m_contract = new_contract;
        code = std::max(code,
                        submit_change("PUT", "/v1/contracts/" + new_contract.m_customer, request));
    }
    return code;
}

int list_contracts()
{
    int code = exit_ok;
    const auto state = get_state(code);
    if (!state) {
        return code;
    }
    if (FLAGS_json) {
        auto list = nlohmann::json::array();
        for (const auto& [customer, contract_state] : state->contracts()) {
            list.push_back(encode_json(contract_state));
        }
        std::cout << list.dump(2) << '\n';
        return exit_ok;
    }
    std::cout << fmt::format("{:<20} {:<8} {:>6} {:>5} {:>8} {:>10}  {}\n", "CUSTOMER", "CLASS",
                             "SLOTS", "AWAY", "WAIT-MS", "AVAIL-PPM", "POOLS");
    for (const auto& [customer, contract_state] : state->contracts()) {
        const auto& terms = contract_state.m_contract;
        std::cout << fmt::format("{:<20} {:<8} {:>6} {:>5} {:>8} {:>10}  {}\n", customer,
                                 to_string(terms.m_class), terms.m_capacity_slots, terms.m_vms_away,
                                 terms.m_time_to_wait.count(), terms.m_availability_ppm,
                                 fmt::join(terms.m_pools, ","));
    }
    return exit_ok;
}

int list_waves()
{
    int code = exit_ok;
    const auto state = get_state(code);
    if (!state) {
        return code;
    }
    std::cout << fmt::format("{:<20} {:<16} {:<10} {:>5} {:>8}\n", "WAVE", "POOL", "STATUS", "DONE",
                             "PENDING");
    for (const auto& [id, wave_state] : state->waves()) {
        std::cout << fmt::format("{:<20} {:<16} {:<10} {:>5} {:>8}\n", id, wave_state.m_wave.m_pool,
                                 to_string(wave_state.m_status), wave_state.m_done.size(),
                                 wave_state.m_pending.size());
    }
    return exit_ok;
}

/// The number of VMs of one pool in each phase, and the sum of their slots.
struct pool_counts {
    std::uint32_t m_serving{0};
    std::uint32_t m_draining{0};
    std::uint32_t m_away{0};
    std::uint32_t m_slots{0};
};

int show_status()
{
    int code = exit_ok;
    const auto state = get_state(code);
    if (!state) {
        return code;
    }
    if (FLAGS_json) {
        std::cout << state->to_json().dump(2) << '\n';
        return exit_ok;
    }
    std::cout << fmt::format("log offset {}, term {} held by {}\n\n", state->next_offset(),
                             state->term().m_number, state->term().m_holder);
    std::cout << fmt::format("{:<12} {:<18} {:<10} {}\n", "ENTRY", "INCARNATION", "ZONE",
                             "ADDRESS");
    for (const auto& member : state->current_view().m_members) {
        std::cout << fmt::format("{:<12} {:<18} {:<10} {}:{}\n", member.m_entry,
                                 member.m_incarnation, member.m_zone, member.m_address,
                                 member.m_operator_port);
    }
    std::map<std::string, pool_counts> pools;
    for (const auto& [id, vm_state] : state->vms()) {
        auto& counts = pools[vm_state.m_vm.m_pool];
        counts.m_slots += vm_state.m_vm.m_slots;
        counts.m_serving += vm_state.m_phase == vm_phase::serving ? 1 : 0;
        counts.m_draining += vm_state.m_phase == vm_phase::draining ? 1 : 0;
        counts.m_away += vm_state.m_phase == vm_phase::away ? 1 : 0;
    }
    std::cout << fmt::format("\n{:<16} {:>8} {:>9} {:>5} {:>6}\n", "POOL", "SERVING", "DRAINING",
                             "AWAY", "SLOTS");
    for (const auto& [pool, counts] : pools) {
        std::cout << fmt::format("{:<16} {:>8} {:>9} {:>5} {:>6}\n", pool, counts.m_serving,
                                 counts.m_draining, counts.m_away, counts.m_slots);
    }
    return exit_ok;
}

int explain(const std::string& kind, const std::string& name)
{
    int code = exit_ok;
    const auto body = get_json(FLAGS_url, fmt::format("/v1/explain/{}/{}", kind, name), code);
    if (body) {
        std::cout << body->dump(2) << '\n';
    }
    return code;
}

/// Prints the trace spans that each entry keeps for a request.
int explain_request(const std::string& id)
{
    int code = exit_ok;
    const auto state = get_state(code);
    if (!state) {
        return code;
    }
    for (const auto& member : state->current_view().m_members) {
        const auto url = fmt::format("http://{}:{}", member.m_address, member.m_operator_port);
        const auto body = get_json(url, "/v1/requests/" + id, code);
        if (!body) {
            continue;
        }
        const auto& spans = (*body)["resourceSpans"][0]["scopeSpans"][0]["spans"];
        for (const auto& span : spans) {
            const auto start = std::stoull(span["startTimeUnixNano"].get<std::string>());
            const auto end = std::stoull(span["endTimeUnixNano"].get<std::string>());
            std::cout << fmt::format(
                "{:<12} {:<10} {:>10.3f} ms  {}\n", member.m_entry, span["name"].get<std::string>(),
                static_cast<double>(end - start) / 1e6,
                span["attributes"][1]["value"]["stringValue"].get<std::string>());
        }
    }
    return exit_ok;
}

placement_question make_question(gsl::span<const std::string> names)
{
    placement_question question;
    question.m_queue = names[0];
    question.m_listed_workers = FLAGS_workers;
    if (names.size() > 1) {
        question.m_job = names[1];
        return question;
    }
    question.m_tenant = FLAGS_tenant;
    question.m_cpu_millis = FLAGS_cpu_millis;
    question.m_memory_mb = FLAGS_memory_mb;
    question.m_accelerators = FLAGS_accelerators;
    question.m_estimate = milliseconds{FLAGS_estimate_ms};
    question.m_label = FLAGS_label;
    question.m_data_rack = FLAGS_data_rack;
    return question;
}

int to_exit_code(placement_error error)
{
    switch (error) {
    case placement_error::none:
        return exit_ok;
    case placement_error::bad_question:
        return exit_usage;
    case placement_error::unknown_queue:
    case placement_error::unknown_tenant:
    case placement_error::unknown_job:
    case placement_error::job_ended:
        return exit_refused;
    case placement_error::no_configuration:
    case placement_error::too_much_waiting:
    case placement_error::busy:
    case placement_error::no_owner:
    case placement_error::not_supported:
        break;
    }
    return exit_no_answer;
}

/// Prints where a task would start now. The names are those of a queue and, optionally, a job.
int show_placement(gsl::span<const std::string> names)
{
    const auto question = make_question(names);
    if (!split_queue(question.m_queue)) {
        std::cerr << "a queue is HOST/PATH, such as jobs.example/render/\n";
        return exit_usage;
    }
    const auto response = send_without_token(FLAGS_url, "POST", std::string{placement_path},
                                             encode_json(question).dump());
    if (!response) {
        std::cerr << "cannot get a response from the node at " << FLAGS_url << '\n';
        return exit_unreachable;
    }
    const auto report = decode_text<placement_report>(response->m_body);
    if (!report) {
        std::cerr << FLAGS_url << " is no scheduler node's metrics port, or of another version\n";
        return exit_refused;
    }
    const int code = to_exit_code(report->m_error);
    if (FLAGS_json) {
        std::cout << encode_json(*report).dump(2) << '\n';
    }
    else {
        (code == exit_ok ? std::cout : std::cerr) << to_text(*report);
    }
    return code;
}

int check_settings(const std::string& file)
{
    const auto settings = load_entry_settings(file);
    if (!settings) {
        return print_errors(settings.error());
    }
    std::cout << file << ": valid\n";
    return exit_ok;
}

int check_contracts(const std::string& file)
{
    const auto contracts = load_contracts(file);
    if (!contracts) {
        return print_errors(contracts.error());
    }
    std::cout << file << ": " << contracts->size() << " valid contracts\n";
    return exit_ok;
}

int declare_wave(const std::string& id, const std::string& pool)
{
    change_request request;
    request.m_wave = maintenance_wave{id, pool};
    return submit_change("PUT", "/v1/waves/" + id, request);
}

/// Prints the timeline of a job, worker or VM from the log files of scheduler nodes, for a job
/// after a summary.
int explain_by_logs(const std::string& kind, const std::string& id,
                    gsl::span<const std::string> paths)
{
    std::vector<log_source> sources;
    for (const auto& path : paths) {
        std::ifstream file{path};
        if (!file) {
            std::cerr << "cannot read " << path << '\n';
            return exit_usage;
        }
        std::ostringstream text;
        text << file.rdbuf();
        const auto name = path.substr(path.find_last_of('/') + 1);
        sources.push_back({name.substr(0, name.rfind('.')), text.str()});
    }
    const auto entries = build_timeline(id, sources);
    if (entries.empty()) {
        std::cerr << "no log line contains " << id << '\n';
        return exit_refused;
    }
    if (kind == "job") {
        for (const auto& line : describe_summary(summarize_job(entries))) {
            std::cout << line << '\n';
        }
    }
    for (const auto& entry : entries) {
        std::cout << fmt::format("{}  {:<14} {:<18} {}\n", entry.m_time, entry.m_node,
                                 entry.m_event, entry.m_fields);
    }
    return exit_ok;
}

int run_command(const std::vector<std::string>& arguments)
{
    const auto matches = [&](std::string_view noun, std::string_view verb, std::size_t count) {
        return arguments.size() == count && arguments[0] == noun &&
               (verb.empty() || arguments[1] == verb);
    };
    if (matches("contract", "apply", 3)) {
        return apply_contracts(arguments[2]);
    }
    if (matches("contract", "list", 2)) {
        return list_contracts();
    }
    if (matches("contract", "show", 3)) {
        return explain("customer", arguments[2]);
    }
    if (matches("contract", "remove", 3)) {
        return submit_change("DELETE", "/v1/contracts/" + arguments[2], {});
    }
    if (matches("maintenance", "declare", 4)) {
        return declare_wave(arguments[2], arguments[3]);
    }
    if (matches("maintenance", "cancel", 3)) {
        return submit_change("DELETE", "/v1/waves/" + arguments[2], {});
    }
    if (matches("maintenance", "status", 2)) {
        return list_waves();
    }
    if (matches("status", "", 1)) {
        return show_status();
    }
    constexpr std::size_t first_log_index = 3;
    if (arguments.size() > first_log_index && arguments[0] == "explain") {
        return explain_by_logs(arguments[1], arguments[2],
                               gsl::make_span(arguments).subspan(first_log_index));
    }
    if (matches("explain", "request", 3)) {
        return explain_request(arguments[2]);
    }
    if (matches("explain", "", 3)) {
        return explain(arguments[1], arguments[2]);
    }
    if (matches("where", "", 2) || matches("where", "", 3)) {
        return show_placement(gsl::make_span(arguments).subspan(1));
    }
    if (matches("settings", "check", 3)) {
        return check_settings(arguments[2]);
    }
    if (matches("contracts", "check", 3)) {
        return check_contracts(arguments[2]);
    }
    std::cerr << "peridotctl " << usage << '\n';
    return exit_usage;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return run_command({argv + 1, argv + argc});
}
