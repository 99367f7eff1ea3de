#include "peridotrudder/journal/log_follower.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace peridotrudder {

namespace {

record make_claim(const std::string& holder, std::uint64_t previous)
{
    record value;
    value.m_id = fmt::format("claim-{}-{}", holder, previous);
    value.m_author = holder;
    value.m_body = term_claimed{holder, previous};
    return value;
}

std::vector<logged_record> claims(std::uint64_t count)
{
    std::vector<logged_record> records;
    for (std::uint64_t offset = 0; offset < count; ++offset) {
        records.push_back({offset, make_claim("planner", offset)});
    }
    return records;
}

} // namespace

class log_follower_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_follower_test);
    CPPUNIT_TEST(records_that_were_folded_are_skipped);
    CPPUNIT_TEST(missing_records_are_reported_as_a_gap);
    CPPUNIT_TEST(older_state_of_a_peer_is_not_adopted);
    CPPUNIT_TEST(snapshot_replaces_expired_records);
    CPPUNIT_TEST(expired_records_without_a_snapshot_are_a_gap);
    CPPUNIT_TEST(kept_records_are_returned_from_any_offset);
    CPPUNIT_TEST_SUITE_END();

public:
    void records_that_were_folded_are_skipped()
    {
        log_follower follower;
        const auto records = claims(3);
        CPPUNIT_ASSERT(follower.take(records) == follow_result::advanced);
        CPPUNIT_ASSERT(follower.take(records) == follow_result::unchanged);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, follower.state().next_offset());
    }

    void missing_records_are_reported_as_a_gap()
    {
        log_follower follower;
        const auto records = claims(3);
        CPPUNIT_ASSERT(follower.take({&records[1], 2}) == follow_result::gap);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, follower.state().next_offset());
    }

    void older_state_of_a_peer_is_not_adopted()
    {
        log_follower ahead;
        log_follower behind;
        const auto records = claims(3);
        ahead.take(records);
        behind.take({records.data(), 1});
        CPPUNIT_ASSERT(!ahead.adopt(behind.state()));
        CPPUNIT_ASSERT(behind.adopt(ahead.state()));
        CPPUNIT_ASSERT_EQUAL(ahead.state().to_json(), behind.state().to_json());
    }

    void snapshot_replaces_expired_records()
    {
        log_follower complete;
        auto records = claims(4);
        complete.take(records);
        record snapshot;
        snapshot.m_id = "snapshot";
        snapshot.m_author = "planner";
        snapshot.m_term = complete.state().term().m_number;
        snapshot.m_body = snapshot_taken{complete.state().to_json()};
        records.push_back({4, snapshot});
        records.push_back({5, make_claim("other", 4)});
        complete.take(records);

        log_follower fresh;
        const auto retained = gsl::span<const logged_record>{records}.subspan(3);
        CPPUNIT_ASSERT(fresh.start(3, retained) == follow_result::advanced);
        CPPUNIT_ASSERT_EQUAL(complete.state().to_json(), fresh.state().to_json());
    }

    void expired_records_without_a_snapshot_are_a_gap()
    {
        log_follower fresh;
        const auto records = claims(5);
        const auto retained = gsl::span<const logged_record>{records}.subspan(3);
        CPPUNIT_ASSERT(fresh.start(3, retained) == follow_result::gap);
    }

    void kept_records_are_returned_from_any_offset()
    {
        log_follower follower;
        follower.take(claims(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, follower.tail_from(2, 100).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, follower.tail_from(2, 1).size());
        CPPUNIT_ASSERT(follower.tail_from(9, 100).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_follower_test);

} // namespace peridotrudder
