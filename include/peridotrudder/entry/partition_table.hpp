#pragma once

/// @file
/// All partitions of idempotency keys at one entry, and the calls that wait for the outcome of a
/// running attempt.

#include "peridotrudder/entry/call.hpp"
#include "peridotrudder/journal/fleet_state.hpp"
#include "peridotrudder/requests/partition_replica.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace peridotrudder {

/// Runs the replicas of all partitions. Thread-safe: each partition has its own lock.
class partition_table {
public:
    /// Sends a message to a member; must not block.
    using send_hook = std::function<void(const std::string& to, const partition_message&)>;
    /// Called without any lock when enough holders have stored an intent.
    using acknowledged_hook = std::function<void(const acknowledged_intent&)>;

    partition_table(const std::string& self, send_hook send, acknowledged_hook acknowledged);

    void set_state(const fleet_state& state, time_point now);
    void receive(const std::string& from, const partition_message& message, time_point now);
    void tick(time_point now);

    /// Begins an attempt for the call. If the verdict is `running`, the call is stored until the
    /// running attempt ends, and `end` returns it.
    begin_result begin(const call_ptr& request, const std::string& digest, time_point now);

    /// Writes the call's intent record; see `partition_replica::write_intent`.
    bool write_intent(const call& request, time_point now);

    /// Ends the call's attempt and returns the calls that waited for its outcome.
    std::vector<call_ptr> end(const call& request, const outcome& result, time_point now);

    /// Returns the home of the call's partition.
    std::string home_of(const call& request) const;

    /// Returns whether other members have taken over all records of this member.
    bool is_handed_over() const;

    /// Returns the number of records stored here.
    std::size_t record_count() const;

    /// Returns the number of partitions that are open here.
    std::size_t open_count() const;

private:
    struct shard {
        explicit shard(std::uint32_t partition, const std::string& self)
            : m_replica{partition, self}
        {
        }

        mutable std::mutex m_mutex;
        partition_replica m_replica;
        std::multimap<std::string, call_ptr> m_waiting;
    };

    shard& shard_of(const call& request) const;
    void send_all(const replica_actions& actions) const;
    void report_acknowledged(const replica_actions& actions) const;

    send_hook m_send;
    acknowledged_hook m_acknowledged;
    std::vector<std::unique_ptr<shard>> m_shards;
};

} // namespace peridotrudder
