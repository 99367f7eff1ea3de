#pragma once

/// @file
/// The HTTP interface for operators, the planner and the command line.

#include "peridotrudder/contracts/availability.hpp"
#include "peridotrudder/entry/request_router.hpp"
#include "peridotrudder/links/http_server.hpp"
#include "peridotrudder/links/log_watcher.hpp"

#include <asio/thread_pool.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace peridotrudder {

/// A change requested by an operator, with the log offset that it is based on.
struct change_request {
    std::optional<std::uint64_t> m_based_on;
    std::optional<std::string> m_reason;
    std::optional<contract> m_contract;
    std::optional<maintenance_wave> m_wave;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("based_on", self.m_based_on);
        archive.field("reason", self.m_reason);
        archive.field("contract", self.m_contract);
        archive.field("wave", self.m_wave);
    }
};

/// The availability counts of each customer at one entry.
struct availability_report {
    std::map<std::string, availability_counts> m_customers;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("customers", self.m_customers);
    }
};

/// The requests that one entry has in flight at a VM; drains wait until it is zero.
struct vm_in_flight {
    std::uint64_t m_next_offset{0};
    std::uint32_t m_in_flight{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("next_offset", self.m_next_offset);
        archive.field("in_flight", self.m_in_flight);
    }
};

/// Serves operators. Thread-safe. Blocking work runs on a separate thread pool.
class operator_api {
public:
    struct dependencies {
        std::string m_entry;
        std::string m_token;
        log_watcher* m_log{nullptr};
        request_router* m_router{nullptr};
        entry_metrics* m_metrics{nullptr};
        span_store* m_spans{nullptr};
        /// Returns the counts of each customer's requests over the availability window.
        std::function<std::map<std::string, availability_counts>()> m_availability;
        /// Returns whether the entry accepts callers' requests.
        std::function<bool()> m_is_ready;
    };

    explicit operator_api(dependencies resources);

    void handle(http_request request, const http_responder& respond);

    /// Waits for requests in progress and joins the threads.
    void stop();

private:
    http_response answer(const http_request& request);
    http_response answer_get(const std::string& path);
    http_response answer_change(const http_request& request);
    http_response append(record_body body, const change_request& change);
    http_response explain(const std::string& kind, const std::string& name) const;

    dependencies m_dependencies;
    asio::thread_pool m_workers;
};

} // namespace peridotrudder
