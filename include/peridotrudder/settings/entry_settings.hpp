#pragma once

/// @file
/// Settings of `peridot-entry` and `peridot-planner`.

#include "peridotrudder/base/clock.hpp"
#include "peridotrudder/contracts/contract.hpp"
#include "peridotrudder/settings/ini_reader.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotrudder {

/// How entries share the slots of a pool.
enum class slot_policy {
    /// The pool's dispatcher leases slots to entries.
    leases,
    /// Each entry picks the less loaded of two workers by its own counts.
    two_choices,
};

template <>
struct enum_names<slot_policy> {
    static constexpr std::array<std::string_view, 2> values{"leases", "two_choices"};
};

/// Settings of one entry VM, shared by its two processes.
struct entry_settings {
    std::string m_name;
    std::string m_zone;
    std::string m_region;
    /// IP address that all servers of the process bind to and that peers connect to.
    std::string m_address;
    std::uint16_t m_caller_port{0};
    std::uint16_t m_operator_port{0};
    std::uint16_t m_peer_port{0};
    std::string m_platform_url;
    std::string m_cluster_token;
    std::string m_operator_token;
    std::uint64_t m_max_body_bytes{0};
    /// Longest request line with headers, in bytes.
    std::uint64_t m_max_header_bytes{0};
    /// Most connections to the callers' port.
    std::uint64_t m_max_connections{0};
    /// Most connections to the peers' port that have not finished their handshake.
    std::uint64_t m_max_handshakes{0};
    /// Memory and open descriptors that the process may use; callers get a part of each.
    std::uint64_t m_memory_bytes{0};
    std::uint64_t m_max_descriptors{0};
    std::uint64_t m_caller_threads{0};
    slot_policy m_slot_policy{slot_policy::leases};
    /// Maximum duration of a request to the upstream.
    milliseconds m_upstream_timeout{0};
};

/// Returns the settings in the file, or every fault in it.
tl::expected<entry_settings, std::vector<settings_error>>
load_entry_settings(const std::string& path);

/// Returns the settings in `reader`, or every fault.
tl::expected<entry_settings, std::vector<settings_error>> read_entry_settings(ini_reader reader);

/// Returns the contracts in the sections `contract.<customer>`, or every fault.
tl::expected<std::vector<contract>, std::vector<settings_error>> read_contracts(ini_reader reader);

/// Returns the contracts in the file, or every fault in it.
tl::expected<std::vector<contract>, std::vector<settings_error>>
load_contracts(const std::string& path);

} // namespace peridotrudder
