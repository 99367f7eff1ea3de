#include "peridotrudder/settings/ini_reader.hpp"

#include <SimpleIni.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace peridotrudder {

namespace {

std::string_view trim(std::string_view text)
{
    constexpr std::string_view whitespace = " \t\r";
    const auto first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

/// Returns whether the text is valid UTF-8 without NUL bytes. The JSON library validates the
/// encoding.
bool is_utf8_text(std::string_view text)
{
    try {
        static_cast<void>(nlohmann::json(text).dump());
    }
    catch (const nlohmann::json::type_error&) {
        return false;
    }
    return text.find('\0') == std::string_view::npos;
}

/// Returns the line numbers of sections and keys; an empty key stands for the section's own line.
/// SimpleIni keeps the order of keys, but not their lines.
std::map<std::pair<std::string, std::string>, std::size_t> find_lines(std::string_view text)
{
    std::map<std::pair<std::string, std::string>, std::size_t> lines;
    std::istringstream stream{std::string{text}};
    std::string line;
    std::string section;
    for (std::size_t number = 1; std::getline(stream, line); ++number) {
        const auto content = trim(line);
        if (content.size() > 2 && content.front() == '[' && content.back() == ']') {
            section = trim(content.substr(1, content.size() - 2));
            lines.emplace(std::pair{section, std::string{}}, number);
            continue;
        }
        const auto equals = content.find('=');
        if (equals != std::string_view::npos) {
            lines.emplace(std::pair{section, std::string{trim(content.substr(0, equals))}}, number);
        }
    }
    return lines;
}

} // namespace

std::string to_text(const settings_error& error)
{
    auto text = fmt::format("{}:{}: {}", error.m_file, error.m_line, to_string(error.m_fault));
    if (!error.m_section.empty()) {
        text += fmt::format(" [{}] {}", error.m_section, error.m_key);
    }
    if (!error.m_allowed.empty()) {
        text += fmt::format(" (allowed: {})", error.m_allowed);
    }
    return text;
}

tl::expected<ini_reader, settings_error> ini_reader::open(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        return tl::make_unexpected(
            settings_error{settings_fault::unreadable_file, path, 0, "", "", ""});
    }
    std::ostringstream content;
    content << file.rdbuf();
    return parse(path, content.str());
}

tl::expected<ini_reader, settings_error> ini_reader::parse(std::string name, std::string_view text)
{
    constexpr bool is_utf8 = true;
    constexpr bool allow_repeated_keys = true;
    CSimpleIniCaseA ini{is_utf8, allow_repeated_keys, false};
    if (!is_utf8_text(text) || ini.LoadData(text.data(), text.size()) < 0) {
        return tl::make_unexpected(settings_error{settings_fault::not_utf8, name, 0, "", "", ""});
    }
    const auto lines = find_lines(text);
    const auto line_of = [&lines](const std::string& section, const std::string& key) {
        const auto line_number = lines.find({section, key});
        return line_number == lines.end() ? std::size_t{0} : line_number->second;
    };
    ini_reader reader;
    reader.m_file = std::move(name);
    CSimpleIniCaseA::TNamesDepend sections;
    ini.GetAllSections(sections);
    sections.sort(CSimpleIniCaseA::Entry::LoadOrder());
    for (const auto& section : sections) {
        auto& entry = reader.m_sections[section.pItem];
        entry.m_line = line_of(section.pItem, "");
        reader.m_section_order.emplace_back(section.pItem);
        CSimpleIniCaseA::TNamesDepend keys;
        ini.GetAllKeys(section.pItem, keys);
        for (const auto& key : keys) {
            CSimpleIniCaseA::TNamesDepend values;
            ini.GetAllValues(section.pItem, key.pItem, values);
            auto& value = entry.m_values[key.pItem];
            value.m_text = trim(values.front().pItem);
            value.m_line = line_of(section.pItem, key.pItem);
            if (values.size() > 1) {
                reader.report(settings_fault::duplicate_key, section.pItem, key.pItem, "once");
            }
        }
    }
    return reader;
}

