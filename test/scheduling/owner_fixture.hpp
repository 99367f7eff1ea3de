#pragma once

/// @file
/// An owner whose workers' answers a test gives one by one.

#include "peridotrudder/scheduling/job_scheduler.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace peridotrudder {

inline constexpr std::int64_t first_birth_ms = 500;
inline constexpr std::int64_t second_birth_ms = 900;
inline const std::string job_id{"0123456789abcdef"};

inline worker_report report_of(std::int64_t born_ms, const std::string& id = "i-1")
{
    worker_report report;
    report.m_instance = {id, born_ms};
    report.m_pool = "pool";
    report.m_address = "10.0.0.1";
    report.m_port = 80;
    report.m_capacity = {4'000, 8'000, 0};
    return report;
}

/// An owner with one worker, or more, whose answers the test gives.
struct owner_fixture {
    std::vector<std::pair<worker_report, start_order>> m_starts;
    std::vector<stop_order> m_stops;
    std::vector<hold_order> m_holds;
    time_point m_held_at;
    bool m_deposed{false};
    moment m_now{time_point{milliseconds{1'000'000}}, 1'000'000};
    /// The key that calls carry.
    std::optional<std::string> m_key_digest;
    std::vector<std::pair<std::string, std::string>> m_log;
    std::vector<call_answer> m_answers;
    scheduler_options m_options;
    std::unique_ptr<job_scheduler> m_scheduler;

    explicit owner_fixture(std::uint32_t copies_percent = 0)
    {
        m_options.m_fence = first_token(1);
        m_options.m_copies_percent = copies_percent;
        m_scheduler = job_scheduler::create(m_options, make_ports(), job_store{}, m_now);
        set_tenants({});
        m_scheduler->worker_listed(report_of(first_birth_ms), m_now);
        answer_hold(first_birth_ms);
        pass(milliseconds{100});
    }

    scheduler_ports make_ports()
    {
        scheduler_ports ports;
        ports.m_start = [this](const worker_report& to, const start_order& order) {
            m_starts.emplace_back(to, order);
        };
        ports.m_stop = [this](const worker_report&, const stop_order& order) {
            m_stops.push_back(order);
        };
        ports.m_pace = [](const worker_report&, const pace_order&) {};
        ports.m_hold = [this](const worker_report&, const hold_order& order) {
            m_holds.push_back(order);
            m_held_at = m_now.m_at;
        };
        ports.m_ask = [](const policy_request&) {};
        ports.m_answer = [this](std::uint64_t, const call_answer& answer) {
            m_answers.push_back(answer);
        };
        ports.m_log = [this](const decision& entry) {
            m_log.emplace_back(entry.m_event, entry.m_detail);
        };
        ports.m_deposed = [this] { m_deposed = true; };
        return ports;
    }

    /// Applies a configuration of one queue with these tenants.
    void set_tenants(tenant_directory tenants)
    {
        set_config({queue_at("/queue/")}, std::move(tenants));
    }

    static queue_config queue_at(const std::string& prefix)
    {
        queue_config queue;
        queue.m_host = "host";
        queue.m_prefix = prefix;
        queue.m_pool = "pool";
        return queue;
    }

    void set_config(std::vector<queue_config> queues, tenant_directory tenants)
    {
        m_scheduler->set_config(fleet_config::create(1, std::move(queues), {{"pool", false, false}},
                                                     std::move(tenants)));
    }

    void pass(milliseconds time)
    {
        m_now.m_at += time;
        m_now.m_unix_ms += time.count();
    }

    void submit(std::uint32_t count = 1, bool gang = false)
    {
        step_spec step;
        step.m_count = count;
        step.m_gang = gang;
        submit_step(job_id, step);
    }

    /// Submits a job of one step, whose tasks are of one core.
    void submit_step(const std::string& id, step_spec step)
    {
        step.m_task_resources.m_cpu_millis = 1'000;
        step.m_estimate = milliseconds{100};
        job_spec spec;
        spec.m_steps.push_back(step);
        submit_job(id, spec);
    }

    void submit_job(const std::string& id, const job_spec& spec,
                    const std::string& prefix = "/queue/")
    {
        m_scheduler->take_call(1, {call_kind::submit, "host", prefix + id, spec, m_key_digest},
                               m_now);
    }

    void write() { m_scheduler->written(m_scheduler->take_batch(m_now), m_now); }

