#include "peridotrudder/entry/pool_queue.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

class pool_queue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(pool_queue_test);
    CPPUNIT_TEST(call_gets_a_slot_of_a_worker);
    CPPUNIT_TEST(worker_that_left_the_pool_gets_no_call);
    CPPUNIT_TEST(no_worker_gets_more_calls_than_slots);
    CPPUNIT_TEST(worker_that_failed_the_call_is_tried_last);
    CPPUNIT_TEST(call_that_waited_too_long_is_taken_out);
    CPPUNIT_TEST(call_whose_wait_cannot_be_met_is_known_at_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void call_gets_a_slot_of_a_worker()
    {
        auto queue = make_queue({{"vm-1", "127.0.0.1", 7100, 1}});
        queue->push(make_call(), now);
        const auto ready = queue->take_ready(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ready.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"vm-1"}, ready[0].m_worker.m_vm);
        CPPUNIT_ASSERT_EQUAL(1U, queue->in_flight("vm-1"));
    }

    void worker_that_left_the_pool_gets_no_call()
    {
        auto queue = make_queue({{"vm-1", "127.0.0.1", 7100, 1}});
        queue->reconfigure({}, now);
        queue->push(make_call(), now);
        CPPUNIT_ASSERT(queue->take_ready(now).empty());
    }

    void no_worker_gets_more_calls_than_slots()
    {
        auto queue = make_queue({{"vm-1", "127.0.0.1", 7100, 2}, {"vm-2", "127.0.0.1", 7101, 2}});
        for (int count = 0; count < 9; ++count) {
            queue->push(make_call(), now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, queue->take_ready(now).size());
        CPPUNIT_ASSERT_EQUAL(2U, queue->in_flight("vm-1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, queue->waiting());
    }

    void worker_that_failed_the_call_is_tried_last()
    {
        auto queue = make_queue({{"vm-1", "127.0.0.1", 7100, 8}, {"vm-2", "127.0.0.1", 7101, 8}});
        for (int count = 0; count < 8; ++count) {
            auto failed = make_call();
            failed->m_failed_vms = {"vm-1"};
            queue->push(failed, now);
        }
        queue->take_ready(now);
        CPPUNIT_ASSERT_EQUAL(8U, queue->in_flight("vm-2"));
        auto last = make_call();
        last->m_failed_vms = {"vm-1"};
        queue->push(last, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue->take_ready(now).size());
        CPPUNIT_ASSERT_EQUAL(1U, queue->in_flight("vm-1"));
    }

    void call_that_waited_too_long_is_taken_out()
    {
        auto queue = make_queue({});
        queue->push(make_call(), now);
        CPPUNIT_ASSERT(queue->take_expired(now).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue->take_expired(now + wait).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue->waiting());
    }

    void call_whose_wait_cannot_be_met_is_known_at_once()
    {
        auto queue = make_queue({{"vm-1", "127.0.0.1", 7100, 1}});
        // One completion in the window is a rate of 0.5 per second, so 40 waiting calls take 80 s.
        queue->push(make_call(), now);
        const auto ready = queue->take_ready(now);
        queue->record_completion(*ready[0].m_call, "vm-1", false, milliseconds{10}, now);
        for (int count = 0; count < 40; ++count) {
            queue->push(make_call(), now);
        }
        CPPUNIT_ASSERT(queue->would_wait_too_long(*make_call(), now));
    }

private:
    static constexpr milliseconds wait{1'000};
    const time_point now{milliseconds{1'000'000}};

    std::unique_ptr<pool_queue> make_queue(std::vector<pool_worker> workers) const
    {
        auto queue = std::make_unique<pool_queue>("pool", "self", two_choices(1));
        pool_configuration setup;
        setup.m_workers = std::move(workers);
        queue->reconfigure(setup, now);
        return queue;
    }

    call_ptr make_call() const
    {
        auto request = std::make_shared<call>();
        request->m_customer = "schools";
        request->m_pool = "pool";
        request->m_method = "GET";
        request->m_path = "/";
        request->m_wait_until = now + wait;
        return request;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pool_queue_test);

} // namespace peridotrudder
