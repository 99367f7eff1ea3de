#pragma once

/// @file
/// Simulates some replicas of one partition with a log, a network and an upstream, driven by a list
/// of steps. The oracle is the upstream's count of runs of each key.

#include "peridotrudder/requests/partition_replica.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotrudder {

/// One step: the kind of event, and two numbers that select the node or message affected.
struct simulation_step {
    std::uint8_t m_kind{0};
    std::uint16_t m_first{0};
    std::uint16_t m_second{0};
};

/// A protocol rule that the simulation breaks, to show that the oracle detects it.
enum class broken_rule {
    none,
    /// A new home assumes that there are no records instead of asking for them.
    no_seal,
    /// Intents count as acknowledged before any other holder stored them.
    no_copies,
    /// Holders answer a seal, but still acknowledge intents of the sealed epoch.
    no_promise,
};

class partition_simulation {
public:
    explicit partition_simulation(broken_rule broken) : m_broken{broken}
    {
        for (int index = 0; index < 4; ++index) {
            join();
        }
        settle();
    }

    /// Applies one step.
    void apply_step(const simulation_step& step)
    {
        const auto kind = step.m_kind % 100;
        m_now += milliseconds{5};
        if (kind < 38) {
            for (int count = 0; count <= step.m_second % 6; ++count) {
                deliver(step.m_first * (count + 1U), false);
            }
        }
        else if (kind < 40) {
            deliver(step.m_first, true);
        }
        else if (kind < 41) {
            drop(step.m_first);
        }
        else if (kind < 57) {
            call(choose_call_target(step.m_first), next_key(step.m_second));
        }
        else if (kind < 69) {
            take_slot(step.m_first);
        }
        else if (kind < 78) {
            send_upstream(step.m_first, step.m_second);
        }
        else if (kind < 86) {
            read_log(pick(step.m_first));
        }
        else if (kind < 91) {
            m_now += milliseconds{step.m_second % 100};
            tick(pick(step.m_first));
        }
        else {
            inject_fault(kind, step.m_first);
        }
    }

    /// Ends all faults and lets every node read the log and receive all messages.
    void settle()
    {
        const auto alive_nodes = alive();
        const bool any_member =
            std::any_of(alive_nodes.begin(), alive_nodes.end(), [this](node* peer) {
                return m_views.back().m_view.find(peer->m_name) != nullptr;
            });
        if (!any_member) {
            // Evicted members rejoin as new members without records.
            join();
        }
        evict_dead();
        for (auto& peer : m_nodes) {
            peer->m_paused = false;
        }
        for (int round = 0; round < 60; ++round) {
            m_now += milliseconds{250};
            for (auto& peer : m_nodes) {
                while (peer->m_alive && peer->m_views_read < m_views.size()) {
                    read_log(peer.get());
                }
                tick(peer.get());
            }
            while (!m_network.empty()) {
                deliver(0, false);
            }
        }
    }

    /// Calls each key once at the home and records a violation if one gets no verdict.
    void check_every_key_is_answered()
    {
        node* home = find(current_home());
        for (std::uint32_t key = 0; key <= m_calls / calls_per_key && home != nullptr; ++key) {
            const auto begun = home->m_replica.begin(make_call(key), m_now);
            if (begun.m_verdict == begin_verdict::not_ready ||
                begun.m_verdict == begin_verdict::not_home) {
                violate(fmt::format("key {} gets no verdict after the faults ended", key));
            }
        }
        if (home == nullptr && !alive().empty()) {
            violate("no home although members are alive");
        }
    }

    const std::optional<std::string>& violation() const { return m_violation; }

    /// Return how often runs and view changes happened, to show that the steps cause them.
    std::size_t runs() const { return m_run_count; }
    std::size_t views() const { return m_views.size(); }

private:
    /// New keys are used over time, since each key can run only once.
    static constexpr std::uint32_t calls_per_key = 6;
    static constexpr std::uint32_t keys_in_use = 3;
    static constexpr std::size_t max_nodes = 7;
    static constexpr std::uint32_t partition = 0;

    struct attempt {
        std::uint32_t m_key{0};
        record_version m_version;
        bool m_slot{false};
        bool m_acknowledged{false};
    };

    struct node {
        explicit node(std::string name) : m_replica{partition, name}, m_name{std::move(name)} {}

        partition_replica m_replica;
        std::string m_name;
        std::string m_zone;
        bool m_alive{true};
        bool m_paused{false};
        /// Views that the node has read.
        std::size_t m_views_read{0};
        std::vector<attempt> m_attempts;
    };

    struct message {
        std::string m_from;
        std::string m_to;
        partition_message m_body;
    };

    struct logged_view {
        view m_view;
        partition_history m_history;
    };

    static keyed_call make_call(std::uint32_t key)
    {
        // The window is longer than any simulation, so no record expires.
        return {fmt::format("customer/{}", key), "digest", milliseconds{86'400'000}};
    }

    std::vector<node*> alive()
    {
        std::vector<node*> alive_nodes;
        for (auto& peer : m_nodes) {
            if (peer->m_alive) {
                alive_nodes.push_back(peer.get());
            }
        }
        return alive_nodes;
    }

