#include "platform/wire_codec.hpp"

#include "peridotrudder/base/hash.hpp"
#include "property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace peridotrudder::platform {

namespace {

tl::expected<fleet_config, decode_error> decode_with(const std::string& fields)
{
    const auto text = R"({"version":7,"routes":[],"services":[])" + fields + "}";
    return decode_config(std::vector<std::uint8_t>{text.begin(), text.end()});
}

tl::expected<fleet_config, decode_error> decode_tenants(const std::string& tenants)
{
    return decode_with(R"(,"tenants":)" + tenants);
}

const std::string two_tenants =
    R"([{"name":"a","api-keys":["k1","k2"],"weight":2.5,"priority":3,)"
    R"("max-count":{"cpu":64000,"mem-mb":1024,"gpu":2}},{"name":"b","api-keys":["k3"]}])";

} // namespace

class tenant_codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(tenant_codec_test);
    CPPUNIT_TEST(tenants_are_read);
    CPPUNIT_TEST(absent_list_of_tenants_differs_from_an_empty_one);
    CPPUNIT_TEST(absent_fields_are_no_keys_and_no_limits);
    CPPUNIT_TEST(unknown_fields_are_ignored);
    CPPUNIT_TEST(malformed_tenant_rejects_the_configuration);
    CPPUNIT_TEST(error_names_the_field_and_not_its_value);
    CPPUNIT_TEST(public_queue_is_read);
    CPPUNIT_TEST(damaged_tenants_are_decoded_without_a_crash);
    CPPUNIT_TEST_SUITE_END();

public:
    void tenants_are_read()
    {
        const auto config = decode_tenants(two_tenants);
        CPPUNIT_ASSERT(config.has_value());
        const auto& tenants = config->tenants();
        CPPUNIT_ASSERT(tenants.enabled());
        const auto* tenant = tenants.find_by_key(sha256_hex("k2"));
        CPPUNIT_ASSERT(tenant != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, tenant->m_name);
        CPPUNIT_ASSERT_EQUAL(2.5, tenant->m_weight);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{64'000}, tenant->m_quota.m_cpu_millis);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'024}, tenant->m_quota.m_memory_mb);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, tenant->m_quota.m_accelerators);
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, tenants.find_by_key(sha256_hex("k3"))->m_name);
        CPPUNIT_ASSERT(tenants.find_by_key("k1") == nullptr);
    }

    void absent_list_of_tenants_differs_from_an_empty_one()
    {
        CPPUNIT_ASSERT(!decode_with("")->tenants().enabled());
        CPPUNIT_ASSERT(!decode_tenants("null")->tenants().enabled());
        CPPUNIT_ASSERT(decode_tenants("[]")->tenants().enabled());
    }

    void absent_fields_are_no_keys_and_no_limits()
    {
        const auto config = decode_tenants(R"([{"name":"a"},{"name":"b","max-count":{"cpu":5}}])");
        CPPUNIT_ASSERT(config.has_value());
        const auto* without = config->tenants().find("a");
        CPPUNIT_ASSERT(without->m_key_digests.empty());
        CPPUNIT_ASSERT_EQUAL(0.0, without->m_weight);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, without->m_quota.m_cpu_millis);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, config->tenants().find("b")->m_quota.m_memory_mb);
    }

    void unknown_fields_are_ignored()
    {
        const auto config = decode_tenants(R"([{"name":"a","colour":1,"max-count":{"disk":9}}])");
        CPPUNIT_ASSERT(config.has_value());
        CPPUNIT_ASSERT(config->tenants().find("a") != nullptr);
    }

    // Half of a list would refuse tenants or drop quotas that the operator has declared.
    void malformed_tenant_rejects_the_configuration()
    {
        const std::vector<std::string> malformed{
            R"({"a":1})",
            R"("a")",
            R"([{}])",
            R"([{"name":""}])",
            R"([{"name":7}])",
            R"([null])",
            R"(["a"])",
            R"([{"name":"a","api-keys":"k1"}])",
            R"([{"name":"a","api-keys":["k1",7]}])",
            R"([{"name":"a","api-keys":[null]}])",
            R"([{"name":"a","api-keys":{"k1":1}}])",
            R"([{"name":"a","weight":-1}])",
            R"([{"name":"a","weight":1e300}])",
            R"([{"name":"a","weight":"2"}])",
            R"([{"name":"a","max-count":7}])",
            R"([{"name":"a","max-count":[]}])",
            R"([{"name":"a","max-count":{"cpu":-1}}])",
            R"([{"name":"a","max-count":{"mem-mb":9223372036854775807}}])",
            R"([{"name":"a","max-count":{"gpu":"2"}}])",
            R"([{"name":"a"},{"name":"b","weight":-1}])"};
        for (const auto& tenants : malformed) {
            CPPUNIT_ASSERT_MESSAGE(tenants, !decode_tenants(tenants).has_value());
        }
    }

    // The error is logged, and the value may be a key.
    void error_names_the_field_and_not_its_value()
    {
        for (const auto* tenants :
             {R"([{"name":"a","api-keys":"secret"}])", R"([{"name":"a","api-keys":["secret",7]}])",
              R"([{"name":"a","api-keys":{"secret":1}}])"}) {
            const auto config = decode_tenants(tenants);
            CPPUNIT_ASSERT(!config.has_value());
            CPPUNIT_ASSERT_EQUAL(std::string{"api-keys"}, config.error().m_field);
        }
    }

    void public_queue_is_read()
    {
        const auto config = decode_config([] {
            const std::string text =
                R"({"version":7,"routes":[{"name":"o","host":"h","path-prefix":"/o/",)"
                R"("service":"p","public":true},{"name":"c","host":"h","path-prefix":"/c/",)"
                R"("service":"p"}],"services":[{"name":"p"}],"tenants":[]})";
            return std::vector<std::uint8_t>{text.begin(), text.end()};
        }());
        CPPUNIT_ASSERT(config.has_value());
        CPPUNIT_ASSERT(config->match("h", "/o/")->m_public);
        CPPUNIT_ASSERT(!config->match("h", "/c/")->m_public);
    }

    void damaged_tenants_are_decoded_without_a_crash()
    {
        assert_property("damaged tenants", [] {
            auto text = two_tenants;
            const auto times = *rc::gen::inRange(1, 4);
            for (int time = 0; time < times; ++time) {
                text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
            }
            const auto config = decode_tenants(text);
            // Parentheses keep the evaluation short, which rapidcheck's operators do not.
            RC_ASSERT((!config || config->tenants().find_by_key("k1") == nullptr));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(tenant_codec_test);

} // namespace peridotrudder::platform
