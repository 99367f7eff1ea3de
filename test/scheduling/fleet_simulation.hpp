#pragma once

/// @file
/// A small world of workers, a journal and owners that come and go, with an oracle that watches
/// what workers really run. For tests of the scheduler without sockets or clocks.

#include "peridotrudder/scheduling/job_scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace peridotrudder {

/// What may go wrong with an order, in hundredths.
struct order_faults {
    int m_lost{0};
    int m_answer_lost{0};
    /// Not answered, and carried out seconds later.
    int m_late{0};
};

/// One run at a worker, as it really is.
struct simulated_run {
    std::uint32_t m_run{0};
    time_point m_began_at;
    time_point m_ends_at;
    std::int64_t m_cpu{0};
    bool m_stopping{false};
};

/// A worker by the protocol's rules: fencing, leases, deadlines, and a list of ends.
struct simulated_worker {
    worker_instance m_instance;
    bool m_up{true};
    bool m_reachable{true};
    bool m_listed{true};
    std::int64_t m_capacity{4'000};
    std::uint64_t m_fence{0};
    time_point m_lease_end;
    std::uint64_t m_next_end{1};
    std::map<run_key, simulated_run> m_runs;
    std::map<run_key, std::uint32_t> m_barred;
    std::vector<ended_entry> m_ended;
};

class fleet_simulation {
public:
    explicit fleet_simulation(std::uint64_t seed) : m_random{seed}
    {
        for (int index = 0; index < 4; ++index) {
            simulated_worker worker;
            worker.m_instance = {"i-" + std::to_string(index), 1};
            m_workers[worker.m_instance.m_worker] = worker;
        }
    }

    // Actions.

    /// Puts a new owner in the place of the present one. The former one, if it is to live on, does
    /// not know of it until its next write.
    void change_owner(bool former_lives_on)
    {
        if (m_owner && former_lives_on) {
            m_former.push_back(std::move(m_owner));
        }
        ++m_epoch;
        m_owner = std::make_unique<owner>();
        m_owner->m_epoch = m_epoch;
        start_owner(*m_owner);
    }

    void submit(std::uint32_t first_tasks, std::uint32_t second_tasks)
    {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", ++m_submitted);
        job_call call{call_kind::submit, "host", "/queue/" + std::string{id}, job_spec{}};
        call.m_spec->m_steps.push_back(step_of(first_tasks, {}));
        if (second_tasks > 0) {
            call.m_spec->m_steps.push_back(step_of(second_tasks, {0}));
        }
        m_specs[id] = *call.m_spec;
        m_calls[++m_token] = {id, call_kind::submit};
        m_owner->m_scheduler->take_call(m_token, call, now());
        pump(*m_owner);
    }

    void cancel(std::uint32_t number)
    {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", number % std::max(m_submitted, 1U) + 1);
        m_calls[++m_token] = {id, call_kind::cancel};
        m_owner->m_scheduler->take_call(
            m_token, {call_kind::cancel, "host", "/queue/" + std::string{id}, std::nullopt}, now());
        pump(*m_owner);
    }

    /// Asks for a job's state; returns "none yet" if there is no answer at once.
    std::string ask(std::uint32_t number)
    {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", number);
        m_calls[++m_token] = {id, call_kind::query};
        m_told = "none yet";
        m_owner->m_scheduler->take_call(
            m_token, {call_kind::query, "host", "/queue/" + std::string{id}, std::nullopt}, now());
        return m_told;
    }

    /// Ends a worker's life; it starts anew under its id.
    void crash(std::uint32_t index)
    {
        auto& worker = pick(index);
        simulated_worker fresh;
        fresh.m_instance = {worker.m_instance.m_worker, worker.m_instance.m_born_ms + 1};
        worker = fresh;
        list(worker);
    }

    void set_reachable(std::uint32_t index, bool reachable) { pick(index).m_reachable = reachable; }
    void set_journal_up(bool up) { m_journal_up = up; }
    /// Lets a placement policy decide which workers may run a step; to be set before any owner.
    void set_policy(bool restricted) { m_restricted = restricted; }
    void set_faults(order_faults faults) { m_faults = faults; }

