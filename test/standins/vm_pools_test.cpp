#include "standins/fleet/vm_pools.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace standins {

using nlohmann::json;
using peridotrudder::http_request;

class vm_pools_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(vm_pools_test);
    CPPUNIT_TEST(workers_are_published_in_the_log_but_the_spare_pool_has_none);
    CPPUNIT_TEST(a_move_kills_the_worker_and_starts_another_in_the_new_pool);
    CPPUNIT_TEST(a_crash_removes_the_worker_record_and_the_vm_comes_back_with_a_new_worker);
    CPPUNIT_TEST(a_restarted_worker_keeps_its_id_and_writes_its_entry_late);
    CPPUNIT_TEST(a_worker_restarts_under_its_id_while_its_vm_is_shown_as_down);
    CPPUNIT_TEST(the_entry_of_a_silent_worker_expires);
    CPPUNIT_TEST(a_worker_that_a_task_has_crashed_comes_back);
    CPPUNIT_TEST(runs_are_lost_in_a_crash_but_killed_by_a_move);
    CPPUNIT_TEST(a_changed_capacity_shows_with_the_next_heartbeat);
    CPPUNIT_TEST_SUITE_END();

    log_store m_log;
    std::vector<worker_event> m_events;
    vm_pools m_pools{make_options(), m_log,
                     [this](const worker_event& event) { m_events.push_back(event); }};

    static vm_pools_options make_options()
    {
        vm_pools_options options;
        options.m_first_port = 9'000;
        options.m_vms_per_pool = 1;
        options.m_pools = {"quick"};
        options.m_spare_pool = "spare";
        options.m_advertised_shift = 50;
        return options;
    }

    std::uint32_t move(const std::string& vm, const std::string& pool, std::int64_t now_ms)
    {
        http_request request;
        request.m_path = "/-/machine-move";
        request.m_body = json{{"machine", vm}, {"pool", pool}}.dump();
        return m_pools.answer(request, now_ms).m_status;
    }

    std::string worker_id_on(const std::string& vm)
    {
        const auto& worker = m_pools.vms().at(vm).m_worker;
        return worker ? worker->id() : "";
    }

    json entry_of(const std::string& worker_id) const
    {
        const auto entry = m_log.newest("keyed.servers", worker_id);
        return entry.empty() ? json{} : json::parse(entry);
    }

    stand_in_vm& first_vm() { return m_pools.vms().at("m-0000"); }

    void start_task(const std::string& spec, std::int64_t now_ms)
    {
        http_request request;
        request.m_path = "/-/run-start";
        request.m_body = json{
            {"task", "job.0.0.0"},
            {"run", 1},
            {"spec", spec},
            {"deadline-ms", 4'000},
            {"fence", 1}}.dump();
        first_vm().m_worker->answer(request, now_ms, [](const peridotrudder::http_response&) {});
    }

public:
    void workers_are_published_in_the_log_but_the_spare_pool_has_none()
    {
        m_pools.tick(0);

        const auto entry = json::parse(m_log.newest("keyed.servers", worker_id_on("m-0000")));
        CPPUNIT_ASSERT_EQUAL(std::string{"quick"}, entry["service"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string{"127.0.0.1:9050"}, entry["address"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string{}, worker_id_on("m-0001"));
    }

    void a_move_kills_the_worker_and_starts_another_in_the_new_pool()
    {
        m_pools.tick(0);
        CPPUNIT_ASSERT_EQUAL(200U, move("m-0001", "quick", 10));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a repeated move is accepted", 200U,
                                     move("m-0001", "quick", 20));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a moving VM cannot be moved again", 409U,
                                     move("m-0001", "spare", 30));
        m_pools.tick(1'509);
        CPPUNIT_ASSERT_EQUAL(std::string{}, worker_id_on("m-0001"));
        m_pools.tick(1'510);
        CPPUNIT_ASSERT(!worker_id_on("m-0001").empty());
    }

    void a_crash_removes_the_worker_record_and_the_vm_comes_back_with_a_new_worker()
    {
        m_pools.tick(0);
        const auto before = worker_id_on("m-0000");

        m_pools.crash(m_pools.vms().at("m-0000"), 100, 3'000);

        CPPUNIT_ASSERT_EQUAL(std::string{}, m_log.newest("keyed.servers", before));
        m_pools.tick(3'100);
        CPPUNIT_ASSERT(!worker_id_on("m-0000").empty());
        CPPUNIT_ASSERT(worker_id_on("m-0000") != before);
    }

    void a_restarted_worker_keeps_its_id_and_writes_its_entry_late()
    {
        m_pools.tick(1'000);
        const auto id = worker_id_on("m-0000");

        m_pools.restart(first_vm(), 1'100, {200, 500, -5'000, true});
        m_pools.tick(1'299);
        CPPUNIT_ASSERT_EQUAL(std::string{}, worker_id_on("m-0000"));
        m_pools.tick(1'300);
        CPPUNIT_ASSERT_EQUAL(id, worker_id_on("m-0000"));
        m_pools.tick(1'799);
        CPPUNIT_ASSERT_EQUAL(1'000, entry_of(id)["born"].get<int>());
        m_pools.tick(1'800);
        CPPUNIT_ASSERT_EQUAL(-3'700, entry_of(id)["born"].get<int>());
        CPPUNIT_ASSERT_EQUAL(1, entry_of(id)["sequence"].get<int>());
    }

    void a_worker_restarts_under_its_id_while_its_vm_is_shown_as_down()
    {
        m_pools.tick(0);
        const auto id = worker_id_on("m-0000");

        m_pools.restart(first_vm(), 100, {1'000, 500, 0, true, true});
        CPPUNIT_ASSERT_EQUAL(std::string{"down"}, first_vm().m_state);
        CPPUNIT_ASSERT(entry_of(id).is_null());
        m_pools.tick(1'099);
        CPPUNIT_ASSERT_EQUAL(std::string{}, worker_id_on("m-0000"));
        m_pools.tick(1'100);
        CPPUNIT_ASSERT_EQUAL(std::string{"up"}, first_vm().m_state);
        CPPUNIT_ASSERT_EQUAL(id, worker_id_on("m-0000"));
        CPPUNIT_ASSERT(entry_of(id).is_null());
        m_pools.tick(1'600);
        CPPUNIT_ASSERT(!entry_of(id).is_null());
    }

    void the_entry_of_a_silent_worker_expires()
    {
        m_pools.tick(0);
        const auto id = worker_id_on("m-0000");

        m_pools.restart(first_vm(), 100, {10'000, 0, 0, true});
        m_pools.tick(4'499);
        CPPUNIT_ASSERT(!entry_of(id).is_null());
        m_pools.tick(4'500);
        CPPUNIT_ASSERT(entry_of(id).is_null());
        m_pools.tick(10'100);
        CPPUNIT_ASSERT(!entry_of(id).is_null());
    }

    void a_worker_that_a_task_has_crashed_comes_back()
    {
        m_pools.tick(0);
        start_task(R"({"crashes":0})", 10);

        m_pools.tick(20);
        CPPUNIT_ASSERT_EQUAL(std::string{"crashed"}, m_events.back().m_kind);
        CPPUNIT_ASSERT_EQUAL(std::string{}, worker_id_on("m-0000"));
        m_pools.tick(2'520);
        CPPUNIT_ASSERT(!worker_id_on("m-0000").empty());
    }

    void runs_are_lost_in_a_crash_but_killed_by_a_move()
    {
        m_pools.tick(0);
        start_task("{}", 10);
        m_pools.crash(first_vm(), 20, 100);
        CPPUNIT_ASSERT_EQUAL(std::string{"lost"}, m_events.back().m_kind);

        m_pools.tick(120);
        start_task("{}", 130);
        m_pools.restart(first_vm(), 140, {100, 0, 0, true});
        CPPUNIT_ASSERT_EQUAL(std::string{"lost"}, m_events.back().m_kind);

        m_pools.tick(240);
        start_task("{}", 250);
        move("m-0000", "spare", 260);
        CPPUNIT_ASSERT_EQUAL(std::string{"killed"}, m_events.back().m_kind);
    }

    void a_changed_capacity_shows_with_the_next_heartbeat()
    {
        m_pools.tick(0);
        const auto id = worker_id_on("m-0000");

        m_pools.set_capacity(first_vm(), 100, 25);
        CPPUNIT_ASSERT_EQUAL(std::string{"capacity"}, m_events.back().m_kind);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4'000}, m_events.back().m_run);
        CPPUNIT_ASSERT_EQUAL(16'000, entry_of(id)["capacity"]["cpu"].get<int>());
        m_pools.tick(1'500);
        CPPUNIT_ASSERT_EQUAL(4'000, entry_of(id)["capacity"]["cpu"].get<int>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(vm_pools_test);

} // namespace standins
