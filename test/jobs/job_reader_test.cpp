#include "peridotrudder/jobs/job_reader.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>

namespace peridotrudder {

class job_reader_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_reader_test);
    CPPUNIT_TEST(each_step_restores_a_bounded_number_of_jobs);
    CPPUNIT_TEST(order_of_records_does_not_matter);
    CPPUNIT_TEST(other_records_are_passed_over_in_steps);
    CPPUNIT_TEST(reader_without_records_is_complete);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t job_count = 50;

    /// Records of jobs of which one task is placed.
    static std::vector<keyed_record> make_records()
    {
        restore_report report;
        auto store = job_store::restore({}, report);
        for (std::size_t number = 0; number < job_count; ++number) {
            job_header header;
            header.m_id = fmt::format("{:016x}", number);
            header.m_spec.m_steps.resize(1);
            header.m_spec.m_steps[0].m_task_resources.m_cpu_millis = 1'000;
            store.add(header).place({0, 0, 0}, {fmt::format("i-{}", number), 1});
        }
        return store.take_changes();
    }

    static void check(job_reader reader)
    {
        while (!reader.complete()) {
            reader.read(7);
        }
        CPPUNIT_ASSERT_EQUAL(job_count, reader.report().m_jobs);
        CPPUNIT_ASSERT(reader.report().m_damaged.empty());
        const auto store = reader.take_store();
        CPPUNIT_ASSERT_EQUAL(job_count, store.jobs().size());
        CPPUNIT_ASSERT(!store.has_changes());
        for (const auto& [id, restored] : store.jobs()) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, restored.placed_refs().size());
        }
    }

public:
    // A step without bound holds up the heartbeats of its process.
    void each_step_restores_a_bounded_number_of_jobs()
    {
        auto reader = job_reader::create(make_records());
        std::size_t before = 0;
        for (std::size_t steps = 0; !reader.complete(); ++steps) {
            CPPUNIT_ASSERT(steps < 2 * job_count);
            reader.read(7);
            CPPUNIT_ASSERT(reader.report().m_jobs - before <= 7);
            before = reader.report().m_jobs;
        }
        check(job_reader::create(make_records()));
    }

    // A state may come long before or after its header.
    void order_of_records_does_not_matter()
    {
        auto records = make_records();
        std::reverse(records.begin(), records.end());
        check(job_reader::create(records));
        std::sort(records.begin(), records.end(),
                  [](const auto& left, const auto& right) { return left.m_key < right.m_key; });
        check(job_reader::create(records));
        std::stable_partition(records.begin(), records.end(), [](const auto& record) {
            return record.m_key.rfind(job_records::state_prefix, 0) == 0;
        });
        check(job_reader::create(records));
    }

    // Many records that are no jobs take time too.
    void other_records_are_passed_over_in_steps()
    {
        std::vector<keyed_record> records;
        for (std::size_t number = 0; number < 1'000; ++number) {
            records.push_back({fmt::format("vm/{}", number), std::nullopt, 0});
        }
        auto reader = job_reader::create(records);
        std::size_t steps = 0;
        for (; !reader.complete(); ++steps) {
            CPPUNIT_ASSERT(steps < 1'000);
            const auto before = reader.records_left();
            reader.read(1);
            CPPUNIT_ASSERT(before - reader.records_left() <= 16);
        }
        CPPUNIT_ASSERT(steps > 60);
    }

    void reader_without_records_is_complete()
    {
        auto reader = job_reader::create({});
        CPPUNIT_ASSERT(reader.complete());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, reader.read(1));
        CPPUNIT_ASSERT(reader.take_store().jobs().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_reader_test);

} // namespace peridotrudder
