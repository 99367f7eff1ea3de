#include "peridotrudder/settings/entry_settings.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace peridotrudder {

namespace {

constexpr std::string_view valid_entry = R"([entry]
name = entry-1
zone = zone-a
region = region-1
address = 127.0.0.1
caller_port = 7001
operator_port = 7002
peer_port = 7003
platform_url = http://127.0.0.1:7000
cluster_token = 0123456789abcdef
operator_token = 0123456789abcdef
)";

constexpr std::string_view valid_contract = R"([contract.schools]
api_key_sha256 = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
pools = reports, status
capacity_slots = 8
vms_away = 1
time_to_wait_ms = 1700
availability_ppm = 999000
availability_window_s = 2592000
retry_window_s = 600
class = urgent
)";

std::string replaced(std::string_view text, std::string_view from, std::string_view to)
{
    std::string changed{text};
    changed.replace(changed.find(from), from.size(), to);
    return changed;
}

std::vector<settings_error> entry_errors(std::string_view text)
{
    const auto settings = read_entry_settings(*ini_reader::parse("entry.ini", text));
    return settings ? std::vector<settings_error>{} : settings.error();
}

std::vector<settings_error> contract_errors(std::string_view text)
{
    const auto contracts = read_contracts(*ini_reader::parse("contracts.ini", text));
    return contracts ? std::vector<settings_error>{} : contracts.error();
}

} // namespace

class entry_settings_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(entry_settings_test);
    CPPUNIT_TEST(valid_settings_are_read);
    CPPUNIT_TEST(unknown_key_is_rejected_with_its_line);
    CPPUNIT_TEST(port_out_of_range_is_reported_with_the_allowed_range);
    CPPUNIT_TEST(all_faults_are_reported_at_once);
    CPPUNIT_TEST(same_port_twice_is_a_contradiction);
    CPPUNIT_TEST(short_token_is_rejected);
    CPPUNIT_TEST(address_must_be_an_ip_number);
    CPPUNIT_TEST(wrong_encoding_is_rejected);
    CPPUNIT_TEST(valid_contract_is_read);
    CPPUNIT_TEST(two_customers_with_the_same_key_are_rejected);
    CPPUNIT_TEST(unknown_class_is_reported_with_the_allowed_ones);
    CPPUNIT_TEST(duplicate_key_is_rejected);
    CPPUNIT_TEST(any_text_is_read_or_rejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void valid_settings_are_read()
    {
        const auto settings = read_entry_settings(*ini_reader::parse("entry.ini", valid_entry));
        CPPUNIT_ASSERT(settings.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"zone-a"}, settings->m_zone);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{7003}, settings->m_peer_port);
    }

    void unknown_key_is_rejected_with_its_line()
    {
        const auto errors = entry_errors(std::string{valid_entry} + "colour = red\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errors.size());
        CPPUNIT_ASSERT(errors[0].m_fault == settings_fault::unknown_key);
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, errors[0].m_line);
        CPPUNIT_ASSERT_EQUAL(std::string{"colour"}, errors[0].m_key);
    }

    void port_out_of_range_is_reported_with_the_allowed_range()
    {
        const auto errors = entry_errors(replaced(valid_entry, "7001", "70010"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errors.size());
        CPPUNIT_ASSERT_EQUAL(
            std::string{"entry.ini:6: out_of_range [entry] caller_port (allowed: 1024 to 65535)"},
            to_text(errors[0]));
    }

    void all_faults_are_reported_at_once()
    {
        auto text = replaced(valid_entry, "7001", "many");
        text = replaced(text, "zone = zone-a\n", "");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, entry_errors(text).size());
    }

    void same_port_twice_is_a_contradiction()
    {
        const auto errors = entry_errors(replaced(valid_entry, "7002", "7001"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errors.size());
        CPPUNIT_ASSERT(errors[0].m_fault == settings_fault::contradiction);
    }

    void short_token_is_rejected()
    {
        const auto errors = entry_errors(
            replaced(valid_entry, "cluster_token = 0123456789abcdef", "cluster_token = x"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errors.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"cluster_token"}, errors[0].m_key);
    }

    void address_must_be_an_ip_number()
    {
        const auto errors =
            entry_errors(replaced(valid_entry, "address = 127.0.0.1", "address = localhost"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errors.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"address"}, errors[0].m_key);
    }

    void wrong_encoding_is_rejected()
    {
        const std::string utf16{"\xff\xfe[\0e\0n\0", 8};
        const std::string latin1 = "[entry]\nname = caf\xe9\n";
        CPPUNIT_ASSERT(!ini_reader::parse("a.ini", utf16));
        CPPUNIT_ASSERT(!ini_reader::parse("a.ini", latin1));
    }

    void valid_contract_is_read()
    {
        const auto contracts = read_contracts(*ini_reader::parse("contracts.ini", valid_contract));
        CPPUNIT_ASSERT(contracts.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, contracts->size());
        CPPUNIT_ASSERT_EQUAL(std::string{"status"}, contracts->front().m_pools[1]);
        CPPUNIT_ASSERT(contracts->front().m_class == work_class::urgent);
    }

    void two_customers_with_the_same_key_are_rejected()
    {
        const auto text = std::string{valid_contract} +
                          replaced(valid_contract, "contract.schools", "contract.parks");
        const auto errors = contract_errors(text);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errors.size());
        CPPUNIT_ASSERT(errors[0].m_fault == settings_fault::contradiction);
    }

    void unknown_class_is_reported_with_the_allowed_ones()
    {
        const auto errors =
            contract_errors(replaced(valid_contract, "class = urgent", "class = gold"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errors.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"urgent, normal, archive"}, errors[0].m_allowed);
    }

    void duplicate_key_is_rejected()
    {
        const auto errors = contract_errors(std::string{valid_contract} + "vms_away = 2\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errors.size());
        CPPUNIT_ASSERT(errors[0].m_fault == settings_fault::duplicate_key);
    }

    void any_text_is_read_or_rejected()
    {
        CPPUNIT_ASSERT(rc::check("any text", [](const std::string& text) {
            const auto reader = ini_reader::parse("any.ini", text);
            if (reader) {
                RC_ASSERT(!read_entry_settings(*reader).has_value());
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_settings_test);

} // namespace peridotrudder
