#pragma once

/// @file
/// Reads INI files into typed values and collects every fault; the only module that knows
/// SimpleIni.

#include "peridotrudder/base/clock.hpp"
#include "peridotrudder/base/enum_names.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace peridotrudder {

enum class settings_fault {
    unreadable_file,
    not_utf8,
    missing_section,
    missing_key,
    unknown_section,
    unknown_key,
    wrong_type,
    out_of_range,
    duplicate_key,
    contradiction,
};

template <>
struct enum_names<settings_fault> {
    static constexpr std::array<std::string_view, 10> values{
        "unreadable_file", "not_utf8",   "missing_section", "missing_key",   "unknown_section",
        "unknown_key",     "wrong_type", "out_of_range",    "duplicate_key", "contradiction"};
};

/// One fault of a settings file.
struct settings_error {
    settings_fault m_fault{settings_fault::unreadable_file};
    std::string m_file;
    /// Line, counted from one; zero where there is none.
    std::size_t m_line{0};
    std::string m_section;
    std::string m_key;
    /// What would be allowed, such as "1 to 65535".
    std::string m_allowed;
};

/// Returns the fault as one line of text.
std::string to_text(const settings_error& error);

/// Reads keys of one file. Each read marks its key as known; `finish` reports the others. Reads of
/// faulty keys return the lower bound or an empty value: the caller asks for `errors` at the end.
///
///     ini_reader reader = ...;
///     const auto port = reader.number("entry", "caller_port", 1, 65535);
///     const auto errors = reader.finish();
class ini_reader {
public:
    /// Returns a reader of the file, or the fault that made it unreadable.
    static tl::expected<ini_reader, settings_error> open(const std::string& path);

    /// Returns a reader of text; `name` stands for the file in errors.
    static tl::expected<ini_reader, settings_error> parse(std::string name, std::string_view text);

    /// Returns the names of the sections, in the file's order.
    std::vector<std::string> sections() const;

    /// Returns whether the section has the key.
    bool has(const std::string& section, const std::string& key) const;

    /// Returns a text that must not be empty.
    std::string text(const std::string& section, const std::string& key);

    /// Returns a text, or `otherwise` if the key is absent.
    std::string text_or(const std::string& section, const std::string& key, std::string otherwise);

    /// Returns a text that may be empty or absent.
    std::string optional_text(const std::string& section, const std::string& key);

    /// Returns a whole number from `least` to `most`.
    std::uint64_t number(const std::string& section, const std::string& key, std::uint64_t least,
                         std::uint64_t most);

    /// Returns a whole number, or `otherwise` if the key is absent.
    std::uint64_t number_or(const std::string& section, const std::string& key, std::uint64_t least,
                            std::uint64_t most, std::uint64_t otherwise);

    /// Returns the parts of a list separated by commas; at least one.
    std::vector<std::string> list(const std::string& section, const std::string& key);

    /// Returns the enumerator that the key names.
    template <typename Enum>
    Enum name(const std::string& section, const std::string& key)
    {
        const auto value = text(section, key);
        const auto found = from_string<Enum>(value);
        if (!found && !value.empty()) {
            std::string allowed;
            for (const auto each : enum_names<Enum>::values) {
                allowed += allowed.empty() ? "" : ", ";
                allowed += each;
            }
            report(settings_fault::out_of_range, section, key, allowed);
        }
        return found.value_or(Enum{});
    }

    /// Adds a fault found by the caller.
    void report(settings_fault fault, const std::string& section, const std::string& key,
                std::string allowed);

    /// Marks a section as known, so that `finish` does not report it.
    void expect_section(const std::string& section);

    /// Returns every fault, unknown keys and sections included.
    std::vector<settings_error> finish();

private:
    struct value_entry {
        std::string m_text;
        std::size_t m_line{0};
        bool m_known{false};
    };

    struct section_entry {
        std::map<std::string, value_entry> m_values;
        std::size_t m_line{0};
        bool m_known{false};
    };

    value_entry* find(const std::string& section, const std::string& key);

    std::string m_file;
    std::vector<std::string> m_order;
    std::map<std::string, section_entry> m_sections;
    std::vector<settings_error> m_errors;
};

} // namespace peridotrudder
