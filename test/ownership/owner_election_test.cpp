#include "peridotrudder/ownership/owner_election.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

const time_point start{milliseconds{1'000'000}};

owner_election make_election(const std::string& self = "self")
{
    election_options options;
    options.m_self = self;
    return owner_election::create(options, start);
}

ownership_claim make_claim(std::uint64_t epoch, const std::string& owner)
{
    ownership_claim claim;
    claim.m_epoch = epoch;
    claim.m_owner = owner;
    return claim;
}

/// Ticks until a step other than `none` is returned, for at most `duration`.
election_step next_step(owner_election& election, time_point& now, milliseconds duration)
{
    const auto end = now + duration;
    while (now < end) {
        now += milliseconds{10};
        const auto step = election.tick(now);
        if (step != election_step::none) {
            return step;
        }
    }
    return election_step::none;
}

} // namespace

class owner_election_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(owner_election_test);
    CPPUNIT_TEST(without_any_claim_a_node_claims);
    CPPUNIT_TEST(owner_with_heartbeats_is_not_suspected);
    CPPUNIT_TEST(released_ownership_is_claimed_at_once);
    CPPUNIT_TEST(owner_lost_by_most_nodes_is_replaced);
    CPPUNIT_TEST(node_that_lost_the_owner_alone_does_not_claim);
    CPPUNIT_TEST(isolated_node_claims_only_when_the_journal_is_silent);
    CPPUNIT_TEST(older_claim_changes_nothing);
    CPPUNIT_TEST(node_does_not_claim_what_it_owns);
    CPPUNIT_TEST(release_soon_after_an_unplanned_change_does_not_hide_the_earlier_owner);
    CPPUNIT_TEST_SUITE_END();

public:
    void without_any_claim_a_node_claims()
    {
        auto election = make_election();
        auto now = start;
        CPPUNIT_ASSERT(next_step(election, now, milliseconds{100}) == election_step::claim);
    }

    void owner_with_heartbeats_is_not_suspected()
    {
        auto election = make_election();
        election.learn(make_claim(5, "other"), start);
        for (auto now = start; now < start + milliseconds{10'000}; now += milliseconds{200}) {
            election.heard(5, now);
            CPPUNIT_ASSERT(election.tick(now) == election_step::none);
        }
    }

    void released_ownership_is_claimed_at_once()
    {
        auto election = make_election();
        auto claim = make_claim(5, "other");
        election.learn(claim, start);
        claim.m_epoch = 6;
        claim.m_released = true;
        election.learn(claim, start);
        auto now = start;
        CPPUNIT_ASSERT(next_step(election, now, milliseconds{50}) == election_step::claim);
    }

    void owner_lost_by_most_nodes_is_replaced()
    {
        auto election = make_election();
        election.set_members(5);
        election.learn(make_claim(5, "other"), start);
        election.link_broken("other", start);
        auto now = start;
        CPPUNIT_ASSERT(next_step(election, now, milliseconds{50}) == election_step::ask_peers);
        election.peer_view("a", 5, false);
        election.peer_view("b", 5, false);
        CPPUNIT_ASSERT(next_step(election, now, milliseconds{200}) == election_step::claim);
        CPPUNIT_ASSERT_MESSAGE("a killed owner must be replaced within 1.5 s",
                               now - start < milliseconds{1'500});
    }

    void node_that_lost_the_owner_alone_does_not_claim()
    {
        auto election = make_election();
        election.set_members(5);
        election.learn(make_claim(5, "other"), start);
        auto now = start;
        for (int round = 0; round < 20; ++round) {
            const auto step = next_step(election, now, milliseconds{1'000});
            CPPUNIT_ASSERT(step != election_step::claim);
            election.peer_view("a", 5, true);
            election.peer_view("b", 5, true);
        }
    }

    void isolated_node_claims_only_when_the_journal_is_silent()
    {
        auto election = make_election();
        election.set_members(5);
        election.learn(make_claim(5, "other"), start);
        auto now = start;
        auto step = election_step::none;
        while (step != election_step::check_journal) {
            step = next_step(election, now, milliseconds{2'000});
            CPPUNIT_ASSERT(step != election_step::claim && step != election_step::none);
        }
        election.journal_view(5, true, now);
        step = next_step(election, now, milliseconds{1'000});
        CPPUNIT_ASSERT(step != election_step::claim);
        election.journal_view(5, false, now);
        while (step != election_step::claim) {
            step = next_step(election, now, milliseconds{2'000});
            CPPUNIT_ASSERT(step != election_step::none);
        }
    }

    void older_claim_changes_nothing()
    {
        auto election = make_election();
        election.learn(make_claim(5, "new"), start);
        election.learn(make_claim(4, "old"), start);
        CPPUNIT_ASSERT_EQUAL(std::string{"new"}, election.claim().m_owner);
    }

    void node_does_not_claim_what_it_owns()
    {
        auto election = make_election();
        election.learn(make_claim(5, "self"), start);
        CPPUNIT_ASSERT(election.is_owner());
        auto now = start;
        CPPUNIT_ASSERT(next_step(election, now, milliseconds{5'000}) == election_step::none);
        election.owner_gone(5, now);
        CPPUNIT_ASSERT(!election.is_owner());
    }

    // A successor's successor waited for no leases, and a task ran twice.
    void release_soon_after_an_unplanned_change_does_not_hide_the_earlier_owner()
    {
        auto owner = make_election();
        owner.learn(make_claim(1, "other"), start);
        CPPUNIT_ASSERT(!owner.follows_release());
        owner.learn(make_claim(2, "self"), start);
        CPPUNIT_ASSERT(!owner.predecessors_are_over(start + milliseconds{4'900}));
        CPPUNIT_ASSERT(owner.predecessors_are_over(start + milliseconds{5'000}));

        auto successor = make_election();
        auto release = make_claim(3, "other");
        release.m_released = true;
        successor.learn(release, start);
        CPPUNIT_ASSERT_MESSAGE("an earlier owner may renew leases", !successor.follows_release());
        release.m_epoch = 4;
        release.m_after_release = true;
        successor.learn(release, start);
        CPPUNIT_ASSERT(successor.follows_release());
        auto planned = make_claim(5, "self");
        planned.m_after_release = true;
        successor.learn(planned, start);
        CPPUNIT_ASSERT_MESSAGE("a chain of releases", successor.predecessors_are_over(start));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(owner_election_test);

} // namespace peridotrudder
