#include "peridotrudder/scheduling/leftover_runs.hpp"

#include "scheduling/owner_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

class leftover_runs_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(leftover_runs_test);
    CPPUNIT_TEST(record_of_an_ended_job_is_written_again_without_the_runs_of_a_predecessor);
    CPPUNIT_TEST(record_of_an_ended_job_is_written_again_without_the_runs_of_its_own_owner);
    CPPUNIT_TEST(run_that_is_noted_again_stays_in_the_record);
    CPPUNIT_TEST_SUITE_END();

    owner_fixture m_owner;
    std::map<std::string, keyed_record> m_written;
    const milliseconds m_longest{longest_leftover(lease_options{})};

    job_store& jobs() { return m_owner.m_scheduler->mutable_state().m_job_store; }

    /// Adds an ended job of a tenant.
    static job& add_ended_job(job_store& store, moment now)
    {
        job_header header;
        header.m_id = job_id;
        header.m_queue = owner_fixture::queue_at("/queue/");
        header.m_spec.m_steps.emplace_back();
        header.m_spec.m_steps.back().m_count = 1;
        header.m_tenant = job_tenant{"acme", false};
        auto& added = store.add(header);
        added.cancel(now.m_unix_ms);
        return added;
    }

    leftover_run leftover() const { return {{0, 0, 0}, 1, "i-9", m_owner.m_now.m_unix_ms, true}; }

    /// Writes a batch, and returns whether the job that a successor reads then has leftover runs.
    bool has_leftovers_after_write()
    {
        write(m_owner.m_scheduler->take_batch(m_owner.m_now).m_records);
        return read().jobs().at(job_id).has_leftovers();
    }

    void write(const std::vector<keyed_record>& records)
    {
        for (const auto& record : records) {
            m_written[record.m_key] = record;
        }
    }

    job_store read() const
    {
        std::vector<keyed_record> records;
        for (const auto& [key, record] : m_written) {
            records.push_back(record);
        }
        restore_report report;
        return job_store::restore(records, report);
    }

    void pass(milliseconds time)
    {
        m_owner.pass(time);
        m_owner.m_scheduler->tick(m_owner.m_now);
    }

    // Each successor charged the tenant anew for such runs, for as long as the job was kept.
    void record_of_an_ended_job_is_written_again_without_the_runs_of_a_predecessor()
    {
        job_store predecessor;
        add_ended_job(predecessor, m_owner.m_now).note_leftover(leftover());
        write(predecessor.take_changes());
        jobs() = read();
        m_owner.m_scheduler->begin(m_owner.m_now);
        pass(m_longest - milliseconds{1});
        CPPUNIT_ASSERT(!jobs().has_changes());
        pass(milliseconds{1});
        CPPUNIT_ASSERT(!has_leftovers_after_write());
        pass(2 * m_longest);
        CPPUNIT_ASSERT(!jobs().has_changes());
    }

    void record_of_an_ended_job_is_written_again_without_the_runs_of_its_own_owner()
    {
        add_ended_job(jobs(), m_owner.m_now).note_leftover(leftover());
        jobs().mark_changed(job_id);
        CPPUNIT_ASSERT(has_leftovers_after_write());
        pass(m_longest - milliseconds{1});
        CPPUNIT_ASSERT(!jobs().has_changes());
        pass(milliseconds{1});
        CPPUNIT_ASSERT(!has_leftovers_after_write());
    }

    void run_that_is_noted_again_stays_in_the_record()
    {
        add_ended_job(jobs(), m_owner.m_now).note_leftover(leftover());
        jobs().mark_changed(job_id);
        CPPUNIT_ASSERT(has_leftovers_after_write());
        pass(m_longest - milliseconds{1});
        m_owner.m_scheduler->runs().leftovers().note({job_id, {0, 0, 0}}, 1, "i-9", true,
                                                     m_owner.m_now);
        pass(milliseconds{1});
        CPPUNIT_ASSERT(has_leftovers_after_write());
        pass(2 * m_longest);
        CPPUNIT_ASSERT(!has_leftovers_after_write());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leftover_runs_test);

} // namespace peridotrudder
