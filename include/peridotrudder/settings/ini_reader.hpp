#pragma once

/// @file
/// Reads typed values from INI files and collects all faults. Only this module depends on
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
    /// Line number, starting at one; zero if there is none.
    std::size_t m_line{0};
    std::string m_section;
    std::string m_key;
    /// Allowed values, such as "1 to 65535".
    std::string m_allowed;
};

/// Returns the fault as one line of text.
std::string to_text(const settings_error& error);

/// Reads the keys of one file. Each read marks its key as known, and `finish` reports the others. A
/// read of a faulty key returns the lower bound or an empty value; `finish` returns all faults. Not
/// thread-safe.
///
///     ini_reader reader = ...;
///     const auto port = reader.number("entry", "caller_port", 1, 65535);
///     const auto errors = reader.finish();
class ini_reader {
public:
    /// Returns a reader of the file, or the fault that made it unreadable.
    static tl::expected<ini_reader, settings_error> open(const std::string& path);

    /// Returns a reader of `text`; errors give `name` as the file.
    static tl::expected<ini_reader, settings_error> parse(std::string name, std::string_view text);

    /// Returns the names of the sections, in the file's order.
    std::vector<std::string> sections() const;

    /// Returns whether the section has the key.
    bool has(const std::string& section, const std::string& key) const;

    /// Returns the text, and reports a fault if the key is missing or the text is empty.
    std::string text(const std::string& section, const std::string& key);

    /// Returns the text, or `default_value` if the key is absent. A present text must not be empty.
    std::string text_or(const std::string& section, const std::string& key,
                        std::string default_value);

    /// Returns the text, or an empty one if the key is absent.
    std::string optional_text(const std::string& section, const std::string& key);

    /// Returns a whole number from `min` to `max`.
    std::uint64_t number(const std::string& section, const std::string& key, std::uint64_t min,
                         std::uint64_t max);

    /// Returns a whole number from `min` to `max`, or `default_value` if the key is absent.
    std::uint64_t number_or(const std::string& section, const std::string& key, std::uint64_t min,
                            std::uint64_t max, std::uint64_t default_value);

    /// Returns the parts of a comma-separated list that must not be empty.
    std::vector<std::string> list(const std::string& section, const std::string& key);

    /// Returns the enumerator whose name is the key's value.
    template <typename Enum>
    Enum name(const std::string& section, const std::string& key)
    {
        const auto value = text(section, key);
        const auto enumerator = from_string<Enum>(value);
        if (!enumerator && !value.empty()) {
            std::string allowed;
            for (const auto allowed_name : enum_names<Enum>::values) {
                allowed += allowed.empty() ? "" : ", ";
                allowed += allowed_name;
            }
            report(settings_fault::out_of_range, section, key, allowed);
        }
        return enumerator.value_or(Enum{});
    }

    /// Reports a fault found by the caller.
    void report(settings_fault fault, const std::string& section, const std::string& key,
                std::string allowed);

    /// Marks a section as known, so that `finish` does not report it.
    void expect_section(const std::string& section);

    /// Returns all faults, including unknown keys and sections, in the order of their lines.
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
    std::vector<std::string> m_section_order;
    std::map<std::string, section_entry> m_sections;
    std::vector<settings_error> m_errors;
};

} // namespace peridotrudder