    /// Lets time pass, and checks the world at every step.
    void pass(milliseconds time)
    {
        const auto end = m_now + time;
        while (m_now < end) {
            m_now += milliseconds{5};
            run_due();
            for (auto& [id, worker] : m_workers) {
                live(worker);
            }
            for (auto& each : m_former) {
                tick(*each);
            }
            if (m_owner) {
                tick(*m_owner);
            }
            check();
        }
    }

    /// Makes everything well and returns whether every accepted job has ended within `time`.
    bool settles(milliseconds time)
    {
        m_faults = {};
        m_journal_up = true;
        for (auto& [id, worker] : m_workers) {
            worker.m_reachable = true;
        }
        pass(time);
        for (const auto& id : m_accepted) {
            const auto* of = m_owner->m_scheduler->mutable_state().m_job_store.find(id);
            if (of == nullptr || of->phase() == job_phase::active) {
                m_fault = "job " + id + " has not ended";
                return false;
            }
        }
        return true;
    }

    /// Returns the first broken promise; empty while all are kept.
    const std::string& fault() const { return m_fault; }
    std::size_t starts() const { return m_starts; }
    /// Returns the newest duration that was logged with each event.
    const std::map<std::string, milliseconds>& timed() const { return m_timed; }
    /// Returns how many starts came without a valid ticket where one was needed.
    std::size_t bad_tickets() const { return m_bad_tickets; }
    std::size_t accepted() const { return m_accepted.size(); }

private:
    /// The grace that successors wait out.
    const milliseconds hold_proof{lease_options{}.m_predecessor_grace};

    struct owner {
        std::uint64_t m_epoch{0};
        std::unique_ptr<job_scheduler> m_scheduler;
        std::optional<write_batch> m_writing;
        /// When the newest write that succeeded was begun.
        time_point m_writing_since;
        time_point m_proven_at;
        bool m_over{false};
    };

    struct call_record {
        std::string m_id;
        call_kind m_kind{call_kind::query};
    };

    static step_spec step_of(std::uint32_t count, std::vector<std::uint32_t> depends_on)
    {
        step_spec step;
        step.m_count = count;
        step.m_task_resources.m_cpu_millis = 1'500;
        step.m_estimate = milliseconds{300};
        step.m_depends_on = std::move(depends_on);
        return step;
    }

    moment now() const
    {
        return {m_now, std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count()};
    }

    std::int64_t clock_of() const { return now().m_unix_ms; }
    simulated_worker& pick(std::uint32_t index)
    {
        return std::next(m_workers.begin(), index % m_workers.size())->second;
    }
    bool chance(int hundredths) { return static_cast<int>(m_random() % 100) < hundredths; }
    void later(milliseconds delay, std::function<void()> action)
    {
        m_due.emplace(m_now + delay, std::move(action));
    }
    void fail(const std::string& what)
    {
        if (m_fault.empty()) {
            m_fault = what;
        }
    }

    void run_due()
    {
        while (!m_due.empty() && m_due.begin()->first <= m_now) {
            const auto action = std::move(m_due.begin()->second);
            m_due.erase(m_due.begin());
            action();
        }
    }

    // Owners.

    fleet_config make_config() const
    {
        queue_config queue;
        queue.m_name = "queue";
        queue.m_host = "host";
        queue.m_prefix = "/queue/";
        queue.m_pool = "pool";
        queue.m_attempts = 1'000;
        queue.m_target = milliseconds{600};
        if (m_restricted) {
            queue.m_policy = placement_policy{milliseconds{10}, milliseconds{2}, ticket_time};
        }
        return fleet_config::create(1, {queue}, {{"pool", false, false}});
    }

    worker_report report_of(const simulated_worker& worker) const
    {
        worker_report report;
        report.m_instance = worker.m_instance;
        report.m_pool = "pool";
        report.m_address = worker.m_instance.m_worker;
        report.m_port = 80;
        report.m_capacity = {worker.m_capacity, 1'000'000, 0};
        return report;
    }

