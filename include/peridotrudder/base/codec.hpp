#pragma once

/// @file
/// Encodes described structs as JSON and CBOR, and decodes them with typed errors.
///
/// A struct describes its fields once, for both directions:
///
///     struct point {
///         int m_x{0};
///         template <typename Archive, typename Self>
///         static void describe(Archive& archive, Self& self) { archive.field("x", self.m_x); }
///     };

#include "peridotrudder/base/clock.hpp"
#include "peridotrudder/base/enum_names.hpp"

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <gsl/span>
#include <limits>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace peridotrudder {

/// Why bytes or a JSON value could not be decoded.
enum class decode_fault { malformed, missing_field, wrong_type, out_of_range, unknown_name };

template <>
struct enum_names<decode_fault> {
    static constexpr std::array<std::string_view, 5> values{
        "malformed", "missing_field", "wrong_type", "out_of_range", "unknown_name"};
};

/// A decoding failure and the name of the field where it occurred (empty for the whole input).
struct decode_error {
    decode_fault m_fault{decode_fault::malformed};
    std::string m_field;
};

namespace internal {

/// Carries a `decode_error` out of nested readers; never leaves this module.
class decode_exception : public std::runtime_error {
public:
    explicit decode_exception(decode_error error)
        : std::runtime_error{"decode failed"},
          m_error{std::move(error)}
    {
    }
    const decode_error& error() const noexcept { return m_error; }

private:
    decode_error m_error;
};

/// Runs a decoder and returns its result, or its exception as an error. The JSON library's own
/// exceptions and those of memory become `malformed`: input that causes one cannot be used.
template <typename Decoder>
auto catch_decode_error(Decoder decoder) -> tl::expected<decltype(decoder()), decode_error>
{
    try {
        return decoder();
    }
    catch (const decode_exception& exception) {
        return tl::make_unexpected(exception.error());
    }
    catch (const std::exception&) {
        return tl::make_unexpected(decode_error{decode_fault::malformed, ""});
    }
}

template <typename T>
struct is_vector : std::false_type {
};
template <typename T>
struct is_vector<std::vector<T>> : std::true_type {
};
template <typename T>
struct is_optional : std::false_type {
};
template <typename T>
struct is_optional<std::optional<T>> : std::true_type {
};
template <typename T>
struct is_string_map : std::false_type {
};
template <typename T>
struct is_string_map<std::map<std::string, T>> : std::true_type {
};

/// Encodings of described structs.
enum class layout {
    /// Objects with field names and enumerator names: for people and for the log.
    named,
    /// Arrays in the order of description, with numbers for enumerators: for links.
    packed,
};

template <layout Layout, typename T>
nlohmann::json to_value(const T& value);
template <layout Layout, typename T>
void from_value(const nlohmann::json& json, T& value, const char* field);

template <layout Layout>
class field_writer {
public:
    explicit field_writer(nlohmann::json& json) : m_json{&json} {}

    template <typename T>
    void field(const char* name, const T& value)
    {
        if constexpr (Layout == layout::packed) {
            m_json->push_back(to_value<Layout>(value));
        }
        else {
            (*m_json)[name] = to_value<Layout>(value);
        }
    }

private:
    nlohmann::json* m_json;
};

template <layout Layout>
class field_reader {
public:
    explicit field_reader(const nlohmann::json& json) : m_json{&json} {}

    template <typename T>
    void field(const char* name, T& value)
    {
        const auto* json = find(name);
        if (json != nullptr) {
            from_value<Layout>(*json, value, name);
            return;
        }
        if constexpr (!is_optional<T>::value) {
            throw decode_exception{{decode_fault::missing_field, name}};
        }
    }

private:
    const nlohmann::json* find(const char* name)
    {
        if constexpr (Layout == layout::packed) {
            const auto index = m_next++;
            return index < m_json->size() ? &(*m_json)[index] : nullptr;
        }
        else {
            const auto member = m_json->find(name);
            return member == m_json->end() ? nullptr : &*member;
        }
    }

    const nlohmann::json* m_json;
    std::size_t m_next{0};
};

template <layout Layout, typename T>
nlohmann::json to_value(const T& value)
{
    if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string> ||
                  std::is_same_v<T, nlohmann::json>) {
        return value;
    }
    else if constexpr (std::is_enum_v<T>) {
        if constexpr (Layout == layout::packed) {
            return static_cast<unsigned>(value);
        }
        else {
            return std::string{to_string(value)};
        }
    }
    else if constexpr (std::is_same_v<T, milliseconds>) {
        return value.count();
    }
    else if constexpr (is_optional<T>::value) {
        return value ? to_value<Layout>(*value) : nlohmann::json{};
    }
    else if constexpr (is_vector<T>::value) {
        auto array = nlohmann::json::array();
        for (const auto& item : value) {
            array.push_back(to_value<Layout>(item));
        }
        return array;
    }
    else if constexpr (is_string_map<T>::value) {
        auto object = nlohmann::json::object();
        for (const auto& [name, item] : value) {
            object[name] = to_value<Layout>(item);
        }
        return object;
    }
    else {
        auto fields = Layout == layout::packed ? nlohmann::json::array() : nlohmann::json::object();
        field_writer<Layout> writer{fields};
        T::describe(writer, value);
        return fields;
    }
}

