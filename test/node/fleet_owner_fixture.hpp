#pragma once

/// @file
/// An owner with a simulated loop, log, workers and VMs, driven by the test.

#include "peridotrudder/node/fleet_owner.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <map>

namespace peridotrudder {

/// First byte of a worker's entry or of a configuration that can't be decoded.
inline constexpr std::uint8_t unusable = 0;

/// Simulated loop, log and workers, driven by the test.
struct owner_fixture {
    using bytes = std::vector<std::uint8_t>;

    /// Time that a client waits for the answer to a read beyond the time that it may wait.
    static constexpr milliseconds read_time_limit{1'500};

    moment m_now{time_point{milliseconds{1'000'000}}, 1'000'000};
    std::multimap<time_point, std::function<void()>> m_due;
    std::map<std::string, std::map<std::string, std::vector<std::uint8_t>>> m_topics;
    std::uint64_t m_epoch{0};
    bool m_log_up{true};
    /// Appends are carried out; reads are in any case while the log is up.
    bool m_appends_up{true};
    std::map<std::uint64_t, call_answer> m_answers;
    std::uint64_t m_next_token{1};
    int m_starts{0};
    /// What the worker lists: every run that it was told to start. Starts are not answered.
    std::vector<running_entry> m_running;
    std::vector<hold_order> m_holds;
    bool m_ended{false};
    /// Answers to reads of the workers' topic, each given once.
    std::deque<read_answer> m_worker_changes;
    /// Versions of the configuration, in the order in which operators wrote them. The first has one
    /// queue, the others a second one.
    std::vector<bytes> m_versions{bytes{1}};
    /// Keys of the only tenant in each version that has tenants.
    std::map<std::uint8_t, std::vector<std::string>> m_keys;
    /// Time that passes at each reading of the clock, as on a slow processor.
    milliseconds m_time_per_reading{0};
    /// Quota of that tenant; none while zero.
    resources m_quota;
    /// Most jobs that an owner handles in one turn of the loop while it loads.
    std::size_t m_jobs_per_turn{owner_options{}.m_jobs_per_turn};
    /// How many reads of the operators' topic from now on are on a silent connection.
    int m_silent_reads{0};
    std::size_t m_operator_reads{0};
    std::size_t m_appends{0};
    /// The list of VMs, which is not answered while it is empty, and the answer to orders.
    std::vector<platform_vm> m_vms;
    vm_order_result m_vm_result{vm_order_result::refused};
    std::vector<vm_order> m_vm_orders;
    /// Reports of the states of waves.
    std::size_t m_wave_reports{0};
    std::vector<stop_order> m_stops;
    std::vector<std::string> m_events;
    /// A majority of the nodes says that it hears the owner.
    bool m_supported{false};
    std::unique_ptr<fleet_owner> m_owner;

    owner_fixture() { m_owner = make_owner(7); }

    std::unique_ptr<fleet_owner> make_owner(std::uint64_t epoch)
    {
        owner_options options;
        options.m_epoch = epoch;
        options.m_jobs_per_turn = m_jobs_per_turn;
        owner_ports ports;
        ports.m_loop.m_now = [this] {
            m_now.m_at += m_time_per_reading;
            m_now.m_unix_ms += m_time_per_reading.count();
            return m_now;
        };
        ports.m_loop.m_after = [this](milliseconds delay, std::function<void()> action) {
            m_due.emplace(m_now.m_at + delay, std::move(action));
        };
        ports.m_log.m_append = [this](const append_request& request,
                                      const std::function<void(append_answer)>& callback) {
            later([this, request, callback] { callback(append(request)); });
        };
        ports.m_log.m_newest = [this](const std::string& topic,
                                      const std::function<void(newest_answer)>& callback) {
            later([this, topic, callback] { callback(newest(topic)); });
        };
        ports.m_log.m_read = [this](const read_request& request,
                                    const std::function<void(read_answer)>& callback) {
            if (request.m_topic == "operators") {
                read_operators(request, callback, m_now.m_at + request.m_wait);
                return;
            }
            // Without changes there is no answer yet.
            if (request.m_topic == "workers" && !m_worker_changes.empty()) {
                later([this, callback] {
                    const auto answer = m_worker_changes.front();
                    m_worker_changes.pop_front();
                    callback(answer);
                });
            }
        };
        ports.m_workers.m_start = [this](const worker_report&, const start_order& order,
                                         const worker_port::callback<order_answer>&) {
            ++m_starts;
            m_running.push_back({order.m_key, order.m_run, "", 0, 0});
        };
        ports.m_workers.m_hold = [this](const worker_report&, const hold_order& order,
                                        const worker_port::callback<hold_answer>& callback) {
            m_holds.push_back(order);
            later([this, callback] {
                hold_answer answer;
                answer.m_result = order_result::accepted;
                answer.m_clock_ms = m_now.m_unix_ms;
                answer.m_born_ms = 1;
                for (auto& run : m_running) {
                    ++run.m_percent;
                }
                answer.m_running = m_running;
                callback(answer);
            });
        };
        ports.m_workers.m_stop = [this](const worker_report&, const stop_order& order,
                                        const worker_port::callback<order_answer>&) {
            m_stops.push_back(order);
        };
        ports.m_vms.m_list = [this](const std::function<void(platform_vm_list)>& callback) {
            if (!m_vms.empty()) {
                later([this, callback] { callback(platform_vms{m_vms, 0}); });
            }
        };
        ports.m_vms.m_order = [this](const vm_order& order,
                                     const std::function<void(vm_order_result)>& callback) {
            m_vm_orders.push_back(order);
            later([this, callback] { callback(m_vm_result); });
        };
        ports.m_record_schema = make_record_schema();
        ports.m_record_schema.m_config =
            [this, without_tenants = ports.m_record_schema.m_config](record_schema::bytes value) {
                auto config = without_tenants(value);
                const auto keys = m_keys.find(value[0]);
                if (!config || keys == m_keys.end()) {
                    return config;
                }
                tenant_config tenant;
                tenant.m_name = "tenant";
                tenant.m_key_digests = keys->second;
                tenant.m_quota = m_quota;
                return tl::expected<fleet_config, decode_error>{
                    fleet_config::create(config->version(), config->queues(), config->pools(),
                                         tenant_directory::create({tenant}))};
            };
        ports.m_answer = [this](std::uint64_t token, const call_answer& answer) {
            m_answers[token] = answer;
        };
        ports.m_decided = [this](const decision& made) { m_events.emplace_back(made.m_event); };
        ports.m_measured = [](std::string_view, milliseconds) {};
        ports.m_is_supported = [this] { return m_supported; };
        ports.m_ended = [this] { m_ended = true; };
        return fleet_owner::create(options, ports);
    }

    static record_schema make_record_schema()
    {
        record_schema wire;
        wire.m_operator_topic = "operators";
        wire.m_config_key = "config";
        wire.m_wave_prefix = "wave/";
        wire.m_worker_topic = "workers";
        wire.m_config = [](record_schema::bytes value) -> tl::expected<fleet_config, decode_error> {
            if (value[0] == unusable) {
                return tl::make_unexpected(decode_error{decode_fault::wrong_type, "tenants"});
            }
            queue_config queue;
            queue.m_host = "host";
            queue.m_prefix = "/queue/";
            queue.m_pool = "pool";
            auto added = queue;
            added.m_prefix = "/added/";
            std::vector<queue_config> queues{queue};
            if (value[0] > 1) {
                queues.push_back(added);
            }
            auto config = fleet_config::create(value[0], queues, {{"pool", false, false}});
            if (value.size() > 1) {
                // The second byte is the limit of bodies; zero is no usable limit.
                submission_limits limits;
                limits.m_is_body_unusable = value[1] == 0;
                if (value[1] > 0) {
                    limits.m_max_body_bytes = value[1];
                }
                config.set_limits(limits);
            }
            return config;
        };
        wire.m_worker =
            [](const std::string& id,
               record_schema::bytes value) -> tl::expected<worker_report, decode_error> {
            if (value[0] == unusable) {
                return tl::make_unexpected(decode_error{decode_fault::malformed, ""});
            }
            worker_report report;
            report.m_instance = {id, 1};
            report.m_pool = "pool";
            report.m_port = 80;
            report.m_capacity = {4'000, 4'000, 0};
            return report;
        };
        wire.m_wave = [](record_schema::bytes) -> tl::expected<declared_wave, decode_error> {
            return declared_wave{1, {"m-1"}, milliseconds{1'000}, 1};
        };
        wire.m_status_topic = "status";
        wire.m_wave_state = [](bool) { return std::vector<std::uint8_t>{}; };
        return wire;
    }

    void later(std::function<void()> action)
    {
        m_due.emplace(m_now.m_at + milliseconds{4}, std::move(action));
    }

    append_answer append(const append_request& request)
    {
        append_answer answer;
        ++m_appends;
        m_wave_reports += request.m_topic == "status" ? 1 : 0;
        if (!m_log_up || !m_appends_up) {
            answer.m_result = log_result::nothing_done;
            return answer;
        }
        if (request.m_identity && request.m_identity->m_epoch < m_epoch) {
            answer.m_result = log_result::fenced;
            return answer;
        }
        m_epoch = request.m_identity ? request.m_identity->m_epoch : m_epoch;
        for (const auto& record : request.m_records) {
            if (record.m_value) {
                m_topics[request.m_topic][record.m_key] = *record.m_value;
            }
            else {
                m_topics[request.m_topic].erase(record.m_key);
            }
        }
        answer.m_result = log_result::ok;
        return answer;
    }

    /// Lets operators write the next version of the configuration.
    void write_config(std::uint8_t version) { write_config(bytes{version}); }

    void write_config(const bytes& record)
    {
        m_versions.push_back(record);
        m_topics["operators"]["config"] = record;
    }

    /// Lets operators write the next version, whose only tenant has these keys.
    void write_keys(std::uint8_t version, std::vector<std::string> keys)
    {
        m_keys[version] = std::move(keys);
        write_config(version);
    }

    void read_operators(const read_request& request,
                        const std::function<void(read_answer)>& callback, time_point until)
    {
        ++m_operator_reads;
        if (m_silent_reads > 0) {
            --m_silent_reads;
            m_due.emplace(until + read_time_limit, [callback] {
                callback({log_result::unanswered, 0, 0, {}});
            });
            return;
        }
        answer_operator_read(request, callback, until);
    }

    void answer_operator_read(const read_request& request,
                              const std::function<void(read_answer)>& callback, time_point until)
    {
        later([this, request, callback, until] {
            if (request.m_from >= m_versions.size() && m_now.m_at < until) {
                answer_operator_read(request, callback, until);
                return;
            }
            read_answer answer;
            answer.m_result = m_log_up ? log_result::ok : log_result::nothing_done;
            for (auto offset = request.m_from; m_log_up && offset < m_versions.size(); ++offset) {
                answer.m_records.push_back({"config", m_versions[offset], offset});
            }
            callback(answer);
        });
    }

    newest_answer newest(const std::string& topic)
    {
        newest_answer answer;
        answer.m_result = m_log_up ? log_result::ok : log_result::nothing_done;
        answer.m_end = topic == "operators" ? m_versions.size() : 0;
        for (const auto& [key, value] : m_topics[topic]) {
            answer.m_records.push_back({key, value, 0});
        }
        return answer;
    }

    void pass(milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += milliseconds{2}) {
            m_now.m_at += milliseconds{2};
            m_now.m_unix_ms += 2;
            while (!m_due.empty() && m_due.begin()->first <= m_now.m_at) {
                const auto action = m_due.begin()->second;
                m_due.erase(m_due.begin());
                action();
            }
            m_owner->tick();
        }
    }

    std::uint64_t submit(const std::string& id)
    {
        job_call call{call_kind::submit, "host", "/queue/" + id, job_spec{}};
        step_spec step;
        step.m_task_resources.m_cpu_millis = 1'000;
        call.m_spec->m_steps = {step};
        m_owner->take_call(m_next_token, call);
        return m_next_token++;
    }

    std::string status(std::uint64_t token) const
    {
        const auto found = m_answers.find(token);
        return found == m_answers.end() ? "none yet"
                                        : std::string{to_string(found->second.m_status)};
    }

    /// Starts the owner with a configuration and one worker.
    void serve()
    {
        m_topics["operators"]["config"] = {1};
        m_topics["workers"]["i-1"] = {1};
        m_owner->start();
        pass(milliseconds{100});
        CPPUNIT_ASSERT(m_owner->phase() == owner_phase::serving);
    }
};

} // namespace peridotrudder
