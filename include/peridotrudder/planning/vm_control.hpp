#pragma once

/// @file
/// Interface to the platform's VM control: the list of VMs, moves between pools, and maintenance.

#include "peridotrudder/jobs/job_spec.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace peridotrudder {

enum class platform_vm_state { up, moving, upkeep, down };

template <>
struct enum_names<platform_vm_state> {
    static constexpr std::array<std::string_view, 4> values{"up", "moving", "upkeep", "down"};
};

/// One VM in the platform's list.
struct platform_vm {
    std::string m_id;
    std::string m_pool;
    platform_vm_state m_state{platform_vm_state::down};
    /// Id of the worker on the VM; empty if none runs.
    std::string m_worker;
    std::vector<std::string> m_labels;
    resources m_capacity;
};

/// Maintenance wave that the operators requested.
struct declared_wave {
    std::uint64_t m_number{0};
    std::vector<std::string> m_listed_vms;
    /// Time within which all VMs must have been maintained.
    milliseconds m_duration{0};
    /// Maximum number of VMs that may be down for the wave at once.
    std::uint32_t m_max_away{1};
};

/// Result of an order to a VM.
enum class vm_order_result {
    /// Carried out, now or before.
    done,
    /// Another owner has sent an order with a higher fencing token.
    fenced,
    /// The VM is not up, or is leaving.
    busy,
    /// The VM does not belong to that wave.
    not_in_wave,
    /// The VM does not exist, or cannot move to that pool.
    impossible,
    /// Refused for now; certainly not carried out.
    refused,
    /// No answer; the order may have been carried out, or may be later.
    unanswered,
};

template <>
struct enum_names<vm_order_result> {
    static constexpr std::array<std::string_view, 7> values{
        "done", "fenced", "busy", "not_in_wave", "impossible", "refused", "unanswered"};
};

/// An order to one VM: move to another pool, or go down for maintenance.
struct vm_order {
    std::string m_vm_id;
    /// Pool to move to; empty for maintenance.
    std::string m_pool;
    /// Maintenance wave; zero for a move.
    std::uint64_t m_wave{0};
    std::uint64_t m_fence{0};
};

/// The platform's VM list.
struct platform_vms {
    std::vector<platform_vm> m_vms;
    /// Number of entries that could not be read. A VM that is not in `m_vms` may be one of them.
    std::size_t m_unreadable{0};
};

/// All pages of the VM list, or `std::nullopt` if one could not be read.
using platform_vm_list = std::optional<platform_vms>;

/// Calls to the platform's VM control. Callbacks run later, on the caller's loop.
struct vm_port {
    std::function<void(std::function<void(platform_vm_list)>)> m_list;
    std::function<void(const vm_order&, std::function<void(vm_order_result)>)> m_order;
};

} // namespace peridotrudder
