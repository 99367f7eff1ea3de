#include "src/links/link_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

using internal::accepted_links;
using internal::connection_handle;
using internal::outgoing_links;

constexpr milliseconds interval{200};

time_point at(int ms)
{
    return time_point{milliseconds{ms}};
}

unsigned no_jitter()
{
    return 0;
}

std::shared_ptr<void> make_connection()
{
    return std::make_shared<int>(0);
}

/// Returns links to one peer, with a connection that is open.
struct open_link {
    open_link()
    {
        m_links.replace({{"peer", "host", 1}}, at(0));
        m_links.check_missing(true, no_jitter, at(0));
        m_links.started("peer", m_connection);
        m_links.opened("peer", m_connection, at(1'500));
    }

    std::shared_ptr<void> m_connection = make_connection();
    outgoing_links m_links{interval};
};

} // namespace

class link_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(link_table_test);
    CPPUNIT_TEST(a_new_peer_is_to_be_connected_and_then_can_be_sent_to);
    CPPUNIT_TEST(an_opened_link_tells_how_long_it_was_missing);
    CPPUNIT_TEST(the_end_of_a_former_connection_changes_nothing);
    CPPUNIT_TEST(an_attempt_that_succeeds_after_it_was_given_up_is_to_be_closed);
    CPPUNIT_TEST(a_peer_that_is_dropped_ends_its_link_or_its_attempt);
    CPPUNIT_TEST(repeated_failures_are_reported_every_five_seconds);
    CPPUNIT_TEST(a_link_that_does_not_answer_its_ping_is_dead);
    CPPUNIT_TEST(a_link_that_a_peer_opens_again_replaces_its_former_one);
    CPPUNIT_TEST(an_accepted_link_that_stays_silent_is_to_be_closed);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_new_peer_is_to_be_connected_and_then_can_be_sent_to()
    {
        outgoing_links links{interval};
        links.replace({{"peer", "host", 1}}, at(0));
        CPPUNIT_ASSERT(!links.use("peer"));
        const auto steps = links.check_missing(false, no_jitter, at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, steps.m_to_open.size());
        const auto connection = make_connection();
        links.started("peer", connection);
        CPPUNIT_ASSERT(!links.use("peer"));
        CPPUNIT_ASSERT(links.opened("peer", connection, at(10)).has_value());
        CPPUNIT_ASSERT(links.use("peer")->lock() == connection);
        CPPUNIT_ASSERT(links.check_missing(true, no_jitter, at(200)).m_to_open.empty());
    }

    void an_opened_link_tells_how_long_it_was_missing()
    {
        open_link link;
        CPPUNIT_ASSERT(link.m_links.closed("peer", link.m_connection, at(2'000)));
        const auto next = make_connection();
        link.m_links.started("peer", next);
        const auto gap = link.m_links.opened("peer", next, at(5'000));
        CPPUNIT_ASSERT(gap.has_value());
        CPPUNIT_ASSERT(gap->m_missing_for == milliseconds{3'000});
    }

    void the_end_of_a_former_connection_changes_nothing()
    {
        open_link link;
        const auto former = make_connection();
        CPPUNIT_ASSERT(!link.m_links.closed("peer", former, at(2'000)));
        CPPUNIT_ASSERT(link.m_links.failed("peer", former, "refused", at(2'000)).empty());
        CPPUNIT_ASSERT(link.m_links.use("peer").has_value());
    }

    void an_attempt_that_succeeds_after_it_was_given_up_is_to_be_closed()
    {
        outgoing_links links{interval};
        links.replace({{"peer", "host", 1}}, at(0));
        links.check_missing(true, no_jitter, at(0));
        const auto connection = make_connection();
        links.started("peer", connection);
        std::size_t given_up = 0;
        for (int checks = 1; checks < 100 && given_up == 0; ++checks) {
            given_up = links.check_missing(true, no_jitter, at(200 * checks)).m_given_up.size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, given_up);
        CPPUNIT_ASSERT(!links.opened("peer", connection, at(30'000)));
    }

    void a_peer_that_is_dropped_ends_its_link_or_its_attempt()
    {
        open_link link;
        link.m_links.replace({{"peer", "host", 1}, {"other", "host", 2}}, at(2'000));
        link.m_links.started("other", make_connection());
        const auto ended = link.m_links.replace({}, at(3'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended.m_open.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended.m_attempts.size());
        CPPUNIT_ASSERT(ended.m_dropped == std::vector<std::string>{"peer"});
        CPPUNIT_ASSERT(!link.m_links.use("peer"));
    }

    void repeated_failures_are_reported_every_five_seconds()
    {
        outgoing_links links{interval};
        links.replace({{"peer", "host", 1}}, at(10'000));
        const auto fails_at = [&](int ms) {
            const auto connection = make_connection();
            links.started("peer", connection);
            return links.failed("peer", connection, "refused", at(ms));
        };
        CPPUNIT_ASSERT_EQUAL(std::string{"peer at host:1: refused, 1 failures in 200 ms"},
                             fails_at(10'200));
        CPPUNIT_ASSERT_EQUAL(std::string{}, fails_at(15'199));
        CPPUNIT_ASSERT_EQUAL(std::string{"peer at host:1: refused, 3 failures in 5200 ms"},
                             fails_at(15'200));
    }

    void a_link_that_does_not_answer_its_ping_is_dead()
    {
        open_link link;
        std::vector<std::pair<std::string, connection_handle>> dead;
        std::size_t pings = 0;
        for (int checks = 1; checks < 1'000 && dead.empty(); ++checks) {
            const auto steps = link.m_links.check_open(at(2'000 + 200 * checks));
            pings += steps.m_to_ping.size();
            dead = steps.m_dead;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pings);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dead.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"peer"}, dead.front().first);
        CPPUNIT_ASSERT(!link.m_links.use("peer"));
    }

    void a_link_that_a_peer_opens_again_replaces_its_former_one()
    {
        accepted_links links;
        const auto first = make_connection();
        const auto second = make_connection();
        CPPUNIT_ASSERT(links.accept("peer", first).expired());
        CPPUNIT_ASSERT(links.accept("peer", second).lock() == first);
        // The end of the former one must not remove the new one.
        links.remove("peer", first);
        CPPUNIT_ASSERT(links.accept("peer", first).lock() == second);
    }

    void an_accepted_link_that_stays_silent_is_to_be_closed()
    {
        accepted_links links;
        const auto silent = make_connection();
        const auto used = make_connection();
        links.accept("silent", silent);
        links.accept("used", used);
        std::vector<connection_handle> to_close;
        for (int checks = 0; checks < 1'000 && to_close.empty(); ++checks) {
            links.used("used", used);
            links.used("silent", used);
            to_close = links.check();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, to_close.size());
        CPPUNIT_ASSERT(to_close.front().lock() == silent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(link_table_test);

} // namespace peridotrudder