    node* pick(std::size_t index)
    {
        const auto alive_nodes = alive();
        return alive_nodes.empty() ? nullptr : alive_nodes[index % alive_nodes.size()];
    }

    node* find(const std::string& name)
    {
        for (auto& peer : m_nodes) {
            if (peer->m_name == name && peer->m_alive) {
                return peer.get();
            }
        }
        return nullptr;
    }

    std::string current_home() const
    {
        const auto& epochs = m_views.back().m_history.m_epochs;
        return epochs.back().m_holders.empty() ? "" : epochs.back().m_holders.front();
    }

    /// Selects the home for most calls, and other nodes for the rest.
    node* choose_call_target(std::size_t index)
    {
        node* home = find(current_home());
        return index % 3 != 0 && home != nullptr ? home : pick(index);
    }

    void violate(std::string description)
    {
        if (!m_violation) {
            m_violation = std::move(description);
        }
    }

    void write_view(const view& next)
    {
        std::vector<partition_history> histories(partition_count);
        if (!m_views.empty()) {
            histories[partition] = m_views.back().m_history;
        }
        extend_histories(histories, next);
        m_views.push_back({next, histories[partition]});
    }

    view next_view() const
    {
        view next = m_views.empty() ? view{} : m_views.back().m_view;
        next.m_number = m_views.size() + 1;
        return next;
    }

    void join()
    {
        const auto number = m_nodes.size();
        auto created = std::make_unique<node>(fmt::format("node-{}", number));
        created->m_zone = fmt::format("zone-{}", number % 3);
        auto next = next_view();
        member self;
        self.m_entry = created->m_name;
        self.m_incarnation = created->m_name;
        self.m_zone = created->m_zone;
        next.m_members.push_back(self);
        write_view(next);
        m_nodes.push_back(std::move(created));
    }

    void evict(const std::string& name)
    {
        auto next = next_view();
        auto& members = next.m_members;
        const auto found =
            std::find_if(members.begin(), members.end(),
                         [&](const member& candidate) { return candidate.m_incarnation == name; });
        if (found != members.end() && members.size() > 1) {
            members.erase(found);
            write_view(next);
        }
    }

    void evict_dead()
    {
        for (auto& peer : m_nodes) {
            if (!peer->m_alive) {
                evict(peer->m_name);
            }
        }
    }

    void inject_fault(int kind, std::size_t index)
    {
        node* chosen = pick(index);
        if (chosen == nullptr || kind < 93) {
            if (alive().size() < max_nodes) {
                join();
            }
            return;
        }
        if (kind < 94 && alive().size() > 3) {
            chosen->m_alive = false;
            evict_dead();
        }
        else if (kind < 96) {
            // Evicts a live member, as after a false suspicion or when it leaves.
            evict(chosen->m_name);
        }
        else if (kind < 97 && index % 8 == 0) {
            lose_zone(fmt::format("zone-{}", index % 3));
        }
        else if (kind < 98) {
            chosen->m_paused = true;
        }
        else {
            for (auto* peer : alive()) {
                peer->m_paused = false;
            }
        }
    }

    void lose_zone(const std::string& zone)
    {
        for (auto* peer : alive()) {
            if (peer->m_zone == zone && alive().size() > 1) {
                peer->m_alive = false;
            }
        }
    }

    void read_log(node* reader)
    {
        if (reader == nullptr || !reader->m_alive || reader->m_paused) {
            return;
        }
        if (reader->m_views_read == m_views.size()) {
            return;
        }
        const auto& next = m_views[reader->m_views_read++];
        replica_actions actions;
        reader->m_replica.set_history(next.m_history, next.m_view, m_now, actions);
        take(*reader, actions);
    }

    void tick(node* ticked)
    {
        if (ticked == nullptr || !ticked->m_alive || ticked->m_paused) {
            return;
        }
        replica_actions actions;
        ticked->m_replica.tick(m_now, actions);
        take(*ticked, actions);
    }

    void take(node& from, const replica_actions& actions)
    {
        for (const auto& outgoing : actions.m_messages) {
            post(from, outgoing);
        }
        for (const auto& intent : actions.m_acknowledged) {
            acknowledge(from, intent);
        }
    }

    void post(node& from, const outgoing_message& sent)
    {
        const auto* seal = std::get_if<seal_request>(&sent.m_message);
        if (m_broken == broken_rule::no_seal && seal != nullptr) {
            seal_reply forged;
            forged.m_epoch = seal->m_epoch;
            forged.m_sealed_epoch = seal->m_sealed_epoch;
            forged.m_has_records = true;
            m_network.push_back({sent.m_to, from.m_name, forged});
            return;
        }
        const auto* intent = std::get_if<intent_request>(&sent.m_message);
        if (m_broken == broken_rule::no_copies && intent != nullptr) {
            const intent_reply forged{partition, intent->m_epoch, intent->m_record.m_key,
                                      intent->m_record.m_version};
            m_network.push_back({sent.m_to, from.m_name, forged});
            return;
        }
        m_network.push_back({from.m_name, sent.m_to, sent.m_message});
    }

