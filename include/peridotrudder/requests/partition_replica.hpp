#pragma once

/// @file
/// One entry's replica of a partition of idempotency keys, which enforces at-most-once execution.

#include "peridotrudder/membership/view.hpp"
#include "peridotrudder/requests/partition_messages.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace peridotrudder {

/// A message for another member.
struct outgoing_message {
    std::string m_to;
    partition_message m_message;
};

/// An intent that a majority of the holders stored: the request may now be sent upstream, once.
struct acknowledged_intent {
    std::string m_key;
    record_version m_version;
};

/// What the caller of the replica has to do after an event.
struct replica_actions {
    std::vector<outgoing_message> m_messages;
    std::vector<acknowledged_intent> m_acknowledged;
};

/// A call with an idempotency key, as the replica sees it.
struct keyed_call {
    std::string m_key;
    std::string m_digest;
    /// How long the key is recognized after the last change to its record.
    milliseconds m_retry_window{0};
};

/// How a call is to be handled.
enum class begin_verdict {
    /// A new attempt has begun; call `write_intent` once a slot is acquired.
    started,
    /// An attempt for the key is in progress here; wait for its outcome.
    running,
    /// The key was run; `m_outcome` holds the stored outcome.
    answered,
    /// An earlier attempt may have run.
    unknown,
    /// Records were lost within the retry window, so an earlier attempt cannot be ruled out.
    records_lost,
    /// The key was used for another request.
    key_reused,
    /// Another member is the home.
    not_home,
    /// This member is the home, but has not yet received the records.
    not_ready,
};

struct begin_result {
    begin_verdict m_verdict{begin_verdict::not_ready};
    record_version m_version;
    std::optional<outcome> m_outcome;
};

/// Stores one partition's records and ensures that no key runs twice.
///
/// The home (the partition's primary) sends a request upstream only after a majority of the
/// partition's holders (its replicas) stored the intent in one epoch. A new home first seals an
/// earlier epoch: a majority of that epoch's holders send their records and refuse further intents
/// of the epoch. Two majorities overlap, so the new home knows every intent that was ever
/// acknowledged, and a former home gets no further acknowledgement.
///
/// Pure: no clock, no input or output. Not thread-safe; the caller must hold a lock.
///
///     const auto begun = replica.begin(call, now);
///     if (begun.m_verdict == begin_verdict::started) { ... wait for a slot ...
///         replica.write_intent(call.m_key, begun.m_version, now, actions); }
class partition_replica {
public:
    partition_replica(std::uint32_t partition, std::string self);

    /// Sets the partition's epochs and the view from the log, and starts sealing if this member
    /// became the home.
    void set_history(const partition_history& history, const view& current, time_point now,
                     replica_actions& actions);

    /// Handles a message from another member.
    void receive(const std::string& from, const partition_message& message, time_point now,
                 replica_actions& actions);

    /// Begins an attempt for the call, or returns why none was begun.
    begin_result begin(const keyed_call& call, time_point now);

    /// Stores the intent of a begun attempt and asks the other holders to store it. Returns false
    /// if this member is no longer the home of the attempt's epoch; the attempt then ended as not
    /// run.
    bool write_intent(std::string_view key, record_version version, time_point now,
                      replica_actions& actions);

    /// Ends an attempt that was not sent, or that the upstream provably did not start.
    void release(std::string_view key, record_version version, time_point now,
                 replica_actions& actions);

    /// Ends an attempt and stores the upstream's answer.
    void finish(std::string_view key, record_version version, const outcome& result, time_point now,
                replica_actions& actions);

    /// Ends an attempt whose outcome is unknown; the key is not run again.
    void give_up(std::string_view key, record_version version);

    /// Resends unanswered seal and install requests, and removes expired records.
    void tick(time_point now, replica_actions& actions);

    /// Returns the incarnation of the home in the newest epoch; empty without a view.
    std::string home() const;

    /// Returns whether this member is the home and has the partition's records.
    bool is_open() const { return m_stage == stage::open; }

    /// Returns whether another member must still take over records that this one holds.
    bool is_handed_over() const;

    /// Returns the number of stored records.
    std::size_t size() const { return m_records.size(); }

private:
    enum class stage { idle, sealing, installing, open };

    struct stored_record {
        key_record m_record;
        time_point m_expires;
    };

    /// An attempt of this member, from `begin` until its end.
    struct attempt {
        record_version m_version;
        std::string m_digest;
        milliseconds m_retry_window{0};
        bool m_intent_written{false};
        bool m_acknowledged{false};
        std::set<std::string> m_acknowledged_by;
    };

    void receive_from(const std::string& from, const seal_request& message, time_point now,
                      replica_actions& actions);
    void receive_from(const std::string& from, const seal_reply& message, time_point now,
                      replica_actions& actions);
    void receive_from(const std::string& from, const install_request& message, time_point now,
                      replica_actions& actions);
    void receive_from(const std::string& from, const install_reply& message, time_point now,
                      replica_actions& actions);
    void receive_from(const std::string& from, const intent_request& message, time_point now,
                      replica_actions& actions);
    void receive_from(const std::string& from, const intent_reply& message, time_point now,
                      replica_actions& actions);
    void receive_from(const std::string& from, const record_update& message, time_point now,
                      replica_actions& actions);

    const partition_epoch* newest_epoch() const;
    bool is_home() const;
    attempt* find_attempt(std::string_view key, record_version version);
    void start_sealing(std::size_t epoch_index, time_point now, replica_actions& actions);
    void send_seal_requests(replica_actions& actions) const;
    void check_seals(time_point now, replica_actions& actions);
    void start_installing(time_point now, replica_actions& actions);
    void send_install(const std::string& to, time_point now, replica_actions& actions) const;
    void check_installs();
    seal_reply make_seal_reply(std::uint64_t epoch, std::uint64_t sealed_epoch,
                               time_point now) const;
    void remove_expired(time_point now);
    void merge(const key_record& incoming, time_point now);
    void merge_loss_time(const std::optional<milliseconds>& lost_ago, time_point now);
    void send_update(std::string_view key, time_point now, replica_actions& actions) const;
    key_record to_wire(const stored_record& stored, time_point now) const;
    std::optional<milliseconds> lost_ago(time_point now) const;
    bool has_lost_majority(const partition_epoch& epoch) const;

    std::uint32_t m_partition;
    std::string m_self;
    partition_history m_history;
    std::set<std::string> m_members;

    std::map<std::string, stored_record, std::less<>> m_records;
    std::map<std::string, attempt, std::less<>> m_attempts;
    /// Intents of epochs before this one are not acknowledged.
    std::uint64_t m_promised_epoch{0};
    /// Newest epoch in which this member received the partition's records; zero if none.
    std::uint64_t m_installed_epoch{0};
    std::uint64_t m_last_sequence{0};
    std::optional<time_point> m_lost_at;

    stage m_stage{stage::idle};
    std::size_t m_sealing_index{0};
    time_point m_sealing_since;
    std::map<std::string, seal_reply> m_seal_replies;
    std::set<std::string> m_installed_holders;
    time_point m_next_resend;
    time_point m_next_sweep;
};

/// Returns the smallest majority of `count` holders.
constexpr std::size_t majority_of(std::size_t count)
{
    return count / 2 + 1;
}

} // namespace peridotrudder
