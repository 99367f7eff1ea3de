#include "peridotrudder/scheduling/job_scheduler.hpp"

#include "scheduling/fleet_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace peridotrudder {

namespace {

constexpr milliseconds a_moment{30};
constexpr milliseconds long_enough{40'000};

void assert_sound(const fleet_simulation& world)
{
    CPPUNIT_ASSERT_EQUAL(std::string{}, world.fault());
}

/// One thing that happens in a drawn history.
void act(fleet_simulation& world, int action, std::uint32_t number)
{
    switch (action) {
    case 0:
    case 1:
    case 2:
        world.submit(number % 5 + 1, number % 3);
        return;
    case 3:
        world.cancel(number);
        return;
    case 4:
        world.change_owner(number % 2 == 0);
        return;
    case 5:
        world.crash(number);
        return;
    case 6:
        world.set_reachable(number, false);
        return;
    case 7:
        world.set_reachable(number, true);
        return;
    case 8:
        world.set_journal_up(number % 2 == 0);
        return;
    case 9:
        world.set_faults({static_cast<int>(number % 15), static_cast<int>(number % 20),
                          static_cast<int>(number % 10)});
        return;
    default:
        world.set_faults({});
        return;
    }
}

} // namespace

class job_scheduler_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_scheduler_test);
    CPPUNIT_TEST(job_runs_step_by_step_to_its_end);
    CPPUNIT_TEST(successor_goes_on_where_its_predecessor_ended);
    CPPUNIT_TEST(successor_stops_runs_of_a_job_that_was_cancelled_before);
    CPPUNIT_TEST(former_owner_that_lives_on_does_no_harm);
    CPPUNIT_TEST(orders_that_are_carried_out_late_double_nothing);
    CPPUNIT_TEST(work_of_a_lost_worker_goes_elsewhere);
    CPPUNIT_TEST(question_is_answered_by_what_is_recorded);
    CPPUNIT_TEST(a_jobs_first_start_and_its_end_are_logged_with_their_times);
    CPPUNIT_TEST(restricted_steps_start_with_valid_tickets_only);
    CPPUNIT_TEST(no_history_breaks_a_promise);
    CPPUNIT_TEST_SUITE_END();

public:
    void job_runs_step_by_step_to_its_end()
    {
        fleet_simulation world{1};
        world.change_owner(false);
        world.submit(12, 5);
        CPPUNIT_ASSERT(world.settles(milliseconds{10'000}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{17}, world.starts());
        assert_sound(world);
    }

    void successor_goes_on_where_its_predecessor_ended()
    {
        fleet_simulation world{2};
        world.change_owner(false);
        world.submit(6, 6);
        world.pass(milliseconds{200});
        world.change_owner(false);
        CPPUNIT_ASSERT(world.settles(milliseconds{10'000}));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("runs that go on are adopted, not repeated", std::size_t{12},
                                     world.starts());
        assert_sound(world);
    }

    void successor_stops_runs_of_a_job_that_was_cancelled_before()
    {
        fleet_simulation world{3};
        world.change_owner(false);
        world.submit(6, 0);
        world.pass(milliseconds{100});
        world.cancel(0);
        world.pass(milliseconds{9});
        world.change_owner(false);
        CPPUNIT_ASSERT(world.settles(milliseconds{5'000}));
        assert_sound(world);
    }

    void former_owner_that_lives_on_does_no_harm()
    {
        fleet_simulation world{4};
        world.change_owner(false);
        for (int round = 0; round < 6; ++round) {
            world.submit(8, 4);
            world.pass(milliseconds{150});
            world.change_owner(true);
        }
        CPPUNIT_ASSERT(world.settles(long_enough));
        assert_sound(world);
    }

    void orders_that_are_carried_out_late_double_nothing()
    {
        fleet_simulation world{5};
        world.change_owner(false);
        world.set_faults({0, 0, 30});
        for (int round = 0; round < 10; ++round) {
            world.submit(4, 2);
            world.pass(milliseconds{300});
        }
        CPPUNIT_ASSERT(world.settles(long_enough));
        assert_sound(world);
    }

    void work_of_a_lost_worker_goes_elsewhere()
    {
        fleet_simulation world{6};
        world.change_owner(false);
        world.submit(8, 0);
        world.pass(milliseconds{100});
        world.set_reachable(0, false);
        world.pass(milliseconds{8'000});
        world.set_reachable(0, true);
        CPPUNIT_ASSERT(world.settles(milliseconds{10'000}));
        assert_sound(world);
    }

    void question_is_answered_by_what_is_recorded()
    {
        fleet_simulation world{7};
        world.change_owner(false);
        world.submit(1, 0);
        CPPUNIT_ASSERT_EQUAL(std::string{"none yet"}, world.ask(1));
        world.pass(milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::string{"running"}, world.ask(1));
        world.set_journal_up(false);
        world.pass(milliseconds{8'000});
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the job has ended, but that is not recorded",
                                     std::string{"running"}, world.ask(1));
        world.set_journal_up(true);
        world.pass(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::string{"completed"}, world.ask(1));
    }

    void a_jobs_first_start_and_its_end_are_logged_with_their_times()
    {
        fleet_simulation world{8};
        world.change_owner(false);
        world.pass(milliseconds{200});
        world.submit(3, 1);
        CPPUNIT_ASSERT(world.settles(milliseconds{20'000}));
        CPPUNIT_ASSERT(world.timed().at("job_begun") < milliseconds{50});
        CPPUNIT_ASSERT(world.timed().at("job_ended") >= milliseconds{100});
        CPPUNIT_ASSERT(world.timed().at("job_ended") < milliseconds{20'000});
    }

    void restricted_steps_start_with_valid_tickets_only()
    {
        fleet_simulation world{9};
        world.set_policy(true);
        world.change_owner(false);
        // More than the permitted workers hold at once, so that tickets end while tasks wait.
        world.submit(40, 20);
        CPPUNIT_ASSERT(world.settles(milliseconds{60'000}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{60}, world.starts());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.bad_tickets());
        assert_sound(world);
    }

    void no_history_breaks_a_promise()
    {
        rc::check("capacity, order, at most once and progress hold in any history", [] {
            fleet_simulation world{*rc::gen::arbitrary<std::uint64_t>()};
            world.set_policy(*rc::gen::arbitrary<bool>());
            world.change_owner(false);
            const auto actions = *rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(
                rc::gen::pair(rc::gen::inRange(0, 11), rc::gen::inRange(0U, 1'000U)));
            for (const auto& [action, number] : actions) {
                act(world, action, number);
                world.pass(a_moment * (number % 9 + 1));
                RC_ASSERT(world.fault().empty());
            }
            const bool settled = world.settles(long_enough);
            RC_ASSERT(world.fault() == "");
            RC_ASSERT(settled);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_scheduler_test);

} // namespace peridotrudder
