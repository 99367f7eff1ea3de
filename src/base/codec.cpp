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

/// Returns the position of the next bracket, brace or comma that is not within a string.
std::size_t next_structural(std::string_view text, std::size_t from)
{
    bool in_string = false;
    for (std::size_t index = from; index < text.size(); ++index) {
        const char character = text[index];
        if (in_string) {
            index += character == '\\' ? 1 : 0;
            in_string = character != '"';
            continue;
        }
        in_string = character == '"';
        if (std::string_view{"[]{},"}.find(character) != std::string_view::npos) {
            return index;
        }
    }
    return text.size();
}

bool opens(char character)
{
    return character == '[' || character == '{';
}

bool closes(char character)
{
    return character == ']' || character == '}';
}

/// Returns whether the JSON text nests deeper than `levels`. Finds it before a tree is built, which
/// takes many times the memory of the text.
bool nests_too_deep(std::string_view text, int levels = max_nesting)
{
    int depth = 0;
    for (auto index = next_structural(text, 0); index < text.size();
         index = next_structural(text, index + 1)) {
        depth += opens(text[index]) ? 1 : 0;
        depth -= closes(text[index]) ? 1 : 0;
        if (depth > levels) {
            return true;
        }
    }
    return false;
}

/// Returns whether an element of an array of an object can be parsed. Blank text is no element.
bool is_readable_item(std::string_view text)
{
    constexpr int outer_levels = 2;
    return text.find_first_not_of(" \t\r\n") == std::string_view::npos ||
           (!nests_too_deep(text, max_nesting - outer_levels) && nlohmann::json::accept(text));
}

/// Returns the text of an object with null instead of each unreadable element of its arrays.
std::string without_odd_items(std::string_view text)
{
    constexpr std::string_view items = "{[";
    std::string kept;
    std::string containers;
    std::size_t begin = 0;
    for (auto index = next_structural(text, 0); index < text.size();
         index = next_structural(text, index + 1)) {
        const char character = text[index];
        if (containers == items && !opens(character)) {
            const auto item = text.substr(begin, index - begin);
            kept += is_readable_item(item) ? item : "null";
            begin = index;
        }
        if (opens(character)) {
            containers.push_back(character);
        }
        else if (closes(character) && !containers.empty()) {
            containers.pop_back();
        }
        // An element begins here; what comes before it is copied as it is.
        if (containers == items && !closes(character)) {
            kept += text.substr(begin, index + 1 - begin);
            begin = index + 1;
        }
    }
    kept += text.substr(begin);
    return kept;
}

} // namespace

tl::expected<nlohmann::json, decode_error> parse_json_items(std::string_view text)
{
    auto whole = parse_json(text);
    return whole ? whole : parse_json(without_odd_items(text));
}

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
