#include "peridotrudder/scheduling/pool_config.hpp"
#include "property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace peridotrudder {

namespace {

queue_config make_queue(const std::string& host, const std::string& prefix)
{
    queue_config queue;
    queue.m_host = host;
    queue.m_prefix = prefix;
    return queue;
}

/// Returns the prefix of the queue that takes the path, found by looking at each queue.
std::string longest_prefix(const fleet_config& config, const std::string& host,
                           const std::string& path)
{
    std::string longest{"none"};
    for (const auto& queue : config.queues()) {
        const bool matches = queue.m_host == host && path.rfind(queue.m_prefix, 0) == 0;
        if (matches && (longest == "none" || queue.m_prefix.size() > longest.size())) {
            longest = queue.m_prefix;
        }
    }
    return longest;
}

std::string matched_prefix(const fleet_config& config, const std::string& host,
                           const std::string& path)
{
    const auto* queue = config.match(host, path);
    return queue == nullptr ? "none" : queue->m_prefix;
}

} // namespace

class pool_config_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(pool_config_test);
    CPPUNIT_TEST(longest_prefix_takes_the_path);
    CPPUNIT_TEST(prefix_of_another_host_does_not_match);
    CPPUNIT_TEST(any_path_is_matched_as_by_looking_at_each_queue);
    CPPUNIT_TEST(queue_is_found_by_its_key);
    CPPUNIT_TEST(copy_of_a_configuration_finds_its_own_queues);
    CPPUNIT_TEST_SUITE_END();

public:
    void longest_prefix_takes_the_path()
    {
        const auto config = fleet_config::create(
            1, {make_queue("a", "/x/"), make_queue("a", "/x/y/"), make_queue("a", "/x/yz/")}, {});
        CPPUNIT_ASSERT_EQUAL(std::string{"/x/y/"}, matched_prefix(config, "a", "/x/y/1"));
        CPPUNIT_ASSERT_EQUAL(std::string{"/x/"}, matched_prefix(config, "a", "/x/y"));
        CPPUNIT_ASSERT_EQUAL(std::string{"/x/"}, matched_prefix(config, "a", "/x/z/1"));
        CPPUNIT_ASSERT_EQUAL(std::string{"none"}, matched_prefix(config, "a", "/y/1"));
    }

    void prefix_of_another_host_does_not_match()
    {
        const auto config = fleet_config::create(1, {make_queue("a", "/x/")}, {});
        CPPUNIT_ASSERT(config.match("b", "/x/1") == nullptr);
        CPPUNIT_ASSERT(config.match("", "/x/1") == nullptr);
    }

    void any_path_is_matched_as_by_looking_at_each_queue()
    {
        assert_property("longest prefix", [] {
            const auto text = rc::gen::container<std::string>(rc::gen::element('/', 'a', 'b'));
            std::vector<queue_config> queues;
            for (const auto& prefix : *rc::gen::container<std::vector<std::string>>(text)) {
                queues.push_back(make_queue(*rc::gen::element<std::string>("a", "b"), prefix));
            }
            const auto config = fleet_config::create(1, queues, {});
            const auto path = *text;
            RC_ASSERT(matched_prefix(config, "a", path) == longest_prefix(config, "a", path));
        });
    }

    void queue_is_found_by_its_key()
    {
        const auto config =
            fleet_config::create(1, {make_queue("a", "/x/"), make_queue("b", "/y/")}, {});
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, config.find_queue("b/y/")->m_host);
        CPPUNIT_ASSERT(config.find_queue("a/y/") == nullptr);
    }

    void copy_of_a_configuration_finds_its_own_queues()
    {
        auto config = fleet_config::create(1, {make_queue("a", "/x/")}, {});
        const auto copy = config;
        config = fleet_config{};
        CPPUNIT_ASSERT_EQUAL(std::string{"/x/"}, copy.match("a", "/x/1")->m_prefix);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pool_config_test);

} // namespace peridotrudder
