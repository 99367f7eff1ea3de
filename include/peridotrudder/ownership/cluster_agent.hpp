#pragma once

/// @file
/// A node's view of the cluster: its members, the owner of the fleet, and changes of both.

#include "peridotrudder/base/loop_port.hpp"
#include "peridotrudder/ownership/node_messages.hpp"
#include "peridotrudder/ownership/owner_election.hpp"
#include "peridotrudder/ownership/topic_follower.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace peridotrudder {

/// A node's registration.
struct node_record {
    std::string m_name;
    std::string m_incarnation;
    std::string m_address;
    std::uint16_t m_port{0};
    /// Unix milliseconds of the process's start.
    std::int64_t m_started_ms{0};
    /// Processor capacity of the node, in thousandths of a core.
    std::uint32_t m_cpu_millis{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("name", self.m_name);
        archive.field("incarnation", self.m_incarnation);
        archive.field("address", self.m_address);
        archive.field("port", self.m_port);
        archive.field("started_ms", self.m_started_ms);
        archive.field("cpu_millis", self.m_cpu_millis);
    }
};

struct agent_options {
    node_record m_self;
    /// Topic of ownership claims and node registrations.
    std::string m_topic{"keyed.cluster"};
    /// Topic whose partition must be reachable for an owner.
    std::string m_journal_topic{"keyed.jobs"};
    milliseconds m_heartbeat_interval{200};
    election_options m_election;
    /// Time of failing writes after which an owner resigns if another node reaches the log.
    milliseconds m_resign_after{250};
    /// Minimum time of ownership before a node hands over to one with at least 1.5 times the
    /// processor capacity.
    milliseconds m_yield_after{1'500};
    /// Time after which the registration of an unreachable node is deleted.
    milliseconds m_remove_after{30'000};
};

struct agent_ports {
    loop_port m_loop;
    log_port m_log;
    /// Sends a message; returns whether it was sent.
    std::function<bool(const std::string& peer, const node_message& message)> m_send;
    std::function<void(const std::vector<node_record>& peers)> m_set_peers;
    /// This node has become the owner.
    std::function<void(const ownership_claim& claim)> m_became_owner;
    /// This node has lost or given up the ownership.
    std::function<void()> m_lost;
    /// The owner can be reached: calls may be sent to it.
    std::function<void()> m_owner_reachable;
    std::function<void()> m_owner_unreachable;
    std::function<void(std::string_view event, std::string detail)> m_log_event;
};

/// Registers the node, follows claims and registrations in the log, takes part in elections, and
/// sends heartbeats while its node is the owner. Not thread-safe; runs on the loop.
class cluster_agent {
public:
    static std::unique_ptr<cluster_agent> create(agent_options options, agent_ports ports);

    void start();
    void tick();
    /// Handles a peer's message; returns whether it was addressed to the agent.
    bool receive(const std::string& from, const node_message& message);
    void link_opened(const std::string& peer);
    /// The link to a peer has ended. If it was `broken` by the peer's host, the peer may have ended
    /// too; a link that timed out says nothing of the peer.
    void link_closed(const std::string& peer, bool broken);

    /// Sets for how long the owner's writes to the log have failed.
    void set_failing(milliseconds time) { m_failing_for = time; }
    /// Sets the age of the owner's newest proof. Once it is old the peers are asked whether they
    /// hear the owner.
    void set_proof_age(milliseconds age) { m_proof_age = age; }
    /// Returns whether a majority of the nodes, with this one, has just said that it hears this
    /// owner.
    bool is_supported() const;
    /// Ends this node's ownership, so that another node can claim it. With `planned` the release is
    /// also recorded in the log.
    void resign(bool planned);
    /// Stops the node from claiming the ownership from now on.
    void stop_claiming() { m_may_claim = false; }

    bool owns() const { return m_owned_epoch != 0; }
    /// Returns the incarnation of the reachable owner, which may be this node; empty if there is
    /// none.
    std::string reachable_owner() const;
    std::uint64_t epoch() const { return m_election.claim().m_epoch; }
    /// Returns the other nodes to which this one has an open link.
    std::vector<node_record> linked_nodes() const;

private:
    cluster_agent(agent_options options, agent_ports ports);

    void take_records(const std::vector<keyed_record>& records, bool snapshot);
    void take_owner_record(const keyed_record& record);
    void take_node_record(const keyed_record& record);
    void update_peers();
    void check_owner_node();
    void register_self();
    void learn(const ownership_claim& claim);
    void claim();
    void append_claim(bool released);
    void check_journal();
    void broadcast(const node_message& message);
    void send_heartbeat(time_point now);
    void probe_for_resignation(time_point now);
    void ask_for_support(time_point now);
    void remove_unreachable_nodes(time_point now);
    void update_reachability();
    std::string unreachable_cause() const;
    milliseconds stagger() const;
    void yield_to_larger_node(moment now);

    void handle(const std::string& from, const owner_heartbeat& message);
    void handle(const std::string& from, const owner_resigned& message);
    void handle(const std::string& from, const owner_query& message);
    void handle(const std::string& from, const owner_view& message);
    void handle(const std::string& from, const log_probe& message);
    void handle(const std::string& from, const log_reached& message);

    agent_options m_options;
    agent_ports m_ports;
    owner_election m_election;
    std::unique_ptr<topic_follower> m_follower;
    std::map<std::string, node_record> m_nodes;
    std::map<std::string, time_point> m_unreachable_since;
    std::set<std::string> m_open_links;
    std::uint64_t m_topic_end{0};
    bool m_topic_read{false};
    bool m_may_claim{true};
    std::uint64_t m_owned_epoch{0};
    time_point m_owned_since;
    bool m_owner_reachable{false};
    milliseconds m_failing_for{0};
    time_point m_heartbeat_sent_at;
    time_point m_probe_at;
    milliseconds m_proof_age{0};
    time_point m_support_asked_at;
    /// Peers that hear this owner, and when they last said so.
    std::map<std::string, time_point> m_supporters;
    /// Callbacks of pending calls hold a weak pointer to it, to detect that the agent is destroyed.
    std::shared_ptr<cluster_agent*> m_self;
};

} // namespace peridotrudder
