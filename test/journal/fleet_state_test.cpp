#include "peridotrudder/journal/fleet_state.hpp"
#include "peridotrudder/journal/log_follower.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

namespace peridotrudder {

namespace {

constexpr std::uint64_t slots_per_vm = 8;

contract make_contract(const std::string& customer, std::uint32_t slots)
{
    contract value;
    value.m_customer = customer;
    value.m_api_key_sha256 = std::string(64, 'a');
    value.m_pools = {"pool-a"};
    value.m_capacity_slots = slots;
    value.m_vms_away = 1;
    value.m_time_to_wait = milliseconds{1'000};
    value.m_availability_ppm = 999'000;
    value.m_availability_window = milliseconds{60'000};
    value.m_retry_window = milliseconds{60'000};
    return value;
}

vm make_vm(int index)
{
    vm value;
    value.m_id = fmt::format("vm-{}", index);
    value.m_pool = index % 2 == 0 ? "pool-a" : "pool-b";
    value.m_slots = slots_per_vm;
    return value;
}

/// Appends records of any author and base offset to a log, and folds them.
class log_writer {
public:
    log_writer()
    {
        write(term_claimed{"planner", 0}, 0);
        vms_added added;
        for (int index = 0; index < 4; ++index) {
            added.m_vms.push_back(make_vm(index));
        }
        write(added, 1);
    }

    fold_result write(record_body body, std::uint64_t based_on, std::string author = "planner",
                      std::uint64_t term = 1)
    {
        record value;
        value.m_id = fmt::format("id-{}", m_log.size());
        value.m_author = std::move(author);
        value.m_based_on = based_on;
        value.m_term = term;
        value.m_body = std::move(body);
        return append(std::move(value));
    }

    fold_result append(record value)
    {
        const auto offset = m_log.size();
        m_log.push_back({offset, value});
        return m_state.fold(offset, value);
    }

    std::vector<logged_record> m_log;
    fleet_state m_state;
};

/// Reference model of a contract: the slots and version of the last accepted change.
struct expected_contract {
    std::uint32_t m_slots{0};
    std::uint64_t m_version{0};
};

std::string pool_of(const fleet_state& state, int index)
{
    return state.vms().at(fmt::format("vm-{}", index)).m_vm.m_pool;
}

vm_phase_changed make_change(int index, vm_phase from, vm_phase to, std::string to_pool)
{
    vm_phase_changed change;
    change.m_vm = fmt::format("vm-{}", index);
    change.m_from = from;
    change.m_to = to;
    change.m_to_pool = std::move(to_pool);
    return change;
}

} // namespace

class fleet_state_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fleet_state_test);
    CPPUNIT_TEST(second_of_two_racing_operators_gets_a_conflict);
    CPPUNIT_TEST(record_appended_twice_is_folded_once);
    CPPUNIT_TEST(contract_beyond_the_fleet_is_refused);
    CPPUNIT_TEST(contract_for_an_unknown_pool_is_refused);
    CPPUNIT_TEST(records_of_an_earlier_term_have_no_effect);
    CPPUNIT_TEST(wave_over_an_unknown_pool_is_refused);
    CPPUNIT_TEST(overlapping_waves_are_refused);
    CPPUNIT_TEST(cancel_of_a_cancelled_wave_is_refused);
    CPPUNIT_TEST(evicted_incarnation_cannot_join_again);
    CPPUNIT_TEST(restarted_entry_replaces_its_former_incarnation);
    CPPUNIT_TEST(contracts_match_the_reference_model_under_races);
    CPPUNIT_TEST(batches_and_snapshots_lead_to_the_same_state);
    CPPUNIT_TEST(vm_changes_its_pool_only_through_a_drain);
    CPPUNIT_TEST_SUITE_END();

public:
    void second_of_two_racing_operators_gets_a_conflict()
    {
        log_writer log;
        const auto read = log.m_state.next_offset();
        const auto first = log.write(contract_applied{make_contract("schools", 2)}, read, "one");
        const auto second = log.write(contract_applied{make_contract("schools", 3)}, read, "two");
        CPPUNIT_ASSERT(first.m_verdict == verdict::accepted);
        CPPUNIT_ASSERT(second.m_verdict == verdict::conflict);
        CPPUNIT_ASSERT_EQUAL(first.m_offset + 1, second.m_winning_version);
        CPPUNIT_ASSERT_EQUAL(2U, log.m_state.contracts().at("schools").m_contract.m_capacity_slots);
    }

    void record_appended_twice_is_folded_once()
    {
        log_writer log;
        record value;
        value.m_id = "once";
        value.m_based_on = log.m_state.next_offset();
        value.m_body = contract_applied{make_contract("schools", 2)};
        CPPUNIT_ASSERT(log.append(value).m_verdict == verdict::accepted);
        CPPUNIT_ASSERT(log.append(value).m_verdict == verdict::duplicate);
        CPPUNIT_ASSERT(log.m_state.result_of("once")->m_verdict == verdict::accepted);
    }

    void contract_beyond_the_fleet_is_refused()
    {
        log_writer log;
        const auto result =
            log.write(contract_applied{make_contract("schools", 2 * slots_per_vm + 1)}, 2);
        CPPUNIT_ASSERT(result.m_verdict == verdict::exceeds_fleet);
        CPPUNIT_ASSERT(log.m_state.contracts().empty());
    }

    void contract_for_an_unknown_pool_is_refused()
    {
        log_writer log;
        auto requested = make_contract("schools", 1);
        requested.m_pools = {"nowhere"};
        CPPUNIT_ASSERT(log.write(contract_applied{requested}, 2).m_verdict ==
                       verdict::unknown_object);
    }

    void records_of_an_earlier_term_have_no_effect()
    {
        log_writer log;
        log.write(term_claimed{"successor", 1}, 2, "successor");
        const auto late =
            log.write(make_change(0, vm_phase::serving, vm_phase::draining, ""), 2, "planner", 1);
        CPPUNIT_ASSERT(late.m_verdict == verdict::stale_term);
        CPPUNIT_ASSERT(log.m_state.vms().at("vm-0").m_phase == vm_phase::serving);
    }

    void wave_over_an_unknown_pool_is_refused()
    {
        log_writer log;
        CPPUNIT_ASSERT(log.write(wave_declared{{"w", "nowhere"}}, 2).m_verdict ==
                       verdict::unknown_object);
        CPPUNIT_ASSERT(log.m_state.waves().empty());
    }

    void overlapping_waves_are_refused()
    {
        log_writer log;
        log.write(wave_declared{{"first", "pool-a"}}, 2);
        CPPUNIT_ASSERT(log.write(wave_declared{{"second", "pool-a"}}, 2).m_verdict ==
                       verdict::conflict);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.m_state.waves().size());
    }