    void deliver(std::size_t index, bool keep)
    {
        if (m_network.empty()) {
            return;
        }
        const auto position =
            m_network.begin() + static_cast<std::ptrdiff_t>(index % m_network.size());
        const message delivered = *position;
        node* to = find(delivered.m_to);
        if (to != nullptr && to->m_paused) {
            return;
        }
        if (!keep) {
            m_network.erase(position);
        }
        if (to == nullptr) {
            return;
        }
        replica_actions actions;
        if (m_broken == broken_rule::no_promise &&
            std::holds_alternative<seal_request>(delivered.m_body)) {
            auto replica_without_promise = to->m_replica;
            replica_without_promise.receive(delivered.m_from, delivered.m_body, m_now, actions);
        }
        else {
            to->m_replica.receive(delivered.m_from, delivered.m_body, m_now, actions);
        }
        take(*to, actions);
    }

    void drop(std::size_t index)
    {
        if (!m_network.empty()) {
            m_network.erase(m_network.begin() +
                            static_cast<std::ptrdiff_t>(index % m_network.size()));
        }
    }

    std::uint32_t next_key(std::uint32_t choice)
    {
        return m_calls++ / calls_per_key + choice % keys_in_use;
    }

    void call(node* target, std::uint32_t key)
    {
        if (target == nullptr || target->m_paused) {
            return;
        }
        const auto begun = target->m_replica.begin(make_call(key), m_now);
        if (begun.m_verdict == begin_verdict::started) {
            target->m_attempts.push_back({key, begun.m_version, false, false});
        }
        if (begun.m_verdict == begin_verdict::answered && m_runs[key] != 1) {
            violate(fmt::format("key {} is answered, but ran {} times", key, m_runs[key]));
        }
    }

    attempt* choose_attempt(node& owner, std::size_t index, bool slot, bool acknowledged)
    {
        std::vector<attempt*> matching;
        for (auto& candidate : owner.m_attempts) {
            if (candidate.m_slot == slot && candidate.m_acknowledged == acknowledged) {
                matching.push_back(&candidate);
            }
        }
        return matching.empty() ? nullptr : matching[index % matching.size()];
    }

    void remove_attempt(node& owner, const attempt& ended)
    {
        const auto found = std::find_if(
            owner.m_attempts.begin(), owner.m_attempts.end(),
            [&](const attempt& candidate) { return candidate.m_version == ended.m_version; });
        owner.m_attempts.erase(found);
    }

    void take_slot(std::size_t index)
    {
        for (auto* peer : alive()) {
            auto* waiting = peer->m_paused ? nullptr : choose_attempt(*peer, index, false, false);
            if (waiting == nullptr) {
                continue;
            }
            replica_actions actions;
            const attempt chosen = *waiting;
            waiting->m_slot = true;
            const auto key = make_call(chosen.m_key).m_key;
            if (!peer->m_replica.write_intent(key, chosen.m_version, m_now, actions)) {
                remove_attempt(*peer, chosen);
            }
            take(*peer, actions);
            return;
        }
    }

    void acknowledge(node& owner, const acknowledged_intent& intent)
    {
        for (auto& candidate : owner.m_attempts) {
            if (candidate.m_version == intent.m_version) {
                candidate.m_acknowledged = true;
                // From now on the home may report that no earlier attempt ran.
                if (m_runs[candidate.m_key] > 0) {
                    violate(fmt::format("key {} ran, and yet its intent is acknowledged at {}",
                                        candidate.m_key, owner.m_name));
                }
            }
        }
    }

    /// Sends an acknowledged attempt upstream, possibly after a pause.
    void send_upstream(std::size_t index, std::size_t end_choice)
    {
        for (auto* peer : alive()) {
            auto* ready = peer->m_paused ? nullptr : choose_attempt(*peer, index, true, true);
            if (ready == nullptr) {
                continue;
            }
            const attempt sent = *ready;
            remove_attempt(*peer, sent);
            end_upstream(*peer, sent, end_choice % 4);
            return;
        }
    }

    void end_upstream(node& owner, const attempt& sent, std::size_t end_choice)
    {
        const auto key = make_call(sent.m_key).m_key;
        replica_actions actions;
        if (end_choice == 0) {
            owner.m_replica.release(key, sent.m_version, m_now, actions);
            take(owner, actions);
            return;
        }
        ++m_run_count;
        if (++m_runs[sent.m_key] > 1) {
            violate(fmt::format("key {} ran twice, last from {}", sent.m_key, owner.m_name));
        }
        if (end_choice == 1) {
            owner.m_replica.give_up(key, sent.m_version);
            return;
        }
        outcome done;
        done.m_execution_status = execution_status::done;
        owner.m_replica.finish(key, sent.m_version, done, m_now, actions);
        take(owner, actions);
    }

    broken_rule m_broken;
    time_point m_now{milliseconds{1'000'000}};
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<logged_view> m_views;
    std::vector<message> m_network;
    std::map<std::uint32_t, std::size_t> m_runs;
    std::size_t m_run_count{0};
    std::uint32_t m_calls{0};
    std::optional<std::string> m_violation;
};

} // namespace peridotrudder
