/// @file
/// `standin-platform`: replaces the platform in tests and demos: the log, the VM list and reboots,
/// with fault injection. Keeps everything in memory. Not for production.

#include "peridotrudder/base/codec.hpp"
#include "peridotrudder/base/stop_signal.hpp"
#include "peridotrudder/links/http_client.hpp"
#include "peridotrudder/links/http_server.hpp"
#include "peridotrudder/machines/vm.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_uint32(port, 7000, "Port to listen on");
DEFINE_string(vms, "", "JSON file with the VM list: {\"vms\": [...]}");

namespace {

using namespace peridotrudder;

/// Faults that a test sets with POST /faults.
struct platform_faults {
    /// The log refuses every request.
    bool m_log_down{false};
    /// Appends take effect, but are answered with status 503.
    bool m_lose_append_answers{false};
    /// Delay of each request to the log.
    milliseconds m_log_delay{0};
    /// Requests for the VM list are refused.
    bool m_list_down{false};
    /// Reboots take effect, but are answered with status 503.
    bool m_lose_reboot_answers{false};
    /// Client (header `X-Client`) whose requests are all refused; empty for none.
    std::string m_cut_off;
    /// Oldest offset that reads of the log return.
    std::uint64_t m_retain_from{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("log_down", self.m_log_down);
        archive.field("lose_append_answers", self.m_lose_append_answers);
        archive.field("log_delay_ms", self.m_log_delay);
        archive.field("list_down", self.m_list_down);
        archive.field("lose_reboot_answers", self.m_lose_reboot_answers);
        archive.field("cut_off", self.m_cut_off);
        archive.field("retain_from", self.m_retain_from);
    }
};

class platform {
public:
    explicit platform(vm_list vms) : m_vms{std::move(vms)} {}

    http_response answer(const http_request& request)
    {
        const std::string& path = request.m_path;
        const auto current_faults = faults();
        if (!current_faults.m_cut_off.empty() &&
            find_header(request.m_headers, "X-Client") == current_faults.m_cut_off) {
            return unavailable();
        }
        if (path == "/log") {
            std::this_thread::sleep_for(current_faults.m_log_delay);
            return request.m_method == "POST" ? append(request) : read(request);
        }
        const std::lock_guard<std::mutex> lock{m_mutex};
        if (path == "/vms" && request.m_method == "GET") {
            return list_vms(request);
        }
        if (path == "/faults" && request.m_method == "POST") {
            return set_faults(request);
        }
        if (path == "/leaving" && request.m_method == "POST") {
            return set_leaving(request.m_query, true);
        }
        if (path == "/staying" && request.m_method == "POST") {
            return set_leaving(request.m_query, false);
        }
        if (path == "/ledger") {
            return ledger();
        }
        if (path.compare(0, 5, "/vms/") == 0 && request.m_method == "POST") {
            return reboot(path, request);
        }
        return json_response(404, "{}");
    }

private:
    /// Returns the answer to a request that had no effect.
    static http_response unavailable()
    {
        auto response = json_response(503, "{}");
        response.m_headers.push_back({"X-Not-Started", "1"});
        return response;
    }

    /// Returns the answer to a request that took effect, without telling the client so.
    static http_response lost_answer() { return json_response(503, "{}"); }

    platform_faults faults()
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        return m_faults;
    }

