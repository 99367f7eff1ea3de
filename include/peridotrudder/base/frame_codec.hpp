#pragma once

/// @file
/// Encodes variant messages as frames: CBOR of the kind and the packed fields.

#include "peridotrudder/base/variant_codec.hpp"

#include <cstdint>
#include <gsl/span>
#include <string>
#include <vector>

namespace peridotrudder {

namespace internal {

struct message_frame {
    std::string m_kind;
    nlohmann::json m_body;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("kind", self.m_kind);
        archive.field("body", self.m_body);
    }
};

} // namespace internal

/// Returns the message as CBOR.
template <typename Variant>
std::vector<std::uint8_t> encode_frame(const Variant& message)
{
    const internal::message_frame frame{std::string{variant_kind(message)},
                                        encode_packed_alternative(message)};
    return nlohmann::json::to_cbor(encode_packed(frame));
}

/// Returns the message in the CBOR bytes, or why they could not be decoded.
template <typename Variant>
tl::expected<Variant, decode_error> decode_frame(gsl::span<const std::uint8_t> bytes)
{
    const auto json = parse_cbor(bytes);
    if (!json) {
        return tl::make_unexpected(json.error());
    }
    const auto frame = decode_packed<internal::message_frame>(*json);
    if (!frame) {
        return tl::make_unexpected(frame.error());
    }
    return decode_packed_alternative<Variant>(frame->m_kind, frame->m_body);
}

} // namespace peridotrudder
