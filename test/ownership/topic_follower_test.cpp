#include "peridotrudder/ownership/topic_follower.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <map>
#include <vector>

namespace peridotrudder {

namespace {

constexpr milliseconds hedge_delay{200};

/// A follower whose reads the test answers.
struct follower_fixture {
    struct pending_read {
        read_request m_request;
        std::function<void(read_answer)> m_answer;
    };

    moment m_now{time_point{milliseconds{1'000'000}}, 1'000'000};
    std::multimap<time_point, std::function<void()>> m_due;
    std::vector<std::function<void(newest_answer)>> m_snapshot_reads;
    std::vector<pending_read> m_reads;
    std::vector<std::string> m_taken;
    int m_failures{0};
    std::unique_ptr<topic_follower> m_follower;

    explicit follower_fixture(milliseconds hedging)
    {
        log_port log;
        log.m_newest = [this](const std::string&, std::function<void(newest_answer)> callback) {
            m_snapshot_reads.push_back(std::move(callback));
        };
        log.m_read = [this](const read_request& request,
                            std::function<void(read_answer)> callback) {
            m_reads.push_back({request, std::move(callback)});
        };
        loop_port loop;
        loop.m_now = [this] { return m_now; };
        loop.m_after = [this](milliseconds delay, std::function<void()> action) {
            m_due.emplace(m_now.m_at + delay, std::move(action));
        };
        const auto take = [this](const std::vector<keyed_record>& records) {
            for (const auto& record : records) {
                m_taken.push_back(record.m_key);
            }
        };
        follower_options options;
        options.m_topic = "topic";
        options.m_hedge_delay = hedging;
        m_follower = topic_follower::create(
            options, log, loop,
            {take, take, [this](log_result) { ++m_failures; }, [](std::uint64_t) {}});
        m_follower->start();
    }

    void pass(milliseconds time)
    {
        const auto until = m_now.m_at + time;
        while (!m_due.empty() && m_due.begin()->first <= until) {
            const auto action = m_due.begin()->second;
            m_now.m_at = std::max(m_now.m_at, m_due.begin()->first);
            m_due.erase(m_due.begin());
            action();
        }
        m_now.m_at = until;
    }

    void answer_snapshot(std::size_t index, log_result result = log_result::ok)
    {
        newest_answer answer;
        answer.m_result = result;
        m_snapshot_reads.at(index)(answer);
        pass(milliseconds{0});
    }

    void answer(std::size_t index, const std::string& key, log_result result = log_result::ok)
    {
        read_answer answer;
        answer.m_result = result;
        if (!key.empty()) {
            answer.m_records = {{key, std::vector<std::uint8_t>{1}, 0}};
        }
        m_reads.at(index).m_answer(answer);
        pass(milliseconds{0});
    }

    milliseconds age() const { return remaining(m_follower->current_at(), m_now.m_at); }
};

} // namespace

class topic_follower_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(topic_follower_test);
    CPPUNIT_TEST(silent_read_is_repeated_without_a_wait);
    CPPUNIT_TEST(records_are_taken_once_from_copies_of_a_read);
    CPPUNIT_TEST(refused_copy_does_not_end_a_read_that_may_still_be_answered);
    CPPUNIT_TEST(reads_are_not_repeated_without_end);
    CPPUNIT_TEST(silent_snapshot_is_repeated);
    CPPUNIT_TEST(answer_without_records_shows_that_nothing_was_written_during_the_wait);
    CPPUNIT_TEST(late_answer_with_records_does_not_show_that_they_are_the_newest);
    CPPUNIT_TEST(read_after_a_failed_one_does_not_wait);
    CPPUNIT_TEST(read_is_not_repeated_by_default);
    CPPUNIT_TEST_SUITE_END();

public:
    void silent_read_is_repeated_without_a_wait()
    {
        follower_fixture it{hedge_delay};
        it.answer_snapshot(0);
        it.answer(0, "");
        it.pass(follower_options{}.m_wait + hedge_delay);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, it.m_reads.size());
        CPPUNIT_ASSERT(it.m_reads[2].m_request.m_wait == milliseconds{0});
        it.answer(2, "a");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.m_taken.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, it.m_reads.back().m_request.m_from);
    }

    void records_are_taken_once_from_copies_of_a_read()
    {
        follower_fixture it{hedge_delay};
        it.answer_snapshot(0);
        it.pass(hedge_delay);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.m_reads.size());
        it.answer(1, "a");
        it.answer(0, "a");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.m_taken.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, it.m_reads.size());
    }

    void refused_copy_does_not_end_a_read_that_may_still_be_answered()
    {
        follower_fixture it{hedge_delay};
        it.answer_snapshot(0);
        it.pass(hedge_delay);
        it.answer(1, "", log_result::nothing_done);
        it.answer(0, "a");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.m_taken.size());
        CPPUNIT_ASSERT_EQUAL(1, it.m_failures);
    }

    void reads_are_not_repeated_without_end()
    {
        follower_fixture it{hedge_delay};
        it.answer_snapshot(0);
        it.pass(milliseconds{60'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, it.m_reads.size());
        // One after the other they fail, and then there is one new read, after a pause.
        for (std::size_t index = 0; index < 6; ++index) {
            it.answer(index, "", log_result::unanswered);
        }
        it.pass(follower_options{}.m_retry_pause);
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, it.m_reads.size());
    }

    void silent_snapshot_is_repeated()
    {
        follower_fixture it{hedge_delay};
        it.pass(hedge_delay);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.m_snapshot_reads.size());
        it.answer_snapshot(1);
        it.answer_snapshot(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.m_reads.size());
    }

    void answer_without_records_shows_that_nothing_was_written_during_the_wait()
    {
        follower_fixture it{hedge_delay};
        it.answer_snapshot(0);
        it.answer(0, "");
        it.pass(follower_options{}.m_wait + milliseconds{100});
        it.answer(1, "");
        CPPUNIT_ASSERT_EQUAL(milliseconds{100}.count(), it.age().count());
    }

    void late_answer_with_records_does_not_show_that_they_are_the_newest()
    {
        follower_fixture it{hedge_delay};
        it.answer_snapshot(0);
        it.answer(0, "");
        it.pass(milliseconds{700});
        it.answer(1, "a");
        CPPUNIT_ASSERT_EQUAL(milliseconds{700}.count(), it.age().count());
        CPPUNIT_ASSERT(it.m_reads.back().m_request.m_wait == milliseconds{0});
        it.answer(2, "");
        CPPUNIT_ASSERT_EQUAL(milliseconds{0}.count(), it.age().count());
    }

    // After an outage of the log calls waited for the age of the configuration.
    void read_after_a_failed_one_does_not_wait()
    {
        follower_fixture it{hedge_delay};
        it.answer_snapshot(0);
        it.answer(0, "");
        CPPUNIT_ASSERT(it.m_reads.at(1).m_request.m_wait.count() > 0);
        it.answer(1, "", log_result::nothing_done);
        it.pass(milliseconds{150});
        CPPUNIT_ASSERT_EQUAL(milliseconds::rep{0}, it.m_reads.at(2).m_request.m_wait.count());
    }

    void read_is_not_repeated_by_default()
    {
        follower_fixture it{milliseconds{0}};
        it.answer_snapshot(0);
        it.pass(milliseconds{60'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.m_reads.size());
        CPPUNIT_ASSERT(it.m_reads[0].m_request.m_wait == follower_options{}.m_wait);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(topic_follower_test);

} // namespace peridotrudder
