#include "peridotrudder/scheduling/job_scheduler.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace peridotrudder {

namespace {

constexpr std::int64_t start_ms = 1'000'000;

std::string id_of(int number)
{
    return fmt::format("{:016x}", number);
}

/// Successive owners of one journal, whose callers belong to tenants `big` and `small`.
struct tenant_owners {
    std::map<std::string, keyed_record> m_journal;
    std::unique_ptr<job_scheduler> m_scheduler;
    std::map<std::uint64_t, call_answer> m_answers;
    std::vector<decision> m_log;
    moment m_now{time_point{milliseconds{start_ms}}, start_ms};
    std::uint64_t m_token{0};
    std::uint64_t m_epoch{0};
    /// Label that the tasks of submitted jobs require.
    std::string m_label;
    std::vector<hold_order> m_holds;

    tenant_owners() { replace_owner(); }

    static fleet_config make_config(bool with_tenants)
    {
        queue_config queue;
        queue.m_name = "jobs";
        queue.m_host = "host";
        queue.m_prefix = "/jobs/";
        queue.m_pool = "pool";
        queue.m_stretch = 1.6;
        queue.m_target = milliseconds{600};
        auto open_queue = queue;
        open_queue.m_prefix = "/open/";
        open_queue.m_public = true;
        tenant_config big{"big", {"big-digest"}, 10.0, {}};
        tenant_config small{"small", {"small-digest"}, 1.0, {}};
        return fleet_config::create(1, {queue, open_queue}, {{"pool", false, false}},
                                    with_tenants ? tenant_directory::create({big, small})
                                                 : tenant_directory{});
    }

    /// Lets a successor begin with what is in the journal.
    void replace_owner(bool with_tenants = true)
    {
        scheduler_ports ports;
        ports.m_start = [](const worker_report&, const start_order&) {};
        ports.m_stop = [](const worker_report&, const stop_order&) {};
        ports.m_pace = [](const worker_report&, const pace_order&) {};
        ports.m_hold = [this](const worker_report&, const hold_order& order) {
            m_holds.push_back(order);
        };
        ports.m_ask = [](const policy_request&) {};
        ports.m_answer = [this](std::uint64_t token, const call_answer& answer) {
            m_answers[token] = answer;
        };
        ports.m_log = [this](const decision& made) { m_log.push_back(made); };
        ports.m_deposed = [] {};
        std::vector<keyed_record> records;
        for (const auto& [key, record] : m_journal) {
            records.push_back(record);
        }
        restore_report report;
        scheduler_options options;
        options.m_fence = first_token(++m_epoch);
        m_scheduler = job_scheduler::create(options, std::move(ports),
                                            job_store::restore(records, report), m_now);
        CPPUNIT_ASSERT(report.m_damaged.empty());
        m_scheduler->set_config(make_config(with_tenants));
        m_scheduler->begin(m_now);
    }

    void pass(milliseconds time)
    {
        m_now.m_at += time;
        m_now.m_unix_ms += time.count();
    }

    std::uint64_t call(call_kind kind, const std::string& path, const std::string& tenant)
    {
        job_call made{kind, "host", path, std::nullopt};
        if (!tenant.empty()) {
            made.m_key_digest = tenant + "-digest";
        }
        if (kind == call_kind::submit) {
            step_spec step;
            step.m_count = 4;
            step.m_task_resources.m_cpu_millis = 1'000;
            step.m_estimate = milliseconds{500};
            step.m_required_label = m_label;
            made.m_spec = job_spec{};
            made.m_spec->m_steps.push_back(step);
        }
        m_scheduler->take_call(++m_token, made, m_now);
        return m_token;
    }

    std::uint64_t submit(int number, const std::string& tenant)
    {
        return call(call_kind::submit, "/jobs/" + id_of(number), tenant);
    }

    /// Sends the hold that is due, and answers it with no runs.
    void answer_hold(const std::string& worker)
    {
        m_scheduler->tick(m_now);
        CPPUNIT_ASSERT(!m_holds.empty());
        hold_answer answer;
        answer.m_result = order_result::accepted;
        answer.m_born_ms = 500;
        answer.m_clock_ms = m_now.m_unix_ms;
        m_scheduler->hold_answered({{worker, 500}, m_holds.back().m_fence}, answer, m_now.m_at,
                                   m_now);
    }

    /// Records the changes and sends the answers that wait for them.
    void write()
    {
        const auto batch = m_scheduler->take_batch(m_now);
        for (const auto& record : batch.m_records) {
            if (record.m_value) {
                m_journal[record.m_key] = record;
            }
            else {
                m_journal.erase(record.m_key);
            }
        }
        m_scheduler->written(batch, m_now);
    }

    call_status status(std::uint64_t token) const
    {
        const auto found = m_answers.find(token);
        CPPUNIT_ASSERT_MESSAGE("the call was answered", found != m_answers.end());
        return found->second.m_status;
    }

    const job* find(int number) const
    {
        return m_scheduler->mutable_state().m_job_store.find(id_of(number));
    }

