#include "peridotrudder/machines/worker_grade.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace peridotrudder {

namespace {

constexpr std::size_t workers = 10;
/// Longer than the longest term with its probation.
constexpr milliseconds long_time{64'000 + 20'000};

std::string name_of(std::size_t worker)
{
    return fmt::format("vm-{}", worker);
}

} // namespace

class worker_grade_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_grade_test);
    CPPUNIT_TEST(worker_that_fails_nearly_half_of_its_runs_is_reduced);
    CPPUNIT_TEST(worker_that_fails_now_and_then_stays_at_full);
    CPPUNIT_TEST(worker_that_fails_nearly_all_its_runs_is_out);
    CPPUNIT_TEST(reduced_worker_whose_runs_succeed_is_back_at_full);
    CPPUNIT_TEST(slow_worker_is_reduced);
    CPPUNIT_TEST(stragglers_that_end_last_reduced_their_worker);
    CPPUNIT_TEST(one_job_lowers_no_grade);
    CPPUNIT_TEST(failure_that_turns_out_to_be_the_tasks_fault_is_withdrawn);
    CPPUNIT_TEST(failures_of_most_workers_at_once_are_not_counted);
    CPPUNIT_TEST(slow_runs_on_most_workers_at_once_are_not_counted);
    CPPUNIT_TEST(at_most_half_of_the_pool_is_below_full);
    CPPUNIT_TEST(each_return_to_out_doubles_the_term_up_to_a_bound);
    CPPUNIT_TEST(probation_ends_after_good_runs_or_a_time);
    CPPUNIT_TEST(worker_that_flaps_is_out);
    CPPUNIT_TEST(one_outage_lowers_no_grade);
    CPPUNIT_TEST(outages_of_many_workers_at_once_took_the_first_ones_out);
    CPPUNIT_TEST(unanswered_starts_count_less_than_refused_ones);
    CPPUNIT_TEST(change_has_its_evidence);
    CPPUNIT_TEST(records_of_idle_workers_are_dropped);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_grades = {};
        m_grades.set_pool_size(workers);
        // All workers are known to be sound.
        for (std::size_t worker = 0; worker < workers; ++worker) {
            succeed(name_of(worker), 8);
        }
    }

    void worker_that_fails_nearly_half_of_its_runs_is_reduced()
    {
        for (int run = 0; run < 4; ++run) {
            fail("vm-1", 1);
            succeed("vm-1", 1);
        }
        CPPUNIT_ASSERT(grade("vm-1") == worker_grade::reduced);
        CPPUNIT_ASSERT(grade("vm-2") == worker_grade::full);
    }

    // Guards against workers that are used less because of failures that any worker has.
    void worker_that_fails_now_and_then_stays_at_full()
    {
        for (int round = 0; round < 100; ++round) {
            succeed("vm-1", 19);
            fail("vm-1", 1);
        }
        CPPUNIT_ASSERT(grade("vm-1") == worker_grade::full);
    }

    void worker_that_fails_nearly_all_its_runs_is_out()
    {
        fail("vm-1", 16);
        CPPUNIT_ASSERT(grade("vm-1") == worker_grade::out);
    }

    void reduced_worker_whose_runs_succeed_is_back_at_full()
    {
        fail("vm-1", 3);
        CPPUNIT_ASSERT(grade("vm-1") == worker_grade::reduced);
        succeed("vm-1", 20);
        CPPUNIT_ASSERT(grade("vm-1") == worker_grade::full);
    }

    void slow_worker_is_reduced()
    {
        be_slow("vm-1", 16);
        CPPUNIT_ASSERT(grade("vm-1") == worker_grade::reduced);
    }

    // The last runs of a peak are its stragglers, with no other runs between them.
    void stragglers_that_end_last_reduced_their_worker()
    {
        succeed("vm-1", 16);
        be_slow("vm-1", 4);
        CPPUNIT_ASSERT(grade("vm-1") == worker_grade::full);
    }

    // Guards against workers that are blamed for one job that fails, or is larger than others.
    void one_job_lowers_no_grade()
    {
        for (int run = 0; run < 20; ++run) {
            m_grades.run_failed("vm-1", "job", m_now);
            m_grades.run_succeeded("vm-2", "job", 3.0, m_now);
        }
        CPPUNIT_ASSERT(grade("vm-1") == worker_grade::full);
        CPPUNIT_ASSERT(grade("vm-2") == worker_grade::full);
    }

    void failure_that_turns_out_to_be_the_tasks_fault_is_withdrawn()
    {
        fail("vm-1", 2);
        CPPUNIT_ASSERT(grade("vm-1") == worker_grade::reduced);
        m_grades.withdraw_failure("vm-1", m_now);
        CPPUNIT_ASSERT(grade("vm-1") == worker_grade::full);
    }

    void failures_of_most_workers_at_once_are_not_counted()
    {
        for (int round = 0; round < 10; ++round) {
            for (std::size_t worker = 0; worker < workers; ++worker) {
                fail(name_of(worker), 1);
            }
        }
        CPPUNIT_ASSERT_EQUAL(workers, m_grades.count(worker_grade::full));
    }

    void slow_runs_on_most_workers_at_once_are_not_counted()
    {
        for (int round = 0; round < 20; ++round) {
            for (std::size_t worker = 0; worker < workers; ++worker) {
                be_slow(name_of(worker), 1);
            }
        }
        CPPUNIT_ASSERT_EQUAL(workers, m_grades.count(worker_grade::full));
    }

    void at_most_half_of_the_pool_is_below_full()
    {
        // One after the other, so that they don't seem to have a common cause.
        for (std::size_t worker = 0; worker < workers - 1; ++worker) {
            fail(name_of(worker), 16);
            m_now += milliseconds{11'000};
            m_grades.advance(m_now);
            CPPUNIT_ASSERT(m_grades.count(worker_grade::full) * 2 >= workers);
        }
        m_grades.set_pool_size(1);
        fail("vm-9", 16);
        CPPUNIT_ASSERT(grade("vm-9") == worker_grade::full);
    }

    // Guards against a worker that fails and works by turns and is tried anew each time.
    void each_return_to_out_doubles_the_term_up_to_a_bound()
    {
        fail("vm-1", 16);
        for (const int term_ms : {8'000, 16'000, 32'000, 64'000, 64'000}) {
            const milliseconds term{term_ms};
            CPPUNIT_ASSERT(grade("vm-1") == worker_grade::out);
            m_now += term - milliseconds{1};
            m_grades.advance(m_now);
            CPPUNIT_ASSERT(grade("vm-1") == worker_grade::out);
            m_now += milliseconds{1};
            m_grades.advance(m_now);
            CPPUNIT_ASSERT(grade("vm-1") == worker_grade::probation);
            succeed("vm-1", 3);
            fail("vm-1", 1);
        }
    }

    void probation_ends_after_good_runs_or_a_time()
    {
        begin_probation();
        succeed("vm-1", 7);
        CPPUNIT_ASSERT(grade("vm-1") == worker_grade::probation);
        succeed("vm-1", 1);
        CPPUNIT_ASSERT(grade("vm-1") == worker_grade::full);
        setUp();
        begin_probation();
        m_now += milliseconds{20'000};
        m_grades.advance(m_now);
        CPPUNIT_ASSERT(grade("vm-1") == worker_grade::full);
    }

    void worker_that_flaps_is_out()
    {
        go_down("vm-1");
        succeed("vm-1", 50);
        go_down("vm-1");
        CPPUNIT_ASSERT(grade("vm-1") == worker_grade::out);
        // It has passed its probation, and goes down again soon after.
        m_now += milliseconds{8'000};
        m_grades.advance(m_now);
        succeed("vm-1", 8);
        CPPUNIT_ASSERT(grade("vm-1") == worker_grade::full);
        go_down("vm-1");
        CPPUNIT_ASSERT(grade("vm-1") == worker_grade::out);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{16'000},
                             std::int64_t{m_grades.take_changes().back().m_term.count()});
    }

    void one_outage_lowers_no_grade()
    {
        go_down("vm-1");
        m_now += milliseconds{61'000};
        go_down("vm-1");
        CPPUNIT_ASSERT(grade("vm-1") == worker_grade::full);
    }

    // When the owner was cut off twice, the workers that it missed first were out.
    void outages_of_many_workers_at_once_took_the_first_ones_out()
    {
        for (int round = 0; round < 2; ++round) {
            for (std::size_t worker = 0; worker < workers; ++worker) {
                go_down(name_of(worker));
            }
            m_now += milliseconds{20'000};
        }
        CPPUNIT_ASSERT_EQUAL(workers, m_grades.count(worker_grade::full));
    }

    void unanswered_starts_count_less_than_refused_ones()
    {
        for (int start = 0; start < 3; ++start) {
            m_grades.start_refused("vm-1", next_job(), m_now);
            m_grades.start_unanswered("vm-2", next_job(), m_now);
        }
        CPPUNIT_ASSERT(grade("vm-1") == worker_grade::reduced);
        CPPUNIT_ASSERT(grade("vm-2") == worker_grade::full);
        m_grades.start_unanswered("vm-2", next_job(), m_now);
        CPPUNIT_ASSERT(grade("vm-2") == worker_grade::reduced);
    }

    void change_has_its_evidence()
    {
        fail("vm-1", 2);
        const auto changes = m_grades.take_changes();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"vm-1"}, changes.front().m_worker);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.front().m_evidence.m_failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, changes.front().m_evidence.m_outcomes);
        CPPUNIT_ASSERT(changes.front().m_evidence.m_failures >= 5.0);
        CPPUNIT_ASSERT(m_grades.take_changes().empty());
    }

    // Guards against memory for each worker that ever was.
    void records_of_idle_workers_are_dropped()
    {
        fail("vm-1", 16);
        for (int round = 0; round < 12; ++round) {
            m_now += long_time;
            m_grades.advance(m_now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_grades.count(worker_grade::full));
    }

private:
    worker_grades m_grades;
    time_point m_now{milliseconds{1'000'000}};
    int m_jobs{0};

    worker_grade grade(const std::string& worker) const { return m_grades.grade_of(worker); }
    std::string next_job() { return fmt::format("job-{}", m_jobs++); }

    void succeed(const std::string& worker, int runs)
    {
        for (int run = 0; run < runs; ++run) {
            m_grades.run_succeeded(worker, next_job(), 0.9, m_now);
        }
    }

    void be_slow(const std::string& worker, int runs)
    {
        for (int run = 0; run < runs; ++run) {
            m_grades.run_succeeded(worker, next_job(), 2.5, m_now);
        }
    }

    void fail(const std::string& worker, int runs)
    {
        for (int run = 0; run < runs; ++run) {
            m_grades.run_failed(worker, next_job(), m_now);
        }
    }

    void go_down(const std::string& worker) { m_grades.went_down(worker, m_now); }

    void begin_probation()
    {
        fail("vm-1", 16);
        m_now += milliseconds{8'000};
        m_grades.advance(m_now);
        CPPUNIT_ASSERT(grade("vm-1") == worker_grade::probation);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_grade_test);

} // namespace peridotrudder
