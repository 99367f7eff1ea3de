#include "fleet_owner_fixture.hpp"
#include "property.hpp"

#include <algorithm>
#include <optional>

namespace peridotrudder {

namespace {

/// The shortest time after which a version has to be in force once its writer has an answer.
constexpr milliseconds shortest_bound{2'000};
constexpr milliseconds step{100};
const std::string absent_key{"never"};

struct keys_fixture : owner_fixture {
    /// Serves by a version whose only key is "a".
    void serve_key_a()
    {
        m_keys[1] = {"a"};
        serve();
    }

    std::uint64_t query(const std::optional<std::string>& key)
    {
        job_call call{call_kind::query, "host", "/queue/", {}};
        call.m_key_digest = key;
        m_owner->take_call(m_next_token, call);
        return m_next_token++;
    }

    std::string status_after(const std::optional<std::string>& key, milliseconds time)
    {
        const auto token = query(key);
        pass(time);
        return status(token);
    }

    bool has_event(const std::string& event) const
    {
        return std::find(m_events.begin(), m_events.end(), event) != m_events.end();
    }
};

void assert_status(const std::string& expected, const std::string& actual)
{
    CPPUNIT_ASSERT_EQUAL(expected, actual);
}

/// Operators' versions with their times, and calls whose answers the versions have to explain.
struct key_history {
    struct version {
        milliseconds m_written;
        bool m_has_key{false};
    };
    struct made_call {
        std::uint64_t m_token{0};
        milliseconds m_at;
    };

    keys_fixture m_owner;
    milliseconds m_now{0};
    std::vector<version> m_versions{{milliseconds{-100'000}, true}};
    std::vector<made_call> m_calls;
    std::vector<std::uint64_t> m_calls_with_absent_key;
    std::uint8_t m_number{1};

    key_history() { m_owner.serve_key_a(); }

    void pass(milliseconds time)
    {
        m_owner.pass(time);
        m_now += time;
    }

    void write_version()
    {
        const bool has_key = !m_versions.back().m_has_key;
        m_owner.write_keys(++m_number,
                           has_key ? std::vector<std::string>{"a"} : std::vector<std::string>{"b"});
        m_versions.push_back({m_now, has_key});
    }

    void call()
    {
        m_calls.push_back({m_owner.query("a"), m_now});
        m_calls_with_absent_key.push_back(m_owner.query(absent_key));
    }

    void act()
    {
        // Waits are as likely as calls, since a fault matters once readings have become old.
        switch (*rc::gen::element(0, 0, 0, 1, 2, 3, 4, 4, 4, 4, 4, 5, 5, 5, 5, 5)) {
        case 0:
            write_version();
            return;
        case 1:
            m_owner.m_silent_reads = *rc::gen::element(0, 2, 1'000);
            return;
        case 2:
            m_owner.m_log_up = !m_owner.m_log_up;
            return;
        case 3:
            m_owner.m_appends_up = !m_owner.m_appends_up;
            return;
        case 4:
            pass(step * *rc::gen::element(1, 5, 12, 25));
            return;
        default:
            call();
            return;
        }
    }

    void settle()
    {
        m_owner.m_silent_reads = 0;
        m_owner.m_log_up = true;
        m_owner.m_appends_up = true;
        pass(milliseconds{2'500});
    }

    /// Returns whether a version with the key, or one without it, was in force in the bound before
    /// the call or was written since, so that the answer may be by it.
    bool some_version_explains(const made_call& call, bool has_key) const
    {
        for (std::size_t place = 0; place < m_versions.size(); ++place) {
            const bool is_replaced = place + 1 < m_versions.size() &&
                                     m_versions[place + 1].m_written + shortest_bound < call.m_at;
            if (m_versions[place].m_has_key == has_key && !is_replaced) {
                return true;
            }
        }
        return false;
    }

    void check() const
    {
        for (const auto& call : m_calls) {
            const auto status = m_owner.status(call.m_token);
            if (status == "length") {
                RC_ASSERT(some_version_explains(call, true));
            }
            if (status == "unauthorized") {
                RC_ASSERT(some_version_explains(call, false));
            }
        }
        for (const auto token : m_calls_with_absent_key) {
            RC_ASSERT(m_owner.status(token) != "length");
        }
    }
};

} // namespace

class owner_keys_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(owner_keys_test);
    CPPUNIT_TEST(removed_key_is_refused_and_added_key_served_within_the_bound);
    CPPUNIT_TEST(unknown_key_waits_for_a_fresh_reading);
    CPPUNIT_TEST(unknown_key_was_refused_by_an_old_reading);
    CPPUNIT_TEST(removed_key_was_served_by_an_old_reading_while_writes_passed);
    CPPUNIT_TEST(key_removed_while_the_log_was_out_of_reach_was_served_when_it_came_back);
    CPPUNIT_TEST(key_removed_while_reads_hung_was_served_once_writes_failed);
    CPPUNIT_TEST(outage_of_the_log_for_all_stops_no_tenant);
    CPPUNIT_TEST(job_without_a_key_was_refused_as_unavailable_while_the_log_failed);
    CPPUNIT_TEST(submission_was_refused_as_not_run_though_an_earlier_copy_may_run);
    CPPUNIT_TEST(call_to_a_queue_without_keys_is_served_by_an_old_reading);
    CPPUNIT_TEST(successor_does_not_serve_a_key_that_its_predecessor_refused);
    CPPUNIT_TEST(unreadable_configuration_leaves_the_last_good_version_in_force);
    CPPUNIT_TEST(versions_explain_the_answers_in_any_history);
    CPPUNIT_TEST_SUITE_END();

public:
    void removed_key_is_refused_and_added_key_served_within_the_bound()
    {
        for (milliseconds offset{0}; offset < milliseconds{1'200}; offset += step) {
            keys_fixture it;
            it.serve_key_a();
            it.pass(offset);
            it.write_keys(2, {"b"});
            it.write_keys(3, {"a"});
            it.write_keys(4, {"b"});
            it.pass(shortest_bound);
            assert_status("unauthorized", it.status_after("a", milliseconds{20}));
            assert_status("length", it.status_after("b", milliseconds{20}));
        }
    }

    void unknown_key_waits_for_a_fresh_reading()
    {
        keys_fixture it;
        it.serve_key_a();
        it.m_silent_reads = 1'000;
        it.pass(milliseconds{2'600});
        it.write_keys(2, {"a", "b"});
        const auto token = it.query("b");
        it.pass(step);
        assert_status("none yet", it.status(token));
        it.m_silent_reads = 0;
        it.pass(milliseconds{800});
        assert_status("length", it.status(token));
    }

    // The key may have been added since the reading.
    void unknown_key_was_refused_by_an_old_reading()
    {
        keys_fixture it;
        it.serve_key_a();
        it.m_silent_reads = 1'000;
        it.pass(milliseconds{2'600});
        const auto wait = owner_options{}.m_config_longest_wait + milliseconds{50};
        assert_status("unavailable", it.status_after("b", wait));
        assert_status("unavailable", it.status_after({}, wait));
        CPPUNIT_ASSERT(it.has_event("key_uncertain"));
    }

    void removed_key_was_served_by_an_old_reading_while_writes_passed()
    {
        keys_fixture it;
        it.serve_key_a();
        it.m_silent_reads = 1'000;
        it.pass(milliseconds{100});
        it.write_keys(2, {"b"});
        it.pass(milliseconds{2'500});
        const auto wait = owner_options{}.m_config_longest_wait + milliseconds{50};
        assert_status("unavailable", it.status_after("a", wait));
    }

    // Writes succeeded before the configuration had been read again.
    void key_removed_while_the_log_was_out_of_reach_was_served_when_it_came_back()
    {
        for (milliseconds outage{2'000}; outage < milliseconds{4'000}; outage += step) {
            keys_fixture it;
            it.serve_key_a();
            it.m_log_up = false;
            it.write_keys(2, {"b"});
            std::vector<std::uint64_t> calls;
            it.pass(shortest_bound);
            for (milliseconds passed{0}; passed < outage; passed += step) {
                calls.push_back(it.query("a"));
                it.pass(step);
            }
            it.m_silent_reads = 3;
            it.m_log_up = true;
            it.pass(milliseconds{3'000});
            for (const auto token : calls) {
                const auto status = it.status(token);
                CPPUNIT_ASSERT_MESSAGE(status, status == "unauthorized" || status == "unavailable");
            }
        }
    }

    // A failed write was taken for an outage in which nothing can have been removed.
    void key_removed_while_reads_hung_was_served_once_writes_failed()
    {
        keys_fixture it;
        it.serve_key_a();
        it.m_silent_reads = 1'000;
        it.pass(milliseconds{100});
        it.write_keys(2, {"b"});
        it.pass(milliseconds{3'000});
        it.m_log_up = false;
        const auto status = it.status_after("a", milliseconds{700});
        CPPUNIT_ASSERT_MESSAGE(status, status != "length");
    }

    void outage_of_the_log_for_all_stops_no_tenant()
    {
        keys_fixture it;
        it.serve_key_a();
        it.m_log_up = false;
        it.m_supported = true;
        it.pass(milliseconds{5'000});
        assert_status("length", it.status_after("a", milliseconds{20}));
        const auto wait = owner_options{}.m_config_longest_wait + milliseconds{50};
        assert_status("unavailable", it.status_after("b", wait));
    }

    // It told callers without a key which ids are in use: a known id was unauthorized.
    void job_without_a_key_was_refused_as_unavailable_while_the_log_failed()
    {
        keys_fixture it;
        it.serve_key_a();
        it.m_appends_up = false;
        it.m_supported = true;
        it.pass(milliseconds{1'000});
        assert_status("unauthorized", it.status(it.submit("0123456789abcdef")));
    }

    // A 503 promises that the job never runs.
    void submission_was_refused_as_not_run_though_an_earlier_copy_may_run()
    {
        keys_fixture it;
        it.serve_key_a();
        it.m_silent_reads = 1'000;
        it.pass(milliseconds{2'600});
        const auto token = it.submit("0123456789abcdef");
        it.pass(owner_options{}.m_config_longest_wait + milliseconds{50});
        assert_status("unknown_outcome", it.status(token));
    }

    void call_to_a_queue_without_keys_is_served_by_an_old_reading()
    {
        keys_fixture it;
        it.serve();
        it.m_silent_reads = 1'000;
        it.pass(milliseconds{2'600});
        const auto wait = owner_options{}.m_config_longest_wait + milliseconds{50};
        assert_status("length", it.status_after({}, wait));
    }

    // The successor's reading before its claim still had the key.
    void successor_does_not_serve_a_key_that_its_predecessor_refused()
    {
        keys_fixture it;
        it.m_keys[1] = {"a"};
        it.m_topics["operators"]["config"] = {1};
        it.m_topics["workers"]["i-1"] = {1};
        it.m_appends_up = false;
        it.m_owner->start();
        it.pass(milliseconds{30});
        it.write_keys(2, {"b"});
        const auto early = it.query("a");
        it.m_appends_up = true;
        it.pass(milliseconds{300});
        CPPUNIT_ASSERT(it.m_owner->phase() == owner_phase::serving);
        assert_status("unauthorized", it.status(early));
        assert_status("length", it.status_after("b", milliseconds{20}));
    }

    void unreadable_configuration_leaves_the_last_good_version_in_force()
    {
        keys_fixture it;
        it.serve_key_a();
        it.write_config(unusable);
        it.pass(milliseconds{1'000});
        CPPUNIT_ASSERT(it.has_event("config_unreadable"));
        assert_status("length", it.status_after("a", milliseconds{20}));
        assert_status("unauthorized", it.status_after("b", milliseconds{20}));
        it.write_keys(3, {"b"});
        it.pass(milliseconds{1'000});
        assert_status("unauthorized", it.status_after("a", milliseconds{20}));
    }

    void versions_explain_the_answers_in_any_history()
    {
        assert_property("versions explain the answers", [] {
            key_history history;
            const auto turns = *rc::gen::inRange(1, 60);
            for (int turn = 0; turn < turns; ++turn) {
                history.act();
            }
            history.settle();
            history.check();
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(owner_keys_test);

} // namespace peridotrudder
