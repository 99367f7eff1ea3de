#include "peridotrudder/node/node_settings.hpp"

#include <algorithm>
#include <charconv>

namespace peridotrudder {

namespace {

constexpr std::uint64_t max_port = 65'535;
constexpr double thousandths = 1'000.0;
constexpr double max_value = 86'400.0;
constexpr std::uint64_t max_ms = 3'600'000;
constexpr std::uint64_t bytes_per_mb = 1'048'576;
constexpr std::uint64_t default_memory_mb = 160;
constexpr std::uint64_t max_memory_mb = 1'048'576;
constexpr std::uint64_t default_max_fds = 4'100;
constexpr std::uint64_t min_fds = 128;
constexpr std::uint64_t max_fds = 1'048'576;
constexpr std::uint64_t default_max_body_bytes = 262'144;
/// More than the platform's limit of 16,384 for headers, since the request line counts too.
constexpr std::uint64_t default_max_header_bytes = 32'768;
constexpr std::uint64_t default_copies_percent = 0;
constexpr std::uint64_t max_copies_percent = 100;
constexpr std::uint64_t most_connections = 65'536;
/// More than the nodes of a cluster of several hundred, which may all open their links at once.
constexpr std::uint64_t default_max_handshakes = 512;
constexpr std::uint64_t default_max_connections = 1'024;
/// Part of the descriptors that are callers' connections.
constexpr std::uint64_t connection_parts = 4;

endpoint read_endpoint(ini_reader& reader, const std::string& section, const std::string& key)
{
    const auto text = reader.text(section, key);
    const auto colon = text.rfind(':');
    endpoint parsed_endpoint;
    std::uint64_t port = 0;
    if (colon != std::string::npos) {
        const char* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
        port = parsed.ec == std::errc{} && parsed.ptr == end ? port : 0;
    }
    if (port == 0 || port > max_port) {
        if (!text.empty()) {
            reader.report(settings_fault::wrong_type, section, key, "ADDRESS:PORT");
        }
        return parsed_endpoint;
    }
    parsed_endpoint.m_address = text.substr(0, colon);
    parsed_endpoint.m_port = static_cast<std::uint16_t>(port);
    return parsed_endpoint;
}

/// Reads a number with or without a fraction, and returns it in thousandths.
std::int64_t read_thousandths(ini_reader& reader, const std::string& section,
                              const std::string& key)
{
    const auto text = reader.text(section, key);
    char* end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    if (text.empty()) {
        return 0;
    }
    if (*end != '\0' || !(value >= 0.0) || value > max_value) {
        reader.report(settings_fault::wrong_type, section, key,
                      "0 to 86400, with or without a fraction");
        return 0;
    }
    return static_cast<std::int64_t>(value * thousandths);
}

/// Reads a factor of 1 or more; 1 if the key is absent or empty.
double read_factor(ini_reader& reader, const std::string& section, const std::string& key)
{
    if (reader.optional_text(section, key).empty()) {
        return 1.0;
    }
    const auto value = read_thousandths(reader, section, key);
    return std::max(static_cast<double>(value) / thousandths, 1.0);
}

milliseconds read_seconds(ini_reader& reader, const std::string& section, const std::string& key)
{
    return milliseconds{read_thousandths(reader, section, key)};
}

milliseconds read_ms(ini_reader& reader, const std::string& section, const std::string& key)
{
    return milliseconds{reader.number(section, key, 0, max_ms)};
}

/// Returns whether a list of names has this one, however the platform writes its lists: with
/// commas, brackets or quotes.
bool contains_name(std::string_view text, std::string_view name)
{
    constexpr std::string_view separators = " \t,;[]\"'";
    while (!text.empty()) {
        const auto end = std::min(text.find_first_of(separators), text.size());
        if (text.substr(0, end) == name) {
            return true;
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return false;
}

/// Reads whether workers are graded: not if the key is absent or empty, and with `platform` where
/// the platform has unhealthy workers.
bool read_graded_health(ini_reader& reader)
{
    const auto features = reader.optional_text("platform", "features");
    const auto text = reader.optional_text("limits", "graded_health");
    if (!text.empty() && text != "true" && text != "false" && text != "platform") {
        reader.report(settings_fault::wrong_type, "limits", "graded_health",
                      "true, false or platform");
    }
    return text == "true" || (text == "platform" && contains_name(features, "health"));
}

void read_caller_limits(ini_reader& reader, node_settings& settings)
{
    settings.m_memory_bytes =
        reader.number_or("limits", "memory_mb", 16, max_memory_mb, default_memory_mb) *
        bytes_per_mb;
    settings.m_max_descriptors =
        reader.number_or("limits", "max_fds", min_fds, max_fds, default_max_fds);
    settings.m_max_body_bytes =
        reader.number_or("limits", "max_body_bytes", 1'024, 16'777'216, default_max_body_bytes);
    settings.m_max_header_bytes =
        reader.number_or("limits", "max_header_bytes", 1'024, 65'536, default_max_header_bytes);
    settings.m_max_connections =
        reader.number_or("limits", "max_connections", 16, most_connections,
                         std::min<std::uint64_t>(default_max_connections,
                                                 settings.m_max_descriptors / connection_parts));
    settings.m_max_handshakes =
        reader.number_or("limits", "max_handshakes", 16, most_connections, default_max_handshakes);
}

tl::expected<node_settings, std::vector<settings_error>> read_settings(ini_reader reader)
{
    node_settings settings;
    settings.m_name = reader.text("node", "name");
    settings.m_zone = reader.text("node", "zone");
    settings.m_cluster_token = reader.text("node", "cluster_token");
    settings.m_callers = read_endpoint(reader, "listen", "callers");
    settings.m_ready = read_endpoint(reader, "listen", "ready");
    settings.m_peers = read_endpoint(reader, "listen", "peers");
    settings.m_advertised_peers = reader.optional_text("listen", "advertised_peers").empty()
                                      ? settings.m_peers
                                      : read_endpoint(reader, "listen", "advertised_peers");
    settings.m_metrics = read_endpoint(reader, "listen", "metrics");
    settings.m_log = reader.text("platform", "log");
    settings.m_vm_control = reader.optional_text("platform", "vm_control");
    settings.m_policy = reader.optional_text("platform", "policy");
    // In cores, possibly with a fraction.
    settings.m_cpu_millis =
        static_cast<std::uint32_t>(read_thousandths(reader, "limits", "cpu_cores"));
    settings.m_longest_lease = read_ms(reader, "limits", "longest_lease_ms");
    settings.m_grace = read_seconds(reader, "limits", "grace_s");
    settings.m_retention = read_seconds(reader, "limits", "retention_s");
    settings.m_vm_lease = read_ms(reader, "limits", "vm_lease_ms");
    settings.m_move_time = read_seconds(reader, "limits", "move_s");
    settings.m_maintenance_time = read_seconds(reader, "limits", "maintenance_s");
    settings.m_far_factor = read_factor(reader, "limits", "far_factor");
    settings.m_copies_percent = static_cast<std::uint32_t>(reader.number_or(
        "limits", "copies_percent", 0, max_copies_percent, default_copies_percent));
    settings.m_graded_health = read_graded_health(reader);
    read_caller_limits(reader, settings);
    auto errors = reader.finish();
    if (!errors.empty()) {
        return tl::make_unexpected(std::move(errors));
    }
    return settings;
}

} // namespace

tl::expected<node_settings, std::vector<settings_error>> load_node_settings(const std::string& path)
{
    auto reader = ini_reader::open(path);
    if (!reader) {
        return tl::make_unexpected(std::vector<settings_error>{reader.error()});
    }
    return read_settings(std::move(*reader));
}

tl::expected<node_settings, std::vector<settings_error>>
parse_node_settings(const std::string& name, std::string_view text)
{
    auto reader = ini_reader::parse(name, text);
    if (!reader) {
        return tl::make_unexpected(std::vector<settings_error>{reader.error()});
    }
    return read_settings(std::move(*reader));
}

} // namespace peridotrudder
