#include "peridotrudder/jobs/job_cost.hpp"
#include "peridotrudder/jobs/job_store.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <fmt/format.h>
#include <malloc.h>

namespace peridotrudder {

namespace {

constexpr std::uint32_t many_tasks = 20'000;
constexpr int many_jobs = 60;
/// Less than a byte for each of the job's tasks.
constexpr std::size_t most_bytes_of_a_job = 16'384;

std::size_t allocated_bytes()
{
    return mallinfo2().uordblks;
}

/// One task every minute, from a day ahead.
job_spec scheduled_spec()
{
    job_spec spec;
    spec.m_steps.emplace_back();
    spec.m_recurrence = recurrence{many_tasks, 86'400'000, 60'000};
    return spec;
}

job_spec wide_spec()
{
    job_spec spec;
    spec.m_steps.emplace_back().m_count = many_tasks;
    return spec;
}

std::string id_of(int number)
{
    return fmt::format("{:016x}", number);
}

void add_jobs(job_store& store, const job_spec& spec)
{
    for (int number = 0; number < many_jobs; ++number) {
        store.add({id_of(number), {}, 5'000, spec, std::nullopt});
    }
}

} // namespace

/// The memory that accepted jobs take in their owner.
class job_memory_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_memory_test);
    CPPUNIT_TEST(occurrences_that_are_not_due_take_no_memory_each);
    CPPUNIT_TEST(tasks_that_wait_take_no_memory_each);
    CPPUNIT_TEST(successor_takes_no_more_memory_than_its_predecessor);
    CPPUNIT_TEST(occurrences_that_are_done_take_no_memory_each);
    CPPUNIT_TEST(job_takes_no_more_than_its_cost);
    CPPUNIT_TEST(sum_of_the_costs_follows_the_jobs);
    CPPUNIT_TEST_SUITE_END();

public:
    // Each accepted job took 4.6 MB, so a minute of submissions ended every owner for good.
    void occurrences_that_are_not_due_take_no_memory_each()
    {
        const auto before = allocated_bytes();
        job_store store;
        add_jobs(store, scheduled_spec());
        CPPUNIT_ASSERT(allocated_bytes() - before < many_jobs * most_bytes_of_a_job);
    }

    void tasks_that_wait_take_no_memory_each()
    {
        const auto before = allocated_bytes();
        job_store store;
        add_jobs(store, wide_spec());
        CPPUNIT_ASSERT(allocated_bytes() - before < many_jobs * most_bytes_of_a_job);
    }

    // The jobs are in the journal, so what ended one owner ended all that followed it.
    void successor_takes_no_more_memory_than_its_predecessor()
    {
        for (const auto& spec : {scheduled_spec(), wide_spec()}) {
            job_store predecessor;
            add_jobs(predecessor, spec);
            const auto records = predecessor.take_changes();
            const auto before = allocated_bytes();
            restore_report report;
            const auto successor = job_store::restore(records, report);
            CPPUNIT_ASSERT_EQUAL(std::size_t{many_jobs}, report.m_jobs);
            CPPUNIT_ASSERT(allocated_bytes() - before < many_jobs * most_bytes_of_a_job);
        }
    }

    void occurrences_that_are_done_take_no_memory_each()
    {
        const auto before = allocated_bytes();
        job_store store;
        auto& added = store.add({id_of(0), {}, 5'000, scheduled_spec(), std::nullopt});
        for (std::uint32_t occurrence = 0; occurrence + 1 < many_tasks; ++occurrence) {
            const task_ref ref{occurrence, 0, 0};
            const auto run = added.place(ref, {"i-1", 100});
            added.end(ref, run, run_end::done, "", 3, 6'000);
        }
        CPPUNIT_ASSERT(added.phase() == job_phase::active);
        // A note that each is done.
        CPPUNIT_ASSERT(allocated_bytes() - before < std::size_t{many_tasks} * 64);
    }

    void job_takes_no_more_than_its_cost()
    {
        job_spec many_steps;
        many_steps.m_steps.resize(5'000);
        for (auto& step : many_steps.m_steps) {
            step.m_depends_on.assign(5, 0);
            step.m_required_label.assign(100, 'x');
        }
        job_spec long_payload = wide_spec();
        long_payload.m_payload.assign(4'000, 'x');
        for (const auto& spec : {scheduled_spec(), wide_spec(), many_steps, long_payload}) {
            const auto before = allocated_bytes();
            job_store store;
            add_jobs(store, spec);
            store.take_changes();
            CPPUNIT_ASSERT(allocated_bytes() - before <= many_jobs * waiting_cost(spec));
        }
    }

    void sum_of_the_costs_follows_the_jobs()
    {
        job_store store;
        add_jobs(store, scheduled_spec());
        const auto all = many_jobs * waiting_cost(scheduled_spec());
        CPPUNIT_ASSERT_EQUAL(all, store.waiting_bytes());
        restore_report report;
        const auto restored = job_store::restore(store.take_changes(), report);
        CPPUNIT_ASSERT_EQUAL(all, restored.waiting_bytes());
        store.find(id_of(7))->cancel(6'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.expire(7'000).size());
        CPPUNIT_ASSERT_EQUAL(all - waiting_cost(scheduled_spec()), store.waiting_bytes());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_memory_test);

} // namespace peridotrudder
