#include "peridotrudder/routing/work_queue.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace peridotrudder {

namespace {

queued_work make_work(std::uint64_t ticket, work_class priority, int deadline_ms,
                      bool is_long = false)
{
    return {ticket, priority, time_point{milliseconds{deadline_ms}}, is_long};
}

} // namespace

class work_queue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(work_queue_test);
    CPPUNIT_TEST(urgent_work_goes_before_earlier_deadlines_of_lower_classes);
    CPPUNIT_TEST(earlier_deadline_goes_first_within_a_class);
    CPPUNIT_TEST(long_work_is_passed_over_when_not_allowed);
    CPPUNIT_TEST(cancelled_work_is_gone);
    CPPUNIT_TEST(expired_work_is_taken_out_of_both_queues);
    CPPUNIT_TEST(matches_a_sorted_list_under_any_commands);
    CPPUNIT_TEST_SUITE_END();

public:
    void urgent_work_goes_before_earlier_deadlines_of_lower_classes()
    {
        work_queue queue;
        queue.push(make_work(1, work_class::archive, 1));
        queue.push(make_work(2, work_class::urgent, 100));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, queue.pop(true)->m_ticket);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, queue.pop(true)->m_ticket);
        CPPUNIT_ASSERT(!queue.pop(true));
    }

    void earlier_deadline_goes_first_within_a_class()
    {
        work_queue queue;
        queue.push(make_work(1, work_class::normal, 50));
        queue.push(make_work(2, work_class::normal, 10));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, queue.pop(true)->m_ticket);
    }

    void long_work_is_passed_over_when_not_allowed()
    {
        work_queue queue;
        queue.push(make_work(1, work_class::urgent, 1, true));
        queue.push(make_work(2, work_class::archive, 100));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, queue.pop(false)->m_ticket);
        CPPUNIT_ASSERT(!queue.pop(false));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, queue.pop(true)->m_ticket);
    }

    void cancelled_work_is_gone()
    {
        work_queue queue;
        queue.push(make_work(1, work_class::normal, 50));
        CPPUNIT_ASSERT(queue.cancel(1));
        CPPUNIT_ASSERT(!queue.cancel(1));
        CPPUNIT_ASSERT(!queue.pop(true));
    }

    void expired_work_is_taken_out_of_both_queues()
    {
        work_queue queue;
        queue.push(make_work(1, work_class::normal, 10));
        queue.push(make_work(2, work_class::normal, 20, true));
        queue.push(make_work(3, work_class::normal, 30));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             queue.take_expired(time_point{milliseconds{20}}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.waiting_long());
    }

    void matches_a_sorted_list_under_any_commands()
    {
        CPPUNIT_ASSERT(rc::check("oracle: a plain list", [] {
            work_queue queue;
            std::vector<queued_work> oracle;
            const auto commands = *rc::gen::inRange(1, 200);
            for (int step = 0; step < commands; ++step) {
                const auto command = *rc::gen::inRange(0, 10);
                if (command < 6) {
                    const auto priority = static_cast<work_class>(*rc::gen::inRange(0, 3));
                    const auto work =
                        make_work(static_cast<std::uint64_t>(step), priority,
                                  *rc::gen::inRange(0, 50), *rc::gen::arbitrary<bool>());
                    queue.push(work);
                    oracle.push_back(work);
                }
                else if (command < 9) {
                    const bool allow_long = *rc::gen::arbitrary<bool>();
                    const auto popped = queue.pop(allow_long);
                    const auto expected = take_first(oracle, allow_long);
                    RC_ASSERT(popped.has_value() == expected.has_value());
                    RC_ASSERT(!popped || popped->m_ticket == expected->m_ticket);
                }
                else {
                    const auto ticket = static_cast<std::uint64_t>(*rc::gen::inRange(0, commands));
                    const auto position =
                        std::find_if(oracle.begin(), oracle.end(),
                                     [&](const auto& work) { return work.m_ticket == ticket; });
                    RC_ASSERT(queue.cancel(ticket) == (position != oracle.end()));
                    if (position != oracle.end()) {
                        oracle.erase(position);
                    }
                }
                RC_ASSERT(queue.size() == oracle.size());
            }
        }));
    }

private:
    static std::optional<queued_work> take_first(std::vector<queued_work>& oracle, bool allow_long)
    {
        auto best = oracle.end();
        for (auto candidate = oracle.begin(); candidate != oracle.end(); ++candidate) {
            const auto order_key = [](const queued_work& work) {
                return std::tuple{work.m_class, work.m_deadline, work.m_ticket};
            };
            if ((allow_long || !candidate->m_long) &&
                (best == oracle.end() || order_key(*candidate) < order_key(*best))) {
                best = candidate;
            }
        }
        if (best == oracle.end()) {
            return std::nullopt;
        }
        const auto work = *best;
        oracle.erase(best);
        return work;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(work_queue_test);

} // namespace peridotrudder
