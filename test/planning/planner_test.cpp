#include "peridotrudder/planning/planner.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

namespace peridotrudder {

namespace {

constexpr std::uint32_t slots_per_vm = 8;

/// Parameters of a simulation.
struct simulation_options {
    std::uint32_t m_held_slots{16};
    std::uint32_t m_vms_away{2};
    /// Whether racks of different zones have the same name.
    bool m_same_rack_names{false};
};

/// Simulates a pool of six VMs in three zones, a planner, and a platform that reboots VMs late or
/// not at all.
class maintenance_simulation {
public:
    explicit maintenance_simulation(const simulation_options& options = {}) : m_options{options}
    {
        for (int index = 0; index < 6; ++index) {
            listed_vm listed;
            listed.m_vm.m_id = fmt::format("vm-{}", index);
            listed.m_vm.m_zone = fmt::format("zone-{}", index % 3);
            listed.m_vm.m_rack = options.m_same_rack_names ? "rack" : fmt::format("rack-{}", index);
            listed.m_vm.m_slots = slots_per_vm;
            listed.m_vm.m_pool = "pool";
            listed.m_boot = 1;
            m_list.m_vms.push_back(listed);
        }
        fold(term_claimed{"planner", 0});
        m_term = m_state.term().m_number;
        plan();
        contract customer_contract;
        customer_contract.m_customer = "schools";
        customer_contract.m_api_key_sha256 = std::string(64, 'a');
        customer_contract.m_pools = {"pool"};
        customer_contract.m_capacity_slots = options.m_held_slots;
        customer_contract.m_vms_away = options.m_vms_away;
        customer_contract.m_time_to_wait = milliseconds{1'000};
        customer_contract.m_availability_ppm = 999'000;
        customer_contract.m_availability_window = milliseconds{60'000};
        customer_contract.m_retry_window = milliseconds{60'000};
        fold(contract_applied{customer_contract});
    }

    /// Plans one step and performs it. Returns which contract limit the plan violated, if any.
    std::optional<std::string> plan()
    {
        m_now += milliseconds{500};
        planner_inputs inputs;
        inputs.m_state = &m_state;
        inputs.m_now = m_now;
        inputs.m_burn_rates["schools"] = m_burn_rate;
        for (const auto& id : m_drained) {
            inputs.m_drains[id] = {true, true};
        }
        if (m_list_readable) {
            inputs.m_vms = m_list;
        }
        std::optional<std::string> violation;
        for (const auto& action : m_planner.plan(inputs)) {
            if (const auto* reboot = std::get_if<planned_reboot>(&action)) {
                m_requested_reboots.push_back(*reboot);
                continue;
            }
            const auto& body = std::get<planned_record>(action).m_body;
            if (const auto* change = std::get_if<vm_phase_changed>(&body)) {
                violation = violation ? violation : find_violation(*change);
            }
            fold(body);
        }
        return violation;
    }

    void inject_fault(int kind, std::size_t index)
    {
        auto& chosen = m_list.m_vms[index % m_list.m_vms.size()];
        const auto wave = fmt::format("wave-{}", m_waves);
        switch (kind) {
        case 0:
            chosen.m_leaving = !chosen.m_leaving;
            break;
        case 1:
            m_burn_rate = m_burn_rate > 0 ? 0 : 100;
            break;
        case 2:
            m_list_readable = !m_list_readable;
            break;
        case 3:
            fold(wave_cancelled{wave});
            break;
        case 4:
        case 5:
            fold(wave_declared{{fmt::format("wave-{}", ++m_waves), "pool"}});
            break;
        case 6:
        case 7:
            m_drained.insert(chosen.m_vm.m_id);
            break;
        default:
            perform_reboots();
        }
    }

    /// Performs the requested reboots, each only if the boot generation still matches.
    void perform_reboots()
    {
        for (const auto& requested : m_requested_reboots) {
            for (auto& listed : m_list.m_vms) {
                if (listed.m_vm.m_id == requested.m_vm && listed.m_boot == requested.m_boot) {
                    ++listed.m_boot;
                    m_drained.erase(requested.m_vm);
                }
            }
        }
        m_requested_reboots.clear();
    }

    /// Ends all faults and runs until all waves have finished.
    void finish_waves()
    {
        m_burn_rate = 0;
        m_list_readable = true;
        for (auto& listed : m_list.m_vms) {
            listed.m_leaving = false;
        }
        for (int round = 0; round < 200; ++round) {
            plan();
            for (const auto& [id, entry] : m_state.vms()) {
                if (entry.m_phase == vm_phase::draining) {
                    m_drained.insert(id);
                }
            }
            m_now += milliseconds{5'000};
            perform_reboots();
        }
    }

    const fleet_state& state() const { return m_state; }
    const vm_list& list() const { return m_list; }

    void fold(record_body body)
    {
        record new_record;
        new_record.m_id = fmt::format("id-{}", m_state.next_offset());
        new_record.m_author = "planner";
        new_record.m_term = m_term;
        new_record.m_based_on = m_state.next_offset();
        new_record.m_body = std::move(body);
        m_state.fold(m_state.next_offset(), new_record);
    }

private:
    /// Checks a change against the contract limits, counting independently of the planner.
    std::optional<std::string> find_violation(const vm_phase_changed& change)
    {
        if (change.m_to == vm_phase::away && m_drained.count(change.m_vm) == 0) {
            return change.m_vm + " was stopped before it was drained";
        }
        if (change.m_to != vm_phase::draining) {
            return std::nullopt;
        }
        std::uint32_t away = 1;
        std::uint32_t serving = 0;
        std::set<std::string> zones{m_state.vms().at(change.m_vm).m_vm.m_zone};
        std::set<std::string> racks{m_state.vms().at(change.m_vm).m_vm.m_rack};
        for (const auto& listed : m_list.m_vms) {
            const auto& entry = m_state.vms().at(listed.m_vm.m_id);
            if (listed.m_vm.m_id == change.m_vm) {
                continue;
            }
            if (entry.m_phase == vm_phase::serving && !listed.m_leaving) {
                serving += slots_per_vm;
                continue;
            }
            ++away;
            zones.insert(listed.m_vm.m_zone);
            racks.insert(listed.m_vm.m_rack);
        }
        if (away > m_options.m_vms_away) {
            return fmt::format("{} VMs are away", away);
        }
        if (zones.size() > 1 || racks.size() > 1) {
            return "VMs of more than one zone or rack are away";
        }
        if (serving < m_options.m_held_slots) {
            return fmt::format("{} slots are left", serving);
        }
        if (m_burn_rate > 0) {
            return "a VM is drained while the burn rate is above zero";
        }
        return std::nullopt;
    }

    simulation_options m_options;
    time_point m_now{milliseconds{1'000'000}};
    planner m_planner;
    fleet_state m_state;
    std::uint64_t m_term{0};
    vm_list m_list;
    bool m_list_readable{true};
    double m_burn_rate{0};
    std::set<std::string> m_drained;
    std::vector<planned_reboot> m_requested_reboots;
    int m_waves{0};
};

} // namespace

class planner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(planner_test);
    CPPUNIT_TEST(wave_reboots_each_vm_once);
    CPPUNIT_TEST(contract_limits_hold_under_any_faults);
    CPPUNIT_TEST(vm_listed_twice_is_added_once);
    CPPUNIT_TEST(unreadable_vm_list_stops_the_wave);
    CPPUNIT_TEST(cancelled_wave_gives_draining_vms_back);
    CPPUNIT_TEST_SUITE_END();

public:
    void wave_reboots_each_vm_once()
    {
        maintenance_simulation simulation;
        simulation.fold(wave_declared{{"wave", "pool"}});
        simulation.finish_waves();
        CPPUNIT_ASSERT(simulation.state().waves().at("wave").m_status == wave_status::finished);
        for (const auto& listed : simulation.list().m_vms) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(listed.m_vm.m_id, std::uint64_t{2}, listed.m_boot);
        }
    }

    void contract_limits_hold_under_any_faults()
    {
        CPPUNIT_ASSERT(rc::check("waves", [] {
            simulation_options options;
            options.m_held_slots = *rc::gen::element(16U, 32U, 40U);
            options.m_vms_away = *rc::gen::inRange(1U, 4U);
            options.m_same_rack_names = *rc::gen::arbitrary<bool>();
            maintenance_simulation simulation{options};
            const auto steps = *rc::gen::resize(
                200, rc::gen::arbitrary<std::vector<std::pair<std::uint8_t, std::uint8_t>>>());
            for (const auto& [kind, index] : steps) {
                if (kind % 16 < 9) {
                    simulation.inject_fault(kind % 16, index);
                    continue;
                }
                const auto violation = simulation.plan();
                if (violation) {
                    RC_FAIL(*violation);
                }
            }
            simulation.finish_waves();
            for (const auto& [id, wave] : simulation.state().waves()) {
                RC_ASSERT(wave.m_status != wave_status::running);
            }
            for (const auto& [id, entry] : simulation.state().vms()) {
                RC_ASSERT(entry.m_phase == vm_phase::serving);
            }
        }));
    }

    void vm_listed_twice_is_added_once()
    {
        fleet_state state;
        listed_vm duplicate;
        duplicate.m_vm.m_id = "vm-1";
        planner_inputs inputs;
        inputs.m_state = &state;
        inputs.m_vms = vm_list{{duplicate, duplicate}};
        planner tested_planner;
        const auto actions = tested_planner.plan(inputs);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
        const auto& body = std::get<planned_record>(actions[0]).m_body;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, std::get<vms_added>(body).m_vms.size());
    }

    void unreadable_vm_list_stops_the_wave()
    {
        maintenance_simulation simulation;
        simulation.fold(wave_declared{{"wave", "pool"}});
        simulation.inject_fault(2, 0);
        simulation.plan();
        CPPUNIT_ASSERT(simulation.state().vms().at("vm-0").m_phase == vm_phase::serving);
    }

    void cancelled_wave_gives_draining_vms_back()
    {
        maintenance_simulation simulation;
        simulation.fold(wave_declared{{"wave", "pool"}});
        simulation.plan();
        CPPUNIT_ASSERT(simulation.state().vms().at("vm-0").m_phase == vm_phase::draining);
        simulation.fold(wave_cancelled{"wave"});
        simulation.plan();
        CPPUNIT_ASSERT(simulation.state().vms().at("vm-0").m_phase == vm_phase::serving);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(planner_test);

} // namespace peridotrudder
