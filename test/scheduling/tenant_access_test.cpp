#include "peridotrudder/scheduling/job_scheduler.hpp"

#include "property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotrudder {

namespace {

const std::string some_id{"0123456789abcdef"};
const std::string other_id{"fedcba9876543210"};
constexpr std::uint64_t first_version = 1;

tenant_config make_tenant(const std::string& name, std::vector<std::string> digests)
{
    tenant_config tenant;
    tenant.m_name = name;
    tenant.m_key_digests = std::move(digests);
    tenant.m_weight = 1.0;
    return tenant;
}

queue_config make_queue(const std::string& prefix, bool is_public)
{
    queue_config queue;
    queue.m_host = "host";
    queue.m_prefix = prefix;
    queue.m_pool = "pool";
    queue.m_public = is_public;
    return queue;
}

/// A scheduler with a closed and a public queue and one worker, whose answers are kept. "a" and "b"
/// are both the names of the tenants and the digests of their keys.
struct access_fixture {
    using digest = std::optional<std::string>;

    std::map<std::uint64_t, call_answer> m_answers;
    std::vector<decision> m_log;
    std::vector<start_order> m_starts;
    std::vector<stop_order> m_stops;
    moment m_now{time_point{milliseconds{1'000'000}}, 1'000'000};
    std::uint64_t m_next_token{1};
    std::uint64_t m_version{first_version};
    /// Length of the bodies of calls.
    std::optional<std::size_t> m_body_bytes;
    std::unique_ptr<job_scheduler> m_scheduler;

    explicit access_fixture(job_store store = {})
    {
        scheduler_ports ports;
        ports.m_start = [this](const worker_report&, const start_order& order) {
            m_starts.push_back(order);
        };
        ports.m_stop = [this](const worker_report&, const stop_order& order) {
            m_stops.push_back(order);
        };
        ports.m_pace = [](const worker_report&, const pace_order&) {};
        ports.m_hold = [](const worker_report&, const hold_order&) {};
        ports.m_ask = [](const policy_request&) {};
        ports.m_answer = [this](std::uint64_t token, const call_answer& answer) {
            m_answers[token] = answer;
        };
        ports.m_log = [this](const decision& made) { m_log.push_back(made); };
        ports.m_deposed = [] {};
        scheduler_options options;
        options.m_fence = first_token(1);
        m_scheduler = job_scheduler::create(options, std::move(ports), std::move(store), m_now);
        configure_tenants({"a", "b"});
        list_worker();
    }

    void list_worker()
    {
        worker_report report;
        report.m_instance = {"i-1", 1};
        report.m_pool = "pool";
        report.m_port = 80;
        report.m_capacity = {4'000, 8'000, 0};
        m_scheduler->worker_listed(report, m_now);
        m_scheduler->tick(m_now);
        hold_answer answer;
        answer.m_result = order_result::accepted;
        answer.m_born_ms = 1;
        answer.m_clock_ms = m_now.m_unix_ms;
        m_scheduler->hold_answered({{"i-1", 1}, first_token(1)}, answer, m_now.m_at, m_now);
    }

    void configure(tenant_directory tenants, bool closed_is_public = false)
    {
        m_scheduler->set_config(fleet_config::create(
            m_version++, {make_queue("/closed/", closed_is_public), make_queue("/open/", true)},
            {{"pool", false, false}}, std::move(tenants)));
    }

    /// Limits the bodies of submissions.
    void limit_bodies(std::size_t bytes)
    {
        auto config = m_scheduler->state().m_config;
        submission_limits limits;
        limits.m_max_body_bytes = bytes;
        config.set_limits(limits);
        m_scheduler->set_config(std::move(config));
    }

    void configure_tenants(const std::vector<std::string>& names)
    {
        std::vector<tenant_config> tenants;
        std::transform(names.begin(), names.end(), std::back_inserter(tenants),
                       [](const std::string& name) { return make_tenant(name, {name}); });
        configure(tenant_directory::create(std::move(tenants)));
    }

