#include "peridotrudder/routing/slot_dispatcher.hpp"
#include "peridotrudder/routing/slot_holder.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <deque>

namespace peridotrudder {

namespace {

const std::vector<worker_slots> two_workers{{"vm-1", 8}, {"vm-2", 8}};

/// Simulates three entries and a dispatcher whose links delay and lose messages.
class lease_simulation {
public:
    lease_simulation()
    {
        m_dispatcher.set_workers(two_workers);
        for (int index = 0; index < 3; ++index) {
            m_holders.emplace_back("pool");
            m_queues.emplace_back();
        }
    }

    void apply_step(int kind, std::size_t entry, std::uint32_t amount)
    {
        auto& holder = m_holders[entry];
        m_now += milliseconds{amount % 30};
        switch (kind) {
        case 0:
            m_queues[entry].push({++m_ticket, static_cast<work_class>(amount % 3),
                                  m_now + milliseconds{60'000}, amount % 5 == 0});
            break;
        case 1:
            if (const auto vm = holder.acquire(m_now, [](std::string_view) { return true; })) {
                m_queues[entry].pop(true);
                m_running.emplace_back(entry, *vm);
            }
            break;
        case 2:
            if (!m_running.empty()) {
                const auto ended = m_running.begin() + amount % m_running.size();
                m_holders[ended->first].release(ended->second);
                m_running.erase(ended);
            }
            break;
        case 3:
            m_reports[entry].push_back(holder.make_report(m_now, m_queues[entry], 0));
            break;
        case 4:
            if (!m_reports[entry].empty()) {
                m_dispatcher.report(fmt::format("{}", entry), m_reports[entry].front(), m_now);
                m_reports[entry].pop_front();
            }
            break;
        case 5:
            for (const auto& grant : m_dispatcher.allocate_slots(m_now)) {
                m_grants[std::stoul(grant.m_to)].push_back(grant.m_grant);
            }
            break;
        case 6:
            if (!m_grants[entry].empty()) {
                holder.apply(m_grants[entry].front());
                m_grants[entry].pop_front();
            }
            break;
        case 7:
            if (!m_grants[entry].empty()) {
                m_grants[entry].pop_front();
            }
            break;
        case 8:
            holder.release_idle_slots(m_now);
            break;
        default:
            m_now += milliseconds{amount % 700};
        }
    }

    std::uint32_t leased(const std::string& vm) const
    {
        std::uint32_t sum = 0;
        for (const auto& holder : m_holders) {
            sum += holder.leased(vm, m_now);
        }
        return sum;
    }

private:
    time_point m_now{milliseconds{1'000'000}};
    slot_dispatcher m_dispatcher{"pool", "run-1", m_now};
    std::vector<slot_holder> m_holders;
    std::vector<work_queue> m_queues;
    std::uint64_t m_ticket{0};
    std::vector<std::pair<std::size_t, std::string>> m_running;
    std::map<std::size_t, std::deque<slot_report>> m_reports;
    std::map<std::size_t, std::deque<slot_grant>> m_grants;
};

slot_report make_report(std::uint32_t urgent, std::uint32_t archive, std::uint32_t long_work = 0)
{
    slot_report report;
    report.m_pool = "pool";
    report.m_sent_at = 1'000'000;
    report.m_waiting = {urgent, 0, archive};
    report.m_long_waiting = long_work;
    return report;
}

std::uint32_t granted_to(const std::vector<addressed_grant>& grants, const std::string& entry)
{
    std::uint32_t slots = 0;
    for (const auto& grant : grants) {
        for (const auto& worker : grant.m_grant.m_slots) {
            slots += grant.m_to == entry ? worker.m_slots : 0;
        }
    }
    return slots;
}

} // namespace

class slot_dispatcher_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(slot_dispatcher_test);
    CPPUNIT_TEST(valid_leases_never_exceed_a_workers_slots);
    CPPUNIT_TEST(urgent_demand_is_filled_before_archive_demand);
    CPPUNIT_TEST(equal_demands_get_equal_shares);
    CPPUNIT_TEST(long_work_never_gets_the_last_slots);
    CPPUNIT_TEST(new_dispatcher_holds_back_for_one_lease_time);
    CPPUNIT_TEST(slots_move_only_after_the_former_holder_confirmed);
    CPPUNIT_TEST(entry_without_a_dispatcher_uses_its_fixed_share);
    CPPUNIT_TEST(others_stop_archive_work_while_urgent_work_waits);
    CPPUNIT_TEST(slots_given_up_go_to_urgent_work_at_once);
    CPPUNIT_TEST(filling_never_exceeds_a_demand);
    CPPUNIT_TEST_SUITE_END();

public:
    void valid_leases_never_exceed_a_workers_slots()
    {
        CPPUNIT_ASSERT(rc::check("leases", [] {
            lease_simulation simulation;
            const auto steps = *rc::gen::resize(
                400, rc::gen::arbitrary<
                         std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint16_t>>>());
            for (const auto& [kind, entry, amount] : steps) {
                simulation.apply_step(kind % 10, entry % 3U, amount);
                RC_ASSERT(simulation.leased("vm-1") <= 8U);
                RC_ASSERT(simulation.leased("vm-2") <= 8U);
            }
        }));
    }

    void urgent_demand_is_filled_before_archive_demand()
    {
        auto dispatcher = make_dispatcher();
        dispatcher.report("a", make_report(0, 100), now);
        dispatcher.report("b", make_report(12, 0), now);
        const auto grants = dispatcher.allocate_slots(now);
        CPPUNIT_ASSERT_EQUAL(12U, granted_to(grants, "b"));
        CPPUNIT_ASSERT_EQUAL(4U, granted_to(grants, "a"));
    }

    void equal_demands_get_equal_shares()
    {
        auto dispatcher = make_dispatcher();
        dispatcher.report("a", make_report(0, 100), now);
        dispatcher.report("b", make_report(0, 100), now);
        const auto grants = dispatcher.allocate_slots(now);
        CPPUNIT_ASSERT_EQUAL(8U, granted_to(grants, "a"));
        CPPUNIT_ASSERT_EQUAL(8U, granted_to(grants, "b"));
    }

    void long_work_never_gets_the_last_slots()
    {
        auto dispatcher = make_dispatcher();
        dispatcher.report("a", make_report(0, 0, 100), now);
        const auto grants = dispatcher.allocate_slots(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, grants.size());
        CPPUNIT_ASSERT_EQUAL(12U, grants[0].m_grant.m_long_slots);
    }

    void new_dispatcher_holds_back_for_one_lease_time()
    {
        slot_dispatcher dispatcher{"pool", "run-1", now};
        dispatcher.set_workers(two_workers);
        dispatcher.report("a", make_report(5, 0), now);
        CPPUNIT_ASSERT(dispatcher.allocate_slots(now + slot_lease_time - milliseconds{1}).empty());
    }

    void slots_move_only_after_the_former_holder_confirmed()
    {
        auto dispatcher = make_dispatcher();
        dispatcher.report("a", make_report(0, 100), now);
        dispatcher.allocate_slots(now);
        dispatcher.report("b", make_report(16, 0), now);
        const auto unconfirmed = dispatcher.allocate_slots(now);
        CPPUNIT_ASSERT_EQUAL(0U, granted_to(unconfirmed, "b"));

        auto confirmation = make_report(0, 100);
        confirmation.m_applied_dispatcher = "run-1";
        for (const auto& grant : unconfirmed) {
            if (grant.m_to == "a") {
                confirmation.m_applied_grant = grant.m_grant.m_number;
            }
        }
        dispatcher.report("a", confirmation, now);
        CPPUNIT_ASSERT_EQUAL(16U, granted_to(dispatcher.allocate_slots(now), "b"));
    }

    void entry_without_a_dispatcher_uses_its_fixed_share()
    {
        slot_holder holder{"pool"};
        work_queue queue;
        const auto any_worker = [](std::string_view) { return true; };
        holder.set_fallback({{"vm-1", 2}});
        holder.make_report(now, queue, 0);
        CPPUNIT_ASSERT(!holder.acquire(now, any_worker));
        const auto later = now + milliseconds{200};
        CPPUNIT_ASSERT(holder.acquire(later, any_worker));
        CPPUNIT_ASSERT(holder.acquire(later, any_worker));
        CPPUNIT_ASSERT(!holder.acquire(later, any_worker));
    }

    void others_stop_archive_work_while_urgent_work_waits()
    {
        auto dispatcher = make_dispatcher();
        dispatcher.report("a", make_report(0, 100), now);
        dispatcher.allocate_slots(now);
        dispatcher.report("b", make_report(16, 0), now);
        for (const auto& grant : dispatcher.allocate_slots(now)) {
            CPPUNIT_ASSERT(grant.m_grant.m_priority_floor == work_class::urgent);
        }
    }

    void slots_given_up_go_to_urgent_work_at_once()
    {
        auto dispatcher = make_dispatcher();
        slot_holder holder{"pool"};
        dispatcher.report("a", make_report(0, 100), now);
        holder.apply(dispatcher.allocate_slots(now).front().m_grant);
        for (int count = 0; count < 16; ++count) {
            CPPUNIT_ASSERT(holder.acquire(now, [](std::string_view) { return true; }));
        }
        dispatcher.report("a", holder.make_report(now, {}, 0), now);
        dispatcher.report("b", make_report(1, 0), now);
        for (const auto& grant : dispatcher.allocate_slots(now)) {
            if (grant.m_to == "a") {
                holder.apply(grant.m_grant);
            }
        }
        holder.release("vm-2");
        holder.release_idle_slots(now);
        dispatcher.report("a", holder.make_report(now, {}, 0), now);
        CPPUNIT_ASSERT_EQUAL(1U, granted_to(dispatcher.allocate_slots(now), "b"));
    }

    void filling_never_exceeds_a_demand()
    {
        CPPUNIT_ASSERT(rc::check("fill", [] {
            const auto available = *rc::gen::inRange<std::uint32_t>(0, 200);
            const auto demands = *rc::gen::container<std::vector<std::uint32_t>>(
                5, rc::gen::inRange<std::uint32_t>(0, 60));
            std::vector<std::uint32_t> shares(demands.size(), 0);
            const auto remaining_slots = internal::fill_evenly(available, demands, shares);
            std::uint32_t sum = remaining_slots;
            for (std::size_t index = 0; index < shares.size(); ++index) {
                RC_ASSERT(shares[index] <= demands[index]);
                sum += shares[index];
            }
            RC_ASSERT(sum == available);
        }));
    }

private:
    const time_point now{milliseconds{1'000'000}};

    slot_dispatcher make_dispatcher() const
    {
        slot_dispatcher dispatcher{"pool", "run-1", now - slot_lease_time};
        dispatcher.set_workers(two_workers);
        return dispatcher;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slot_dispatcher_test);

} // namespace peridotrudder
