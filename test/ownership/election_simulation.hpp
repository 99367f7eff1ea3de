#pragma once

#include "peridotrudder/ownership/owner_election.hpp"
#include "peridotrudder/ownership/owner_group.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace peridotrudder {

/// Bounds of a random delay.
struct delay_range {
    milliseconds m_least{0};
    milliseconds m_most{0};
};

struct simulation_options {
    std::size_t m_nodes{3};
    std::uint32_t m_seed{1};
    delay_range m_message_delay{milliseconds{1}, milliseconds{40}};
    /// From a question until its answer is sent.
    delay_range m_answer_delay{milliseconds{0}, milliseconds{20}};
    delay_range m_log_delay{milliseconds{2}, milliseconds{60}};
    /// Share of lost answers, in percent.
    int m_lost_answers{0};
};

/// Nodes that elect an owner over simulated links and a simulated log, in simulated time. The same
/// options give the same run.
class election_simulation {
public:
    explicit election_simulation(simulation_options options)
        : m_options{options},
          m_random{options.m_seed}
    {
        m_nodes.resize(options.m_nodes);
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            start_process(node);
        }
    }

    void run_for(milliseconds duration)
    {
        const auto until = m_now + duration;
        while (m_now < until) {
            m_now += milliseconds{5};
            deliver();
            for (std::size_t node = 0; node < m_nodes.size(); ++node) {
                tick(node);
            }
        }
    }

    /// Returns the node whose claim is the newest one in the log.
    std::size_t owner() const { return node_of(m_claims.back().m_owner); }
    std::size_t nodes() const { return m_nodes.size(); }
    std::size_t claims() const { return m_claims.size(); }

    /// Ends a node's process. Its host resets the links, or stays silent.
    void kill(std::size_t node, bool silently = false)
    {
        const auto process = m_nodes[node].m_process;
        m_nodes[node].m_alive = false;
        for (std::size_t peer = 0; peer < m_nodes.size(); ++peer) {
            m_nodes[peer].m_unanswered_since.emplace(node, m_now);
            if (!silently) {
                m_nodes[peer].m_unlinked.insert(node);
                m_nodes[peer].m_election.link_broken(process, m_now);
            }
        }
    }

    /// Starts another process of a node, which registers.
    void restart(std::size_t node)
    {
        start_process(node);
        for (auto& peer : m_nodes) {
            peer.m_unlinked.erase(node);
            peer.m_unanswered_since.erase(node);
        }
    }

    void pause(std::size_t node) { m_nodes[node].m_paused = true; }
    void resume(std::size_t node) { m_nodes[node].m_paused = false; }
    /// Cuts the paths between two nodes; both still reach the log.
    void cut(std::size_t left, std::size_t right)
    {
        m_nodes[left].m_unanswered_since.emplace(right, m_now);
        m_nodes[right].m_unanswered_since.emplace(left, m_now);
    }

    /// Returns whether the node of the newest claim runs and all other running nodes hear it, but
    /// for those that are cut from it.
    bool served() const
    {
        const auto serving = owner();
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            const auto& state = m_nodes[node];
            const bool counts = runs(node) && state.m_unanswered_since.count(serving) == 0;
            const bool knows = state.m_election.claim().m_epoch == m_claims.back().m_epoch;
            const bool hears =
                node == serving ? state.m_election.is_owner() : state.m_election.hears_owner(m_now);
            if (counts && !(knows && hears)) {
                return false;
            }
        }
        return runs(serving);
    }

