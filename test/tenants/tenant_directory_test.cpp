#include "peridotrudder/tenants/quota_ledger.hpp"
#include "peridotrudder/tenants/tenant_directory.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace peridotrudder {

class tenant_directory_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(tenant_directory_test);
    CPPUNIT_TEST(tenant_is_found_by_name_and_by_each_key);
    CPPUNIT_TEST(unknown_key_finds_no_tenant);
    CPPUNIT_TEST(key_of_two_tenants_belongs_to_the_first);
    CPPUNIT_TEST(entries_with_the_same_name_are_one_tenant);
    CPPUNIT_TEST(empty_list_of_tenants_differs_from_none);
    CPPUNIT_TEST(copy_of_a_directory_finds_its_own_tenants);
    CPPUNIT_TEST_SUITE_END();

    static tenant_config make(const std::string& name, std::vector<std::string> digests)
    {
        tenant_config tenant;
        tenant.m_name = name;
        tenant.m_key_digests = std::move(digests);
        return tenant;
    }

public:
    void tenant_is_found_by_name_and_by_each_key()
    {
        const auto directory = tenant_directory::create({make("a", {"1", "2"}), make("b", {"3"})});
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, directory.find_by_key("2")->m_name);
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, directory.find_by_key("3")->m_name);
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, directory.find("b")->m_name);
    }

    void unknown_key_finds_no_tenant()
    {
        const auto directory = tenant_directory::create({make("a", {"1"})});
        CPPUNIT_ASSERT(directory.find_by_key("2") == nullptr);
        CPPUNIT_ASSERT(directory.find_by_key("") == nullptr);
        CPPUNIT_ASSERT(directory.find("b") == nullptr);
    }

    void key_of_two_tenants_belongs_to_the_first()
    {
        const auto directory = tenant_directory::create({make("a", {"1"}), make("b", {"1"})});
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, directory.find_by_key("1")->m_name);
    }

    // Quotas were those of the last entry, weights for admission those of the first, and jobs came
    // under the name of either.
    void entries_with_the_same_name_are_one_tenant()
    {
        auto first = make("a", {"1"});
        first.m_weight = 4.0;
        first.m_quota = {2'000, 0, 0};
        auto second = make("a", {"2"});
        second.m_weight = 1.0;
        second.m_quota = {9'000, 0, 0};
        const auto directory = tenant_directory::create({first, make("b", {"3"}), second});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.tenants().size());
        CPPUNIT_ASSERT(directory.find_by_key("2") == directory.find("a"));
        CPPUNIT_ASSERT_EQUAL(4.0, directory.find_by_key("2")->m_weight);
        CPPUNIT_ASSERT_EQUAL(4.0, directory.share_weight("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.repeated_names().size());
        CPPUNIT_ASSERT(tenant_directory::create({first}).repeated_names().empty());
        quota_ledger ledger;
        ledger.set_tenants(directory);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2'000}, ledger.account_of("a").m_quota.m_cpu_millis);
    }

    void empty_list_of_tenants_differs_from_none()
    {
        CPPUNIT_ASSERT(tenant_directory::create({}).enabled());
        CPPUNIT_ASSERT(!tenant_directory{}.enabled());
    }

    void copy_of_a_directory_finds_its_own_tenants()
    {
        auto original =
            std::make_unique<tenant_directory>(tenant_directory::create({make("a", {"1"})}));
        const auto copy = *original;
        original.reset();
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, copy.find_by_key("1")->m_name);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(tenant_directory_test);

} // namespace peridotrudder
