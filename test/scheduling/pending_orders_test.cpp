#include "owner_fixture.hpp"

#include <fmt/format.h>

namespace peridotrudder {

namespace {

constexpr std::uint32_t many_tasks = 20'000;
/// Far more than a fleet's workers answer at a time, and far fewer than a large job has tasks.
constexpr std::size_t most_under_way = 600;

} // namespace

/// An owner whose workers answer nothing, and one large job of small tasks.
class pending_orders_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(pending_orders_test);
    CPPUNIT_TEST(starts_of_a_large_job_wait_until_others_are_answered);
    CPPUNIT_TEST(tasks_are_placed_only_as_fast_as_workers_answer_starts);
    CPPUNIT_TEST(every_task_of_a_large_job_starts_once_as_workers_answer);
    CPPUNIT_TEST(starts_of_a_large_gang_wait_until_others_are_answered);
    CPPUNIT_TEST(stops_of_a_cancelled_large_job_wait_until_others_are_answered);
    CPPUNIT_TEST(stops_of_runs_of_an_unknown_job_wait_until_others_are_answered);
    CPPUNIT_TEST(start_is_not_sent_once_its_job_is_cancelled);
    CPPUNIT_TEST(deadline_of_a_start_counts_from_when_it_is_sent);
    CPPUNIT_TEST_SUITE_END();

public:
    // All starts of a large job were handed to the HTTP client at once, at 13 kB each.
    void starts_of_a_large_job_wait_until_others_are_answered()
    {
        owner_fixture owner;
        submit_small_tasks(owner);
        write_passes(owner, 40);
        CPPUNIT_ASSERT(!owner.m_starts.empty());
        CPPUNIT_ASSERT(owner.m_starts.size() <= most_under_way);
    }

    // Starts that wait are recorded, so a successor would have to ask for each of them.
    void tasks_are_placed_only_as_fast_as_workers_answer_starts()
    {
        owner_fixture owner;
        submit_small_tasks(owner);
        write_passes(owner, 40);
        const auto* submitted = owner.m_scheduler->mutable_state().m_job_store.find(job_id);
        CPPUNIT_ASSERT(submitted->placed_tasks() <= most_under_way);
    }

    void every_task_of_a_large_job_starts_once_as_workers_answer()
    {
        owner_fixture owner;
        for (int worker = 2; worker <= 4; ++worker) {
            owner.add_worker(fmt::format("i-{}", worker));
        }
        submit_small_tasks(owner);
        std::size_t answered = 0;
        do {
            owner.write();
            const auto sent = owner.m_starts.size();
            CPPUNIT_ASSERT(sent - answered <= most_under_way);
            for (; answered < sent; ++answered) {
                const auto [to, order] = owner.m_starts[answered];
                owner.answer_start(to, order, order_result::accepted);
            }
        } while (answered < owner.m_starts.size() || owner.m_scheduler->needs_write());
        CPPUNIT_ASSERT_EQUAL(std::size_t{many_tasks}, owner.m_starts.size());
        std::set<std::uint32_t> started;
        for (const auto& [to, order] : owner.m_starts) {
            started.insert(order.m_key.m_task.m_index);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{many_tasks}, started.size());
    }

    void starts_of_a_large_gang_wait_until_others_are_answered()
    {
        owner_fixture owner;
        submit_small_tasks(owner, true);
        write_passes(owner, 5);
        const auto* submitted = owner.m_scheduler->mutable_state().m_job_store.find(job_id);
        CPPUNIT_ASSERT_EQUAL(many_tasks, submitted->placed_tasks());
        CPPUNIT_ASSERT(!owner.m_starts.empty());
        CPPUNIT_ASSERT(owner.m_starts.size() <= most_under_way);
    }

