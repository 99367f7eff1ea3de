#include "peridotrudder/machines/order_queue.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace peridotrudder {

class order_queue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(order_queue_test);
    CPPUNIT_TEST(worker_that_does_not_answer_holds_up_no_other);
    CPPUNIT_TEST(workers_that_do_not_answer_leave_places_to_others);
    CPPUNIT_TEST(orders_are_sent_as_they_came);
    CPPUNIT_TEST(answers_free_places);
    CPPUNIT_TEST(places_of_all_workers_are_limited);
    CPPUNIT_TEST(stops_are_sent_before_starts);
    CPPUNIT_TEST(stop_that_waits_is_not_added_again);
    CPPUNIT_TEST(pending_starts_count_from_their_placement_to_their_answer);
    CPPUNIT_TEST_SUITE_END();

public:
    void worker_that_does_not_answer_holds_up_no_other()
    {
        auto queue = order_queue::create({2, 100, 100});
        push_starts(queue, "silent", 10);
        push_starts(queue, "other", 3);
        CPPUNIT_ASSERT_EQUAL(std::string{"silent silent other other"}, take_all(queue));
        queue.free_place("other", order_kind::start);
        CPPUNIT_ASSERT_EQUAL(std::string{"other"}, take_all(queue));
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, queue.waiting());
    }

    void workers_that_do_not_answer_leave_places_to_others()
    {
        auto queue = order_queue::create({4, 6, 100});
        push_starts(queue, "silent-1", 10);
        push_starts(queue, "silent-2", 10);
        push_starts(queue, "other", 10);
        CPPUNIT_ASSERT_EQUAL(std::string{"silent-1 silent-1 silent-1 silent-2 silent-2 other"},
                             take_all(queue));
        for (int answered = 0; answered < 8; ++answered) {
            queue.free_place("other", order_kind::start);
            CPPUNIT_ASSERT_EQUAL(std::string{"other"}, take_all(queue));
        }
    }

    void orders_are_sent_as_they_came()
    {
        auto queue = order_queue::create({8, 100, 100});
        push_starts(queue, "b", 2);
        push_starts(queue, "a", 2);
        push_starts(queue, "b", 1);
        CPPUNIT_ASSERT_EQUAL(std::string{"b b a a b"}, take_all(queue));
    }

    void answers_free_places()
    {
        auto queue = order_queue::create({1, 100, 100});
        push_starts(queue, "a", 3);
        for (int answered = 0; answered < 3; ++answered) {
            CPPUNIT_ASSERT_EQUAL(std::string{"a"}, take_all(queue));
            queue.free_place("a", order_kind::start);
        }
        CPPUNIT_ASSERT_EQUAL(std::string{}, take_all(queue));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.under_way());
    }

    void places_of_all_workers_are_limited()
    {
        auto queue = order_queue::create({2, 3, 100});
        push_starts(queue, "a", 2);
        push_starts(queue, "b", 2);
        CPPUNIT_ASSERT_EQUAL(std::string{"a a b"}, take_all(queue));
        queue.free_place("a", order_kind::start);
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, take_all(queue));
    }

    void stops_are_sent_before_starts()
    {
        auto queue = order_queue::create({1, 100, 100});
        push_starts(queue, "a", 1);
        queue.push(make_order(order_kind::pace, "a", 7));
        queue.push(make_order(order_kind::stop, "a", 8));
        std::vector<order_kind> kinds;
        while (const auto order = queue.take_next()) {
            kinds.push_back(order->m_kind);
            queue.free_place("a", order->m_kind);
        }
        CPPUNIT_ASSERT(
            (kinds == std::vector{order_kind::stop, order_kind::pace, order_kind::start}));
    }

    void stop_that_waits_is_not_added_again()
    {
        auto queue = order_queue::create({1, 100, 100});
        queue.push(make_order(order_kind::stop, "a", 1));
        queue.push(make_order(order_kind::stop, "a", 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.waiting());
    }

    void pending_starts_count_from_their_placement_to_their_answer()
    {
        auto queue = order_queue::create({1, 100, 3});
        queue.announce_start("a");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.starts_left("a"));
        queue.push(make_order(order_kind::start, "a", 0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.starts_left("a"));
        queue.take_next();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.starts_left("a"));
        queue.free_place("a", order_kind::start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, queue.starts_left("a"));
    }

private:
    static queued_order make_order(order_kind kind, const std::string& worker, std::uint32_t index)
    {
        return {kind, {worker, 1}, {"job", {0, 0, index}}, 1};
    }

    static void push_starts(order_queue& queue, const std::string& worker, std::uint32_t count)
    {
        for (std::uint32_t index = 0; index < count; ++index) {
            queue.announce_start(worker);
            queue.push(make_order(order_kind::start, worker, index));
        }
    }

    /// Returns the workers of the orders that may be sent now, in order.
    static std::string take_all(order_queue& queue)
    {
        std::string workers;
        while (const auto order = queue.take_next()) {
            workers += (workers.empty() ? "" : " ") + order->m_instance.m_worker;
        }
        return workers;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(order_queue_test);

} // namespace peridotrudder
