#include "peridotrudder/ownership/journal_writer.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace peridotrudder {

namespace {

const time_point start{milliseconds{1'000'000}};

/// A log that queues the calls until the test answers them.
struct manual_log {
    struct pending_call {
        append_request m_request;
        std::function<void(append_answer)> m_callback;
    };
    std::deque<pending_call> m_calls;

    log_port port()
    {
        log_port new_port;
        new_port.m_append = [this](append_request request,
                                   std::function<void(append_answer)> callback) {
            m_calls.push_back({std::move(request), std::move(callback)});
        };
        return new_port;
    }

    void answer(std::size_t index, log_result result, std::uint64_t expected_sequence = 0)
    {
        append_answer new_answer;
        new_answer.m_result = result;
        new_answer.m_expected_sequence = expected_sequence;
        const auto callback = m_calls.at(index).m_callback;
        callback(new_answer);
    }
};

struct writer_fixture {
    manual_log m_log;
    int m_written{0};
    int m_fenced{0};
    std::unique_ptr<journal_writer> m_writer;

    writer_fixture()
    {
        journal_options options;
        options.m_topic = "topic";
        options.m_producer = "owner";
        options.m_epoch = 9;
        m_writer = journal_writer::create(options, m_log.port(),
                                          {[this] { ++m_written; }, [this] { ++m_fenced; }});
    }
};

} // namespace

class journal_writer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(journal_writer_test);
    CPPUNIT_TEST(claim_leaves_no_value_under_the_new_epoch);
    CPPUNIT_TEST(unanswered_append_is_repeated_under_the_same_number);
    CPPUNIT_TEST(late_answer_of_an_earlier_attempt_counts_once);
    CPPUNIT_TEST(refused_append_is_tried_again_and_counts_as_failing);
    CPPUNIT_TEST(fenced_writer_writes_nothing_more);
    CPPUNIT_TEST(fenced_copy_of_a_written_append_ends_the_writer);
    CPPUNIT_TEST(sequence_number_of_the_service_is_used);
    CPPUNIT_TEST(proof_has_the_time_of_sending);
    CPPUNIT_TEST(answer_after_the_writers_end_is_harmless);
    CPPUNIT_TEST_SUITE_END();

public:
    void claim_leaves_no_value_under_the_new_epoch()
    {
        writer_fixture test;
        test.m_writer->claim(start);
        const auto& records = test.m_log.m_calls.front().m_request.m_records;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, records.size());
        CPPUNIT_ASSERT(!records.front().m_value.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9},
                             test.m_log.m_calls.front().m_request.m_identity->m_epoch);
        test.m_log.answer(0, log_result::ok);
        CPPUNIT_ASSERT_EQUAL(1, test.m_written);
        CPPUNIT_ASSERT(!test.m_writer->busy());
    }

    void unanswered_append_is_repeated_under_the_same_number()
    {
        writer_fixture test;
        test.m_writer->write({{"key", std::nullopt, 0}}, start);
        test.m_writer->tick(start + milliseconds{50});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.m_log.m_calls.size());
        test.m_writer->tick(start + milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, test.m_log.m_calls.size());
        CPPUNIT_ASSERT_EQUAL(test.m_log.m_calls[0].m_request.m_identity->m_sequence,
                             test.m_log.m_calls[1].m_request.m_identity->m_sequence);
    }

    void late_answer_of_an_earlier_attempt_counts_once()
    {
        writer_fixture test;
        test.m_writer->write({{"key", std::nullopt, 0}}, start);
        test.m_writer->tick(start + milliseconds{200});
        test.m_log.answer(0, log_result::ok);
        test.m_log.answer(1, log_result::ok);
        CPPUNIT_ASSERT_EQUAL(1, test.m_written);
    }

    void refused_append_is_tried_again_and_counts_as_failing()
    {
        writer_fixture test;
        test.m_writer->write({{"key", std::nullopt, 0}}, start);
        test.m_log.answer(0, log_result::nothing_done);
        CPPUNIT_ASSERT(test.m_writer->failing_since().has_value());
        test.m_writer->tick(start + milliseconds{60});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, test.m_log.m_calls.size());
        test.m_log.answer(1, log_result::ok);
        CPPUNIT_ASSERT(!test.m_writer->failing_since().has_value());
    }

    void fenced_writer_writes_nothing_more()
    {
        writer_fixture test;
        test.m_writer->write({{"key", std::nullopt, 0}}, start);
        test.m_log.answer(0, log_result::fenced);
        CPPUNIT_ASSERT_EQUAL(1, test.m_fenced);
        test.m_writer->tick(start + milliseconds{5'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.m_log.m_calls.size());
    }

    // The copy was answered last, so that the owner went on for another proof's time.
    void fenced_copy_of_a_written_append_ends_the_writer()
    {
        writer_fixture test;
        test.m_writer->write({{"key", std::nullopt, 0}}, start);
        test.m_writer->tick(start + milliseconds{150});
        test.m_log.answer(0, log_result::ok);
        test.m_log.answer(1, log_result::fenced);
        CPPUNIT_ASSERT_EQUAL(1, test.m_written);
        CPPUNIT_ASSERT_EQUAL(1, test.m_fenced);
    }

    void sequence_number_of_the_service_is_used()
    {
        writer_fixture test;
        test.m_writer->write({{"key", std::nullopt, 0}}, start);
        test.m_log.answer(0, log_result::out_of_sequence, 40);
        test.m_writer->tick(start + milliseconds{1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40},
                             test.m_log.m_calls.back().m_request.m_identity->m_sequence);
    }

    void proof_has_the_time_of_sending()
    {
        writer_fixture test;
        test.m_writer->write({{"key", std::nullopt, 0}}, start);
        test.m_writer->tick(start + milliseconds{900});
        test.m_log.answer(0, log_result::ok);
        CPPUNIT_ASSERT(test.m_writer->proven_at() == start);
    }

    void answer_after_the_writers_end_is_harmless()
    {
        writer_fixture test;
        test.m_writer->write({{"key", std::nullopt, 0}}, start);
        test.m_writer.reset();
        test.m_log.answer(0, log_result::ok);
        CPPUNIT_ASSERT_EQUAL(0, test.m_written);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(journal_writer_test);

} // namespace peridotrudder
