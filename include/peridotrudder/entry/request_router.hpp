#pragma once

/// @file
/// Routes each call from its arrival to its outcome.

#include "peridotrudder/entry/call.hpp"
#include "peridotrudder/entry/call_forwarder.hpp"
#include "peridotrudder/entry/partition_table.hpp"
#include "peridotrudder/entry/pool_queue.hpp"
#include "peridotrudder/links/http_client.hpp"
#include "peridotrudder/links/peer_messages.hpp"
#include "peridotrudder/routing/retry_budget.hpp"
#include "peridotrudder/telemetry/metrics.hpp"
#include "peridotrudder/telemetry/spans.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>

namespace peridotrudder {

struct router_options {
    std::string m_self;
    milliseconds m_upstream_timeout{60'000};
    /// Creates the slot acquisition policy of one pool.
    std::function<slot_acquisition_policy()> m_make_policy;
};

/// Components of the entry that the router uses.
struct router_links {
    /// Sends a message to a member; returns whether it was handed to the link.
    std::function<bool(const std::string& to, const peer_message&)> m_send;
    http_client* m_upstreams{nullptr};
    entry_metrics* m_metrics{nullptr};
    span_store* m_spans{nullptr};
};

/// Routes calls to the home of their key, into their pool's queue and to a worker, and returns the
/// answers.
///
/// Thread-safe. Every call that is submitted is answered once, at the latest when its time to wait
/// and the upstream timeout have passed. The owner calls `tick` every few milliseconds.
class request_router {
public:
    request_router(router_options options, router_links links);

    /// Accepts a caller's request.
    void submit(const call_ptr& submitted);

    /// Applies the newest state of the log and the VMs that the VM list marks as leaving.
    void set_state(const std::shared_ptr<const fleet_state>& state,
                   const std::set<std::string>& leaving_vms);

    /// Handles a message of the request path from another entry.
    void receive(const std::string& from, const forwarded_call& message);
    void receive(const std::string& from, const forwarded_reply& message);
    void receive(const std::string& from, const slot_report& message);
    void receive(const std::string& from, const slot_grant& message);
    void receive(const std::string& from, const partition_message& message);

    void tick();

    /// Returns the offset up to which the log applies to every call routed from now on.
    std::uint64_t applied_offset() const { return m_applied_offset; }

    /// Returns the number of this entry's requests in flight at one worker.
    std::uint32_t in_flight(const std::string& vm) const;

    /// Returns the number of unanswered calls, both of this entry's callers and of other entries.
    std::size_t open_calls() const { return m_open_calls; }

    const partition_table& partitions() const { return m_partitions; }

private:
    /// A call whose intent is not acknowledged yet.
    struct pending_intent {
        dispatched_call m_dispatched;
        time_point m_deadline;
    };

    void count_as_open(const call_ptr& opened);
    void submit_keyed(const call_ptr& submitted);
    void retry_later(const call_ptr& delayed);
    void enqueue(const call_ptr& queued);
    void dispatch_ready_calls(const std::shared_ptr<pool_queue>& queue);
    void start_attempt(const dispatched_call& ready);
    void on_intent_acknowledged(const acknowledged_intent& intent);
    void send_upstream(const dispatched_call& ready);
    void handle_answer(const dispatched_call& sent, const outcome& result);
    void replenish_retry_budget(const std::string& customer);
    bool try_spend_retry(const call& failed, const outcome& result, time_point now);
    void finish(const call_ptr& ended, const outcome& result);
    void respond_or_forward(const call_ptr& ended, const outcome& result);
    void send_grants(const std::vector<addressed_grant>& grants);
    void send_reports(const std::shared_ptr<pool_queue>& queue, time_point now);
    void check_intents(time_point now);
    void resubmit_delayed(time_point now);

    std::shared_ptr<pool_queue> find_pool_queue(const std::string& pool) const;
    std::vector<std::shared_ptr<pool_queue>> all_pool_queues() const;

    router_options m_options;
    router_links m_links;
    partition_table m_partitions;
    call_forwarder m_forwarder;

    std::mutex m_state_mutex;
    std::atomic<std::uint64_t> m_applied_offset{0};

    mutable std::shared_mutex m_pool_queues_mutex;
    std::map<std::string, std::shared_ptr<pool_queue>> m_pool_queues;

    std::mutex m_intents_mutex;
    std::map<std::string, pending_intent> m_intents;

    std::mutex m_delayed_mutex;
    std::multimap<time_point, call_ptr> m_delayed;

    std::mutex m_budgets_mutex;
    std::map<std::string, retry_budget> m_budgets;

    std::mutex m_tick_mutex;
    time_point m_next_partition_tick;

    std::atomic<std::size_t> m_open_calls{0};
};

} // namespace peridotrudder
