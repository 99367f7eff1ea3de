#include "peridotrudder/membership/failure_detector.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace peridotrudder {

namespace {

view make_view(int members)
{
    view created;
    created.m_number = 1;
    for (int index = 0; index < members; ++index) {
        member added;
        added.m_incarnation = fmt::format("run-{}", index);
        created.m_members.push_back(added);
    }
    return created;
}

} // namespace

class failure_detector_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(failure_detector_test);
    CPPUNIT_TEST(silent_member_is_suspected);
    CPPUNIT_TEST(one_observer_does_not_evict);
    CPPUNIT_TEST(majority_of_observers_evicts);
    CPPUNIT_TEST(only_the_first_trusted_member_proposes);
    CPPUNIT_TEST(isolated_half_evicts_nobody);
    CPPUNIT_TEST_SUITE_END();

public:
    void silent_member_is_suspected()
    {
        auto detector = make_detector("run-0", 3);
        detector.heard("run-1", {}, later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, detector.suspects(later).size());
        CPPUNIT_ASSERT_EQUAL(std::string{"run-2"}, detector.suspects(later)[0]);
    }

    void one_observer_does_not_evict()
    {
        auto detector = make_detector("run-0", 3);
        detector.heard("run-1", {}, later);
        CPPUNIT_ASSERT(detector.evictions(later).empty());
    }

    void majority_of_observers_evicts()
    {
        auto detector = make_detector("run-0", 3);
        detector.heard("run-1", {"run-2"}, later);
        const auto proposed = detector.evictions(later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, proposed.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"run-2"}, proposed[0].m_incarnation);
    }

    void only_the_first_trusted_member_proposes()
    {
        auto detector = make_detector("run-1", 3);
        detector.heard("run-0", {"run-2"}, later);
        CPPUNIT_ASSERT(detector.evictions(later).empty());
    }

    void isolated_half_evicts_nobody()
    {
        auto detector = make_detector("run-0", 6);
        const std::vector<std::string> other_half{"run-3", "run-4", "run-5"};
        detector.heard("run-1", other_half, later);
        detector.heard("run-2", other_half, later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, detector.suspects(later).size());
        CPPUNIT_ASSERT(detector.evictions(later).empty());
    }

private:
    const time_point start{milliseconds{1'000'000}};
    const time_point later = start + milliseconds{3'000};

    failure_detector make_detector(const std::string& self, int members) const
    {
        failure_detector detector{self, milliseconds{2'000}};
        detector.set_view(make_view(members), start);
        return detector;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(failure_detector_test);

} // namespace peridotrudder
