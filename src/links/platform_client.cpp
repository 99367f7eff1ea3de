#include "peridotrudder/links/platform_client.hpp"

#include <fmt/format.h>

namespace peridotrudder {

namespace {

constexpr milliseconds platform_timeout{3'000};
constexpr std::uint32_t created = 201;
constexpr std::uint32_t ok = 200;
constexpr std::uint32_t not_modified = 304;
constexpr std::uint32_t precondition_failed = 412;

/// Wire format of the log's answer to a read.
struct page_frame {
    struct entry {
        std::uint64_t m_offset{0};
        nlohmann::json m_record;

        template <typename Archive, typename Self>
        static void describe(Archive& archive, Self& self)
        {
            archive.field("offset", self.m_offset);
            archive.field("record", self.m_record);
        }
    };

    std::uint64_t m_first{0};
    std::uint64_t m_next{0};
    std::vector<entry> m_records;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("first", self.m_first);
        archive.field("next", self.m_next);
        archive.field("records", self.m_records);
    }
};

/// Wire format of the log's answer to an append.
struct append_frame {
    std::uint64_t m_offset{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("offset", self.m_offset);
    }
};

platform_fault fault_of(transport_fault fault)
{
    return fault == transport_fault::not_connected ? platform_fault::unavailable
                                                   : platform_fault::answer_lost;
}

/// Returns the body if the answer has the status `expected_status`, otherwise the fault.
tl::expected<std::string, platform_fault> body_of(const http_result& result,
                                                  std::uint32_t expected_status)
{
    if (!result) {
        return tl::make_unexpected(fault_of(result.error()));
    }
    if (result->m_status == precondition_failed) {
        return tl::make_unexpected(platform_fault::precondition_failed);
    }
    if (result->m_status != expected_status) {
        // Only an explicit header from the platform proves that a failed call had no effect.
        const bool no_effect = find_header(result->m_headers, "X-Not-Started") == "1";
        return tl::make_unexpected(no_effect ? platform_fault::unavailable
                                             : platform_fault::answer_lost);
    }
    return result->m_body;
}

template <typename T>
tl::expected<T, platform_fault> decode_body(const std::string& body)
{
    auto value = decode_text<T>(body);
    if (!value) {
        return tl::make_unexpected(platform_fault::bad_answer);
    }
    return std::move(*value);
}

} // namespace

platform_client::platform_client(std::string url, std::string client)
    : m_url{std::move(url)},
      m_client{std::move(client)}
{
}

http_call platform_client::make_call(std::string method, std::string path) const
{
    http_call call;
    call.m_method = std::move(method);
    call.m_url = m_url + std::move(path);
    call.m_timeout = platform_timeout;
    call.m_headers.push_back({"X-Client", m_client});
    return call;
}

tl::expected<log_page, platform_fault> platform_client::read_log(std::uint64_t from,
                                                                 std::size_t limit) const
{
    const auto answer = fetch(make_call("GET", fmt::format("/log?from={}&limit={}", from, limit)));
    const auto frame = body_of(answer, ok).and_then(decode_body<page_frame>);
    if (!frame) {
        return tl::make_unexpected(frame.error());
    }
    log_page page;
    page.m_first = frame->m_first;
    page.m_next = frame->m_next;
    for (const auto& frame_record : frame->m_records) {
        auto value = decode_record(frame_record.m_record);
        if (!value) {
            // A record of a later version or of an unknown writer is replaced by one without
            // effect, on every reader.
            value = record{};
            value->m_id = fmt::format("unreadable-{}", frame_record.m_offset);
            value->m_body = term_renewed{};
        }
        page.m_records.push_back({frame_record.m_offset, std::move(*value)});
    }
    return page;
}

tl::expected<std::uint64_t, platform_fault> platform_client::append(const record& value) const
{
    auto call = make_call("POST", "/log");
    call.m_body = encode_record(value).dump();
    call.m_may_reuse_connection = false;
    const auto frame = body_of(fetch(call), created).and_then(decode_body<append_frame>);
    if (!frame) {
        return tl::make_unexpected(frame.error());
    }
    return frame->m_offset;
}

tl::expected<listed_vms, platform_fault>
platform_client::list_vms(const std::string& known_tag) const
{
    auto call = make_call("GET", "/vms");
    if (!known_tag.empty()) {
        call.m_headers.push_back({"If-None-Match", known_tag});
    }
    const auto answer = fetch(call);
    if (answer && answer->m_status == not_modified) {
        return listed_vms{std::nullopt, known_tag};
    }
    auto list = body_of(answer, ok).and_then(decode_body<vm_list>);
    if (!list) {
        return tl::make_unexpected(list.error());
    }
    return listed_vms{std::move(*list), std::string{find_header(answer->m_headers, "ETag")}};
}

tl::expected<void, platform_fault> platform_client::reboot(const std::string& vm,
                                                           std::uint64_t boot) const
{
    auto call = make_call("POST", fmt::format("/vms/{}/reboot", vm));
    call.m_headers.push_back({"If-Match", fmt::format("\"{}\"", boot)});
    call.m_may_reuse_connection = false;
    const auto answer = body_of(fetch(call), ok);
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    return {};
}

} // namespace peridotrudder
