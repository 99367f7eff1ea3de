#include "peridotrudder/node/fleet_owner.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace peridotrudder {

namespace {

/// First byte of a worker's entry that can't be decoded.
constexpr std::uint8_t unusable = 0;

/// Simulated loop, log and workers, driven by the test.
struct fixture {
    moment m_now{time_point{milliseconds{1'000'000}}, 1'000'000};
    std::multimap<time_point, std::function<void()>> m_due;
    std::map<std::string, std::map<std::string, std::vector<std::uint8_t>>> m_topics;
    std::uint64_t m_epoch{0};
    bool m_log_up{true};
    std::map<std::uint64_t, call_answer> m_answers;
    std::uint64_t m_next_token{1};
    int m_starts{0};
    /// What the worker lists: every run that it was told to start. Starts are not answered.
    std::vector<running_entry> m_running;
    std::vector<hold_order> m_holds;
    bool m_ended{false};
    /// Answers to reads of the workers' topic, each given once.
    std::deque<read_answer> m_worker_changes;
    std::unique_ptr<fleet_owner> m_owner;

    fixture() { m_owner = make_owner(7); }

    std::unique_ptr<fleet_owner> make_owner(std::uint64_t epoch)
    {
        owner_options options;
        options.m_epoch = epoch;
        owner_ports ports;
        ports.m_loop.m_now = [this] { return m_now; };
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
        ports.m_vms.m_list = [](const std::function<void(platform_vm_list)>&) {};
        ports.m_record_schema = make_record_schema();
        ports.m_answer = [this](std::uint64_t token, const call_answer& answer) {
            m_answers[token] = answer;
        };
        ports.m_decided = [](const decision&) {};
        ports.m_measured = [](std::string_view, milliseconds) {};
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
        wire.m_config = [](record_schema::bytes) -> tl::expected<fleet_config, decode_error> {
            queue_config queue;
            queue.m_host = "host";
            queue.m_prefix = "/queue/";
            queue.m_pool = "pool";
            return fleet_config::create(1, {queue}, {{"pool", false, false}});
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
            return declared_wave{};
        };
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
        if (!m_log_up) {
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
        }
        answer.m_result = log_result::ok;
        return answer;
    }

    newest_answer newest(const std::string& topic)
    {
        newest_answer answer;
        answer.m_result = log_result::ok;
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

} // namespace

class fleet_owner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fleet_owner_test);
    CPPUNIT_TEST(job_is_recorded_before_the_caller_is_answered);
    CPPUNIT_TEST(job_that_cannot_be_recorded_is_refused_at_once);
    CPPUNIT_TEST(repeated_job_is_not_refused_while_the_log_is_down);
    CPPUNIT_TEST(lease_is_not_renewed_long_after_the_last_proof);
    CPPUNIT_TEST(fenced_owner_ends);
    CPPUNIT_TEST(unusable_entries_leave_the_other_workers_usable);
    CPPUNIT_TEST_SUITE_END();

public:
    void job_is_recorded_before_the_caller_is_answered()
    {
        fixture it;
        it.serve();
        const auto token = it.submit("0123456789abcdef");
        CPPUNIT_ASSERT_EQUAL(std::string{"none yet"}, it.status(token));
        CPPUNIT_ASSERT_EQUAL(0, it.m_starts);
        it.pass(milliseconds{20});
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.status(token));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             it.m_topics["keyed.jobs"].count("job/0123456789abcdef"));
        CPPUNIT_ASSERT_EQUAL(1, it.m_starts);
    }

    void job_that_cannot_be_recorded_is_refused_at_once()
    {
        fixture it;
        it.serve();
        it.m_log_up = false;
        it.submit("0000000000000001");
        it.pass(milliseconds{600});
        const auto token = it.submit("0000000000000002");
        it.pass(milliseconds{10});
        CPPUNIT_ASSERT_EQUAL(std::string{"unavailable"}, it.status(token));
        CPPUNIT_ASSERT(it.m_answers[token].m_retry_after.count() > 0);
        it.m_log_up = true;
        it.pass(milliseconds{2'000});
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a refused job is never recorded", std::size_t{0},
                                     it.m_topics["keyed.jobs"].count("job/0000000000000002"));
    }

    void repeated_job_is_not_refused_while_the_log_is_down()
    {
        fixture it;
        it.serve();
        it.submit("0123456789abcdef");
        it.pass(milliseconds{20});
        it.m_log_up = false;
        it.submit("0000000000000001");
        it.pass(milliseconds{600});
        const auto token = it.submit("0123456789abcdef");
        it.pass(milliseconds{10});
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.status(token));
    }

    void lease_is_not_renewed_long_after_the_last_proof()
    {
        fixture it;
        it.serve();
        it.submit("0123456789abcdef");
        it.pass(milliseconds{100});
        it.m_log_up = false;
        it.pass(owner_options{}.m_lease_proof_max_age + milliseconds{500});
        it.m_holds.clear();
        it.pass(milliseconds{1'000});
        CPPUNIT_ASSERT(!it.m_holds.empty());
        for (const auto& hold : it.m_holds) {
            CPPUNIT_ASSERT(!hold.m_deadline_ms.has_value());
        }
    }

    // Neither a snapshot nor a batch of changes may be dropped for one entry.
    void unusable_entries_leave_the_other_workers_usable()
    {
        using bytes = std::vector<std::uint8_t>;
        fixture it;
        it.m_topics["workers"]["a-odd"] = {unusable};
        it.m_topics["workers"]["z-odd"] = {unusable};
        read_answer changes;
        changes.m_result = log_result::ok;
        changes.m_records = {{"b-odd", bytes{unusable}, 0},
                             {"", std::nullopt, 1},
                             {"i-2", bytes{1}, 2},
                             {"y-odd", bytes{unusable}, 3}};
        it.m_worker_changes.push_back(changes);
        changes.m_records = {{"i-3", bytes{1}, 4}};
        it.m_worker_changes.push_back(changes);
        it.serve();
        it.pass(milliseconds{1'000});
        const auto& workers = it.m_owner->scheduler()->state().m_workers;
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, workers.size());
        for (const std::string id : {"i-1", "i-2", "i-3"}) {
            CPPUNIT_ASSERT_MESSAGE(id, workers.count(id) != 0 &&
                                           workers.at(id).takes_work(it.m_now.m_at));
        }
        const auto token = it.submit("0123456789abcdef");
        it.pass(milliseconds{50});
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.status(token));
        CPPUNIT_ASSERT_EQUAL(1, it.m_starts);
    }

    void fenced_owner_ends()
    {
        fixture it;
        it.serve();
        it.m_epoch = 8;
        it.submit("0123456789abcdef");
        it.pass(milliseconds{50});
        CPPUNIT_ASSERT(it.m_ended);
        CPPUNIT_ASSERT_EQUAL(0, it.m_starts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_owner_test);

} // namespace peridotrudder
