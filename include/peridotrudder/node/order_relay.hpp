#pragma once

/// @file
/// Lets other nodes relay orders to workers for the owner of a large fleet.

#include "peridotrudder/base/loop_port.hpp"
#include "peridotrudder/node/platform_ports.hpp"
#include "peridotrudder/ownership/cluster_agent.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace peridotrudder {

struct relay_options {
    /// From this number of workers per core of the owner on, relays are used.
    std::uint32_t m_direct_workers_per_core{250};
    /// Number of relays at a time; few, so that each message carries many orders.
    std::size_t m_max_relays{4};
    /// Orders to one relay are batched for this long.
    milliseconds m_batch_delay{4};
    /// Time without an answer after which a relay counts as lost, also one that has not told its
    /// clock; longer than any call to a worker takes. For a hold, its own waiting time is added.
    milliseconds m_answer_timeout{1'100};
    /// Time for which a lost relay is not used.
    milliseconds m_relay_backoff{3'000};
    /// Age from which on a relay is asked for its clock.
    milliseconds m_clock_age{1'000};
    /// Time after which it is asked again.
    milliseconds m_clock_retry{100};
};

struct relay_ports {
    loop_port m_loop;
    /// Sends orders to workers directly.
    worker_port m_direct;
    /// Sends a message to a peer; returns whether the link accepted it.
    std::function<bool(const std::string& peer, const node_message& message)> m_send;
    std::function<void(std::string_view event, std::string detail)> m_log_event;
};

/// The owner's side: a `worker_port` that distributes orders over relays.
///
/// For a fleet whose HTTP calls need more processor time than one node has: the owner makes the
/// decisions, and other nodes make the calls. All orders to a worker go through the same node while
/// the relays stay. An order that a lost relay may have sent counts as unanswered; fencing tokens,
/// deadlines and run numbers protect workers against its late orders, as against any others. Orders
/// have a deadline on the relay's steady clock, so a relay gets none before it has told its clock.
/// Not thread-safe; runs on the loop.
///
///     auto relay = order_distributor::create(options, epoch, ports);
///     relay->select_relays(agent.linked_nodes(), own_cpu_millis, workers);
///     owner_ports.m_workers = relay->port();
class order_distributor {
public:
    /// The numbers of its orders are those of the epoch: a late answer to an order of another epoch
    /// of the same process belongs to none of them.
    static std::unique_ptr<order_distributor> create(relay_options options, std::uint64_t epoch,
                                                     relay_ports ports);

    /// Returns the hooks for sending orders. They are valid for the distributor's lifetime.
    worker_port port();

    /// Chooses the relays among the linked nodes; none while the owner can serve the workers alone.
    void select_relays(const std::vector<node_record>& linked, std::uint32_t own_cpu_millis,
                       std::size_t workers);
    /// Returns the incarnations of the current relays.
    const std::vector<std::string>& relays() const { return m_relays; }

    void link_lost(const std::string& peer);
    void handle_answers(const std::string& from, const relayed_answers& message);
    /// Must be called every few milliseconds; drops relays that do not answer in time.
    void tick();

private:
    struct pending_order {
        std::string m_relay;
        time_point m_deadline;
        std::function<void(const relayed_answer&)> m_answered;
    };

    order_distributor(relay_options options, std::uint64_t epoch, relay_ports ports);

    /// Sends the order through the worker's relay. Returns whether there is one.
    template <typename Order>
    bool relay(const worker_report& to, std::optional<Order> relayed_order::*member,
               const Order& order, const worker_port::callback<order_answer>& callback);
    relayed_order make_relayed_order(const worker_report& to);
    /// Returns the relay for the worker; empty if there is none.
    std::string relay_for(std::string_view worker) const;
    void enqueue(const std::string& relay, relayed_order order, milliseconds timeout,
                 std::function<void(const relayed_answer&)> answered);
    void flush(const std::string& relay);
    void drop_relay(const std::string& relay, std::string_view reason);
    /// Returns a time that the relay's steady clock has certainly reached.
    std::int64_t clock_of(const std::string& relay, time_point now) const;
    /// Asks relays for their clocks that have not told them lately.
    void ask_clocks(time_point now);

    struct relay_clock {
        std::int64_t m_clock_ms{0};
        time_point m_at;
    };

    relay_options m_options;
    relay_ports m_ports;
    std::vector<std::string> m_relays;
    std::map<std::string, relay_clock> m_clocks;
    std::map<std::string, time_point> m_clock_asked_at;
    /// Relays that have not told their clocks, with the time of the first question.
    std::map<std::string, time_point> m_clock_awaited_since;
    /// Lost relays, with the time from which they may be used again.
    std::map<std::string, time_point> m_backoff_until;
    std::map<std::string, std::vector<relayed_order>> m_batches;
    /// When the first order of each batch was added, from which its deadline counts.
    std::map<std::string, time_point> m_batch_began_at;
    std::map<std::uint64_t, pending_order> m_pending;
    std::uint64_t m_next_number;
    /// Held weakly by pending timers, which do nothing once the distributor is destroyed.
    std::shared_ptr<order_distributor*> m_self;
};

/// The relay's side: forwards an owner's orders to workers, and returns the answers.
///
/// Orders that were on their way for so long that the owner has given them up are dropped: after a
/// pause of the relay they would reach workers that a successor has judged by then. Their deadline
/// is on the relay's own clock, so the first message of an owner is judged as any other. Not
/// thread-safe; runs on the loop.
class order_forwarder {
public:
    static std::unique_ptr<order_forwarder> create(relay_options options, relay_ports ports);

    void handle_orders(const std::string& from, const relayed_orders& message);

private:
    order_forwarder(relay_options options, relay_ports ports);

    void carry(const std::string& from, const relayed_order& order);
    void answer(const std::string& to, relayed_answer answer);
    void flush(const std::string& to);

    std::int64_t clock_ms() const;

    relay_options m_options;
    relay_ports m_ports;
    std::map<std::string, std::vector<relayed_answer>> m_batches;
    /// Held weakly by pending calls, which do nothing once the forwarder is destroyed.
    std::shared_ptr<order_forwarder*> m_self;
};

} // namespace peridotrudder
