#pragma once

/// @file
/// A node's cluster agent on a loop and a log in memory.

#include "peridotrudder/base/packed_cbor.hpp"
#include "peridotrudder/ownership/cluster_agent.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace peridotrudder {

/// A loop whose time passes only in `run_for`.
class manual_loop {
public:
    loop_port port()
    {
        loop_port new_port;
        new_port.m_now = [this] { return m_now; };
        new_port.m_after = [this](milliseconds delay, std::function<void()> action) {
            m_timers.emplace(m_now.m_at + delay, std::move(action));
        };
        return new_port;
    }

    /// Calls `each_step` every 10 ms, after the timers that are due.
    void run_for(milliseconds time, const std::function<void()>& each_step)
    {
        constexpr milliseconds step{10};
        for (const auto end = m_now.m_at + time; m_now.m_at < end;) {
            m_now.m_at += step;
            m_now.m_unix_ms += step.count();
            while (!m_timers.empty() && m_timers.begin()->first <= m_now.m_at) {
                const auto action = std::move(m_timers.begin()->second);
                m_timers.erase(m_timers.begin());
                action();
            }
            each_step();
        }
    }

    moment m_now{time_point{milliseconds{1'000'000}}, 5'000'000};

private:
    std::multimap<time_point, std::function<void()>> m_timers;
};

/// One topic in memory; it answers on the loop, or not in time while it is away.
class memory_log {
public:
    explicit memory_log(manual_loop& loop) : m_loop{loop.port()} {}

    log_port port()
    {
        log_port new_port;
        new_port.m_append = [this](const append_request& request,
                                   const std::function<void(append_answer)>& callback) {
            ++m_appends;
            m_loop.m_after(answer_time, [this, request, callback] {
                callback(m_away ? append_answer{} : append(request));
            });
        };
        new_port.m_read = [this](const read_request& request,
                                 const std::function<void(read_answer)>& callback) {
            read(request, callback, m_loop.m_now().m_at + request.m_wait);
        };
        new_port.m_newest = [this](const std::string& /*topic*/,
                                   const std::function<void(newest_answer)>& callback) {
            m_loop.m_after(answer_time, [this, callback] { callback(newest()); });
        };
        return new_port;
    }

    append_answer append(const append_request& request)
    {
        append_answer answer;
        answer.m_end = m_records.size();
        if (request.m_expected_end && *request.m_expected_end != m_records.size()) {
            answer.m_result = log_result::moved_on;
            return answer;
        }
        answer.m_result = log_result::ok;
        answer.m_offset = m_records.size();
        for (const auto& record : request.m_records) {
            put(record);
        }
        answer.m_end = m_records.size();
        return answer;
    }

    void put(keyed_record record)
    {
        record.m_offset = m_records.size();
        m_records.push_back(std::move(record));
    }

    void put_node(const node_record& node)
    {
        put({"node/" + node.m_name, to_packed_cbor(node), 0});
    }

    void delete_node(const std::string& name) { put({"node/" + name, std::nullopt, 0}); }

    void put_claim(const node_record& owner)
    {
        ownership_claim claim;
        claim.m_owner = owner.m_incarnation;
        claim.m_node = owner.m_name;
        put({"owner", to_packed_cbor(claim), 0});
    }

    /// Returns the incarnation that is registered under a name; empty if there is none.
    std::string registered(const std::string& name) const
    {
        const auto newest =
            std::find_if(m_records.rbegin(), m_records.rend(),
                         [&name](const auto& record) { return record.m_key == "node/" + name; });
        if (newest == m_records.rend() || !newest->m_value) {
            return {};
        }
        const auto node = from_packed_cbor<node_record>(*newest->m_value);
        return node ? node->m_incarnation : "unreadable";
    }

    std::vector<keyed_record> m_records;
    bool m_away{false};
    int m_appends{0};

private:
    static constexpr milliseconds answer_time{10};

    void read(const read_request& request, const std::function<void(read_answer)>& callback,
              time_point until)
    {
        m_loop.m_after(answer_time, [this, request, callback, until] {
            const bool waits = !m_away && request.m_from >= m_records.size();
            if (waits && m_loop.m_now().m_at < until) {
                read(request, callback, until);
                return;
            }
            read_answer answer;
            if (!m_away) {
                answer.m_result = log_result::ok;
                answer.m_end = m_records.size();
                const auto from = std::min<std::size_t>(request.m_from, m_records.size());
                answer.m_records.assign(m_records.begin() + static_cast<std::ptrdiff_t>(from),
                                        m_records.end());
            }
            callback(answer);
        });
    }

    newest_answer newest() const
    {
        newest_answer answer;
        if (m_away) {
            return answer;
        }
        answer.m_result = log_result::ok;
        answer.m_end = m_records.size();
        std::map<std::string, keyed_record> by_key;
        for (const auto& record : m_records) {
            by_key[record.m_key] = record;
        }
        for (const auto& [key, record] : by_key) {
            if (record.m_value) {
                answer.m_records.push_back(record);
            }
        }
        return answer;
    }

    loop_port m_loop;
};

inline node_record make_node(const std::string& name, const std::string& incarnation,
                             std::int64_t started_ms = 4'000'000)
{
    return {name, incarnation, "127.0.0.1", 7'000, started_ms, 1'000};
}

/// The agent of the node `self`, whose process is `self-new`, with what it sends and is told.
struct agent_fixture {
    manual_loop m_loop;
    memory_log m_log{m_loop};
    std::vector<std::pair<std::string, node_message>> m_sent;
    std::set<std::string> m_peers;
    std::vector<std::string> m_events;
    int m_lost{0};
    /// Called for each message that the agent sends.
    std::function<void(const std::string& to, const node_message& message)> m_on_send;
    std::unique_ptr<cluster_agent> m_agent;

    agent_fixture() { make_agent(make_node("self", "self-new")); }

    void make_agent(const node_record& self)
    {
        agent_options options;
        options.m_self = self;
        options.m_election.m_self = self.m_incarnation;
        agent_ports ports;
        ports.m_loop = m_loop.port();
        ports.m_log = m_log.port();
        ports.m_send = [this](const std::string& to, const node_message& message) {
            m_sent.emplace_back(to, message);
            if (m_on_send) {
                m_on_send(to, message);
            }
            return true;
        };
        ports.m_set_peers = [this](const std::vector<node_record>& peers) {
            m_peers.clear();
            for (const auto& peer : peers) {
                m_peers.insert(peer.m_incarnation);
            }
        };
        ports.m_became_owner = [](const ownership_claim& /*claim*/) {};
        ports.m_lost = [this] { ++m_lost; };
        ports.m_owner_reachable = [] {};
        ports.m_owner_unreachable = [] {};
        ports.m_log_event = [this](std::string_view event, const std::string& /*detail*/) {
            m_events.emplace_back(event);
        };
        m_agent = cluster_agent::create(options, ports);
    }

    void run_for(milliseconds time)
    {
        m_loop.run_for(time, [this] { m_agent->tick(); });
    }

    /// Runs with a heartbeat of the given claim's owner every 100 ms.
    void run_with_heartbeats(milliseconds time, const ownership_claim& claim)
    {
        for (milliseconds passed{0}; passed < time; passed += milliseconds{100}) {
            m_agent->receive(claim.m_owner, owner_heartbeat{claim});
            run_for(milliseconds{100});
        }
    }

    std::size_t events(const std::string& name) const
    {
        return static_cast<std::size_t>(std::count(m_events.begin(), m_events.end(), name));
    }
};

} // namespace peridotrudder
