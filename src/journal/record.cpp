#include "peridotrudder/journal/record.hpp"

#include "peridotrudder/base/variant_codec.hpp"

namespace peridotrudder {

namespace {

/// Encoded form of a record. The kind says how to decode the body.
struct record_frame {
    std::string m_id;
    std::string m_author;
    std::uint64_t m_based_on{0};
    std::uint64_t m_term{0};
    std::string m_reason;
    std::string m_kind;
    nlohmann::json m_body;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("id", self.m_id);
        archive.field("author", self.m_author);
        archive.field("based_on", self.m_based_on);
        archive.field("term", self.m_term);
        archive.field("reason", self.m_reason);
        archive.field("kind", self.m_kind);
        archive.field("body", self.m_body);
    }
};

} // namespace

nlohmann::json encode_record(const record& value)
{
    record_frame frame;
    frame.m_id = value.m_id;
    frame.m_author = value.m_author;
    frame.m_based_on = value.m_based_on;
    frame.m_term = value.m_term;
    frame.m_reason = value.m_reason;
    frame.m_kind = kind_of(value.m_body);
    frame.m_body = encode_alternative(value.m_body);
    return encode_json(frame);
}

tl::expected<record, decode_error> decode_record(const nlohmann::json& json)
{
    const auto frame = decode_json<record_frame>(json);
    if (!frame) {
        return tl::make_unexpected(frame.error());
    }
    auto body = decode_alternative<record_body>(frame->m_kind, frame->m_body);
    if (!body) {
        return tl::make_unexpected(body.error());
    }
    record value;
    value.m_id = frame->m_id;
    value.m_author = frame->m_author;
    value.m_based_on = frame->m_based_on;
    value.m_term = frame->m_term;
    value.m_reason = frame->m_reason;
    value.m_body = std::move(*body);
    return value;
}

std::string_view kind_of(const record_body& body)
{
    return variant_kind(body);
}

} // namespace peridotrudder
