#include "peridotrudder/node/order_relay.hpp"

#include "peridotrudder/base/hash.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace peridotrudder {

namespace {

constexpr std::uint64_t millis_per_core = 1'000;
/// A node with less than the owner's processor divided by this is not used: it would be slower than
/// the owner.
constexpr std::uint32_t min_share_divisor = 2;

/// An epoch has room for this many bits of order numbers.
constexpr unsigned bits_of_number_in_epoch = 32;

/// Lower bound of the rate of a relay's steady clock relative to the owner's.
constexpr int slowest_rate_percent = 96;
constexpr int percent_per_whole = 100;

milliseconds steady_millis(time_point time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
}

/// Calls `step` on the object after a pause, if the object still exists.
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

std::size_t size_of(const run_key& key, const std::string& checkpoint)
{
    // The numbers of an entry take less than this.
    constexpr std::size_t numbers = 64;
    return key.m_job.size() + checkpoint.size() + numbers;
}

/// Returns about how many bytes the order takes in a message.
std::size_t size_of(const relayed_order& order)
{
    return order.m_start ? size_of(order.m_start->m_key, order.m_start->m_checkpoint) +
                               order.m_start->m_payload.size() + order.m_start->m_ticket.size()
                         : 0;
}

/// Returns about how many bytes the answer takes in a message.
std::size_t size_of(const relayed_answer& answer)
{
    std::size_t size = 0;
    if (answer.m_hold) {
        for (const auto& run : answer.m_hold->m_running) {
            size += size_of(run.m_key, run.m_checkpoint);
        }
        for (const auto& run : answer.m_hold->m_ended) {
            size += size_of(run.m_key, run.m_checkpoint);
        }
    }
    return size;
}

/// Sends the batch for a peer in messages of a limited number of entries, and of a limited size
/// unless one entry alone is larger.
template <typename Entry, typename Send>
void send_batches(std::map<std::string, std::vector<Entry>>& gathered, const std::string& peer,
                  const Send& send)
{
    // Orders carry payloads of kilobytes; small messages keep the link free for others.
    constexpr std::size_t max_entries = 64;
    // Far below the longest frame that a node accepts.
    constexpr std::size_t max_bytes = 1'048'576;
    auto entries = std::move(gathered[peer]);
    gathered.erase(peer);
    std::vector<Entry> part;
    std::size_t part_bytes = 0;
    for (auto& entry : entries) {
        const auto bytes = size_of(entry);
        if (part.size() == max_entries || (!part.empty() && part_bytes + bytes > max_bytes)) {
            send(std::exchange(part, {}));
            part_bytes = 0;
        }
        part.push_back(std::move(entry));
        part_bytes += bytes;
    }
    if (!part.empty()) {
        send(std::move(part));
    }
}

relayed_answer no_answer()
{
    // A sent order may still be executed: both answers are `unanswered` by default.
    relayed_answer answer;
    answer.m_order.emplace();
    answer.m_hold.emplace();
    return answer;
}

/// Returns the answer to an order that was dropped.
relayed_answer not_sent(const relayed_order& order)
{
    relayed_answer answer;
    answer.m_number = order.m_number;
    if (order.m_hold) {
        answer.m_hold.emplace();
        answer.m_hold->m_result = order_result::not_sent;
    }
    else {
        answer.m_order = order_answer{order_result::not_sent, std::nullopt};
    }
    return answer;
}

} // namespace

std::unique_ptr<order_distributor> order_distributor::create(relay_options options,
                                                             std::uint64_t epoch, relay_ports ports)
{
    return std::unique_ptr<order_distributor>{
        new order_distributor{options, epoch, std::move(ports)}};
}

order_distributor::order_distributor(relay_options options, std::uint64_t epoch, relay_ports ports)
    : m_options{options},
      m_ports{std::move(ports)},
      m_next_number{epoch << bits_of_number_in_epoch},
      m_self{std::make_shared<order_distributor*>(this)}
{
}

worker_port order_distributor::port()
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
        const auto peer = relay_for(to.m_instance.m_worker);
        if (peer.empty()) {
            direct.m_hold(to, order, std::move(callback));
            return;
        }
        auto relayed = make_relayed_order(to);
        relayed.m_hold = order;
        enqueue(peer, std::move(relayed), m_options.m_answer_timeout + order.m_wait,
                [callback = std::move(callback)](const relayed_answer& answer) {
                    callback(answer.m_hold.value_or(hold_answer{}));
                });
    };
    return port;
}