private:
    struct node_state {
        owner_election m_election{owner_election::create({}, {})};
        std::string m_process;
        bool m_alive{true};
        bool m_paused{false};
        /// Number of the log's records that it has read.
        std::size_t m_read{0};
        time_point m_heartbeat_at;
        owner_group_report m_group_report;
        /// Nodes that are silent for this one, and those to which it has no open link any more.
        std::map<std::size_t, time_point> m_unanswered_since;
        std::set<std::size_t> m_unlinked;
    };

    /// The registration of a process, a claim, or the size of an owner's group.
    struct log_record {
        std::string m_process;
        ownership_claim m_claim;
        std::optional<owner_group> m_group{};
    };

    struct event {
        std::size_t m_node;
        std::string m_process;
        std::function<void()> m_run;
    };

    /// A silent link is closed after this time, by its pings.
    static constexpr milliseconds keepalive_limit{2'000};
    static constexpr milliseconds heartbeat_interval{200};
    /// Silence of the journal that shows that the owner does not write.
    static constexpr milliseconds journal_silence{1'200};

    static std::size_t node_of(const std::string& process)
    {
        return std::stoul(process.substr(0, process.find('-')));
    }

    bool runs(std::size_t node) const { return m_nodes[node].m_alive && !m_nodes[node].m_paused; }

    milliseconds between(delay_range range)
    {
        return milliseconds{std::uniform_int_distribution<milliseconds::rep>{
            range.m_least.count(), range.m_most.count()}(m_random)};
    }

    void start_process(std::size_t node)
    {
        auto& state = m_nodes[node];
        state.m_process = std::to_string(node) + "-" + std::to_string(++m_processes);
        election_options options;
        options.m_self = state.m_process;
        options.m_stagger = milliseconds{4 * static_cast<int>(node)};
        state.m_election = owner_election::create(options, m_now);
        state.m_election.set_members(m_nodes.size());
        state.m_alive = true;
        state.m_read = 0;
        write({state.m_process, {}});
        read_log(node);
    }

    /// Appends to the log; all running processes read it soon.
    void write(const log_record& record)
    {
        m_log.push_back(record);
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            after(between(m_options.m_log_delay), node, [this, node] { read_log(node); });
        }
    }

    void read_log(std::size_t node)
    {
        auto& state = m_nodes[node];
        for (; state.m_read < m_log.size(); ++state.m_read) {
            const auto& record = m_log[state.m_read];
            const auto& claim = state.m_election.claim();
            if (record.m_group) {
                state.m_election.owner_reaches(record.m_group->m_epoch, record.m_group->m_nodes);
            }
            else if (record.m_claim.m_epoch != 0) {
                if (record.m_claim.m_epoch > claim.m_epoch) {
                    state.m_group_report = {};
                }
                state.m_election.learn(record.m_claim, m_now);
            }
            else if (claim.m_epoch != 0 && node_of(claim.m_owner) == node_of(record.m_process)) {
                state.m_election.owner_gone(claim.m_epoch, m_now);
            }
        }
    }

    /// Runs an action of a node's present process later; lost if the process has ended by then.
    void after(milliseconds delay, std::size_t node, std::function<void()> action)
    {
        m_events.emplace(m_now + delay, event{node, m_nodes[node].m_process, std::move(action)});
    }

    void send(std::size_t from, std::size_t to, std::function<void()> action)
    {
        const bool cut = m_nodes[from].m_unanswered_since.count(to) != 0;
        if (!cut && m_nodes[to].m_alive) {
            after(between(m_options.m_message_delay), to, std::move(action));
        }
    }

    void deliver()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            auto next = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            const auto& node = m_nodes[next.m_node];
            if (!node.m_alive || node.m_process != next.m_process) {
                continue;
            }
            if (node.m_paused) {
                m_events.emplace(m_now + milliseconds{5}, std::move(next));
                continue;
            }
            next.m_run();
        }
    }

    void tick(std::size_t node)
    {
        if (!runs(node)) {
            return;
        }
        auto& state = m_nodes[node];
        for (const auto& [peer, since] : state.m_unanswered_since) {
            if (m_now - since >= keepalive_limit) {
                state.m_unlinked.insert(peer);
            }
        }
        state.m_election.set_linked(m_nodes.size() - 1 - state.m_unlinked.size());
        if (state.m_election.is_owner()) {
            m_journal_written_at = m_now;
            send_heartbeats(node);
            report_group(node);
            return;
        }
        switch (state.m_election.tick(m_now)) {
        case election_step::none:
            return;
        case election_step::ask_peers:
            ask(node);
            return;
        case election_step::check_journal:
            check_journal(node);
            return;
        case election_step::claim:
            claim(node);
            return;
        }
    }

    void send_heartbeats(std::size_t node)
    {
        auto& state = m_nodes[node];
        if (m_now - state.m_heartbeat_at < heartbeat_interval) {
            return;
        }
        state.m_heartbeat_at = m_now;
        const auto claim = state.m_election.claim();
        for (std::size_t peer = 0; peer < m_nodes.size(); ++peer) {
            if (peer != node) {
                send(node, peer, [this, peer, claim] {
                    m_nodes[peer].m_election.learn(claim, m_now);
                    m_nodes[peer].m_election.heard(claim.m_epoch, m_now);
                });
            }
        }
    }

    void report_group(std::size_t node)
    {
        auto& state = m_nodes[node];
        const auto reached = m_nodes.size() - state.m_unlinked.size();
        const auto nodes = state.m_group_report.tick(reached, m_nodes.size(), m_now);
        if (!nodes) {
            return;
        }
        const owner_group group{state.m_election.claim().m_epoch, *nodes};
        after(between(m_options.m_log_delay), node, [this, node, group] {
            write({m_nodes[node].m_process, {}, group});
            m_nodes[node].m_group_report.recorded(group.m_nodes);
        });
    }

    void ask(std::size_t node)
    {
        const auto epoch = m_nodes[node].m_election.claim().m_epoch;
        for (std::size_t peer = 0; peer < m_nodes.size(); ++peer) {
            if (peer != node) {
                send(node, peer, [this, node, peer, epoch] {
                    after(between(m_options.m_answer_delay), peer,
                          [this, node, peer, epoch] { answer(node, peer, epoch); });
                });
            }
        }
    }

    void answer(std::size_t asker, std::size_t peer, std::uint64_t epoch)
    {
        const auto& election = m_nodes[peer].m_election;
        const bool hears = election.claim().m_epoch >= epoch &&
                           (election.is_owner() || election.hears_owner(m_now));
        if (between({milliseconds{0}, milliseconds{99}}).count() < m_options.m_lost_answers) {
            return;
        }
        send(peer, asker, [this, asker, peer, epoch, hears] {
            m_nodes[asker].m_election.peer_view(m_nodes[peer].m_process, epoch, hears);
        });
    }

    void check_journal(std::size_t node)
    {
        const auto epoch = m_nodes[node].m_election.claim().m_epoch;
        const auto delay = between(m_options.m_log_delay);
        const auto began = m_now + delay;
        const auto reader = [this, node, epoch, began] {
            const bool writes = m_journal_written_at > began;
            m_nodes[node].m_election.journal_view(epoch, writes, m_now);
        };
        after(delay + journal_silence, node, reader);
    }

    void claim(std::size_t node)
    {
        ownership_claim claim;
        claim.m_owner = m_nodes[node].m_process;
        const auto expected = m_nodes[node].m_read;
        after(between(m_options.m_log_delay), node,
              [this, claim, expected] { append(claim, expected); });
    }

    void append(ownership_claim claim, std::size_t expected)
    {
        if (expected != m_log.size()) {
            return;
        }
        claim.m_epoch = m_log.size() + 1;
        m_claims.push_back(claim);
        write({claim.m_owner, claim});
    }

    simulation_options m_options;
    std::mt19937 m_random;
    int m_processes{0};
    time_point m_now{milliseconds{1'000'000}};
    time_point m_journal_written_at;
    std::vector<node_state> m_nodes;
    std::vector<log_record> m_log;
    std::vector<ownership_claim> m_claims;
    std::multimap<time_point, event> m_events;
};

} // namespace peridotrudder
