/// @file
/// `peridot-load`: sends an open-loop load and reports the outcomes of its requests.

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
DEFINE_uint32(duration_s, 10, "Time over which requests arrive, in seconds");
DEFINE_string(json_out, "", "File for the report as JSON");
DEFINE_string(csv_out, "", "File for one CSV line per request");
DEFINE_bool(
    check, false,
    "Check the workers' ledgers; fail if a request was lost, ran twice or was answered wrongly");

namespace {

using namespace peridotrudder;

constexpr milliseconds caller_timeout{30'000};
constexpr milliseconds retry_pause{300};
constexpr std::uint32_t max_tries = 20;
constexpr std::uint64_t percent = 100;

/// Requests that share one customer, pool, priority and run time distribution.
struct request_stream {
    std::string m_name;
    std::string m_api_key;
    std::string m_customer;
    std::string m_pool;
    /// Urgency (`u=`) in the `Priority` header; 0 is the most urgent.
    std::uint64_t m_urgency{0};
    std::uint64_t m_per_second{0};
    std::uint64_t m_run_ms{0};
    /// Percentage of the requests that run for `m_straggler_ms` instead of `m_run_ms`.
    std::uint64_t m_straggler_percent{0};
    std::uint64_t m_straggler_ms{0};
    /// If true, sends POST requests with an idempotency key and retries failures; if false, GET.
    bool m_uses_idempotency_key{false};
    /// Period of the bursts; zero for a steady rate. In each period, from `m_burst_start_ms` on and
    /// for `m_burst_ms`, the rate is `m_burst_factor` times `m_per_second`. In the rest of the
    /// period it is a twentieth of `m_per_second`.
    std::uint64_t m_period_ms{0};
    std::uint64_t m_burst_ms{0};
    std::uint64_t m_burst_start_ms{0};
    std::uint64_t m_burst_factor{1};
};

struct workload {
    std::vector<std::string> m_entries;
    std::vector<std::string> m_workers;
    std::vector<request_stream> m_streams;
};

/// Final outcome of one request, after all its tries.
struct request_outcome {
    std::size_t m_stream_index{0};
    std::string m_key;
    std::string m_code;
    std::uint32_t m_tries{0};
    /// Scheduled time of the first try, counted from the start of the load.
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
    workload loaded;
    loaded.m_entries = reader.list("targets", "entries");
    loaded.m_workers = reader.list("targets", "workers");
    constexpr std::uint64_t max_value = 1'000'000;
    for (const auto& section : reader.sections()) {
        if (section.compare(0, 7, "stream.") != 0) {
            continue;
        }
        request_stream new_stream;
        new_stream.m_name = section.substr(7);
        new_stream.m_api_key = reader.text(section, "api_key");
        new_stream.m_customer = reader.text(section, "customer");
        new_stream.m_pool = reader.text(section, "pool");
        new_stream.m_urgency = reader.number(section, "urgency", 0, 7);
        new_stream.m_per_second = reader.number(section, "per_second", 1, max_value);
        new_stream.m_run_ms = reader.number(section, "run_ms", 0, max_value);
        new_stream.m_straggler_percent =
            reader.number_or(section, "straggler_percent", 0, percent, 0);
        new_stream.m_straggler_ms = reader.number_or(section, "straggler_ms", 0, max_value, 0);
        new_stream.m_uses_idempotency_key = reader.number_or(section, "keyed", 0, 1, 0) == 1;
        new_stream.m_period_ms = reader.number_or(section, "period_ms", 0, max_value, 0);
        new_stream.m_burst_ms = reader.number_or(section, "turn_ms", 0, max_value, 0);
        new_stream.m_burst_start_ms = reader.number_or(section, "turn_start_ms", 0, max_value, 0);
        new_stream.m_burst_factor = reader.number_or(section, "turn_factor", 1, percent, 1);
        loaded.m_streams.push_back(std::move(new_stream));
    }
    auto errors = reader.finish();
    if (!errors.empty()) {
        return tl::make_unexpected(std::move(errors));
    }
    return loaded;
}

class load_generator {
public:
    explicit load_generator(workload targets)
        : m_workload{std::move(targets)},
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
        for (auto& thread : streams) {
            thread.join();
        }
        while (m_unfinished_requests > 0) {
            std::this_thread::sleep_for(milliseconds{20});
        }
        m_stopping = true;
        retries.join();
    }

    const std::vector<request_outcome>& outcomes() const { return m_outcomes; }
    const workload& configured_workload() const { return m_workload; }

private:
    struct request_attempt {
        std::size_t m_stream_index{0};
        std::string m_key;
        std::uint64_t m_run_ms{0};
        std::uint32_t m_tries{0};
        time_point m_first_sent;
        std::size_t m_entry_index{0};
        /// Outcome code from the last entry that could be reached; empty if there was none.
        std::string m_last_code;
    };

    double rate_at(const request_stream& settings, milliseconds since_start) const
    {
        const auto mean = static_cast<double>(settings.m_per_second);
        if (settings.m_period_ms == 0) {
            return mean;
        }
        const auto time_in_period =
            static_cast<std::uint64_t>(since_start.count()) % settings.m_period_ms;
        const bool in_burst = time_in_period >= settings.m_burst_start_ms &&
                              time_in_period < settings.m_burst_start_ms + settings.m_burst_ms;
        constexpr double rate_factor_between_bursts = 0.05;
        return in_burst ? mean * static_cast<double>(settings.m_burst_factor)
                        : mean * rate_factor_between_bursts;
    }

    void run_stream(std::size_t index)
    {
        const auto& settings = m_workload.m_streams[index];
        std::mt19937_64 random{FLAGS_seed * 1'000 + index};
        std::exponential_distribution<double> unit_interval{1.0};
        std::uniform_int_distribution<std::uint64_t> percentage{0, percent - 1};
        const auto start = std::chrono::steady_clock::now();
        const auto end = start + std::chrono::seconds{FLAGS_duration_s};
        auto next = start;
        for (std::uint64_t number = 0; !stop_requested(); ++number) {
            const double rate = rate_at(settings, remaining(start, next));
            next += std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                std::chrono::duration<double>(unit_interval(random) / rate));
            if (next >= end) {
                return;
            }
            std::this_thread::sleep_until(next);
            const bool straggler = percentage(random) < settings.m_straggler_percent;
            request_attempt attempt;
            attempt.m_stream_index = index;
            attempt.m_key = fmt::format("{}-{}-{}", settings.m_name, FLAGS_seed, number);
            attempt.m_run_ms = straggler ? settings.m_straggler_ms : settings.m_run_ms;
            attempt.m_first_sent = next;
            attempt.m_entry_index = random() % m_workload.m_entries.size();
            ++m_unfinished_requests;
            send(std::move(attempt));
        }
    }

    void send(request_attempt attempt)
    {
        const auto& settings = m_workload.m_streams[attempt.m_stream_index];
        http_call request;
        request.m_method = settings.m_uses_idempotency_key ? "POST" : "GET";
        request.m_url =
            fmt::format("{}/v1/{}/{}?run_ms={}", m_workload.m_entries[attempt.m_entry_index],
                        settings.m_pool, settings.m_name, attempt.m_run_ms);
        request.m_timeout = caller_timeout;
        request.m_headers.push_back({"Authorization", "Bearer " + settings.m_api_key});
        request.m_headers.push_back({"Priority", fmt::format("u={}", settings.m_urgency)});
        if (settings.m_uses_idempotency_key) {
            request.m_headers.push_back({"Idempotency-Key", attempt.m_key});
            request.m_body = fmt::format("{{\"report\":\"{}\"}}", attempt.m_key);
        }
        ++attempt.m_tries;
        m_client->send(std::move(request),
                       [this, attempt = std::move(attempt)](const http_result& result) {
                           handle_result(attempt, result);
                       });
    }

    void handle_result(const request_attempt& attempt, const http_result& result)
    {
        const bool has_response = result.has_value();
        const bool succeeded =
            has_response && result->m_status < 400 && is_matching_response(attempt, result->m_body);
        // An unreachable entry gives no information about the request, so an earlier code is kept.
        const std::string result_code = succeeded ? "done" : outcome_code(result);
        const bool keeps_last_code = result_code == "not_connected" && !attempt.m_last_code.empty();
        const std::string code = keeps_last_code ? attempt.m_last_code : result_code;
        const bool should_retry =
            !succeeded && m_workload.m_streams[attempt.m_stream_index].m_uses_idempotency_key &&
            attempt.m_tries < max_tries && code != "over_limit";
        if (should_retry) {
            const std::lock_guard<std::mutex> lock{m_mutex};
            auto next_attempt = attempt;
            next_attempt.m_last_code = code == "not_connected" ? "" : code;
            m_waiting_retries.emplace(std::chrono::steady_clock::now() + retry_pause,
                                      std::move(next_attempt));
            return;
        }
        request_outcome outcome;
        outcome.m_stream_index = attempt.m_stream_index;
        outcome.m_key = attempt.m_key;
        outcome.m_code = code;
        outcome.m_tries = attempt.m_tries;
        outcome.m_run_ms = attempt.m_run_ms;
        outcome.m_arrival_ms =
            std::chrono::duration<double, std::milli>(attempt.m_first_sent - m_start).count();
        outcome.m_latency_ms = std::chrono::duration<double, std::milli>(
                                   std::chrono::steady_clock::now() - attempt.m_first_sent)
                                   .count();
        {
            const std::lock_guard<std::mutex> lock{m_mutex};
            m_outcomes.push_back(std::move(outcome));
        }
        --m_unfinished_requests;
    }

    /// Returns whether the response belongs to this request: its JSON has the stream's path and,
    /// with an idempotency key, an echo that contains the key.
    bool is_matching_response(const request_attempt& attempt, const std::string& body) const
    {
        const auto json = parse_json(body);
        if (!json || !json->is_object()) {
            return false;
        }
        const auto& settings = m_workload.m_streams[attempt.m_stream_index];
        return json->value("path", "") == "/" + settings.m_name &&
               (!settings.m_uses_idempotency_key ||
                json->value("echo", "").find(attempt.m_key) != std::string::npos);
    }

    static std::string outcome_code(const http_result& result)
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
            std::vector<request_attempt> due;
            {
                const std::lock_guard<std::mutex> lock{m_mutex};
                const auto end = m_waiting_retries.upper_bound(std::chrono::steady_clock::now());
                for (auto entry = m_waiting_retries.begin(); entry != end; ++entry) {
                    due.push_back(entry->second);
                }
                m_waiting_retries.erase(m_waiting_retries.begin(), end);
            }
            for (auto& attempt : due) {
                // Sends each retry to the next entry, as a load balancer would.
                attempt.m_entry_index = (attempt.m_entry_index + 1) % m_workload.m_entries.size();
                send(attempt);
            }
        }
    }

    workload m_workload;
    time_point m_start{std::chrono::steady_clock::now()};
    std::atomic<std::size_t> m_unfinished_requests{0};
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    std::multimap<time_point, request_attempt> m_waiting_retries;
    std::vector<request_outcome> m_outcomes;
    std::unique_ptr<http_client> m_client;
};

