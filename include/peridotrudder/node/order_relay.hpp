#pragma once

/// @file
/// Lets other nodes exchange orders with workers for an owner that has many of them.

#include "peridotrudder/base/loop_port.hpp"
#include "peridotrudder/node/fleet_wire.hpp"
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
    std::size_t m_most_relays{4};
    /// Orders to one node are gathered for so long.
    milliseconds m_gather_time{4};
    /// Time after which a relay that says nothing is taken as lost; longer than any call of a
    /// worker takes, beyond the time for which a hold waits.
    milliseconds m_answer_time{1'100};
    /// A relay that was lost gets no orders for so long.
    milliseconds m_rest_time{3'000};
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
///     auto relay = order_relay::create(options, ports);
///     relay->set_fleet(agent.linked_nodes(), own_cpu_millis, workers);
///     owner_ports.m_workers = relay->port();
class order_relay {
public:
    static std::unique_ptr<order_relay> create(relay_options options, relay_ports ports);

    /// Returns the hooks through which the owner gives orders. They hold until the relay is gone.
    worker_port port();

    /// Chooses the relays among the linked nodes: none while the owner can do it alone.
    void set_fleet(const std::vector<node_record>& linked, std::uint32_t own_cpu_millis,
                   std::size_t workers);
    /// Returns the incarnations of the nodes that relay now.
    const std::vector<std::string>& relays() const { return m_relays; }

    void link_lost(const std::string& peer);
    void take_answers(const std::string& from, const relayed_answers& message);
    /// To be called every few milliseconds: gives up on relays that say nothing.
    void tick();

private:
    struct pending_order {
        std::string m_relay;
        time_point m_give_up_at;
        std::function<void(const relayed_answer&)> m_answered;
    };

    order_relay(relay_options options, relay_ports ports);

    /// Hands the order to the worker's relay. Returns whether there is one.
    template <typename Order>
    bool relay(const worker_report& to, std::optional<Order> relayed_order::*which,
               const Order& order, const worker_port::callback<order_answer>& callback);
    relayed_order address_to(const worker_report& to);
    /// Returns the relay of the worker; empty for none.
    std::string relay_of(std::string_view worker) const;
    void gather(const std::string& relay, relayed_order order, milliseconds patience,
                std::function<void(const relayed_answer&)> answered);
    void flush(const std::string& relay);
    void give_up(const std::string& relay, std::string_view why);

    relay_options m_options;
    relay_ports m_ports;
    std::vector<std::string> m_relays;
    /// Relays that were lost, with the time from which they may be used again.
    std::map<std::string, time_point> m_resting;
    std::map<std::string, std::vector<relayed_order>> m_gathered;
    std::map<std::uint64_t, pending_order> m_pending;
    std::uint64_t m_next_number{1};
    /// Outlives the relay in timers that are under way.
    std::shared_ptr<order_relay*> m_self;
};

/// The other side: sends what an owner asks for, and returns what workers answer.
///
/// Keeps nothing but the calls under way. Not thread-safe; runs on the loop.
class order_carrier {
public:
    static std::unique_ptr<order_carrier> create(relay_options options, relay_ports ports);

    void take_orders(const std::string& from, const relayed_orders& message);

private:
    order_carrier(relay_options options, relay_ports ports);

    void carry(const std::string& from, const relayed_order& order);
    void answer(const std::string& to, relayed_answer answer);
    void flush(const std::string& to);

    relay_options m_options;
    relay_ports m_ports;
    std::map<std::string, std::vector<relayed_answer>> m_gathered;
    /// Outlives the carrier in calls that are under way.
    std::shared_ptr<order_carrier*> m_self;
};

} // namespace peridotrudder