    void list(const simulated_worker& worker)
    {
        if (m_owner) {
            m_owner->m_scheduler->worker_listed(report_of(worker), now());
        }
    }

    void start_owner(owner& fresh)
    {
        std::vector<keyed_record> records;
        for (const auto& [key, value] : m_journal) {
            records.push_back({key, value, 0});
        }
        restore_report report;
        scheduler_options options;
        options.m_fence = fresh.m_epoch;
        m_journal_epoch = fresh.m_epoch;
        fresh.m_proven_at = m_now;
        fresh.m_scheduler = job_scheduler::create(options, make_ports(fresh),
                                                  job_store::restore(records, report), now());
        if (!report.m_damaged.empty()) {
            fail("damaged record " + report.m_damaged.front());
        }
        fresh.m_scheduler->set_config(make_config());
        for (const auto& [id, worker] : m_workers) {
            fresh.m_scheduler->worker_listed(report_of(worker), now());
        }
        fresh.m_scheduler->begin(now());
    }

    void tick(owner& each)
    {
        if (!each.m_over) {
            each.m_scheduler->tick(now());
            pump(each);
        }
    }

    void pump(owner& each)
    {
        if (each.m_over || each.m_writing || !each.m_scheduler->needs_write()) {
            return;
        }
        each.m_writing = each.m_scheduler->take_batch(now());
        each.m_writing_since = m_now;
        later(milliseconds{8}, [this, epoch = each.m_epoch] { write(epoch); });
    }

    owner* find_owner(std::uint64_t epoch)
    {
        if (m_owner && m_owner->m_epoch == epoch) {
            return m_owner.get();
        }
        for (auto& each : m_former) {
            if (each->m_epoch == epoch && !each->m_over) {
                return each.get();
            }
        }
        return nullptr;
    }

    void write(std::uint64_t epoch)
    {
        auto* each = find_owner(epoch);
        if (each == nullptr) {
            return;
        }
        if (!m_journal_up) {
            later(milliseconds{40}, [this, epoch] { write(epoch); });
            return;
        }
        if (epoch < m_journal_epoch && !each->m_writing->m_records.empty()) {
            each->m_over = true;
            return;
        }
        for (const auto& record : each->m_writing->m_records) {
            if (record.m_value) {
                m_journal[record.m_key] = *record.m_value;
            }
            else {
                m_journal.erase(record.m_key);
            }
        }
        if (!each->m_writing->m_records.empty()) {
            each->m_proven_at = each->m_writing_since;
        }
        const auto batch = std::move(*each->m_writing);
        each->m_writing.reset();
        each->m_scheduler->written(batch, now());
    }

