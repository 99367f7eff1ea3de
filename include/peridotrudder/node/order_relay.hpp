#pragma once

/// @file
/// Lets other nodes exchange orders with workers for an owner that has many of them.

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
    /// Workers for each core of the owner from which on relays take over the exchange.
    std::uint32_t m_direct_workers_per_core{250};
    /// Nodes that relay at a time: few, so that each message carries many orders.
    std::size_t m_max_relays{4};
    /// Orders to one node are gathered for so long.
    milliseconds m_batch_delay{4};
    /// Time after which a relay that says nothing is taken as lost; longer than any call of a
    /// worker takes, beyond the time for which a hold waits.
    milliseconds m_answer_timeout{1'100};
    /// A relay that was lost gets no orders for so long.
    milliseconds m_relay_backoff{3'000};
};

struct relay_ports {
    loop_port m_loop;
    /// The owner's own way to workers.
    worker_port m_direct;
    /// Sends a message; returns whether it was handed to the link.
    std::function<bool(const std::string& peer, const node_message& message)> m_send;
    std::function<void(std::string_view event, std::string detail)> m_log_event;
};

/// The owner's side: takes orders as a `worker_port` does and spreads them over relays.
///
/// Answers a fleet whose calls cost more processor than one node has: the decisions stay with the
/// owner, and other nodes speak HTTP. All orders to a worker go through the same node while the
/// relays stay. An order that a lost relay may have sent counts as unanswered; fencing tokens,
/// deadlines and run numbers protect from what it sends late, as from any late order. Not
/// thread-safe; runs on the loop.
///
///     auto relay = order_distributor::create(options, ports);
///     relay->select_relays(agent.linked_nodes(), own_cpu_millis, workers);
///     owner_ports.m_workers = relay->port();
class order_distributor {
public:
    static std::unique_ptr<order_distributor> create(relay_options options, relay_ports ports);

    /// Returns the hooks through which the owner gives orders. They hold until the relay is gone.
    worker_port port();

    /// Chooses the relays among the linked nodes: none while the owner can do it alone.
    void select_relays(const std::vector<node_record>& linked, std::uint32_t own_cpu_millis,
                       std::size_t workers);
    /// Returns the incarnations of the nodes that relay now.
    const std::vector<std::string>& relays() const { return m_relays; }

    void link_lost(const std::string& peer);
    void handle_answers(const std::string& from, const relayed_answers& message);
    /// To be called every few milliseconds: gives up on relays that say nothing.
    void tick();

private:
    struct pending_order {
        std::string m_relay;
        time_point m_deadline;
        std::function<void(const relayed_answer&)> m_answered;
    };

    order_distributor(relay_options options, relay_ports ports);

    /// Hands the order to the worker's relay. Returns whether there is one.
    template <typename Order>
    bool relay(const worker_report& to, std::optional<Order> relayed_order::*member,
               const Order& order, const worker_port::callback<order_answer>& callback);
    relayed_order make_relayed_order(const worker_report& to);
    /// Returns the relay of the worker; empty for none.
    std::string relay_for(std::string_view worker) const;
    void enqueue(const std::string& relay, relayed_order order, milliseconds patience,
                 std::function<void(const relayed_answer&)> answered);
    void flush(const std::string& relay);
    void drop_relay(const std::string& relay, std::string_view why);

    relay_options m_options;
    relay_ports m_ports;
    std::vector<std::string> m_relays;
    /// Relays that were lost, with the time from which they may be used again.
    std::map<std::string, time_point> m_backoff_until;
    std::map<std::string, std::vector<relayed_order>> m_batches;
    std::map<std::uint64_t, pending_order> m_pending;
    std::uint64_t m_next_number{1};
    /// Outlives the relay in timers that are under way.
    std::shared_ptr<order_distributor*> m_self;
};

/// The other side: sends what an owner asks for, and returns what workers answer.
///
/// Keeps nothing but the calls under way. Not thread-safe; runs on the loop.
class order_forwarder {
public:
    static std::unique_ptr<order_forwarder> create(relay_options options, relay_ports ports);

    void handle_orders(const std::string& from, const relayed_orders& message);

private:
    order_forwarder(relay_options options, relay_ports ports);

    void carry(const std::string& from, const relayed_order& order);
    void answer(const std::string& to, relayed_answer answer);
    void flush(const std::string& to);

    relay_options m_options;
    relay_ports m_ports;
    std::map<std::string, std::vector<relayed_answer>> m_batches;
    /// Outlives the carrier in calls that are under way.
    std::shared_ptr<order_forwarder*> m_self;
};

} // namespace peridotrudder
