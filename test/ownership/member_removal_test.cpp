#include "peridotrudder/ownership/member_removal.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace peridotrudder {

namespace {

using action = removal_step::action;

const std::vector<watched_process> one_unlinked{
    {"a", true}, {"b", true}, {"c", true}, {"gone", false}};

struct removal_fixture {
    time_point m_now{milliseconds{1'000'000}};
    member_removal m_removal{removal_options{}};

    /// Looks every 100 ms until a step other than `none`, for at most `time`.
    removal_step next_step(const std::vector<watched_process>& processes, milliseconds time)
    {
        for (const auto end = m_now + time; m_now < end;) {
            m_now += milliseconds{100};
            auto step = m_removal.tick(processes, m_now);
            if (step.m_action != action::none) {
                return step;
            }
        }
        return {};
    }
};

} // namespace

class member_removal_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(member_removal_test);
    CPPUNIT_TEST(process_that_most_peers_do_not_reach_is_removed);
    CPPUNIT_TEST(process_that_one_peer_reaches_is_not_removed);
    CPPUNIT_TEST(nothing_is_removed_while_most_peers_are_silent);
    CPPUNIT_TEST(owner_without_links_removes_nobody);
    CPPUNIT_TEST(link_in_between_starts_the_time_anew);
    CPPUNIT_TEST(new_process_of_a_name_has_its_own_time);
    CPPUNIT_TEST(owner_that_was_paused_starts_the_time_anew);
    CPPUNIT_TEST(former_ownership_does_not_count);
    CPPUNIT_TEST(late_answer_to_an_earlier_question_does_not_count);
    CPPUNIT_TEST(several_processes_are_judged_one_after_the_other);
    CPPUNIT_TEST_SUITE_END();

public:
    void process_that_most_peers_do_not_reach_is_removed()
    {
        removal_fixture test;
        CPPUNIT_ASSERT(test.next_step(one_unlinked, milliseconds{30'000}).m_action == action::none);
        const auto question = test.next_step(one_unlinked, milliseconds{1'000});
        CPPUNIT_ASSERT(question.m_action == action::ask_peers);
        CPPUNIT_ASSERT_EQUAL(std::string{"gone"}, question.m_incarnation);
        test.m_removal.peer_view("a", question.m_number, false);
        test.m_removal.peer_view("b", question.m_number, false);
        const auto step = test.next_step(one_unlinked, milliseconds{2'000});
        CPPUNIT_ASSERT(step.m_action == action::remove);
        CPPUNIT_ASSERT_EQUAL(std::string{"gone"}, step.m_incarnation);
    }

    void process_that_one_peer_reaches_is_not_removed()
    {
        removal_fixture test;
        for (int round = 0; round < 5; ++round) {
            const auto question = test.next_step(one_unlinked, milliseconds{32'000});
            CPPUNIT_ASSERT(question.m_action == action::ask_peers);
            test.m_removal.peer_view("a", question.m_number, false);
            test.m_removal.peer_view("b", question.m_number, true);
            test.m_removal.peer_view("c", question.m_number, false);
        }
    }

    void nothing_is_removed_while_most_peers_are_silent()
    {
        removal_fixture test;
        for (int round = 0; round < 5; ++round) {
            const auto question = test.next_step(one_unlinked, milliseconds{32'000});
            CPPUNIT_ASSERT(question.m_action == action::ask_peers);
            test.m_removal.peer_view("a", question.m_number, false);
        }
    }

    void owner_without_links_removes_nobody()
    {
        removal_fixture test;
        const std::vector<watched_process> all_unlinked{{"a", false}, {"b", false}};
        CPPUNIT_ASSERT(test.next_step(all_unlinked, milliseconds{120'000}).m_action ==
                       action::none);
    }

    void link_in_between_starts_the_time_anew()
    {
        removal_fixture test;
        test.next_step(one_unlinked, milliseconds{29'000});
        test.next_step({{"a", true}, {"gone", true}}, milliseconds{100});
        CPPUNIT_ASSERT(test.next_step(one_unlinked, milliseconds{29'000}).m_action == action::none);
    }

    // The time was counted by name, so a process that had just registered could be deleted.
    void new_process_of_a_name_has_its_own_time()
    {
        removal_fixture test;
        test.next_step(one_unlinked, milliseconds{29'000});
        CPPUNIT_ASSERT(
            test.next_step({{"a", true}, {"gone-again", false}}, milliseconds{29'000}).m_action ==
            action::none);
    }

    void owner_that_was_paused_starts_the_time_anew()
    {
        removal_fixture test;
        test.next_step(one_unlinked, milliseconds{1'000});
        test.m_now += milliseconds{36'000};
        CPPUNIT_ASSERT(test.next_step(one_unlinked, milliseconds{29'000}).m_action == action::none);
    }

    // The time of a former ownership was kept, and counted the time in between.
    void former_ownership_does_not_count()
    {
        removal_fixture test;
        test.next_step(one_unlinked, milliseconds{29'000});
        test.m_removal.reset();
        CPPUNIT_ASSERT(test.next_step(one_unlinked, milliseconds{29'000}).m_action == action::none);
    }

    void late_answer_to_an_earlier_question_does_not_count()
    {
        removal_fixture test;
        const auto earlier = test.next_step(one_unlinked, milliseconds{32'000});
        const auto question = test.next_step(one_unlinked, milliseconds{10'000});
        CPPUNIT_ASSERT(question.m_action == action::ask_peers);
        CPPUNIT_ASSERT(question.m_number != earlier.m_number);
        for (const auto* peer : {"a", "b", "c"}) {
            test.m_removal.peer_view(peer, earlier.m_number, false);
        }
        CPPUNIT_ASSERT(test.next_step(one_unlinked, milliseconds{2'000}).m_action == action::none);
    }

    void several_processes_are_judged_one_after_the_other()
    {
        removal_fixture test;
        const std::vector<watched_process> two_unlinked{
            {"a", true}, {"b", true}, {"gone-1", false}, {"gone-2", false}};
        std::set<std::string> removed;
        for (int look = 0; look < 400 && removed.size() < 2; ++look) {
            const auto step = test.next_step(two_unlinked, milliseconds{100});
            if (step.m_action == action::ask_peers) {
                const bool reached = step.m_incarnation == "gone-1" && look < 350;
                test.m_removal.peer_view("a", step.m_number, reached);
                test.m_removal.peer_view("b", step.m_number, false);
            }
            if (step.m_action == action::remove) {
                removed.insert(step.m_incarnation);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, removed.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(member_removal_test);

} // namespace peridotrudder