    scheduler_ports make_ports(owner& of)
    {
        scheduler_ports ports;
        const auto epoch = of.m_epoch;
        ports.m_start = [this, epoch](const worker_report& to, const start_order& order) {
            send<order_answer>(
                to, [this, to, order] { return carry_out_start(to, order); },
                [this, epoch, to, order](const order_answer& answer) {
                    if (auto* each = find_owner(epoch)) {
                        each->m_scheduler->start_answered(to.m_instance, order.m_key, order.m_run,
                                                          answer, now());
                    }
                });
        };
        ports.m_stop = [this, epoch](const worker_report& to, const stop_order& order) {
            send<order_answer>(
                to, [this, to, order] { return carry_out_stop(to, order); },
                [this, epoch, to, order](const order_answer& answer) {
                    if (auto* each = find_owner(epoch)) {
                        each->m_scheduler->stop_answered(to.m_instance, order.m_key, order.m_run,
                                                         answer, now());
                    }
                });
        };
        ports.m_pace = [](const worker_report&, const pace_order&) {};
        ports.m_ask = [this, epoch](const policy_request& question) {
            const bool lost = chance(m_faults.m_lost + m_faults.m_answer_lost);
            const milliseconds took{10 + 2 * question.m_workers.size()};
            later(lost ? question.m_patience : took, [this, epoch, question, lost] {
                if (auto* each = find_owner(epoch)) {
                    each->m_scheduler->policy_answered(lost ? policy_answer{} : decide(question),
                                                       now());
                }
            });
        };
        ports.m_hold = [this, epoch](const worker_report& to, hold_order order) {
            // As whoever drives a scheduler has to: no lease is renewed without a proof of
            // ownership.
            const auto* sender = find_owner(epoch);
            if (sender == nullptr || m_now - sender->m_proven_at > hold_proof) {
                order.m_deadline_ms.reset();
            }
            send<hold_answer>(
                to, [this, to, order] { return carry_out_hold(to, order); },
                [this, epoch, to, sent_at = m_now](const hold_answer& answer) {
                    if (auto* each = find_owner(epoch)) {
                        each->m_scheduler->hold_answered(to.m_instance, answer, sent_at, now());
                    }
                });
        };
        ports.m_answer = [this](std::uint64_t token, const call_answer& answer) {
            take_answer(token, answer);
        };
        ports.m_log = [this](const decision& made) {
            if (made.m_took) {
                m_timed[std::string{made.m_event}] = *made.m_took;
            }
        };
        ports.m_deposed = [this, epoch] {
            if (auto* each = find_owner(epoch); each != nullptr && each != m_owner.get()) {
                each->m_over = true;
            }
        };
        return ports;
    }

    void take_answer(std::uint64_t token, const call_answer& answer)
    {
        const auto& call = m_calls[token];
        if (answer.m_status == call_status::state) {
            m_told = to_string(answer.m_state);
        }
        if (answer.m_status != call_status::done) {
            return;
        }
        if (call.m_kind == call_kind::submit) {
            m_accepted.insert(call.m_id);
        }
        else {
            m_cancelled.emplace(call.m_id, m_now);
        }
    }

    // The way to a worker and back.

    template <typename Answer>
    void send(const worker_report& to, std::function<Answer()> carry_out,
              std::function<void(Answer)> answer)
    {
        constexpr milliseconds timeout{700};
        const auto way = milliseconds{1 + m_random() % 15};
        if (chance(m_faults.m_lost) || !m_workers[to.m_instance.m_worker].m_reachable) {
            later(timeout, [answer] { answer(Answer{}); });
            return;
        }
        if (chance(m_faults.m_late)) {
            later(timeout, [answer] { answer(Answer{}); });
            later(milliseconds{2'000 + m_random() % 4'000}, [carry_out] { carry_out(); });
            return;
        }
        const bool answer_lost = chance(m_faults.m_answer_lost);
        later(way, [this, carry_out, answer, answer_lost, way, timeout] {
            const auto result = carry_out();
            if (answer_lost) {
                later(timeout, [answer] { answer(Answer{}); });
            }
            else {
                later(way, [answer, result] { answer(result); });
            }
        });
    }

    simulated_worker* meant(const worker_report& to)
    {
        auto& worker = m_workers[to.m_instance.m_worker];
        return worker.m_instance == to.m_instance ? &worker : nullptr;
    }

    /// The policy: the first worker may run every step, others by their names.
    bool may_run(const step_key& step, const std::string& worker) const
    {
        const auto name = step.m_job + std::to_string(step.m_step) + worker;
        return worker == m_workers.begin()->first || std::hash<std::string>{}(name) % 2 == 0;
    }

    static std::string ticket_name(const step_key& step, const worker_instance& life)
    {
        return step.m_job + std::to_string(step.m_step) + life.m_worker +
               std::to_string(life.m_born_ms);
    }

    policy_answer decide(const policy_request& question)
    {
        policy_answer answer;
        answer.m_answered = true;
        answer.m_valid = ticket_time;
        for (const auto& each : question.m_workers) {
            if (may_run(question.m_step, each.m_worker)) {
                const auto ticket =
                    ticket_name(question.m_step, m_workers[each.m_worker].m_instance);
                m_tickets[ticket] = m_now + ticket_time;
                answer.m_granted.push_back({each.m_worker, ticket});
            }
        }
        return answer;
    }

