#pragma once

/// @file
/// Calls to the platform: its log, its VM list and its actions on VMs.

#include "peridotrudder/journal/record.hpp"
#include "peridotrudder/links/http_client.hpp"

#include <string>
#include <vector>

namespace peridotrudder {

/// How a call to the platform failed.
enum class platform_fault {
    /// The platform did not accept the call: it had no effect.
    unavailable,
    /// No usable answer arrived: the call may have taken effect.
    answer_lost,
    /// The answer cannot be decoded.
    bad_answer,
    /// The VM is not at the boot generation that the action requires.
    precondition_failed,
};

template <>
struct enum_names<platform_fault> {
    static constexpr std::array<std::string_view, 4> values{"unavailable", "answer_lost",
                                                            "bad_answer", "precondition_failed"};
};

/// A range of log records.
struct log_page {
    /// Offset of the oldest record that the log retains.
    std::uint64_t m_first{0};
    /// Offset that the next record will get.
    std::uint64_t m_next{0};
    std::vector<logged_record> m_records;
};

/// The VM list with its entity tag; without the list if it has not changed.
struct listed_vms {
    std::optional<vm_list> m_vms;
    std::string m_entity_tag;
};

/// Makes blocking calls to the platform. Thread-safe, since it has no mutable state.
class platform_client {
public:
    /// `client` identifies this process to the platform, in the header `X-Client`.
    platform_client(std::string url, std::string client);

    /// Returns records from `from` on, at most `limit`.
    tl::expected<log_page, platform_fault> read_log(std::uint64_t from, std::size_t limit) const;

    /// Appends a record and returns its offset.
    tl::expected<std::uint64_t, platform_fault> append(const record& value) const;

    /// Returns the VM list, unless its entity tag is still `known_tag`.
    tl::expected<listed_vms, platform_fault> list_vms(const std::string& known_tag) const;

    /// Reboots the VM if it is still at boot generation `boot`.
    tl::expected<void, platform_fault> reboot(const std::string& vm, std::uint64_t boot) const;

private:
    http_call make_call(std::string method, std::string path) const;

    std::string m_url;
    std::string m_client;
};

} // namespace peridotrudder
