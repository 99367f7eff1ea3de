#pragma once

/// @file
/// Replays an uneven load on simulated workers in racks: many jobs want the same rack, tasks of one
/// step differ, declared times are wrong, and some runs are stragglers. No sockets, no clocks.

#include "peridotrudder/scheduling/job_scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace peridotrudder {

/// What is wrong with a worker.
struct worker_fault {
    /// Share of its runs that fail, half-way, in percent.
    std::uint32_t m_failing_percent{0};
    /// How many times as long its runs take.
    double m_slow_factor{1.0};
    /// For how long it is up and then down by turns, with a restart each time; zero for never.
    milliseconds m_flaps_every{0};
};

struct uneven_load_options {
    std::uint64_t m_seed{1};
    std::uint32_t m_racks{5};
    std::uint32_t m_workers_per_rack{4};
    double m_far_factor{2.0};
    /// The factor that the owner is told.
    double m_known_far_factor{2.0};
    /// Share of the jobs that want the first rack, in percent; the others want any other one.
    std::uint32_t m_hot_percent{60};
    /// Jobs arriving per second in a peak.
    double m_peak_jobs_per_second{30.0};
    bool m_same_rack{false};
    bool m_speculative{false};
    /// Most of the pool's CPU that copies may use.
    std::uint32_t m_copies_percent{0};
    /// Factor by which the first worker is slower than the others.
    double m_slow_worker_factor{1.0};
    std::uint32_t m_tasks_per_job{8};
    std::uint32_t m_attempts{3};
    bool m_graded_health{false};
    /// By worker, as `uneven_load::worker_name` returns it.
    std::map<std::string, worker_fault> m_faults;
    /// When the faults begin, after the load does, and when they end.
    milliseconds m_faults_from{0};
    milliseconds m_faults_until{1'000'000};
    /// Share of the jobs whose runs all fail, in percent.
    std::uint32_t m_bad_jobs_percent{0};
    /// Whether jobs differ in their run times by up to five times, unlike their estimates.
    bool m_jobs_differ{false};

    bool has_failures() const { return !m_faults.empty() || m_bad_jobs_percent > 0; }
};

/// Measured over the jobs that have ended.
struct uneven_load_report {
    std::size_t m_jobs{0};
    double m_mean_ms{0.0};
    milliseconds m_p95{0};
    double m_in_time_share{0.0};
    std::size_t m_starts{0};
    std::size_t m_near_starts{0};
    /// Run time of all runs, and of those that were stopped.
    milliseconds m_run_time{0};
    milliseconds m_stopped_run_time{0};
    /// Starts by worker.
    std::map<std::string, std::size_t> m_starts_on;
    /// Largest share of the pool's CPU that second runs of tasks used.
    double m_largest_copy_share{0.0};
    /// Sound jobs that failed, and all runs that failed or were lost with their worker.
    std::size_t m_failed_jobs{0};
    std::size_t m_failed_runs{0};
    /// CPU of the failed and lost runs, in seconds of a core.
    double m_wasted_cpu_s{0.0};
    /// Changes of grades, by worker, as "full to reduced".
    std::map<std::string, std::vector<std::string>> m_grades;
    std::map<std::string, std::size_t> m_events;
    std::string m_violation;

    std::size_t events(const std::string& name) const
    {
        const auto found = m_events.find(name);
        return found == m_events.end() ? 0 : found->second;
    }
};

class uneven_load {
public:
    explicit uneven_load(uneven_load_options options) : m_options{options}, m_random{options.m_seed}
    {
        scheduler_options scheduler;
        scheduler.m_fence = first_token(1);
        scheduler.m_far_factor = options.m_known_far_factor;
        scheduler.m_copies_percent = options.m_copies_percent;
        scheduler.m_graded_health = options.m_graded_health;
        m_scheduler = job_scheduler::create(scheduler, make_ports(), job_store{}, now());
        queue_config queue;
        queue.m_name = "queue";
        queue.m_host = "host";
        queue.m_prefix = "/queue/";
        queue.m_pool = "pool";
        queue.m_attempts = options.m_attempts;
        queue.m_stretch = 1.6;
        queue.m_target = milliseconds{600};
        m_scheduler->set_config(fleet_config::create(1, {queue}, {{"pool", false, false}}));
        for (std::uint32_t rack = 0; rack < options.m_racks; ++rack) {
            for (std::uint32_t index = 0; index < options.m_workers_per_rack; ++index) {
                add_worker(rack, index);
            }
        }
        m_scheduler->begin(now());
        pass(milliseconds{200});
    }