    /// Submits a job of one task, whose run shows no progress for longer than runs may.
    void start_run()
    {
        submit();
        write();
        const auto [to, order] = m_starts.at(0);
        m_scheduler->start_answered({to.m_instance, order.m_fence}, order.m_key, order.m_run,
                                    {order_result::accepted, std::nullopt}, m_now);
        pass(milliseconds{100});
        answer_hold(first_birth_ms);
        pass(milliseconds{3'000});
        m_scheduler->tick(m_now);
    }

    /// Submits a job of one task, whose start gets no answer.
    void start_without_answer()
    {
        submit();
        write();
        const auto [to, order] = m_starts.at(0);
        pass(milliseconds{700});
        m_scheduler->start_answered({to.m_instance, order.m_fence}, order.m_key, order.m_run, {},
                                    m_now);
    }

    /// Lets the time pass while no hold is answered.
    void stay_silent_for(milliseconds time)
    {
        constexpr milliseconds step{100};
        for (milliseconds passed{0}; passed < time; passed += step) {
            pass(step);
            const auto holds = m_holds.size();
            m_scheduler->tick(m_now);
            if (m_holds.size() > holds) {
                m_scheduler->hold_answered({{"i-1", first_birth_ms}, m_holds.back().m_fence}, {},
                                           m_held_at, m_now);
            }
        }
    }

    bool task_is_placed()
    {
        const auto* submitted = m_scheduler->mutable_state().m_job_store.find(job_id);
        return submitted->at({0, 0, 0}).m_phase == task_phase::placed;
    }

    /// Sends the hold that is due, if any, and answers it with all runs that were started.
    void answer_hold(std::int64_t born_ms) { answer_hold_with(running_on("i-1"), {}, born_ms); }

    /// Returns the runs that were started on the worker.
    std::vector<running_entry> running_on(const std::string& id) const
    {
        std::vector<running_entry> running;
        for (const auto& [to, order] : m_starts) {
            if (to.m_instance.m_worker == id) {
                running.push_back({order.m_key, order.m_run, "", 10, 0});
            }
        }
        return running;
    }

    /// Sends the hold that is due, if any, and answers it with these lists.
    void answer_hold_with(std::vector<running_entry> running, std::vector<ended_entry> ended,
                          std::int64_t born_ms = first_birth_ms, const std::string& id = "i-1")
    {
        m_scheduler->tick(m_now);
        hold_answer answer;
        answer.m_result = order_result::accepted;
        answer.m_born_ms = born_ms;
        answer.m_clock_ms = m_now.m_unix_ms;
        answer.m_running = std::move(running);
        answer.m_ended = std::move(ended);
        m_scheduler->hold_answered({{id, first_birth_ms}, m_holds.back().m_fence}, answer,
                                   m_held_at, m_now);
    }

    void answer_start(const worker_report& to, const start_order& order, order_result result)
    {
        m_scheduler->start_answered({to.m_instance, order.m_fence}, order.m_key, order.m_run,
                                    {result, std::nullopt}, m_now);
    }

    void answer_stop(const worker_report& to, const stop_order& order, order_result result)
    {
        m_scheduler->stop_answered({to.m_instance, order.m_fence}, order.m_key, order.m_run,
                                   {result, std::nullopt}, m_now);
    }

    /// Answers a hold that was sent some time ago.
    void answer_late(const hold_order& hold, const hold_answer& answer)
    {
        m_scheduler->hold_answered({{"i-1", first_birth_ms}, hold.m_fence}, answer, m_held_at,
                                   m_now);
    }

    /// Forgets the worker, and meets it again in the same incarnation.
    void meet_again()
    {
        m_scheduler->worker_unlisted("i-1", m_now);
        m_scheduler->tick(m_now);
        m_scheduler->worker_listed(report_of(first_birth_ms), m_now);
        m_scheduler->tick(m_now);
    }

    /// Sends a hold, and meets the worker again before its answer. Returns the hold.
    hold_order send_hold_in_an_earlier_session()
    {
        meet_again();
        const auto hold = m_holds.back();
        meet_again();
        return hold;
    }

    /// Submits a job whose start gets no answer, gives the worker up, and meets it again with the
    /// run. Returns the start.
    std::pair<worker_report, start_order> meet_again_with_a_run()
    {
        submit();
        write();
        m_scheduler->worker_ended("i-1", vm_fate::gone, m_now.m_at, m_now);
        meet_again();
        return m_starts.at(0);
    }

    void add_worker(const std::string& id)
    {
        m_scheduler->worker_listed(report_of(first_birth_ms, id), m_now);
        answer_hold_with({}, {}, first_birth_ms, id);
        pass(milliseconds{200});
    }

    std::size_t count_starts_after_write()
    {
        write();
        return m_starts.size();
    }

    std::int64_t used_cpu_millis(const std::string& id)
    {
        return m_scheduler->mutable_state().find_worker(id)->used().m_cpu_millis;
    }

    /// Lets the worker list a run that was not started, and later its end. Returns how many starts
    /// were sent before the end.
    std::size_t list_unknown_run(const run_key& key)
    {
        answer_hold_with({{key, 7, "", 10, 0}}, {});
        write();
        const auto starts = m_starts.size();
        pass(milliseconds{200});
        answer_hold_with({}, {{1, key, 7, run_end::stopped, ""}});
        write();
        return starts;
    }
};

} // namespace peridotrudder