    int count(const std::string& tenant, bool excess) const
    {
        int jobs = 0;
        for (const auto& [id, stored] : m_scheduler->state().m_job_store.jobs()) {
            const auto& owner = stored.header().m_tenant;
            jobs += owner && owner->m_name == tenant && owner->m_excess == excess ? 1 : 0;
        }
        return jobs;
    }

    /// Sets a full pool of `cores`, where `tenant` has a backlog of `backlog_ms` of the pool.
    void fill_pool(std::int64_t cores, const std::string& tenant, double backlog_ms)
    {
        pool_outlook pool;
        pool.m_cpu = cores * 1'000;
        pool.m_waiting_cpu = 1'000;
        pool.m_backlog = backlog_ms * static_cast<double>(pool.m_cpu);
        pool.m_backlog_by_tenant[0][tenant].m_contracted.m_cpu = pool.m_backlog;
        m_scheduler->set_outlooks({{"pool", pool}});
    }
};

} // namespace

class tenant_submission_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(tenant_submission_test);
    CPPUNIT_TEST(job_beyond_the_contracted_rate_is_recorded_as_excess);
    CPPUNIT_TEST(owner_replaced_within_a_burst_grants_no_second_burst);
    CPPUNIT_TEST(refused_job_leaves_no_trace_and_costs_no_token);
    CPPUNIT_TEST(repeated_submission_of_an_accepted_job_costs_no_token);
    CPPUNIT_TEST(contracted_job_is_admitted_where_an_excess_one_is_refused);
    CPPUNIT_TEST(refusal_is_logged_with_what_it_was_decided_by);
    CPPUNIT_TEST(job_was_refused_while_a_worker_was_free_that_waiting_tasks_may_not_use);
    CPPUNIT_TEST(job_of_a_public_queue_has_no_tenant);
    CPPUNIT_TEST(without_tenants_refusals_are_as_before);
    CPPUNIT_TEST(repeated_name_of_a_tenant_is_logged_once_for_a_version);
    CPPUNIT_TEST_SUITE_END();

