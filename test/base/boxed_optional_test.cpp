#include "peridotrudder/base/boxed_optional.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace peridotrudder {

class boxed_optional_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(boxed_optional_test);
    CPPUNIT_TEST(copies_have_values_of_their_own);
    CPPUNIT_TEST(value_is_replaced_and_removed);
    CPPUNIT_TEST(absent_value_takes_the_space_of_a_pointer);
    CPPUNIT_TEST_SUITE_END();

public:
    void copies_have_values_of_their_own()
    {
        boxed_optional<std::string> first{std::string{"a"}};
        auto second = first;
        *second = "b";
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, *first);
        first = second;
        second->push_back('c');
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, *first);
        first = static_cast<const boxed_optional<std::string>&>(first);
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, *first);
    }

    void value_is_replaced_and_removed()
    {
        boxed_optional<std::string> value;
        CPPUNIT_ASSERT(!value);
        value = std::string{"a"};
        const auto taken = std::exchange(value, std::nullopt);
        CPPUNIT_ASSERT(!value.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, *taken);
        const boxed_optional<std::string> copy_of_none{value};
        CPPUNIT_ASSERT(!copy_of_none);
    }

    // Tasks are numerous, and few have a copy.
    void absent_value_takes_the_space_of_a_pointer()
    {
        CPPUNIT_ASSERT_EQUAL(sizeof(void*), sizeof(boxed_optional<std::string>));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(boxed_optional_test);

} // namespace peridotrudder