    bool is_permitted(const worker_instance& life, const start_order& order) const
    {
        const step_key step{order.m_key.m_job, order.m_key.m_task.m_occurrence,
                            order.m_key.m_task.m_step};
        const auto found = m_tickets.find(order.m_ticket);
        return !m_restricted || (order.m_ticket == ticket_name(step, life) &&
                                 found != m_tickets.end() && m_now < found->second);
    }

    order_answer carry_out_start(const worker_report& to, const start_order& order)
    {
        auto* worker = meant(to);
        if (worker == nullptr) {
            return {order_result::other_life, std::nullopt};
        }
        if (order.m_fence < worker->m_fence) {
            return {order_result::fenced, clock_of()};
        }
        worker->m_fence = order.m_fence;
        const auto found = worker->m_runs.find(order.m_key);
        if (found != worker->m_runs.end() && found->second.m_run == order.m_run) {
            return {order_result::accepted, clock_of()};
        }
        if (worker->m_barred[order.m_key] >= order.m_run) {
            return {order_result::obsolete, clock_of()};
        }
        if (clock_of() > order.m_deadline_ms) {
            return {order_result::too_late, clock_of()};
        }
        if (!is_permitted(worker->m_instance, order)) {
            ++m_bad_tickets;
            return {order_result::bad_ticket, clock_of()};
        }
        extend(*worker, order.m_deadline_ms);
        begin(*worker, order);
        return {order_result::accepted, clock_of()};
    }

    order_answer carry_out_stop(const worker_report& to, const stop_order& order)
    {
        auto* worker = meant(to);
        if (worker == nullptr) {
            return {order_result::other_life, std::nullopt};
        }
        if (order.m_fence < worker->m_fence) {
            return {order_result::fenced, clock_of()};
        }
        worker->m_fence = order.m_fence;
        auto& barred = worker->m_barred[order.m_key];
        barred = std::max(barred, order.m_run);
        const auto found = worker->m_runs.find(order.m_key);
        if (found != worker->m_runs.end() && found->second.m_run <= order.m_run &&
            !found->second.m_stopping) {
            found->second.m_stopping = true;
            found->second.m_ends_at = m_now + milliseconds{100};
        }
        return {order_result::accepted, clock_of()};
    }

    hold_answer carry_out_hold(const worker_report& to, const hold_order& order)
    {
        hold_answer answer;
        auto& worker = m_workers[to.m_instance.m_worker];
        if (order.m_fence < worker.m_fence) {
            answer.m_result = order_result::fenced;
            return answer;
        }
        worker.m_fence = order.m_fence;
        if (order.m_deadline_ms) {
            extend(worker, *order.m_deadline_ms);
        }
        auto& ended = worker.m_ended;
        while (!ended.empty() && ended.front().m_number <= order.m_last_end &&
               worker.m_instance == to.m_instance) {
            if (ended.front().m_how == run_end::done) {
                m_noted_done.insert(ended.front().m_key);
            }
            ended.erase(ended.begin());
        }
        answer.m_result = order_result::accepted;
        answer.m_clock_ms = clock_of();
        answer.m_born_ms = worker.m_instance.m_born_ms;
        for (const auto& [key, run] : worker.m_runs) {
            const auto whole = std::max<std::int64_t>((run.m_ends_at - run.m_began_at).count(), 1);
            const auto percent = (m_now - run.m_began_at).count() * 100 / whole;
            answer.m_running.push_back(
                {key, run.m_run, "", static_cast<std::uint32_t>(percent), 0});
        }
        answer.m_ended = ended;
        return answer;
    }

