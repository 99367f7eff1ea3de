#pragma once

/// @file
/// Derives every limit on a customer's work from its contract.

#include "peridotrudder/contracts/contract.hpp"

namespace peridotrudder {

/// Every limit derived from one contract. Counts are for the whole system; `entry_share` returns an
/// entry's share of a count.
struct customer_limits {
    /// Requests that may wait or run at once.
    std::uint32_t m_max_pending{0};
    /// Time after which a waiting request is refused as not run.
    milliseconds m_time_to_wait{0};
    /// Retries allowed for each successful request, in parts per million.
    std::uint32_t m_retry_ppm{0};
    /// Highest number of unused retries that may accumulate.
    std::uint32_t m_retry_burst{0};
    /// Time that a VM has to finish the customer's work before it leaves.
    milliseconds m_drain_time{0};
    /// VMs of one pool that maintenance may take out of service at the same time.
    std::uint32_t m_vms_away{0};
    /// Requests that may fail over the availability window, in parts per million.
    std::uint32_t m_failure_budget_ppm{0};
    /// Burn rate of the failure budget at which maintenance waves pause.
    double m_pause_burn_rate{0};
    /// Burn rate of the failure budget at which an operator is alerted.
    double m_alert_burn_rate{0};
    /// How long a repeated idempotency key is recognized.
    milliseconds m_retry_window{0};
    /// Highest priority class of the customer's requests.
    work_class m_class{work_class::normal};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("max_pending", self.m_max_pending);
        archive.field("time_to_wait_ms", self.m_time_to_wait);
        archive.field("retry_ppm", self.m_retry_ppm);
        archive.field("retry_burst", self.m_retry_burst);
        archive.field("drain_time_ms", self.m_drain_time);
        archive.field("vms_away", self.m_vms_away);
        archive.field("failure_budget_ppm", self.m_failure_budget_ppm);
        archive.field("pause_burn_rate", self.m_pause_burn_rate);
        archive.field("alert_burn_rate", self.m_alert_burn_rate);
        archive.field("retry_window_ms", self.m_retry_window);
        archive.field("class", self.m_class);
    }
};

/// Returns the limits derived from `value`. Deterministic; expects a valid contract.
customer_limits derive_limits(const contract& value);

/// Returns one entry's share of a system-wide count: an even share with headroom for a load
/// balancer that distributes callers unevenly. At least one.
std::uint32_t entry_share(std::uint32_t total_count, std::size_t entries);

} // namespace peridotrudder
