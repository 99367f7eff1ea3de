#include "peridotrudder/entry/request_router.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <future>

namespace peridotrudder {

namespace {

record make_record(std::uint64_t offset, std::uint64_t term, record_body body)
{
    record value;
    value.m_id = std::to_string(offset);
    value.m_author = "planner";
    value.m_term = term;
    value.m_body = std::move(body);
    return value;
}

/// Returns a fleet with one VM in one pool and one entry, which is the home of every key.
fleet_state make_fleet()
{
    fleet_state state;
    state.fold(0, make_record(0, 0, term_claimed{"planner", 0}));
    vm worker;
    worker.m_id = "vm-1";
    worker.m_address = "127.0.0.1";
    worker.m_port = 1;
    worker.m_slots = 8;
    worker.m_pool = "pool";
    state.fold(1, make_record(1, 1, vms_added{{worker}}));
    member self;
    self.m_entry = "entry-1";
    self.m_incarnation = "self";
    state.fold(2, make_record(2, 1, entry_joined{self}));
    return state;
}

} // namespace

class request_router_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_router_test);
    CPPUNIT_TEST(state_is_applied_once_the_pool_queues_use_it);
    CPPUNIT_TEST(older_state_does_not_replace_a_newer_one);
    CPPUNIT_TEST(call_for_an_unknown_pool_is_not_run);
    CPPUNIT_TEST(worker_that_cannot_be_reached_did_not_run_the_call);
    CPPUNIT_TEST(call_without_a_serving_vm_ends_when_its_wait_is_over);
    CPPUNIT_TEST_SUITE_END();

public:
    void state_is_applied_once_the_pool_queues_use_it()
    {
        m_router.set_state(std::make_shared<const fleet_state>(make_fleet()), {});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, m_router.applied_offset());
    }

    void older_state_does_not_replace_a_newer_one()
    {
        m_router.set_state(std::make_shared<const fleet_state>(make_fleet()), {});
        m_router.set_state(std::make_shared<const fleet_state>(), {});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, m_router.applied_offset());
    }

    void call_for_an_unknown_pool_is_not_run()
    {
        const auto result = run(make_call("nowhere", ""));
        CPPUNIT_ASSERT(result.m_execution_status == execution_status::not_run);
        CPPUNIT_ASSERT(result.m_refusal == refusal::no_upstream);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_router.open_calls());
    }

    void worker_that_cannot_be_reached_did_not_run_the_call()
    {
        m_router.set_state(std::make_shared<const fleet_state>(make_fleet()), {});
        const auto result = run(make_call("pool", "key"));
        CPPUNIT_ASSERT(result.m_execution_status == execution_status::not_run);
        CPPUNIT_ASSERT(result.m_refusal == refusal::upstream_refused);
        CPPUNIT_ASSERT(!result.m_earlier_attempt_possible);
    }

    void call_without_a_serving_vm_ends_when_its_wait_is_over()
    {
        m_router.set_state(std::make_shared<const fleet_state>(make_fleet()), {"vm-1"});
        const auto result = run(make_call("pool", "key"));
        CPPUNIT_ASSERT(result.m_execution_status == execution_status::not_run);
        CPPUNIT_ASSERT(result.m_refusal == refusal::wait_exceeded);
    }

private:
    static call_ptr make_call(const std::string& pool, const std::string& key)
    {
        auto request = std::make_shared<call>();
        request->m_request_id = "request";
        request->m_customer = "schools";
        request->m_pool = pool;
        request->m_method = "POST";
        request->m_path = "/";
        request->m_idempotency_key = key;
        request->m_limits.m_retry_window = milliseconds{60'000};
        request->m_received = std::chrono::steady_clock::now();
        request->m_wait_until = request->m_received + milliseconds{300};
        return request;
    }

    /// Submits the call and ticks until it is answered.
    outcome run(const call_ptr& submitted)
    {
        std::promise<outcome> answered;
        auto future = answered.get_future();
        submitted->m_respond = [&answered](const outcome& result) { answered.set_value(result); };
        m_router.submit(submitted);
        while (future.wait_for(milliseconds{1}) != std::future_status::ready) {
            m_router.tick();
        }
        return future.get();
    }

    entry_metrics m_metrics;
    span_store m_spans{100};
    std::unique_ptr<http_client> m_upstreams{http_client::create()};
    request_router m_router{{"self", milliseconds{1'000}, [] { return two_choices(1); }},
                            {[](const std::string&, const peer_message&) { return false; },
                             m_upstreams.get(), &m_metrics, &m_spans}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_router_test);

} // namespace peridotrudder
