#include "scheduling/owner_fixture.hpp"

#include <fmt/format.h>

namespace peridotrudder {

/// What an owner does in one turn of its loop is bounded, however large the fleet is.
class bounded_turns_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(bounded_turns_test);
    CPPUNIT_TEST(one_pass_starts_a_bounded_number_of_tasks);
    CPPUNIT_TEST(full_pool_takes_no_starts_from_another);
    CPPUNIT_TEST(first_holds_are_sent_in_bounded_numbers);
    CPPUNIT_TEST_SUITE_END();

    owner_fixture m_owner;

    /// Submits jobs of 100 tiny tasks each.
    void submit_jobs(std::uint32_t count)
    {
        for (std::uint32_t number = 0; number < count; ++number) {
            job_call call{call_kind::submit, "host", fmt::format("/queue/{:016x}", number),
                          job_spec{}, std::nullopt};
            step_spec step;
            step.m_count = 100;
            step.m_task_resources = {1, 1, 0};
            call.m_spec->m_steps.push_back(step);
            m_owner.m_scheduler->take_call(number, call, m_owner.m_now);
        }
    }

    /// Adds workers that answer no start.
    void add_workers(std::uint32_t count)
    {
        for (std::uint32_t number = 0; number < count; ++number) {
            m_owner.add_worker(fmt::format("w-{:03}", number));
        }
    }

    /// Returns how many tasks of all jobs have a run after the next pass.
    std::size_t count_placed_after_write()
    {
        m_owner.write();
        std::size_t placed = 0;
        for (const auto& [id, submitted] : m_owner.m_scheduler->state().m_job_store.jobs()) {
            placed += submitted.placed_tasks();
        }
        return placed;
    }

public:
    // A successor placed the tasks of a whole fleet in one turn, and sent no heartbeat meanwhile.
    void one_pass_starts_a_bounded_number_of_tasks()
    {
        add_workers(40);
        submit_jobs(25);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1'100}, count_placed_after_write());
        CPPUNIT_ASSERT(m_owner.m_scheduler->needs_write());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2'200}, count_placed_after_write());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2'500}, count_placed_after_write());
        CPPUNIT_ASSERT(!m_owner.m_scheduler->needs_write());
    }

    // The bound holds for each pool, or the first one's backlog would delay all others.
    void full_pool_takes_no_starts_from_another()
    {
        queue_config queue;
        queue.m_host = "host";
        queue.m_prefix = "/queue/";
        queue.m_pool = "pool";
        auto other = queue;
        other.m_prefix = "/other/";
        other.m_pool = "z-pool";
        m_owner.m_scheduler->set_config(fleet_config::create(
            2, {queue, other}, {{"pool", false, false}, {"z-pool", false, false}}));
        auto report = report_of(first_birth_ms, "z-1");
        report.m_pool = "z-pool";
        m_owner.m_scheduler->worker_listed(report, m_owner.m_now);
        m_owner.answer_hold_with({}, {}, first_birth_ms, "z-1");
        add_workers(40);
        submit_jobs(25);
        job_call call{call_kind::submit, "host", "/other/fedcba9876543210", job_spec{},
                      std::nullopt};
        call.m_spec->m_steps.emplace_back();
        call.m_spec->m_steps[0].m_task_resources = {1, 1, 0};
        m_owner.m_scheduler->take_call(99, call, m_owner.m_now);
        const auto placed = count_placed_after_write();
        CPPUNIT_ASSERT(placed > 500 && placed <= 1'100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_owner.running_on("z-1").size());
    }

    // The answers of a whole fleet, which list all its runs, kept the loop busy in one go.
    void first_holds_are_sent_in_bounded_numbers()
    {
        for (std::uint32_t number = 0; number < 120; ++number) {
            m_owner.m_scheduler->worker_listed(
                report_of(first_birth_ms, fmt::format("w-{:03}", number)), m_owner.m_now);
        }
        m_owner.m_holds.clear();
        for (const std::size_t sent : {50U, 100U, 120U}) {
            m_owner.m_scheduler->tick(m_owner.m_now);
            CPPUNIT_ASSERT_EQUAL(sent, m_owner.m_holds.size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(bounded_turns_test);

} // namespace peridotrudder
