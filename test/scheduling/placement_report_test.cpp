#include "peridotrudder/scheduling/placement_report.hpp"

#include "scheduling/owner_fixture.hpp"
#include "scheduling/uneven_load.hpp"

#include "peridotrudder/scheduling/crash_suspects.hpp"

#include "property.hpp"

#include <fmt/format.h>

#include <limits>
#include <random>

namespace peridotrudder {

namespace {

const std::string queue_name{"host/queue/"};
const std::string first_job_id{"0000000000000001"};
/// Ranks behind all other jobs, as the one of a question without a job does.
const std::string last_job_id{"ffffffffffffffff"};

std::string id_of(std::uint32_t number)
{
    return fmt::format("{:016x}", number);
}

placement_question ask_for_queue(std::int64_t cpu_millis = 1'000)
{
    placement_question question;
    question.m_queue = queue_name;
    question.m_cpu_millis = cpu_millis;
    return question;
}

placement_question ask_for_job(const std::string& id)
{
    placement_question question;
    question.m_queue = queue_name;
    question.m_job = id;
    return question;
}

tenant_config tenant_of(const std::string& name, std::int64_t quota_millis, double weight = 1.0)
{
    tenant_config tenant;
    tenant.m_name = name;
    tenant.m_key_digests = {name};
    tenant.m_weight = weight;
    tenant.m_quota.m_cpu_millis = quota_millis;
    return tenant;
}

std::string verdict_in(const placement_report& report)
{
    CPPUNIT_ASSERT_EQUAL(std::string{"none"}, std::string{to_string(report.m_error)});
    return std::string{to_string(report.m_verdict)};
}

std::string obstacle_in(const placement_report& report, const std::string& worker = "i-1")
{
    for (const auto& each : report.m_workers) {
        if (each.m_worker == worker) {
            return std::string{to_string(each.m_obstacle)};
        }
    }
    return "not listed";
}

std::string error_in(const placement_report& report)
{
    return std::string{to_string(report.m_error)};
}

} // namespace

class placement_report_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(placement_report_test);
    CPPUNIT_TEST(task_of_a_queue_starts_on_the_fullest_worker_with_room);
    CPPUNIT_TEST(first_waiting_task_of_a_job_is_named_with_its_worker);
    CPPUNIT_TEST(gang_starts_with_the_worker_of_its_first_member);
    CPPUNIT_TEST(task_above_its_tenants_quota_waits_for_the_quota);
    CPPUNIT_TEST(task_of_a_queue_with_a_policy_waits_for_a_ticket);
    CPPUNIT_TEST(task_that_prefers_a_rack_waits_with_an_expected_end);
    CPPUNIT_TEST(worker_on_another_rack_is_reported_as_such);
    CPPUNIT_TEST(missing_room_is_named_by_resource);
    CPPUNIT_TEST(missing_label_is_named_before_missing_room);
    CPPUNIT_TEST(limit_of_tasks_for_each_worker_is_named);
    CPPUNIT_TEST(unhealthy_worker_is_named);
    CPPUNIT_TEST(leaving_worker_is_named);
    CPPUNIT_TEST(draining_worker_is_named);
    CPPUNIT_TEST(worker_that_is_not_listed_any_more_is_named);
    CPPUNIT_TEST(worker_of_unknown_capacity_is_named);
    CPPUNIT_TEST(worker_that_does_not_answer_is_named);
    CPPUNIT_TEST(task_on_trial_waits_for_its_trial);
    CPPUNIT_TEST(task_behind_another_job_waits_for_its_turn);
    CPPUNIT_TEST(task_behind_another_tenant_waits_for_its_turn);
    CPPUNIT_TEST(task_beyond_the_starts_of_one_pass_waits_for_its_turn);
    CPPUNIT_TEST(more_waiting_tasks_than_may_be_copied_are_an_error);
    CPPUNIT_TEST(done_tasks_count_towards_the_limit_of_the_copy);
    CPPUNIT_TEST(amounts_that_would_overflow_are_rejected);
    CPPUNIT_TEST(task_of_a_later_step_waits_for_the_earlier_one);
    CPPUNIT_TEST(occurrence_in_the_future_is_not_due);
    CPPUNIT_TEST(gang_with_a_running_member_waits_for_it);
    CPPUNIT_TEST(task_waits_for_the_end_of_an_unexpected_run);
    CPPUNIT_TEST(job_whose_tasks_all_run_has_none_that_waits);
    CPPUNIT_TEST(workers_beyond_the_bound_are_counted_by_obstacle);
    CPPUNIT_TEST(questions_without_an_answer_name_the_error);
    CPPUNIT_TEST(question_before_the_first_configuration_is_an_error);
    CPPUNIT_TEST(report_survives_its_wire_form);
    CPPUNIT_TEST(text_names_the_worker_and_the_others);
    CPPUNIT_TEST(asking_leaves_logs_accounts_waits_and_tickets_alone);
    CPPUNIT_TEST(named_worker_is_where_the_next_pass_starts_the_task);
    CPPUNIT_TEST(named_rack_wait_is_what_the_next_pass_decides);
    CPPUNIT_TEST_SUITE_END();

