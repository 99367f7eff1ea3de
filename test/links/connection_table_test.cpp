#include "src/links/connection_table.hpp"

#include "property.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace peridotrudder {

namespace {

using internal::body_grant;
using internal::connection_table;
using internal::long_request_bytes;

constexpr std::size_t max_body = 100'000;
constexpr std::size_t memory = 4'000'000;
constexpr std::size_t long_memory = 2 * long_request_bytes(max_body);
constexpr int many = 1'000;

caller_limits make_limits()
{
    caller_limits limits;
    limits.m_memory_bytes = memory;
    limits.m_long_body_memory_bytes = long_memory;
    limits.m_first_reserved_descriptor = 100;
    return limits;
}

/// A table whose connections note what becomes of them.
class trial {
public:
    connection_table::entry_ptr add(int descriptor = 10, std::size_t server_limit = many)
    {
        const auto number = m_next++;
        internal::connection_hooks hooks;
        hooks.m_cut = [this, number] { ++m_cut[number]; };
        hooks.m_resume = [this, number](bool granted) { m_resumed[number].push_back(granted); };
        return m_table.add(this, server_limit, descriptor, std::move(hooks), m_now);
    }

    void pass(milliseconds time) { m_now += time; }

    time_point m_now{milliseconds{1'000'000}};
    std::map<int, int> m_cut;
    std::map<int, std::vector<bool>> m_resumed;
    connection_table m_table{make_limits(), {}};

private:
    int m_next{0};
};

} // namespace

