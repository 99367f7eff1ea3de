#include "peridotrudder/ownership/owner_routes.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

const time_point start{milliseconds{1'000'000}};
constexpr milliseconds max_age{1'000};

} // namespace

class owner_routes_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(owner_routes_test);
    CPPUNIT_TEST(peer_with_the_newest_view_is_chosen);
    CPPUNIT_TEST(preferred_peer_is_kept_while_its_view_can_be_used);
    CPPUNIT_TEST(view_of_an_earlier_epoch_is_not_used);
    CPPUNIT_TEST(forgotten_peer_is_used_when_it_answers_again);
    CPPUNIT_TEST_SUITE_END();

    owner_routes m_routes{owner_routes::create(max_age)};

public:
    void peer_with_the_newest_view_is_chosen()
    {
        CPPUNIT_ASSERT(!m_routes.best(1, start).exists());
        m_routes.reaches("a", 1, start);
        m_routes.reaches("b", 1, start + milliseconds{10});
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, m_routes.best(1, start + max_age).m_peer);
        CPPUNIT_ASSERT(!m_routes.best(1, start + max_age).m_direct);
        CPPUNIT_ASSERT(!m_routes.best(1, start + max_age + milliseconds{11}).exists());
    }

    void preferred_peer_is_kept_while_its_view_can_be_used()
    {
        m_routes.reaches("a", 1, start);
        m_routes.prefer("a");
        m_routes.reaches("b", 1, start + milliseconds{10});
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, m_routes.best(1, start + max_age).m_peer);
        CPPUNIT_ASSERT_EQUAL(std::string{"b"},
                             m_routes.best(1, start + max_age + milliseconds{5}).m_peer);
    }

    void view_of_an_earlier_epoch_is_not_used()
    {
        m_routes.reaches("a", 4, start);
        CPPUNIT_ASSERT(!m_routes.best(5, start).exists());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, m_routes.best(3, start).m_epoch);
    }

    void forgotten_peer_is_used_when_it_answers_again()
    {
        m_routes.reaches("a", 1, start);
        m_routes.forget("a");
        CPPUNIT_ASSERT(!m_routes.best(1, start).exists());
        CPPUNIT_ASSERT(!m_routes.is_newer_than(max_age, "a", start));
        m_routes.reaches("a", 1, start);
        CPPUNIT_ASSERT(m_routes.best(1, start).exists());
        CPPUNIT_ASSERT(m_routes.is_newer_than(max_age, "a", start));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(owner_routes_test);

} // namespace peridotrudder
