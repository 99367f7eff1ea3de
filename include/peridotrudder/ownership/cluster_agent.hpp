#pragma once

/// @file
/// A node's part in the cluster: who the nodes are, who owns the fleet, and changes of both.

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

/// A node, as it registered itself.
struct node_record {
    std::string m_name;
    std::string m_incarnation;
    std::string m_address;
    std::uint16_t m_port{0};
    /// Unix milliseconds of the process's start.
    std::int64_t m_started_ms{0};
    /// Processor that the node has, in thousandths of a core.
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
    /// Topic of claims and nodes.
    std::string m_topic{"keyed.cluster"};
    /// Topic whose partition a would-be owner must reach.
    std::string m_journal_topic{"keyed.jobs"};
    milliseconds m_beat_interval{200};
    election_options m_election;
    /// An owner whose writes fail for so long resigns if another node reaches the log.
    milliseconds m_resign_after{250};
    /// A node owns at least so long before it hands over to one with much more processor.
    milliseconds m_yield_after{1'500};
    /// A node that could not be reached for so long is taken off the list.
    milliseconds m_forget_after{30'000};
};

struct agent_ports {
    loop_port m_loop;
    log_port m_log;
    /// Sends a message; returns whether it left.
    std::function<bool(const std::string& peer, const node_message& message)> m_send;
    std::function<void(const std::vector<node_record>& peers)> m_set_peers;
    /// This node has become the owner.
    std::function<void(const ownership_claim& claim)> m_won;
    /// This node's ownership is over.
    std::function<void()> m_lost;
    /// Calls may be sent to the owner now.
    std::function<void()> m_owner_reachable;
    std::function<void()> m_owner_unreachable;
    std::function<void(std::string_view event, std::string detail)> m_log_event;
};

/// Registers the node, follows claims and nodes in the log, takes part in elections, and beats
/// while its node owns. Not thread-safe; runs on the loop.
class cluster_agent {
public:
    static std::unique_ptr<cluster_agent> create(agent_options options, agent_ports ports);

    void start();
    void tick();
    /// Takes a peer's message; returns whether it was one for the agent.
    bool receive(const std::string& from, const node_message& message);
    void link_changed(const std::string& peer, bool open);

    /// Notes for how long the log has turned down the owner's writes.
    void set_failing(milliseconds time) { m_failing_for = time; }
    /// Ends this node's ownership and lets another claim. `planned` also records it.
    void resign(bool planned);
    /// Keeps the node from claiming any more.
    void stop_claiming() { m_may_claim = false; }

    bool owns() const { return m_owned_epoch != 0; }
    /// Returns the incarnation of the owner that this node hears; empty if none.
    std::string reachable_owner() const;
    std::uint64_t epoch() const { return m_election.claim().m_epoch; }
    /// Returns the other nodes that this one has a link to.
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
    void beat(time_point now);
    void probe_for_resignation(time_point now);
    void forget_lost_nodes(time_point now);
    void update_reachability();
    milliseconds stagger() const;
    void yield_to_stronger(moment now);

    void handle(const std::string& from, const owner_beat& message);
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
    std::map<std::string, time_point> m_unreached_since;
    std::set<std::string> m_open_links;
    std::uint64_t m_topic_end{0};
    bool m_know_topic{false};
    bool m_may_claim{true};
    std::uint64_t m_owned_epoch{0};
    time_point m_owned_since;
    bool m_owner_reachable{false};
    milliseconds m_failing_for{0};
    time_point m_beat_at;
    time_point m_probe_at;
    /// Outlives the agent in the answers that are under way.
    std::shared_ptr<cluster_agent*> m_self;
};

} // namespace peridotrudder
