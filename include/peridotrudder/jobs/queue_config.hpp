#pragma once

/// @file
/// Configuration of a queue of jobs.

#include "peridotrudder/base/codec.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace peridotrudder {

/// A placement policy: a service decides which workers may run a step and issues tickets for them.
struct placement_policy {
    /// Time that the service takes for a request.
    milliseconds m_decide{0};
    /// Additional time for each worker in the request.
    milliseconds m_per_worker{0};
    /// Time for which a ticket is valid.
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
    /// Zero is the highest priority.
    std::uint32_t m_priority{0};
    /// Number of failed runs of one task after which the job fails.
    std::uint32_t m_attempts{1};
    /// A job's latency objective is this factor times its longest chain, plus `m_target`.
    double m_stretch{1.0};
    milliseconds m_target{0};
    std::optional<placement_policy> m_policy;
    /// Calls need no tenant's key. Not described: only a configured queue takes calls.
    bool m_public{false};

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

/// Returns the key that identifies a queue independently of its name: host and prefix.
std::string queue_key(const queue_config& queue);

} // namespace peridotrudder