    /// Returns the status of the answer once all changes are written.
    std::string call(call_kind kind, const std::string& path, digest key)
    {
        job_call made{kind, "host", path, {}};
        made.m_key_digest = std::move(key);
        made.m_body_bytes = m_body_bytes;
        if (kind == call_kind::submit) {
            step_spec step;
            step.m_task_resources.m_cpu_millis = 1'000;
            step.m_estimate = milliseconds{100};
            made.m_spec = job_spec{};
            made.m_spec->m_steps.push_back(step);
        }
        const auto token = m_next_token++;
        m_scheduler->take_call(token, made, m_now);
        write_all();
        const auto found = m_answers.find(token);
        return found == m_answers.end() ? "none" : std::string{to_string(found->second.m_status)};
    }

    std::string submit(digest key, const std::string& path = "/closed/" + some_id)
    {
        return call(call_kind::submit, path, std::move(key));
    }

    std::string query(digest key, const std::string& path = "/closed/" + some_id)
    {
        return call(call_kind::query, path, std::move(key));
    }

    std::string cancel(digest key, const std::string& path = "/closed/" + some_id)
    {
        return call(call_kind::cancel, path, std::move(key));
    }

    void write_all()
    {
        while (m_scheduler->needs_write()) {
            m_scheduler->written(m_scheduler->take_batch(m_now), m_now);
        }
    }

    const job& stored(const std::string& id = some_id)
    {
        const auto* found = m_scheduler->mutable_state().m_job_store.find(id);
        CPPUNIT_ASSERT(found != nullptr);
        return *found;
    }

    bool logged(std::string_view event, std::string_view detail = {}) const
    {
        return std::any_of(m_log.begin(), m_log.end(), [&](const decision& made) {
            return made.m_event == event && (detail.empty() || made.m_detail == detail);
        });
    }
};

void assert_status(const std::string& expected, const std::string& actual)
{
    CPPUNIT_ASSERT_EQUAL(expected, actual);
}

/// What a caller's view of one version and the jobs so far says that an answer has to be.
struct access_oracle {
    struct known_job {
        std::optional<std::string> m_tenant;
        bool m_from_closed{false};
    };

    /// None: the version has no tenants.
    std::optional<std::set<std::string>> m_valid;
    bool m_closed_is_public{false};
    std::map<std::string, known_job> m_jobs;

    bool needs_key(bool closed) const { return m_valid && closed && !m_closed_is_public; }

    std::string expect(call_kind kind, bool closed, const std::string& id,
                       const std::optional<std::string>& key)
    {
        const bool checked = needs_key(closed);
        if (checked && (!key || m_valid->count(*key) == 0)) {
            return "unauthorized";
        }
        const auto caller = checked ? key : std::nullopt;
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end()) {
            if (kind != call_kind::submit) {
                return "unknown_job";
            }
            m_jobs[id] = {caller, closed};
            return "done";
        }
        if (!may_access(found->second, closed, caller)) {
            return kind == call_kind::submit ? "invalid" : "unknown_job";
        }
        return kind == call_kind::query ? "state" : "done";
    }

    bool may_access(const known_job& job, bool closed,
                    const std::optional<std::string>& caller) const
    {
        if (!m_valid || !job.m_tenant) {
            return true;
        }
        return caller ? job.m_tenant == caller : job.m_from_closed == closed;
    }
};

void apply_drawn_version(access_fixture& it, access_oracle& oracle)
{
    const std::vector<std::string> all{"a", "b", "c"};
    oracle.m_closed_is_public = *rc::gen::inRange(0, 6) == 0;
    if (*rc::gen::inRange(0, 8) == 0) {
        oracle.m_valid.reset();
        it.configure({}, oracle.m_closed_is_public);
        return;
    }
    std::vector<tenant_config> tenants;
    oracle.m_valid.emplace();
    for (const auto& name : all) {
        // A tenant may be there without a key.
        const bool has_key = *rc::gen::arbitrary<bool>();
        if (has_key) {
            oracle.m_valid->insert(name);
        }
        if (has_key || *rc::gen::arbitrary<bool>()) {
            tenants.push_back(make_tenant(name, has_key ? std::vector<std::string>{name}
                                                        : std::vector<std::string>{}));
        }
    }
    it.configure(tenant_directory::create(std::move(tenants)), oracle.m_closed_is_public);
}

