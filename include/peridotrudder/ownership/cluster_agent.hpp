#pragma once

/// @file
/// A node's view of the cluster: its members, the owner of the fleet, and changes of both.

#include "peridotrudder/base/loop_port.hpp"
#include "peridotrudder/ownership/cluster_log.hpp"
#include "peridotrudder/ownership/member_list.hpp"
#include "peridotrudder/ownership/member_removal.hpp"
#include "peridotrudder/ownership/node_messages.hpp"
#include "peridotrudder/ownership/owner_contact.hpp"
#include "peridotrudder/ownership/owner_election.hpp"
#include "peridotrudder/ownership/owner_group.hpp"
#include "peridotrudder/ownership/owner_routes.hpp"
#include "peridotrudder/ownership/owner_support.hpp"
#include "peridotrudder/ownership/route_inquiry.hpp"
#include "peridotrudder/ownership/self_registration.hpp"
#include "peridotrudder/ownership/topic_follower.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace peridotrudder {

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
    /// When the registration of an unreachable node is deleted.
    removal_options m_removal;
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
    /// The owner can be reached, directly or through a peer: calls may be sent to it. Called again
    /// when the owner or the route changes.
    std::function<void()> m_owner_reachable;
    std::function<void()> m_owner_unreachable;
    event_log m_log_event;
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
    /// Stops the node from claiming the ownership and from registering from now on.
    void stop_claiming()
    {
        m_may_claim = false;
        m_registration.stop();
    }

    bool owns() const { return m_owned_epoch != 0; }
    /// Returns the incarnation of the owner that is reached directly, which may be this node; empty
    /// if there is none.
    std::string reachable_owner() const;
    /// Returns where calls are sent: to the owner if it is reached directly, otherwise to a peer
    /// that reaches it.
    owner_route route() const;
    /// A peer has refused to pass a call on.
    void not_passed_on(const std::string& peer);
    owner_contact contact() const;
    std::uint64_t epoch() const { return m_election.claim().m_epoch; }
    /// Returns the other nodes to which this one has an open link.
    std::vector<node_record> linked_nodes() const;
    /// Returns the number of registered nodes, this one included.
    std::size_t registered_nodes() const { return m_members.nodes().size(); }

private:
    cluster_agent(agent_options options, agent_ports ports);

    void take_records(const std::vector<keyed_record>& records, bool snapshot);
    void take_owner_record(const keyed_record& record);
    void take_owner_group(const keyed_record& record);
    self_registration make_registration();
    void keep_links(const std::vector<node_record>& former);
    void update_peers();
    void check_owner_node();
    void learn(const ownership_claim& claim);
    void claim();
    void append_claim(bool released);
    void claim_answered(ownership_claim own_claim, std::uint64_t expected_end,
                        const append_answer& answer);
    void check_journal();
    void broadcast(const node_message& message);
    void send_heartbeat(time_point now);
    void probe_for_resignation(time_point now);
    void ask_for_support(time_point now);
    void take_support(const std::string& from, const owner_view& message);
    void report_group(time_point now);
    void remove_unreachable_nodes(time_point now);
    void delete_registration(const std::string& incarnation);
    void update_reachability();
    void ask_for_route(time_point now);
    std::string unreachable_cause() const;
    void report_suspicion(time_point now);
    void yield_to_larger_node(moment now);

    void handle(const std::string& from, const owner_heartbeat& message);
    void handle(const std::string& from, const owner_resigned& message);
    void handle(const std::string& from, const owner_query& message);
    void handle(const std::string& from, const owner_view& message);
    void handle(const std::string& from, const log_probe& message);
    void handle(const std::string& from, const log_reached& message);
    void handle(const std::string& from, const member_query& message);
    void handle(const std::string& from, const member_view& message);

    agent_options m_options;
    agent_ports m_ports;
    owner_election m_election;
    std::unique_ptr<topic_follower> m_follower;
    member_list m_members;
    self_registration m_registration;
    /// Processes that are not registered any more, but to which a link is still open.
    std::map<std::string, node_record> m_former;
    /// Processes that links are kept to.
    std::set<std::string> m_peers;
    member_removal m_removal;
    owner_group_report m_group_report;
    /// Time until which a node that has handed over leaves the claim to others.
    time_point m_yielded_until;
    std::set<std::string> m_open_links;
    std::uint64_t m_topic_end{0};
    bool m_topic_read{false};
    bool m_may_claim{true};
    std::uint64_t m_owned_epoch{0};
    /// Epoch of the newest heartbeat.
    std::uint64_t m_heard_epoch{0};
    time_point m_owned_since;
    owner_routes m_routes;
    /// The route when the ports were last told.
    owner_route m_route;
    cluster_log m_log;
    route_inquiry m_route_inquiry;
    milliseconds m_failing_for{0};
    time_point m_heartbeat_sent_at;
    time_point m_probe_at;
    milliseconds m_proof_age{0};
    owner_support m_support;
    time_point m_suspicion_reported_at;
};

} // namespace peridotrudder
