#include "peridotrudder/node/node_settings.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace peridotrudder {

namespace {

const std::string valid_settings = R"([node]
name = node-1
zone = north
cluster_token = a-token
[listen]
callers = 10.0.0.1:8624
ready = 10.0.0.1:8622
peers = 10.0.0.1:7060
metrics = 10.0.0.1:7075
[platform]
log = 10.0.1.1:8621
vm_control = 10.0.1.2:8621
policy =
[limits]
cpu_cores = 0.25
longest_lease_ms = 6000
grace_s = 6.0
retention_s = 120
vm_lease_ms = 3000
move_s = 1.5
maintenance_s = 2
)";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    CPPUNIT_ASSERT(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string first_fault(const std::string& text)
{
    const auto read = parse_node_settings("node.ini", text);
    return read ? "none" : std::string{to_string(read.error().front().m_fault)};
}

} // namespace

class node_settings_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(node_settings_test);
    CPPUNIT_TEST(valid_settings_are_read);
    CPPUNIT_TEST(far_factor_may_be_absent_or_empty);
    CPPUNIT_TEST(copies_use_the_share_of_a_pool_that_is_set);
    CPPUNIT_TEST(copies_and_grades_are_off_unless_set);
    CPPUNIT_TEST(workers_are_graded_where_the_platform_has_unhealthy_ones);
    CPPUNIT_TEST(wrong_or_missing_keys_are_reported);
    CPPUNIT_TEST(callers_limits_have_defaults_within_the_smallest_machine);
    CPPUNIT_TEST_SUITE_END();

