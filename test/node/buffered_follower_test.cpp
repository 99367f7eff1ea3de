#include "peridotrudder/node/buffered_follower.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace peridotrudder {

class buffered_follower_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(buffered_follower_test);
    CPPUNIT_TEST(buffers_records_until_released);
    CPPUNIT_TEST(passes_records_on_directly_after_release);
    CPPUNIT_TEST(a_second_snapshot_replaces_the_buffered_records);
    CPPUNIT_TEST_SUITE_END();

    std::function<void(newest_answer)> m_newest;
    std::function<void(read_answer)> m_read;
    std::deque<std::function<void()>> m_due;
    std::vector<std::pair<std::string, bool>> m_taken;
    int m_times_buffered{0};
    std::unique_ptr<buffered_follower> m_follower;

    static keyed_record record_of(const std::string& key)
    {
        return {key, std::vector<std::uint8_t>{1}, 0};
    }

    void run_due()
    {
        while (!m_due.empty()) {
            const auto action = std::move(m_due.front());
            m_due.pop_front();
            action();
        }
    }

    void answer_newest(const std::string& key)
    {
        newest_answer answer;
        answer.m_result = log_result::ok;
        answer.m_records = {record_of(key)};
        m_newest(answer);
        run_due();
    }

    void answer_read(log_result result, const std::string& key)
    {
        read_answer answer;
        answer.m_result = result;
        answer.m_records = {record_of(key)};
        m_read(answer);
        run_due();
    }

public:
    void setUp() override
    {
        log_port log;
        log.m_newest = [this](const std::string&, std::function<void(newest_answer)> callback) {
            m_newest = std::move(callback);
        };
        log.m_read = [this](const read_request&, std::function<void(read_answer)> callback) {
            m_read = std::move(callback);
        };
        loop_port loop;
        loop.m_now = [] { return moment{}; };
        loop.m_after = [this](milliseconds, std::function<void()> action) {
            m_due.push_back(std::move(action));
        };
        m_follower = buffered_follower::create(
            {}, log, loop,
            [this](const std::vector<keyed_record>& records, bool snapshot) {
                std::string keys;
                for (const auto& record : records) {
                    keys += record.m_key;
                }
                m_taken.emplace_back(keys, snapshot);
            },
            [this] { ++m_times_buffered; });
        m_follower->start();
    }

    void buffers_records_until_released()
    {
        CPPUNIT_ASSERT(!m_follower->complete());
        answer_newest("a");
        CPPUNIT_ASSERT(m_follower->complete());
        answer_read(log_result::ok, "b");
        CPPUNIT_ASSERT(m_taken.empty());
        CPPUNIT_ASSERT_EQUAL(2, m_times_buffered);

        m_follower->release();

        CPPUNIT_ASSERT(m_taken.at(0) == std::make_pair(std::string{"ab"}, true));
    }

    void passes_records_on_directly_after_release()
    {
        answer_newest("a");
        m_follower->release();
        answer_read(log_result::ok, "b");
        CPPUNIT_ASSERT(m_taken.at(1) == std::make_pair(std::string{"b"}, false));
    }

    void a_second_snapshot_replaces_the_buffered_records()
    {
        answer_newest("a");
        answer_read(log_result::trimmed, "");
        answer_newest("c");
        m_follower->release();
        CPPUNIT_ASSERT(m_taken.at(0) == std::make_pair(std::string{"c"}, true));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(buffered_follower_test);

} // namespace peridotrudder
