#pragma once

/// @file
/// How many nodes an owner reaches, which it records while that is no majority.

#include "peridotrudder/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace peridotrudder {

/// Record of an owner that does not reach a majority of the registered nodes.
struct owner_group {
    std::uint64_t m_epoch{0};
    /// Nodes that the owner reaches, itself included; zero if they are a majority again.
    std::uint64_t m_nodes{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("epoch", self.m_epoch);
        archive.field("nodes", self.m_nodes);
    }
};

/// Decides when an owner records the size of its group. Has no side effects; not thread-safe.
class owner_group_report {
public:
    /// Returns the number to record now, if any. `reached` counts the owner itself.
    std::optional<std::uint64_t> tick(std::size_t reached, std::size_t members, time_point now);
    /// Notes that the number is in the log.
    void recorded(std::uint64_t nodes) { m_recorded = nodes; }

private:
    std::uint64_t m_recorded{0};
    std::uint64_t m_newest{0};
    time_point m_changed_at;
    std::optional<time_point> m_tried_at;
};

} // namespace peridotrudder
