#include "peridotrudder/requests/partition_replica.hpp"
#include "requests/partition_world.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <random>

namespace rc {

template <>
struct Arbitrary<peridotrudder::world_step> {
    static Gen<peridotrudder::world_step> arbitrary()
    {
        using peridotrudder::world_step;
        return gen::build<world_step>(
            gen::set(&world_step::m_kind, gen::inRange<std::uint8_t>(0, 100)),
            gen::set(&world_step::m_first, gen::inRange<std::uint16_t>(0, 1'000)),
            gen::set(&world_step::m_second, gen::inRange<std::uint16_t>(0, 1'000)));
    }
};

} // namespace rc

namespace peridotrudder {

std::ostream& operator<<(std::ostream& out, const world_step& step)
{
    return out << '{' << int{step.m_kind} << ',' << step.m_first << ',' << step.m_second << '}';
}

namespace {

constexpr std::size_t steps_per_world = 600;

std::optional<std::string> run_world(const std::vector<world_step>& steps, broken_rule broken,
                                     std::size_t& runs)
{
    partition_world world{broken};
    for (const auto& step : steps) {
        world.perform(step);
    }
    world.settle();
    world.check_every_key_is_answered();
    runs += world.runs();
    return world.violation();
}

/// Returns whether random worlds under a broken rule violate a property.
bool is_noticed(broken_rule broken)
{
    constexpr unsigned most_worlds = 3'000;
    for (unsigned seed = 1; seed <= most_worlds; ++seed) {
        std::mt19937 random{seed};
        std::vector<world_step> steps(steps_per_world);
        for (auto& step : steps) {
            step = {static_cast<std::uint8_t>(random() % 100),
                    static_cast<std::uint16_t>(random() % 1'000),
                    static_cast<std::uint16_t>(random() % 1'000)};
        }
        std::size_t runs = 0;
        if (run_world(steps, broken, runs)) {
            return true;
        }
    }
    return false;
}

view view_of(std::uint64_t number, const std::vector<std::string>& names)
{
    view made;
    made.m_number = number;
    for (const auto& name : names) {
        member each;
        each.m_entry = name;
        each.m_incarnation = name;
        each.m_zone = name;
        made.m_members.push_back(each);
    }
    return made;
}

} // namespace

class partition_replica_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(partition_replica_test);
    CPPUNIT_TEST(no_key_runs_twice_and_not_run_is_true_under_any_faults);
    CPPUNIT_TEST(oracle_notices_a_home_that_does_not_seal);
    CPPUNIT_TEST(oracle_notices_intents_without_copies);
    CPPUNIT_TEST(oracle_notices_holders_that_break_their_promise);
    CPPUNIT_TEST(same_key_with_another_body_is_refused);
    CPPUNIT_TEST(repeated_call_gets_the_first_answer);
    CPPUNIT_TEST(long_answer_is_not_kept_but_known_to_be_done);
    CPPUNIT_TEST(record_is_forgotten_after_its_window);
    CPPUNIT_TEST(member_that_promised_a_later_epoch_does_not_settle_an_earlier_one);
    CPPUNIT_TEST(loss_of_two_holders_makes_unknown_keys_unknown_until_the_window_ends);
    CPPUNIT_TEST_SUITE_END();

public:
    void no_key_runs_twice_and_not_run_is_true_under_any_faults()
    {
        std::size_t runs = 0;
        const bool holds = rc::check("at most once", [&runs] {
            const auto steps = *rc::gen::resize(static_cast<int>(steps_per_world),
                                                rc::gen::arbitrary<std::vector<world_step>>());
            const auto violation = run_world(steps, broken_rule::none, runs);
            if (violation) {
                RC_FAIL(*violation);
            }
        });
        CPPUNIT_ASSERT(holds);
        // The worlds must reach the upstream often, or they would show nothing.
        CPPUNIT_ASSERT_MESSAGE(fmt::format("only {} runs", runs), runs > 200);
    }

    void oracle_notices_a_home_that_does_not_seal()
    {
        CPPUNIT_ASSERT(is_noticed(broken_rule::no_seal));
    }

    void oracle_notices_intents_without_copies()
    {
        CPPUNIT_ASSERT(is_noticed(broken_rule::no_copies));
    }

    void oracle_notices_holders_that_break_their_promise()
    {
        CPPUNIT_ASSERT(is_noticed(broken_rule::no_promise));
    }

    void same_key_with_another_body_is_refused()
    {
        auto home = make_single_home();
        home.begin({"customer/1", "one", window}, now);
        const auto begun = home.begin({"customer/1", "other", window}, now);
        CPPUNIT_ASSERT(begun.m_verdict == begin_verdict::key_reused);
    }

    void repeated_call_gets_the_first_answer()
    {
        auto home = make_single_home();
        run_key(home, "answer");
        const auto begun = home.begin({"customer/1", "digest", window}, now);
        CPPUNIT_ASSERT(begun.m_verdict == begin_verdict::answered);
        CPPUNIT_ASSERT_EQUAL(std::string{"answer"}, begun.m_outcome->m_body);
    }

    void long_answer_is_not_kept_but_known_to_be_done()
    {
        auto home = make_single_home();
        run_key(home, std::string(100'000, 'a'));
        const auto begun = home.begin({"customer/1", "digest", window}, now);
        CPPUNIT_ASSERT(begun.m_verdict == begin_verdict::answered);
        CPPUNIT_ASSERT(begun.m_outcome->m_execution_status == execution_status::done);
        CPPUNIT_ASSERT(begun.m_outcome->m_refusal == refusal::answer_not_kept);
    }

    void record_is_forgotten_after_its_window()
    {
        auto home = make_single_home();
        run_key(home, "answer");
        replica_actions actions;
        home.tick(now + window, actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, home.size());
    }

    void member_that_promised_a_later_epoch_does_not_settle_an_earlier_one()
    {
        std::vector<partition_history> histories;
        const auto first = view_of(1, {"a"});
        extend_histories(histories, first);
        partition_replica replica{0, "a"};
        replica_actions actions;
        replica.receive("b", seal_request{0, 9, 1}, now, actions);
        replica.set_history(histories[0], first, now, actions);
        CPPUNIT_ASSERT(!replica.is_open());
    }

    void loss_of_two_holders_makes_unknown_keys_unknown_until_the_window_ends()
    {
        std::vector<partition_history> histories;
        extend_histories(histories, view_of(1, {"a", "b", "c"}));
        const auto rest = view_of(2, {"a"});
        extend_histories(histories, rest);
        partition_replica survivor{0, "a"};
        replica_actions actions;
        survivor.set_history(histories[0], rest, now, actions);
        CPPUNIT_ASSERT(!survivor.is_open());

        const auto later = now + milliseconds{5'000};
        survivor.tick(later, actions);

        CPPUNIT_ASSERT(survivor.is_open());
        const keyed_call unseen{"customer/1", "digest", window};
        CPPUNIT_ASSERT(survivor.begin(unseen, later).m_verdict == begin_verdict::records_lost);
        CPPUNIT_ASSERT(survivor.begin(unseen, later + window).m_verdict == begin_verdict::started);
    }

private:
    static constexpr milliseconds window{60'000};
    const time_point now{milliseconds{1'000'000}};

    partition_replica make_single_home()
    {
        std::vector<partition_history> histories;
        const auto alone = view_of(1, {"a"});
        extend_histories(histories, alone);
        partition_replica home{0, "a"};
        replica_actions actions;
        home.set_history(histories[0], alone, now, actions);
        return home;
    }

    void run_key(partition_replica& home, std::string body)
    {
        replica_actions actions;
        const auto begun = home.begin({"customer/1", "digest", window}, now);
        CPPUNIT_ASSERT(begun.m_verdict == begin_verdict::started);
        CPPUNIT_ASSERT(home.write_intent("customer/1", begun.m_version, now, actions));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.m_acknowledged.size());
        outcome done;
        done.m_execution_status = execution_status::done;
        done.m_body = std::move(body);
        home.finish("customer/1", begun.m_version, done, now, actions);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(partition_replica_test);

} // namespace peridotrudder
