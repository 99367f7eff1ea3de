#include "peridotrudder/ownership/owner_support.hpp"
#include "peridotrudder/ownership/route_inquiry.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

constexpr milliseconds max_route_age{1'000};

time_point at(int ms)
{
    return time_point{milliseconds{ms}};
}

} // namespace

class support_and_routes_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(support_and_routes_test);
    CPPUNIT_TEST(peers_are_asked_once_the_proof_is_old_and_not_too_often);
    CPPUNIT_TEST(the_owner_and_its_supporters_must_be_a_majority);
    CPPUNIT_TEST(an_old_confirmation_does_not_count);
    CPPUNIT_TEST(confirmations_of_an_earlier_ownership_do_not_count);
    CPPUNIT_TEST(a_direct_route_needs_no_question);
    CPPUNIT_TEST(the_peer_of_the_route_is_asked_while_it_answers_and_all_peers_otherwise);
    CPPUNIT_TEST(questions_are_rarer_while_there_is_no_owner);
    CPPUNIT_TEST_SUITE_END();

public:
    void peers_are_asked_once_the_proof_is_old_and_not_too_often()
    {
        owner_support support;
        CPPUNIT_ASSERT(!support.ask(milliseconds{599}, at(10'000)));
        CPPUNIT_ASSERT(support.ask(milliseconds{600}, at(10'001)));
        CPPUNIT_ASSERT(!support.ask(milliseconds{800}, at(10'200)));
        CPPUNIT_ASSERT(support.ask(milliseconds{800}, at(10'201)));
    }

    void the_owner_and_its_supporters_must_be_a_majority()
    {
        owner_support support;
        CPPUNIT_ASSERT(support.is_majority(1, at(0)));
        CPPUNIT_ASSERT(!support.is_majority(2, at(0)));
        support.confirmed("a", at(0));
        support.confirmed("a", at(0));
        CPPUNIT_ASSERT(support.is_majority(3, at(0)));
        CPPUNIT_ASSERT(!support.is_majority(4, at(0)));
        support.confirmed("b", at(0));
        CPPUNIT_ASSERT(support.is_majority(4, at(0)));
    }

    void an_old_confirmation_does_not_count()
    {
        owner_support support;
        support.confirmed("a", at(0));
        CPPUNIT_ASSERT(support.is_majority(3, at(600)));
        CPPUNIT_ASSERT(!support.is_majority(3, at(601)));
    }

    void confirmations_of_an_earlier_ownership_do_not_count()
    {
        owner_support support;
        support.confirmed("a", at(0));
        support.reset();
        CPPUNIT_ASSERT(!support.is_majority(3, at(0)));
    }

    void a_direct_route_needs_no_question()
    {
        const auto routes = owner_routes::create(max_route_age);
        route_inquiry inquiry{at(0)};
        CPPUNIT_ASSERT(inquiry.next({"owner", true, 1}, routes, false, at(5'000)) ==
                       route_question::none);
    }

    void the_peer_of_the_route_is_asked_while_it_answers_and_all_peers_otherwise()
    {
        auto routes = owner_routes::create(max_route_age);
        route_inquiry inquiry{at(0)};
        const owner_route route{"peer", false, 1};
        routes.reaches("peer", 1, at(0));
        CPPUNIT_ASSERT(inquiry.next(route, routes, false, at(349)) == route_question::none);
        CPPUNIT_ASSERT(inquiry.next(route, routes, false, at(350)) == route_question::ask_route);
        CPPUNIT_ASSERT(inquiry.next(route, routes, false, at(700)) == route_question::ask_all);
        CPPUNIT_ASSERT(inquiry.next({}, routes, false, at(1'050)) == route_question::ask_all);
    }

    void questions_are_rarer_while_there_is_no_owner()
    {
        const auto routes = owner_routes::create(max_route_age);
        route_inquiry inquiry{at(0)};
        CPPUNIT_ASSERT(inquiry.next({}, routes, true, at(999)) == route_question::none);
        inquiry.asked(at(500));
        CPPUNIT_ASSERT(inquiry.next({}, routes, true, at(1'000)) == route_question::none);
        CPPUNIT_ASSERT(inquiry.next({}, routes, true, at(1'500)) == route_question::ask_all);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(support_and_routes_test);

} // namespace peridotrudder
