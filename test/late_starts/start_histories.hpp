#pragma once

/// @file
/// All short histories of one task on two workers, with an oracle that checks what the workers
/// actually run. The scheduler underneath is the real one, with its ports and its records.

#include "peridotrudder/scheduling/job_scheduler.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotrudder {

/// Something that happens between two steps of time. "The worker" is the one that got the first
/// start.
enum class start_event {
    hold_up_next_start,
    hold_up_next_renewal,
    change_connection,
    end_run,
    crash,
    restart,
    remove_entry,
    publish_entry,
    read_vm_list,
    change_owner,
    deliver_first,
    deliver_second,
    deliver_third,
    pass_short,
    pass_timeout,
    pass_lease,
    pass_longest_delay,
};

inline std::string_view to_string(start_event event)
{
    constexpr std::array<std::string_view, 17> texts{"the next start is held up",
                                                     "the next renewal is held up",
                                                     "the worker is cut off, or connected again",
                                                     "the run ends with success",
                                                     "the worker crashes",
                                                     "it is back under its id",
                                                     "its entry goes",
                                                     "its present entry comes",
                                                     "a list of VMs shows it down",
                                                     "another owner takes over",
                                                     "the first late order is carried out",
                                                     "the second late order is carried out",
                                                     "the third late order is carried out",
                                                     "0.3 s pass",
                                                     "1.5 s pass",
                                                     "5 s pass",
                                                     "13 s pass"};
    return texts.at(static_cast<std::size_t>(event));
}

/// What becomes of the first start of a history.
enum class first_start { held_up, answer_lost, answered };

struct history_options {
    bool m_long_running{false};
    first_start m_first_start{first_start::held_up};
    /// A start isn't carried out if a former incarnation, while it was up, had come to refuse it.
    /// No worker remembers that, so histories with it leave one known fault out.
    bool m_former_refusals_last{true};
    /// Renewals may be held up, too.
    bool m_late_renewals{false};
    /// The worker drains from the first start on, so that the other one gets the next start.
    bool m_drains{false};
    /// What the scheduler takes for the longest time for which an order can be late.
    milliseconds m_expected_delay{lease_options{}.m_longest_order_delay};
};

