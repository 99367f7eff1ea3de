#pragma once

/// @file
/// The priority queue of requests that wait for a slot of one pool.

#include "peridotrudder/base/clock.hpp"
#include "peridotrudder/contracts/contract.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace peridotrudder {

/// One waiting request.
struct queued_work {
    /// Unique within the queue.
    std::uint64_t m_ticket{0};
    work_class m_class{work_class::normal};
    /// Time until which the request may wait for a slot.
    time_point m_deadline;
    /// Whether the request is expected to run long.
    bool m_long{false};
};

/// Orders waiting requests by class, then by deadline.
///
/// Long requests are queued separately, so that they can be skipped while all slots allowed for
/// them are in use. Pure; not thread-safe.
class work_queue {
public:
    void push(const queued_work& work);

    /// Removes and returns the next request of `lowest_class` or a higher one. Skips long requests
    /// unless `allow_long`.
    std::optional<queued_work> pop(bool allow_long, work_class lowest_class = work_class::archive);

    /// Removes a request. Returns whether it was waiting.
    bool cancel(std::uint64_t ticket);

    /// Removes and returns the requests whose deadline has passed.
    std::vector<queued_work> take_expired(time_point now);

    std::size_t size() const { return m_by_ticket.size(); }

    /// Returns the number of waiting short requests of a class.
    std::size_t waiting_short(work_class priority) const;

    /// Returns the number of waiting long requests.
    std::size_t waiting_long() const { return m_long.size(); }

private:
    struct higher_priority_first {
        bool operator()(const queued_work& left, const queued_work& right) const;
    };
    using ordered_work = std::set<queued_work, higher_priority_first>;

    ordered_work& queue_for(const queued_work& work);
    void remove(const queued_work& work);

    ordered_work m_short;
    ordered_work m_long;
    std::array<std::size_t, work_class_count> m_short_by_class{};
    std::unordered_map<std::uint64_t, ordered_work::iterator> m_by_ticket;
    std::set<std::pair<time_point, std::uint64_t>> m_by_deadline;
};

} // namespace peridotrudder