    void extend(simulated_worker& worker, std::int64_t deadline_ms)
    {
        const auto longest = m_now + milliseconds{6'000};
        const time_point wanted{milliseconds{deadline_ms}};
        worker.m_lease_end = std::max(worker.m_lease_end, std::min(wanted, longest));
    }

    // The oracle.

    void begin(simulated_worker& worker, const start_order& order)
    {
        ++m_starts;
        const auto& id = order.m_key.m_job;
        const auto spec = m_specs.find(id);
        if (spec == m_specs.end()) {
            fail("start of a job that nobody submitted");
            return;
        }
        for (const auto& [other, each] : m_workers) {
            if (each.m_runs.count(order.m_key) != 0) {
                fail("task of " + id + " runs twice");
            }
        }
        if (m_noted_done.count(order.m_key) != 0) {
            fail("task of " + id + " starts after its success was noted");
        }
        for (const auto needed : spec->second.m_steps[order.m_key.m_task.m_step].m_depends_on) {
            for (std::uint32_t index = 0; index < spec->second.m_steps[needed].m_count; ++index) {
                if (m_done.count({id, {0, needed, index}}) == 0) {
                    fail("task of " + id + " starts before what it depends on");
                }
            }
        }
        const auto cancelled = m_cancelled.find(id);
        if (cancelled != m_cancelled.end() && m_now - cancelled->second > milliseconds{3'000}) {
            fail("task of " + id + " starts long after its cancel");
        }
        simulated_run run;
        run.m_run = order.m_run;
        run.m_cpu = spec->second.m_steps[order.m_key.m_task.m_step].m_task_resources.m_cpu_millis;
        run.m_began_at = m_now;
        // Long runs are still there when answers are given up and leases end.
        run.m_ends_at =
            m_now + milliseconds{chance(30) ? 1'000 + m_random() % 5'000 : 50 + m_random() % 700};
        worker.m_runs[order.m_key] = run;
    }

    void live(simulated_worker& worker)
    {
        const bool lapsed = m_now >= worker.m_lease_end;
        for (auto each = worker.m_runs.begin(); each != worker.m_runs.end();) {
            if (!lapsed && m_now < each->second.m_ends_at) {
                ++each;
                continue;
            }
            auto how = run_end::done;
            if (lapsed) {
                how = run_end::lease_expired;
            }
            else if (each->second.m_stopping) {
                how = run_end::stopped;
            }
            if (how == run_end::done) {
                m_done.insert(each->first);
            }
            worker.m_ended.push_back(
                {worker.m_next_end++, each->first, each->second.m_run, how, ""});
            auto& barred = worker.m_barred[each->first];
            barred = std::max(barred, each->second.m_run);
            each = worker.m_runs.erase(each);
        }
    }

    void check()
    {
        for (const auto& [id, worker] : m_workers) {
            std::int64_t used = 0;
            for (const auto& [key, run] : worker.m_runs) {
                used += run.m_cpu;
            }
            if (used > worker.m_capacity) {
                fail("worker " + id + " is over its capacity");
            }
        }
    }

    std::mt19937_64 m_random;
    time_point m_now{milliseconds{1'000'000}};
    std::multimap<time_point, std::function<void()>> m_due;
    std::map<std::string, simulated_worker> m_workers;
    order_faults m_faults;
    bool m_journal_up{true};
    std::uint64_t m_journal_epoch{0};
    std::map<std::string, std::vector<std::uint8_t>> m_journal;
    std::uint64_t m_epoch{0};
    std::unique_ptr<owner> m_owner;
    std::vector<std::unique_ptr<owner>> m_former;
    std::uint32_t m_submitted{0};
    std::uint64_t m_token{0};
    std::map<std::uint64_t, call_record> m_calls;
    std::map<std::string, job_spec> m_specs;
    std::set<std::string> m_accepted;
    std::map<std::string, time_point> m_cancelled;
    std::set<run_key> m_done;
    std::set<run_key> m_noted_done;
    std::string m_fault;
    std::string m_told;
    std::size_t m_starts{0};
    static constexpr milliseconds ticket_time{1'500};
    bool m_restricted{false};
    std::map<std::string, time_point> m_tickets;
    std::size_t m_bad_tickets{0};
    std::map<std::string, milliseconds> m_timed;
};

} // namespace peridotrudder