template <typename Order>
bool order_distributor::relay(const worker_report& to, std::optional<Order> relayed_order::*member,
                              const Order& order,
                              const worker_port::callback<order_answer>& callback)
{
    const auto peer = relay_for(to.m_instance.m_worker);
    if (peer.empty()) {
        return false;
    }
    auto relayed = make_relayed_order(to);
    relayed.*member = order;
    enqueue(peer, std::move(relayed), m_options.m_answer_timeout,
            [callback](const relayed_answer& answer) {
                callback(answer.m_order.value_or(order_answer{}));
            });
    return true;
}

relayed_order order_distributor::make_relayed_order(const worker_report& to)
{
    relayed_order order;
    order.m_number = m_next_number++;
    order.m_instance = to.m_instance;
    order.m_address = to.m_address;
    order.m_port = to.m_port;
    return order;
}

void order_distributor::select_relays(const std::vector<node_record>& linked,
                                      std::uint32_t own_cpu_millis, std::size_t workers)
{
    const auto now = m_ports.m_loop.m_now().m_at;
    std::vector<node_record> usable;
    const bool alone = std::uint64_t{workers} * millis_per_core <
                       std::uint64_t{m_options.m_direct_workers_per_core} * own_cpu_millis;
    for (const auto& node : linked) {
        const auto backoff = m_backoff_until.find(node.m_incarnation);
        const bool backoff_over = backoff == m_backoff_until.end() || now >= backoff->second;
        if (!alone && backoff_over && node.m_cpu_millis * min_share_divisor >= own_cpu_millis) {
            usable.push_back(node);
        }
    }
    std::sort(usable.begin(), usable.end(), [](const node_record& left, const node_record& right) {
        return std::tie(right.m_cpu_millis, left.m_name) <
               std::tie(left.m_cpu_millis, right.m_name);
    });
    std::vector<std::string> chosen;
    for (const auto& node : usable) {
        if (chosen.size() < m_options.m_max_relays) {
            chosen.push_back(node.m_incarnation);
        }
    }
    if (chosen != m_relays) {
        m_relays = std::move(chosen);
        m_clock_awaited_since.clear();
        m_ports.m_log_event("relays_chosen",
                            fmt::format("{} for {} workers", m_relays.size(), workers));
    }
}

std::string order_distributor::relay_for(std::string_view worker) const
{
    // Rendezvous hashing: the loss of a relay moves only its own workers.
    std::string best;
    for (const auto& relay : m_relays) {
        const bool better = best.empty() || placement_hash(worker, placement_hash(best)) <
                                                placement_hash(worker, placement_hash(relay));
        if (better && m_clocks.count(relay) != 0) {
            best = relay;
        }
    }
    return best;
}

std::int64_t order_distributor::clock_of(const std::string& relay, time_point now) const
{
    const auto& known = m_clocks.at(relay);
    const auto passed = remaining(known.m_at, now) * slowest_rate_percent / percent_per_whole;
    return known.m_clock_ms + passed.count();
}

void order_distributor::ask_clocks(time_point now)
{
    for (const auto& relay : m_relays) {
        const auto known = m_clocks.find(relay);
        const auto asked = m_clock_asked_at.find(relay);
        const bool recent =
            known != m_clocks.end() && now - known->second.m_at < m_options.m_clock_age;
        const bool waits =
            asked != m_clock_asked_at.end() && now - asked->second < m_options.m_clock_retry;
        if (!recent && !waits) {
            m_clock_asked_at[relay] = now;
            if (known == m_clocks.end()) {
                m_clock_awaited_since.emplace(relay, now);
            }
            m_ports.m_send(relay, relayed_orders{});
        }
    }
}

void order_distributor::enqueue(const std::string& relay, relayed_order order, milliseconds timeout,
                                std::function<void(const relayed_answer&)> answered)
{
    m_pending.emplace(order.m_number, pending_order{relay, m_ports.m_loop.m_now().m_at + timeout,
                                                    std::move(answered)});
    auto& gathered = m_batches[relay];
    gathered.push_back(std::move(order));
    if (gathered.size() == 1) {
        m_batch_began_at[relay] = m_ports.m_loop.m_now().m_at;
        run_later(m_ports.m_loop, m_options.m_batch_delay, m_self,
                  [relay](order_distributor& self) { self.flush(relay); });
    }
}

void order_distributor::flush(const std::string& relay)
{
    if (m_clocks.count(relay) == 0) {
        // The relay was dropped, and its batch with it.
        return;
    }
    const auto deadline_ms =
        clock_of(relay, m_batch_began_at[relay]) + m_options.m_answer_timeout.count();
    bool left = true;
    send_batches(m_batches, relay, [&](std::vector<relayed_order> orders) {
        left = m_ports.m_send(relay, relayed_orders{deadline_ms, std::move(orders)}) && left;
    });
    if (!left) {
        drop_relay(relay, "no link");
    }
}

