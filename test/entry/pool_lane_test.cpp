#include "peridotrudder/entry/pool_lane.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

class pool_lane_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(pool_lane_test);
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
        auto lane = make_lane({{"vm-1", "127.0.0.1", 7100, 1}});
        lane->push(make_call(), now);
        const auto ready = lane->take_ready(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ready.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"vm-1"}, ready[0].m_worker.m_vm);
        CPPUNIT_ASSERT_EQUAL(1U, lane->in_flight("vm-1"));
    }

    void worker_that_left_the_pool_gets_no_call()
    {
        auto lane = make_lane({{"vm-1", "127.0.0.1", 7100, 1}});
        lane->set_up({}, now);
        lane->push(make_call(), now);
        CPPUNIT_ASSERT(lane->take_ready(now).empty());
    }

    void no_worker_gets_more_calls_than_slots()
    {
        auto lane = make_lane({{"vm-1", "127.0.0.1", 7100, 2}, {"vm-2", "127.0.0.1", 7101, 2}});
        for (int count = 0; count < 9; ++count) {
            lane->push(make_call(), now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, lane->take_ready(now).size());
        CPPUNIT_ASSERT_EQUAL(2U, lane->in_flight("vm-1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, lane->waiting());
    }

    void worker_that_failed_the_call_is_tried_last()
    {
        auto lane = make_lane({{"vm-1", "127.0.0.1", 7100, 8}, {"vm-2", "127.0.0.1", 7101, 8}});
        for (int count = 0; count < 8; ++count) {
            auto failed = make_call();
            failed->m_failed_vms = {"vm-1"};
            lane->push(failed, now);
        }
        lane->take_ready(now);
        CPPUNIT_ASSERT_EQUAL(8U, lane->in_flight("vm-2"));
        auto last = make_call();
        last->m_failed_vms = {"vm-1"};
        lane->push(last, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lane->take_ready(now).size());
        CPPUNIT_ASSERT_EQUAL(1U, lane->in_flight("vm-1"));
    }

    void call_that_waited_too_long_is_taken_out()
    {
        auto lane = make_lane({});
        lane->push(make_call(), now);
        CPPUNIT_ASSERT(lane->take_expired(now).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lane->take_expired(now + wait).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, lane->waiting());
    }

    void call_whose_wait_cannot_be_met_is_known_at_once()
    {
        auto lane = make_lane({{"vm-1", "127.0.0.1", 7100, 1}});
        // One completion in the window is half a completion a second: 40 waiting take 80 s.
        lane->push(make_call(), now);
        const auto ready = lane->take_ready(now);
        lane->finished(*ready[0].m_call, "vm-1", false, milliseconds{10}, now);
        for (int count = 0; count < 40; ++count) {
            lane->push(make_call(), now);
        }
        CPPUNIT_ASSERT(lane->would_wait_too_long(*make_call(), now));
    }

private:
    static constexpr milliseconds wait{1'000};
    const time_point now{milliseconds{1'000'000}};

    std::unique_ptr<pool_lane> make_lane(std::vector<lane_worker> workers) const
    {
        auto lane = std::make_unique<pool_lane>("pool", "self", two_choices(1));
        lane_setup setup;
        setup.m_workers = std::move(workers);
        lane->set_up(setup, now);
        return lane;
    }

    call_ptr make_call() const
    {
        auto made = std::make_shared<call>();
        made->m_customer = "schools";
        made->m_pool = "pool";
        made->m_method = "GET";
        made->m_path = "/";
        made->m_wait_until = now + wait;
        return made;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pool_lane_test);

} // namespace peridotrudder