    void stops_of_a_cancelled_large_job_wait_until_others_are_answered()
    {
        owner_fixture owner;
        submit_small_tasks(owner, true);
        start_all(owner);
        cancel(owner);
        CPPUNIT_ASSERT(!owner.m_stops.empty());
        CPPUNIT_ASSERT(owner.m_stops.size() <= most_under_way);
        // Also the stops that are repeated.
        owner.pass(milliseconds{2'000});
        owner.m_scheduler->tick(owner.m_now);
        CPPUNIT_ASSERT(owner.m_stops.size() <= most_under_way);
        std::set<std::uint32_t> stopped;
        for (std::size_t next = 0; next < owner.m_stops.size(); ++next) {
            const auto order = owner.m_stops[next];
            stopped.insert(order.m_key.m_task.m_index);
            owner.answer_stop(report_of(first_birth_ms), order, order_result::accepted);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{many_tasks}, stopped.size());
    }

    // A worker may list what a lost owner started for a job that was deleted since.
    void stops_of_runs_of_an_unknown_job_wait_until_others_are_answered()
    {
        owner_fixture owner;
        std::vector<running_entry> running;
        for (std::uint32_t index = 0; index < many_tasks; ++index) {
            running.push_back({{"fedcba9876543210", {0, 0, index}}, 1, "", 10, 0});
        }
        for (int hold = 0; hold < 3; ++hold) {
            owner.answer_hold_with(running, {});
            owner.pass(milliseconds{1'200});
        }
        CPPUNIT_ASSERT(!owner.m_stops.empty());
        CPPUNIT_ASSERT(owner.m_stops.size() <= most_under_way);
    }

    void start_is_not_sent_once_its_job_is_cancelled()
    {
        owner_fixture owner;
        submit_small_tasks(owner, true);
        owner.write();
        cancel(owner);
        const auto sent = owner.m_starts.size();
        for (std::size_t next = 0; next < sent; ++next) {
            const auto [to, order] = owner.m_starts[next];
            owner.answer_start(to, order, order_result::accepted);
        }
        for (std::size_t next = 0; next < owner.m_stops.size(); ++next) {
            const auto order = owner.m_stops[next];
            owner.answer_stop(report_of(first_birth_ms), order, order_result::accepted);
        }
        CPPUNIT_ASSERT_EQUAL(sent, owner.m_stops.size());
        CPPUNIT_ASSERT_EQUAL(sent, owner.m_starts.size());
        const auto* cancelled = owner.m_scheduler->mutable_state().m_job_store.find(job_id);
        CPPUNIT_ASSERT_EQUAL(sent, std::size_t{cancelled->placed_tasks()});
    }

    void deadline_of_a_start_counts_from_when_it_is_sent()
    {
        owner_fixture owner;
        submit_small_tasks(owner, true);
        owner.write();
        const auto [first_to, first_order] = owner.m_starts.front();
        owner.pass(milliseconds{500});
        owner.answer_start(first_to, first_order, order_result::accepted);
        const auto& last_order = owner.m_starts.back().second;
        CPPUNIT_ASSERT(last_order.m_deadline_ms >= first_order.m_deadline_ms + 400);
    }

private:
    static void submit_small_tasks(owner_fixture& owner, bool gang = false)
    {
        job_spec spec;
        spec.m_steps.emplace_back();
        spec.m_steps.front().m_count = many_tasks;
        spec.m_steps.front().m_gang = gang;
        owner.submit_job(job_id, spec);
    }

    /// Goes through so many placement passes and writes, as fast as the log answers.
    static void write_passes(owner_fixture& owner, int passes)
    {
        for (int pass = 0; pass < passes; ++pass) {
            owner.write();
        }
    }

    static void start_all(owner_fixture& owner)
    {
        owner.write();
        for (std::size_t next = 0; next < owner.m_starts.size(); ++next) {
            const auto [to, order] = owner.m_starts[next];
            owner.answer_start(to, order, order_result::accepted);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{many_tasks}, owner.m_starts.size());
    }

    static void cancel(owner_fixture& owner)
    {
        job_call call;
        call.m_kind = call_kind::cancel;
        call.m_host = "host";
        call.m_path = "/queue/" + job_id;
        owner.m_scheduler->take_call(2, call, owner.m_now);
        owner.write();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pending_orders_test);

} // namespace peridotrudder
