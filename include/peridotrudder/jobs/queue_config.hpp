#pragma once

/// @file
/// A queue of jobs, as the operators configure it.

#include "peridotrudder/base/codec.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace peridotrudder {

/// A service that decides which workers may run a step, and hands out tickets for them.
struct placement_policy {
    milliseconds m_decide{0};
    milliseconds m_per_worker{0};
    milliseconds m_ticket_valid{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("decide_ms", self.m_decide);
        archive.field("per_worker_ms", self.m_per_worker);
        archive.field("ticket_valid_ms", self.m_ticket_valid);
    }
};

/// A queue of jobs: a host and path prefix whose jobs run in one pool.
struct queue_config {
    std::string m_name;
    std::string m_host;
    std::string m_prefix;
    std::string m_pool;
    /// Zero comes first.
    std::uint32_t m_priority{0};
    /// Failed runs of one task after which its job has failed.
    std::uint32_t m_attempts{1};
    /// The objective of a job's latency is this times its longest chain, plus `m_target`.
    double m_stretch{1.0};
    milliseconds m_target{0};
    std::optional<placement_policy> m_policy;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("name", self.m_name);
        archive.field("host", self.m_host);
        archive.field("prefix", self.m_prefix);
        archive.field("pool", self.m_pool);
        archive.field("priority", self.m_priority);
        archive.field("attempts", self.m_attempts);
        archive.field("stretch", self.m_stretch);
        archive.field("target_ms", self.m_target);
        archive.field("policy", self.m_policy);
    }
};

/// Returns what identifies a queue whatever its name.
std::string queue_key(const queue_config& queue);

} // namespace peridotrudder
