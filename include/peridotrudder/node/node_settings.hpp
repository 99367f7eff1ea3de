#pragma once

/// @file
/// Settings of a scheduler node.

#include "peridotrudder/base/clock.hpp"
#include "peridotrudder/settings/ini_reader.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotrudder {

/// Network address and port.
struct endpoint {
    std::string m_address;
    std::uint16_t m_port{0};
};

struct node_settings {
    std::string m_name;
    std::string m_zone;
    endpoint m_callers;
    endpoint m_ready;
    endpoint m_peers;
    /// Address at which other nodes reach this one; differs from `m_peers` behind a proxy.
    endpoint m_advertised_peers;
    endpoint m_metrics;
    std::string m_cluster_token;
    /// "ADDRESS:PORT" of the platform's log, VM control and placement policy service; the last two
    /// may be empty.
    std::string m_log;
    std::string m_vm_control;
    std::string m_policy;
    /// Processor limit of the node, in thousandths of a core.
    std::uint32_t m_cpu_millis{1'000};
    /// Longest lease that a worker grants.
    milliseconds m_longest_lease{6'000};
    /// Time from SIGTERM to SIGKILL.
    milliseconds m_grace{6'000};
    /// Time for which the state of an ended job is kept.
    milliseconds m_retention{120'000};
    /// Duration of the platform's lease on a VM, during which no other node may order it.
    milliseconds m_vm_lease{3'000};
    milliseconds m_move_time{1'500};
    milliseconds m_maintenance_time{2'000};
    /// Factor by which a task takes longer on another rack than its data or its group.
    double m_far_factor{1.0};
    /// Most of a pool's CPU that copies of late runs may use, in percent; zero for no copies.
    std::uint32_t m_copies_percent{0};
    /// Grades workers by their runs.
    bool m_graded_health{false};
    /// Memory and open descriptors that the process may use; callers get a part of each.
    std::size_t m_memory_bytes{0};
    std::size_t m_max_descriptors{0};
    /// Longest body, and longest request line with headers, in bytes.
    std::size_t m_max_body_bytes{0};
    std::size_t m_max_header_bytes{0};
    /// Most connections to the callers' port.
    std::size_t m_max_connections{0};
    /// Most connections to the peers' port that have not finished their handshake.
    std::size_t m_max_handshakes{0};
};

/// Returns the settings in an INI file, or all errors in it. Unknown sections and keys are errors,
/// so that a misspelt key is not replaced by its default.
tl::expected<node_settings, std::vector<settings_error>>
load_node_settings(const std::string& path);

/// Returns the settings in INI text; `name` replaces the file name in errors.
tl::expected<node_settings, std::vector<settings_error>>
parse_node_settings(const std::string& name, std::string_view text);

} // namespace peridotrudder
