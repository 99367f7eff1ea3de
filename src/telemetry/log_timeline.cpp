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

/// Returns the field as text; empty if there is none.
std::string text_field(const nlohmann::json& fields, const std::string& name)
{
    return fields.is_object() && fields.contains(name) ? to_text(fields[name]) : "";
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
    line.m_entry.m_tenant = text_field(fields, "tenant");
    line.m_entry.m_kind = text_field(fields, "kind");
    line.m_entry.m_took_ms = text_field(fields, "took_ms");
    line.m_entry.m_detail = text_field(fields, "detail");
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
    std::string tenant;
    for (auto line = first; line < last; ++line) {
        const auto& event = line->m_entry.m_event;
        if (line->m_names_id) {
            is_waiting = event == "job_accepted" || (is_waiting && event != "job_begun");
            if (event == "job_accepted") {
                tenant = line->m_entry.m_tenant;
            }
        }
        const bool is_of_tenant =
            event == "tenant_waiting" && !tenant.empty() && line->m_entry.m_tenant == tenant;
        const bool is_related =
            std::find(change_events.begin(), change_events.end(), event) != change_events.end() ||
            (is_waiting && (event == "pools" || is_of_tenant));
        if (line->m_names_id || is_related) {
            entries.push_back(line->m_entry);
        }
    }
    return entries;
}

job_summary summarize_job(gsl::span<const timeline_entry> entries)
{
    job_summary summary;
    bool is_waiting = false;
    for (const auto& entry : entries) {
        const bool is_refusal = entry.m_event == "job_refused";
        const bool is_accepted = entry.m_event == "job_accepted";
        if (is_refusal || is_accepted) {
            summary.m_tenant = entry.m_tenant;
            summary.m_kind = entry.m_kind;
        }
        if (is_refusal) {
            ++summary.m_refusals;
            summary.m_refused_because = entry.m_detail;
        }
        is_waiting = is_accepted || (is_waiting && entry.m_event != "job_begun");
        if (is_waiting && entry.m_event == "tenant_waiting") {
            summary.m_waited_for = entry.m_detail;
        }
        if (entry.m_event == "job_begun") {
            summary.m_waited_ms = entry.m_took_ms;
        }
    }
    return summary;
}

std::vector<std::string> describe_summary(const job_summary& summary)
{
    std::vector<std::string> lines;
    if (!summary.m_tenant.empty()) {
        lines.push_back(fmt::format("tenant {}, {}", summary.m_tenant, summary.m_kind));
    }
    if (summary.m_refusals > 0) {
        lines.push_back(fmt::format("refused {} time(s), at last because it {}", summary.m_refusals,
                                    summary.m_refused_because));
    }
    if (summary.m_tenant.empty()) {
        return lines;
    }
    if (!summary.m_waited_ms.empty()) {
        lines.push_back(fmt::format("waited {} ms for its first start", summary.m_waited_ms));
    }
    if (!summary.m_waited_for.empty()) {
        lines.push_back("its tenant's waiting work then: " + summary.m_waited_for);
    }
    return lines;
}

} // namespace peridotrudder
