#pragma once

/// @file
/// Limits the number of log lines per second.

#include "peridotrudder/base/clock.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace peridotrudder {

/// Decides which lines are written. The first line of each kind in a second always is, so that
/// every kind of event stays visible. Lines of the reserved kinds have as large a budget of their
/// own, so that routine lines never displace them. Sparse kinds have one line in a second and use
/// no budget, so that whoever causes them displaces nothing. Suppressed lines are counted. Pure;
/// not thread-safe.
class log_budget {
public:
    using kind_set = std::set<std::string, std::less<>>;

    /// Returns a budget of `max_lines_per_second` for the reserved kinds, and as many for all
    /// others.
    static log_budget create(std::uint32_t max_lines_per_second, kind_set reserved_kinds = {},
                             kind_set sparse_kinds = {});

    /// Returns whether a line of the kind may be written now.
    bool allows(std::string_view kind, time_point now);

    /// Returns and resets the number of lines suppressed in earlier seconds.
    std::uint64_t take_suppressed_count();

private:
    std::uint32_t m_max_lines_per_second{0};
    time_point m_second_start;
    kind_set m_reserved_kinds;
    kind_set m_sparse_kinds;
    std::uint32_t m_lines_this_second{0};
    std::uint32_t m_reserved_lines_this_second{0};
    std::uint64_t m_suppressed_now{0};
    std::uint64_t m_suppressed_before{0};
    kind_set m_kinds_this_second;
};

} // namespace peridotrudder
