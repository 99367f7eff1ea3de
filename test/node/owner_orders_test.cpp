#include "fleet_owner_fixture.hpp"

namespace peridotrudder {

namespace {

/// An owner that has ordered the maintenance of an idle VM, again and again without success.
struct ordering_fixture : owner_fixture {
    ordering_fixture()
    {
        platform_vm listed;
        listed.m_id = "m-1";
        listed.m_pool = "pool";
        listed.m_state = platform_vm_state::up;
        listed.m_worker = "i-1";
        m_vms = {listed};
        m_topics["operators"]["wave/1"] = {1};
        serve();
        pass(milliseconds{2'000});
        CPPUNIT_ASSERT(m_vm_orders.size() > 1);
    }

    /// Replaces the owner by one that has no list of the VMs.
    void take_over()
    {
        m_vms.clear();
        m_owner = make_owner(8);
        m_owner->start();
        pass(milliseconds{100});
        CPPUNIT_ASSERT(m_owner->phase() == owner_phase::serving);
    }
};

} // namespace

class owner_orders_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(owner_orders_test);
    CPPUNIT_TEST(deposed_owner_sends_no_recorded_vm_order);
    CPPUNIT_TEST(refused_vm_order_is_sent_once_the_owner_has_a_proof_again);
    CPPUNIT_TEST(fenced_vm_order_lets_the_owner_find_its_successor);
    CPPUNIT_TEST(deposed_owner_stops_no_run);
    CPPUNIT_TEST(deposed_owner_reports_no_wave);
    CPPUNIT_TEST(successor_places_nothing_on_a_vm_with_an_open_order);
    CPPUNIT_TEST(successor_places_work_on_a_vm_whose_order_was_answered);
    CPPUNIT_TEST_SUITE_END();

public:
    void deposed_owner_sends_no_recorded_vm_order()
    {
        ordering_fixture it;
        it.m_log_up = false;
        it.pass(proof_limits{}.m_order + milliseconds{100});
        const auto orders = it.m_vm_orders.size();
        it.pass(milliseconds{5'000});
        CPPUNIT_ASSERT_EQUAL(orders, it.m_vm_orders.size());
    }

    void refused_vm_order_is_sent_once_the_owner_has_a_proof_again()
    {
        ordering_fixture it;
        it.m_log_up = false;
        it.pass(milliseconds{5'000});
        const auto orders = it.m_vm_orders.size();
        it.m_log_up = true;
        it.pass(milliseconds{1'000});
        CPPUNIT_ASSERT(it.m_vm_orders.size() > orders);
    }

    void fenced_vm_order_lets_the_owner_find_its_successor()
    {
        ordering_fixture it;
        it.pass(milliseconds{200});
        it.m_vm_result = vm_order_result::fenced;
        const auto orders = it.m_vm_orders.size();
        while (it.m_vm_orders.size() == orders) {
            it.pass(milliseconds{2});
        }
        it.m_epoch = 8;
        it.pass(milliseconds{30});
        CPPUNIT_ASSERT(it.m_ended);
    }

    void deposed_owner_stops_no_run()
    {
        owner_fixture it;
        it.serve();
        // The owner asks only workers at work for their runs.
        it.submit("0123456789abcdef");
        it.pass(milliseconds{100});
        it.m_log_up = false;
        it.pass(proof_limits{}.m_lease + milliseconds{500});
        // A run that no record tells of, which an owner stops.
        it.m_running.push_back({{"00000000000000ff", {0, 0, 0}}, 1, "", 0, 0});
        it.pass(milliseconds{3'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.m_stops.size());
        it.m_log_up = true;
        it.pass(milliseconds{3'000});
        CPPUNIT_ASSERT(!it.m_stops.empty());
    }

    void deposed_owner_reports_no_wave()
    {
        ordering_fixture it;
        const auto reports = it.m_wave_reports;
        CPPUNIT_ASSERT(reports > 0);
        it.m_vm_result = vm_order_result::impossible;
        it.m_log_up = false;
        it.pass(proof_limits{}.m_order);
        it.pass(milliseconds{1'000});
        const auto reports_without_proof = it.m_wave_reports;
        it.pass(milliseconds{3'000});
        CPPUNIT_ASSERT_EQUAL(reports_without_proof, it.m_wave_reports);
        it.m_log_up = true;
        it.pass(milliseconds{1'000});
        CPPUNIT_ASSERT(it.m_wave_reports > reports_without_proof);
    }

    void successor_places_nothing_on_a_vm_with_an_open_order()
    {
        ordering_fixture it;
        it.take_over();
        it.submit("0123456789abcdef");
        it.pass(vm_fleet_options{}.m_open_order_time - milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(0, it.m_starts);
        it.pass(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(1, it.m_starts);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.m_topics["keyed.jobs"].count("vm-open/m-1"));
    }

    void successor_places_work_on_a_vm_whose_order_was_answered()
    {
        ordering_fixture it;
        it.m_vm_result = vm_order_result::done;
        it.pass(milliseconds{500});
        it.take_over();
        it.submit("0123456789abcdef");
        it.pass(milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(1, it.m_starts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(owner_orders_test);

} // namespace peridotrudder