void order_distributor::link_lost(const std::string& peer)
{
    if (std::find(m_relays.begin(), m_relays.end(), peer) != m_relays.end()) {
        drop_relay(peer, "link lost");
    }
}

void order_distributor::drop_relay(const std::string& relay, std::string_view reason)
{
    m_ports.m_log_event("relay_lost", fmt::format("{}: {}", relay, reason));
    m_relays.erase(std::remove(m_relays.begin(), m_relays.end(), relay), m_relays.end());
    m_backoff_until[relay] = m_ports.m_loop.m_now().m_at + m_options.m_relay_backoff;
    m_batches.erase(relay);
    m_clocks.erase(relay);
    m_clock_awaited_since.erase(relay);
    std::vector<std::function<void(const relayed_answer&)>> unanswered;
    for (auto pending = m_pending.begin(); pending != m_pending.end();) {
        if (pending->second.m_relay != relay) {
            ++pending;
            continue;
        }
        unanswered.push_back(std::move(pending->second.m_answered));
        pending = m_pending.erase(pending);
    }
    for (const auto& answered : unanswered) {
        answered(no_answer());
    }
}

void order_distributor::handle_answers(const std::string& from, const relayed_answers& message)
{
    const auto now = m_ports.m_loop.m_now().m_at;
    const auto known = m_clocks.find(from);
    // An answer that was long on its way tells less than an earlier one.
    if (known == m_clocks.end() || message.m_clock_ms >= clock_of(from, now)) {
        m_clocks[from] = {message.m_clock_ms, now};
    }
    m_clock_awaited_since.erase(from);
    for (const auto& answer : message.m_answers) {
        const auto found = m_pending.find(answer.m_number);
        if (found == m_pending.end() || found->second.m_relay != from) {
            continue;
        }
        const auto answered = std::move(found->second.m_answered);
        m_pending.erase(found);
        answered(answer);
    }
}

void order_distributor::tick()
{
    const auto now = m_ports.m_loop.m_now().m_at;
    std::set<std::string> silent;
    for (const auto& [number, pending] : m_pending) {
        if (now >= pending.m_deadline) {
            silent.insert(pending.m_relay);
        }
    }
    for (const auto& [relay, since] : m_clock_awaited_since) {
        if (now - since >= m_options.m_answer_timeout) {
            silent.insert(relay);
        }
    }
    for (const auto& relay : silent) {
        drop_relay(relay, "no answer");
    }
    ask_clocks(now);
}

std::unique_ptr<order_forwarder> order_forwarder::create(relay_options options, relay_ports ports)
{
    return std::unique_ptr<order_forwarder>{new order_forwarder{options, std::move(ports)}};
}

order_forwarder::order_forwarder(relay_options options, relay_ports ports)
    : m_options{options},
      m_ports{std::move(ports)},
      m_self{std::make_shared<order_forwarder*>(this)}
{
}

void order_forwarder::handle_orders(const std::string& from, const relayed_orders& message)
{
    if (message.m_orders.empty()) {
        m_ports.m_send(from, relayed_answers{clock_ms(), {}});
        return;
    }
    const auto late_ms = clock_ms() - message.m_deadline_ms;
    if (late_ms >= 0) {
        m_ports.m_log_event("orders_dropped", fmt::format("{} of {}, {} ms late",
                                                          message.m_orders.size(), from, late_ms));
        for (const auto& order : message.m_orders) {
            answer(from, not_sent(order));
        }
        return;
    }
    for (const auto& order : message.m_orders) {
        carry(from, order);
    }
}

std::int64_t order_forwarder::clock_ms() const
{
    return steady_millis(m_ports.m_loop.m_now().m_at).count();
}

void order_forwarder::carry(const std::string& from, const relayed_order& order)
{
    worker_report to;
    to.m_instance = order.m_instance;
    to.m_address = order.m_address;
    to.m_port = order.m_port;
    const std::weak_ptr<order_forwarder*> self = m_self;
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

void order_forwarder::answer(const std::string& to, relayed_answer answer)
{
    auto& gathered = m_batches[to];
    gathered.push_back(std::move(answer));
    if (gathered.size() == 1) {
        run_later(m_ports.m_loop, m_options.m_batch_delay, m_self,
                  [to](order_forwarder& self) { self.flush(to); });
    }
}

void order_forwarder::flush(const std::string& to)
{
    // If the link is gone, the answers are dropped: the owner counts the orders as unanswered.
    send_batches(m_batches, to, [&](std::vector<relayed_answer> answers) {
        m_ports.m_send(to, relayed_answers{clock_ms(), std::move(answers)});
    });
}

} // namespace peridotrudder
