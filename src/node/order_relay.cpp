#include "peridotrudder/node/order_relay.hpp"

#include "peridotrudder/base/hash.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace peridotrudder {

namespace {

constexpr std::uint64_t millis_per_core = 1'000;
/// A node with less than this share of the owner's processor would be a worse place for the calls.
constexpr std::uint32_t least_share_divisor = 2;

/// Calls `step` on the object after a pause, if the object is still there.
template <typename Object, typename Step>
void run_later(const loop_port& loop, milliseconds pause, const std::shared_ptr<Object*>& object,
               Step step)
{
    const std::weak_ptr<Object*> self = object;
    loop.m_after(pause, [self, step = std::move(step)] {
        if (const auto alive = self.lock()) {
            step(**alive);
        }
    });
}

/// Takes what was gathered for a peer, in messages that carry a bounded number of entries.
template <typename Entry, typename Send>
void send_gathered(std::map<std::string, std::vector<Entry>>& gathered, const std::string& peer,
                   const Send& send)
{
    // Orders carry payloads of kilobytes: no message holds a link for long.
    constexpr std::size_t most_entries = 64;
    auto entries = std::move(gathered[peer]);
    gathered.erase(peer);
    for (std::size_t first = 0; first < entries.size(); first += most_entries) {
        const auto last = std::min(first + most_entries, entries.size());
        std::vector<Entry> part;
        for (auto index = first; index < last; ++index) {
            part.push_back(std::move(entries[index]));
        }
        send(std::move(part));
    }
}

relayed_answer no_answer()
{
    // What was sent may be carried out yet: both kinds say so by default.
    relayed_answer answer;
    answer.m_order.emplace();
    answer.m_hold.emplace();
    return answer;
}

} // namespace

std::unique_ptr<order_relay> order_relay::create(relay_options options, relay_ports ports)
{
    return std::unique_ptr<order_relay>{new order_relay{options, std::move(ports)}};
}

order_relay::order_relay(relay_options options, relay_ports ports)
    : m_options{options},
      m_ports{std::move(ports)},
      m_self{std::make_shared<order_relay*>(this)}
{
}

worker_port order_relay::port()
{
    const auto& direct = m_ports.m_direct;
    worker_port port;
    port.m_start = [this, &direct](const worker_report& to, const start_order& order,
                                   worker_port::callback<order_answer> callback) {
        if (!relay(to, &relayed_order::m_start, order, callback)) {
            direct.m_start(to, order, std::move(callback));
        }
    };
    port.m_stop = [this, &direct](const worker_report& to, const stop_order& order,
                                  worker_port::callback<order_answer> callback) {
        if (!relay(to, &relayed_order::m_stop, order, callback)) {
            direct.m_stop(to, order, std::move(callback));
        }
    };
    port.m_pace = [this, &direct](const worker_report& to, const pace_order& order,
                                  worker_port::callback<order_answer> callback) {
        if (!relay(to, &relayed_order::m_pace, order, callback)) {
            direct.m_pace(to, order, std::move(callback));
        }
    };
    port.m_hold = [this, &direct](const worker_report& to, const hold_order& order,
                                  worker_port::callback<hold_answer> callback) {
        const auto peer = relay_of(to.m_instance.m_worker);
        if (peer.empty()) {
            direct.m_hold(to, order, std::move(callback));
            return;
        }
        auto relayed = address_to(to);
        relayed.m_hold = order;
        gather(peer, std::move(relayed), m_options.m_answer_time + order.m_wait,
               [callback = std::move(callback)](const relayed_answer& answer) {
                   callback(answer.m_hold.value_or(hold_answer{}));
               });
    };
    return port;
}

template <typename Order>
bool order_relay::relay(const worker_report& to, std::optional<Order> relayed_order::*which,
                        const Order& order, const worker_port::callback<order_answer>& callback)
{
    const auto peer = relay_of(to.m_instance.m_worker);
    if (peer.empty()) {
        return false;
    }
    auto relayed = address_to(to);
    relayed.*which = order;
    gather(peer, std::move(relayed), m_options.m_answer_time,
           [callback](const relayed_answer& answer) {
               callback(answer.m_order.value_or(order_answer{}));
           });
    return true;
}

relayed_order order_relay::address_to(const worker_report& to)
{
    relayed_order order;
    order.m_number = m_next_number++;
    order.m_instance = to.m_instance;
    order.m_address = to.m_address;
    order.m_port = to.m_port;
    return order;
}

void order_relay::set_fleet(const std::vector<node_record>& linked, std::uint32_t own_cpu_millis,
                            std::size_t workers)
{
    const auto now = m_ports.m_loop.m_now().m_at;
    std::vector<node_record> usable;
    const bool alone = std::uint64_t{workers} * millis_per_core <
                       std::uint64_t{m_options.m_direct_workers_per_core} * own_cpu_millis;
    for (const auto& each : linked) {
        const auto rests = m_resting.find(each.m_incarnation);
        const bool rested = rests == m_resting.end() || now >= rests->second;
        if (!alone && rested && each.m_cpu_millis * least_share_divisor >= own_cpu_millis) {
            usable.push_back(each);
        }
    }
    std::sort(usable.begin(), usable.end(), [](const node_record& left, const node_record& right) {
        return std::tie(right.m_cpu_millis, left.m_name) <
               std::tie(left.m_cpu_millis, right.m_name);
    });
    std::vector<std::string> chosen;
    for (const auto& each : usable) {
        if (chosen.size() < m_options.m_most_relays) {
            chosen.push_back(each.m_incarnation);
        }
    }
    if (chosen != m_relays) {
        m_relays = std::move(chosen);
        m_ports.m_log_event("relays_chosen",
                            fmt::format("{} for {} workers", m_relays.size(), workers));
    }
}

