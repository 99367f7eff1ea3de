#pragma once

/// @file
/// Records of the platform's log, which every process folds in the same order.

#include "peridotrudder/contracts/contract.hpp"
#include "peridotrudder/machines/vm.hpp"
#include "peridotrudder/membership/view.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace peridotrudder {

/// An operator sets a customer's contract.
struct contract_applied {
    static constexpr std::string_view kind = "contract_applied";
    contract m_contract;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("contract", self.m_contract);
    }
};

/// An operator removes a customer's contract.
struct contract_removed {
    static constexpr std::string_view kind = "contract_removed";
    std::string m_customer;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("customer", self.m_customer);
    }
};

/// An entry process joins without state from earlier runs. It replaces an older incarnation of the
/// same entry in the view.
struct entry_joined {
    static constexpr std::string_view kind = "entry_joined";
    member m_member;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("member", self.m_member);
    }
};

/// An entry leaves the view during a graceful shutdown.
struct entry_left {
    static constexpr std::string_view kind = "entry_left";
    std::string m_incarnation;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("incarnation", self.m_incarnation);
    }
};

/// Members evict an entry that they cannot reach. Takes effect only if a majority of the view
/// observed it.
struct entry_evicted {
    static constexpr std::string_view kind = "entry_evicted";
    std::string m_incarnation;
    std::vector<std::string> m_observers;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("incarnation", self.m_incarnation);
        archive.field("observers", self.m_observers);
    }
};

/// The planner adds VMs from the VM list to their pools.
struct vms_added {
    static constexpr std::string_view kind = "vms_added";
    std::vector<vm> m_vms;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("vms", self.m_vms);
    }
};

/// The planner removes a VM that is no longer in the VM list.
struct vm_removed {
    static constexpr std::string_view kind = "vm_removed";
    std::string m_vm;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("vm", self.m_vm);
    }
};

/// The planner moves a VM from one phase to the next.
struct vm_phase_changed {
    static constexpr std::string_view kind = "vm_phase_changed";
    std::string m_vm;
    vm_phase m_from{vm_phase::serving};
    vm_phase m_to{vm_phase::serving};
    /// Wave that the change belongs to; empty for a move or a repair.
    std::string m_wave;
    /// Pool that the VM joins when it serves again; empty if it stays in its pool.
    std::string m_to_pool;
    /// Boot generation seen before the change.
    std::uint64_t m_boot{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("vm", self.m_vm);
        archive.field("from", self.m_from);
        archive.field("to", self.m_to);
        archive.field("wave", self.m_wave);
        archive.field("to_pool", self.m_to_pool);
        archive.field("boot", self.m_boot);
    }
};

/// An operator declares a maintenance wave.
struct wave_declared {
    static constexpr std::string_view kind = "wave_declared";
    maintenance_wave m_wave;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("wave", self.m_wave);
    }
};

/// An operator cancels a wave; VMs that are already away still come back.
struct wave_cancelled {
    static constexpr std::string_view kind = "wave_cancelled";
    std::string m_wave;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("wave", self.m_wave);
    }
};

/// A planner claims the next term.
struct term_claimed {
    static constexpr std::string_view kind = "term_claimed";
    std::string m_holder;
    /// Term that the claim replaces.
    std::uint64_t m_previous_term{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("holder", self.m_holder);
        archive.field("previous_term", self.m_previous_term);
    }
};

/// Heartbeat of the holder of the term.
struct term_renewed {
    static constexpr std::string_view kind = "term_renewed";

    template <typename Archive, typename Self>
    static void describe(Archive& /*archive*/, Self& /*self*/)
    {
    }
};

/// Snapshot of the folded state, so that older records may expire.
struct snapshot_taken {
    static constexpr std::string_view kind = "snapshot_taken";
    nlohmann::json m_state;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("state", self.m_state);
    }
};

using record_body =
    std::variant<contract_applied, contract_removed, entry_joined, entry_left, entry_evicted,
                 vms_added, vm_removed, vm_phase_changed, wave_declared, wave_cancelled,
                 term_claimed, term_renewed, snapshot_taken>;

/// One record of the log, as its author wrote it.
struct record {
    /// Unique id; a retried append carries the same one.
    std::string m_id;
    std::string m_author;
    /// Next offset that the author had not yet read.
    std::uint64_t m_based_on{0};
    /// Planner's term, the fencing token of its records; zero for records of other authors.
    std::uint64_t m_term{0};
    /// Reason for the record, shown by `explain`.
    std::string m_reason;
    record_body m_body;
};

/// A record and the offset that the log gave it.
struct logged_record {
    std::uint64_t m_offset{0};
    record m_record;
};

/// Returns the record as JSON.
nlohmann::json encode_record(const record& value);

/// Returns the record in `json`, or the reason why it cannot be decoded.
tl::expected<record, decode_error> decode_record(const nlohmann::json& json);

/// Returns the kind of the body, such as "contract_applied".
std::string_view kind_of(const record_body& body);

} // namespace peridotrudder
