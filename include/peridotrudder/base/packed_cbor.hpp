#pragma once

/// @file
/// Described structs as CBOR bytes in the packed layout, as the records of the journal hold them.

#include "peridotrudder/base/codec.hpp"

#include <cstdint>
#include <gsl/span>
#include <vector>

namespace peridotrudder {

/// Returns the value's fields as CBOR.
template <typename T>
std::vector<std::uint8_t> to_packed_cbor(const T& value)
{
    return nlohmann::json::to_cbor(encode_packed(value));
}

/// Returns the value in the CBOR bytes, or why there is none in them.
template <typename T>
tl::expected<T, decode_error> from_packed_cbor(gsl::span<const std::uint8_t> bytes)
{
    return parse_cbor(bytes).and_then(
        [](const nlohmann::json& json) { return decode_packed<T>(json); });
}

} // namespace peridotrudder
