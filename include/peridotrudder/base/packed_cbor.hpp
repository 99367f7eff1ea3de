#pragma once

/// @file
/// Encodes described structs as CBOR in the packed layout, as used for journal records.

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

/// Returns the value in the CBOR bytes, or why they could not be decoded.
template <typename T>
tl::expected<T, decode_error> from_packed_cbor(gsl::span<const std::uint8_t> bytes)
{
    return parse_cbor(bytes).and_then(
        [](const nlohmann::json& json) { return decode_packed<T>(json); });
}

} // namespace peridotrudder
