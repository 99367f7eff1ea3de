/// @file
/// `peridot-load`: sends an open-loop load and reports what became of it.

#include "peridotrudder/base/hash.hpp"
#include "peridotrudder/base/stop_signal.hpp"
#include "peridotrudder/contracts/contract.hpp"
#include "peridotrudder/links/http_client.hpp"
#include "peridotrudder/settings/ini_reader.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <queue>
#include <random>
#include <thread>

DEFINE_string(workload, "", "INI file of the workload");
DEFINE_uint64(seed, 1, "Seed of arrivals and run times");
DEFINE_uint32(duration_s, 10, "Time over which requests arrive");
DEFINE_string(json_out, "", "File for the report as JSON");
DEFINE_string(csv_out, "", "File for one line per request");
DEFINE_bool(check, false, "Ask the workers' ledgers, and fail if a request was lost or doubled");

namespace {

using namespace peridotrudder;

constexpr milliseconds caller_timeout{30'000};
constexpr milliseconds retry_pause{300};
constexpr std::uint32_t max_tries = 20;
constexpr std::uint64_t percent = 100;

/// One stream of like requests.
struct stream {
    std::string m_name;
    std::string m_api_key;
    std::string m_customer;
    std::string m_pool;
    /// Level of the `Priority` header.
    std::uint64_t m_urgency{0};
    std::uint64_t m_per_second{0};
    std::uint64_t m_run_ms{0};
    /// Requests in a hundred that run `m_straggler_ms` instead.
    std::uint64_t m_straggler_percent{0};
    std::uint64_t m_straggler_ms{0};
    /// Whether requests are POST with an idempotency key, else GET.
    bool m_keyed{false};
    /// For turns of demand: in each period the stream asks `turn_factor` times its mean for
    /// `turn_ms`, and a twentieth of it in between. Zero for a steady stream.
    std::uint64_t m_period_ms{0};
    std::uint64_t m_turn_ms{0};
    std::uint64_t m_turn_start_ms{0};
    std::uint64_t m_turn_factor{1};
};

struct workload {
    std::vector<std::string> m_entries;
    std::vector<std::string> m_workers;
    std::vector<stream> m_streams;
};

/// What became of one request after all its tries.
struct request_end {
    std::size_t m_stream{0};
    std::string m_key;
    std::string m_code;
    std::uint32_t m_tries{0};
    /// Time of the first try, from the start of the load.
    double m_arrival_ms{0};
    double m_latency_ms{0};
    std::uint64_t m_run_ms{0};
};

tl::expected<workload, std::vector<settings_error>> load_workload(const std::string& path)
{
    auto opened = ini_reader::open(path);
    if (!opened) {
        return tl::make_unexpected(std::vector<settings_error>{opened.error()});
    }
    auto& reader = *opened;
    workload value;
    value.m_entries = reader.list("targets", "entries");
    value.m_workers = reader.list("targets", "workers");
    constexpr std::uint64_t most = 1'000'000;
    for (const auto& section : reader.sections()) {
        if (section.compare(0, 7, "stream.") != 0) {
            continue;
        }
        stream each;
        each.m_name = section.substr(7);
        each.m_api_key = reader.text(section, "api_key");
        each.m_customer = reader.text(section, "customer");
        each.m_pool = reader.text(section, "pool");
        each.m_urgency = reader.number(section, "urgency", 0, 7);
        each.m_per_second = reader.number(section, "per_second", 1, most);
        each.m_run_ms = reader.number(section, "run_ms", 0, most);
        each.m_straggler_percent = reader.number_or(section, "straggler_percent", 0, percent, 0);
        each.m_straggler_ms = reader.number_or(section, "straggler_ms", 0, most, 0);
        each.m_keyed = reader.number_or(section, "keyed", 0, 1, 0) == 1;
        each.m_period_ms = reader.number_or(section, "period_ms", 0, most, 0);
        each.m_turn_ms = reader.number_or(section, "turn_ms", 0, most, 0);
        each.m_turn_start_ms = reader.number_or(section, "turn_start_ms", 0, most, 0);
        each.m_turn_factor = reader.number_or(section, "turn_factor", 1, percent, 1);
        value.m_streams.push_back(std::move(each));
    }
    auto errors = reader.finish();
    if (!errors.empty()) {
        return tl::make_unexpected(std::move(errors));
    }
    return value;
}

class load_run {
public:
    explicit load_run(workload value)
        : m_workload{std::move(value)},
          m_client{http_client::create()}
    {
    }

    void run()
    {
        std::thread retries{[this] { run_retries(); }};
        std::vector<std::thread> streams;
        for (std::size_t index = 0; index < m_workload.m_streams.size(); ++index) {
            streams.emplace_back([this, index] { run_stream(index); });
        }
        for (auto& each : streams) {
            each.join();
        }
        while (m_open > 0) {
            std::this_thread::sleep_for(milliseconds{20});
        }
        m_stopping = true;
        retries.join();
    }

    const std::vector<request_end>& ends() const { return m_ends; }
    const workload& what() const { return m_workload; }

private:
    struct attempt {
        std::size_t m_stream{0};
        std::string m_key;
        std::uint64_t m_run_ms{0};
        std::uint32_t m_tries{0};
        time_point m_first_sent;
        std::size_t m_entry{0};
        /// What the last entry that could be reached said; empty before.
        std::string m_last_word;
    };

    double rate_at(const stream& each, milliseconds since_start) const
    {
        const auto mean = static_cast<double>(each.m_per_second);
        if (each.m_period_ms == 0) {
            return mean;
        }
        const auto phase = static_cast<std::uint64_t>(since_start.count()) % each.m_period_ms;
        const bool turn =
            phase >= each.m_turn_start_ms && phase < each.m_turn_start_ms + each.m_turn_ms;
        constexpr double rest_share = 0.05;
        return turn ? mean * static_cast<double>(each.m_turn_factor) : mean * rest_share;
    }

    void run_stream(std::size_t index)
    {
        const auto& each = m_workload.m_streams[index];
        std::mt19937_64 random{FLAGS_seed * 1'000 + index};
        std::exponential_distribution<double> gap{1.0};
        std::uniform_int_distribution<std::uint64_t> share{0, percent - 1};
        const auto start = std::chrono::steady_clock::now();
        const auto end = start + std::chrono::seconds{FLAGS_duration_s};
        auto next = start;
        for (std::uint64_t number = 0; !stop_requested(); ++number) {
            const double rate = rate_at(each, remaining(start, next));
            next += std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                std::chrono::duration<double>(gap(random) / rate));
            if (next >= end) {
                return;
            }
            std::this_thread::sleep_until(next);
            const bool straggler = share(random) < each.m_straggler_percent;
            attempt made;
            made.m_stream = index;
            made.m_key = fmt::format("{}-{}-{}", each.m_name, FLAGS_seed, number);
            made.m_run_ms = straggler ? each.m_straggler_ms : each.m_run_ms;
            made.m_first_sent = next;
            made.m_entry = random() % m_workload.m_entries.size();
            ++m_open;
            send(std::move(made));
        }
    }

    void send(attempt made)
    {
        const auto& each = m_workload.m_streams[made.m_stream];
        http_call request;
        request.m_method = each.m_keyed ? "POST" : "GET";
        request.m_url = fmt::format("{}/v1/{}/{}?run_ms={}", m_workload.m_entries[made.m_entry],
                                    each.m_pool, each.m_name, made.m_run_ms);
        request.m_timeout = caller_timeout;
        request.m_headers.push_back({"Authorization", "Bearer " + each.m_api_key});
        request.m_headers.push_back({"Priority", fmt::format("u={}", each.m_urgency)});
        if (each.m_keyed) {
            request.m_headers.push_back({"Idempotency-Key", made.m_key});
            request.m_body = fmt::format("{{\"report\":\"{}\"}}", made.m_key);
        }
        ++made.m_tries;
        m_client->send(std::move(request), [this, made = std::move(made)](
                                               const http_result& result) { take(made, result); });
    }

    void take(const attempt& made, const http_result& result)
    {
        const bool answered = result.has_value();
        const bool whole = answered && result->m_status < 400 && is_own(made, result->m_body);
        // An entry that cannot be reached says nothing of the request: an earlier word stands.
        const std::string told = whole ? "done" : code_of(result);
        const bool unreached = told == "not_connected" && !made.m_last_word.empty();
        const std::string code = unreached ? made.m_last_word : told;
        const bool again = !whole && m_workload.m_streams[made.m_stream].m_keyed &&
                           made.m_tries < max_tries && code != "over_limit";
        if (again) {
            const std::lock_guard<std::mutex> lock{m_mutex};
            auto next = made;
            next.m_last_word = code == "not_connected" ? "" : code;
            m_retries.emplace(std::chrono::steady_clock::now() + retry_pause, std::move(next));
            return;
        }
        request_end end;
        end.m_stream = made.m_stream;
        end.m_key = made.m_key;
        end.m_code = code;
        end.m_tries = made.m_tries;
        end.m_run_ms = made.m_run_ms;
        end.m_arrival_ms =
            std::chrono::duration<double, std::milli>(made.m_first_sent - m_start).count();
        end.m_latency_ms = std::chrono::duration<double, std::milli>(
                               std::chrono::steady_clock::now() - made.m_first_sent)
                               .count();
        {
            const std::lock_guard<std::mutex> lock{m_mutex};
            m_ends.push_back(std::move(end));
        }
        --m_open;
    }

    /// Returns whether the answer is this request's own.
    bool is_own(const attempt& made, const std::string& body) const
    {
        const auto json = parse_json(body);
        if (!json || !json->is_object()) {
            return false;
        }
        const auto& each = m_workload.m_streams[made.m_stream];
        return json->value("path", "") == "/" + each.m_name &&
               (!each.m_keyed || json->value("echo", "").find(made.m_key) != std::string::npos);
    }

    static std::string code_of(const http_result& result)
    {
        if (!result) {
            return result.error() == transport_fault::not_connected ? "not_connected" : "no_answer";
        }
        const auto json = parse_json(result->m_body);
        if (!json || !json->is_object() || !json->contains("reason")) {
            return result->m_status < 400 ? "wrong_answer"
                                          : fmt::format("status_{}", result->m_status);
        }
        return (*json)["code"].get<std::string>() + "/" + (*json)["reason"].get<std::string>();
    }

    void run_retries()
    {
        while (!m_stopping) {
            std::this_thread::sleep_for(milliseconds{10});
            std::vector<attempt> due;
            {
                const std::lock_guard<std::mutex> lock{m_mutex};
                const auto end = m_retries.upper_bound(std::chrono::steady_clock::now());
                for (auto each = m_retries.begin(); each != end; ++each) {
                    due.push_back(each->second);
                }
                m_retries.erase(m_retries.begin(), end);
            }
            for (auto& each : due) {
                // The balancer sends a repeated call to another entry.
                each.m_entry = (each.m_entry + 1) % m_workload.m_entries.size();
                send(each);
            }
        }
    }

    workload m_workload;
    time_point m_start{std::chrono::steady_clock::now()};
    std::atomic<std::size_t> m_open{0};
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    std::multimap<time_point, attempt> m_retries;
    std::vector<request_end> m_ends;
    std::unique_ptr<http_client> m_client;
};

double quantile(std::vector<double>& values, double of)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(of * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

/// Returns the class that a level of the `Priority` header asks for.
std::string class_of(std::uint64_t urgency)
{
    constexpr std::uint64_t last_urgent = 1;
    constexpr std::uint64_t last_normal = 4;
    if (urgency <= last_urgent) {
        return std::string{to_string(work_class::urgent)};
    }
    return std::string{
        to_string(urgency <= last_normal ? work_class::normal : work_class::archive)};
}

nlohmann::json report_streams(const load_run& load)
{
    auto report = nlohmann::json::array();
    for (std::size_t index = 0; index < load.what().m_streams.size(); ++index) {
        std::map<std::string, std::size_t> codes;
        std::vector<double> overheads;
        std::size_t count = 0;
        std::size_t tries = 0;
        for (const auto& each : load.ends()) {
            if (each.m_stream != index) {
                continue;
            }
            ++count;
            tries += each.m_tries;
            ++codes[each.m_code];
            if (each.m_code == "done") {
                // What the system added to the run time: waiting, mostly.
                overheads.push_back(each.m_latency_ms - static_cast<double>(each.m_run_ms));
            }
        }
        report.push_back({{"stream", load.what().m_streams[index].m_name},
                          {"class", class_of(load.what().m_streams[index].m_urgency)},
                          {"requests", count},
                          {"tries", tries},
                          {"codes", codes},
                          {"wait_p50_ms", quantile(overheads, 0.5)},
                          {"wait_p99_ms", quantile(overheads, 0.99)},
                          {"wait_p999_ms", quantile(overheads, 0.999)},
                          {"wait_max_ms", quantile(overheads, 1.0)}});
    }
    return report;
}

void print_streams(const nlohmann::json& report)
{
    std::cout << fmt::format("{:<16} {:<8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9}  {}\n", "STREAM",
                             "CLASS", "REQUESTS", "TRIES", "WAIT-P50", "P99", "P99.9", "MAX",
                             "CODES");
    for (const auto& each : report) {
        std::cout << fmt::format(
            "{:<16} {:<8} {:>8} {:>8} {:>9.1f} {:>9.1f} {:>9.1f} {:>9.1f}  {}\n",
            each["stream"].get<std::string>(), each["class"].get<std::string>(),
            each["requests"].get<int>(), each["tries"].get<int>(),
            each["wait_p50_ms"].get<double>(), each["wait_p99_ms"].get<double>(),
            each["wait_p999_ms"].get<double>(), each["wait_max_ms"].get<double>(),
            each["codes"].dump());
    }
}

/// Runs of each key by the ledgers of all workers; nothing if a ledger cannot be read.
std::optional<std::map<std::string, std::uint64_t>> read_ledgers(const workload& value)
{
    std::map<std::string, std::uint64_t> runs;
    for (const auto& worker : value.m_workers) {
        http_call query;
        query.m_url = worker + "/ledger";
        const auto answer = fetch(query);
        const auto json = answer ? parse_json(answer->m_body) : parse_json("");
        if (!json) {
            std::cerr << "no ledger at " << worker << '\n';
            return std::nullopt;
        }
        for (const auto& [key, count] : (*json)["runs"].items()) {
            runs[key] += count.get<std::uint64_t>();
        }
    }
    return runs;
}

/// Compares what callers were told with what the workers ran.
nlohmann::json check_promises(const load_run& load,
                              const std::map<std::string, std::uint64_t>& runs)
{
    std::uint64_t doubled = 0;
    std::uint64_t lost = 0;
    std::uint64_t false_not_run = 0;
    std::uint64_t wrong = 0;
    for (const auto& [key, count] : runs) {
        doubled += count > 1 ? 1 : 0;
    }
    for (const auto& each : load.ends()) {
        const auto& from = load.what().m_streams[each.m_stream];
        const auto found = runs.find(from.m_customer + "/" + each.m_key);
        const bool ran = found != runs.end();
        lost += from.m_keyed && each.m_code == "done" && !ran ? 1 : 0;
        // The last word on a key counts: it was told after all tries.
        false_not_run += ran && each.m_code.compare(0, 8, "not_run/") == 0 ? 1 : 0;
        wrong += each.m_code == "wrong_answer" ? 1 : 0;
    }
    return {{"doubled", doubled},
            {"lost", lost},
            {"false_not_run", false_not_run},
            {"wrong_answers", wrong}};
}

int finish(const load_run& load)
{
    nlohmann::json report = {{"seed", FLAGS_seed}, {"duration_s", FLAGS_duration_s}};
    report["streams"] = report_streams(load);
    print_streams(report["streams"]);
    int code = 0;
    if (FLAGS_check) {
        const auto runs = read_ledgers(load.what());
        if (!runs) {
            return 3;
        }
        report["promises"] = check_promises(load, *runs);
        std::cout << "promises: " << report["promises"].dump() << '\n';
        for (const auto& [name, count] : report["promises"].items()) {
            code = count.get<std::uint64_t>() > 0 ? 4 : code;
        }
    }
    if (!FLAGS_json_out.empty()) {
        std::ofstream{FLAGS_json_out} << report.dump(2) << '\n';
    }
    if (!FLAGS_csv_out.empty()) {
        std::ofstream csv{FLAGS_csv_out};
        csv << "stream,key,code,tries,arrival_ms,latency_ms,run_ms,urgency,pool\n";
        for (const auto& each : load.ends()) {
            const auto& from = load.what().m_streams[each.m_stream];
            csv << fmt::format("{},{},{},{},{:.3f},{:.3f},{},{},{}\n", from.m_name, each.m_key,
                               each.m_code, each.m_tries, each.m_arrival_ms, each.m_latency_ms,
                               each.m_run_ms, from.m_urgency, from.m_pool);
        }
    }
    return code;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "--workload FILE [--seed N] [--duration_s N] [--check]\n\n"
        "Sends an open-loop load and reports what became of it.\n"
        "Exit codes: 0 done, 2 bad workload, 3 a ledger is missing, 4 a promise was broken.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto value = load_workload(FLAGS_workload);
    if (!value) {
        for (const auto& each : value.error()) {
            std::cerr << to_text(each) << '\n';
        }
        return 2;
    }
    install_stop_signals();
    load_run load{std::move(*value)};
    load.run();
    return finish(load);
}
