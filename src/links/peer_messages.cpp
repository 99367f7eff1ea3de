#include "peridotrudder/links/peer_messages.hpp"

#include "peridotrudder/base/frame_codec.hpp"

namespace peridotrudder {

std::vector<std::uint8_t> encode_peer_message(const peer_message& message)
{
    return encode_frame(message);
}

tl::expected<peer_message, decode_error> decode_peer_message(gsl::span<const std::uint8_t> bytes)
{
    return decode_frame<peer_message>(bytes);
}

} // namespace peridotrudder
