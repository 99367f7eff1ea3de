/// @file
/// Fuzzes the decoders of input from sockets and files. The first byte selects the decoder. For any
/// bytes, a decoder has to return a value or a typed error.

#include "peridotrudder/jobs/job_store.hpp"
#include "peridotrudder/node/node_settings.hpp"
#include "peridotrudder/ownership/node_messages.hpp"
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

const std::array<decoder, 16> decoders{
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
