#pragma once

/// @file
/// VMs, the pools that they belong to, and declared maintenance.

#include "peridotrudder/base/codec.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotrudder {

/// Which work a VM may be given, as of an offset of the log.
enum class vm_phase {
    /// Takes new work of its pool.
    serving,
    /// Takes no new work; its requests in flight go on.
    draining,
    /// Stopped or being rebooted.
    away,
};

template <>
struct enum_names<vm_phase> {
    static constexpr std::array<std::string_view, 3> values{"serving", "draining", "away"};
};

/// One VM with its worker, as the platform's VM list and the log describe it.
struct vm {
    std::string m_id;
    std::string m_address;
    std::uint16_t m_port{0};
    std::string m_zone;
    std::string m_rack;
    std::uint32_t m_slots{0};
    std::uint32_t m_accelerators{0};
    /// The one pool that the VM belongs to.
    std::string m_pool;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("id", self.m_id);
        archive.field("address", self.m_address);
        archive.field("port", self.m_port);
        archive.field("zone", self.m_zone);
        archive.field("rack", self.m_rack);
        archive.field("slots", self.m_slots);
        archive.field("accelerators", self.m_accelerators);
        archive.field("pool", self.m_pool);
    }
};

/// One entry of the platform's VM list.
struct listed_vm {
    vm m_vm;
    bool m_leaving{false};
    /// Counts the VM's boots; a reboot that took effect raises it.
    std::uint64_t m_boot{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("vm", self.m_vm);
        archive.field("leaving", self.m_leaving);
        archive.field("boot", self.m_boot);
    }
};

/// The platform's VM list.
struct vm_list {
    std::vector<listed_vm> m_vms;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("vms", self.m_vms);
    }
};

/// A maintenance wave: reboots each VM of a pool once.
struct maintenance_wave {
    std::string m_id;
    std::string m_pool;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("id", self.m_id);
        archive.field("pool", self.m_pool);
    }
};

} // namespace peridotrudder
