#pragma once

/// @file
/// Orders to workers that wait until they may be sent.

#include "peridotrudder/machines/worker_orders.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace peridotrudder {

/// Kinds of orders that name a run. The orders of a worker are sent in the order of their kinds.
enum class order_kind {
    /// Stops a run of this owner's.
    stop,
    /// Stops a run that the owner has no record of.
    stop_unknown,
    pace,
    start,
};

/// An order that is not sent yet, by the run that it names. What else it says is found when it is
/// sent, since that may change until then.
struct queued_order {
    order_kind m_kind{order_kind::start};
    worker_instance m_instance;
    run_key m_key;
    std::uint32_t m_run{0};
};

struct order_queue_options {
    /// Most orders to one worker that are sent and not answered.
    std::size_t m_places_per_worker{16};
    /// The same for all workers. An order takes kilobytes until it is answered.
    std::size_t m_places{512};
    /// Most starts of a worker, from their placement to their answers, beyond which no further task
    /// is placed on it. A gang may exceed it.
    std::size_t m_starts_per_worker{64};
};

/// Limits how many orders are sent and not answered, so that their number does not depend on the
/// number of tasks. Orders are sent as they came. Once half of all places are occupied, workers
/// that use half of theirs come last: one that does not answer only holds up itself. An order that
/// waits is a few hundred bytes at most.
///
/// A start is announced when its task is placed, queued when that is recorded, and occupies a place
/// from `take_next` to `free_place`. Does no I/O. Not thread-safe.
class order_queue {
public:
    static order_queue create(order_queue_options options);

    /// Notes a start that is queued once it is recorded.
    void announce_start(const std::string& worker);
    /// Adds an order. A start must be announced; another order that waits already is not added
    /// again.
    void push(queued_order order);
    /// Takes the next order that may be sent, and occupies a place for it.
    std::optional<queued_order> take_next();
    /// Frees the place of an order that was answered, or that was not sent after all.
    void free_place(const std::string& worker, order_kind kind);

    /// Returns how many further tasks may be placed on the worker now.
    std::size_t starts_left(const std::string& worker) const;
    /// Returns how many orders wait for a place.
    std::size_t waiting() const { return m_waiting; }
    /// Returns how many orders occupy a place.
    std::size_t under_way() const { return m_under_way; }

private:
    struct by_kind_and_run {
        bool operator()(const queued_order& left, const queued_order& right) const;
    };

    /// The number of a worker's next order, and the worker.
    using turn = std::pair<std::uint64_t, std::string>;

    /// Orders of one worker. The worker has an entry while it has any, or an announced start.
    struct worker_orders {
        /// All but the starts, and their numbers.
        std::map<queued_order, std::uint64_t, by_kind_and_run> m_urgent;
        std::deque<std::pair<queued_order, std::uint64_t>> m_starts;
        std::size_t m_announced{0};
        std::size_t m_starts_under_way{0};
        std::size_t m_under_way{0};
        /// The worker's entry in `m_turns` or `m_busy_turns`, if it has one.
        std::optional<turn> m_turn;

        bool waits() const { return !m_urgent.empty() || !m_starts.empty(); }
        /// Returns the number of the order that `take` returns.
        std::uint64_t next_number() const;
        queued_order take();
    };

    explicit order_queue(order_queue_options options) : m_options{options} {}

    /// Returns the worker whose order is sent next; null for none.
    const std::string* next_worker() const;
    /// Gives the worker the turn of its next order, or none if it has no order or no place.
    void update_turn(const std::string& worker, worker_orders& orders);
    void erase_if_idle(const std::string& worker);

    order_queue_options m_options;
    std::map<std::string, worker_orders, std::less<>> m_workers;
    /// Workers with a free place and an order that waits for it, by whether they use less than half
    /// of their places.
    std::set<turn> m_turns;
    std::set<turn> m_busy_turns;
    std::uint64_t m_next_number{0};
    std::size_t m_waiting{0};
    std::size_t m_under_way{0};
};

} // namespace peridotrudder
