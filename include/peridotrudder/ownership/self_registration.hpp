#pragma once

/// @file
/// Keeps the node's own record in the cluster's topic.

#include "peridotrudder/base/loop_port.hpp"
#include "peridotrudder/ownership/log_port.hpp"
#include "peridotrudder/ownership/member_list.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotrudder {

struct registration_options {
    node_record m_self;
    std::string m_topic;
    milliseconds m_append_timeout{800};
    /// Pause after an append that failed.
    milliseconds m_retry_pause{200};
    /// Pauses between appends that were written and replaced; each is twice the one before.
    milliseconds m_shortest_pause{200};
    milliseconds m_longest_pause{5'000};
    /// Time for which the own record must have stood until the pause is the shortest again.
    milliseconds m_settled_after{10'000};
    /// How long a process that started later may take until this one has a link to it.
    milliseconds m_link_time{2'000};
};

struct registration_ports {
    loop_port m_loop;
    log_port m_log;
    /// Returns whether there is an open link to a process.
    std::function<bool(const std::string& incarnation)> m_linked;
    event_log m_log_event;
};

/// Compares what the topic says of the node with its own record, and writes that again whenever
/// they differ, whatever brought it about. At most one append is in flight.
///
/// A record of a process that started later and that this one has a link to is left alone: of two
/// living processes of one name, the younger one is the node. Not thread-safe; runs on the loop.
class self_registration {
public:
    static self_registration create(registration_options options, registration_ports ports);

    /// Writes the record for the first time.
    void start();
    /// Compares the node's key with the topic's records, which end before `end`.
    void take(const std::vector<keyed_record>& records, bool snapshot, std::uint64_t end);
    /// Writes the record if it is due.
    void tick();
    /// Writes nothing any more: the node is stopping.
    void stop() { m_state->m_stopped = true; }

private:
    /// What the topic says of the node.
    enum class finding { unread, own, missing, other, unreadable };

    /// Shared with the callbacks of pending appends, which may outlive the registration.
    struct shared_state {
        registration_options m_options;
        registration_ports m_ports;
        std::vector<std::uint8_t> m_value;
        finding m_found{finding::unread};
        /// The other process that is registered, and when a link to it was last seen open.
        node_record m_other;
        time_point m_other_linked_at;
        time_point m_own_since;
        std::uint64_t m_end{0};
        /// Offset of the newest record that was certainly written.
        std::optional<std::uint64_t> m_written_at;
        time_point m_next_at;
        milliseconds m_pause{0};
        bool m_in_flight{false};
        bool m_stopped{false};
    };

    explicit self_registration(std::shared_ptr<shared_state> state) : m_state{std::move(state)} {}

    void find(finding found, std::string detail);
    void take_own_key(const keyed_record& record);
    bool due(time_point now) const;
    bool leaves_to_other(time_point now);
    void write();
    static void handle_answer(shared_state& state, const append_answer& answer);

    std::shared_ptr<shared_state> m_state;
};

} // namespace peridotrudder
