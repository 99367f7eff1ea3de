#include "peridotrudder/ownership/node_messages.hpp"

#include "peridotrudder/base/frame_codec.hpp"

namespace peridotrudder {

std::vector<std::uint8_t> encode_node_message(const node_message& message)
{
    return encode_frame(message);
}

tl::expected<node_message, decode_error> decode_node_message(gsl::span<const std::uint8_t> bytes)
{
    return decode_frame<node_message>(bytes);
}

} // namespace peridotrudder