void make_drawn_call(access_fixture& it, access_oracle& oracle)
{
    const auto kind = *rc::gen::element(call_kind::submit, call_kind::query, call_kind::cancel);
    const bool closed = *rc::gen::inRange(0, 4) != 0;
    const auto id = *rc::gen::element(some_id, other_id);
    const auto name = *rc::gen::element<std::string>("", "a", "b", "c", "never");
    const auto key = name.empty() ? std::nullopt : std::optional<std::string>{name};
    const auto expected = oracle.expect(kind, closed, id, key);
    const auto before = it.m_scheduler->state().m_job_store.jobs().size();
    RC_ASSERT(it.call(kind, (closed ? "/closed/" : "/open/") + id, key) == expected);
    const auto after = it.m_scheduler->state().m_job_store.jobs().size();
    RC_ASSERT(after == oracle.m_jobs.size());
    RC_ASSERT((expected == "done" || after == before));
}

void check_stored_tenants(const access_fixture& it, const access_oracle& oracle)
{
    for (const auto& [id, stored] : it.m_scheduler->state().m_job_store.jobs()) {
        const auto& tenant = stored.header().m_tenant;
        const auto& expected = oracle.m_jobs.at(id).m_tenant;
        RC_ASSERT(tenant.has_value() == expected.has_value());
        if (tenant) {
            RC_ASSERT(tenant->m_name == *expected);
        }
    }
}

} // namespace

