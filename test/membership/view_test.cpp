#include "peridotrudder/membership/view.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

namespace peridotrudder {

namespace {

view make_view(std::size_t entries, std::size_t zones)
{
    view created;
    created.m_number = 1;
    for (std::size_t index = 0; index < entries; ++index) {
        member added;
        added.m_entry = fmt::format("entry-{}", index);
        added.m_incarnation = fmt::format("run-{}", index);
        added.m_zone = fmt::format("zone-{}", index % zones);
        created.m_members.push_back(added);
    }
    return created;
}

} // namespace

class view_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(view_test);
    CPPUNIT_TEST(first_three_ranks_are_in_three_zones);
    CPPUNIT_TEST(ranking_does_not_depend_on_the_order_of_members);
    CPPUNIT_TEST(removing_a_member_moves_only_its_own_keys);
    CPPUNIT_TEST(unchanged_holders_keep_their_epoch);
    CPPUNIT_TEST(half_of_the_view_is_too_few_to_evict);
    CPPUNIT_TEST(members_outside_the_view_do_not_count_as_observers);
    CPPUNIT_TEST_SUITE_END();

public:
    void first_three_ranks_are_in_three_zones()
    {
        const auto current = make_view(9, 3);
        for (int key = 0; key < 200; ++key) {
            const auto ranked = rank_members(current, std::to_string(key), 3);
            std::set<std::string> zones;
            for (const auto* ranked_member : ranked) {
                zones.insert(ranked_member->m_zone);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, zones.size());
        }
    }

    void ranking_does_not_depend_on_the_order_of_members()
    {
        const auto current = make_view(9, 4);
        auto reversed = current;
        std::reverse(reversed.m_members.begin(), reversed.m_members.end());
        for (int key = 0; key < 200; ++key) {
            const auto one = rank_members(current, std::to_string(key), 9);
            const auto other = rank_members(reversed, std::to_string(key), 9);
            const bool same = std::equal(one.begin(), one.end(), other.begin(), other.end(),
                                         [](const member* left, const member* right) {
                                             return left->m_incarnation == right->m_incarnation;
                                         });
            CPPUNIT_ASSERT_MESSAGE(fmt::format("key {}", key), same);
        }
    }

    void removing_a_member_moves_only_its_own_keys()
    {
        const auto before = make_view(9, 3);
        auto after = before;
        after.m_members.erase(after.m_members.begin());
        for (int key = 0; key < 500; ++key) {
            const auto old_home = rank_members(before, std::to_string(key), 1).front();
            const auto new_home = rank_members(after, std::to_string(key), 1).front();
            if (old_home->m_incarnation != "run-0") {
                CPPUNIT_ASSERT_EQUAL(old_home->m_incarnation, new_home->m_incarnation);
            }
        }
    }

    void unchanged_holders_keep_their_epoch()
    {
        std::vector<partition_history> histories;
        auto current = make_view(9, 3);
        extend_histories(histories, current);
        current.m_number = 2;
        extend_histories(histories, current);
        for (const auto& history : histories) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, history.m_epochs.size());
        }
    }

    void half_of_the_view_is_too_few_to_evict()
    {
        const auto current = make_view(6, 3);
        CPPUNIT_ASSERT(!has_eviction_quorum(current, {"run-0", "run-1", "run-2"}));
        CPPUNIT_ASSERT(has_eviction_quorum(current, {"run-0", "run-1", "run-2", "run-3"}));
    }

    void members_outside_the_view_do_not_count_as_observers()
    {
        const auto current = make_view(3, 3);
        CPPUNIT_ASSERT(!has_eviction_quorum(current, {"run-0", "run-0", "not-in-view"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(view_test);

} // namespace peridotrudder