    /// Alternates between a peak and calm, for so many times.
    void play(int peaks)
    {
        constexpr milliseconds phase{4'000};
        constexpr double calm_share = 0.04;
        m_play_began_at = m_now;
        for (int peak = 0; peak < peaks; ++peak) {
            m_jobs_per_second = m_options.m_peak_jobs_per_second;
            pass(phase);
            m_jobs_per_second *= calm_share;
            pass(phase);
        }
        m_jobs_per_second = 0.0;
        pass(milliseconds{30'000});
    }

    void pass(milliseconds time)
    {
        const auto end = m_now + time;
        while (m_now < end) {
            m_now += tick_interval;
            flap_workers();
            end_runs();
            answer_late();
            answer_holds();
            submit_due();
            m_scheduler->tick(now());
            write();
            check_idle_room();
        }
    }

    /// Submits a job that prefers the rack, or none. Returns its id.
    std::string submit(const std::string& rack, milliseconds declared, milliseconds took = {})
    {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", ++m_submitted);
        job_call call{call_kind::submit, "host", "/queue/" + std::string{id}, job_spec{}};
        step_spec step;
        step.m_count = m_options.m_tasks_per_job;
        step.m_task_resources = {3'100, 2'200, 0};
        step.m_estimate = declared;
        step.m_image = "image";
        step.m_speculative = m_options.m_speculative;
        step.m_same_rack = m_options.m_same_rack;
        step.m_data_rack = m_options.m_same_rack ? "" : rack;
        call.m_spec->m_steps.push_back(step);
        m_jobs[id] = {m_now, rack, took, declared,
                      m_random_fault() % 100 < m_options.m_bad_jobs_percent};
        m_scheduler->take_call(m_submitted, call, now());
        return id;
    }

    uneven_load_report report() const
    {
        auto result = m_report;
        std::vector<milliseconds> times;
        double sum = 0.0;
        std::size_t in_time = 0;
        for (const auto& [id, submitted] : m_jobs) {
            const auto* known = m_scheduler->state().m_job_store.jobs().count(id) == 0
                                    ? nullptr
                                    : &m_scheduler->state().m_job_store.jobs().at(id);
            if (submitted.m_bad) {
                continue;
            }
            if (known != nullptr && m_options.has_failures() &&
                known->phase() == job_phase::failed) {
                ++result.m_failed_jobs;
                continue;
            }
            if (known == nullptr || known->phase() != job_phase::completed) {
                result.m_violation = "job " + id + " has not ended";
                continue;
            }
            const milliseconds took{known->ended_ms() - known->header().m_accepted_ms};
            times.push_back(took);
            sum += static_cast<double>(took.count());
            const auto objective = submitted.m_declared.count() * 1.6 + 600.0;
            in_time += static_cast<double>(took.count()) <= objective ? 1 : 0;
        }
        result.m_jobs = times.size() + result.m_failed_jobs;
        if (!times.empty()) {
            std::sort(times.begin(), times.end());
            const auto count = static_cast<double>(times.size());
            result.m_mean_ms = sum / count;
            result.m_p95 = times[times.size() * 95 / 100];
            result.m_in_time_share =
                static_cast<double>(in_time) / static_cast<double>(result.m_jobs);
        }
        return result;
    }

    job_scheduler& scheduler() { return *m_scheduler; }
    /// Lets all workers of a rack answer nothing from now on.
    void silence_rack(std::uint32_t rack)
    {
        for (auto& [id, worker] : m_workers) {
            worker.m_silent = worker.m_silent || worker.m_rack == rack_name(rack);
        }
    }
    /// Calls `observer` right before each placement pass.
    void before_each_pass(std::function<void(moment)> observer)
    {
        m_before_pass = std::move(observer);
    }
    /// Calls `observer` right after each placement pass.
    void after_each_pass(std::function<void()> observer) { m_after_pass = std::move(observer); }
    /// Returns how many of a job's tasks have a run.
    std::uint32_t placed_tasks(const std::string& id) const
    {
        return m_scheduler->state().m_job_store.jobs().at(id).placed_tasks();
    }
    static std::string worker_name(std::uint32_t rack, std::uint32_t index)
    {
        return "i-" + std::to_string(rack) + "-" + std::to_string(index);
    }
    static std::string rack_name(std::uint32_t rack) { return "rack-" + std::to_string(rack); }

private:
    static constexpr milliseconds tick_interval{10};
    static constexpr milliseconds usual_time{540};
    /// Until an order to a worker that is down counts as unanswered.
    static constexpr milliseconds order_timeout{700};
    static constexpr std::int64_t cores = 32'000;

    struct submitted_job {
        time_point m_at;
        std::string m_rack;
        /// Fixed run time; drawn for each run if zero.
        milliseconds m_took{0};
        milliseconds m_declared{0};
        /// All runs of the job fail.
        bool m_bad{false};
    };

    struct worker_state {
        std::string m_rack;
        worker_report m_report;
        bool m_down{false};
        std::set<run_key> m_failing;
        std::map<run_key, std::pair<std::uint32_t, std::pair<time_point, time_point>>> m_runs;
        std::set<run_key> m_stopping;
        std::vector<ended_entry> m_ended;
        std::uint64_t m_next_end{1};
        std::optional<hold_order> m_hold;
        worker_instance m_hold_sent_to;
        time_point m_hold_received_at;
        bool m_silent{false};
    };

    std::function<void(moment)> m_before_pass{[](moment) {}};
    std::function<void()> m_after_pass{[] {}};

    struct sent_start {
        worker_instance m_instance;
        start_order m_order;
    };

    struct sent_stop {
        worker_instance m_instance;
        stop_order m_order;
    };

    moment now() const
    {
        return {m_now, std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count()};
    }

    void add_worker(std::uint32_t rack, std::uint32_t index)
    {
        worker_report report;
        report.m_instance = {worker_name(rack, index), 1};
        report.m_pool = "pool";
        report.m_address = "10.0.0.1";
        report.m_port = 80;
        report.m_rack = rack_name(rack);
        report.m_capacity = {cores, 65'536, 0};
        m_workers[report.m_instance.m_worker].m_rack = report.m_rack;
        m_workers[report.m_instance.m_worker].m_report = report;
        m_scheduler->worker_listed(report, now());
    }

    scheduler_ports make_ports()
    {
        scheduler_ports ports;
        ports.m_start = [this](const worker_report& to, const start_order& order) {
            m_sent.push_back({to.m_instance, order});
        };
        ports.m_stop = [this](const worker_report& to, const stop_order& order) {
            m_sent_stops.push_back({to.m_instance, order});
        };
        ports.m_pace = [](const worker_report&, const pace_order&) {};
        ports.m_ask = [](const policy_request&) {};
        ports.m_hold = [this](const worker_report& to, const hold_order& order) {
            auto& worker = m_workers[to.m_instance.m_worker];
            worker.m_hold = order;
            worker.m_hold_sent_to = to.m_instance;
            worker.m_hold_received_at = m_now;
        };
        ports.m_answer = [](std::uint64_t, const call_answer&) {};
        ports.m_log = [this](const decision& made) {
            ++m_report.m_events[std::string{made.m_event}];
            if (made.m_event == "worker_graded") {
                // "pool NAME: FROM to TO for ..."
                const auto from = made.m_detail.find(": ") + 2;
                const auto change = made.m_detail.substr(from, made.m_detail.find(" for ") - from);
                m_report.m_grades[made.m_worker].push_back(change);
            }
        };
        ports.m_deposed = [] {};
        return ports;
    }

    void submit_due()
    {
        m_due += m_jobs_per_second * static_cast<double>(tick_interval.count()) / 1'000.0;
        for (; m_due >= 1.0; m_due -= 1.0) {
            const bool hot = m_random() % 100 < m_options.m_hot_percent;
            const auto other = 1 + m_random() % (m_options.m_racks - 1);
            const auto percent = static_cast<std::int64_t>(50 + m_random() % 101);
            const auto took =
                m_options.m_jobs_differ
                    ? usual_time * static_cast<std::int64_t>(50 + m_random() % 201) / 100
                    : milliseconds{0};
            submit(rack_name(hot ? 0 : static_cast<std::uint32_t>(other)),
                   usual_time * percent / 100, took);
        }
    }

    void write()
    {
        while (m_scheduler->needs_write()) {
            m_before_pass(now());
            const auto batch = m_scheduler->take_batch(now());
            m_after_pass();
            if (batch.m_records.empty() && batch.m_effects.empty()) {
                break;
            }
            m_scheduler->written(batch, now());
            answer_starts();
        }
        for (const auto& stop : std::exchange(m_sent_stops, {})) {
            auto& worker = m_workers.at(stop.m_instance.m_worker);
            if (worker.m_down) {
                m_scheduler->stop_answered({stop.m_instance, stop.m_order.m_fence},
                                           stop.m_order.m_key, stop.m_order.m_run, {}, now());
                continue;
            }
            const auto run = worker.m_runs.find(stop.m_order.m_key);
            if (run != worker.m_runs.end() && run->second.first <= stop.m_order.m_run) {
                worker.m_stopping.insert(stop.m_order.m_key);
                run->second.second.second = m_now + tick_interval;
            }
            m_scheduler->stop_answered({stop.m_instance, stop.m_order.m_fence}, stop.m_order.m_key,
                                       stop.m_order.m_run,
                                       {order_result::accepted, now().m_unix_ms}, now());
        }
    }

    milliseconds draw_time(const run_key& key, const worker_state& worker)
    {
        const auto& submitted = m_jobs.at(key.m_job);
        auto time = submitted.m_took;
        if (time.count() == 0) {
            time = milliseconds{360 + static_cast<std::int64_t>(m_random() % 361)};
            time *= m_random() % 33 == 0 ? 7 : 1;
        }
        if (&worker == &m_workers.begin()->second) {
            time = milliseconds{std::llround(time.count() * m_options.m_slow_worker_factor)};
        }
        const bool near = is_near(key, worker);
        m_report.m_near_starts += near ? 1 : 0;
        const auto slow = fault_of(worker).m_slow_factor;
        const auto factor = (near ? 1.0 : m_options.m_far_factor) * slow;
        return milliseconds{std::llround(static_cast<double>(time.count()) * factor)};
    }

    /// Returns what is wrong with a worker now.
    worker_fault fault_of(const worker_state& worker) const
    {
        const auto found = m_options.m_faults.find(worker.m_report.m_instance.m_worker);
        const auto played = m_now - m_play_began_at;
        const bool begun = m_play_began_at != time_point{} && played >= m_options.m_faults_from &&
                           played < m_options.m_faults_until;
        return found == m_options.m_faults.end() || !begun ? worker_fault{} : found->second;
    }

    void flap_workers()
    {
        for (auto& [id, worker] : m_workers) {
            const auto every = fault_of(worker).m_flaps_every;
            const bool down = every.count() > 0 && (m_now - m_play_began_at) / every % 2 == 1;
            if (down && !worker.m_down) {
                for (const auto& [key, run] : worker.m_runs) {
                    count_failed(key, run.second.first);
                }
                worker.m_runs.clear();
                worker.m_stopping.clear();
                worker.m_failing.clear();
                worker.m_ended.clear();
            }
            else if (!down && worker.m_down) {
                worker.m_next_end = 1;
                ++worker.m_report.m_instance.m_born_ms;
                m_scheduler->worker_listed(worker.m_report, now());
            }
            worker.m_down = down;
        }
    }

    /// Counts a run that failed or was lost.
    void count_failed(const run_key& key, time_point began)
    {
        constexpr double task_cores = 3.1;
        if (!m_jobs.at(key.m_job).m_bad) {
            ++m_report.m_failed_runs;
            m_report.m_wasted_cpu_s +=
                task_cores * std::chrono::duration<double>(m_now - began).count();
        }
    }

    /// Lets orders to workers that are down time out.
    void answer_late()
    {
        for (const auto& [due, start] : std::exchange(m_unanswered, {})) {
            if (m_now < due) {
                m_unanswered.emplace_back(due, start);
                continue;
            }
            m_scheduler->start_answered({start.m_instance, start.m_order.m_fence},
                                        start.m_order.m_key, start.m_order.m_run, {}, now());
        }
        for (auto& [id, worker] : m_workers) {
            const bool timed_out =
                worker.m_down && worker.m_hold &&
                m_now - worker.m_hold_received_at >= worker.m_hold->m_wait + order_timeout;
            if (timed_out) {
                const order_target target{worker.m_hold_sent_to, worker.m_hold->m_fence};
                worker.m_hold.reset();
                m_scheduler->hold_answered(target, {}, worker.m_hold_received_at, now());
            }
        }
    }

    /// A task of a group is far from it unless most of the other runs are on the same rack.
    bool is_near(const run_key& key, const worker_state& worker) const
    {
        if (!m_options.m_same_rack) {
            const auto& rack = m_jobs.at(key.m_job).m_rack;
            return rack.empty() || worker.m_rack == rack;
        }
        int here = 0;
        int elsewhere = 0;
        for (const auto& [id, other] : m_workers) {
            for (const auto& [other_key, run] : other.m_runs) {
                const bool of_group =
                    other_key.m_job == key.m_job && !(other_key.m_task == key.m_task);
                here += of_group && other.m_rack == worker.m_rack ? 1 : 0;
                elsewhere += of_group && other.m_rack != worker.m_rack ? 1 : 0;
            }
        }
        return here >= elsewhere;
    }

    void answer_starts()
    {
        for (const auto& start : std::exchange(m_sent, {})) {
            auto& worker = m_workers.at(start.m_instance.m_worker);
            const auto& order = start.m_order;
            if (worker.m_silent) {
                continue;
            }
            if (worker.m_down) {
                m_unanswered.emplace_back(m_now + order_timeout, start);
                continue;
            }
            check_start(order);
            ++m_report.m_starts;
            ++m_report.m_starts_on[start.m_instance.m_worker];
            auto time = draw_time(order.m_key, worker);
            const bool fails = m_jobs.at(order.m_key.m_job).m_bad ||
                               m_random_fault() % 100 < fault_of(worker).m_failing_percent;
            if (fails) {
                worker.m_failing.insert(order.m_key);
                time /= 2;
            }
            worker.m_runs[order.m_key] = {order.m_run, {m_now, m_now + time}};
            measure_copies();
            m_scheduler->start_answered({start.m_instance, order.m_fence}, order.m_key, order.m_run,
                                        {order_result::accepted, now().m_unix_ms}, now());
        }
    }

    void check_start(const start_order& order)
    {
        const auto others =
            std::count_if(m_workers.begin(), m_workers.end(), [&order](const auto& entry) {
                return entry.second.m_runs.count(order.m_key) != 0;
            });
        if (others > (m_options.m_speculative ? 1 : 0)) {
            m_report.m_violation = "too many runs of a task";
        }
    }

    void measure_copies()
    {
        std::set<run_key> tasks;
        std::size_t copies = 0;
        for (const auto& [id, worker] : m_workers) {
            for (const auto& [key, run] : worker.m_runs) {
                copies += tasks.insert(key).second ? 0 : 1;
            }
        }
        const auto used = static_cast<double>(copies) * 3'100.0;
        const auto capacity = static_cast<double>(m_workers.size()) * static_cast<double>(cores);
        m_report.m_largest_copy_share = std::max(m_report.m_largest_copy_share, used / capacity);
    }

    /// Fails if a task without a preference waits beside free room.
    void check_idle_room()
    {
        for (const auto& [id, submitted] : m_jobs) {
            const auto& jobs = m_scheduler->state().m_job_store.jobs();
            const auto known = jobs.find(id);
            const bool waits =
                submitted.m_rack.empty() && known != jobs.end() && known->second.waiting(0, 0) != 0;
            const auto& workers = m_scheduler->state().m_workers;
            if (waits && std::any_of(workers.begin(), workers.end(), [this](const auto& entry) {
                    return entry.second.takes_work(m_now) &&
                           fits({3'100, 2'200, 0}, entry.second.room());
                })) {
                m_report.m_violation = "job " + id + " waits beside free room";
            }
        }
    }

    void end_runs()
    {
        for (auto& [id, worker] : m_workers) {
            for (auto entry = worker.m_runs.begin(); entry != worker.m_runs.end();) {
                if (entry->second.second.second > m_now) {
                    ++entry;
                    continue;
                }
                const bool stopped = worker.m_stopping.erase(entry->first) != 0;
                const auto ran =
                    std::chrono::duration_cast<milliseconds>(m_now - entry->second.second.first);
                m_report.m_run_time += ran;
                m_report.m_stopped_run_time += stopped ? ran : milliseconds{0};
                const bool failed = worker.m_failing.erase(entry->first) != 0;
                if (failed && !stopped) {
                    count_failed(entry->first, entry->second.second.first);
                }
                const auto end = failed ? run_end::failed : run_end::done;
                worker.m_ended.push_back({worker.m_next_end++, entry->first, entry->second.first,
                                          stopped ? run_end::stopped : end, ""});
                entry = worker.m_runs.erase(entry);
            }
        }
    }

    void answer_holds()
    {
        for (auto& [id, worker] : m_workers) {
            if (!worker.m_hold || worker.m_silent || worker.m_down) {
                continue;
            }
            auto& ended = worker.m_ended;
            while (!ended.empty() && ended.front().m_number <= worker.m_hold->m_last_end) {
                ended.erase(ended.begin());
            }
            if (ended.empty() && m_now - worker.m_hold_received_at < worker.m_hold->m_wait) {
                continue;
            }
            hold_answer answer;
            answer.m_result = order_result::accepted;
            answer.m_clock_ms = now().m_unix_ms;
            answer.m_born_ms = worker.m_report.m_instance.m_born_ms;
            for (const auto& [key, run] : worker.m_runs) {
                const auto [began, ends] = run.second;
                const auto percent = (m_now - began) * 100 / (ends - began);
                answer.m_running.push_back(
                    {key, run.first, "", static_cast<std::uint32_t>(percent), 0});
            }
            answer.m_ended = ended;
            const order_target target{worker.m_hold_sent_to, worker.m_hold->m_fence};
            worker.m_hold.reset();
            m_scheduler->hold_answered(target, answer, worker.m_hold_received_at, now());
        }
    }

    uneven_load_options m_options;
    std::mt19937_64 m_random;
    time_point m_now{milliseconds{1'000'000}};
    std::unique_ptr<job_scheduler> m_scheduler;
    std::map<std::string, worker_state> m_workers;
    std::vector<sent_start> m_sent;
    std::vector<sent_stop> m_sent_stops;
    std::vector<std::pair<time_point, sent_start>> m_unanswered;
    /// Apart from the other, so that faults don't change the load.
    std::mt19937_64 m_random_fault{4};
    time_point m_play_began_at;
    std::map<std::string, submitted_job> m_jobs;
    std::uint32_t m_submitted{0};
    double m_jobs_per_second{0.0};
    double m_due{0.0};
    uneven_load_report m_report;
};

} // namespace peridotrudder
