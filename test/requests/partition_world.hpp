#pragma once

/// @file
/// A few replicas of one partition with a log, a network and an upstream between them, driven by a
/// list of steps. The oracle is the upstream's count of runs of each key.

#include "peridotrudder/requests/partition_replica.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotrudder {

/// One step: what happens, and two numbers that choose whom it happens to.
struct world_step {
    std::uint8_t m_kind{0};
    std::uint16_t m_first{0};
    std::uint16_t m_second{0};
};

/// A rule of the protocol that the world breaks, to show that the oracle notices.
enum class broken_rule {
    none,
    /// A new home takes the records as empty without asking for them.
    no_seal,
    /// Intents count as kept before any other holder has them.
    no_copies,
    /// Holders answer a seal, but go on to acknowledge intents of the sealed epoch.
    no_promise,
};

class partition_world {
public:
    explicit partition_world(broken_rule broken) : m_broken{broken}
    {
        for (int index = 0; index < 4; ++index) {
            join();
        }
        settle();
    }

    /// Performs one step.
    void perform(const world_step& step)
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
            call(caller_target(step.m_first), next_key(step.m_second));
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
            disturb(kind, step.m_first);
        }
    }

    /// Ends all faults and lets the replicas come to rest.
    void settle()
    {
        const auto living = alive();
        const bool any_member = std::any_of(living.begin(), living.end(), [this](node* each) {
            return m_views.back().m_view.find(each->m_name) != nullptr;
        });
        if (!any_member) {
            // Members that were evicted come back as others, with empty memory.
            join();
        }
        evict_dead();
        for (auto& each : m_nodes) {
            each->m_paused = false;
        }
        for (int round = 0; round < 60; ++round) {
            m_now += milliseconds{250};
            for (auto& each : m_nodes) {
                while (each->m_alive && each->m_views_read < m_views.size()) {
                    read_log(each.get());
                }
                tick(each.get());
            }
            while (!m_network.empty()) {
                deliver(0, false);
            }
        }
    }

    /// Calls each key once at the home and notes a violation if one gets no verdict.
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

    /// Returns how often something happened, to show that the steps reach it.
    std::size_t runs() const { return m_run_count; }
    std::size_t views() const { return m_views.size(); }