std::string order_relay::relay_of(std::string_view worker) const
{
    // By the highest hash, so that a relay's loss moves only its own workers.
    const auto best = std::max_element(m_relays.begin(), m_relays.end(),
                                       [worker](const auto& left, const auto& right) {
                                           return placement_hash(worker, placement_hash(left)) <
                                                  placement_hash(worker, placement_hash(right));
                                       });
    return best == m_relays.end() ? std::string{} : *best;
}

void order_relay::gather(const std::string& relay, relayed_order order, milliseconds patience,
                         std::function<void(const relayed_answer&)> answered)
{
    m_pending.emplace(order.m_number, pending_order{relay, m_ports.m_loop.m_now().m_at + patience,
                                                    std::move(answered)});
    auto& gathered = m_gathered[relay];
    gathered.push_back(std::move(order));
    if (gathered.size() == 1) {
        run_later(m_ports.m_loop, m_options.m_gather_time, m_self,
                  [relay](order_relay& self) { self.flush(relay); });
    }
}

void order_relay::flush(const std::string& relay)
{
    bool left = true;
    send_gathered(m_gathered, relay, [&](std::vector<relayed_order> orders) {
        left = m_ports.m_send(relay, relayed_orders{std::move(orders)}) && left;
    });
    if (!left) {
        give_up(relay, "no link");
    }
}

void order_relay::link_lost(const std::string& peer)
{
    if (std::find(m_relays.begin(), m_relays.end(), peer) != m_relays.end()) {
        give_up(peer, "link lost");
    }
}

void order_relay::give_up(const std::string& relay, std::string_view why)
{
    m_ports.m_log_event("relay_lost", fmt::format("{}: {}", relay, why));
    m_relays.erase(std::remove(m_relays.begin(), m_relays.end(), relay), m_relays.end());
    m_resting[relay] = m_ports.m_loop.m_now().m_at + m_options.m_rest_time;
    m_gathered.erase(relay);
    std::vector<std::function<void(const relayed_answer&)>> unanswered;
    for (auto each = m_pending.begin(); each != m_pending.end();) {
        if (each->second.m_relay != relay) {
            ++each;
            continue;
        }
        unanswered.push_back(std::move(each->second.m_answered));
        each = m_pending.erase(each);
    }
    for (const auto& each : unanswered) {
        each(no_answer());
    }
}

void order_relay::take_answers(const std::string& from, const relayed_answers& message)
{
    for (const auto& each : message.m_answers) {
        const auto found = m_pending.find(each.m_number);
        if (found == m_pending.end() || found->second.m_relay != from) {
            continue;
        }
        const auto answered = std::move(found->second.m_answered);
        m_pending.erase(found);
        answered(each);
    }
}

void order_relay::tick()
{
    const auto now = m_ports.m_loop.m_now().m_at;
    std::set<std::string> silent;
    for (const auto& [number, each] : m_pending) {
        if (now >= each.m_give_up_at) {
            silent.insert(each.m_relay);
        }
    }
    for (const auto& each : silent) {
        give_up(each, "no answer");
    }
}

std::unique_ptr<order_carrier> order_carrier::create(relay_options options, relay_ports ports)
{
    return std::unique_ptr<order_carrier>{new order_carrier{options, std::move(ports)}};
}

order_carrier::order_carrier(relay_options options, relay_ports ports)
    : m_options{options},
      m_ports{std::move(ports)},
      m_self{std::make_shared<order_carrier*>(this)}
{
}

void order_carrier::take_orders(const std::string& from, const relayed_orders& message)
{
    for (const auto& each : message.m_orders) {
        carry(from, each);
    }
}

void order_carrier::carry(const std::string& from, const relayed_order& order)
{
    worker_report to;
    to.m_instance = order.m_instance;
    to.m_address = order.m_address;
    to.m_port = order.m_port;
    const std::weak_ptr<order_carrier*> self = m_self;
    const auto number = order.m_number;
    const auto answered = [self, from, number](const order_answer& result) {
        if (const auto alive = self.lock()) {
            (*alive)->answer(from, {number, result, std::nullopt});
        }
    };
    if (order.m_start) {
        m_ports.m_direct.m_start(to, *order.m_start, answered);
    }
    else if (order.m_stop) {
        m_ports.m_direct.m_stop(to, *order.m_stop, answered);
    }
    else if (order.m_pace) {
        m_ports.m_direct.m_pace(to, *order.m_pace, answered);
    }
    else if (order.m_hold) {
        m_ports.m_direct.m_hold(to, *order.m_hold, [self, from, number](const hold_answer& result) {
            if (const auto alive = self.lock()) {
                (*alive)->answer(from, {number, std::nullopt, result});
            }
        });
    }
}

void order_carrier::answer(const std::string& to, relayed_answer answer)
{
    auto& gathered = m_gathered[to];
    gathered.push_back(std::move(answer));
    if (gathered.size() == 1) {
        run_later(m_ports.m_loop, m_options.m_gather_time, m_self,
                  [to](order_carrier& self) { self.flush(to); });
    }
}

void order_carrier::flush(const std::string& to)
{
    // An owner that is gone needs no answers.
    send_gathered(m_gathered, to, [&](std::vector<relayed_answer> answers) {
        m_ports.m_send(to, relayed_answers{std::move(answers)});
    });
}

} // namespace peridotrudder
