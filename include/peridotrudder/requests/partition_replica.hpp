#pragma once

/// @file
/// One entry's part in keeping a partition of idempotency keys: the at-most-once rule.

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

/// An intent that enough holders keep: the request may now be sent upstream, once.
struct acknowledged_intent {
    std::string m_key;
    record_version m_version;
};

/// What the owner of a replica has to do after an event.
struct replica_actions {
    std::vector<outgoing_message> m_messages;
    std::vector<acknowledged_intent> m_acknowledged;
};

/// A call with an idempotency key, as the replica sees it.
struct keyed_call {
    std::string m_key;
    std::string m_digest;
    /// How long the key is to be recognized after the last change to its record.
    milliseconds m_retry_window{0};
};

/// What the home may do with a call.
enum class begin_verdict {
    /// A new attempt has begun; `write_intent` comes next, when a slot is free.
    started,
    /// An attempt for the key is under way here; wait for its outcome.
    running,
    /// The key was run; the outcome is given.
    answered,
    /// An earlier attempt may have run.
    unknown,
    /// Records were lost lately, so that an earlier attempt cannot be ruled out.
    records_lost,
    /// The key was used for another request.
    key_reused,
    /// Another member is the home.
    not_home,
    /// This member is the home, but does not have the records yet.
    not_ready,
};

struct begin_result {
    begin_verdict m_verdict{begin_verdict::not_ready};
    record_version m_version;
    std::optional<outcome> m_outcome;
};

/// Keeps one partition's records and sees to it that no key runs twice.
///
/// The home sends a request upstream only after most of the partition's holders keep its intent
/// under one epoch. A new home first seals an earlier epoch: most of that epoch's holders give
/// their records and refuse further intents of the epoch. Two majorities overlap, so the new home
/// knows each intent that was ever acknowledged, and a former home gets no acknowledgement more.
///
/// Pure: no clock, no input or output. Not thread-safe; the owner guards it with its own lock.
///
///     const auto begun = replica.begin(call, now);
///     if (begun.m_verdict == begin_verdict::started) { ... wait for a slot ...
///         replica.write_intent(call.m_key, begun.m_version, now, actions); }
class partition_replica {
public:
    partition_replica(std::uint32_t partition, std::string self);

    /// Takes over the partition's epochs and the view as the log has them now.
    void set_history(const partition_history& history, const view& current, time_point now,
                     replica_actions& actions);

    /// Handles a message of another member.
    void receive(const std::string& from, const partition_message& message, time_point now,
                 replica_actions& actions);

    /// Begins an attempt for the call, or tells why not.
    begin_result begin(const keyed_call& call, time_point now);

    /// Writes the intent of a begun attempt and asks the other holders to keep it. Returns false
    /// when the attempt can no longer be made here; it has then ended as not run.
    bool write_intent(std::string_view key, record_version version, time_point now,
                      replica_actions& actions);

    /// Ends an attempt that was not sent, or that the upstream proved not to have started.
    void release(std::string_view key, record_version version, time_point now,
                 replica_actions& actions);

    /// Ends an attempt with the upstream's whole answer.
    void finish(std::string_view key, record_version version, const outcome& result, time_point now,
                replica_actions& actions);

    /// Ends an attempt whose outcome is unknown; the key is not run again.
    void give_up(std::string_view key, record_version version);

    /// Sends again what was not answered, and forgets what has expired.
    void tick(time_point now, replica_actions& actions);

    /// Returns the incarnation of the home in the newest epoch; empty without a view.
    std::string home() const;

    /// Returns whether this member is the home and has the partition's records.
    bool is_open() const { return m_stage == stage::open; }

    /// Returns whether another member must still take over records that this one holds.
    bool is_handed_over() const;

    /// Returns the number of records kept.
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
        bool m_written{false};
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

    const partition_epoch* newest() const;
    bool is_home() const;
    attempt* find_attempt(std::string_view key, record_version version);
    void start_sealing(std::size_t epoch_index, time_point now, replica_actions& actions);
    void ask_for_seals(replica_actions& actions) const;
    void check_seals(time_point now, replica_actions& actions);
    void start_installing(time_point now, replica_actions& actions);
    void send_install(const std::string& to, time_point now, replica_actions& actions) const;
    void check_installs();
    seal_reply make_seal_reply(std::uint64_t epoch, std::uint64_t sealed_epoch,
                               time_point now) const;
    void forget_expired(time_point now);
    void merge(const key_record& incoming, time_point now);
    void merge_loss(const std::optional<milliseconds>& lost_ago, time_point now);
    void publish(std::string_view key, time_point now, replica_actions& actions) const;
    key_record to_wire(const stored_record& stored, time_point now) const;
    std::optional<milliseconds> lost_ago(time_point now) const;
    bool majority_is_gone(const partition_epoch& epoch) const;

    std::uint32_t m_partition;
    std::string m_self;
    partition_history m_history;
    std::set<std::string> m_members;

    std::map<std::string, stored_record, std::less<>> m_records;
    std::map<std::string, attempt, std::less<>> m_attempts;
    /// No acknowledgement is given under epochs before this one.
    std::uint64_t m_promised_epoch{0};
    /// Newest epoch in which this member received the partition's records; zero for none.
    std::uint64_t m_installed_epoch{0};
    std::uint64_t m_last_sequence{0};
    std::optional<time_point> m_lost_at;

    stage m_stage{stage::idle};
    std::size_t m_sealing_index{0};
    time_point m_sealing_since;
    std::map<std::string, seal_reply> m_seal_replies;
    std::set<std::string> m_installed;
    time_point m_next_resend;
    time_point m_next_sweep;
};

/// Returns how many of `count` holders are more than half.
constexpr std::size_t majority_of(std::size_t count)
{
    return count / 2 + 1;
}

} // namespace peridotrudder