private:
    /// Keys come into use one after the other, as each can run only once.
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
        // The window outlasts any run of the world: nothing may be forgotten.
        return {fmt::format("customer/{}", key), "digest", milliseconds{86'400'000}};
    }

    std::vector<node*> alive()
    {
        std::vector<node*> found;
        for (auto& each : m_nodes) {
            if (each->m_alive) {
                found.push_back(each.get());
            }
        }
        return found;
    }

    node* pick(std::size_t index)
    {
        const auto living = alive();
        return living.empty() ? nullptr : living[index % living.size()];
    }

    node* find(const std::string& name)
    {
        for (auto& each : m_nodes) {
            if (each->m_name == name && each->m_alive) {
                return each.get();
            }
        }
        return nullptr;
    }

    std::string current_home() const
    {
        const auto& epochs = m_views.back().m_history.m_epochs;
        return epochs.back().m_holders.empty() ? "" : epochs.back().m_holders.front();
    }

    /// Calls reach the home mostly, and others too.
    node* caller_target(std::size_t index)
    {
        node* home = find(current_home());
        return index % 3 != 0 && home != nullptr ? home : pick(index);
    }

    void violate(std::string what)
    {
        if (!m_violation) {
            m_violation = std::move(what);
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
        auto made = std::make_unique<node>(fmt::format("node-{}", number));
        made->m_zone = fmt::format("zone-{}", number % 3);
        auto next = next_view();
        member self;
        self.m_entry = made->m_name;
        self.m_incarnation = made->m_name;
        self.m_zone = made->m_zone;
        next.m_members.push_back(self);
        write_view(next);
        m_nodes.push_back(std::move(made));
    }

    void evict(const std::string& name)
    {
        auto next = next_view();
        auto& members = next.m_members;
        const auto found = std::find_if(members.begin(), members.end(), [&](const member& each) {
            return each.m_incarnation == name;
        });
        if (found != members.end() && members.size() > 1) {
            members.erase(found);
            write_view(next);
        }
    }

    void evict_dead()
    {
        for (auto& each : m_nodes) {
            if (!each->m_alive) {
                evict(each->m_name);
            }
        }
    }

    void disturb(int kind, std::size_t index)
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
            // Also one that is alive: a false suspicion, or one that leaves.
            evict(chosen->m_name);
        }
        else if (kind < 97 && index % 8 == 0) {
            lose_zone(fmt::format("zone-{}", index % 3));
        }
        else if (kind < 98) {
            chosen->m_paused = true;
        }
        else {
            for (auto* each : alive()) {
                each->m_paused = false;
            }
        }
    }

    void lose_zone(const std::string& zone)
    {
        for (auto* each : alive()) {
            if (each->m_zone == zone && alive().size() > 1) {
                each->m_alive = false;
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
        for (const auto& each : actions.m_messages) {
            post(from, each);
        }
        for (const auto& kept : actions.m_acknowledged) {
            acknowledge(from, kept);
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
            auto unbound = to->m_replica;
            unbound.receive(delivered.m_from, delivered.m_body, m_now, actions);
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

    void call(node* at, std::uint32_t key)
    {
        if (at == nullptr || at->m_paused) {
            return;
        }
        const auto begun = at->m_replica.begin(make_call(key), m_now);
        if (begun.m_verdict == begin_verdict::started) {
            at->m_attempts.push_back({key, begun.m_version, false, false});
        }
        if (begun.m_verdict == begin_verdict::answered && m_runs[key] != 1) {
            violate(fmt::format("key {} is answered, but ran {} times", key, m_runs[key]));
        }
    }

    attempt* choose_attempt(node& at, std::size_t index, bool slot, bool acknowledged)
    {
        std::vector<attempt*> fitting;
        for (auto& each : at.m_attempts) {
            if (each.m_slot == slot && each.m_acknowledged == acknowledged) {
                fitting.push_back(&each);
            }
        }
        return fitting.empty() ? nullptr : fitting[index % fitting.size()];
    }

    void forget(node& at, const attempt& ended)
    {
        const auto found =
            std::find_if(at.m_attempts.begin(), at.m_attempts.end(),
                         [&](const attempt& each) { return each.m_version == ended.m_version; });
        at.m_attempts.erase(found);
    }

    void take_slot(std::size_t index)
    {
        for (auto* each : alive()) {
            auto* waiting = each->m_paused ? nullptr : choose_attempt(*each, index, false, false);
            if (waiting == nullptr) {
                continue;
            }
            replica_actions actions;
            const attempt chosen = *waiting;
            waiting->m_slot = true;
            const auto key = make_call(chosen.m_key).m_key;
            if (!each->m_replica.write_intent(key, chosen.m_version, m_now, actions)) {
                forget(*each, chosen);
            }
            take(*each, actions);
            return;
        }
    }

    void acknowledge(node& at, const acknowledged_intent& kept)
    {
        for (auto& each : at.m_attempts) {
            if (each.m_version == kept.m_version) {
                each.m_acknowledged = true;
                // From here on the home may say that no attempt before this one ran.
                if (m_runs[each.m_key] > 0) {
                    violate(fmt::format("key {} ran, and yet its intent is acknowledged at {}",
                                        each.m_key, at.m_name));
                }
            }
        }
    }

    /// Sends an acknowledged attempt upstream; a pause may lie between the two.
    void send_upstream(std::size_t index, std::size_t fortune)
    {
        for (auto* each : alive()) {
            auto* ready = each->m_paused ? nullptr : choose_attempt(*each, index, true, true);
            if (ready == nullptr) {
                continue;
            }
            const attempt sent = *ready;
            forget(*each, sent);
            end_upstream(*each, sent, fortune % 4);
            return;
        }
    }

    void end_upstream(node& at, const attempt& sent, std::size_t fortune)
    {
        const auto key = make_call(sent.m_key).m_key;
        replica_actions actions;
        if (fortune == 0) {
            at.m_replica.release(key, sent.m_version, m_now, actions);
            take(at, actions);
            return;
        }
        ++m_run_count;
        if (++m_runs[sent.m_key] > 1) {
            violate(fmt::format("key {} ran twice, last from {}", sent.m_key, at.m_name));
        }
        if (fortune == 1) {
            at.m_replica.give_up(key, sent.m_version);
            return;
        }
        outcome done;
        done.m_execution_status = execution_status::done;
        at.m_replica.finish(key, sent.m_version, done, m_now, actions);
        take(at, actions);
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