    void cancel_of_a_cancelled_wave_is_refused()
    {
        log_writer log;
        log.write(wave_declared{{"w", "pool-a"}}, 2);
        CPPUNIT_ASSERT(log.write(wave_cancelled{"w"}, 3).m_verdict == verdict::accepted);
        CPPUNIT_ASSERT(log.write(wave_cancelled{"w"}, 4).m_verdict == verdict::not_applicable);
    }

    void evicted_incarnation_cannot_join_again()
    {
        log_writer log;
        member self;
        self.m_entry = "entry-1";
        self.m_incarnation = "run-1";
        log.write(entry_joined{self}, 2);
        log.write(entry_left{"run-1"}, 3);
        CPPUNIT_ASSERT(log.write(entry_joined{self}, 4).m_verdict == verdict::not_applicable);
        CPPUNIT_ASSERT(log.m_state.current_view().m_members.empty());
    }

    void restarted_entry_replaces_its_former_incarnation()
    {
        log_writer log;
        member self;
        self.m_entry = "entry-1";
        self.m_incarnation = "run-1";
        log.write(entry_joined{self}, 2);
        self.m_incarnation = "run-2";
        log.write(entry_joined{self}, 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.m_state.current_view().m_members.size());
        CPPUNIT_ASSERT(log.m_state.current_view().find("run-2") != nullptr);
    }

