#include "src/links/pending_handshakes.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

using internal::handshake_number;
using internal::pending_handshakes;

constexpr milliseconds time_limit{20'000};

time_point at(int ms)
{
    return time_point{milliseconds{ms}};
}

} // namespace

class pending_handshakes_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(pending_handshakes_test);
    CPPUNIT_TEST(nothing_is_closed_up_to_the_limit);
    CPPUNIT_TEST(the_oldest_is_closed_beyond_the_limit);
    CPPUNIT_TEST(strangers_never_displace_connections_from_peers_addresses);
    CPPUNIT_TEST(a_connection_whose_header_has_arrived_is_closed_last);
    CPPUNIT_TEST(a_connection_that_has_ended_makes_room);
    CPPUNIT_TEST(those_that_take_too_long_are_overdue);
    CPPUNIT_TEST_SUITE_END();

public:
    void nothing_is_closed_up_to_the_limit()
    {
        pending_handshakes pending{2, time_limit};
        pending.add(false, at(0));
        pending.add(false, at(1));
        CPPUNIT_ASSERT(!pending.surplus());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pending.size());
    }

    void the_oldest_is_closed_beyond_the_limit()
    {
        pending_handshakes pending{2, time_limit};
        const auto oldest = pending.add(false, at(0));
        pending.add(false, at(1));
        pending.add(false, at(2));
        CPPUNIT_ASSERT(pending.surplus() == oldest);
    }

    // Guards against nodes that are shut out by a crowd from elsewhere.
    void strangers_never_displace_connections_from_peers_addresses()
    {
        pending_handshakes pending{2, time_limit};
        pending.add(true, at(0));
        pending.add(true, at(1));
        for (int stranger = 0; stranger < 100; ++stranger) {
            const auto added = pending.add(false, at(2 + stranger));
            CPPUNIT_ASSERT(pending.surplus() == added);
            pending.remove(added);
        }
    }

    void a_connection_whose_header_has_arrived_is_closed_last()
    {
        pending_handshakes pending{2, time_limit};
        const auto whole = pending.add(false, at(0));
        pending.header_arrived(whole);
        const auto from_peer = pending.add(true, at(1));
        const auto unknown = pending.add(false, at(2));
        for (const auto expected : {unknown, from_peer, whole}) {
            CPPUNIT_ASSERT(pending.first_to_evict() == expected);
            pending.remove(expected);
        }
        CPPUNIT_ASSERT(!pending.first_to_evict());
    }

    void a_connection_that_has_ended_makes_room()
    {
        pending_handshakes pending{1, time_limit};
        const auto first = pending.add(true, at(0));
        pending.header_arrived(first);
        pending.remove(first);
        pending.remove(first);
        pending.add(false, at(1));
        CPPUNIT_ASSERT(!pending.surplus());
    }

    void those_that_take_too_long_are_overdue()
    {
        pending_handshakes pending{8, time_limit};
        const auto whole = pending.add(false, at(0));
        pending.header_arrived(whole);
        const auto silent = pending.add(false, at(1));
        pending.add(true, at(2));
        CPPUNIT_ASSERT(pending.overdue(at(19'999)).empty());
        CPPUNIT_ASSERT(pending.overdue(at(20'001)) ==
                       (std::vector<handshake_number>{silent, whole}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pending_handshakes_test);

} // namespace peridotrudder
