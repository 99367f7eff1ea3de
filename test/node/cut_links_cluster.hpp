#pragma once

/// @file
/// Nodes in one process, with a log in memory and links that can be cut one way.

#include "peridotrudder/base/variant_codec.hpp"
#include "peridotrudder/node/call_router.hpp"
#include "peridotrudder/node/call_transport.hpp"
#include "peridotrudder/ownership/cluster_agent.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace peridotrudder {

/// Runs the parts of a node that choose the owner and carry calls to it. An owner answers every
/// call after a while, unless it is told to refuse.
class cut_links_cluster {
public:
    explicit cut_links_cluster(std::size_t nodes)
    {
        for (std::size_t index = 0; index < nodes; ++index) {
            m_nodes.push_back(std::make_unique<node>());
            begin(*m_nodes.back(), index);
        }
    }

    /// Cuts or heals the link on which `from` sends to `to`.
    void cut(std::size_t from, std::size_t to) { m_cuts.insert({name(from), name(to)}); }
    void heal() { m_cuts.clear(); }
    /// Leaves a node's reads of the log without an answer from now on.
    void cut_log(std::size_t index) { m_without_log.insert(name(index)); }
    bool connected(std::size_t from, std::size_t to) const
    {
        return from == to || (m_cuts.count({name(from), name(to)}) == 0 &&
                              m_cuts.count({name(to), name(from)}) == 0);
    }

    void run(milliseconds time)
    {
        const auto end = m_now.m_at + time;
        while (m_now.m_at < end) {
            step();
        }
    }

