#include "peridotrudder/ownership/journal_writer.hpp"
#include "platform/log_service.hpp"
#include "standins/fleet/log_store.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace peridotrudder {

namespace {

constexpr std::uint32_t status_ok = 200;
const std::string topic{"keyed.jobs"};
const time_point start{milliseconds{1'000'000}};

/// A log whose appends are carried out, and whose answers are returned, when the test says so.
class delayed_log {
public:
    log_port port()
    {
        log_port delayed;
        delayed.m_append = [this](append_request request,
                                  std::function<void(append_answer)> callback) {
            m_calls.push_back({std::move(request), std::move(callback)});
        };
        return delayed;
    }

    std::size_t calls() const { return m_calls.size(); }

    /// Carries out the append with an index, and returns its answer to the writer.
    void carry_out(std::size_t index)
    {
        const auto& call = m_calls.at(index);
        const auto& identity = *call.m_request.m_identity;
        http_request request;
        request.m_method = "POST";
        request.m_path = "/-/log-append";
        request.m_query = fmt::format("topic={}&part=0&producer={}&epoch={}&sequence={}", topic,
                                      identity.m_producer, identity.m_epoch, identity.m_sequence);
        request.m_body = platform::frame_records(call.m_request.m_records);
        append_answer answer;
        m_store.answer(request, 0, [&answer](const http_response& response) {
            const auto body = nlohmann::json::parse(response.m_body);
            answer.m_result =
                response.m_status == status_ok ? log_result::ok : log_result::out_of_sequence;
            answer.m_expected_sequence = body.value("sequence", std::uint64_t{1});
        });
        call.m_callback(answer);
    }

    bool has(const std::string& key) const { return !m_store.newest(topic, key).empty(); }

private:
    struct pending_call {
        append_request m_request;
        std::function<void(append_answer)> m_callback;
    };

    std::deque<pending_call> m_calls;
    standins::log_store m_store;
};

keyed_record make_record(const std::string& key)
{
    return {key, std::vector<std::uint8_t>{1}, 0};
}

} // namespace

class late_appends_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(late_appends_test);
    CPPUNIT_TEST(batch_is_written_although_an_attempt_of_the_one_before_arrives_late);
    CPPUNIT_TEST_SUITE_END();

public:
    // A job that had been accepted was not in the journal when a successor read it.
    void batch_is_written_although_an_attempt_of_the_one_before_arrives_late()
    {
        delayed_log log;
        int written = 0;
        journal_options options;
        options.m_topic = topic;
        options.m_producer = "owner";
        options.m_epoch = 9;
        const auto writer =
            journal_writer::create(options, log.port(), {[&written] { ++written; }, [] {}});
        writer->claim(start);
        log.carry_out(0);

        // Two attempts of the first batch, the second of which is slow.
        writer->write({make_record("first")}, start);
        writer->tick(start + options.m_hedge_delay);
        const auto late_attempt = log.calls() - 1;
        log.carry_out(1);
        writer->tick(start + options.m_hedge_delay * 2);
        while (written < 2) {
            log.carry_out(log.calls() - 1);
        }
        CPPUNIT_ASSERT(log.has("first"));

        writer->write({make_record("second")}, start + options.m_hedge_delay * 3);
        const auto second = log.calls() - 1;
        log.carry_out(late_attempt);
        log.carry_out(second);
        CPPUNIT_ASSERT_EQUAL(3, written);
        CPPUNIT_ASSERT_MESSAGE("what counts as written is in the log", log.has("second"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_appends_test);

} // namespace peridotrudder