double quantile(std::vector<double>& values, double probability)
{
    if (values.empty()) {
        return 0;
    }
    const auto index =
        static_cast<std::size_t>(probability * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

/// Returns the work class that an urgency in the `Priority` header requests.
std::string requested_class(std::uint64_t urgency)
{
    constexpr std::uint64_t last_urgent = 1;
    constexpr std::uint64_t last_normal = 4;
    if (urgency <= last_urgent) {
        return std::string{to_string(work_class::urgent)};
    }
    return std::string{
        to_string(urgency <= last_normal ? work_class::normal : work_class::archive)};
}

nlohmann::json report_streams(const load_generator& generator)
{
    auto report = nlohmann::json::array();
    for (std::size_t index = 0; index < generator.configured_workload().m_streams.size(); ++index) {
        std::map<std::string, std::size_t> codes;
        std::vector<double> overheads;
        std::size_t count = 0;
        std::size_t tries = 0;
        for (const auto& outcome : generator.outcomes()) {
            if (outcome.m_stream_index != index) {
                continue;
            }
            ++count;
            tries += outcome.m_tries;
            ++codes[outcome.m_code];
            if (outcome.m_code == "done") {
                // Latency that the system added to the run time, mostly waiting time.
                overheads.push_back(outcome.m_latency_ms - static_cast<double>(outcome.m_run_ms));
            }
        }
        report.push_back(
            {{"stream", generator.configured_workload().m_streams[index].m_name},
             {"class", requested_class(generator.configured_workload().m_streams[index].m_urgency)},
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
    for (const auto& row : report) {
        std::cout << fmt::format(
            "{:<16} {:<8} {:>8} {:>8} {:>9.1f} {:>9.1f} {:>9.1f} {:>9.1f}  {}\n",
            row["stream"].get<std::string>(), row["class"].get<std::string>(),
            row["requests"].get<int>(), row["tries"].get<int>(), row["wait_p50_ms"].get<double>(),
            row["wait_p99_ms"].get<double>(), row["wait_p999_ms"].get<double>(),
            row["wait_max_ms"].get<double>(), row["codes"].dump());
    }
}

/// Returns the number of runs of each key, summed over the ledgers of all workers; nothing if a
/// ledger cannot be read. Keys have the form "customer/idempotency-key".
std::optional<std::map<std::string, std::uint64_t>> read_ledgers(const workload& targets)
{
    std::map<std::string, std::uint64_t> runs;
    for (const auto& worker : targets.m_workers) {
        http_call call;
        call.m_url = worker + "/ledger";
        const auto response = fetch(call);
        const auto json = response ? parse_json(response->m_body) : parse_json("");
        if (!json) {
            std::cerr << "cannot read the ledger of the worker at " << worker << '\n';
            return std::nullopt;
        }
        for (const auto& [key, count] : (*json)["runs"].items()) {
            runs[key] += count.get<std::uint64_t>();
        }
    }
    return runs;
}

/// Compares the outcomes that callers got with the runs in the ledgers. Counts the violations of
/// each guarantee.
nlohmann::json check_guarantees(const load_generator& generator,
                                const std::map<std::string, std::uint64_t>& runs)
{
    std::uint64_t doubled = 0;
    std::uint64_t lost = 0;
    std::uint64_t false_not_run = 0;
    std::uint64_t wrong = 0;
    for (const auto& [key, count] : runs) {
        doubled += count > 1 ? 1 : 0;
    }
    for (const auto& outcome : generator.outcomes()) {
        const auto& settings = generator.configured_workload().m_streams[outcome.m_stream_index];
        const auto entry = runs.find(settings.m_customer + "/" + outcome.m_key);
        const bool ran = entry != runs.end();
        lost += settings.m_uses_idempotency_key && outcome.m_code == "done" && !ran ? 1 : 0;
        // Only the final outcome of a key counts: the one after all its tries.
        false_not_run += ran && outcome.m_code.compare(0, 8, "not_run/") == 0 ? 1 : 0;
        wrong += outcome.m_code == "wrong_answer" ? 1 : 0;
    }
    return {{"doubled", doubled},
            {"lost", lost},
            {"false_not_run", false_not_run},
            {"wrong_answers", wrong}};
}

int finish(const load_generator& generator)
{
    nlohmann::json report = {{"seed", FLAGS_seed}, {"duration_s", FLAGS_duration_s}};
    report["streams"] = report_streams(generator);
    print_streams(report["streams"]);
    int code = 0;
    if (FLAGS_check) {
        const auto runs = read_ledgers(generator.configured_workload());
        if (!runs) {
            return 3;
        }
        report["promises"] = check_guarantees(generator, *runs);
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
        for (const auto& outcome : generator.outcomes()) {
            const auto& settings =
                generator.configured_workload().m_streams[outcome.m_stream_index];
            csv << fmt::format("{},{},{},{},{:.3f},{:.3f},{},{},{}\n", settings.m_name,
                               outcome.m_key, outcome.m_code, outcome.m_tries, outcome.m_arrival_ms,
                               outcome.m_latency_ms, outcome.m_run_ms, settings.m_urgency,
                               settings.m_pool);
        }
    }
    return code;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "--workload FILE [--seed N] [--duration_s N] [--check]\n\n"
        "Sends an open-loop load and reports the outcomes of its requests.\n"
        "Exit codes: 0 done, 2 invalid workload file, 3 a ledger cannot be read, 4 --check found a "
        "violation.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto loaded = load_workload(FLAGS_workload);
    if (!loaded) {
        for (const auto& error : loaded.error()) {
            std::cerr << to_text(error) << '\n';
        }
        return 2;
    }
    install_stop_signals();
    load_generator generator{std::move(*loaded)};
    generator.run();
    return finish(generator);
}
