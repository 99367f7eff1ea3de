#pragma once

/// @file
/// Runs rapidcheck properties as CppUnit assertions.

#include <cppunit/TestAssert.h>
#include <rapidcheck.h>

#include <string>
#include <utility>

namespace peridotrudder {

/// Fails the test if the property does not hold. `rc::check` alone only returns and prints that.
template <typename Testable>
void assert_property(const std::string& description, Testable&& testable)
{
    CPPUNIT_ASSERT_MESSAGE(description, rc::check(description, std::forward<Testable>(testable)));
}

} // namespace peridotrudder