    void contracts_match_the_reference_model_under_races()
    {
        CPPUNIT_ASSERT(rc::check("races", [] {
            log_writer log;
            std::map<std::string, expected_contract> model;
            const auto count = *rc::gen::inRange(1, 60);
            for (int step = 0; step < count; ++step) {
                const auto customer = fmt::format("customer-{}", *rc::gen::inRange(0, 3));
                const auto next = log.m_state.next_offset();
                const auto lag = *rc::gen::inRange<std::uint64_t>(0, 4);
                const auto based_on = next - std::min(lag, next);
                const bool removes = *rc::gen::inRange(0, 4) == 0;
                const auto slots = *rc::gen::inRange<std::uint32_t>(1, 12);
                const auto existing = model.find(customer);
                const bool conflicts =
                    existing != model.end() && existing->second.m_version > based_on;
                if (removes) {
                    log.write(contract_removed{customer}, based_on);
                    if (existing != model.end() && !conflicts) {
                        model.erase(existing);
                    }
                }
                else {
                    std::uint32_t held = slots;
                    for (const auto& [other, entry] : model) {
                        held += other == customer ? 0 : entry.m_slots;
                    }
                    log.write(contract_applied{make_contract(customer, slots)}, based_on);
                    if (!conflicts && held <= 2 * slots_per_vm) {
                        model[customer] = {slots, next + 1};
                    }
                }
                RC_ASSERT(log.m_state.contracts().size() == model.size());
                for (const auto& [name, expected] : model) {
                    const auto& entry = log.m_state.contracts().at(name);
                    RC_ASSERT(entry.m_contract.m_capacity_slots == expected.m_slots);
                    RC_ASSERT(entry.m_version == expected.m_version);
                }
            }
        }));
    }

    void batches_and_snapshots_lead_to_the_same_state()
    {
        CPPUNIT_ASSERT(rc::check("readers", [] {
            log_writer log;
            write_random_records(log);
            log_follower in_batches;
            const auto cut = *rc::gen::inRange<std::size_t>(0, log.m_log.size());
            in_batches.take({log.m_log.data(), cut});
            // A peer starts from the state at the cut, encoded as JSON.
            const auto copied = fleet_state::from_json(in_batches.state().to_json());
            RC_ASSERT(copied.has_value());
            log_follower from_snapshot;
            from_snapshot.adopt(*copied);
            // The second batch overlaps the first.
            const auto overlap = *rc::gen::inRange<std::size_t>(0, cut + 1);
            in_batches.take({log.m_log.data() + (cut - overlap), log.m_log.size() - cut + overlap});
            from_snapshot.take(log.m_log);
            RC_ASSERT(in_batches.state().to_json() == log.m_state.to_json());
            RC_ASSERT(from_snapshot.state().to_json() == log.m_state.to_json());
        }));
    }

    void vm_changes_its_pool_only_through_a_drain()
    {
        CPPUNIT_ASSERT(rc::check("pools", [] {
            log_writer log;
            const auto count = *rc::gen::inRange(1, 80);
            for (int step = 0; step < count; ++step) {
                const auto index = *rc::gen::inRange(0, 4);
                const auto before = log.m_state.vms().at(fmt::format("vm-{}", index));
                write_random_change(log, index);
                const auto& after = log.m_state.vms().at(before.m_vm.m_id);
                if (after.m_vm.m_pool != before.m_vm.m_pool) {
                    RC_ASSERT(before.m_phase != vm_phase::serving);
                    RC_ASSERT(after.m_phase == vm_phase::serving);
                    RC_ASSERT(after.m_vm.m_pool == before.m_to_pool);
                }
                for (int other = 0; other < 4; ++other) {
                    const auto pool = pool_of(log.m_state, other);
                    RC_ASSERT(pool == "pool-a" || pool == "pool-b");
                }
            }
        }));
    }

private:
    static void write_random_change(log_writer& log, int index)
    {
        const auto from = static_cast<vm_phase>(*rc::gen::inRange(0, 3));
        const auto to = static_cast<vm_phase>(*rc::gen::inRange(0, 3));
        const auto pool = *rc::gen::element<std::string>("", "pool-a", "pool-b");
        const auto term = *rc::gen::inRange<std::uint64_t>(1, 3);
        log.write(make_change(index, from, to, pool), log.m_state.next_offset(), "planner", term);
    }

    static void write_random_records(log_writer& log)
    {
        const auto count = *rc::gen::inRange(1, 60);
        for (int step = 0; step < count; ++step) {
            const auto next = log.m_state.next_offset();
            const auto number = *rc::gen::inRange(0, 4);
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                log.write(contract_applied{make_contract(fmt::format("c-{}", number), 2)}, next);
                break;
            case 1:
                write_random_change(log, number);
                break;
            case 2:
                log.write(wave_declared{{fmt::format("wave-{}", step), "pool-b"}}, next);
                break;
            case 3: {
                member self;
                self.m_entry = fmt::format("entry-{}", number);
                self.m_incarnation = fmt::format("run-{}", step);
                log.write(entry_joined{self}, next);
                break;
            }
            case 4:
                log.append(log.m_log[*rc::gen::inRange<std::size_t>(0, log.m_log.size())].m_record);
                break;
            default:
                log.write(term_claimed{"planner", log.m_state.term().m_number}, next);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_state_test);

} // namespace peridotrudder