class connection_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(connection_table_test);
    CPPUNIT_TEST(oldest_idle_connection_makes_room_for_a_new_one);
    CPPUNIT_TEST(connection_whose_call_waits_is_not_closed);
    CPPUNIT_TEST(high_descriptor_is_given_only_for_another);
    CPPUNIT_TEST(evicted_connection_counts_as_closing_until_it_is_closed);
    CPPUNIT_TEST(failed_accept_evicts_one_idle_connection_at_a_time);
    CPPUNIT_TEST(long_bodies_leave_the_reserve_and_wait_for_each_other);
    CPPUNIT_TEST(long_body_that_stalls_makes_room_for_one_that_waits);
    CPPUNIT_TEST(unread_answer_is_given_up_when_memory_is_short);
    CPPUNIT_TEST(used_memory_stays_within_the_limit_and_returns_to_zero);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against accepting that outpaces the closing of evicted connections.
    void evicted_connection_counts_as_closing_until_it_is_closed()
    {
        trial test;
        const auto first = test.add(10, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, test.m_table.closing());
        const auto second = test.add(10, 1);
        CPPUNIT_ASSERT_EQUAL(1, test.m_cut[0]);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.m_table.closing());
        test.m_table.remove(first, test.m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, test.m_table.closing());
        test.m_table.remove(second, test.m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, test.m_table.closing());
    }

    // Guards against a process without free descriptors that closes all its idle connections,
    // though the first one that it closes will do.
    void failed_accept_evicts_one_idle_connection_at_a_time()
    {
        trial test;
        const auto first = test.add();
        test.pass(milliseconds{1});
        test.add();
        test.m_table.accept_failed(test.m_now);
        test.m_table.accept_failed(test.m_now);
        CPPUNIT_ASSERT_EQUAL(1, test.m_cut[0]);
        CPPUNIT_ASSERT_EQUAL(0, test.m_cut[1]);
        test.m_table.remove(first, test.m_now);
        test.m_table.accept_failed(test.m_now);
        CPPUNIT_ASSERT_EQUAL(1, test.m_cut[1]);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                             test.m_table.refusals(caller_refusal::accept_failed));
    }

    // Guards against idle connections that keep ordinary callers out.
    void oldest_idle_connection_makes_room_for_a_new_one()
    {
        trial test;
        const auto first = test.add(10, 2);
        test.pass(milliseconds{1});
        const auto second = test.add(10, 2);
        // The first one has made a call, which counts more than its age.
        test.m_table.request_ended(*first);
        test.m_table.begin_request(*first, test.m_now);
        CPPUNIT_ASSERT(test.add(10, 2) != nullptr);
        CPPUNIT_ASSERT_EQUAL(0, test.m_cut[0]);
        CPPUNIT_ASSERT_EQUAL(1, test.m_cut[1]);
        CPPUNIT_ASSERT(test.m_table.refusals(caller_refusal::connections) == 1);
    }

    // An accepted call must get its answer.
    void connection_whose_call_waits_is_not_closed()
    {
        trial test;
        const auto first = test.add(10, 1);
        test.m_table.request_ended(*first);
        CPPUNIT_ASSERT(test.add(10, 1) == nullptr);
        CPPUNIT_ASSERT_EQUAL(0, test.m_cut[0]);
    }

    // Guards against a listener that accepts nobody any more once descriptors have run out.
    void high_descriptor_is_given_only_for_another()
    {
        trial test;
        CPPUNIT_ASSERT(test.add(100) == nullptr);
        const auto first = test.add(99);
        CPPUNIT_ASSERT(test.add(100) != nullptr);
        CPPUNIT_ASSERT_EQUAL(1, test.m_cut[1]);
        CPPUNIT_ASSERT(test.m_table.refusals(caller_refusal::descriptors) == 2);
    }

    void long_bodies_leave_the_reserve_and_wait_for_each_other()
    {
        trial test;
        std::vector<connection_table::entry_ptr> callers;
        callers.reserve(4);
        for (int count = 0; count < 4; ++count) {
            callers.push_back(test.add());
        }
        const auto bytes = long_request_bytes(max_body);
        const auto ask = [&](int number) {
            return test.m_table.hold_long(callers.at(number), bytes, test.m_now);
        };
        CPPUNIT_ASSERT(ask(0) == body_grant::granted);
        CPPUNIT_ASSERT(ask(1) == body_grant::granted);
        CPPUNIT_ASSERT(ask(2) == body_grant::waits);
        CPPUNIT_ASSERT(test.m_table.hold(*callers.at(3), memory / 4, false, test.m_now));
        CPPUNIT_ASSERT(test.m_resumed.empty());
        test.m_table.begin_request(*callers.at(0), test.m_now);
        CPPUNIT_ASSERT(test.m_resumed.at(2) == std::vector<bool>{true});
        CPPUNIT_ASSERT(test.m_table.waiting() == 0);
    }

    // Guards against callers that stop just short of the end of their bodies.
    void long_body_that_stalls_makes_room_for_one_that_waits()
    {
        trial test;
        const auto bytes = long_request_bytes(max_body);
        const auto stalled = test.add();
        const auto steady = test.add();
        const auto waiting = test.add();
        test.m_table.hold_long(stalled, bytes, test.m_now);
        test.m_table.hold_long(steady, bytes, test.m_now);
        test.m_table.body_received(*stalled, max_body - 1, test.m_now);
        test.pass(milliseconds{1'500});
        test.m_table.body_received(*steady, max_body / 2, test.m_now);
        CPPUNIT_ASSERT_EQUAL(0, test.m_cut[0]);
        CPPUNIT_ASSERT(test.m_table.hold_long(waiting, bytes, test.m_now) == body_grant::granted);
        CPPUNIT_ASSERT_EQUAL(1, test.m_cut[0]);
        CPPUNIT_ASSERT_EQUAL(0, test.m_cut[1]);
    }

    void unread_answer_is_given_up_when_memory_is_short()
    {
        trial test;
        const auto unread = test.add();
        const auto other = test.add();
        test.m_table.request_ended(*unread);
        test.m_table.answer_began(*unread, memory / 2, test.m_now);
        CPPUNIT_ASSERT(!test.m_table.hold(*other, memory / 2, false, test.m_now));
        test.pass(milliseconds{1'000});
        CPPUNIT_ASSERT(test.m_table.hold(*other, memory / 2, false, test.m_now));
        CPPUNIT_ASSERT_EQUAL(1, test.m_cut[0]);
    }

    void used_memory_stays_within_the_limit_and_returns_to_zero()
    {
        assert_property("any order of events", [] {
            trial test;
            std::vector<connection_table::entry_ptr> callers;
            const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 1'000)));
            for (const auto& [step, number] : steps) {
                if (step == 0 || callers.empty()) {
                    if (auto added = test.add(10, 40)) {
                        callers.push_back(std::move(added));
                    }
                    continue;
                }
                const auto position = static_cast<std::size_t>(number) % callers.size();
                const auto& caller = callers.at(position);
                const auto bytes = static_cast<std::size_t>(number) * 200;
                switch (step) {
                case 1:
                    test.m_table.remove(caller, test.m_now);
                    callers.erase(callers.begin() + static_cast<std::ptrdiff_t>(position));
                    break;
                case 2:
                    test.m_table.begin_request(*caller, test.m_now);
                    break;
                case 3:
                    if (!caller->m_is_granted && !caller->m_is_waiting) {
                        test.m_table.hold(*caller, bytes, false, test.m_now);
                    }
                    break;
                case 4:
                    if (!caller->m_is_granted && !caller->m_is_waiting) {
                        test.m_table.hold_long(caller, long_request_bytes(max_body), test.m_now);
                    }
                    break;
                case 5:
                    test.m_table.request_ended(*caller);
                    break;
                case 6:
                    test.m_table.body_received(*caller, bytes, test.m_now);
                    break;
                default:
                    test.pass(milliseconds{number});
                }
                RC_ASSERT(test.m_table.used_bytes() <= memory);
            }
            for (const auto& caller : callers) {
                test.m_table.remove(caller, test.m_now);
            }
            RC_ASSERT(test.m_table.used_bytes() == 0);
            RC_ASSERT(test.m_table.waiting() == 0);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_table_test);

} // namespace peridotrudder
