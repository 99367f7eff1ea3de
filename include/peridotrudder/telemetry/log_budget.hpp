#pragma once

/// @file
/// Bounds the number of log lines a second.

#include "peridotrudder/base/clock.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace peridotrudder {

/// Decides which lines are written. The first line of each kind in a second always is, so that
/// nothing goes unseen; what is left out is counted. Pure; not thread-safe.
class log_budget {
public:
    /// Returns a budget of so many lines a second.
    static log_budget create(std::uint32_t lines_a_second);

    /// Returns whether a line of the kind may be written now.
    bool allows(std::string_view kind, time_point now);

    /// Returns how many lines were left out before the present second and not yet reported.
    std::uint64_t take_suppressed_count();

private:
    std::uint32_t m_lines_a_second{0};
    time_point m_second;
    std::uint32_t m_used{0};
    std::uint64_t m_suppressed_now{0};
    std::uint64_t m_suppressed_before{0};
    std::set<std::string, std::less<>> m_seen;
};

} // namespace peridotrudder
