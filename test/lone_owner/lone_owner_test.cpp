#include "test/ownership/election_runs.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

class lone_owner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(lone_owner_test);
    CPPUNIT_TEST(an_owner_that_reaches_only_the_log_is_replaced_though_most_nodes_are_gone);
    CPPUNIT_TEST_SUITE_END();

public:
    // A majority of all registered nodes was needed, also of those that were gone.
    void an_owner_that_reaches_only_the_log_is_replaced_though_most_nodes_are_gone()
    {
        must_take_over({9, 34}, make_options, [](auto& cluster) {
            // Four of nine and twenty of 34, so that less than half can tell that they lost it.
            const std::size_t gone = cluster.nodes() == 9 ? 4 : 20;
            for (const auto node : others(cluster, gone)) {
                cluster.kill(node);
            }
            cluster.run_for(settled);
            cut_owner_from(cluster, cluster.nodes() - 1);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lone_owner_test);

} // namespace peridotrudder