    http_response append(const http_request& request)
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        auto json = parse_json(request.m_body);
        if (m_faults.m_log_down || !json) {
            return unavailable();
        }
        const auto offset = m_records.size();
        m_records.push_back(std::move(*json));
        if (m_faults.m_lose_append_answers) {
            return lost_answer();
        }
        return json_response(201, nlohmann::json{{"offset", offset}}.dump());
    }

    http_response read(const http_request& request)
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        if (m_faults.m_log_down) {
            return unavailable();
        }
        constexpr std::uint64_t default_limit = 1'000;
        const auto first_offset =
            std::max(query_number(request.m_query, "from", 0), m_faults.m_retain_from);
        const auto limit = query_number(request.m_query, "limit", default_limit);
        auto records = nlohmann::json::array();
        for (auto offset = first_offset; offset < m_records.size() && records.size() < limit;
             ++offset) {
            records.push_back({{"offset", offset}, {"record", m_records[offset]}});
        }
        const nlohmann::json body = {
            {"first", m_faults.m_retain_from}, {"next", m_records.size()}, {"records", records}};
        return json_response(200, body.dump());
    }

    http_response set_faults(const http_request& request)
    {
        // Faults that the body does not name keep their values.
        auto merged = encode_json(m_faults);
        const auto changes = parse_json(request.m_body);
        if (!changes || !changes->is_object()) {
            return json_response(400, "{}");
        }
        merged.update(*changes);
        const auto decoded = decode_json<platform_faults>(merged);
        if (!decoded) {
            return json_response(400, "{}");
        }
        m_faults = *decoded;
        return json_response(200, merged.dump());
    }

    http_response list_vms(const http_request& request) const
    {
        if (m_faults.m_list_down) {
            return unavailable();
        }
        const auto entity_tag = fmt::format("\"{}\"", m_list_version);
        http_response response;
        if (find_header(request.m_headers, "If-None-Match") == entity_tag) {
            response.m_status = 304;
        }
        else {
            response = json_response(200, encode_json(m_vms).dump());
        }
        response.m_headers.push_back({"ETag", entity_tag});
        return response;
    }

    listed_vm* find_vm(std::string_view id)
    {
        const auto vm =
            std::find_if(m_vms.m_vms.begin(), m_vms.m_vms.end(),
                         [&](const listed_vm& candidate) { return candidate.m_vm.m_id == id; });
        return vm == m_vms.m_vms.end() ? nullptr : &*vm;
    }

    http_response set_leaving(const std::string& query, bool leaving)
    {
        auto* vm = find_vm(query.substr(query.find('=') + 1));
        if (vm == nullptr) {
            return json_response(404, "{}");
        }
        vm->m_leaving = leaving;
        ++m_list_version;
        return json_response(200, "{}");
    }

    http_response reboot(const std::string& path, const http_request& request)
    {
        const auto id = path.substr(5, path.find('/', 5) - 5);
        auto* vm = find_vm(id);
        if (vm == nullptr) {
            return json_response(404, "{}");
        }
        const auto expected = fmt::format("\"{}\"", vm->m_boot);
        if (find_header(request.m_headers, "If-Match") != expected) {
            return json_response(412, "{}");
        }
        ++vm->m_boot;
        ++m_list_version;
        ++m_reboots[id];
        return m_faults.m_lose_reboot_answers ? lost_answer() : json_response(200, "{}");
    }

    http_response ledger()
    {
        const nlohmann::json body = {{"appends", m_records.size()}, {"reboots", m_reboots}};
        return json_response(200, body.dump());
    }

    std::mutex m_mutex;
    platform_faults m_faults;
    std::deque<nlohmann::json> m_records;
    vm_list m_vms;
    std::uint64_t m_list_version{1};
    std::map<std::string, std::uint64_t> m_reboots;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("--vms FILE [--port N]\n\nReplaces the platform in tests.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    install_stop_signals();
    std::ifstream file{FLAGS_vms};
    std::ostringstream text;
    text << file.rdbuf();
    auto vms = decode_text<vm_list>(text.str());
    if (!vms) {
        std::cerr << FLAGS_vms << ": " << to_string(vms.error().m_fault) << ' '
                  << vms.error().m_field << '\n';
        return 2;
    }
    platform stand_in_platform{std::move(*vms)};
    http_server_options options;
    options.m_address = FLAGS_address;
    options.m_port = static_cast<std::uint16_t>(FLAGS_port);
    options.m_threads = 4;
    options.m_max_body_bytes = 16'777'216;
    const auto server = http_server::create(
        options, [&stand_in_platform](const http_request& request, const http_responder& respond) {
            respond(stand_in_platform.answer(request));
        });
    if (!server) {
        std::cerr << "cannot listen: " << server.error().m_reason << '\n';
        return 3;
    }
    while (!stop_requested()) {
        std::this_thread::sleep_for(milliseconds{50});
    }
    return 0;
}
