#pragma once

/// @file
/// The platform's VM control as the product needs it: the list of VMs, moves between pools, and
/// maintenance.

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

/// One VM of the platform's list.
struct platform_vm {
    std::string m_id;
    std::string m_pool;
    platform_vm_state m_state{platform_vm_state::down};
    /// Id of the worker on it; empty where none runs.
    std::string m_worker;
    std::vector<std::string> m_labels;
    resources m_capacity;
};

/// Maintenance that the operators ask for.
struct declared_wave {
    std::uint64_t m_number{0};
    std::vector<std::string> m_listed_vms;
    /// Time in which all of them must be done.
    milliseconds m_duration{0};
    /// Machines that may be down for it at once.
    std::uint32_t m_max_away{1};
};

/// What became of an order to a VM.
enum class vm_order_result {
    /// Carried out, now or before.
    done,
    /// Another holder has ordered with a higher fencing token.
    fenced,
    /// The VM is not up, or is leaving.
    busy,
    /// The VM is not of that wave.
    not_in_wave,
    /// There is no such VM, or it cannot go there.
    impossible,
    /// Surely not carried out: refused for now.
    refused,
    /// No answer: it may be carried out.
    unanswered,
};

template <>
struct enum_names<vm_order_result> {
    static constexpr std::array<std::string_view, 7> values{
        "done", "fenced", "busy", "not_in_wave", "impossible", "refused", "unanswered"};
};

/// An order to one VM: to another pool, or down for maintenance.
struct vm_order {
    std::string m_vm_id;
    /// Pool to move to; empty for maintenance.
    std::string m_pool;
    /// Wave of the maintenance.
    std::uint64_t m_wave{0};
    std::uint64_t m_fence{0};
};

/// The whole list, or nothing if it could not be read.
using platform_vm_list = std::optional<std::vector<platform_vm>>;

/// Calls of the platform's VM control. Answers come later, on the caller's loop.
struct vm_port {
    std::function<void(std::function<void(platform_vm_list)>)> m_list;
    std::function<void(const vm_order&, std::function<void(vm_order_result)>)> m_order;
};

} // namespace peridotrudder
