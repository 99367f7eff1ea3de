#include "peridotrudder/jobs/job_store.hpp"

#include "peridotrudder/base/packed_cbor.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

const std::string some_id{"0123456789abcdef"};

/// The immutable part of a job's record as versions without tenants wrote it.
struct header_without_tenant {
    std::string m_id;
    queue_config m_queue;
    std::int64_t m_accepted_ms{0};
    job_spec m_spec;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("id", self.m_id);
        archive.field("queue", self.m_queue);
        archive.field("accepted_ms", self.m_accepted_ms);
        archive.field("spec", self.m_spec);
    }
};

job_spec make_spec()
{
    job_spec spec;
    spec.m_steps.emplace_back();
    spec.m_steps.back().m_task_resources.m_cpu_millis = 500;
    return spec;
}

job_header make_header(std::optional<job_tenant> tenant)
{
    return {some_id, {}, 5'000, make_spec(), std::move(tenant)};
}

job_store restored(const std::vector<keyed_record>& records)
{
    restore_report report;
    auto store = job_store::restore(records, report);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.m_jobs);
    CPPUNIT_ASSERT(report.m_damaged.empty());
    return store;
}

} // namespace

class job_store_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_store_test);
    CPPUNIT_TEST(tenant_survives_takeovers);
    CPPUNIT_TEST(job_without_a_tenant_stays_without_one);
    CPPUNIT_TEST(record_of_a_version_without_tenants_is_read);
    CPPUNIT_TEST(record_with_a_tenant_is_read_by_a_version_without_tenants);
    CPPUNIT_TEST_SUITE_END();

public:
    void tenant_survives_takeovers()
    {
        job_store first;
        first.add(make_header(job_tenant{"a", true}));
        auto records = first.take_changes();
        auto second = restored(records);
        // A later change writes only the state again.
        second.find(some_id)->cancel(9'000);
        second.mark_changed(some_id);
        for (const auto& record : second.take_changes()) {
            records.push_back(record);
        }
        auto third = restored(records);
        const auto& tenant = third.find(some_id)->header().m_tenant;
        CPPUNIT_ASSERT(tenant.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, tenant->m_name);
        CPPUNIT_ASSERT(tenant->m_excess);
        CPPUNIT_ASSERT(third.find(some_id)->phase() == job_phase::cancelled);
    }

    void job_without_a_tenant_stays_without_one()
    {
        job_store first;
        first.add(make_header({}));
        CPPUNIT_ASSERT(!restored(first.take_changes()).find(some_id)->header().m_tenant);
    }

    void record_of_a_version_without_tenants_is_read()
    {
        const header_without_tenant older{some_id, {}, 5'000, make_spec()};
        auto store = restored({{"job/" + some_id, to_packed_cbor(older), 0}});
        CPPUNIT_ASSERT(!store.find(some_id)->header().m_tenant);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5'000}, store.find(some_id)->header().m_accepted_ms);
    }

    // A rolling upgrade may take a node back to the version before.
    void record_with_a_tenant_is_read_by_a_version_without_tenants()
    {
        const auto record = to_packed_cbor(make_header(job_tenant{"a", false}));
        const auto read = from_packed_cbor<header_without_tenant>(record);
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(some_id, read->m_id);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_store_test);

} // namespace peridotrudder
