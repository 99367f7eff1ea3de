#include "peridotrudder/scheduling/locality_wait.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "property.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace peridotrudder {

namespace {

const time_point start{milliseconds{10'000}};
constexpr milliseconds run_time{1'000};
const run_key key{"job", {0, 0, 0}};

worker_outlook full_worker(const std::vector<milliseconds>& ends)
{
    worker_outlook worker;
    for (const auto end : ends) {
        worker.m_ends.push_back({start + end, {1'000, 0, 0}});
    }
    return worker;
}

rack_choice choice_with_place_in(std::optional<milliseconds> place_in)
{
    return {key, run_time, run_time * 2, place_in};
}

} // namespace

class locality_wait_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(locality_wait_test);
    CPPUNIT_TEST(places_are_where_runs_end);
    CPPUNIT_TEST(places_stay_within_the_limit_of_a_worker);
    CPPUNIT_TEST(large_task_waits_until_enough_runs_have_ended);
    CPPUNIT_TEST(task_behind_others_uses_a_later_place);
    CPPUNIT_TEST(task_waits_while_room_is_expected_soon);
    CPPUNIT_TEST(task_waited_for_a_rack_without_live_workers);
    CPPUNIT_TEST(task_waited_though_the_gain_was_within_the_error);
    CPPUNIT_TEST(task_waited_on_and_on_for_ends_that_did_not_come);
    CPPUNIT_TEST(task_whose_start_did_not_come_about_waited_once_more);
    CPPUNIT_TEST(waits_of_cancelled_jobs_were_never_forgotten);
    CPPUNIT_TEST(no_wait_exceeds_what_a_run_elsewhere_costs);
    CPPUNIT_TEST_SUITE_END();

public:
    void places_are_where_runs_end()
    {
        std::vector<worker_outlook> workers{full_worker({milliseconds{300}, milliseconds{100}}),
                                            full_worker({milliseconds{200}})};
        workers[1].m_room = {1'000, 0, 0};
        const std::vector<time_point> wanted{start, start + milliseconds{100},
                                             start + milliseconds{200}, start + milliseconds{300}};
        CPPUNIT_ASSERT(wanted == expected_places(workers, {1'000, 0, 0}, 0, start));
    }

    void places_stay_within_the_limit_of_a_worker()
    {
        const std::vector<worker_outlook> workers{
            full_worker({milliseconds{300}, milliseconds{100}})};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             expected_places(workers, {1'000, 0, 0}, 1, start).size());
    }

    void large_task_waits_until_enough_runs_have_ended()
    {
        const std::vector<worker_outlook> workers{
            full_worker({milliseconds{300}, milliseconds{100}})};
        const std::vector<time_point> wanted{start + milliseconds{300}};
        CPPUNIT_ASSERT(wanted == expected_places(workers, {2'000, 0, 0}, 0, start));
    }

    void task_behind_others_uses_a_later_place()
    {
        const std::vector<time_point> places{start + milliseconds{100}, start + milliseconds{400}};
        CPPUNIT_ASSERT(milliseconds{400} == time_until_place(places, 1, run_time, start));
        CPPUNIT_ASSERT(milliseconds{2'400} == time_until_place(places, 5, run_time, start));
        CPPUNIT_ASSERT(!time_until_place({}, 0, run_time, start));
    }

    void task_waits_while_room_is_expected_soon()
    {
        rack_waits waits;
        CPPUNIT_ASSERT(rack_decision::begin_wait ==
                       waits.decide(choice_with_place_in(milliseconds{200}), start));
        CPPUNIT_ASSERT(rack_decision::wait == waits.decide(choice_with_place_in(milliseconds{200}),
                                                           start + milliseconds{100}));
        CPPUNIT_ASSERT(
            rack_decision::start ==
            waits.decide(choice_with_place_in(milliseconds{1'500}), start + milliseconds{200}));
    }

    void task_waited_for_a_rack_without_live_workers()
    {
        rack_waits waits;
        CPPUNIT_ASSERT(rack_decision::start ==
                       waits.decide(choice_with_place_in(std::nullopt), start));
    }

    void task_waited_though_the_gain_was_within_the_error()
    {
        rack_waits waits;
        CPPUNIT_ASSERT(rack_decision::start ==
                       waits.decide(choice_with_place_in(milliseconds{800}), start));
    }

    void task_waited_on_and_on_for_ends_that_did_not_come()
    {
        rack_waits waits;
        const auto choice = choice_with_place_in(milliseconds{10});
        waits.decide(choice, start);
        CPPUNIT_ASSERT(rack_decision::wait == waits.decide(choice, start + milliseconds{999}));
        CPPUNIT_ASSERT(rack_decision::start == waits.decide(choice, start + milliseconds{1'000}));
    }

    void task_whose_start_did_not_come_about_waited_once_more()
    {
        rack_waits waits;
        const auto choice = choice_with_place_in(milliseconds{10});
        waits.decide(choice, start);
        const auto ended = waits.start(key, false, start + milliseconds{1'000});
        CPPUNIT_ASSERT(ended && ended->m_deadline_passed);
        CPPUNIT_ASSERT(rack_decision::start == waits.decide(choice, start + milliseconds{1'100}));
        CPPUNIT_ASSERT(!waits.start(key, false, start + milliseconds{1'100}));
    }

    void waits_of_cancelled_jobs_were_never_forgotten()
    {
        rack_waits waits;
        waits.decide(choice_with_place_in(milliseconds{10}), start);
        waits.prune(start + milliseconds{60'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, waits.size());
    }

    void no_wait_exceeds_what_a_run_elsewhere_costs()
    {
        assert_property("no wait exceeds what a run elsewhere costs", [] {
            rack_waits waits;
            const milliseconds near{*rc::gen::inRange(1, 5'000)};
            const milliseconds far = near * *rc::gen::inRange(1, 5);
            auto now = start;
            rack_choice choice{key, near, far, milliseconds{0}};
            while (true) {
                choice.m_place_in = milliseconds{*rc::gen::inRange(0, 2'000)};
                if (waits.decide(choice, now) == rack_decision::start) {
                    break;
                }
                // Passes of placement are at most this far apart.
                now += milliseconds{*rc::gen::inRange(1, 100)};
            }
            RC_ASSERT(now - start < far - near + milliseconds{100});
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(locality_wait_test);

} // namespace peridotrudder