template <typename T>
void read_integer(const nlohmann::json& json, T& value, const char* field)
{
    if (!json.is_number_integer()) {
        throw decode_exception{{decode_fault::wrong_type, field}};
    }
    const bool large = json.is_number_unsigned() &&
                       json.get<std::uint64_t>() > std::uint64_t{std::numeric_limits<T>::max()};
    const bool negative =
        !json.is_number_unsigned() &&
        (std::is_unsigned_v<T> ||
         json.get<std::int64_t>() < static_cast<std::int64_t>(std::numeric_limits<T>::min()));
    if (large || negative) {
        throw decode_exception{{decode_fault::out_of_range, field}};
    }
    value = json.get<T>();
}

template <layout Layout, typename T>
void read_enum(const nlohmann::json& json, T& value, const char* field)
{
    if constexpr (Layout == layout::packed) {
        unsigned index = 0;
        read_integer(json, index, field);
        if (index >= enum_names<T>::values.size()) {
            throw decode_exception{{decode_fault::unknown_name, field}};
        }
        value = static_cast<T>(index);
    }
    else {
        if (!json.is_string()) {
            throw decode_exception{{decode_fault::wrong_type, field}};
        }
        const auto enumerator = from_string<T>(json.get_ref<const std::string&>());
        if (!enumerator) {
            throw decode_exception{{decode_fault::unknown_name, field}};
        }
        value = *enumerator;
    }
}

template <layout Layout, typename T>
void from_value(const nlohmann::json& json, T& value, const char* field)
{
    const auto require = [field](bool matches) {
        if (!matches) {
            throw decode_exception{{decode_fault::wrong_type, field}};
        }
    };
    if constexpr (std::is_same_v<T, nlohmann::json>) {
        value = json;
    }
    else if constexpr (std::is_same_v<T, bool>) {
        require(json.is_boolean());
        value = json.get<bool>();
    }
    else if constexpr (std::is_integral_v<T>) {
        read_integer(json, value, field);
    }
    else if constexpr (std::is_floating_point_v<T>) {
        require(json.is_number());
        value = json.get<T>();
    }
    else if constexpr (std::is_same_v<T, std::string>) {
        require(json.is_string());
        value = json.get<std::string>();
    }
    else if constexpr (std::is_enum_v<T>) {
        read_enum<Layout>(json, value, field);
    }
    else if constexpr (std::is_same_v<T, milliseconds>) {
        std::int64_t count = 0;
        read_integer(json, count, field);
        value = milliseconds{count};
    }
    else if constexpr (is_optional<T>::value) {
        if (json.is_null()) {
            value.reset();
            return;
        }
        from_value<Layout>(json, value.emplace(), field);
    }
    else if constexpr (is_vector<T>::value) {
        require(json.is_array());
        value.clear();
        for (const auto& item : json) {
            from_value<Layout>(item, value.emplace_back(), field);
        }
    }
    else if constexpr (is_string_map<T>::value) {
        require(json.is_object());
        value.clear();
        for (const auto& [name, item] : json.items()) {
            from_value<Layout>(item, value[name], field);
        }
    }
    else {
        require(Layout == layout::packed ? json.is_array() : json.is_object());
        field_reader<Layout> reader{json};
        T::describe(reader, value);
    }
}

} // namespace internal

/// Returns `value` as a JSON object.
template <typename T>
nlohmann::json encode_json(const T& value)
{
    return internal::to_value<internal::layout::named>(value);
}

/// Returns `value` as an array of its fields, which is shorter and has no names.
template <typename T>
nlohmann::json encode_packed(const T& value)
{
    return internal::to_value<internal::layout::packed>(value);
}

namespace internal {

template <layout Layout, typename T>
tl::expected<T, decode_error> decode(const nlohmann::json& json)
{
    return catch_decode_error([&json] {
        T value{};
        from_value<Layout>(json, value, "");
        return value;
    });
}

} // namespace internal

/// Returns a `T` read from `json`. Unknown fields are ignored, so that a newer peer can add some.
template <typename T>
tl::expected<T, decode_error> decode_json(const nlohmann::json& json)
{
    return internal::decode<internal::layout::named, T>(json);
}

/// Returns a `T` read from an array that `encode_packed` returned. Additional elements at the end
/// are ignored; missing ones at the end must be optional fields.
template <typename T>
tl::expected<T, decode_error> decode_packed(const nlohmann::json& json)
{
    return internal::decode<internal::layout::packed, T>(json);
}

/// Maximum nesting of input: the library's CBOR reader, its copies and its writer recurse for each
/// level.
constexpr int max_nesting = 32;

/// Returns the JSON value in `text`, or `malformed`, also if it nests deeper than `max_nesting`.
tl::expected<nlohmann::json, decode_error> parse_json(std::string_view text);

/// Like `parse_json` for an object, but an element of one of its arrays that `parse_json` refuses
/// becomes null, so that it does not make the other elements unreadable.
tl::expected<nlohmann::json, decode_error> parse_json_items(std::string_view text);

/// Returns the value in the CBOR bytes, or `malformed`, also if it nests deeper than `max_nesting`.
tl::expected<nlohmann::json, decode_error> parse_cbor(gsl::span<const std::uint8_t> bytes);

/// Returns a `T` read from JSON text.
template <typename T>
tl::expected<T, decode_error> decode_text(std::string_view text)
{
    return parse_json(text).and_then(
        [](const nlohmann::json& json) { return decode_json<T>(json); });
}

} // namespace peridotrudder
