#include "peridotrudder/node/fleet_owner.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <variant>

namespace peridotrudder {

namespace {

constexpr std::string_view journal_topic = "keyed.jobs";
constexpr std::string_view journal_producer = "owner";
constexpr std::string_view proof_key = "proof";
/// Workers renew their entries constantly; the pause between reads limits their cost.
constexpr milliseconds worker_read_pause{150};
constexpr milliseconds load_retry{100};
constexpr milliseconds refused_retry_after{1'000};
constexpr double max_lag_ms = 500.0;
constexpr double lag_weight = 0.1;
constexpr milliseconds adapt_interval{100};
/// Average lateness of ticks at which the pause between holds doubles.
constexpr double lag_for_double_pause_ms = 10.0;
constexpr milliseconds max_hold_pause{250};
constexpr milliseconds status_retry{200};
/// Pause after a placement pass that started nothing, as a multiple of its duration. Over thousands
/// of waiting jobs a pass takes milliseconds; one for each answer of a worker would use up a slow
/// processor.
constexpr int pause_per_pass_time = 3;
constexpr milliseconds max_pass_pause{100};
/// Pause between two steps of loading, in which the loop handles whatever else is due.
constexpr milliseconds turn_pause{1};

} // namespace

std::unique_ptr<fleet_owner> fleet_owner::create(owner_options options, owner_ports ports)
{
    return std::unique_ptr<fleet_owner>{new fleet_owner{options, std::move(ports)}};
}

fleet_owner::fleet_owner(owner_options options, owner_ports ports)
    : m_options{options},
      m_ports{std::move(ports)},
      m_proof{ownership_proof::create(options.m_proof_limits)},
      m_self{std::make_shared<fleet_owner*>(this)}
{
    m_options.m_scheduler.m_fence = first_token(m_options.m_epoch);
    m_options.m_scheduler.m_lease.m_predecessor_grace =
        m_options.m_predecessor_released ? milliseconds{0} : m_options.m_proof_limits.m_lease;
}

void fleet_owner::start()
{
    journal_options options;
    options.m_topic = journal_topic;
    options.m_producer = journal_producer;
    options.m_epoch = m_options.m_epoch;
    m_journal = journal_writer::create(
        options, m_ports.m_log, {[this] { journal_written(); }, [this] { journal_fenced(); }});
    m_journal->claim(m_ports.m_loop.m_now().m_at);
    // The workers do not depend on the claim, so they are read at the same time.
    follow_workers();
}

void fleet_owner::journal_written()
{
    m_proof.renew(m_journal->proven_at());
    if (m_phase == owner_phase::claiming) {
        m_phase = owner_phase::loading;
        read_journal();
        // A reading from before the claim could be older than what the predecessor has answered by.
        follow_operators();
        return;
    }
    if (m_writing) {
        const auto batch = std::move(*m_writing);
        m_writing.reset();
        m_ports.m_measured("append", remaining(m_writing_since, m_ports.m_loop.m_now().m_at));
        m_scheduler->written(batch, m_ports.m_loop.m_now());
        m_planner->written();
    }
    write_pending();
}

void fleet_owner::journal_fenced()
{
    end();
}

void fleet_owner::end()
{
    if (m_phase != owner_phase::ended) {
        m_phase = owner_phase::ended;
        m_proof.revoke();
        m_ports.m_ended();
    }
}

void fleet_owner::read_journal()
{
    const std::weak_ptr<fleet_owner*> self = m_self;
    m_ports.m_log.m_newest(std::string{journal_topic}, [self](newest_answer answer) {
        const auto alive = self.lock();
        if (!alive) {
            return;
        }
        auto& owner = **alive;
        if (answer.m_result != log_result::ok) {
            owner.m_ports.m_loop.m_after(load_retry, [self] {
                if (const auto still_alive = self.lock()) {
                    (*still_alive)->read_journal();
                }
            });
            return;
        }
        owner.m_journal_records = std::move(answer.m_records);
        owner.m_journal_read = true;
        owner.load_when_read();
    });
}

void fleet_owner::follow_operators()
{
    follower_options options;
    options.m_topic = m_ports.m_record_schema.m_operator_topic;
    options.m_hedge_delay = m_options.m_config_hedge_delay;
    m_operators = buffered_follower::create(
        options, m_ports.m_log, m_ports.m_loop,
        [this](const std::vector<keyed_record>& records, bool /*snapshot*/) {
            take_operator_records(records);
        },
        [this] { load_when_read(); });
    m_operators->start();
}

void fleet_owner::follow_workers()
{
    follower_options options;
    options.m_topic = m_ports.m_record_schema.m_worker_topic;
    options.m_pause = worker_read_pause;
    m_worker_list = buffered_follower::create(
        options, m_ports.m_log, m_ports.m_loop,
        [this](const std::vector<keyed_record>& records, bool snapshot) {
            take_worker_records(records, snapshot);
        },
        [this] { load_when_read(); });
    m_worker_list->start();
}

void fleet_owner::load_when_read()
{
    const bool all_read = m_journal_read && m_operators != nullptr && m_operators->complete() &&
                          m_worker_list != nullptr && m_worker_list->complete();
    if (m_phase != owner_phase::loading || !all_read || m_reader || m_scheduler) {
        return;
    }
    m_ports.m_decided(
        {"owner_loading", "", "", fmt::format("{} records", m_journal_records.size())});
    m_reader = std::make_unique<job_reader>(job_reader::create(std::move(m_journal_records)));
    m_journal_records.clear();
    load_some();
}

// All jobs at once would take longer on a slow processor than peers wait for a heartbeat.
void fleet_owner::load_some()
{
    if (m_phase != owner_phase::loading) {
        return;
    }
    if (load_jobs(m_options.m_jobs_per_turn)) {
        serve();
        return;
    }
    in_next_turn(&fleet_owner::load_some);
}

bool fleet_owner::load_jobs(std::size_t max_jobs)
{
    if (m_reader) {
        const auto used = m_reader->read(max_jobs);
        m_restored_jobs = m_reader->report().m_jobs;
        if (!m_reader->complete() || used >= max_jobs) {
            return false;
        }
        create_scheduler();
        max_jobs -= used;
    }
    m_adopted_jobs += m_scheduler->begin_some(max_jobs, m_ports.m_loop.m_now());
    return m_scheduler->has_begun();
}

void fleet_owner::create_scheduler()
{
    const auto now = m_ports.m_loop.m_now();
    m_restored = m_reader->report();
    m_scheduler = job_scheduler::create(m_options.m_scheduler, make_scheduler_ports(),
                                        m_reader->take_store(), now);
    m_planner = fleet_planner::create(m_options.m_planner, m_options.m_epoch, make_planner_ports());
    m_planner->restore(m_reader->records(), now);
    m_planner->mark_leaving(*m_scheduler, now);
    m_reader.reset();
    m_operators->release();
    m_worker_list->release();
}

void fleet_owner::serve()
{
    m_ports.m_decided({"owner_loaded", "", "",
                       fmt::format("{} jobs, {} damaged records", m_restored.m_jobs,
                                   m_restored.m_damaged.size())});
    m_phase = owner_phase::serving;
    serve_early_calls();
    write_pending();
}

void fleet_owner::serve_early_calls()
{
    for (std::size_t count = 0; count < m_options.m_jobs_per_turn && !m_early_calls.empty() &&
                                m_phase == owner_phase::serving;
         ++count) {
        const auto [token, call] = std::move(m_early_calls.front());
        m_early_calls.pop_front();
        handle_call(token, call);
    }
    if (!m_early_calls.empty()) {
        in_next_turn(&fleet_owner::serve_early_calls);
    }
}

void fleet_owner::in_next_turn(void (fleet_owner::*step)())
{
    const std::weak_ptr<fleet_owner*> self = m_self;
    m_ports.m_loop.m_after(turn_pause, [self, step] {
        if (const auto alive = self.lock()) {
            ((**alive).*step)();
        }
    });
}

/// Replaces the limits whose values can't be used by those in force.
void fleet_owner::keep_usable_limits(fleet_config& config)
{
    const auto& in_force = m_scheduler->state().m_config.limits();
    auto limits = config.limits();
    if (limits.m_is_body_unusable) {
        m_ports.m_decided({"limit_unusable", "", "", "max-body-bytes"});
        limits.m_max_body_bytes = in_force.m_max_body_bytes;
    }
    if (limits.m_is_header_unusable) {
        m_ports.m_decided({"limit_unusable", "", "", "max-header-bytes"});
        limits.m_max_header_bytes = in_force.m_max_header_bytes;
    }
    config.set_limits(limits);
}

void fleet_owner::take_operator_records(const std::vector<keyed_record>& records)
{
    const auto now = m_ports.m_loop.m_now();
    for (const auto& record : records) {
        if (!record.m_value) {
            continue;
        }
        if (record.m_key == m_ports.m_record_schema.m_config_key) {
            auto config = m_ports.m_record_schema.m_config(*record.m_value);
            if (!config) {
                m_ports.m_decided({"config_unreadable", "", "", config.error().m_field});
                continue;
            }
            if (m_configured && config->version() < m_scheduler->state().m_config.version()) {
                continue;
            }
            m_ports.m_decided({"config_taken", "", "", std::to_string(config->version())});
            keep_usable_limits(*config);
            m_configured = true;
            m_scheduler->set_config(std::move(*config));
            write_pending();
            continue;
        }
        if (record.m_key.rfind(m_ports.m_record_schema.m_wave_prefix, 0) == 0) {
            auto wave = m_ports.m_record_schema.m_wave(*record.m_value);
            if (!wave) {
                m_ports.m_decided({"wave_unreadable", "", "", wave.error().m_field});
                continue;
            }
            m_planner->declare(std::move(*wave), record.m_key, now);
        }
    }
}

void fleet_owner::take_worker_records(const std::vector<keyed_record>& records, bool snapshot)
{
    const auto now = m_ports.m_loop.m_now();
    std::set<std::string> listed;
    for (const auto& record : records) {
        if (!record.m_value) {
            m_scheduler->worker_unlisted(record.m_key, now);
            listed.erase(record.m_key);
            continue;
        }
        const auto report = m_ports.m_record_schema.m_worker(record.m_key, *record.m_value);
        if (!report || m_scheduler->state().m_config.find_pool(report->m_pool) == nullptr) {
            if (m_unusable_workers.insert(record.m_key).second) {
                m_ports.m_decided({"worker_unusable", "", record.m_key,
                                   report ? report->m_pool : report.error().m_field});
            }
            m_scheduler->worker_unlisted(record.m_key, now);
            continue;
        }
        m_unusable_workers.erase(record.m_key);
        listed.insert(record.m_key);
        m_scheduler->worker_listed(*report, now);
    }
    if (snapshot) {
        std::vector<std::string> missing;
        for (const auto& [id, session] : m_scheduler->state().m_workers) {
            if (listed.count(id) == 0) {
                missing.push_back(id);
            }
        }
        for (const auto& id : missing) {
            m_scheduler->worker_unlisted(id, now);
        }
    }
    write_pending();
}

void fleet_owner::take_call(std::uint64_t token, const job_call& call)
{
    if (m_phase == owner_phase::ended) {
        m_ports.m_answer(token, {call_status::not_owner, {}, 0, milliseconds{0}});
        return;
    }
    // Calls are handled in the order in which they come.
    if (m_phase != owner_phase::serving || !m_early_calls.empty()) {
        m_early_calls.emplace_back(token, call);
        return;
    }
    handle_call(token, call);
}

void fleet_owner::handle_call(std::uint64_t token, const job_call& call)
{
    if (call.m_question) {
        answer_question(token, *call.m_question);
        return;
    }
    if (!m_configured) {
        m_ports.m_answer(token, {call_status::unavailable, {}, 0, milliseconds{1'000}});
        return;
    }
    if (!serve_call(token, call, milliseconds{0})) {
        m_ports.m_decided({"call_held", call.m_path, "",
                           fmt::format("proof {} ms old, configuration {} ms old",
                                       proof_age().count(), config_age().count())});
        m_held_calls.push_back({token, call, m_ports.m_loop.m_now().m_at});
    }
}

void fleet_owner::answer_question(std::uint64_t token, const placement_question& question)
{
    call_answer answer;
    answer.m_status = call_status::done;
    answer.m_report = to_json_text(explain_placement(question));
    m_ports.m_answer(token, answer);
}

placement_report fleet_owner::explain_placement(const placement_question& question)
{
    if (!may_answer()) {
        return failed_report(question, placement_error::no_owner,
                             "the owner can't show that it still is the owner");
    }
    const auto begun = m_ports.m_loop.m_now();
    if (begun.m_at < m_next_question_at) {
        return failed_report(question, placement_error::busy);
    }
    auto report = m_scheduler->explain_placement(question, begun);
    // An answer takes as long as a placement pass, which questions must not hold up.
    const auto ended_at = m_ports.m_loop.m_now().m_at;
    m_next_question_at = ended_at + remaining(begun.m_at, ended_at) * pause_per_pass_time;
    return report;
}

bool fleet_owner::serve_call(std::uint64_t token, const job_call& call, milliseconds waited)
{
    const bool lacks_key = m_scheduler->lacks_key(call);
    const bool cannot_record = failing_for() >= m_options.m_refuse_jobs_after;
    if (cannot_record && !lacks_key && m_scheduler->is_new_job(call)) {
        m_ports.m_decided({"job_refused", call.m_path, "", "writes to the log fail"});
        m_ports.m_answer(token, {call_status::unavailable, {}, 0, refused_retry_after});
        return true;
    }
    if (config_is_too_old(waited) || (lacks_key && key_must_wait(waited))) {
        return false;
    }
    if (key_is_uncertain(call, lacks_key)) {
        m_ports.m_decided({"key_uncertain", "", "",
                           fmt::format("configuration {} ms old", config_age().count())});
        // An earlier copy of a submission may have been accepted, which only a caller with a valid
        // key may learn.
        const auto status = call.m_kind == call_kind::submit ? call_status::unknown_outcome
                                                             : call_status::unavailable;
        m_ports.m_answer(token, {status, {}, 0, refused_retry_after});
        return true;
    }
    m_call_in_hand = token;
    m_answer_in_hand.reset();
    m_scheduler->take_call(token, call, m_ports.m_loop.m_now());
    m_call_in_hand.reset();
    if (m_answer_in_hand) {
        if (!may_answer()) {
            return false;
        }
        m_ports.m_answer(token, *m_answer_in_hand);
    }
    write_pending();
    return true;
}

void fleet_owner::take_answer(std::uint64_t token, const call_answer& answer)
{
    // An answer that follows a write is proven by it. One from memory is found anew if it waits.
    if (m_call_in_hand == token) {
        m_answer_in_hand = answer;
        return;
    }
    m_ports.m_answer(token, answer);
}

void fleet_owner::serve_held_calls()
{
    if (m_held_calls.empty() || !may_answer()) {
        return;
    }
    const auto now = m_ports.m_loop.m_now().m_at;
    auto held = std::move(m_held_calls);
    m_held_calls.clear();
    for (auto& call : held) {
        const auto waited = remaining(call.m_since, now);
        if (!serve_call(call.m_token, call.m_call, waited)) {
            m_held_calls.push_back(std::move(call));
            continue;
        }
        m_ports.m_measured("held_call", waited);
    }
}

bool fleet_owner::config_is_too_old(milliseconds waited) const
{
    // If writes fail as well, the log is out of reach, and no newer configuration is in reach.
    return config_age() > m_options.m_config_max_age && waited < m_options.m_config_longest_wait &&
           !m_journal->failing_since();
}

bool fleet_owner::key_must_wait(milliseconds waited) const
{
    return config_age() > m_options.m_config_max_age && waited < m_options.m_config_longest_wait;
}

bool fleet_owner::key_is_uncertain(const job_call& call, bool lacks_key) const
{
    if (config_age() <= m_options.m_config_max_age || !m_scheduler->needs_key(call)) {
        return false;
    }
    // Operators may have removed a key since a reading that is much older than the newest write of
    // the owner. Otherwise the log is out of reach: tenants are served by the last reading, as an
    // outage for all must not stop them.
    return lacks_key || config_age() > m_options.m_config_max_age + proof_age();
}

void fleet_owner::write_pending()
{
    while (m_phase == owner_phase::serving && !m_journal->busy()) {
        auto planned = m_planner->take_changes();
        const bool places = !pass_must_wait();
        if (planned.empty() &&
            !(places ? m_scheduler->needs_write() : m_scheduler->has_changes())) {
            return;
        }
        auto batch = places ? place() : m_scheduler->take_changes();
        batch.m_records.insert(batch.m_records.end(), std::make_move_iterator(planned.begin()),
                               std::make_move_iterator(planned.end()));
        if (!batch.m_records.empty()) {
            auto records = std::move(batch.m_records);
            m_writing = std::move(batch);
            m_writing_since = m_ports.m_loop.m_now().m_at;
            m_journal->write(std::move(records), m_writing_since);
            return;
        }
        if (batch.m_effects.empty()) {
            return;
        }
        m_scheduler->written(batch, m_ports.m_loop.m_now());
    }
}

write_batch fleet_owner::place()
{
    const auto begun = m_ports.m_loop.m_now();
    auto batch = m_scheduler->take_batch(begun);
    const bool has_starts =
        std::any_of(batch.m_effects.begin(), batch.m_effects.end(), [](const auto& effect) {
            return std::holds_alternative<start_effect>(effect);
        });
    const auto ended_at = m_ports.m_loop.m_now().m_at;
    const auto pause = remaining(begun.m_at, ended_at) * pause_per_pass_time;
    m_next_pass_at = has_starts ? ended_at : ended_at + std::min(pause, max_pass_pause);
    return batch;
}

bool fleet_owner::pass_must_wait() const
{
    return m_ports.m_loop.m_now().m_at < m_next_pass_at;
}

void fleet_owner::tick()
{
    const auto now = m_ports.m_loop.m_now();
    m_journal->tick(now.m_at);
    if (m_phase == owner_phase::loading) {
        // Shows peers that read the journal that the owner runs, and the owner that it is deposed.
        renew_proof(now);
    }
    if (m_phase != owner_phase::serving) {
        return;
    }
    adapt_to_lag(now.m_at);
    report_ages();
    serve_held_calls();
    m_scheduler->tick(now);
    m_planner->tick(*m_scheduler, now);
    write_pending();
    if (m_phase == owner_phase::serving) {
        renew_proof(now);
    }
}

void fleet_owner::renew_proof(moment now)
{
    if (m_journal->busy() || now.m_at - m_journal->proven_at() <= m_options.m_proof_interval) {
        return;
    }
    const auto text = std::to_string(now.m_unix_ms);
    m_journal->write(
        {{std::string{proof_key}, std::vector<std::uint8_t>{text.begin(), text.end()}, 0}},
        now.m_at);
}

void fleet_owner::adapt_to_lag(time_point now)
{
    const auto passed = remaining(m_ticked_at, now) - m_options.m_tick_interval;
    m_ticked_at = now;
    const auto late_ms = std::clamp(static_cast<double>(passed.count()), 0.0, max_lag_ms);
    m_lag_ms += (late_ms - m_lag_ms) * lag_weight;
    if (now - m_adapted_at < adapt_interval) {
        return;
    }
    m_adapted_at = now;
    // Each of fewer holds reports more ended runs, which saves processor time for an overloaded
    // owner.
    const auto shortest = lease_options{}.m_hold_pause;
    const auto pause = milliseconds{static_cast<std::int64_t>(
        static_cast<double>(shortest.count()) * (1.0 + m_lag_ms / lag_for_double_pause_ms))};
    m_scheduler->set_hold_pause(std::min(pause, max_hold_pause));
}

milliseconds fleet_owner::failing_for() const
{
    const auto since = m_journal->failing_since();
    return since ? remaining(*since, m_ports.m_loop.m_now().m_at) : milliseconds{0};
}

milliseconds fleet_owner::proof_age() const
{
    return m_proof.age(m_ports.m_loop.m_now().m_at);
}

milliseconds fleet_owner::config_age() const
{
    return remaining(m_operators->current_at(), m_ports.m_loop.m_now().m_at);
}

void fleet_owner::report_ages()
{
    const auto report = [this](bool& was_too_old, std::string_view event, milliseconds age,
                               milliseconds limit) {
        const bool too_old = age > limit;
        if (too_old != was_too_old) {
            was_too_old = too_old;
            const auto text = too_old ? fmt::format("{} ms old", age.count()) : "renewed";
            m_ports.m_decided({event, "", "", text});
        }
    };
    report(m_proof_too_old, "proof_too_old", proof_age(), m_options.m_proof_limits.m_answer);
    report(m_config_too_old, "config_too_old", config_age(), m_options.m_config_max_age);
}

bool fleet_owner::may(owner_act act) const
{
    return m_proof.grants(act, m_ports.m_loop.m_now().m_at);
}

bool fleet_owner::may_answer() const
{
    return m_phase == owner_phase::serving && (may(owner_act::answer) || m_ports.m_is_supported());
}

void fleet_owner::report_wave_state(const std::string& key, bool completed)
{
    const std::weak_ptr<fleet_owner*> self = m_self;
    const auto repeat_later = [self, key, completed](fleet_owner& owner) {
        owner.m_ports.m_loop.m_after(status_retry, [self, key, completed] {
            if (const auto still_alive = self.lock();
                still_alive && (*still_alive)->m_phase == owner_phase::serving) {
                (*still_alive)->report_wave_state(key, completed);
            }
        });
    };
    if (!may(owner_act::wave_report)) {
        repeat_later(*this);
        return;
    }
    append_request request;
    request.m_topic = m_ports.m_record_schema.m_status_topic;
    request.m_records.push_back({key, m_ports.m_record_schema.m_wave_state(completed), 0});
    m_ports.m_log.m_append(request, [self, repeat_later](const append_answer& answer) {
        const auto alive = self.lock();
        if (alive && answer.m_result != log_result::ok) {
            repeat_later(**alive);
        }
    });
}

fleet_planner_ports fleet_owner::make_planner_ports()
{
    fleet_planner_ports ports;
    ports.m_loop = m_ports.m_loop;
    ports.m_vms = m_ports.m_vms;
    ports.m_may_order = [this] { return may(owner_act::vm_order); };
    ports.m_report_wave = [this](const std::string& key, bool completed) {
        report_wave_state(key, completed);
    };
    ports.m_decided = m_ports.m_decided;
    return ports;
}

void fleet_owner::with_scheduler(const std::weak_ptr<fleet_owner*>& self,
                                 const std::function<void(job_scheduler&, moment)>& event)
{
    const auto alive = self.lock();
    if (!alive || !(*alive)->m_scheduler) {
        return;
    }
    auto& owner = **alive;
    event(*owner.m_scheduler, owner.m_ports.m_loop.m_now());
    owner.write_pending();
}

scheduler_ports fleet_owner::make_scheduler_ports()
{
    scheduler_ports ports;
    const std::weak_ptr<fleet_owner*> self = m_self;
    ports.m_start = [this, self](const worker_report& to, const start_order& order) {
        const order_target target{to.m_instance, order.m_fence};
        const auto key = order.m_key;
        const auto run = order.m_run;
        const auto sent_at = m_ports.m_loop.m_now().m_at;
        const auto answered = [self, target, key, run, sent_at](const order_answer& answer) {
            with_scheduler(self, [&](job_scheduler& scheduler, moment now) {
                (*self.lock())->m_ports.m_measured("start", remaining(sent_at, now.m_at));
                scheduler.start_answered(target, key, run, answer, now);
            });
        };
        if (!may(owner_act::start)) {
            m_ports.m_loop.m_after(milliseconds{0}, [answered] {
                answered({order_result::not_sent, std::nullopt});
            });
            return;
        }
        m_ports.m_workers.m_start(to, order, answered);
    };
    ports.m_stop = [this, self](const worker_report& to, const stop_order& order) {
        const order_target target{to.m_instance, order.m_fence};
        const auto key = order.m_key;
        const auto run = order.m_run;
        const auto answered = [self, target, key, run](const order_answer& answer) {
            with_scheduler(self, [&](job_scheduler& scheduler, moment now) {
                scheduler.stop_answered(target, key, run, answer, now);
            });
        };
        if (!may(owner_act::stop)) {
            m_ports.m_loop.m_after(milliseconds{0}, [answered] {
                answered({order_result::not_sent, std::nullopt});
            });
            return;
        }
        m_ports.m_workers.m_stop(to, order, answered);
    };
    ports.m_pace = [this, self](const worker_report& to, const pace_order& order) {
        const order_target target{to.m_instance, order.m_fence};
        const auto answered = [self, target](const order_answer& /*answer*/) {
            with_scheduler(self, [&](job_scheduler& scheduler, moment now) {
                scheduler.pace_answered(target, now);
            });
        };
        if (!may(owner_act::stop)) {
            m_ports.m_loop.m_after(milliseconds{0}, [answered] { answered({}); });
            return;
        }
        m_ports.m_workers.m_pace(to, order, answered);
    };
    ports.m_hold = [this, self](const worker_report& to, const hold_order& order) {
        const order_target target{to.m_instance, order.m_fence};
        const auto sent_at = m_ports.m_loop.m_now().m_at;
        auto sent = order;
        if (!may(owner_act::renewal)) {
            // Without a deadline the hold only reads: a successor may count the lease as expired.
            sent.m_deadline_ms.reset();
        }
        m_ports.m_workers.m_hold(to, sent, [self, target, sent_at](const hold_answer& answer) {
            with_scheduler(self, [&](job_scheduler& scheduler, moment now) {
                scheduler.hold_answered(target, answer, sent_at, now);
            });
        });
    };
    ports.m_ask = [this, self](const policy_request& question) {
        m_ports.m_policy.m_ask(question, [self](const policy_answer& answer) {
            with_scheduler(self, [&](job_scheduler& scheduler, moment now) {
                scheduler.policy_answered(answer, now);
            });
        });
    };
    ports.m_answer = [this](std::uint64_t token, const call_answer& answer) {
        take_answer(token, answer);
    };
    ports.m_log = m_ports.m_decided;
    ports.m_deposed = [this, self] {
        // Deferred, because the caller is inside the scheduler.
        m_ports.m_loop.m_after(milliseconds{0}, [self] {
            if (const auto alive = self.lock()) {
                (*alive)->end();
            }
        });
    };
    return ports;
}

} // namespace peridotrudder
