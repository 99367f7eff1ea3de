#include "peridotrudder/ownership/cluster_agent.hpp"

#include "peridotrudder/base/packed_cbor.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

namespace peridotrudder {

namespace {

constexpr std::string_view owner_key = "owner";
constexpr std::string_view owner_group_key = "owner_group";
/// Timeout of appends to the cluster's topic.
constexpr milliseconds append_timeout{800};
/// With the time limit of a read, less than the time in which a silent connection must be replaced.
constexpr milliseconds follow_wait{1'200};
constexpr milliseconds probe_interval{100};
/// An owner writes to its journal more often than this.
constexpr milliseconds journal_silence{1'200};
/// Age of the proof of ownership from which on the peers are asked whether they hear the owner.
constexpr milliseconds support_after{600};
constexpr milliseconds support_interval{200};
/// How long a peer's word that it hears the owner counts.
constexpr milliseconds support_time{600};
/// Delay between the claims of two nodes: about the duration of a claim.
constexpr milliseconds claim_spacing{12};
constexpr milliseconds longest_stagger{150};
constexpr milliseconds settling_time{1'000};
/// Longer than the interval at which the election asks, whose answers are used too.
constexpr milliseconds route_ask_interval{350};
/// Usual time until a question is answered.
constexpr milliseconds route_answer_time{100};
/// While there is no owner, there will soon be one that tells itself.
constexpr milliseconds ownerless_ask_interval{1'000};
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
      m_peers_asked_at{m_ports.m_loop.m_now().m_at},
      m_self{std::make_shared<cluster_agent*>(this)}
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
    options.m_append_timeout = append_timeout;
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
        m_supporters.clear();
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
    m_election.set_stagger(stagger());
    m_election.set_linked(linked_nodes().size());
    switch (m_election.tick(now)) {
    case election_step::none:
        return;
    case election_step::ask_peers:
        m_peers_asked_at = now;
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

milliseconds cluster_agent::stagger() const
{
    // The nodes with the most processor capacity claim first, since the owner's work is not shared.
    // Among equal nodes the last started claims first: in a rolling restart the nodes that have
    // been restarted will not be stopped again soon. A process that has just started comes last,
    // since it may not know its peers yet.
    const auto rank_of = [this](const node_record& node) {
        const auto age_ms = m_ports.m_loop.m_now().m_unix_ms - node.m_started_ms;
        return std::make_tuple(age_ms < settling_time.count(), -std::int64_t{node.m_cpu_millis},
                               -node.m_started_ms, node.m_name);
    };
    const auto own_rank = rank_of(m_options.m_self);
    const auto now_ms = m_ports.m_loop.m_now().m_unix_ms;
    milliseconds wait{0};
    for (const auto& [name, node] : m_members.nodes()) {
        // Where all nodes start at once, the owner is elected before links are open.
        const bool starting = std::abs(now_ms - node.m_started_ms) < settling_time.count();
        const bool present = starting || m_open_links.count(node.m_incarnation) != 0;
        wait += present && rank_of(node) < own_rank ? claim_spacing : milliseconds{0};
    }
    return std::min(wait, longest_stagger);
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
    const auto interval = m_election.owner_has_gone() ? ownerless_ask_interval : route_ask_interval;
    if (m_route.m_direct || now - m_peers_asked_at < interval) {
        return;
    }
    m_peers_asked_at = now;
    const owner_query question{epoch()};
    if (m_routes.is_newer_than(interval + route_answer_time, m_route.m_peer, now)) {
        m_ports.m_send(m_route.m_peer, question);
        return;
    }
    // There is no route, or its peer has not answered the last question.
    broadcast(question);
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
    append_request request;
    request.m_topic = m_options.m_topic;
    request.m_timeout = append_timeout;
    request.m_expected_end = m_topic_end;
    request.m_records.push_back({std::string{owner_key}, to_packed_cbor(own_claim), 0});
    const std::weak_ptr<cluster_agent*> self = m_self;
    const auto expected = m_topic_end;
    m_ports.m_log.m_append(request, [self, own_claim, expected](const append_answer& answer) {
        const auto agent = self.lock();
        if (!agent) {
            return;
        }
        if (answer.m_result == log_result::ok) {
            auto won = own_claim;
            won.m_epoch = answer.m_offset + 1;
            (*agent)->learn(won);
            return;
        }
        if (answer.m_result == log_result::moved_on) {
            (*agent)->m_election.claim_refused((*agent)->m_ports.m_loop.m_now().m_at);
        }
        // Without an answer, the topic's follower learns whether the claim was appended.
        (*agent)->m_ports.m_log_event(
            "claim_refused", fmt::format("{} at {}", to_string(answer.m_result), expected));
    });
}

void cluster_agent::check_journal()
{
    const auto epoch = m_election.claim().m_epoch;
    read_request request;
    request.m_topic = m_options.m_journal_topic;
    request.m_max_kb = 1;
    const std::weak_ptr<cluster_agent*> self = m_self;
    const auto read_after_end = [self, epoch](std::uint64_t end) {
        const auto agent = self.lock();
        if (!agent) {
            return;
        }
        read_request next;
        next.m_topic = (*agent)->m_options.m_journal_topic;
        next.m_from = end;
        next.m_wait = journal_silence;
        next.m_max_kb = 1;
        (*agent)->m_ports.m_log.m_read(next, [self, epoch](const read_answer& answer) {
            const auto agent_again = self.lock();
            if (agent_again && answer.m_result == log_result::ok) {
                (*agent_again)
                    ->m_election.journal_view(epoch, !answer.m_records.empty(),
                                              (*agent_again)->m_ports.m_loop.m_now().m_at);
            }
        });
    };
    // Read from the end only; the first records may have been trimmed.
    m_ports.m_log.m_newest(m_options.m_journal_topic,
                           [read_after_end](const newest_answer& answer) {
                               if (answer.m_result == log_result::ok) {
                                   read_after_end(answer.m_end);
                               }
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
    if (m_proof_age >= support_after && now - m_support_asked_at >= support_interval) {
        m_support_asked_at = now;
        broadcast(owner_query{m_owned_epoch, milliseconds_of(now)});
    }
}

bool cluster_agent::is_supported() const
{
    const auto now = m_ports.m_loop.m_now().m_at;
    const auto supporters =
        std::count_if(m_supporters.begin(), m_supporters.end(),
                      [now](const auto& entry) { return now - entry.second <= support_time; });
    return owns() && (static_cast<std::size_t>(supporters) + 1) * 2 > m_members.nodes().size();
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
    append_request request;
    request.m_topic = m_options.m_topic;
    request.m_timeout = append_timeout;
    request.m_records.push_back(
        {std::string{owner_group_key}, to_packed_cbor(owner_group{m_owned_epoch, *nodes}), 0});
    const std::weak_ptr<cluster_agent*> self = m_self;
    const auto epoch = m_owned_epoch;
    m_ports.m_log.m_append(request, [self, epoch, nodes](const append_answer& answer) {
        const auto agent = self.lock();
        if (agent && answer.m_result == log_result::ok && (*agent)->m_owned_epoch == epoch) {
            (*agent)->m_group_report.recorded(*nodes);
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
    append_request request;
    request.m_topic = m_options.m_topic;
    request.m_timeout = append_timeout;
    // Conditional on the end of the topic, since the node may be registering again.
    request.m_expected_end = m_topic_end;
    request.m_records.push_back({std::string{node_key_prefix} + found->first, std::nullopt, 0});
    const std::weak_ptr<cluster_agent*> self = m_self;
    m_ports.m_log.m_append(request, [self](const append_answer& answer) {
        const auto agent = self.lock();
        if (agent && answer.m_result != log_result::ok) {
            (*agent)->m_ports.m_log_event("node_removal_failed",
                                          std::string{to_string(answer.m_result)});
        }
    });
}

void cluster_agent::yield_to_larger_node(moment now)
{
    if (now.m_at - m_owned_since < m_options.m_yield_after || m_failing_for.count() > 0) {
        return;
    }
    for (const auto& [name, node] : m_members.nodes()) {
        const bool up_long_enough = now.m_unix_ms - node.m_started_ms >= settling_time.count();
        const bool linked = m_open_links.count(node.m_incarnation) != 0;
        if (up_long_enough && linked &&
            node.m_cpu_millis * 2 >= m_options.m_self.m_cpu_millis * 3) {
            m_ports.m_log_event("yielding", node.m_name);
            m_yielded_until = now.m_at + yield_pause;
            resign(true);
            return;
        }
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
        // Counted from the question: an answer may be read long after it has come.
        const auto asked_ms = static_cast<std::int64_t>(message.m_asked_ms.value_or(0));
        m_supporters[from] = time_point{milliseconds{asked_ms}};
    }
}

void cluster_agent::handle(const std::string& from, const log_probe& message)
{
    read_request request;
    request.m_topic = m_options.m_journal_topic;
    request.m_max_kb = 1;
    const std::weak_ptr<cluster_agent*> self = m_self;
    m_ports.m_log.m_read(request,
                         [self, from, number = message.m_number](const read_answer& answer) {
                             const bool reached = answer.m_result == log_result::ok ||
                                                  answer.m_result == log_result::trimmed;
                             const auto agent = self.lock();
                             if (agent && reached) {
                                 (*agent)->m_ports.m_send(from, log_reached{number});
                             }
                         });
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
