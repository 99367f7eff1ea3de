#include "peridotrudder/settings/entry_settings.hpp"

#include "peridotrudder/base/hash.hpp"

#include <asio/ip/address.hpp>

#include <algorithm>
#include <set>

namespace peridotrudder {

namespace {

constexpr std::uint64_t max_port = 65'535;
constexpr std::uint64_t min_port = 1'024;
constexpr std::size_t min_token_length = 16;
constexpr std::uint64_t default_max_body_bytes = 1'048'576;
constexpr std::uint64_t bytes_per_mb = 1'048'576;
constexpr std::uint64_t default_memory_mb = 512;
constexpr std::uint64_t max_memory_mb = 1'048'576;
constexpr std::uint64_t default_max_fds = 8'192;
constexpr std::uint64_t min_fds = 128;
constexpr std::uint64_t max_fds = 1'048'576;
constexpr std::uint64_t default_max_header_bytes = 32'768;
constexpr std::uint64_t most_connections = 65'536;
/// More than the nodes of a cluster of several hundred, which may all open their links at once.
constexpr std::uint64_t default_max_handshakes = 512;
constexpr std::uint64_t default_max_connections = 2'048;
/// Part of the descriptors that are callers' connections; each may need one to its worker.
constexpr std::uint64_t connection_parts = 4;
constexpr std::uint64_t default_caller_threads = 2;
constexpr std::uint64_t default_upstream_timeout_ms = 60'000;
constexpr std::uint64_t max_upstream_timeout_ms = 600'000;
constexpr std::string_view contract_prefix = "contract.";
constexpr std::uint64_t ms_per_second = 1'000;
constexpr std::uint64_t max_window_s = 7'776'000;

std::uint16_t read_port(ini_reader& reader, const std::string& key)
{
    return static_cast<std::uint16_t>(reader.number("entry", key, min_port, max_port));
}

std::string read_token(ini_reader& reader, const std::string& key)
{
    auto token = reader.text("entry", key);
    if (!token.empty() && token.size() < min_token_length) {
        reader.report(settings_fault::out_of_range, "entry", key, "16 characters or more");
    }
    return token;
}

void check_ports(ini_reader& reader, const entry_settings& settings)
{
    const std::set<std::uint16_t> ports{settings.m_caller_port, settings.m_operator_port,
                                        settings.m_peer_port};
    if (ports.size() < 3) {
        reader.report(settings_fault::contradiction, "entry", "caller_port",
                      "three different ports");
    }
}

void check_address(ini_reader& reader, const entry_settings& settings)
{
    asio::error_code error;
    asio::ip::make_address(settings.m_address, error);
    if (error && !settings.m_address.empty()) {
        reader.report(settings_fault::wrong_type, "entry", "address", "an IP number");
    }
}

contract read_contract(ini_reader& reader, const std::string& section)
{
    contract result;
    result.m_customer = section.substr(contract_prefix.size());
    result.m_api_key_sha256 = reader.text(section, "api_key_sha256");
    result.m_pools = reader.list(section, "pools");
    result.m_capacity_slots =
        static_cast<std::uint32_t>(reader.number(section, "capacity_slots", 1, max_capacity_slots));
    result.m_vms_away =
        static_cast<std::uint32_t>(reader.number(section, "vms_away", 1, max_vms_away));
    result.m_time_to_wait = milliseconds{reader.number(
        section, "time_to_wait_ms", 1, static_cast<std::uint64_t>(max_time_to_wait.count()))};
    result.m_availability_ppm = static_cast<std::uint32_t>(
        reader.number(section, "availability_ppm", 0, parts_per_million - 1));
    result.m_availability_window = milliseconds{
        reader.number(section, "availability_window_s", 1, max_window_s) * ms_per_second};
    result.m_retry_window = milliseconds{reader.number(section, "retry_window_s",
                                                       min_retry_window.count() / ms_per_second,
                                                       max_retry_window.count() / ms_per_second) *
                                         ms_per_second};
    result.m_class = reader.name<work_class>(section, "class");
    return result;
}

void check_contract_section(ini_reader& reader, const std::string& section, const contract& value)
{
    for (const auto fault : check_contract(value)) {
        if (fault == contract_fault::customer_name) {
            reader.report(settings_fault::out_of_range, section, "",
                          "a name of a-z, 0-9 and -, up to 64 characters");
        }
        if (fault == contract_fault::api_key_hash && !value.m_api_key_sha256.empty()) {
            reader.report(settings_fault::wrong_type, section, "api_key_sha256",
                          "64 lower-case hexadecimal characters");
        }
    }
}

/// Rejects an API key shared by two customers, because requests identify their customer by the key.
void check_distinct_keys(ini_reader& reader, const std::vector<contract>& contracts)
{
    std::set<std::string> digests;
    for (const auto& entry : contracts) {
        if (!entry.m_api_key_sha256.empty() && !digests.insert(entry.m_api_key_sha256).second) {
            reader.report(settings_fault::contradiction,
                          std::string{contract_prefix} + entry.m_customer, "api_key_sha256",
                          "a key that no other customer has");
        }
    }
}

} // namespace

tl::expected<entry_settings, std::vector<settings_error>> read_entry_settings(ini_reader reader)
{
    entry_settings settings;
    settings.m_name = reader.text("entry", "name");
    settings.m_zone = reader.text("entry", "zone");
    settings.m_region = reader.text("entry", "region");
    settings.m_address = reader.text("entry", "address");
    settings.m_caller_port = read_port(reader, "caller_port");
    settings.m_operator_port = read_port(reader, "operator_port");
    settings.m_peer_port = read_port(reader, "peer_port");
    settings.m_platform_url = reader.text("entry", "platform_url");
    settings.m_cluster_token = read_token(reader, "cluster_token");
    settings.m_operator_token = read_token(reader, "operator_token");
    settings.m_max_body_bytes =
        reader.number_or("limits", "max_body_bytes", 1'024, 16'777'216, default_max_body_bytes);
    settings.m_max_header_bytes =
        reader.number_or("limits", "max_header_bytes", 1'024, 65'536, default_max_header_bytes);
    settings.m_memory_bytes =
        reader.number_or("limits", "memory_mb", 16, max_memory_mb, default_memory_mb) *
        bytes_per_mb;
    settings.m_max_descriptors =
        reader.number_or("limits", "max_fds", min_fds, max_fds, default_max_fds);
    settings.m_max_connections =
        reader.number_or("limits", "max_connections", 16, most_connections,
                         std::min<std::uint64_t>(default_max_connections,
                                                 settings.m_max_descriptors / connection_parts));
    settings.m_max_handshakes =
        reader.number_or("limits", "max_handshakes", 16, most_connections, default_max_handshakes);
    settings.m_caller_threads =
        reader.number_or("limits", "caller_threads", 1, 64, default_caller_threads);
    settings.m_upstream_timeout =
        milliseconds{reader.number_or("limits", "upstream_timeout_ms", 100, max_upstream_timeout_ms,
                                      default_upstream_timeout_ms)};
    if (reader.has("routing", "slot_policy")) {
        settings.m_slot_policy = reader.name<slot_policy>("routing", "slot_policy");
    }
    check_ports(reader, settings);
    check_address(reader, settings);
    auto errors = reader.finish();
    if (!errors.empty()) {
        return tl::make_unexpected(std::move(errors));
    }
    return settings;
}

tl::expected<entry_settings, std::vector<settings_error>>
load_entry_settings(const std::string& path)
{
    auto reader = ini_reader::open(path);
    if (!reader) {
        return tl::make_unexpected(std::vector<settings_error>{reader.error()});
    }
    return read_entry_settings(std::move(*reader));
}

tl::expected<std::vector<contract>, std::vector<settings_error>> read_contracts(ini_reader reader)
{
    std::vector<contract> contracts;
    for (const auto& section : reader.sections()) {
        if (section.compare(0, contract_prefix.size(), contract_prefix) != 0) {
            continue;
        }
        contracts.push_back(read_contract(reader, section));
        check_contract_section(reader, section, contracts.back());
    }
    check_distinct_keys(reader, contracts);
    auto errors = reader.finish();
    if (contracts.empty() && errors.empty()) {
        errors.push_back({settings_fault::missing_section, "", 0, "contract.<customer>", "", ""});
    }
    if (!errors.empty()) {
        return tl::make_unexpected(std::move(errors));
    }
    return contracts;
}

tl::expected<std::vector<contract>, std::vector<settings_error>>
load_contracts(const std::string& path)
{
    auto reader = ini_reader::open(path);
    if (!reader) {
        return tl::make_unexpected(std::vector<settings_error>{reader.error()});
    }
    return read_contracts(std::move(*reader));
}

} // namespace peridotrudder
