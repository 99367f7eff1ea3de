#pragma once

/// @file
/// Encodes a `std::variant` of described structs, tagged with each struct's `kind`.

#include "peridotrudder/base/codec.hpp"

#include <variant>

namespace peridotrudder {

/// Returns the `kind` of the alternative that `value` holds.
template <typename... Alternatives>
std::string_view variant_kind(const std::variant<Alternatives...>& value)
{
    return std::visit(
        [](const auto& alternative) { return std::decay_t<decltype(alternative)>::kind; }, value);
}

/// Returns the alternative's fields as JSON, without its kind.
template <typename... Alternatives>
nlohmann::json encode_alternative(const std::variant<Alternatives...>& value)
{
    return std::visit([](const auto& alternative) { return encode_json(alternative); }, value);
}

/// Returns the alternative's fields in the packed layout.
template <typename... Alternatives>
nlohmann::json encode_packed_alternative(const std::variant<Alternatives...>& value)
{
    return std::visit([](const auto& alternative) { return encode_packed(alternative); }, value);
}

namespace internal {

template <layout Layout, typename Alternative, typename Variant>
bool decode_if_kind(std::string_view kind, const nlohmann::json& body,
                    tl::expected<Variant, decode_error>& result)
{
    if (kind != Alternative::kind) {
        return false;
    }
    auto decoded = decode<Layout, Alternative>(body);
    if (decoded) {
        result = Variant{std::move(*decoded)};
    }
    else {
        result = tl::make_unexpected(decoded.error());
    }
    return true;
}

template <layout Layout, typename Variant>
struct alternative_decoder;

template <layout Layout, typename... Alternatives>
struct alternative_decoder<Layout, std::variant<Alternatives...>> {
    using variant_type = std::variant<Alternatives...>;

    static tl::expected<variant_type, decode_error> decode_kind(std::string_view kind,
                                                                const nlohmann::json& body)
    {
        tl::expected<variant_type, decode_error> result =
            tl::make_unexpected(decode_error{decode_fault::unknown_name, "kind"});
        (decode_if_kind<Layout, Alternatives>(kind, body, result) || ...);
        return result;
    }
};

} // namespace internal

/// Returns the alternative of `Variant` called `kind`, read from `body`.
template <typename Variant>
tl::expected<Variant, decode_error> decode_alternative(std::string_view kind,
                                                       const nlohmann::json& body)
{
    return internal::alternative_decoder<internal::layout::named, Variant>::decode_kind(kind, body);
}

/// Returns the alternative of `Variant` called `kind`, read from its packed layout.
template <typename Variant>
tl::expected<Variant, decode_error> decode_packed_alternative(std::string_view kind,
                                                              const nlohmann::json& body)
{
    return internal::alternative_decoder<internal::layout::packed, Variant>::decode_kind(kind,
                                                                                         body);
}

} // namespace peridotrudder
