#pragma once

/// @file
/// Names of enumerators as used on the wire, in logs and in command-line output.

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace peridotrudder {

/// Holds the names of a contiguous enumeration that starts at zero. Specialize it with a
/// `static constexpr std::array<std::string_view, N> values`, in the enumerators' order.
template <typename Enum>
struct enum_names;

/// Returns the name of `value`, or "invalid" if it is not an enumerator.
template <typename Enum>
constexpr std::string_view to_string(Enum value)
{
    const auto index = static_cast<std::size_t>(value);
    const auto& names = enum_names<Enum>::values;
    return index < names.size() ? names[index] : std::string_view{"invalid"};
}

/// Returns the enumerator called `name`, or nothing if there is none.
template <typename Enum>
constexpr std::optional<Enum> from_string(std::string_view name)
{
    const auto& names = enum_names<Enum>::values;
    for (std::size_t index = 0; index < names.size(); ++index) {
        if (names[index] == name) {
            return static_cast<Enum>(index);
        }
    }
    return std::nullopt;
}

} // namespace peridotrudder