/// One history: two workers, one task, a journal and successive owners. Deterministic.
class start_history {
public:
    explicit start_history(history_options options) : m_options{options}
    {
        for (std::size_t index = 0; index < m_workers.size(); ++index) {
            m_workers[index].m_instance = {"i-" + std::to_string(index), first_birth_ms};
            m_workers[index].m_born_at = m_now;
            m_entries[index] = report_of(index);
        }
        begin_owner();
        // Leases of a predecessor have lapsed by then.
        pass(milliseconds{12'000});
        m_holds_up_start = options.m_first_start == first_start::held_up;
        m_loses_answer = options.m_first_start == first_start::answer_lost;
        job_call call{call_kind::submit, "host", "/queue/" + task().m_job, job_spec{}};
        step_spec step;
        step.m_count = 1;
        step.m_task_resources.m_cpu_millis = 1'000;
        step.m_estimate = milliseconds{60'000};
        step.m_long_running = options.m_long_running;
        call.m_spec->m_steps.push_back(step);
        m_owner->take_call(1, call, now());
        while (!m_first_worker) {
            pass(tick_time);
        }
        m_begun_at = m_now;
        if (options.m_drains) {
            happen(start_event::publish_entry);
        }
    }

    start_history(const start_history&) = delete;
    start_history& operator=(const start_history&) = delete;
    start_history(start_history&&) = delete;
    start_history& operator=(start_history&&) = delete;
    ~start_history() = default;

    /// Returns an equal history that goes its own way. What the scheduler keeps beside its state
    /// begins anew there: the crashes that no start explains.
    std::unique_ptr<start_history> clone() const
    {
        return std::unique_ptr<start_history>{new start_history{*this, clone_tag{}}};
    }

    /// Returns whether the event can happen now.
    bool may_happen(start_event event) const
    {
        const auto& faulty = m_workers[*m_first_worker];
        const auto& entry = m_entries[*m_first_worker];
        switch (event) {
        case start_event::hold_up_next_start:
            return !m_holds_up_start && m_sent_late < most_late_orders;
        case start_event::hold_up_next_renewal:
            return m_options.m_late_renewals && !m_holds_up_renewal && !m_held_up_renewal &&
                   m_sent_late < most_late_orders;
        case start_event::change_connection:
            return m_cuts < most_cuts || faulty.m_cut;
        case start_event::end_run:
            return !m_options.m_long_running &&
                   std::any_of(m_workers.begin(), m_workers.end(),
                               [](const auto& any) { return any.m_run.has_value(); });
        case start_event::crash:
            return faulty.m_up && faulty.m_incarnation < most_incarnations;
        case start_event::restart:
            return !faulty.m_up;
        case start_event::remove_entry:
            return entry.has_value();
        case start_event::publish_entry:
            return faulty.m_up && !(entry && entry->m_instance == faulty.m_instance);
        case start_event::read_vm_list:
            return !faulty.m_up;
        case start_event::change_owner:
            return m_epoch < most_owners;
        case start_event::deliver_first:
        case start_event::deliver_second:
        case start_event::deliver_third:
            return may_arrive(number_of(event));
        default:
            return m_now - m_begun_at < longest_history;
        }
    }

    void happen(start_event event)
    {
        auto& faulty = m_workers[*m_first_worker];
        auto& entry = m_entries[*m_first_worker];
        switch (event) {
        case start_event::hold_up_next_start:
            m_holds_up_start = true;
            return;
        case start_event::hold_up_next_renewal:
            m_holds_up_renewal = true;
            return;
        case start_event::change_connection:
            m_cuts += faulty.m_cut ? 0 : 1;
            faulty.m_cut = !faulty.m_cut;
            return;
        case start_event::end_run:
            for (auto& any : m_workers) {
                end_run(any, run_end::done);
            }
            return;
        case start_event::crash:
            faulty.m_former.push_back({faulty.m_fence, faulty.m_barred, clock_of(faulty)});
            faulty.m_up = false;
            faulty.m_run.reset();
            return;
        case start_event::restart:
            restart(faulty);
            return;
        case start_event::remove_entry:
            entry.reset();
            m_owner->worker_unlisted(faulty.m_instance.m_worker, now());
            return;
        case start_event::publish_entry:
            entry = report_of(*m_first_worker);
            m_owner->worker_listed(*entry, now());
            return;
        case start_event::read_vm_list:
            m_owner->worker_ended(faulty.m_instance.m_worker, vm_fate::down, m_now, now());
            return;
        case start_event::change_owner:
            begin_owner();
            return;
        case start_event::deliver_first:
        case start_event::deliver_second:
        case start_event::deliver_third:
            deliver(number_of(event));
            return;
        case start_event::pass_short:
            pass(milliseconds{300});
            return;
        case start_event::pass_timeout:
            pass(milliseconds{1'500});
            return;
        case start_event::pass_lease:
            pass(milliseconds{5'000});
            return;
        case start_event::pass_longest_delay:
            pass(milliseconds{13'000});
            return;
        }
    }

    /// Returns the violated rule, or an empty string.
    const std::string& violation() const { return m_violation; }

    /// Returns the decisions of the owners, with the time since the first start.
    const std::vector<std::string>& log() const { return m_log; }
    void keep_log() { m_keeps_log = true; }

private:
    static constexpr std::int64_t first_birth_ms = 1'000'000;
    static constexpr std::uint32_t most_incarnations = 3;
    static constexpr std::uint64_t most_owners = 2;
    static constexpr std::uint32_t most_cuts = 1;
    static constexpr std::size_t most_late_orders = 3;
    static constexpr milliseconds tick_time{100};
    static constexpr milliseconds order_timeout{700};
    static constexpr milliseconds hold_timeout{500};
    static constexpr milliseconds longest_lease{6'000};
    static constexpr milliseconds longest_delay{12'000};
    static constexpr milliseconds longest_history{26'000};

    struct clone_tag {};

    struct refusals {
        std::uint64_t m_fence{0};
        std::uint32_t m_barred{0};
        std::int64_t m_clock_ms{0};
    };

    struct run_at_worker {
        std::uint32_t m_run{0};
        time_point m_started_at;
    };

    struct end_at_worker {
        ended_entry m_entry;
        /// The task was started again after this end.
        bool m_followed{false};
        /// The worker's lease lapsed after this end, so that it doesn't bind the owner.
        bool m_lapsed{false};
    };

    struct worker {
        worker_instance m_instance;
        std::uint32_t m_incarnation{1};
        time_point m_born_at;
        bool m_up{true};
        bool m_cut{false};
        std::uint64_t m_fence{0};
        std::uint32_t m_barred{0};
        time_point m_lease_end;
        std::uint64_t m_next_end{1};
        std::optional<run_at_worker> m_run;
        std::vector<end_at_worker> m_ended;
        std::vector<refusals> m_former;
    };

    struct late_order {
        std::size_t m_worker{0};
        time_point m_sent_at;
        std::uint32_t m_incarnation{0};
        bool m_arrived{false};
        std::optional<start_order> m_start;
        std::optional<hold_order> m_hold;
    };

    enum class answered_order { start, stop, hold };

    struct answer {
        time_point m_due;
        std::uint64_t m_epoch{0};
        answered_order m_to{answered_order::hold};
        order_target m_target;
        std::uint32_t m_run{0};
        order_answer m_order_answer;
        hold_answer m_hold_answer;
        time_point m_sent_at;
    };

    start_history(const start_history& other, clone_tag)
        : m_options{other.m_options},
          m_now{other.m_now},
          m_begun_at{other.m_begun_at},
          m_workers{other.m_workers},
          m_entries{other.m_entries},
          m_first_worker{other.m_first_worker},
          m_epoch{other.m_epoch},
          m_journal{other.m_journal},
          m_writing{other.m_writing},
          m_answers{other.m_answers},
          m_late{other.m_late},
          m_sent_late{other.m_sent_late},
          m_cuts{other.m_cuts},
          m_births{other.m_births},
          m_holds_up_start{other.m_holds_up_start},
          m_loses_answer{other.m_loses_answer},
          m_holds_up_renewal{other.m_holds_up_renewal},
          m_held_up_renewal{other.m_held_up_renewal},
          m_success_noted{other.m_success_noted},
          m_violation{other.m_violation}
    {
        m_owner = job_scheduler::create(other.m_owner->state().m_options, make_ports(), job_store{},
                                        now());
        auto& state = m_owner->mutable_state();
        auto ports = std::move(state.m_ports);
        state = other.m_owner->state();
        state.m_ports = std::move(ports);
    }

    static const run_key& task()
    {
        static const run_key key{"000000000000000a", {0, 0, 0}};
        return key;
    }

    static std::size_t number_of(start_event event)
    {
        return static_cast<std::size_t>(event) -
               static_cast<std::size_t>(start_event::deliver_first);
    }

    moment now() const
    {
        return {m_now, std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count()};
    }
    std::int64_t clock_of(const worker& any) const
    {
        return std::chrono::duration_cast<milliseconds>(m_now - any.m_born_at).count() + 1;
    }
    void fail(const std::string& message)
    {
        if (m_violation.empty()) {
            m_violation = message;
        }
    }

    worker_report report_of(std::size_t index) const
    {
        worker_report report;
        report.m_instance = m_workers[index].m_instance;
        report.m_pool = "pool";
        report.m_address = report.m_instance.m_worker;
        report.m_port = 80;
        report.m_capacity = {1'000, 1'000'000, 0};
        report.m_draining =
            m_options.m_drains && m_first_worker == index && m_workers[index].m_incarnation == 1;
        return report;
    }

    static std::size_t index_of(const worker_instance& instance)
    {
        return instance.m_worker == "i-0" ? 0 : 1;
    }

    // The owner.

    void begin_owner()
    {
        ++m_epoch;
        m_writing.reset();
        std::vector<keyed_record> records;
        for (const auto& [key, value] : m_journal) {
            records.push_back({key, value, 0});
        }
        restore_report report;
        scheduler_options options;
        options.m_fence = first_token(m_epoch);
        options.m_lease.m_longest_order_delay = m_options.m_expected_delay;
        m_owner = job_scheduler::create(options, make_ports(), job_store::restore(records, report),
                                        now());
        queue_config queue;
        queue.m_name = "queue";
        queue.m_host = "host";
        queue.m_prefix = "/queue/";
        queue.m_pool = "pool";
        queue.m_attempts = 1'000;
        m_owner->set_config(fleet_config::create(1, {queue}, {{"pool", false, false}}));
        for (const auto& entry : m_entries) {
            if (entry) {
                m_owner->worker_listed(*entry, now());
            }
        }
        m_owner->begin(now());
    }

    scheduler_ports make_ports()
    {
        scheduler_ports ports;
        ports.m_start = [this](const worker_report& to, const start_order& order) {
            send_start(to, order);
        };
        ports.m_stop = [this](const worker_report& to, const stop_order& order) {
            send_stop(to, order);
        };
        ports.m_hold = [this](const worker_report& to, const hold_order& order) {
            send_hold(to, order);
        };
        ports.m_pace = [](const worker_report&, const pace_order&) {};
        ports.m_ask = [](const policy_request&) {};
        ports.m_answer = [](std::uint64_t, const call_answer&) {};
        ports.m_log = [this](const decision& entry) {
            if (m_keeps_log) {
                m_log.push_back(
                    std::to_string(
                        std::chrono::duration_cast<milliseconds>(m_now - m_begun_at).count()) +
                    " ms " + std::string{entry.m_event} + " " + entry.m_worker + " " +
                    entry.m_detail);
            }
        };
        ports.m_deposed = [] {};
        return ports;
    }

    void pass(milliseconds time)
    {
        const auto end = m_now + time;
        while (m_now < end && m_violation.empty()) {
            m_now += tick_time;
            take_answers();
            for (auto& any : m_workers) {
                lapse(any);
            }
            m_owner->tick(now());
            write();
        }
    }

    /// Completes the write that is under way and begins the next one, whose records are kept even
    /// if its owner ends before it learns of that.
    void write()
    {
        if (m_writing) {
            const auto batch = std::move(*m_writing);
            m_writing.reset();
            m_owner->written(batch, now());
        }
        if (!m_owner->needs_write()) {
            return;
        }
        m_writing = m_owner->take_batch(now());
        for (const auto& record : m_writing->m_records) {
            if (record.m_value) {
                m_journal[record.m_key] = *record.m_value;
            }
            else {
                m_journal.erase(record.m_key);
            }
        }
    }

    // Orders and their answers.

    answer make_answer(answered_order to, const order_target& target, std::uint32_t run,
                       milliseconds delay) const
    {
        answer made;
        made.m_due = m_now + delay;
        made.m_epoch = m_epoch;
        made.m_to = to;
        made.m_target = target;
        made.m_run = run;
        made.m_sent_at = m_now;
        return made;
    }

    bool reaches(const worker& any) const { return any.m_up && !any.m_cut; }

    void send_start(const worker_report& to, const start_order& order)
    {
        const auto index = index_of(to.m_instance);
        m_first_worker = m_first_worker.value_or(index);
        auto& receiver = m_workers[index];
        const bool held_up = m_holds_up_start || !reaches(receiver);
        const bool answer_lost = m_loses_answer;
        m_holds_up_start = false;
        m_loses_answer = false;
        if (held_up && m_sent_late < most_late_orders) {
            ++m_sent_late;
            m_late.push_back({index, m_now, receiver.m_incarnation, false, order, {}});
        }
        if (held_up || answer_lost) {
            m_answers.push_back(make_answer(answered_order::start, {to.m_instance, order.m_fence},
                                            order.m_run, order_timeout));
        }
        if (!held_up) {
            auto made = make_answer(answered_order::start, {to.m_instance, order.m_fence},
                                    order.m_run, tick_time);
            made.m_order_answer = carry_out_start(receiver, order);
            if (!answer_lost) {
                m_answers.push_back(made);
            }
        }
    }

    void send_stop(const worker_report& to, const stop_order& order)
    {
        auto& receiver = m_workers[index_of(to.m_instance)];
        if (!reaches(receiver)) {
            m_answers.push_back(make_answer(answered_order::stop, {to.m_instance, order.m_fence},
                                            order.m_run, order_timeout));
            return;
        }
        auto made = make_answer(answered_order::stop, {to.m_instance, order.m_fence}, order.m_run,
                                tick_time);
        made.m_order_answer = carry_out_stop(receiver, order);
        m_answers.push_back(made);
    }

    void send_hold(const worker_report& to, const hold_order& order)
    {
        const auto index = index_of(to.m_instance);
        auto& receiver = m_workers[index];
        const bool renews = order.m_deadline_ms && m_first_worker == index;
        const bool held_up = m_holds_up_renewal && renews;
        if (held_up) {
            m_holds_up_renewal = false;
            m_held_up_renewal = true;
            ++m_sent_late;
            m_late.push_back({index, m_now, receiver.m_incarnation, false, {}, order});
        }
        if (held_up || !reaches(receiver)) {
            m_answers.push_back(
                make_answer(answered_order::hold, {to.m_instance, order.m_fence}, 0, hold_timeout));
            return;
        }
        auto made = make_answer(answered_order::hold, {to.m_instance, order.m_fence}, 0, tick_time);
        made.m_hold_answer = carry_out_hold(receiver, order);
        m_answers.push_back(made);
    }

    void take_answers()
    {
        std::vector<answer> due;
        for (auto entry = m_answers.begin(); entry != m_answers.end();) {
            if (entry->m_due > m_now) {
                ++entry;
                continue;
            }
            due.push_back(std::move(*entry));
            entry = m_answers.erase(entry);
        }
        for (const auto& one : due) {
            if (one.m_epoch == m_epoch) {
                take_answer(one);
            }
        }
    }

    void take_answer(const answer& one)
    {
        switch (one.m_to) {
        case answered_order::start:
            m_owner->start_answered(one.m_target, task(), one.m_run, one.m_order_answer, now());
            return;
        case answered_order::stop:
            m_owner->stop_answered(one.m_target, task(), one.m_run, one.m_order_answer, now());
            return;
        case answered_order::hold:
            m_owner->hold_answered(one.m_target, one.m_hold_answer, one.m_sent_at, now());
            return;
        }
    }

    bool may_arrive(std::size_t number) const
    {
        return number < m_late.size() && !m_late[number].m_arrived &&
               m_workers[m_late[number].m_worker].m_up &&
               m_now - m_late[number].m_sent_at <= longest_delay;
    }

    void deliver(std::size_t number)
    {
        auto& order = m_late[number];
        auto& receiver = m_workers[order.m_worker];
        order.m_arrived = true;
        if (order.m_hold) {
            auto renewal = *order.m_hold;
            if (receiver.m_incarnation != order.m_incarnation) {
                // Relays drop what would tell a later incarnation to forget its ends.
                renewal.m_last_end = 0;
            }
            carry_out_hold(receiver, renewal);
            return;
        }
        if (!m_options.m_former_refusals_last || !was_ruled_out(receiver, order)) {
            carry_out_start(receiver, *order.m_start);
        }
    }

    /// Returns whether an incarnation since the start was sent had come to refuse it.
    static bool was_ruled_out(const worker& receiver, const late_order& order)
    {
        const auto& start = *order.m_start;
        return std::any_of(
            receiver.m_former.begin() + static_cast<std::ptrdiff_t>(order.m_incarnation) - 1,
            receiver.m_former.end(), [&start](const refusals& former) {
                return start.m_fence < former.m_fence || former.m_barred >= start.m_run ||
                       former.m_clock_ms > start.m_deadline_ms;
            });
    }

    // Workers.

    void restart(worker& any)
    {
        worker fresh;
        fresh.m_instance = {any.m_instance.m_worker, first_birth_ms + ++m_births};
        fresh.m_incarnation = any.m_incarnation + 1;
        fresh.m_born_at = m_now;
        fresh.m_cut = any.m_cut;
        fresh.m_former = std::move(any.m_former);
        any = std::move(fresh);
    }

    order_answer carry_out_start(worker& receiver, const start_order& order)
    {
        if (order.m_fence < receiver.m_fence) {
            return {order_result::fenced, clock_of(receiver)};
        }
        receiver.m_fence = order.m_fence;
        if (receiver.m_run && receiver.m_run->m_run == order.m_run) {
            return {order_result::accepted, clock_of(receiver)};
        }
        if (receiver.m_barred >= order.m_run) {
            extend(receiver, order.m_deadline_ms);
            return {order_result::obsolete, clock_of(receiver)};
        }
        if (clock_of(receiver) > order.m_deadline_ms) {
            return {order_result::too_late, clock_of(receiver)};
        }
        extend(receiver, order.m_deadline_ms);
        begin_run(receiver, order.m_run);
        return {order_result::accepted, clock_of(receiver)};
    }

    order_answer carry_out_stop(worker& receiver, const stop_order& order)
    {
        if (order.m_fence < receiver.m_fence) {
            return {order_result::fenced, clock_of(receiver)};
        }
        receiver.m_fence = order.m_fence;
        receiver.m_barred = std::max(receiver.m_barred, order.m_run);
        if (receiver.m_run && receiver.m_run->m_run <= order.m_run) {
            end_run(receiver, run_end::stopped);
        }
        return {order_result::accepted, clock_of(receiver)};
    }

    hold_answer carry_out_hold(worker& receiver, const hold_order& order)
    {
        hold_answer made;
        if (order.m_fence < receiver.m_fence) {
            made.m_result = order_result::fenced;
            return made;
        }
        receiver.m_fence = order.m_fence;
        if (order.m_deadline_ms) {
            extend(receiver, *order.m_deadline_ms);
        }
        auto& ended = receiver.m_ended;
        while (!ended.empty() && ended.front().m_entry.m_number <= order.m_last_end) {
            note_end(ended.front());
            ended.erase(ended.begin());
        }
        made.m_result = order_result::accepted;
        made.m_clock_ms = clock_of(receiver);
        made.m_born_ms = receiver.m_instance.m_born_ms;
        if (receiver.m_run) {
            constexpr std::int64_t percent_time_ms = 600;
            const auto ran =
                std::chrono::duration_cast<milliseconds>(m_now - receiver.m_run->m_started_at);
            const auto percent = m_options.m_long_running
                                     ? 100
                                     : std::min<std::int64_t>(ran.count() / percent_time_ms, 99);
            made.m_running.push_back(
                {task(), receiver.m_run->m_run, "", static_cast<std::uint32_t>(percent), 0});
        }
        for (const auto& one : ended) {
            made.m_ended.push_back(one.m_entry);
        }
        return made;
    }

    void extend(worker& receiver, std::int64_t deadline_ms) const
    {
        const auto requested = receiver.m_born_at + milliseconds{deadline_ms - 1};
        receiver.m_lease_end =
            std::max(receiver.m_lease_end, std::min(requested, m_now + longest_lease));
    }

    void lapse(worker& any) const
    {
        if (m_now < any.m_lease_end) {
            return;
        }
        end_run(any, run_end::lease_expired);
        for (auto& one : any.m_ended) {
            one.m_lapsed = true;
        }
    }

    static void end_run(worker& any, run_end how)
    {
        if (any.m_run) {
            any.m_ended.push_back({{any.m_next_end++, task(), any.m_run->m_run, how, ""}});
            any.m_barred = std::max(any.m_barred, any.m_run->m_run);
            any.m_run.reset();
        }
    }

    // The oracle.

    void begin_run(worker& receiver, std::uint32_t number)
    {
        for (auto& any : m_workers) {
            if (any.m_up && any.m_run) {
                fail("two runs of the task at the same time");
            }
            for (auto& one : any.m_ended) {
                one.m_followed = true;
            }
        }
        if (m_success_noted) {
            fail("a start after a noted success");
        }
        receiver.m_run = run_at_worker{number, m_now};
    }

    void note_end(const end_at_worker& end)
    {
        if (end.m_entry.m_run_end != run_end::done) {
            return;
        }
        m_success_noted = true;
        if (end.m_followed && !end.m_lapsed) {
            fail("a start after a success that is noted later");
        }
    }

    history_options m_options;
    time_point m_now{milliseconds{1'000'000}};
    time_point m_begun_at;
    std::array<worker, 2> m_workers;
    /// The list of workers as it can be read now.
    std::array<std::optional<worker_report>, 2> m_entries;
    std::optional<std::size_t> m_first_worker;
    std::uint64_t m_epoch{0};
    std::map<std::string, std::vector<std::uint8_t>> m_journal;
    std::unique_ptr<job_scheduler> m_owner;
    std::optional<write_batch> m_writing;
    std::vector<answer> m_answers;
    std::vector<late_order> m_late;
    std::size_t m_sent_late{0};
    std::uint32_t m_cuts{0};
    std::int64_t m_births{0};
    bool m_holds_up_start{false};
    bool m_loses_answer{false};
    bool m_holds_up_renewal{false};
    bool m_held_up_renewal{false};
    bool m_success_noted{false};
    std::string m_violation;
    bool m_keeps_log{false};
    std::vector<std::string> m_log;
};

using event_sequence = std::vector<start_event>;

/// Returns whether the event may follow the last one: of events that commute, only one order is
/// tried, and none that only takes the last one back.
inline bool is_worth_trying(const event_sequence& before, start_event next)
{
    if (before.empty()) {
        return true;
    }
    const auto last = before.back();
    const bool last_passes = last >= start_event::pass_short;
    if (next >= start_event::pass_short) {
        return !last_passes || next <= last;
    }
    const auto takes_only_effect_later = [](start_event event) {
        return event <= start_event::change_connection;
    };
    const auto touches_owner_only = [](start_event event) {
        return event == start_event::remove_entry || event == start_event::change_owner;
    };
    const auto touches_worker_only = [](start_event event) {
        return event == start_event::end_run || event == start_event::crash ||
               event == start_event::restart ||
               (event >= start_event::deliver_first && event <= start_event::deliver_third);
    };
    if (last_passes) {
        return true;
    }
    if (takes_only_effect_later(next)) {
        return takes_only_effect_later(last) && last < next;
    }
    if (touches_owner_only(next) && touches_worker_only(last)) {
        return false;
    }
    const bool taken_back =
        (last == start_event::restart && next == start_event::crash) ||
        (last == start_event::publish_entry && next == start_event::remove_entry) ||
        (last == start_event::remove_entry && next == start_event::publish_entry);
    return !taken_back;
}

struct broken_histories {
    std::size_t m_count{0};
    event_sequence m_shortest;
};

struct search_result {
    std::size_t m_histories{0};
    /// The histories that break a rule, by rule.
    std::map<std::string, broken_histories> m_broken;
};

class history_search {
public:
    explicit history_search(history_options options) : m_options{options} {}

    /// Tries all sequences of at most `longest` events. A sequence ends where a rule breaks.
    search_result run(std::size_t longest)
    {
        m_longest = longest;
        m_result = {};
        m_sequence.clear();
        extend(start_history{m_options});
        return m_result;
    }

    /// Plays one sequence from its start, by one scheduler for each owner. Returns the violation.
    static std::string replay(history_options options, const event_sequence& sequence,
                              std::vector<std::string>* log = nullptr)
    {
        start_history history{options};
        history.keep_log();
        for (const auto event : sequence) {
            if (!history.may_happen(event)) {
                return "not possible";
            }
            history.happen(event);
        }
        if (log != nullptr) {
            *log = history.log();
        }
        return history.violation();
    }

private:
    void extend(const start_history& history)
    {
        for (int index = 0; index <= static_cast<int>(start_event::pass_longest_delay); ++index) {
            const auto event = static_cast<start_event>(index);
            if (!is_worth_trying(m_sequence, event) || !history.may_happen(event)) {
                continue;
            }
            const auto next = history.clone();
            next->happen(event);
            ++m_result.m_histories;
            m_sequence.push_back(event);
            if (!next->violation().empty()) {
                note(next->violation());
            }
            else if (m_sequence.size() < m_longest) {
                extend(*next);
            }
            m_sequence.pop_back();
        }
    }

    void note(const std::string& violation)
    {
        auto& broken = m_result.m_broken[violation];
        ++broken.m_count;
        if (broken.m_shortest.empty() || m_sequence.size() < broken.m_shortest.size()) {
            broken.m_shortest = m_sequence;
        }
    }

    history_options m_options;
    std::size_t m_longest{0};
    event_sequence m_sequence;
    search_result m_result;
};

/// Returns a shortest sequence for each rule that was broken, with the decisions of its owners;
/// empty if none was.
inline std::string to_text(const history_options& options, const search_result& result)
{
    std::string text;
    for (const auto& [rule, broken] : result.m_broken) {
        text += "\n" + std::to_string(broken.m_count) + " of " +
                std::to_string(result.m_histories) + " histories: " + rule + ", such as";
        for (const auto event : broken.m_shortest) {
            text += "\n  " + std::string{to_string(event)};
        }
        std::vector<std::string> log;
        const auto violation = history_search::replay(options, broken.m_shortest, &log);
        text += "\nplayed by itself: " + violation;
        for (const auto& line : log) {
            text += "\n  " + line;
        }
    }
    return text;
}

} // namespace peridotrudder