public:
    void valid_settings_are_read()
    {
        const auto read = parse_node_settings("node.ini", valid_settings);
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"node-1"}, read->m_name);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{7060}, read->m_advertised_peers.m_port);
        const auto behind_proxy = parse_node_settings(
            "node.ini",
            replaced(valid_settings, "metrics =", "advertised_peers = 10.0.0.9:7061\nmetrics ="));
        CPPUNIT_ASSERT_EQUAL(std::string{"10.0.0.9"}, behind_proxy->m_advertised_peers.m_address);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{7060}, read->m_peers.m_port);
        CPPUNIT_ASSERT_EQUAL(250U, read->m_cpu_millis);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'500}, std::int64_t{read->m_move_time.count()});
        CPPUNIT_ASSERT(read->m_policy.empty());
    }

    // A node that sets neither would decide otherwise than before both existed.
    void copies_and_grades_are_off_unless_set()
    {
        for (const std::string lines : {"", "graded_health =\n"}) {
            const auto read = parse_node_settings("node.ini", valid_settings + lines);
            CPPUNIT_ASSERT(read.has_value());
            CPPUNIT_ASSERT_EQUAL(0U, read->m_copies_percent);
            CPPUNIT_ASSERT(!read->m_graded_health);
        }
        const auto listed = replaced(valid_settings, "[limits]\n", "features = health\n[limits]\n");
        CPPUNIT_ASSERT(!parse_node_settings("node.ini", listed)->m_graded_health);
    }

    void copies_use_the_share_of_a_pool_that_is_set()
    {
        const auto twentieth = std::string{valid_settings} + "copies_percent = 5\n";
        CPPUNIT_ASSERT_EQUAL(5U, parse_node_settings("node.ini", twentieth)->m_copies_percent);
        const auto off = std::string{valid_settings} + "copies_percent = 0\n";
        CPPUNIT_ASSERT_EQUAL(0U, parse_node_settings("node.ini", off)->m_copies_percent);
        CPPUNIT_ASSERT_EQUAL(std::string{"out_of_range"},
                             first_fault(std::string{valid_settings} + "copies_percent = 101\n"));
    }

    // Platforms without racks do not define the factor.
    void far_factor_may_be_absent_or_empty()
    {
        const auto factor_in = [](const std::string& line) {
            const auto read = parse_node_settings("node.ini", valid_settings + line);
            CPPUNIT_ASSERT(read.has_value());
            return read->m_far_factor;
        };
        CPPUNIT_ASSERT_EQUAL(1.0, factor_in(""));
        CPPUNIT_ASSERT_EQUAL(1.0, factor_in("far_factor =\n"));
        CPPUNIT_ASSERT_EQUAL(1.0, factor_in("far_factor = 0.5\n"));
        CPPUNIT_ASSERT_EQUAL(2.5, factor_in("far_factor = 2.5\n"));
        CPPUNIT_ASSERT_EQUAL(std::string{"wrong_type"},
                             first_fault(std::string{valid_settings} + "far_factor = twice\n"));
    }

    // How a platform writes a list into the settings is not known, nor whether it has the list.
    void workers_are_graded_where_the_platform_has_unhealthy_ones()
    {
        const auto is_graded = [](const std::string& features, const std::string& limits) {
            const auto text =
                replaced(valid_settings, "[limits]\n", features + "[limits]\n" + limits);
            const auto read = parse_node_settings("node.ini", text);
            CPPUNIT_ASSERT(read.has_value());
            return read->m_graded_health;
        };
        const std::string by_platform{"graded_health = platform\n"};
        CPPUNIT_ASSERT(!is_graded("", by_platform));
        CPPUNIT_ASSERT(!is_graded("features =\n", by_platform));
        CPPUNIT_ASSERT(!is_graded("features = {{contracts}}\n", by_platform));
        CPPUNIT_ASSERT(!is_graded("features = unhealthy, healthy, health-2\n", by_platform));
        for (const std::string list : {"health", "keyed, health", "[\"keyed\",\"health\"]",
                                       "['health', 'keyed']", "keyed health other"}) {
            CPPUNIT_ASSERT(is_graded("features = " + list + "\n", by_platform));
        }
        CPPUNIT_ASSERT(!is_graded("features = health\n", "graded_health = false\n"));
        CPPUNIT_ASSERT(is_graded("", "graded_health = true\n"));
        CPPUNIT_ASSERT_EQUAL(std::string{"wrong_type"},
                             first_fault(std::string{valid_settings} + "graded_health = yes\n"));
    }

    void wrong_or_missing_keys_are_reported()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"missing_key"},
                             first_fault(replaced(valid_settings, "name = node-1\n", "")));
        CPPUNIT_ASSERT_EQUAL(std::string{"wrong_type"},
                             first_fault(replaced(valid_settings, "10.0.0.1:8624", "10.0.0.1")));
        CPPUNIT_ASSERT_EQUAL(
            std::string{"wrong_type"},
            first_fault(replaced(valid_settings, "move_s = 1.5", "move_s = soon")));
        CPPUNIT_ASSERT_EQUAL(
            std::string{"unknown_key"},
            first_fault(replaced(valid_settings, "zone = north", "zone = north\nspeed = 2")));
    }

    // Guards against defaults that an ordinary caller or the smallest machine can't live with.
    void callers_limits_have_defaults_within_the_smallest_machine()
    {
        const auto read = parse_node_settings("node.ini", valid_settings);
        CPPUNIT_ASSERT(read->m_memory_bytes == std::size_t{160} * 1'048'576);
        CPPUNIT_ASSERT(read->m_max_body_bytes >= 262'144);
        CPPUNIT_ASSERT(read->m_max_header_bytes >= 8'192 + 16'384);
        CPPUNIT_ASSERT(read->m_max_connections >= 1'000);
        const auto small = parse_node_settings("node.ini", valid_settings + "max_fds = 256\n");
        CPPUNIT_ASSERT(small->m_max_connections == 64);
        // A cluster of several hundred nodes may open all its links at once.
        CPPUNIT_ASSERT(read->m_max_handshakes >= 500);
        CPPUNIT_ASSERT_EQUAL(std::string{"out_of_range"},
                             first_fault(valid_settings + "memory_mb = 1\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_settings_test);

} // namespace peridotrudder
