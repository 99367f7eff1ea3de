#include "peridotrudder/telemetry/log_timeline.hpp"

#include "peridotrudder/base/codec.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <sstream>

namespace peridotrudder {

namespace {

/// Events that change the owner or the configuration.
constexpr std::array<std::string_view, 7> change_events{
    "started", "stopping", "claiming", "resigned", "owner_loaded", "yielding", "config_taken"};

struct parsed_line {
    timeline_entry m_entry;
    bool m_names_id{false};
};

std::string to_text(const nlohmann::json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Parses one line. Returns nothing if `log_event` did not write it.
std::optional<parsed_line> parse_line(std::string_view id, const std::string& node,
                                      const std::string& text)
{
    // Some log collectors put a prefix before each line.
    const auto begin = text.find('{');
    if (begin == std::string::npos) {
        return std::nullopt;
    }
    const auto json = parse_json(std::string_view{text}.substr(begin));
    if (!json || !json->is_object() || !json->contains("message")) {
        return std::nullopt;
    }
    parsed_line line;
    line.m_entry.m_node = node;
    line.m_entry.m_time = to_text(json->value("timestamp", nlohmann::json{""}));
    line.m_entry.m_event = to_text((*json)["message"]);
    const auto fields = json->value("context_map", nlohmann::json::object());
    for (const auto& [name, value] : fields.items()) {
        const auto field = to_text(value);
        line.m_names_id = line.m_names_id || field.find(id) != std::string::npos;
        if (!field.empty()) {
            line.m_entry.m_fields +=
                fmt::format("{}{}={}", line.m_entry.m_fields.empty() ? "" : " ", name, field);
        }
    }
    return line;
}

std::vector<parsed_line> parse_all(std::string_view id, gsl::span<const log_source> sources)
{
    std::vector<parsed_line> lines;
    for (const auto& source : sources) {
        std::istringstream text{source.m_text};
        for (std::string raw_line; std::getline(text, raw_line);) {
            if (auto line = parse_line(id, source.m_node, raw_line)) {
                lines.push_back(std::move(*line));
            }
        }
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const parsed_line& left, const parsed_line& right) {
                         return left.m_entry.m_time < right.m_entry.m_time;
                     });
    return lines;
}

} // namespace

std::vector<timeline_entry> build_timeline(std::string_view id, gsl::span<const log_source> sources)
{
    const auto lines = parse_all(id, sources);
    const auto names_id = [](const parsed_line& line) { return line.m_names_id; };
    const auto first = std::find_if(lines.begin(), lines.end(), names_id);
    const auto last = std::find_if(lines.rbegin(), lines.rend(), names_id).base();
    std::vector<timeline_entry> entries;
    bool is_waiting = false;
    for (auto line = first; line < last; ++line) {
        const auto& event = line->m_entry.m_event;
        if (line->m_names_id) {
            is_waiting = event == "job_accepted" || (is_waiting && event != "job_begun");
        }
        const bool is_related =
            std::find(change_events.begin(), change_events.end(), event) != change_events.end() ||
            (is_waiting && event == "pools");
        if (line->m_names_id || is_related) {
            entries.push_back(line->m_entry);
        }
    }
    return entries;
}

} // namespace peridotrudder
