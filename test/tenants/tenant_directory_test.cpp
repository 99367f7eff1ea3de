#include "peridotrudder/tenants/tenant_directory.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace peridotrudder {

class tenant_directory_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(tenant_directory_test);
    CPPUNIT_TEST(tenant_is_found_by_name_and_by_each_key);
    CPPUNIT_TEST(unknown_key_finds_no_tenant);
    CPPUNIT_TEST(key_of_two_tenants_belongs_to_the_first);
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