class tenant_access_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(tenant_access_test);
    CPPUNIT_TEST(call_without_a_key_or_with_an_unknown_one_is_unauthorized);
    CPPUNIT_TEST(unknown_queue_is_reported_before_a_missing_key);
    CPPUNIT_TEST(public_queue_needs_no_key);
    CPPUNIT_TEST(tenant_uses_its_own_job);
    CPPUNIT_TEST(another_tenant_neither_learns_of_a_job_nor_changes_it);
    CPPUNIT_TEST(job_of_a_closed_queue_is_not_reached_through_a_public_one);
    CPPUNIT_TEST(job_of_a_public_queue_is_open_to_any_valid_key_later);
    CPPUNIT_TEST(removed_tenant_is_refused_while_its_job_runs_on);
    CPPUNIT_TEST(keys_changed_in_quick_succession_follow_the_newest_version);
    CPPUNIT_TEST(new_key_of_a_tenant_reaches_its_older_jobs);
    CPPUNIT_TEST(successor_keeps_the_tenant_of_a_job);
    CPPUNIT_TEST(configuration_without_tenants_needs_no_key);
    CPPUNIT_TEST(empty_list_of_tenants_refuses_every_key);
    CPPUNIT_TEST(log_shows_neither_key_nor_digest);
    CPPUNIT_TEST(logged_path_of_an_unauthorized_call_is_cut);
    CPPUNIT_TEST(answers_agree_with_the_newest_version_in_any_sequence);
    CPPUNIT_TEST(submission_over_the_configured_limit_is_refused_and_never_runs);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a limit of the configuration that is read and not applied, and against a
    // refusal of a job that runs.
    void submission_over_the_configured_limit_is_refused_and_never_runs()
    {
        access_fixture it;
        const std::string other_path = "/closed/" + other_id;
        it.m_body_bytes = 101;
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.submit("a"));
        it.limit_bodies(100);
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.submit("a"));
        CPPUNIT_ASSERT_EQUAL(std::string{"unauthorized"}, it.submit("none", other_path));
        CPPUNIT_ASSERT_EQUAL(std::string{"body_too_long"}, it.submit("a", other_path));
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown_job"}, it.query("a", other_path));
        it.m_body_bytes = 100;
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, it.submit("a", other_path));
    }

    void call_without_a_key_or_with_an_unknown_one_is_unauthorized()
    {
        access_fixture it;
        const std::vector<access_fixture::digest> keys{std::nullopt, "never", ""};
        for (const auto& key : keys) {
            assert_status("unauthorized", it.submit(key));
            assert_status("unauthorized", it.query(key));
            assert_status("unauthorized", it.query(key, "/closed/"));
            assert_status("unauthorized", it.cancel(key));
        }
        CPPUNIT_ASSERT(it.m_scheduler->state().m_job_store.jobs().empty());
        CPPUNIT_ASSERT(it.m_starts.empty());
        CPPUNIT_ASSERT(it.logged("call_unauthorized", "no key"));
        CPPUNIT_ASSERT(it.logged("call_unauthorized", "unknown key"));
    }

    void unknown_queue_is_reported_before_a_missing_key()
    {
        access_fixture it;
        assert_status("unknown_queue", it.submit({}, "/other/" + some_id));
        assert_status("unknown_queue", it.query("never", "/other/"));
    }

    void public_queue_needs_no_key()
    {
        access_fixture it;
        assert_status("done", it.submit({}, "/open/" + some_id));
        assert_status("state", it.query("never", "/open/" + some_id));
        assert_status("length", it.query({}, "/open/"));
        assert_status("done", it.cancel("a", "/open/" + some_id));
        CPPUNIT_ASSERT(!it.stored().header().m_tenant);
    }

    void tenant_uses_its_own_job()
    {
        access_fixture it;
        assert_status("done", it.submit("a"));
        assert_status("done", it.submit("a"));
        assert_status("state", it.query("a"));
        assert_status("length", it.query("a", "/closed/"));
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, it.stored().header().m_tenant->m_name);
        assert_status("done", it.cancel("a"));
        CPPUNIT_ASSERT(it.stored().phase() == job_phase::cancelled);
    }

    void another_tenant_neither_learns_of_a_job_nor_changes_it()
    {
        access_fixture it;
        it.submit("a");
        assert_status(it.query("b", "/closed/" + other_id), it.query("b"));
        assert_status("unknown_job", it.query("b"));
        assert_status("unknown_job", it.cancel("b"));
        assert_status("invalid", it.submit("b"));
        CPPUNIT_ASSERT(it.stored().phase() == job_phase::active);
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, it.stored().header().m_tenant->m_name);
        CPPUNIT_ASSERT(it.m_stops.empty());
        CPPUNIT_ASSERT(it.logged("job_withheld"));
    }

    void job_of_a_closed_queue_is_not_reached_through_a_public_one()
    {
        access_fixture it;
        it.submit("a");
        const std::vector<access_fixture::digest> keys{std::nullopt, "a", "b"};
        for (const auto& key : keys) {
            assert_status("unknown_job", it.query(key, "/open/" + some_id));
            assert_status("unknown_job", it.cancel(key, "/open/" + some_id));
            assert_status("invalid", it.submit(key, "/open/" + some_id));
        }
        CPPUNIT_ASSERT(it.stored().phase() == job_phase::active);
    }

    void job_of_a_public_queue_is_open_to_any_valid_key_later()
    {
        access_fixture it;
        it.configure(tenant_directory::create({make_tenant("a", {"a"}), make_tenant("b", {"b"})}),
                     true);
        assert_status("done", it.submit({}));
        it.configure_tenants({"a", "b"});
        assert_status("unauthorized", it.query({}));
        assert_status("state", it.query("b"));
        assert_status("done", it.cancel("a"));
    }

    void removed_tenant_is_refused_while_its_job_runs_on()
    {
        access_fixture it;
        it.submit("a");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.m_starts.size());
        it.configure_tenants({"b"});
        it.write_all();
        assert_status("unauthorized", it.query("a"));
        assert_status("unauthorized", it.cancel("a"));
        assert_status("unknown_job", it.query("b"));
        CPPUNIT_ASSERT(it.m_stops.empty());
        CPPUNIT_ASSERT(it.stored().phase() == job_phase::active);
        it.configure_tenants({"a", "b"});
        assert_status("state", it.query("a"));
    }

    void keys_changed_in_quick_succession_follow_the_newest_version()
    {
        access_fixture it;
        it.submit("a");
        for (int turn = 0; turn < 5; ++turn) {
            it.configure_tenants({"b"});
            assert_status("unauthorized", it.query("a"));
            it.configure_tenants({"a", "b"});
            assert_status("state", it.query("a"));
            it.configure_tenants({});
            it.configure_tenants({"a"});
            assert_status("state", it.query("a"));
            assert_status("unauthorized", it.query("b"));
        }
    }

    void new_key_of_a_tenant_reaches_its_older_jobs()
    {
        access_fixture it;
        it.submit("a");
        it.configure(tenant_directory::create({make_tenant("a", {"new"})}));
        assert_status("unauthorized", it.query("a"));
        assert_status("state", it.query("new"));
        assert_status("done", it.cancel("new"));
    }

    void successor_keeps_the_tenant_of_a_job()
    {
        job_store store;
        job_header header{some_id, make_queue("/closed/", false), 1'000'000, {}, {}};
        step_spec step;
        step.m_task_resources.m_cpu_millis = 1'000;
        header.m_spec.m_steps.push_back(step);
        header.m_tenant = job_tenant{"a", true};
        store.add(header);
        restore_report report;
        access_fixture it{job_store::restore(store.take_changes(), report)};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.m_jobs);
        assert_status("state", it.query("a"));
        assert_status("unknown_job", it.query("b"));
        CPPUNIT_ASSERT(it.stored().header().m_tenant->m_excess);
    }

    void configuration_without_tenants_needs_no_key()
    {
        access_fixture it;
        it.configure({});
        assert_status("done", it.submit({}));
        assert_status("done", it.submit("never"));
        assert_status("state", it.query({}));
        assert_status("done", it.cancel("b"));
        CPPUNIT_ASSERT(!it.stored().header().m_tenant);
        CPPUNIT_ASSERT(!it.logged("call_unauthorized"));
    }

    void empty_list_of_tenants_refuses_every_key()
    {
        access_fixture it;
        it.configure(tenant_directory::create({}));
        assert_status("unauthorized", it.submit("a"));
        assert_status("unauthorized", it.query({}));
        assert_status("done", it.submit({}, "/open/" + some_id));
    }

    void log_shows_neither_key_nor_digest()
    {
        access_fixture it;
        const std::string digest(64, 'd');
        it.submit(digest);
        it.query(digest, "/closed/");
        it.cancel(digest);
        CPPUNIT_ASSERT(!it.m_log.empty());
        for (const auto& made : it.m_log) {
            CPPUNIT_ASSERT(made.m_job.find(digest) == std::string::npos);
            CPPUNIT_ASSERT(made.m_detail.find(digest) == std::string::npos);
        }
    }

    void logged_path_of_an_unauthorized_call_is_cut()
    {
        access_fixture it;
        it.query({}, "/closed/" + std::string(10'000, 'x'));
        CPPUNIT_ASSERT(it.m_log.back().m_event == "call_unauthorized");
        CPPUNIT_ASSERT(it.m_log.back().m_job.size() <= 128);
    }

    void answers_agree_with_the_newest_version_in_any_sequence()
    {
        assert_property("answers agree with the newest version", [] {
            access_fixture it;
            access_oracle oracle;
            oracle.m_valid = std::set<std::string>{"a", "b"};
            const auto turns = *rc::gen::inRange(1, 30);
            for (int turn = 0; turn < turns; ++turn) {
                if (*rc::gen::inRange(0, 3) == 0) {
                    apply_drawn_version(it, oracle);
                }
                else {
                    make_drawn_call(it, oracle);
                }
            }
            check_stored_tenants(it, oracle);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(tenant_access_test);

} // namespace peridotrudder
