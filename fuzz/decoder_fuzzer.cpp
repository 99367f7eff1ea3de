/// @file
/// Fuzzes the decoders of input from sockets and files. The first byte selects the decoder. For any
/// bytes, a decoder has to return a value or a typed error.

#include "peridotrudder/jobs/job_store.hpp"
#include "peridotrudder/links/peer_messages.hpp"
#include "peridotrudder/machines/worker_session.hpp"
#include "peridotrudder/node/node_settings.hpp"
#include "peridotrudder/ownership/node_messages.hpp"
#include "peridotrudder/planning/pool_demand.hpp"
#include "peridotrudder/planning/vm_fleet.hpp"
#include "peridotrudder/planning/wave_tracker.hpp"
#include "peridotrudder/scheduling/admission.hpp"
#include "platform/caller_gateway.hpp"
#include "platform/log_service.hpp"
#include "platform/policy_service.hpp"
#include "platform/wire_codec.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace peridotrudder;

constexpr std::uint32_t status_ok = 200;
constexpr std::uint32_t status_conflict = 409;

using decoder = void (*)(std::string_view text);

gsl::span<const std::uint8_t> bytes_of(std::string_view text)
{
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

/// Restores a job from two records, split at the first zero byte of the text, and encodes the
/// restored job again.
void restore_job(std::string_view text)
{
    const auto separator = std::min(text.find('\0'), text.size());
    const auto value = [](std::string_view part) {
        return std::vector<std::uint8_t>{part.begin(), part.end()};
    };
    const std::string id = "5c0e7a21d94b36f8";
    const std::vector<keyed_record> records{
        {"job/" + id, value(text.substr(0, separator)), 0},
        {"run/" + id, value(text.substr(std::min(separator + 1, text.size()))), 1}};
    restore_report report;
    auto store = job_store::restore(records, report);
    if (store.find(id) != nullptr) {
        store.mark_changed(id);
        static_cast<void>(store.take_changes());
    }
}

/// Reads a worker's entry whose key and value are split at the first zero byte of the text, and
/// writes the question about the worker.
void read_worker_with_id(std::string_view text)
{
    const auto separator = std::min(text.find('\0'), text.size());
    const std::string id{text.substr(0, separator)};
    const auto value = text.substr(std::min(separator + 1, text.size()));
    if (const auto report = platform::decode_worker(id, bytes_of(value))) {
        static_cast<void>(platform::encode_question({{"0", 0, 0}, {report->m_instance}, {}}));
    }
}

/// Reads a list of runs, and writes the order to start the first one again.
void read_runs(std::string_view text)
{
    const auto answer = platform::decode_hold_answer(status_ok, text);
    if (!answer.m_running.empty()) {
        start_order order;
        order.m_key = answer.m_running[0].m_key;
        order.m_checkpoint = answer.m_running[0].m_checkpoint;
        static_cast<void>(platform::encode_start(order));
    }
}

/// Feeds two lists of runs, split at the first zero byte of the text, to a worker's session.
void follow_worker(std::string_view text)
{
    const auto separator = std::min(text.find('\0'), text.size());
    const time_point start{milliseconds{1'000'000}};
    worker_report report;
    report.m_instance = {"i-1", 3};
    report.m_capacity = {16'000, 32'768, 0};
    auto session = worker_session::create(report, 1, {}, start);
    auto now = start;
    for (const auto& body :
         {text.substr(0, separator), text.substr(std::min(separator + 1, text.size()))}) {
        const auto answer = platform::decode_hold_answer(status_ok, body);
        static_cast<void>(session.next_hold(now));
        for (const auto& entry : session.hold_answered(answer, now, now).m_unknown_runs) {
            worker_run run;
            run.m_run = entry.m_run;
            session.reserve(entry.m_key, run);
        }
        now += milliseconds{1'000};
        static_cast<void>(session.lease_ends_at());
        static_cast<void>(session.start_deadline(now));
    }
}

/// Measures the demand of a pool with the job in the text, and decides on the same job again.
void measure_job(std::string_view text)
{
    const auto spec = platform::decode_job(text);
    if (!spec || check_spec(*spec) != spec_fault::none) {
        return;
    }
    scheduler_state state;
    queue_config queue;
    queue.m_pool = "pool";
    state.m_config = fleet_config::create(1, {queue}, {{"pool", false, false}});
    const moment now{time_point{milliseconds{1'000'000}}, 1'700'000'000'000};
    for (const std::string id : {"0123456789abcdef", "0123456789abcdee"}) {
        state.m_job_store.add({id, queue, now.m_unix_ms, *spec});
    }
    const auto load = pool_demand::create(milliseconds{1'700}).measure(state, now).at("pool");
    static_cast<void>(required_vms(load, 1));
    const pool_outlook outlook{load.m_backlog, load.m_waiting, 1, 0.0};
    static_cast<void>(decide_admission(*spec, queue, outlook, load.m_backlog));
}

/// Restores a record of a VM's order and one of a wave from the text.
void restore_plan(std::string_view text)
{
    const std::vector<std::uint8_t> value{text.begin(), text.end()};
    vm_fleet_hooks hooks;
    hooks.m_decided = [](const decision& /*made*/) {};
    const moment now{time_point{milliseconds{1'000'000}}, 1'700'000'000'000};
    vm_fleet::create({}, 1, hooks)->restore({{"vm/m-1", value, 0}}, now);
    wave_tracker waves;
    waves.restore({{"maintenance/wave/1", value, 0}});
    waves.declare({1, {"m-1"}, milliseconds{1'000}, 1}, "wave/1", now.m_unix_ms);
    static_cast<void>(waves.take_changes());
}

/// Reads a caller's request with the text as path, header and body.
void read_request(std::string_view text)
{
    http_request request;
    request.m_method = "POST";
    request.m_path = text.substr(0, text.find('\0'));
    request.m_headers = {{"Host", std::string{text}},
                         {"Deadline-Ms", std::string{text}},
                         {"Credential", std::string{text}}};
    request.m_body = text;
    static_cast<void>(platform::read_call(request));
    static_cast<void>(platform::time_left(request));
}

const std::array<decoder, 22> decoders{
    [](std::string_view text) { static_cast<void>(platform::decode_job(text)); },
    [](std::string_view text) { static_cast<void>(platform::decode_config(bytes_of(text))); },
    [](std::string_view text) {
        static_cast<void>(platform::decode_worker("i-1", bytes_of(text)));
    },
    [](std::string_view text) { static_cast<void>(platform::decode_wave(bytes_of(text))); },
    [](std::string_view text) {
        std::string next;
        static_cast<void>(platform::decode_platform_vms(text, next));
    },
    read_runs,
    [](std::string_view text) {
        static_cast<void>(platform::decode_order_answer(status_conflict, text));
    },
    [](std::string_view text) {
        static_cast<void>(platform::decode_policy_answer(status_ok, text));
    },
    [](std::string_view text) { static_cast<void>(platform::parse_read_body(text)); },
    [](std::string_view text) { static_cast<void>(decode_node_message(bytes_of(text))); },
    [](std::string_view text) { static_cast<void>(parse_node_settings("node.ini", text)); },
    restore_job,
    read_worker_with_id,
    [](std::string_view text) {
        static_cast<void>(platform::decode_order_answer(status_ok, text));
    },
    [](std::string_view text) {
        static_cast<void>(platform::decode_hold_answer(status_conflict, text));
    },
    [](std::string_view text) {
        const auto spec = platform::decode_job(text);
        if (spec && check_spec(*spec) == spec_fault::none) {
            static_cast<void>(longest_chain(*spec));
            static_cast<void>(estimated_work(*spec));
            static_cast<void>(job::create({"0123456789abcdef", {}, 0, *spec}));
        }
    },
    [](std::string_view text) { static_cast<void>(platform::parse_newest_body(text)); },
    follow_worker,
    measure_job,
    restore_plan,
    read_request,
    [](std::string_view text) { static_cast<void>(decode_peer_message(bytes_of(text))); },
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string_view text{reinterpret_cast<const char*>(data + 1), size - 1};
    decoders[data[0] % decoders.size()](text);
    return 0;
}
