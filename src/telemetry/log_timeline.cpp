#include "peridotrudder/telemetry/log_timeline.hpp"

#include "peridotrudder/base/codec.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <sstream>

namespace peridotrudder {

namespace {

/// Events that change who decides, or by what.
constexpr std::array<std::string_view, 7> changes{
    "started", "stopping", "claiming", "resigned", "owner_loaded", "yielding", "config_taken"};

struct read_line {
    timeline_entry m_entry;
    bool m_names_id{false};
};

std::string text_of(const nlohmann::json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Reads one line; nothing if it is none of ours.
std::optional<read_line> read(std::string_view id, const std::string& node, const std::string& text)
{
    // Some readers put their own words before a line.
    const auto begin = text.find('{');
    if (begin == std::string::npos) {
        return std::nullopt;
    }
    const auto json = parse_json(std::string_view{text}.substr(begin));
    if (!json || !json->is_object() || !json->contains("message")) {
        return std::nullopt;
    }
    read_line line;
    line.m_entry.m_node = node;
    line.m_entry.m_time = text_of(json->value("timestamp", nlohmann::json{""}));
    line.m_entry.m_event = text_of((*json)["message"]);
    const auto fields = json->value("context_map", nlohmann::json::object());
    for (const auto& [name, value] : fields.items()) {
        const auto field = text_of(value);
        line.m_names_id = line.m_names_id || field.find(id) != std::string::npos;
        if (!field.empty()) {
            line.m_entry.m_fields +=
                fmt::format("{}{}={}", line.m_entry.m_fields.empty() ? "" : " ", name, field);
        }
    }
    return line;
}

std::vector<read_line> read_all(std::string_view id, gsl::span<const log_source> sources)
{
    std::vector<read_line> lines;
    for (const auto& source : sources) {
        std::istringstream text{source.m_text};
        for (std::string each; std::getline(text, each);) {
            if (auto line = read(id, source.m_node, each)) {
                lines.push_back(std::move(*line));
            }
        }
    }
    std::stable_sort(lines.begin(), lines.end(), [](const read_line& left, const read_line& right) {
        return left.m_entry.m_time < right.m_entry.m_time;
    });
    return lines;
}

} // namespace

std::vector<timeline_entry> build_timeline(std::string_view id, gsl::span<const log_source> sources)
{
    const auto lines = read_all(id, sources);
    const auto names = [](const read_line& each) { return each.m_names_id; };
    const auto first = std::find_if(lines.begin(), lines.end(), names);
    const auto last = std::find_if(lines.rbegin(), lines.rend(), names).base();
    std::vector<timeline_entry> entries;
    bool waits = false;
    for (auto each = first; each < last; ++each) {
        const auto& event = each->m_entry.m_event;
        if (each->m_names_id) {
            waits = event == "job_accepted" || (waits && event != "job_begun");
        }
        const bool bears = std::find(changes.begin(), changes.end(), event) != changes.end() ||
                           (waits && event == "pools");
        if (each->m_names_id || bears) {
            entries.push_back(each->m_entry);
        }
    }
    return entries;
}

} // namespace peridotrudder
