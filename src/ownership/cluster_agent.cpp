#include "peridotrudder/ownership/cluster_agent.hpp"

#include "peridotrudder/base/packed_cbor.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace peridotrudder {

namespace {

constexpr std::string_view owner_key = "owner";
constexpr std::string_view node_prefix = "node/";
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
constexpr milliseconds register_retry{200};
/// Delay between the claims of two nodes: about the duration of a claim.
constexpr milliseconds claim_spacing{12};
constexpr milliseconds longest_stagger{150};
constexpr milliseconds settling_time{1'000};

} // namespace

std::unique_ptr<cluster_agent> cluster_agent::create(agent_options options, agent_ports ports)
{
    return std::unique_ptr<cluster_agent>{new cluster_agent{std::move(options), std::move(ports)}};
}

cluster_agent::cluster_agent(agent_options options, agent_ports ports)
    : m_options{std::move(options)},
      m_ports{std::move(ports)},
      m_election{owner_election::create(m_options.m_election, m_ports.m_loop.m_now().m_at)},
      m_self{std::make_shared<cluster_agent*>(this)}
{
}

void cluster_agent::start()
{
    register_self();
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

void cluster_agent::register_self()
{
    append_request request;
    request.m_topic = m_options.m_topic;
    request.m_timeout = append_timeout;
    request.m_records.push_back(
        {std::string{node_prefix} + m_options.m_self.m_name, to_packed_cbor(m_options.m_self), 0});
    const std::weak_ptr<cluster_agent*> self = m_self;
    m_ports.m_log.m_append(request, [self](const append_answer& answer) {
        const auto agent = self.lock();
        if (!agent || answer.m_result == log_result::ok) {
            return;
        }
        (*agent)->m_ports.m_loop.m_after(register_retry, [self] {
            if (const auto agent_again = self.lock()) {
                (*agent_again)->register_self();
            }
        });
    });
}

void cluster_agent::take_records(const std::vector<keyed_record>& records, bool snapshot)
{
    if (snapshot) {
        m_nodes.clear();
    }
    // Nodes first: whether a claim is still valid depends on its owner's node.
    for (const auto& record : records) {
        if (record.m_key.rfind(node_prefix, 0) == 0) {
            take_node_record(record);
        }
    }
    for (const auto& record : records) {
        if (record.m_key == owner_key && record.m_value) {
            take_owner_record(record);
        }
    }
    update_peers();
    check_owner_node();
    tick();
}

void cluster_agent::take_node_record(const keyed_record& record)
{
    const auto name = record.m_key.substr(node_prefix.size());
    if (!record.m_value) {
        m_nodes.erase(name);
        return;
    }
    const auto node = from_packed_cbor<node_record>(*record.m_value);
    if (!node) {
        m_ports.m_log_event("node_record_unreadable", record.m_key);
        return;
    }
    m_nodes[name] = *node;
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
        m_ports.m_became_owner(m_election.claim());
    }
    update_reachability();
}

void cluster_agent::update_peers()
{
    std::vector<node_record> peers;
    for (const auto& [name, node] : m_nodes) {
        if (node.m_incarnation != m_options.m_self.m_incarnation) {
            peers.push_back(node);
        }
    }
    m_election.set_members(peers.size() + 1);
    m_ports.m_set_peers(peers);
}

void cluster_agent::check_owner_node()
{
    const auto& claim = m_election.claim();
    const auto node = m_nodes.find(claim.m_node);
    // The node has registered another process: the owner's process no longer runs.
    if (node != m_nodes.end() && node->second.m_incarnation != claim.m_owner) {
        m_election.owner_gone(claim.m_epoch, m_ports.m_loop.m_now().m_at);
        update_reachability();
    }
}

void cluster_agent::tick()
{
    const auto now = m_ports.m_loop.m_now().m_at;
    if (owns()) {
        send_heartbeat(now);
        probe_for_resignation(now);
        ask_for_support(now);
        remove_unreachable_nodes(now);
        yield_to_larger_node(m_ports.m_loop.m_now());
        return;
    }
    update_reachability();
    if (!m_topic_read || !m_may_claim) {
        return;
    }
    m_election.set_stagger(stagger());
    switch (m_election.tick(now)) {
    case election_step::none:
        return;
    case election_step::ask_peers:
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
    milliseconds wait{0};
    for (const auto& [name, node] : m_nodes) {
        const bool linked = m_open_links.count(node.m_incarnation) != 0;
        wait += linked && rank_of(node) < own_rank ? claim_spacing : milliseconds{0};
    }
    return std::min(wait, longest_stagger);
}

void cluster_agent::update_reachability()
{
    const bool reachable = !reachable_owner().empty();
    if (reachable == m_owner_reachable) {
        return;
    }
    m_owner_reachable = reachable;
    if (reachable) {
        m_ports.m_log_event("owner_reachable", m_election.claim().m_owner);
        m_ports.m_owner_reachable();
    }
    else {
        m_ports.m_log_event("owner_unreachable", unreachable_cause());
        m_ports.m_owner_unreachable();
    }
}

std::string cluster_agent::unreachable_cause() const
{
    const auto& claim = m_election.claim();
    const auto now = m_ports.m_loop.m_now().m_at;
    const bool linked = m_open_links.count(claim.m_owner) != 0;
    return fmt::format("{} epoch {}: {}{}, heartbeat {} ms ago", claim.m_owner, claim.m_epoch,
                       linked ? "linked" : "no link", m_election.owner_has_gone() ? ", gone" : "",
                       m_election.heartbeat_age(now).count());
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
    for (const auto& [name, node] : m_nodes) {
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
    m_ports.m_log.m_append(request, [self, own_claim](const append_answer& answer) {
        const auto agent = self.lock();
        // Without an answer, the topic's follower learns whether the claim was appended.
        if (agent && answer.m_result == log_result::ok) {
            auto won = own_claim;
            won.m_epoch = answer.m_offset + 1;
            (*agent)->learn(won);
        }
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
        broadcast(owner_query{m_owned_epoch});
    }
}

bool cluster_agent::is_supported() const
{
    const auto now = m_ports.m_loop.m_now().m_at;
    const auto supporters =
        std::count_if(m_supporters.begin(), m_supporters.end(),
                      [now](const auto& entry) { return now - entry.second <= support_time; });
    return owns() && (static_cast<std::size_t>(supporters) + 1) * 2 > m_nodes.size();
}

void cluster_agent::remove_unreachable_nodes(time_point now)
{
    for (const auto& [name, node] : m_nodes) {
        const bool self = node.m_incarnation == m_options.m_self.m_incarnation;
        if (self || m_open_links.count(node.m_incarnation) != 0) {
            m_unreachable_since.erase(name);
            continue;
        }
        const auto since = m_unreachable_since.emplace(name, now).first->second;
        if (now - since < m_options.m_remove_after) {
            continue;
        }
        m_unreachable_since[name] = now;
        append_request request;
        request.m_topic = m_options.m_topic;
        request.m_timeout = append_timeout;
        // Conditional on the end of the topic, since the node may be registering again.
        request.m_expected_end = m_topic_end;
        request.m_records.push_back({std::string{node_prefix} + name, std::nullopt, 0});
        m_ports.m_log.m_append(request, [](const append_answer& /*answer*/) {});
        return;
    }
}

void cluster_agent::yield_to_larger_node(moment now)
{
    if (now.m_at - m_owned_since < m_options.m_yield_after || m_failing_for.count() > 0) {
        return;
    }
    for (const auto& [name, node] : m_nodes) {
        const bool up_long_enough = now.m_unix_ms - node.m_started_ms >= settling_time.count();
        const bool linked = m_open_links.count(node.m_incarnation) != 0;
        if (up_long_enough && linked &&
            node.m_cpu_millis * 2 >= m_options.m_self.m_cpu_millis * 3) {
            m_ports.m_log_event("yielding", node.m_name);
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
    m_open_links.insert(peer);
    if (owns()) {
        m_ports.m_send(peer, owner_heartbeat{m_election.claim()});
    }
    tick();
}

void cluster_agent::link_closed(const std::string& peer, bool broken)
{
    m_open_links.erase(peer);
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
    m_ports.m_send(from, owner_view{std::max(epoch, message.m_epoch), hears});
}

void cluster_agent::handle(const std::string& from, const owner_view& message)
{
    m_election.peer_view(from, message.m_epoch, message.m_hears_owner);
    if (!owns()) {
        return;
    }
    if (message.m_epoch > m_owned_epoch) {
        resign(false);
    }
    else if (message.m_epoch == m_owned_epoch && message.m_hears_owner) {
        m_supporters[from] = m_ports.m_loop.m_now().m_at;
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

} // namespace peridotrudder