public:
    void repeated_name_of_a_tenant_is_logged_once_for_a_version()
    {
        tenant_owners owners;
        const auto config = tenant_owners::make_config(true);
        auto tenants = config.tenants().tenants();
        tenants.push_back(tenants.front());
        owners.m_log.clear();
        owners.m_scheduler->set_config(fleet_config::create(
            2, config.queues(), config.pools(), tenant_directory::create(std::move(tenants))));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owners.m_log.size());
        CPPUNIT_ASSERT_EQUAL(std::string_view{"tenant_repeated"},
                             std::string_view{owners.m_log.front().m_event});
        CPPUNIT_ASSERT(owners.m_log.front().m_detail.find("big") != std::string::npos);
        owners.m_log.clear();
        owners.m_scheduler->set_config(config);
        CPPUNIT_ASSERT(owners.m_log.empty());
    }

    void job_beyond_the_contracted_rate_is_recorded_as_excess()
    {
        tenant_owners owners;
        for (int number = 0; number < 25; ++number) {
            owners.submit(number, "big");
        }
        owners.write();
        CPPUNIT_ASSERT_EQUAL(20, owners.count("big", false));
        CPPUNIT_ASSERT_EQUAL(5, owners.count("big", true));
        CPPUNIT_ASSERT(!owners.find(19)->header().m_tenant->m_excess);
        CPPUNIT_ASSERT(owners.find(20)->header().m_tenant->m_excess);
    }

    void owner_replaced_within_a_burst_grants_no_second_burst()
    {
        for (int before = 0; before <= 30; ++before) {
            tenant_owners owners;
            for (int number = 0; number < before; ++number) {
                owners.submit(number, "big");
            }
            owners.write();
            // Received but neither recorded nor answered: the caller submits it again.
            const auto lost = owners.submit(before, "big");
            owners.replace_owner();
            CPPUNIT_ASSERT(owners.m_answers.find(lost) == owners.m_answers.end());
            CPPUNIT_ASSERT(owners.find(before) == nullptr);
            for (int number = before; number < 30; ++number) {
                owners.submit(number, "big");
            }
            owners.write();
            const auto context = fmt::format("replaced after {} jobs", before);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 20, owners.count("big", false));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 10, owners.count("big", true));
        }
    }

    void refused_job_leaves_no_trace_and_costs_no_token()
    {
        tenant_owners owners;
        owners.fill_pool(10, "small", 60'000);
        for (int retry = 0; retry < 10; ++retry) {
            const auto token = owners.submit(1, "small");
            CPPUNIT_ASSERT(owners.status(token) == call_status::overloaded);
            CPPUNIT_ASSERT(owners.m_answers.at(token).m_retry_after > milliseconds{50'000});
        }
        CPPUNIT_ASSERT(!owners.m_scheduler->needs_write());
        owners.replace_owner();
        CPPUNIT_ASSERT(owners.status(owners.call(call_kind::query, "/jobs/" + id_of(1), "small")) ==
                       call_status::unknown_job);
        owners.submit(1, "small");
        owners.submit(2, "small");
        CPPUNIT_ASSERT_EQUAL(2, owners.count("small", false));
    }

    void repeated_submission_of_an_accepted_job_costs_no_token()
    {
        tenant_owners owners;
        for (int retry = 0; retry < 10; ++retry) {
            owners.submit(1, "small");
        }
        owners.submit(2, "small");
        CPPUNIT_ASSERT_EQUAL(2, owners.count("small", false));
    }

    void contracted_job_is_admitted_where_an_excess_one_is_refused()
    {
        tenant_owners owners;
        owners.fill_pool(10, "big", 10'000);
        for (int number = 0; number < 4; ++number) {
            owners.submit(number, "small");
        }
        CPPUNIT_ASSERT_EQUAL(2, owners.count("small", false));
        CPPUNIT_ASSERT_EQUAL(0, owners.count("small", true));
        CPPUNIT_ASSERT(owners.status(4) == call_status::overloaded);
        // A second later there is a token.
        owners.pass(milliseconds{1'000});
        owners.submit(2, "small");
        CPPUNIT_ASSERT_EQUAL(3, owners.count("small", false));
    }

    void refusal_is_logged_with_what_it_was_decided_by()
    {
        tenant_owners owners;
        owners.fill_pool(10, "small", 20'000);
        owners.submit(1, "small");
        const auto& refused = owners.m_log.back();
        CPPUNIT_ASSERT_EQUAL(std::string{"small"}, refused.m_tenant);
        CPPUNIT_ASSERT_EQUAL(std::string{"contracted"}, std::string{refused.m_kind});
        CPPUNIT_ASSERT_EQUAL(std::string{"job_refused"}, std::string{refused.m_event});
        CPPUNIT_ASSERT_EQUAL(id_of(1), refused.m_job);
        CPPUNIT_ASSERT_EQUAL(
            std::string{"would end too late to be useful: waits for the pool, own backlog 200000 "
                        "core ms, share 10.0 cores, wait 20000 ms, retry "
                        "after 13500 ms"},
            refused.m_detail);
    }

    // Tasks that wait for a label count as waiting for CPU.
    void job_was_refused_while_a_worker_was_free_that_waiting_tasks_may_not_use()
    {
        tenant_owners owners;
        worker_report report;
        report.m_instance = {"i-1", 500};
        report.m_pool = "pool";
        report.m_address = "10.0.0.1";
        report.m_port = 80;
        report.m_capacity = {4'000, 8'000, 0};
        owners.m_scheduler->worker_listed(report, owners.m_now);
        owners.answer_hold("i-1");
        owners.pass(milliseconds{100});
        owners.m_label = "special";
        owners.submit(1, "big");
        owners.write();
        owners.fill_pool(4, "big", 60'000);
        CPPUNIT_ASSERT(owners.status(owners.submit(2, "big")) == call_status::overloaded);
        owners.m_label.clear();
        const auto admitted = owners.submit(3, "big");
        CPPUNIT_ASSERT(owners.status(owners.submit(4, "big")) == call_status::overloaded);
        owners.write();
        CPPUNIT_ASSERT(owners.status(admitted) == call_status::done);
        // The worker is full now.
        CPPUNIT_ASSERT(owners.status(owners.submit(5, "big")) == call_status::overloaded);
    }

    void job_of_a_public_queue_has_no_tenant()
    {
        tenant_owners owners;
        const auto token = owners.call(call_kind::submit, "/open/" + id_of(1), "");
        owners.write();
        CPPUNIT_ASSERT(owners.status(token) == call_status::done);
        CPPUNIT_ASSERT(!owners.find(1)->header().m_tenant);
        owners.fill_pool(10, "", 20'000);
        CPPUNIT_ASSERT(owners.status(owners.call(call_kind::submit, "/open/" + id_of(2), "")) ==
                       call_status::overloaded);
    }

    void without_tenants_refusals_are_as_before()
    {
        tenant_owners owners;
        owners.replace_owner(false);
        // Useful for 4,200 ms, of which 500 are its own run time.
        owners.fill_pool(10, "", 3'700);
        const auto accepted = owners.submit(1, "");
        owners.write();
        CPPUNIT_ASSERT(owners.status(accepted) == call_status::done);
        CPPUNIT_ASSERT(owners.status(owners.submit(2, "")) == call_status::overloaded);
        // The job that was accepted since: 4 cores for 500 ms, 200 ms of the pool.
        CPPUNIT_ASSERT_EQUAL(std::int64_t{200},
                             std::int64_t{owners.m_answers.at(2).m_retry_after.count()});
        CPPUNIT_ASSERT_EQUAL(std::string{"would end too late to be useful: backlog 37000 core ms, "
                                         "10 cores"},
                             owners.m_log.back().m_detail);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(tenant_submission_test);

} // namespace peridotrudder
