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
    CPPUNIT_TEST_SUITE_END();

    log_store m_log;
    vm_pools m_pools{make_options(), m_log, [](const worker_event&) {}};

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
};

CPPUNIT_TEST_SUITE_REGISTRATION(vm_pools_test);

} // namespace standins
