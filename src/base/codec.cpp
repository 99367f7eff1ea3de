#include "peridotrudder/base/codec.hpp"

namespace peridotrudder {

namespace {

/// Parses CBOR without storing it, and stops if the nesting is too deep.
class depth_checker : public nlohmann::json_sax<nlohmann::json> {
public:
    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(number_integer_t /*value*/) override { return true; }
    bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
    bool string(string_t& /*value*/) override { return true; }
    bool binary(binary_t& /*value*/) override { return true; }
    bool start_object(std::size_t /*elements*/) override { return descend(); }
    bool key(string_t& /*value*/) override { return true; }
    bool end_object() override { return ascend(); }
    bool start_array(std::size_t /*elements*/) override { return descend(); }
    bool end_array() override { return ascend(); }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& /*error*/) override
    {
        return false;
    }

private:
    bool descend() { return ++m_depth <= max_nesting; }
    bool ascend()
    {
        --m_depth;
        return true;
    }

    int m_depth{0};
};

/// Returns whether the JSON text nests deeper than `max_nesting`. Finds it before a tree is built,
/// which takes many times the memory of the text.
bool nests_too_deep(std::string_view text)
{
    int depth = 0;
    bool in_string = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char character = text[index];
        if (in_string) {
            index += character == '\\' ? 1 : 0;
            in_string = character != '"';
            continue;
        }
        in_string = character == '"';
        if (character == '[' || character == '{') {
            if (++depth > max_nesting) {
                return true;
            }
        }
        else if (character == ']' || character == '}') {
            --depth;
        }
    }
    return false;
}

} // namespace

tl::expected<nlohmann::json, decode_error> parse_json(std::string_view text)
{
    if (nests_too_deep(text)) {
        return tl::make_unexpected(decode_error{decode_fault::malformed, ""});
    }
    return internal::catch_decode_error([text] {
        auto json = nlohmann::json::parse(text, nullptr, false);
        if (json.is_discarded()) {
            throw internal::decode_exception{{decode_fault::malformed, ""}};
        }
        return json;
    });
}

tl::expected<nlohmann::json, decode_error> parse_cbor(gsl::span<const std::uint8_t> bytes)
{
    return internal::catch_decode_error([bytes] {
        depth_checker checker;
        if (!nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &checker,
                                       nlohmann::json::input_format_t::cbor)) {
            throw internal::decode_exception{{decode_fault::malformed, ""}};
        }
        auto json = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
        if (json.is_discarded()) {
            throw internal::decode_exception{{decode_fault::malformed, ""}};
        }
        return json;
    });
}

} // namespace peridotrudder
