#pragma once

/// @file
/// Grants an owner the right to act, by the age of its newest proof of ownership.

#include "peridotrudder/base/clock.hpp"

namespace peridotrudder {

/// What an owner does in its own name.
enum class owner_act {
    /// Answer a call from memory, without a write.
    answer,
    /// Start a task.
    start,
    /// Order a VM to another pool or to maintenance, also again.
    vm_order,
    /// Tell operators the state of a wave.
    wave_report,
    /// Stop a run, or change its pace.
    stop,
    /// Renew a worker's lease.
    renewal,
};

/// The oldest proofs by which an owner may act.
struct proof_limits {
    /// Shorter than the silence after which the other nodes elect a successor that serves.
    milliseconds m_answer{800};
    /// Starts, orders to VMs and reports: a successor looks up, or waits out, what is sent until
    /// then.
    milliseconds m_order{2'000};
    /// Renewals and stops: a successor waits for this time before it counts leases as expired.
    milliseconds m_lease{5'000};
};

/// A proof is a write to the journal that succeeded: when it was sent, there was no successor.
/// Everything that an owner does without a write of its own needs a grant.
class ownership_proof {
public:
    static ownership_proof create(proof_limits limits);

    /// Takes note that a write that was sent at `sent_at` succeeded.
    void renew(time_point sent_at);
    /// Refuses everything from now on: there is a successor.
    void revoke() { m_revoked = true; }
    bool grants(owner_act act, time_point now) const;
    milliseconds age(time_point now) const { return remaining(m_proven_at, now); }

private:
    milliseconds limit_of(owner_act act) const;

    proof_limits m_limits;
    time_point m_proven_at;
    bool m_revoked{false};
};

} // namespace peridotrudder
