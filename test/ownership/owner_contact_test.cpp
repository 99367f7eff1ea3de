#include "peridotrudder/ownership/owner_contact.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

class owner_contact_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(owner_contact_test);
    CPPUNIT_TEST(text_tells_which_direction_is_missing);
    CPPUNIT_TEST_SUITE_END();

public:
    void text_tells_which_direction_is_missing()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"no link, heartbeat 40 ms ago, 3 peers linked"},
                             describe_contact({false, false, milliseconds{40}, 3}));
        CPPUNIT_ASSERT_EQUAL(std::string{"linked, heartbeat 9000 ms ago, 0 peers linked"},
                             describe_contact({false, true, milliseconds{9'000}, 0}));
        CPPUNIT_ASSERT_EQUAL(std::string{"linked, gone, heartbeat 20 ms ago, 3 peers linked"},
                             describe_contact({true, true, milliseconds{20}, 3}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(owner_contact_test);

} // namespace peridotrudder
