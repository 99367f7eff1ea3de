#include "peridotrudder/ownership/cluster_agent.hpp"

#include "peridotrudder/base/packed_cbor.hpp"
#include "peridotrudder/ownership/claim_order.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace peridotrudder {

namespace {

/// With the time limit of a read, less than the time in which a silent connection must be replaced.
constexpr milliseconds follow_wait{1'200};
constexpr milliseconds probe_interval{100};
/// Two answers may be lost.
constexpr milliseconds max_route_age{1'000};
/// Time for which a node that has handed over does not claim: longer than a claim takes while the
/// log is slow. Otherwise it would become the owner again, and hand over again.
constexpr milliseconds yield_pause{3'000};
/// Shortest time between two log lines that say what an election waits for.
constexpr milliseconds suspicion_report_interval{1'000};

std::uint64_t milliseconds_of(time_point time)
{
    const auto since_epoch =
        std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
    return static_cast<std::uint64_t>(since_epoch);
}

} // namespace

std::unique_ptr<cluster_agent> cluster_agent::create(agent_options options, agent_ports ports)
{
    return std::unique_ptr<cluster_agent>{new cluster_agent{std::move(options), std::move(ports)}};
}

cluster_agent::cluster_agent(agent_options options, agent_ports ports)
    : m_options{std::move(options)},
      m_ports{std::move(ports)},
      m_election{owner_election::create(m_options.m_election, m_ports.m_loop.m_now().m_at)},
      m_members{m_ports.m_log_event},
      m_registration{make_registration()},
      m_removal{m_options.m_removal},
      m_routes{owner_routes::create(max_route_age)},
      m_log{m_ports.m_log, m_options.m_topic, m_options.m_journal_topic},
      m_route_inquiry{m_ports.m_loop.m_now().m_at}
{
}

void cluster_agent::start()
{
    m_registration.start();
    follower_options options;
    options.m_topic = m_options.m_topic;
    options.m_wait = follow_wait;
    follower_events events;
    events.m_snapshot = [this](const std::vector<keyed_record>& records) {
        m_topic_read = true;
        take_records(records, true);
    };
    events.m_changes = [this](const std::vector<keyed_record>& records) {
        take_records(records, false);
    };
    events.m_failed = [this](log_result result) {
        m_ports.m_log_event("cluster_unread", std::string{to_string(result)});
    };
    events.m_end = [this](std::uint64_t end) { m_topic_end = end; };
    m_follower = topic_follower::create(options, m_ports.m_log, m_ports.m_loop, events);
    m_follower->start();
}

self_registration cluster_agent::make_registration()
{
    registration_options options;
    options.m_self = m_options.m_self;
    options.m_topic = m_options.m_topic;
    options.m_append_timeout = cluster_append_timeout;
    registration_ports ports;
    ports.m_loop = m_ports.m_loop;
    ports.m_log = m_ports.m_log;
    ports.m_linked = [this](const std::string& incarnation) {
        return m_open_links.count(incarnation) != 0;
    };
    ports.m_log_event = m_ports.m_log_event;
    return self_registration::create(std::move(options), std::move(ports));
}

void cluster_agent::take_records(const std::vector<keyed_record>& records, bool snapshot)
{
    // Nodes first: whether a claim is still valid depends on its owner's node.
    keep_links(m_members.take(records, snapshot));
    m_registration.take(records, snapshot, m_topic_end);
    for (const auto& record : records) {
        if (record.m_key == owner_key && record.m_value) {
            take_owner_record(record);
        }
    }
    // Claims first: a group counts for the newest claim only.
    for (const auto& record : records) {
        if (record.m_key == owner_group_key && record.m_value) {
            take_owner_group(record);
        }
    }
    update_peers();
    tick();
}

void cluster_agent::keep_links(const std::vector<node_record>& former)
{
    // A link that is open shows that its process runs, whatever the topic says of it.
    for (const auto& node : former) {
        if (m_open_links.count(node.m_incarnation) != 0) {
            m_former[node.m_incarnation] = node;
        }
    }
    for (const auto& [name, node] : m_members.nodes()) {
        m_former.erase(node.m_incarnation);
    }
}

void cluster_agent::take_owner_record(const keyed_record& record)
{
    auto claim = from_packed_cbor<ownership_claim>(*record.m_value);
    if (!claim) {
        m_ports.m_log_event("claim_unreadable", std::to_string(record.m_offset));
        return;
    }
    claim->m_epoch = record.m_offset + 1;
    learn(*claim);
}

void cluster_agent::take_owner_group(const keyed_record& record)
{
    const auto group = from_packed_cbor<owner_group>(*record.m_value);
    if (!group) {
        m_ports.m_log_event("owner_group_unreadable", std::to_string(record.m_offset));
        return;
    }
    m_election.owner_reaches(group->m_epoch, group->m_nodes);
}

void cluster_agent::learn(const ownership_claim& claim)
{
    const auto before = m_election.claim().m_epoch;
    m_election.learn(claim, m_ports.m_loop.m_now().m_at);
    if (m_election.claim().m_epoch != before) {
        m_ports.m_log_event("owner_learnt",
                            fmt::format("epoch {} {}{}", claim.m_epoch, claim.m_owner,
                                        claim.m_released ? " released" : ""));
    }
    const bool own_claim = m_election.is_owner();
    if (m_owned_epoch != 0 && (!own_claim || m_election.claim().m_epoch != m_owned_epoch)) {
        m_owned_epoch = 0;
        m_ports.m_lost();
    }
    if (own_claim && m_owned_epoch == 0) {
        m_owned_epoch = m_election.claim().m_epoch;
        m_owned_since = m_ports.m_loop.m_now().m_at;
        m_support.reset();
        m_group_report = {};
        m_ports.m_became_owner(m_election.claim());
    }
    update_reachability();
}

void cluster_agent::update_peers()
{
    std::vector<node_record> peers;
    for (const auto& [name, node] : m_members.nodes()) {
        if (node.m_incarnation != m_options.m_self.m_incarnation) {
            peers.push_back(node);
        }
    }
    m_election.set_members(peers.size() + 1);
    for (const auto& [incarnation, node] : m_former) {
        peers.push_back(node);
    }
    m_peers.clear();
    for (const auto& peer : peers) {
        m_peers.insert(peer.m_incarnation);
    }
    m_ports.m_set_peers(peers);
}

void cluster_agent::check_owner_node()
{
    const auto& claim = m_election.claim();
    const auto node = m_members.nodes().find(claim.m_node);
    const bool replaced =
        node != m_members.nodes().end() && node->second.m_incarnation != claim.m_owner;
    // A claim that came after the registration shows that its process still ran.
    if (!replaced || m_members.offset_of(claim.m_node) < claim.m_epoch) {
        return;
    }
    // The node has registered another process. That may be a former one's registration, carried out
    // late: an owner that is heard, or is this process, runs.
    const auto now = m_ports.m_loop.m_now().m_at;
    const bool heard = (m_heard_epoch == claim.m_epoch && m_election.hears_owner(now)) ||
                       m_routes.best(claim.m_epoch, now).exists();
    if (claim.m_owner != m_options.m_self.m_incarnation && !heard) {
        m_election.owner_gone(claim.m_epoch, now);
    }
}

void cluster_agent::tick()
{
    const auto now = m_ports.m_loop.m_now().m_at;
    m_registration.tick();
    if (owns()) {
        send_heartbeat(now);
        probe_for_resignation(now);
        ask_for_support(now);
        report_group(now);
        remove_unreachable_nodes(now);
        yield_to_larger_node(m_ports.m_loop.m_now());
        return;
    }
    m_removal.reset();
    check_owner_node();
    update_reachability();
    ask_for_route(now);
    report_suspicion(now);
    const bool leaves_claim = now < m_yielded_until && !m_open_links.empty();
    if (!m_topic_read || !m_may_claim || leaves_claim) {
        return;
    }
    m_election.set_stagger(claim_delay(m_options.m_self, m_members.nodes(), m_open_links,
                                       m_ports.m_loop.m_now().m_unix_ms));
    m_election.set_linked(linked_nodes().size());
    switch (m_election.tick(now)) {
    case election_step::none:
        return;
    case election_step::ask_peers:
        m_route_inquiry.asked(now);
        broadcast(owner_query{m_election.claim().m_epoch});
        return;
    case election_step::check_journal:
        check_journal();
        return;
    case election_step::claim:
        claim();
        return;
    }
}

void cluster_agent::update_reachability()
{
    const auto current = route();
    if (current == m_route) {
        return;
    }
    m_route = current;
    if (!current.exists()) {
        m_ports.m_log_event("owner_unreachable", unreachable_cause());
        m_ports.m_owner_unreachable();
        return;
    }
    if (current.m_direct) {
        m_ports.m_log_event("owner_reachable", current.m_peer);
    }
    else {
        m_routes.prefer(current.m_peer);
        m_ports.m_log_event("owner_through_peer",
                            fmt::format("{}, not {}", current.m_peer, unreachable_cause()));
    }
    m_ports.m_owner_reachable();
}

owner_route cluster_agent::route() const
{
    auto owner = reachable_owner();
    if (!owner.empty()) {
        return {std::move(owner), true, epoch()};
    }
    return m_routes.best(epoch(), m_ports.m_loop.m_now().m_at);
}

void cluster_agent::ask_for_route(time_point now)
{
    const owner_query question{epoch()};
    switch (m_route_inquiry.next(m_route, m_routes, m_election.owner_has_gone(), now)) {
    case route_question::none:
        return;
    case route_question::ask_route:
        m_ports.m_send(m_route.m_peer, question);
        return;
    case route_question::ask_all:
        broadcast(question);
        return;
    }
}

void cluster_agent::not_passed_on(const std::string& peer)
{
    m_routes.forget(peer);
    update_reachability();
}

std::string cluster_agent::unreachable_cause() const
{
    const auto& claim = m_election.claim();
    return fmt::format("{} epoch {}: {}", claim.m_owner, claim.m_epoch,
                       describe_contact(contact()));
}

owner_contact cluster_agent::contact() const
{
    if (owns()) {
        return {false, true, milliseconds{0}, m_open_links.size()};
    }
    return {m_election.owner_has_gone(), m_open_links.count(m_election.claim().m_owner) != 0,
            m_election.heartbeat_age(m_ports.m_loop.m_now().m_at), m_open_links.size()};
}

void cluster_agent::report_suspicion(time_point now)
{
    const auto status = m_election.status(now);
    if (!status || now - m_suspicion_reported_at < suspicion_report_interval) {
        return;
    }
    m_suspicion_reported_at = now;
    m_ports.m_log_event("owner_suspected",
                        fmt::format("epoch {}, linked {}: {}{}", m_election.claim().m_epoch,
                                    m_open_links.size(), to_string(*status),
                                    m_topic_read ? "" : ", topic not read"));
}

std::string cluster_agent::reachable_owner() const
{
    if (owns()) {
        return m_options.m_self.m_incarnation;
    }
    const auto& owner = m_election.claim().m_owner;
    const bool linked = m_open_links.count(owner) != 0;
    return linked && m_election.hears_owner(m_ports.m_loop.m_now().m_at) ? owner : std::string{};
}

std::vector<node_record> cluster_agent::linked_nodes() const
{
    std::vector<node_record> linked;
    for (const auto& [name, node] : m_members.nodes()) {
        if (m_open_links.count(node.m_incarnation) != 0) {
            linked.push_back(node);
        }
    }
    return linked;
}

void cluster_agent::claim()
{
    m_ports.m_log_event("claiming", fmt::format("after epoch {}", m_election.claim().m_epoch));
    append_claim(false);
}

void cluster_agent::append_claim(bool released)
{
    ownership_claim own_claim;
    own_claim.m_owner = m_options.m_self.m_incarnation;
    own_claim.m_node = m_options.m_self.m_name;
    own_claim.m_released = released;
    own_claim.m_after_release = released
                                    ? m_election.predecessors_are_over(m_ports.m_loop.m_now().m_at)
                                    : m_election.follows_release();
    const auto expected = m_topic_end;
    m_log.append_claim(own_claim, expected, [this, own_claim, expected](const auto& answer) {
        claim_answered(own_claim, expected, answer);
    });
}

void cluster_agent::claim_answered(ownership_claim own_claim, std::uint64_t expected_end,
                                   const append_answer& answer)
{
    if (answer.m_result == log_result::ok) {
        own_claim.m_epoch = answer.m_offset + 1;
        learn(own_claim);
        return;
    }
    if (answer.m_result == log_result::moved_on) {
        m_election.claim_refused(m_ports.m_loop.m_now().m_at);
    }
    // Without an answer, the topic's follower learns whether the claim was appended.
    m_ports.m_log_event("claim_refused",
                        fmt::format("{} at {}", to_string(answer.m_result), expected_end));
}

void cluster_agent::check_journal()
{
    m_log.watch_journal([this, epoch = epoch()](bool written) {
        m_election.journal_view(epoch, written, m_ports.m_loop.m_now().m_at);
    });
}

void cluster_agent::broadcast(const node_message& message)
{
    for (const auto& peer : m_open_links) {
        m_ports.m_send(peer, message);
    }
}

void cluster_agent::send_heartbeat(time_point now)
{
    if (now - m_heartbeat_sent_at >= m_options.m_heartbeat_interval) {
        m_heartbeat_sent_at = now;
        broadcast(owner_heartbeat{m_election.claim()});
    }
}

void cluster_agent::probe_for_resignation(time_point now)
{
    if (m_failing_for >= m_options.m_resign_after && now - m_probe_at >= probe_interval) {
        m_probe_at = now;
        broadcast(log_probe{m_owned_epoch});
    }
}

void cluster_agent::ask_for_support(time_point now)
{
    if (m_support.ask(m_proof_age, now)) {
        broadcast(owner_query{m_owned_epoch, milliseconds_of(now)});
    }
}

bool cluster_agent::is_supported() const
{
    return owns() && m_support.is_majority(m_members.nodes().size(), m_ports.m_loop.m_now().m_at);
}

void cluster_agent::report_group(time_point now)
{
    const auto nodes =
        m_group_report.tick(linked_nodes().size() + 1, m_members.nodes().size(), now);
    if (!nodes) {
        return;
    }
    m_ports.m_log_event("owner_group",
                        fmt::format("epoch {}, reaches {} of {} nodes", m_owned_epoch,
                                    linked_nodes().size() + 1, m_members.nodes().size()));
    const auto epoch = m_owned_epoch;
    m_log.append_group({epoch, *nodes}, [this, epoch, nodes](const append_answer& answer) {
        if (answer.m_result == log_result::ok && m_owned_epoch == epoch) {
            m_group_report.recorded(*nodes);
        }
    });
}

void cluster_agent::remove_unreachable_nodes(time_point now)
{
    std::vector<watched_process> processes;
    for (const auto& [name, node] : m_members.nodes()) {
        if (node.m_incarnation != m_options.m_self.m_incarnation) {
            processes.push_back({node.m_incarnation, m_open_links.count(node.m_incarnation) != 0});
        }
    }
    const auto step = m_removal.tick(processes, now);
    if (step.m_action == removal_step::action::ask_peers) {
        m_ports.m_log_event("node_unreachable", step.m_incarnation);
        broadcast(member_query{step.m_number, step.m_incarnation});
    }
    if (step.m_action == removal_step::action::remove) {
        delete_registration(step.m_incarnation);
    }
}

void cluster_agent::delete_registration(const std::string& incarnation)
{
    const auto& nodes = m_members.nodes();
    const auto found = std::find_if(nodes.begin(), nodes.end(), [&incarnation](const auto& entry) {
        return entry.second.m_incarnation == incarnation;
    });
    if (found == nodes.end()) {
        return;
    }
    m_ports.m_log_event("node_removed", incarnation);
    m_log.delete_node(found->first, m_topic_end, [this](const append_answer& answer) {
        if (answer.m_result != log_result::ok) {
            m_ports.m_log_event("node_removal_failed", std::string{to_string(answer.m_result)});
        }
    });
}

void cluster_agent::yield_to_larger_node(moment now)
{
    if (now.m_at - m_owned_since < m_options.m_yield_after || m_failing_for.count() > 0) {
        return;
    }
    const auto* larger =
        find_larger_node(m_options.m_self, m_members.nodes(), m_open_links, now.m_unix_ms);
    if (larger != nullptr) {
        m_ports.m_log_event("yielding", larger->m_name);
        m_yielded_until = now.m_at + yield_pause;
        resign(true);
    }
}

void cluster_agent::resign(bool planned)
{
    if (!owns()) {
        return;
    }
    const auto epoch = m_owned_epoch;
    m_owned_epoch = 0;
    m_ports.m_log_event("resigned", fmt::format("epoch {}{}", epoch, planned ? " planned" : ""));
    m_election.owner_gone(epoch, m_ports.m_loop.m_now().m_at);
    broadcast(owner_resigned{epoch});
    if (planned) {
        append_claim(true);
    }
    m_ports.m_lost();
    update_reachability();
}

void cluster_agent::link_opened(const std::string& peer)
{
    // A link to a process that was dropped meanwhile is closed without a further notice.
    if (m_peers.count(peer) == 0) {
        return;
    }
    m_open_links.insert(peer);
    if (owns()) {
        m_ports.m_send(peer, owner_heartbeat{m_election.claim()});
    }
    tick();
}

void cluster_agent::link_closed(const std::string& peer, bool broken)
{
    m_open_links.erase(peer);
    if (m_former.erase(peer) != 0) {
        update_peers();
    }
    m_routes.forget(peer);
    if (broken) {
        m_election.link_broken(peer, m_ports.m_loop.m_now().m_at);
    }
    tick();
}

bool cluster_agent::receive(const std::string& from, const node_message& message)
{
    return std::visit(
        [this, &from](const auto& alternative) {
            using message_type = std::decay_t<decltype(alternative)>;
            constexpr bool handled_elsewhere = std::is_same_v<message_type, forwarded_job_call> ||
                                               std::is_same_v<message_type, forwarded_job_answer> ||
                                               std::is_same_v<message_type, relayed_orders> ||
                                               std::is_same_v<message_type, relayed_answers>;
            if constexpr (handled_elsewhere) {
                return false;
            }
            else {
                handle(from, alternative);
                return true;
            }
        },
        message);
}

void cluster_agent::handle(const std::string& from, const owner_heartbeat& message)
{
    // Only the owner itself may announce its claim.
    if (message.m_claim.m_owner != from) {
        return;
    }
    learn(message.m_claim);
    m_heard_epoch = message.m_claim.m_epoch;
    m_election.heard(message.m_claim.m_epoch, m_ports.m_loop.m_now().m_at);
    update_reachability();
}

void cluster_agent::handle(const std::string& from, const owner_resigned& message)
{
    if (m_election.claim().m_owner == from) {
        m_election.owner_gone(message.m_epoch, m_ports.m_loop.m_now().m_at);
        tick();
    }
}

void cluster_agent::handle(const std::string& from, const owner_query& message)
{
    const auto now = m_ports.m_loop.m_now().m_at;
    const auto epoch = m_election.claim().m_epoch;
    const bool hears = epoch >= message.m_epoch && (owns() || m_election.hears_owner(now));
    // With its own epoch, if that is newer: a deposed owner must not take it for support.
    owner_view view{std::max(epoch, message.m_epoch), hears};
    view.m_asked_ms = message.m_asked_ms;
    if (!reachable_owner().empty()) {
        view.m_reached = m_election.claim();
    }
    m_ports.m_send(from, view);
}

void cluster_agent::handle(const std::string& from, const owner_view& message)
{
    m_election.peer_view(from, message.m_epoch, message.m_hears_owner);
    if (owns()) {
        take_support(from, message);
        return;
    }
    if (!message.m_reached) {
        m_routes.forget(from);
        update_reachability();
        return;
    }
    const auto& claim = *message.m_reached;
    // Whether an own claim succeeded is learnt from the log only.
    if (claim.m_epoch > epoch() && claim.m_owner != m_options.m_self.m_incarnation) {
        learn(claim);
    }
    m_routes.reaches(from, claim.m_epoch, m_ports.m_loop.m_now().m_at);
    update_reachability();
}

void cluster_agent::take_support(const std::string& from, const owner_view& message)
{
    if (message.m_epoch > m_owned_epoch) {
        resign(false);
    }
    else if (message.m_epoch == m_owned_epoch && message.m_hears_owner) {
        const auto asked_ms = static_cast<std::int64_t>(message.m_asked_ms.value_or(0));
        m_support.confirmed(from, time_point{milliseconds{asked_ms}});
    }
}

void cluster_agent::handle(const std::string& from, const log_probe& message)
{
    m_log.probe_journal(
        [this, from, number = message.m_number] { m_ports.m_send(from, log_reached{number}); });
}

void cluster_agent::handle(const std::string& /*from*/, const log_reached& message)
{
    if (owns() && message.m_number == m_owned_epoch && m_failing_for >= m_options.m_resign_after) {
        resign(false);
    }
}

void cluster_agent::handle(const std::string& from, const member_query& message)
{
    const bool self = message.m_process == m_options.m_self.m_incarnation;
    const bool linked = self || m_open_links.count(message.m_process) != 0;
    m_ports.m_send(from, member_view{message.m_number, linked});
}

void cluster_agent::handle(const std::string& from, const member_view& message)
{
    m_removal.peer_view(from, message.m_number, message.m_linked);
}

} // namespace peridotrudder
