#include "peridotrudder/machines/order_queue.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peridotrudder {

namespace {

void decrement(std::size_t& count)
{
    count -= std::min<std::size_t>(count, 1);
}

} // namespace

bool order_queue::by_kind_and_run::operator()(const queued_order& left,
                                              const queued_order& right) const
{
    return std::tie(left.m_kind, left.m_key, left.m_run) <
           std::tie(right.m_kind, right.m_key, right.m_run);
}

std::uint64_t order_queue::worker_orders::next_number() const
{
    return m_urgent.empty() ? m_starts.front().second : m_urgent.begin()->second;
}

queued_order order_queue::worker_orders::take()
{
    if (!m_urgent.empty()) {
        return std::move(m_urgent.extract(m_urgent.begin()).key());
    }
    auto start = std::move(m_starts.front().first);
    m_starts.pop_front();
    return start;
}

order_queue order_queue::create(order_queue_options options)
{
    return order_queue{options};
}

void order_queue::announce_start(const std::string& worker)
{
    ++m_workers[worker].m_announced;
}

void order_queue::push(queued_order order)
{
    const auto worker = order.m_instance.m_worker;
    auto& orders = m_workers[worker];
    if (order.m_kind == order_kind::start) {
        decrement(orders.m_announced);
        orders.m_starts.emplace_back(std::move(order), m_next_number);
    }
    else if (!orders.m_urgent.emplace(std::move(order), m_next_number).second) {
        return;
    }
    ++m_next_number;
    ++m_waiting;
    update_turn(worker, orders);
}

std::optional<queued_order> order_queue::take_next()
{
    const auto* chosen = next_worker();
    if (chosen == nullptr) {
        return std::nullopt;
    }
    const auto worker = *chosen;
    auto& orders = m_workers.at(worker);
    auto next = orders.take();
    --m_waiting;
    ++m_under_way;
    ++orders.m_under_way;
    orders.m_starts_under_way += next.m_kind == order_kind::start ? 1 : 0;
    update_turn(worker, orders);
    return next;
}

void order_queue::free_place(const std::string& worker, order_kind kind)
{
    const auto entry = m_workers.find(worker);
    if (entry == m_workers.end() || entry->second.m_under_way == 0) {
        return;
    }
    auto& orders = entry->second;
    --m_under_way;
    --orders.m_under_way;
    if (kind == order_kind::start) {
        decrement(orders.m_starts_under_way);
    }
    update_turn(worker, orders);
    erase_if_idle(worker);
}

std::size_t order_queue::starts_left(const std::string& worker) const
{
    const auto entry = m_workers.find(worker);
    if (entry == m_workers.end()) {
        return m_options.m_starts_per_worker;
    }
    const auto& orders = entry->second;
    const auto starts = orders.m_announced + orders.m_starts.size() + orders.m_starts_under_way;
    return m_options.m_starts_per_worker - std::min(starts, m_options.m_starts_per_worker);
}

const std::string* order_queue::next_worker() const
{
    if (m_under_way >= m_options.m_places || (m_turns.empty() && m_busy_turns.empty())) {
        return nullptr;
    }
    const bool places_are_scarce = 2 * m_under_way >= m_options.m_places;
    const bool busy_first =
        !m_busy_turns.empty() &&
        (m_turns.empty() || (!places_are_scarce && *m_busy_turns.begin() < *m_turns.begin()));
    return &(busy_first ? m_busy_turns : m_turns).begin()->second;
}

void order_queue::update_turn(const std::string& worker, worker_orders& orders)
{
    if (orders.m_turn) {
        m_turns.erase(*orders.m_turn);
        m_busy_turns.erase(*orders.m_turn);
        orders.m_turn.reset();
    }
    if (orders.waits() && orders.m_under_way < m_options.m_places_per_worker) {
        const bool is_busy = 2 * orders.m_under_way >= m_options.m_places_per_worker;
        orders.m_turn = turn{orders.next_number(), worker};
        (is_busy ? m_busy_turns : m_turns).insert(*orders.m_turn);
    }
}

void order_queue::erase_if_idle(const std::string& worker)
{
    const auto entry = m_workers.find(worker);
    const auto& orders = entry->second;
    if (!orders.waits() && orders.m_under_way == 0 && orders.m_announced == 0) {
        m_workers.erase(entry);
    }
}

} // namespace peridotrudder
