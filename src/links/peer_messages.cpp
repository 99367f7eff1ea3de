#include "peridotrudder/links/peer_messages.hpp"

#include "peridotrudder/base/variant_codec.hpp"

namespace peridotrudder {

namespace {

struct peer_frame {
    std::string m_kind;
    nlohmann::json m_body;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("kind", self.m_kind);
        archive.field("body", self.m_body);
    }
};

} // namespace

std::vector<std::uint8_t> encode_peer_message(const peer_message& message)
{
    const peer_frame frame{std::string{variant_kind(message)}, encode_packed_alternative(message)};
    return nlohmann::json::to_cbor(encode_packed(frame));
}

tl::expected<peer_message, decode_error> decode_peer_message(gsl::span<const std::uint8_t> bytes)
{
    const auto json = parse_cbor(bytes);
    if (!json) {
        return tl::make_unexpected(json.error());
    }
    const auto frame = decode_packed<peer_frame>(*json);
    if (!frame) {
        return tl::make_unexpected(frame.error());
    }
    return decode_packed_alternative<peer_message>(frame->m_kind, frame->m_body);
}

} // namespace peridotrudder