    owner_fixture m_owner;

    placement_report ask(const placement_question& question)
    {
        return m_owner.m_scheduler->explain_placement(question, m_owner.m_now);
    }

    scheduler_state& state() { return m_owner.m_scheduler->mutable_state(); }

    void set_tenants(std::vector<tenant_config> tenants)
    {
        m_owner.m_key_digest = tenants.front().m_name;
        m_owner.set_tenants(tenant_directory::create(std::move(tenants)));
    }

    void list_worker(const worker_report& report)
    {
        m_owner.m_scheduler->worker_listed(report, m_owner.m_now);
    }

    /// Submits and starts a job that takes so many of the four cores of the worker.
    void start_tasks(std::uint32_t count)
    {
        m_owner.submit(count);
        m_owner.write();
        CPPUNIT_ASSERT_EQUAL(std::size_t{count}, m_owner.m_starts.size());
    }

    job_spec spec_of_steps(std::vector<step_spec> steps)
    {
        job_spec spec;
        spec.m_steps = std::move(steps);
        return spec;
    }

public:
    void task_of_a_queue_starts_on_the_fullest_worker_with_room()
    {
        start_tasks(1);
        m_owner.add_worker("i-2");
        const auto report = ask(ask_for_queue());
        CPPUNIT_ASSERT_EQUAL(std::string{"starts"}, verdict_in(report));
        CPPUNIT_ASSERT_EQUAL(std::string{"i-1"}, report.m_worker);
        CPPUNIT_ASSERT_EQUAL(std::string{"none"}, obstacle_in(report, "i-2"));
        CPPUNIT_ASSERT_EQUAL(std::string{"i-2"}, ask(ask_for_queue(4'000)).m_worker);
    }

    void first_waiting_task_of_a_job_is_named_with_its_worker()
    {
        start_tasks(3);
        m_owner.add_worker("i-2");
        m_owner.submit_step(first_job_id, {});
        const auto report = ask(ask_for_job(first_job_id));
        CPPUNIT_ASSERT_EQUAL(std::string{"starts"}, verdict_in(report));
        CPPUNIT_ASSERT_EQUAL(std::string{"0.0.0"}, report.m_task);
        CPPUNIT_ASSERT_EQUAL(std::string{"i-1"}, report.m_worker);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_owner.count_starts_after_write());
        CPPUNIT_ASSERT_EQUAL(std::string{"i-1"}, m_owner.m_starts.back().first.m_instance.m_worker);
    }

    void gang_starts_with_the_worker_of_its_first_member()
    {
        m_owner.submit(5, true);
        CPPUNIT_ASSERT_EQUAL(std::string{"no_room"}, verdict_in(ask(ask_for_job(job_id))));
        m_owner.add_worker("i-2");
        const auto report = ask(ask_for_job(job_id));
        CPPUNIT_ASSERT_EQUAL(std::string{"starts"}, verdict_in(report));
        m_owner.write();
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, m_owner.m_starts.size());
        CPPUNIT_ASSERT_EQUAL(report.m_worker, m_owner.m_starts[0].first.m_instance.m_worker);
    }

    void task_above_its_tenants_quota_waits_for_the_quota()
    {
        set_tenants({tenant_of("acme", 2'000)});
        start_tasks(2);
        m_owner.submit_step(first_job_id, {});
        const auto report = ask(ask_for_job(first_job_id));
        CPPUNIT_ASSERT_EQUAL(std::string{"quota"}, verdict_in(report));
        CPPUNIT_ASSERT_EQUAL(std::string{"acme"}, report.m_tenant);
        CPPUNIT_ASSERT(report.m_detail.find("2000 of 2000 millicores") != std::string::npos);
        auto question = ask_for_queue();
        CPPUNIT_ASSERT_EQUAL(std::string{"starts"}, verdict_in(ask(question)));
        question.m_tenant = "acme";
        CPPUNIT_ASSERT_EQUAL(std::string{"quota"}, verdict_in(ask(question)));
    }

    void task_of_a_queue_with_a_policy_waits_for_a_ticket()
    {
        auto queue = owner_fixture::queue_at("/queue/");
        queue.m_policy = placement_policy{};
        m_owner.set_config({queue}, {});
        const auto report = ask(ask_for_queue());
        CPPUNIT_ASSERT_EQUAL(std::string{"ticket"}, verdict_in(report));
        CPPUNIT_ASSERT_EQUAL(std::string{"ticket"}, obstacle_in(report));
    }

    void task_that_prefers_a_rack_waits_with_an_expected_end()
    {
        constexpr milliseconds declared{540};
        uneven_load load{{}};
        // One job more than the first rack has places for.
        std::string last;
        for (int job = 0; job < 6; ++job) {
            last = load.submit(uneven_load::rack_name(0), declared, milliseconds{400});
            load.pass(milliseconds{job == 4 ? 300 : 0});
        }
        load.pass(milliseconds{20});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, load.placed_tasks(last));
        std::optional<placement_report> report;
        load.before_each_pass([&](moment now) {
            if (!report) {
                report = load.scheduler().explain_placement(ask_for_job(last), now);
            }
        });
        load.pass(milliseconds{50});
        CPPUNIT_ASSERT(report);
        CPPUNIT_ASSERT_EQUAL(std::string{"rack"}, verdict_in(*report));
        CPPUNIT_ASSERT(report->m_wait && report->m_wait->count() > 0);
        CPPUNIT_ASSERT(*report->m_wait <= declared);
        CPPUNIT_ASSERT(report->m_detail.find("rack-0") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string{"other_rack"}, obstacle_in(*report, "i-1-0"));
    }

    void worker_on_another_rack_is_reported_as_such()
    {
        auto near = report_of(first_birth_ms);
        near.m_rack = "near";
        list_worker(near);
        m_owner.add_worker("i-2");
        auto question = ask_for_queue();
        question.m_data_rack = "near";
        const auto report = ask(question);
        CPPUNIT_ASSERT_EQUAL(std::string{"i-1"}, report.m_worker);
        CPPUNIT_ASSERT_EQUAL(std::string{"other_rack"}, obstacle_in(report, "i-2"));
    }

    void missing_room_is_named_by_resource()
    {
        const auto obstacle = [this](const resources& required) {
            auto question = ask_for_queue(required.m_cpu_millis);
            question.m_memory_mb = required.m_memory_mb;
            question.m_accelerators = required.m_accelerators;
            const auto report = ask(question);
            CPPUNIT_ASSERT_EQUAL(std::string{"no_room"}, verdict_in(report));
            return obstacle_in(report);
        };
        CPPUNIT_ASSERT_EQUAL(std::string{"cpu"}, obstacle({4'001, 0, 0}));
        CPPUNIT_ASSERT_EQUAL(std::string{"memory"}, obstacle({4'000, 8'001, 0}));
        CPPUNIT_ASSERT_EQUAL(std::string{"accelerators"}, obstacle({4'000, 8'000, 1}));
    }

    // A label does not come with time, whereas room does.
    void missing_label_is_named_before_missing_room()
    {
        auto question = ask_for_queue(9'000);
        question.m_label = "ssd";
        CPPUNIT_ASSERT_EQUAL(std::string{"label"}, obstacle_in(ask(question)));
    }

    void limit_of_tasks_for_each_worker_is_named()
    {
        step_spec step;
        step.m_count = 2;
        step.m_max_per_worker = 1;
        m_owner.submit_step(job_id, step);
        m_owner.write();
        const auto report = ask(ask_for_job(job_id));
        CPPUNIT_ASSERT_EQUAL(std::string{"0.0.1"}, report.m_task);
        CPPUNIT_ASSERT_EQUAL(std::string{"no_room"}, verdict_in(report));
        CPPUNIT_ASSERT_EQUAL(std::string{"max_per_worker"}, obstacle_in(report));
    }

    void unhealthy_worker_is_named()
    {
        m_owner.add_worker("i-2");
        for (int failure = 0; failure < 2; ++failure) {
            state().health_of("pool").failed("i-1", 2, m_owner.m_now.m_at);
        }
        const auto report = ask(ask_for_queue());
        CPPUNIT_ASSERT_EQUAL(std::string{"i-2"}, report.m_worker);
        CPPUNIT_ASSERT_EQUAL(std::string{"unhealthy"}, obstacle_in(report));
        // The queue allows one attempt, which does not use an unhealthy worker.
        m_owner.m_scheduler->set_leaving({"i-2"});
        const auto alone = ask(ask_for_queue());
        CPPUNIT_ASSERT_EQUAL(std::string{"no_room"}, verdict_in(alone));
        CPPUNIT_ASSERT_EQUAL(std::string{"unhealthy"}, obstacle_in(alone));
    }

    void leaving_worker_is_named()
    {
        m_owner.m_scheduler->set_leaving({"i-1"});
        const auto report = ask(ask_for_queue());
        CPPUNIT_ASSERT_EQUAL(std::string{"no_worker"}, verdict_in(report));
        CPPUNIT_ASSERT_EQUAL(std::string{"leaving"}, obstacle_in(report));
    }

    void draining_worker_is_named()
    {
        auto draining = report_of(first_birth_ms);
        draining.m_draining = true;
        list_worker(draining);
        const auto report = ask(ask_for_queue());
        CPPUNIT_ASSERT_EQUAL(std::string{"no_worker"}, verdict_in(report));
        CPPUNIT_ASSERT_EQUAL(std::string{"draining"}, obstacle_in(report));
    }

    void worker_that_is_not_listed_any_more_is_named()
    {
        m_owner.m_scheduler->worker_unlisted("i-1", m_owner.m_now);
        CPPUNIT_ASSERT_EQUAL(std::string{"unlisted"}, obstacle_in(ask(ask_for_queue())));
    }

    void worker_of_unknown_capacity_is_named()
    {
        auto unknown = report_of(first_birth_ms, "i-0");
        unknown.m_port = 0;
        list_worker(unknown);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown_capacity"},
                             obstacle_in(ask(ask_for_queue()), "i-0"));
    }

    void worker_that_does_not_answer_is_named()
    {
        // A worker without runs is asked too seldom.
        start_tasks(1);
        m_owner.stay_silent_for(milliseconds{3'000});
        const auto report = ask(ask_for_queue());
        CPPUNIT_ASSERT_EQUAL(std::string{"no_worker"}, verdict_in(report));
        CPPUNIT_ASSERT_EQUAL(std::string{"silent"}, obstacle_in(report));
    }

    void task_on_trial_waits_for_its_trial()
    {
        start_tasks(1);
        m_owner.submit_step(first_job_id, {});
        state()
            .m_job_store.find(first_job_id)
            ->record_crash({0, 0, 0}, trial_suspicion, suspicion_limit, m_owner.m_now.m_unix_ms);
        const auto report = ask(ask_for_job(first_job_id));
        CPPUNIT_ASSERT_EQUAL(std::string{"trial"}, verdict_in(report));
        CPPUNIT_ASSERT_EQUAL(std::string{"recent_start"}, obstacle_in(report));
        m_owner.write();
        // The worker is kept for the task, which others see.
        CPPUNIT_ASSERT_EQUAL(std::string{"trial"}, obstacle_in(ask(ask_for_queue())));
    }

    void task_behind_another_job_waits_for_its_turn()
    {
        m_owner.submit(4);
        m_owner.submit_step(last_job_id, {});
        const auto report = ask(ask_for_job(last_job_id));
        CPPUNIT_ASSERT_EQUAL(std::string{"turn"}, verdict_in(report));
        CPPUNIT_ASSERT_EQUAL(std::string{"4 tasks start before it"}, report.m_detail);
        m_owner.write();
        CPPUNIT_ASSERT_EQUAL(std::string{"no_room"}, verdict_in(ask(ask_for_job(last_job_id))));
    }

    void task_beyond_the_starts_of_one_pass_waits_for_its_turn()
    {
        step_spec free_of_charge;
        free_of_charge.m_count = 1'500;
        for (int number = 0; number < 30; ++number) {
            m_owner.add_worker(fmt::format("w-{:03}", number));
        }
        m_owner.submit_job(first_job_id, spec_of_steps({free_of_charge}));
        m_owner.submit_step(last_job_id, {});
        CPPUNIT_ASSERT_EQUAL(std::string{"turn"}, verdict_in(ask(ask_for_job(last_job_id))));
        m_owner.write();
        CPPUNIT_ASSERT_EQUAL(std::string{"starts"}, verdict_in(ask(ask_for_job(last_job_id))));
    }

    // The copy would take more memory than the smallest VM has to spare.
    void more_waiting_tasks_than_may_be_copied_are_an_error()
    {
        step_spec step;
        step.m_count = max_job_tasks;
        for (std::uint32_t number = 1; number <= 5; ++number) {
            m_owner.submit_job(id_of(number), spec_of_steps({step}));
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"none"}, error_in(ask(ask_for_queue())));
        m_owner.submit_job(id_of(6), spec_of_steps({step}));
        CPPUNIT_ASSERT_EQUAL(std::string{"too_much_waiting"}, error_in(ask(ask_for_queue())));
    }

    // Tasks that are done were not counted, though the copy has them.
    void done_tasks_count_towards_the_limit_of_the_copy()
    {
        step_spec step;
        step.m_count = max_job_tasks;
        auto& jobs = m_owner.m_scheduler->mutable_state().m_job_store;
        for (std::uint32_t number = 1; number <= 6; ++number) {
            m_owner.submit_job(id_of(number), spec_of_steps({step}));
            auto& submitted = *jobs.find(id_of(number));
            for (std::uint32_t index = 1; index < max_job_tasks; ++index) {
                const task_ref ref{0, 0, index};
                const auto run = submitted.place(ref, {"i-1", first_birth_ms});
                submitted.end(ref, run, run_end::done, "", 3, m_owner.m_now.m_unix_ms);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"too_much_waiting"}, error_in(ask(ask_for_queue())));
    }

    void amounts_that_would_overflow_are_rejected()
    {
        auto question = ask_for_queue();
        question.m_cpu_millis = std::numeric_limits<std::int64_t>::max();
        CPPUNIT_ASSERT_EQUAL(std::string{"bad_question"}, error_in(ask(question)));
        question = ask_for_queue();
        question.m_estimate = milliseconds::max();
        CPPUNIT_ASSERT_EQUAL(std::string{"bad_question"}, error_in(ask(question)));
    }

    void task_behind_another_tenant_waits_for_its_turn()
    {
        set_tenants({tenant_of("acme", 0, 1'000.0), tenant_of("base", 0, 1'000.0)});
        start_tasks(2);
        m_owner.submit_step(first_job_id, {});
        m_owner.m_key_digest = "base";
        step_spec step;
        step.m_count = 2;
        m_owner.submit_step(last_job_id, step);
        CPPUNIT_ASSERT_EQUAL(std::string{"starts"}, verdict_in(ask(ask_for_job(last_job_id))));
        CPPUNIT_ASSERT_EQUAL(std::string{"turn"}, verdict_in(ask(ask_for_job(first_job_id))));
    }

    void task_of_a_later_step_waits_for_the_earlier_one()
    {
        step_spec first;
        first.m_count = 3;
        first.m_task_resources.m_cpu_millis = 1'000;
        auto second = first;
        second.m_depends_on = {0};
        m_owner.submit_job(job_id, spec_of_steps({first, second}));
        CPPUNIT_ASSERT_EQUAL(std::string{"0.0.0"}, ask(ask_for_job(job_id)).m_task);
        m_owner.write();
        const auto report = ask(ask_for_job(job_id));
        CPPUNIT_ASSERT_EQUAL(std::string{"dependency"}, verdict_in(report));
        CPPUNIT_ASSERT_EQUAL(std::string{"0.1.0"}, report.m_task);
        CPPUNIT_ASSERT_EQUAL(std::string{"step 0 has 3 tasks that are not done"}, report.m_detail);
    }

    void occurrence_in_the_future_is_not_due()
    {
        auto spec = spec_of_steps({step_spec{}});
        spec.m_recurrence = recurrence{2, m_owner.m_now.m_unix_ms + 500, 1'000};
        m_owner.submit_job(job_id, spec);
        const auto report = ask(ask_for_job(job_id));
        CPPUNIT_ASSERT_EQUAL(std::string{"not_due"}, verdict_in(report));
        CPPUNIT_ASSERT(report.m_wait == milliseconds{500});
    }

    void gang_with_a_running_member_waits_for_it()
    {
        m_owner.submit(2, true);
        m_owner.write();
        state().m_job_store.find(job_id)->void_run({0, 0, 1});
        CPPUNIT_ASSERT_EQUAL(std::string{"gang"}, verdict_in(ask(ask_for_job(job_id))));
    }

    void task_waits_for_the_end_of_an_unexpected_run()
    {
        const run_key key{job_id, {0, 0, 0}};
        m_owner.submit();
        worker_run run;
        run.m_reserved.m_cpu_millis = 1'000;
        state().find_worker("i-1")->reserve(key, run);
        state().m_strangers[key].insert("i-1");
        CPPUNIT_ASSERT_EQUAL(std::string{"stopping"}, verdict_in(ask(ask_for_job(job_id))));
    }

    void job_whose_tasks_all_run_has_none_that_waits()
    {
        start_tasks(2);
        const auto report = ask(ask_for_job(job_id));
        CPPUNIT_ASSERT_EQUAL(std::string{"nothing_waits"}, verdict_in(report));
        CPPUNIT_ASSERT_EQUAL(std::string{"2 tasks run"}, report.m_detail);
    }

    void workers_beyond_the_bound_are_counted_by_obstacle()
    {
        for (const auto* id : {"i-2", "i-3", "i-4"}) {
            m_owner.add_worker(id);
        }
        m_owner.m_scheduler->set_leaving({"i-2", "i-3"});
        auto question = ask_for_queue(5'000);
        question.m_listed_workers = 1;
        const auto report = ask(question);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.m_workers.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"cpu"}, obstacle_in(report));
        const std::map<std::string, std::uint32_t> expected{{"cpu", 1}, {"leaving", 2}};
        CPPUNIT_ASSERT(expected == report.m_other_workers);
    }

    void questions_without_an_answer_name_the_error()
    {
        auto question = ask_for_queue();
        question.m_queue = "host/absent/";
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown_queue"}, error_in(ask(question)));
        question.m_queue = "host";
        CPPUNIT_ASSERT_EQUAL(std::string{"bad_question"}, error_in(ask(question)));
        CPPUNIT_ASSERT_EQUAL(std::string{"bad_question"}, error_in(ask(ask_for_queue(-1))));
        question = ask_for_queue();
        question.m_listed_workers = max_listed_workers + 1;
        CPPUNIT_ASSERT_EQUAL(std::string{"bad_question"}, error_in(ask(question)));
        question = ask_for_queue();
        question.m_tenant = "absent";
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown_tenant"}, error_in(ask(question)));
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown_job"}, error_in(ask(ask_for_job(job_id))));
        m_owner.submit();
        state().m_job_store.find(job_id)->cancel(m_owner.m_now.m_unix_ms);
        CPPUNIT_ASSERT_EQUAL(std::string{"job_ended"}, error_in(ask(ask_for_job(job_id))));
    }

    void question_before_the_first_configuration_is_an_error()
    {
        m_owner.m_scheduler->set_config({});
        CPPUNIT_ASSERT_EQUAL(std::string{"no_configuration"}, error_in(ask(ask_for_queue())));
    }

    void report_survives_its_wire_form()
    {
        const auto report = ask(ask_for_queue(5'000));
        const auto decoded = decode_text<placement_report>(to_json_text(report));
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT_EQUAL(to_text(report), to_text(*decoded));
        CPPUNIT_ASSERT_EQUAL(encode_json(report).dump(), encode_json(*decoded).dump());
    }

    void text_names_the_worker_and_the_others()
    {
        m_owner.add_worker("i-2");
        const auto text = to_text(ask(ask_for_queue()));
        CPPUNIT_ASSERT(text.find("starts now on i-1") != std::string::npos);
        CPPUNIT_ASSERT(text.find("i-2") != std::string::npos);
        auto question = ask_for_queue();
        question.m_queue = "host/absent/";
        CPPUNIT_ASSERT_EQUAL(std::string{"queue host/absent/: there is no such queue\n"},
                             to_text(ask(question)));
    }

    void asking_leaves_logs_accounts_waits_and_tickets_alone()
    {
        auto queue = owner_fixture::queue_at("/queue/");
        queue.m_policy = placement_policy{};
        m_owner.m_key_digest = "acme";
        m_owner.set_config({queue}, tenant_directory::create({tenant_of("acme", 1'000)}));
        m_owner.submit(3);
        const auto logged = m_owner.m_log.size();
        const auto effects = state().m_effects.size();
        const auto used = state().m_quotas.account_of("acme").m_used.m_cpu_millis;
        const auto accounts = state().m_quotas.accounts().size();
        for (int count = 0; count < 3; ++count) {
            ask(ask_for_job(job_id));
            ask(ask_for_queue());
        }
        CPPUNIT_ASSERT_EQUAL(logged, m_owner.m_log.size());
        CPPUNIT_ASSERT_EQUAL(used, state().m_quotas.account_of("acme").m_used.m_cpu_millis);
        CPPUNIT_ASSERT_EQUAL(accounts, state().m_quotas.accounts().size());
        CPPUNIT_ASSERT(!state().m_quotas.account_of("acme").m_waited_at);
        CPPUNIT_ASSERT(!state().m_tickets.next_policy_request(m_owner.m_now.m_at));
        CPPUNIT_ASSERT(m_owner.m_starts.empty());
        CPPUNIT_ASSERT_EQUAL(effects, state().m_effects.size());
    }

    void named_worker_is_where_the_next_pass_starts_the_task();
    void named_rack_wait_is_what_the_next_pass_decides();
};

namespace {

/// What a history did, to compare one with questions and one without.
struct history_result {
    std::vector<std::string> m_starts;
    std::vector<std::pair<std::string, std::string>> m_log;
    std::map<std::string, std::int64_t> m_used;
    std::map<std::string, std::size_t> m_verdicts;
    std::string m_violation;
};

/// A drawn fleet with drawn jobs, of which operators ask before each placement pass.
class drawn_fleet {
public:
    drawn_fleet(std::uint32_t seed, bool asks) : m_random{seed}, m_asks{asks}
    {
        m_owner.m_scheduler->mutable_state().m_options.m_far_factor = chance(50) ? 2.0 : 1.0;
        configure();
        const auto workers = draw(1, 6);
        for (std::uint32_t index = 2; index < 2 + workers; ++index) {
            add_worker(fmt::format("i-{}", index));
        }
    }

    history_result play()
    {
        constexpr int rounds = 6;
        for (int round = 0; round < rounds; ++round) {
            const auto jobs = draw(0, 4);
            for (std::uint32_t count = 0; count < jobs; ++count) {
                submit(id_of(++m_submitted * 7'919));
            }
            disturb();
            place();
            m_owner.pass(milliseconds{static_cast<std::int64_t>(draw(1, 150))});
            end_runs();
        }
        ask_for_a_new_task();
        for (const auto& [to, order] : m_owner.m_starts) {
            m_result.m_starts.push_back(to.m_instance.m_worker + ' ' + order.m_key.m_job + ' ' +
                                        to_text(order.m_key.m_task));
        }
        m_result.m_log = m_owner.m_log;
        for (const auto& [name, account] : state().m_quotas.accounts()) {
            m_result.m_used[name] = account->m_used.m_cpu_millis;
        }
        return m_result;
    }

private:
    scheduler_state& state() { return m_owner.m_scheduler->mutable_state(); }
    std::uint32_t draw(std::uint32_t least, std::uint32_t most)
    {
        return least + static_cast<std::uint32_t>(m_random() % (most - least + 1));
    }
    bool chance(std::uint32_t percent) { return draw(0, 99) < percent; }

    void configure()
    {
        auto queue = owner_fixture::queue_at("/queue/");
        queue.m_attempts = draw(1, 3);
        auto urgent = owner_fixture::queue_at("/urgent/");
        urgent.m_attempts = 2;
        queue.m_priority = 1;
        m_has_tenants = chance(60);
        std::vector<tenant_config> tenants;
        for (const auto* name : {"acme", "base"}) {
            const auto quota = chance(50) ? 1'000 * static_cast<std::int64_t>(draw(4, 12)) : 0;
            tenants.push_back(tenant_of(name, quota, 1'000.0 * draw(1, 3)));
        }
        m_owner.set_config({queue, urgent}, m_has_tenants
                                                ? tenant_directory::create(std::move(tenants))
                                                : tenant_directory{});
    }

    void add_worker(const std::string& id)
    {
        auto report = report_of(first_birth_ms, id);
        report.m_capacity = {500 * static_cast<std::int64_t>(draw(2, 16)),
                             500 * static_cast<std::int64_t>(draw(2, 16)), draw(0, 1)};
        report.m_rack = fmt::format("rack-{}", draw(0, 1));
        report.m_draining = chance(10);
        if (chance(40)) {
            report.m_labels = {"ssd"};
        }
        m_owner.m_scheduler->worker_listed(report, m_owner.m_now);
        m_owner.answer_hold_with({}, {}, first_birth_ms, id);
        m_owner.pass(milliseconds{20});
    }

    step_spec draw_step()
    {
        step_spec step;
        step.m_count = draw(1, 4);
        step.m_task_resources = {250 * static_cast<std::int64_t>(draw(1, 10)),
                                 250 * static_cast<std::int64_t>(draw(0, 8)), chance(10) ? 1 : 0};
        step.m_estimate = milliseconds{static_cast<std::int64_t>(draw(50, 800))};
        step.m_gang = chance(15);
        step.m_long_running = chance(10);
        step.m_best_effort = chance(10);
        step.m_same_rack = chance(15);
        step.m_max_per_worker = chance(15) ? 1 : 0;
        step.m_required_label = chance(15) ? "ssd" : "";
        step.m_data_rack = chance(40) ? fmt::format("rack-{}", draw(0, 1)) : "";
        return step;
    }

    void submit(const std::string& id)
    {
        job_spec spec;
        spec.m_steps.push_back(draw_step());
        if (chance(30)) {
            spec.m_steps.push_back(draw_step());
            spec.m_steps.back().m_depends_on = {0};
        }
        m_owner.m_key_digest =
            m_has_tenants ? std::optional<std::string>{chance(50) ? "acme" : "base"} : std::nullopt;
        m_owner.submit_job(id, spec, chance(30) ? "/urgent/" : "/queue/");
    }

    /// Lets a worker fail, leave or be suspected.
    void disturb()
    {
        const auto worker = fmt::format("i-{}", draw(1, 6));
        if (chance(20)) {
            state().health_of("pool").failed(worker, 6, m_owner.m_now.m_at);
            state().health_of("pool").failed(worker, 6, m_owner.m_now.m_at);
        }
        if (chance(20)) {
            m_owner.m_scheduler->set_leaving({worker});
        }
        if (chance(30) && m_submitted > 0) {
            const auto id = id_of(draw(1, m_submitted) * 7'919);
            auto* suspect = state().m_job_store.find(id);
            if (suspect != nullptr && suspect->phase() == job_phase::active) {
                suspect->record_crash({0, 0, 0}, trial_suspicion, suspicion_limit,
                                      m_owner.m_now.m_unix_ms);
                state().changed(id);
            }
        }
    }

    std::map<std::string, placement_report> ask_for_all()
    {
        std::map<std::string, placement_report> reports;
        for (const auto& [id, each] : state().m_job_store.jobs()) {
            placement_question question;
            question.m_queue = queue_key(each.header().m_queue);
            question.m_job = id;
            if (each.phase() == job_phase::active) {
                reports[id] = m_owner.m_scheduler->explain_placement(question, m_owner.m_now);
            }
        }
        return reports;
    }

    void place()
    {
        const auto reports = m_asks ? ask_for_all() : std::map<std::string, placement_report>{};
        m_owner.write();
        for (const auto& [id, report] : reports) {
            ++m_result
                  .m_verdicts[error_in(report) + ' ' + std::string{to_string(report.m_verdict)}];
            if (!report.m_task.empty()) {
                compare(report, placed_worker(id, report.m_task));
            }
            else if (report.m_verdict != placement_verdict::nothing_waits) {
                m_result.m_violation = "no task named for " + id;
            }
        }
    }

    /// Returns the worker of the task's run; empty if it has none.
    std::string placed_worker(const std::string& id, const std::string& task_text)
    {
        const auto& source = *state().m_job_store.find(id);
        for (const auto& ref : source.placed_refs()) {
            if (to_text(ref) == task_text) {
                return source.at(ref).m_placed_on.m_worker;
            }
        }
        return "";
    }

    void compare(const placement_report& report, const std::string& placed)
    {
        if (report.m_error != placement_error::none || report.m_worker != placed ||
            (report.m_verdict == placement_verdict::starts) != !placed.empty()) {
            m_result.m_violation =
                fmt::format("{}is on '{}'; {}", to_text(report), placed, error_in(report));
        }
    }

    /// Ends some of the runs.
    void end_runs()
    {
        for (auto& [id, session] : state().m_workers) {
            std::vector<run_key> ended;
            for (const auto& [key, run] : session.runs()) {
                if (chance(40)) {
                    ended.push_back(key);
                }
            }
            for (const auto& key : ended) {
                auto* source = state().m_job_store.find(key.m_job);
                const auto number = session.find(key)->m_run;
                session.release(key);
                source->end(key.m_task, number, run_end::done, "", 3, m_owner.m_now.m_unix_ms);
                state().changed(key.m_job);
            }
        }
    }

    /// Asks for a task that is submitted afterwards.
    void ask_for_a_new_task()
    {
        if (m_has_tenants) {
            return;
        }
        auto question = ask_for_queue(250 * static_cast<std::int64_t>(draw(1, 12)));
        question.m_data_rack = chance(40) ? "rack-1" : "";
        question.m_label = chance(30) ? "ssd" : "";
        placement_report report;
        if (m_asks) {
            report = m_owner.m_scheduler->explain_placement(question, m_owner.m_now);
            ++m_result.m_verdicts["new " + std::string{to_string(report.m_verdict)}];
        }
        step_spec step;
        step.m_task_resources = default_task_resources;
        step.m_task_resources.m_cpu_millis = *question.m_cpu_millis;
        step.m_estimate = default_task_estimate;
        step.m_data_rack = *question.m_data_rack;
        step.m_required_label = *question.m_label;
        job_spec spec;
        spec.m_steps.push_back(step);
        m_owner.m_key_digest.reset();
        m_owner.submit_job(last_job_id, spec);
        m_owner.write();
        if (m_asks) {
            compare(report, placed_worker(last_job_id, "0.0.0"));
        }
    }

    std::mt19937 m_random;
    bool m_asks;
    bool m_has_tenants{false};
    std::uint32_t m_submitted{0};
    owner_fixture m_owner;
    history_result m_result;
};

} // namespace

// An operator who is told of another worker than the next pass uses looks for the fault in the
// wrong place, and a question that changes what is decided can't be asked in production.
void placement_report_test::named_worker_is_where_the_next_pass_starts_the_task()
{
    std::map<std::string, std::size_t> verdicts;
    assert_property("the report names what the next pass does, and asking changes nothing", [&] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto asked = drawn_fleet{seed, true}.play();
        const auto unasked = drawn_fleet{seed, false}.play();
        RC_ASSERT(asked.m_violation == std::string{});
        RC_ASSERT(asked.m_starts == unasked.m_starts);
        RC_ASSERT(asked.m_log == unasked.m_log);
        RC_ASSERT(asked.m_used == unasked.m_used);
        for (const auto& [verdict, count] : asked.m_verdicts) {
            verdicts[verdict] += count;
        }
    });
    // Otherwise the drawn fleets would be too uniform to show anything.
    for (const auto* verdict :
         {"starts", "no_room", "turn", "trial", "dependency", "rack", "quota"}) {
        CPPUNIT_ASSERT_MESSAGE(verdict, verdicts[std::string{"none "} + verdict] > 0);
    }
    CPPUNIT_ASSERT(verdicts["new starts"] > 0);
}

void placement_report_test::named_rack_wait_is_what_the_next_pass_decides()
{
    const auto play = [](bool asks) {
        uneven_load_options options;
        options.m_seed = 3;
        uneven_load load{options};
        std::map<std::string, placement_report> reports;
        std::string violation;
        std::size_t waits = 0;
        int passes = 0;
        load.before_each_pass([&](moment now) {
            reports.clear();
            // Not before each pass, as questions about hundreds of jobs take long.
            if (!asks || ++passes % 40 != 0) {
                return;
            }
            for (const auto& [id, each] : load.scheduler().state().m_job_store.jobs()) {
                if (each.phase() == job_phase::active && reports.size() < 20) {
                    reports[id] = load.scheduler().explain_placement(ask_for_job(id), now);
                }
            }
        });
        load.after_each_pass([&] {
            for (const auto& [id, report] : reports) {
                const auto& source = load.scheduler().state().m_job_store.jobs().at(id);
                std::string placed;
                for (const auto& ref : source.placed_refs()) {
                    placed = to_text(ref) == report.m_task ? source.at(ref).m_placed_on.m_worker
                                                           : placed;
                }
                waits += report.m_verdict == placement_verdict::rack ? 1 : 0;
                if (placed != report.m_worker) {
                    violation = to_text(report) + "is on " + placed;
                }
            }
        });
        load.play(1);
        CPPUNIT_ASSERT_EQUAL(std::string{}, violation);
        CPPUNIT_ASSERT(!asks || waits > 0);
        return load.report();
    };
    const auto asked = play(true);
    const auto unasked = play(false);
    CPPUNIT_ASSERT(asked.m_events == unasked.m_events);
    CPPUNIT_ASSERT_EQUAL(unasked.m_mean_ms, asked.m_mean_ms);
    CPPUNIT_ASSERT_EQUAL(unasked.m_near_starts, asked.m_near_starts);
}

CPPUNIT_TEST_SUITE_REGISTRATION(placement_report_test);

} // namespace peridotrudder
