#include "peridotrudder/requests/partition_replica.hpp"
#include "requests/partition_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <random>

namespace rc {

template <>
struct Arbitrary<peridotrudder::simulation_step> {
    static Gen<peridotrudder::simulation_step> arbitrary()
    {
        using peridotrudder::simulation_step;
        return gen::build<simulation_step>(
            gen::set(&simulation_step::m_kind, gen::inRange<std::uint8_t>(0, 100)),
            gen::set(&simulation_step::m_first, gen::inRange<std::uint16_t>(0, 1'000)),
            gen::set(&simulation_step::m_second, gen::inRange<std::uint16_t>(0, 1'000)));
    }
};

} // namespace rc

namespace peridotrudder {

std::ostream& operator<<(std::ostream& out, const simulation_step& step)
{
    return out << '{' << int{step.m_kind} << ',' << step.m_first << ',' << step.m_second << '}';
}

namespace {

constexpr std::size_t steps_per_simulation = 600;

std::optional<std::string> run_simulation(const std::vector<simulation_step>& steps,
                                          broken_rule broken, std::size_t& runs)
{
    partition_simulation simulation{broken};
    for (const auto& step : steps) {
        simulation.apply_step(step);
    }
    simulation.settle();
    simulation.check_every_key_is_answered();
    runs += simulation.runs();
    return simulation.violation();
}

/// Returns whether random simulations with a broken rule violate a property.
bool is_detected(broken_rule broken)
{
    constexpr unsigned max_simulations = 3'000;
    for (unsigned seed = 1; seed <= max_simulations; ++seed) {
        std::mt19937 random{seed};
        std::vector<simulation_step> steps(steps_per_simulation);
        for (auto& step : steps) {
            step = {static_cast<std::uint8_t>(random() % 100),
                    static_cast<std::uint16_t>(random() % 1'000),
                    static_cast<std::uint16_t>(random() % 1'000)};
        }
        std::size_t runs = 0;
        if (run_simulation(steps, broken, runs)) {
            return true;
        }
    }
    return false;
}

view view_of(std::uint64_t number, const std::vector<std::string>& names)
{
    view created;
    created.m_number = number;
    for (const auto& name : names) {
        member added;
        added.m_entry = name;
        added.m_incarnation = name;
        added.m_zone = name;
        created.m_members.push_back(added);
    }
    return created;
}

} // namespace

class partition_replica_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(partition_replica_test);
    CPPUNIT_TEST(no_key_runs_twice_and_not_run_is_true_under_any_faults);
    CPPUNIT_TEST(oracle_detects_a_home_that_does_not_seal);
    CPPUNIT_TEST(oracle_detects_intents_without_copies);
    CPPUNIT_TEST(oracle_detects_holders_that_accept_intents_of_a_sealed_epoch);
    CPPUNIT_TEST(same_key_with_another_body_is_refused);
    CPPUNIT_TEST(repeated_call_gets_the_first_answer);
    CPPUNIT_TEST(long_answer_is_recorded_as_done_but_not_stored);
    CPPUNIT_TEST(record_expires_after_its_window);
    CPPUNIT_TEST(member_that_promised_a_later_epoch_does_not_open_an_earlier_one);
    CPPUNIT_TEST(loss_of_two_holders_leaves_unrecorded_keys_unknown_until_the_window_ends);
    CPPUNIT_TEST_SUITE_END();

public:
    void no_key_runs_twice_and_not_run_is_true_under_any_faults()
    {
        std::size_t runs = 0;
        const bool holds = rc::check("at most once", [&runs] {
            const auto steps = *rc::gen::resize(static_cast<int>(steps_per_simulation),
                                                rc::gen::arbitrary<std::vector<simulation_step>>());
            const auto violation = run_simulation(steps, broken_rule::none, runs);
            if (violation) {
                RC_FAIL(*violation);
            }
        });
        CPPUNIT_ASSERT(holds);
        // Without enough runs at the upstream, the check would prove nothing.
        CPPUNIT_ASSERT_MESSAGE(fmt::format("only {} runs", runs), runs > 200);
    }

    void oracle_detects_a_home_that_does_not_seal()
    {
        CPPUNIT_ASSERT(is_detected(broken_rule::no_seal));
    }

    void oracle_detects_intents_without_copies()
    {
        CPPUNIT_ASSERT(is_detected(broken_rule::no_copies));
    }

    void oracle_detects_holders_that_accept_intents_of_a_sealed_epoch()
    {
        CPPUNIT_ASSERT(is_detected(broken_rule::no_promise));
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

    void long_answer_is_recorded_as_done_but_not_stored()
    {
        auto home = make_single_home();
        run_key(home, std::string(100'000, 'a'));
        const auto begun = home.begin({"customer/1", "digest", window}, now);
        CPPUNIT_ASSERT(begun.m_verdict == begin_verdict::answered);
        CPPUNIT_ASSERT(begun.m_outcome->m_execution_status == execution_status::done);
        CPPUNIT_ASSERT(begun.m_outcome->m_refusal == refusal::answer_not_kept);
    }

    void record_expires_after_its_window()
    {
        auto home = make_single_home();
        run_key(home, "answer");
        replica_actions actions;
        home.tick(now + window, actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, home.size());
    }

    void member_that_promised_a_later_epoch_does_not_open_an_earlier_one()
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

    void loss_of_two_holders_leaves_unrecorded_keys_unknown_until_the_window_ends()
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
