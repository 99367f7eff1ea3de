#pragma once

/// @file
/// Sends the orders that wait for a place.

#include "peridotrudder/scheduling/scheduler_state.hpp"

#include <functional>
#include <string_view>

namespace peridotrudder {

/// Sends the orders of the state's queue as far as there are places. An order whose reason has gone
/// while it waited is dropped: the job or the run has ended, or the worker cannot take a start any
/// more. Not thread-safe.
class order_sender {
public:
    /// Called for each start that is given up, which has certainly not reached the worker.
    using not_sent_hook =
        std::function<void(worker_session&, const run_key&, std::string_view reason, moment now)>;

    order_sender(scheduler_state& state, not_sent_hook not_sent)
        : m_state{&state},
          m_not_sent{std::move(not_sent)}
    {
    }

    void send_waiting(moment now);

private:
    /// Returns whether the order was sent.
    bool send(const queued_order& order, moment now);
    /// Sends a recorded start, unless the job has ended or the worker cannot take it any more.
    bool send_start(const queued_order& start, moment now);
    bool send_stop(const queued_order& stop, moment now);
    bool send_pace(const queued_order& pace);
    /// Gives up a recorded start that its tenant's quota does not allow any more, with all members
    /// of its gang.
    void withdraw_start(const queued_order& start, moment now);

    scheduler_state* m_state;
    not_sent_hook m_not_sent;
};

} // namespace peridotrudder
