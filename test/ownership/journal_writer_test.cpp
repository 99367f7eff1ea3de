#include "peridotrudder/ownership/journal_writer.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace peridotrudder {

namespace {

const time_point start{milliseconds{1'000'000}};

/// A log that keeps the calls until the test answers them.
struct held_log {
    struct held_call {
        append_request m_request;
        std::function<void(append_answer)> m_callback;
    };
    std::deque<held_call> m_calls;

    log_port port()
    {
        log_port made;
        made.m_append = [this](append_request request,
                               std::function<void(append_answer)> callback) {
            m_calls.push_back({std::move(request), std::move(callback)});
        };
        return made;
    }

    void answer(std::size_t index, log_result result, std::uint64_t expected_sequence = 0)
    {
        append_answer made;
        made.m_result = result;
        made.m_expected_sequence = expected_sequence;
        const auto callback = m_calls.at(index).m_callback;
        callback(made);
    }
};

struct fixture {
    held_log m_log;
    int m_written{0};
    int m_fenced{0};
    std::unique_ptr<journal_writer> m_writer;

    fixture()
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
    CPPUNIT_TEST(claim_appends_nothing_under_the_new_epoch);
    CPPUNIT_TEST(unanswered_append_is_repeated_under_the_same_number);
    CPPUNIT_TEST(late_answer_of_an_earlier_attempt_counts_once);
    CPPUNIT_TEST(refused_append_is_tried_again_and_counts_as_failing);
    CPPUNIT_TEST(fenced_writer_writes_nothing_more);
    CPPUNIT_TEST(count_of_the_service_is_taken);
    CPPUNIT_TEST(proof_dates_from_the_sending);
    CPPUNIT_TEST(answer_after_the_writers_end_is_harmless);
    CPPUNIT_TEST_SUITE_END();

public:
    void claim_appends_nothing_under_the_new_epoch()
    {
        fixture it;
        it.m_writer->claim(start);
        CPPUNIT_ASSERT(it.m_log.m_calls.front().m_request.m_records.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9},
                             it.m_log.m_calls.front().m_request.m_identity->m_epoch);
        it.m_log.answer(0, log_result::ok);
        CPPUNIT_ASSERT_EQUAL(1, it.m_written);
        CPPUNIT_ASSERT(!it.m_writer->busy());
    }

    void unanswered_append_is_repeated_under_the_same_number()
    {
        fixture it;
        it.m_writer->write({{"key", std::nullopt, 0}}, start);
        it.m_writer->tick(start + milliseconds{50});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.m_log.m_calls.size());
        it.m_writer->tick(start + milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.m_log.m_calls.size());
        CPPUNIT_ASSERT_EQUAL(it.m_log.m_calls[0].m_request.m_identity->m_sequence,
                             it.m_log.m_calls[1].m_request.m_identity->m_sequence);
    }

    void late_answer_of_an_earlier_attempt_counts_once()
    {
        fixture it;
        it.m_writer->write({{"key", std::nullopt, 0}}, start);
        it.m_writer->tick(start + milliseconds{200});
        it.m_log.answer(0, log_result::ok);
        it.m_log.answer(1, log_result::ok);
        CPPUNIT_ASSERT_EQUAL(1, it.m_written);
    }

    void refused_append_is_tried_again_and_counts_as_failing()
    {
        fixture it;
        it.m_writer->write({{"key", std::nullopt, 0}}, start);
        it.m_log.answer(0, log_result::nothing_done);
        CPPUNIT_ASSERT(it.m_writer->failing_since().has_value());
        it.m_writer->tick(start + milliseconds{60});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.m_log.m_calls.size());
        it.m_log.answer(1, log_result::ok);
        CPPUNIT_ASSERT(!it.m_writer->failing_since().has_value());
    }

    void fenced_writer_writes_nothing_more()
    {
        fixture it;
        it.m_writer->write({{"key", std::nullopt, 0}}, start);
        it.m_log.answer(0, log_result::fenced);
        CPPUNIT_ASSERT_EQUAL(1, it.m_fenced);
        it.m_writer->tick(start + milliseconds{5'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.m_log.m_calls.size());
    }

    void count_of_the_service_is_taken()
    {
        fixture it;
        it.m_writer->write({{"key", std::nullopt, 0}}, start);
        it.m_log.answer(0, log_result::out_of_sequence, 40);
        it.m_writer->tick(start + milliseconds{1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40},
                             it.m_log.m_calls.back().m_request.m_identity->m_sequence);
    }

    void proof_dates_from_the_sending()
    {
        fixture it;
        it.m_writer->write({{"key", std::nullopt, 0}}, start);
        it.m_writer->tick(start + milliseconds{900});
        it.m_log.answer(0, log_result::ok);
        CPPUNIT_ASSERT(it.m_writer->proven_at() == start);
    }

    void answer_after_the_writers_end_is_harmless()
    {
        fixture it;
        it.m_writer->write({{"key", std::nullopt, 0}}, start);
        it.m_writer.reset();
        it.m_log.answer(0, log_result::ok);
        CPPUNIT_ASSERT_EQUAL(0, it.m_written);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(journal_writer_test);

} // namespace peridotrudder