std::vector<std::string> ini_reader::sections() const
{
    return m_section_order;
}

bool ini_reader::has(const std::string& section, const std::string& key) const
{
    const auto entry = m_sections.find(section);
    return entry != m_sections.end() && entry->second.m_values.count(key) != 0;
}

ini_reader::value_entry* ini_reader::find(const std::string& section, const std::string& key)
{
    expect_section(section);
    const auto entry = m_sections.find(section);
    if (entry == m_sections.end()) {
        return nullptr;
    }
    const auto value = entry->second.m_values.find(key);
    if (value == entry->second.m_values.end()) {
        return nullptr;
    }
    value->second.m_known = true;
    return &value->second;
}

std::string ini_reader::text(const std::string& section, const std::string& key)
{
    const auto* value = find(section, key);
    if (value == nullptr) {
        report(settings_fault::missing_key, section, key, "a value");
        return {};
    }
    if (value->m_text.empty()) {
        report(settings_fault::wrong_type, section, key, "a value that is not empty");
    }
    return value->m_text;
}

std::string ini_reader::text_or(const std::string& section, const std::string& key,
                                std::string default_value)
{
    return has(section, key) ? text(section, key) : std::move(default_value);
}

std::string ini_reader::optional_text(const std::string& section, const std::string& key)
{
    const auto* value = find(section, key);
    return value == nullptr ? std::string{} : value->m_text;
}

std::uint64_t ini_reader::number(const std::string& section, const std::string& key,
                                 std::uint64_t min, std::uint64_t max)
{
    const auto allowed = fmt::format("{} to {}", min, max);
    const auto* entry = find(section, key);
    if (entry == nullptr) {
        report(settings_fault::missing_key, section, key, allowed);
        return min;
    }
    const auto& digits = entry->m_text;
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (parsed.ec == std::errc::invalid_argument || parsed.ptr != digits.data() + digits.size()) {
        report(settings_fault::wrong_type, section, key, allowed);
        return min;
    }
    if (parsed.ec == std::errc::result_out_of_range || value < min || value > max) {
        report(settings_fault::out_of_range, section, key, allowed);
        return min;
    }
    return value;
}

std::uint64_t ini_reader::number_or(const std::string& section, const std::string& key,
                                    std::uint64_t min, std::uint64_t max,
                                    std::uint64_t default_value)
{
    return has(section, key) ? number(section, key, min, max) : default_value;
}

std::vector<std::string> ini_reader::list(const std::string& section, const std::string& key)
{
    const auto value = text(section, key);
    std::vector<std::string> parts;
    std::istringstream stream{value};
    std::string part;
    while (std::getline(stream, part, ',')) {
        parts.emplace_back(trim(part));
    }
    return parts;
}

void ini_reader::report(settings_fault fault, const std::string& section, const std::string& key,
                        std::string allowed)
{
    settings_error error{fault, m_file, 0, section, key, std::move(allowed)};
    const auto entry = m_sections.find(section);
    if (entry != m_sections.end()) {
        const auto value = entry->second.m_values.find(key);
        error.m_line =
            value == entry->second.m_values.end() ? entry->second.m_line : value->second.m_line;
    }
    m_errors.push_back(std::move(error));
}

void ini_reader::expect_section(const std::string& section)
{
    const auto entry = m_sections.find(section);
    if (entry != m_sections.end()) {
        entry->second.m_known = true;
    }
}

std::vector<settings_error> ini_reader::finish()
{
    for (const auto& section : m_section_order) {
        const auto& entry = m_sections.at(section);
        if (!entry.m_known) {
            report(settings_fault::unknown_section, section, "", "");
            continue;
        }
        for (const auto& [key, value] : entry.m_values) {
            if (!value.m_known) {
                report(settings_fault::unknown_key, section, key, "");
            }
        }
    }
    std::stable_sort(m_errors.begin(), m_errors.end(), [](const auto& left, const auto& right) {
        return left.m_line < right.m_line;
    });
    return m_errors;
}

} // namespace peridotrudder