    /// Returns the index of the only node that owns the fleet.
    std::optional<std::size_t> owner() const
    {
        std::optional<std::size_t> found;
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            if (m_nodes[index]->m_agent->owns()) {
                if (found) {
                    return std::nullopt;
                }
                found = index;
            }
        }
        return found;
    }

    /// Makes a call at a node; its answers are kept under the returned number.
    std::size_t call(std::size_t at, call_kind kind = call_kind::submit)
    {
        job_call made;
        made.m_kind = kind;
        const auto number = m_answers.size();
        made.m_path = path(number);
        m_answers.emplace_back();
        m_nodes[at]->m_router->take(
            made, milliseconds{3'000},
            [this, number](const call_answer& answer) {
                m_answers[number].push_back(answer.m_status);
            },
            m_now.m_at);
        return number;
    }

    const std::vector<call_status>& answers(std::size_t number) const { return m_answers[number]; }
    std::string status(std::size_t number) const
    {
        return m_answers[number].empty() ? "none yet"
                                         : std::string{to_string(m_answers[number].front())};
    }
    std::uint64_t epoch(std::size_t index) const { return m_nodes[index]->m_agent->epoch(); }
    owner_route route(std::size_t index) const { return m_nodes[index]->m_agent->route(); }
    /// Returns whether an owner has recorded a copy of a call.
    bool accepted(std::size_t number) const { return m_accepted.count(path(number)) != 0; }
    void resign(std::size_t index) { m_nodes[index]->m_agent->resign(false); }
    static std::string name(std::size_t index) { return "n" + std::to_string(index); }

    /// Status with which owners answer, and how long they take.
    call_status m_outcome{call_status::done};
    milliseconds m_answer_time{20};
    /// Number of calls that owners have received.
    int m_taken{0};
    /// Number of messages that were sent, by kind.
    std::map<std::string, int> m_sent;

private:
    static std::string path(std::size_t number) { return "/queue/" + std::to_string(number); }

    struct node {
        std::string m_name;
        std::unique_ptr<cluster_agent> m_agent;
        std::optional<call_router> m_router;
        std::optional<call_transport> m_transport;
        std::set<std::string> m_peers;
        std::set<std::string> m_open;
        time_point m_wrote_at;
    };

    void begin(node& made, std::size_t index)
    {
        made.m_name = name(index);
        made.m_router.emplace(
            call_router::create({}, [this, &made](std::uint64_t number, const job_call& call) {
                const auto route = made.m_agent->route();
                return route.m_direct || !route.exists()
                           ? made.m_transport->send(number, call, route.m_peer)
                           : made.m_transport->send_through(number, call, route.m_peer);
            }));
        made.m_transport.emplace(call_transport::create(made.m_name, make_transport_ports(made)));
        agent_options options;
        options.m_self = {made.m_name, made.m_name, "host", 1, m_now.m_unix_ms, 1'000};
        options.m_election.m_self = made.m_name;
        made.m_agent = cluster_agent::create(options, make_agent_ports(made));
        made.m_agent->start();
    }

    transport_ports make_transport_ports(node& made)
    {
        transport_ports ports;
        ports.m_send = [this, &made](const std::string& peer, const node_message& message) {
            return send(made, peer, message);
        };
        ports.m_take = [this, &made](std::uint64_t token, const job_call& call) {
            if (!made.m_agent->owns()) {
                return false;
            }
            ++m_taken;
            after(m_answer_time, [this, &made, token, path = call.m_path] {
                if (m_outcome == call_status::done) {
                    m_accepted.insert(path);
                }
                made.m_transport->answer(token, {m_outcome, {}, 0, milliseconds{0}});
            });
            return true;
        };
        ports.m_deliver_answer = [this, &made](std::uint64_t number, const call_answer& answer) {
            after(milliseconds{0}, [this, &made, number, answer] {
                made.m_router->answered(number, answer, m_now.m_at);
            });
        };
        ports.m_direct_owner = [&made] {
            return made.m_agent->owns() ? std::string{} : made.m_agent->reachable_owner();
        };
        ports.m_now = [this] { return m_now.m_at; };
        return ports;
    }

    agent_ports make_agent_ports(node& made)
    {
        agent_ports ports;
        ports.m_loop.m_now = [this] { return m_now; };
        ports.m_loop.m_after = [this](milliseconds delay, std::function<void()> action) {
            after(delay, std::move(action));
        };
        ports.m_log = make_log(made.m_name);
        ports.m_send = [this, &made](const std::string& peer, const node_message& message) {
            return send(made, peer, message);
        };
        ports.m_set_peers = [&made](const std::vector<node_record>& peers) {
            made.m_peers.clear();
            for (const auto& peer : peers) {
                made.m_peers.insert(peer.m_incarnation);
            }
        };
        ports.m_became_owner = [this, &made](const ownership_claim&) {
            made.m_router->owner_changed(m_now.m_at);
        };
        ports.m_lost = [&made] { made.m_transport->end_open_calls(); };
        ports.m_owner_reachable = [this, &made] { change_route(made); };
        ports.m_owner_unreachable = [this, &made] {
            made.m_transport->end_passed_calls();
            made.m_router->owner_lost(m_now.m_at);
        };
        ports.m_log_event = [](std::string_view, const std::string&) {};
        return ports;
    }

    void change_route(node& changed)
    {
        changed.m_transport->end_passed_calls();
        changed.m_router->owner_changed(m_now.m_at);
    }

    log_port make_log(const std::string& reader)
    {
        log_port log;
        log.m_append = [this](const append_request& request,
                              const std::function<void(append_answer)>& callback) {
            after(milliseconds{5}, [this, request, callback] { callback(append(request)); });
        };
        log.m_read = [this, reader](const read_request& request,
                                    const std::function<void(read_answer)>& callback) {
            read(request, m_now.m_at + request.m_wait, [this, reader, callback](auto answer) {
                if (m_without_log.count(reader) == 0) {
                    callback(answer);
                }
            });
        };
        log.m_newest = [this](const std::string& topic,
                              const std::function<void(newest_answer)>& callback) {
            after(milliseconds{5}, [this, topic, callback] {
                std::map<std::string, keyed_record> newest;
                for (const auto& record : m_topics[topic]) {
                    newest[record.m_key] = record;
                }
                newest_answer answer{log_result::ok, {}, m_topics[topic].size()};
                for (const auto& entry : newest) {
                    answer.m_records.push_back(entry.second);
                }
                callback(answer);
            });
        };
        return log;
    }

    append_answer append(const append_request& request)
    {
        auto& topic = m_topics[request.m_topic];
        if (request.m_expected_end && *request.m_expected_end != topic.size()) {
            return {log_result::moved_on, 0, topic.size(), 0};
        }
        const auto offset = topic.size();
        for (auto record : request.m_records) {
            record.m_offset = topic.size();
            topic.push_back(std::move(record));
        }
        return {log_result::ok, offset, topic.size(), 0};
    }

    void read(const read_request& request, time_point until,
              const std::function<void(read_answer)>& callback)
    {
        after(milliseconds{5}, [this, request, until, callback] {
            const auto& topic = m_topics[request.m_topic];
            if (topic.size() <= request.m_from && m_now.m_at < until) {
                read(request, until, callback);
                return;
            }
            read_answer answer{log_result::ok, topic.size(), 0, {}};
            for (auto offset = request.m_from; offset < topic.size(); ++offset) {
                answer.m_records.push_back(topic[offset]);
            }
            callback(answer);
        });
    }

    node& find(const std::string& wanted)
    {
        return **std::find_if(m_nodes.begin(), m_nodes.end(),
                              [&](const auto& entry) { return entry->m_name == wanted; });
    }

    bool send(node& from, const std::string& to, const node_message& message)
    {
        if (from.m_open.count(to) == 0) {
            return false;
        }
        ++m_sent[std::string{variant_kind(message)}];
        after(milliseconds{1},
              [this, sender = from.m_name, to, bytes = encode_node_message(message)] {
                  if (m_cuts.count({sender, to}) == 0) {
                      receive(find(to), sender, *decode_node_message(bytes));
                  }
              });
        return true;
    }

    void receive(node& at, const std::string& from, const node_message& message)
    {
        if (const auto* call = std::get_if<forwarded_job_call>(&message)) {
            at.m_transport->take(from, *call);
        }
        else if (const auto* answer = std::get_if<forwarded_job_answer>(&message)) {
            at.m_transport->take(*answer);
            if (answer->m_answer.m_status == call_status::not_owner) {
                after(milliseconds{0}, [&at, from] { at.m_agent->not_passed_on(from); });
            }
        }
        else {
            at.m_agent->receive(from, message);
        }
    }

    void step()
    {
        m_now.m_at += milliseconds{5};
        m_now.m_unix_ms += 5;
        while (!m_due.empty() && m_due.begin()->first <= m_now.m_at) {
            const auto action = std::move(m_due.begin()->second);
            m_due.erase(m_due.begin());
            action();
        }
        for (const auto& entry : m_nodes) {
            update_links(*entry);
            entry->m_agent->tick();
            entry->m_router->tick(m_now.m_at);
            write_journal(*entry);
        }
    }

    void update_links(node& opener)
    {
        const auto wanted = opener.m_peers;
        for (const auto& entry : m_nodes) {
            const auto& peer = entry->m_name;
            const bool open = wanted.count(peer) != 0 && m_cuts.count({opener.m_name, peer}) == 0;
            if (open && opener.m_open.insert(peer).second) {
                opener.m_agent->link_opened(peer);
                link_replaced(opener, peer);
                link_replaced(*entry, opener.m_name);
            }
            if (!open && opener.m_open.erase(peer) != 0) {
                opener.m_agent->link_closed(peer, false);
            }
        }
    }

    void link_replaced(node& at, const std::string& peer)
    {
        if (peer == at.m_agent->route().m_peer) {
            change_route(at);
        }
    }

    void write_journal(node& writer)
    {
        if (writer.m_agent->owns() && m_now.m_at - writer.m_wrote_at >= milliseconds{300}) {
            writer.m_wrote_at = m_now.m_at;
            m_topics["keyed.jobs"].push_back({"alive", std::nullopt, 0});
        }
    }

    void after(milliseconds delay, std::function<void()> action)
    {
        m_due.emplace(m_now.m_at + delay, std::move(action));
    }

    moment m_now{time_point{milliseconds{1'000'000}}, 1'000'000};
    std::multimap<time_point, std::function<void()>> m_due;
    std::map<std::string, std::vector<keyed_record>> m_topics;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<std::vector<call_status>> m_answers;
    std::set<std::string> m_accepted;
    std::set<std::string> m_without_log;
};

} // namespace peridotrudder
