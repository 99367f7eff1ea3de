#pragma once

/// @file
/// The HTTP interface for callers: authentication, request parsing and responses.

#include "peridotrudder/contracts/availability.hpp"
#include "peridotrudder/entry/request_router.hpp"
#include "peridotrudder/links/http_server.hpp"
#include "peridotrudder/routing/admission.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace peridotrudder {

/// Turns callers' HTTP requests into calls. Thread-safe.
class caller_api {
public:
    caller_api(request_router& router, entry_metrics& metrics, span_store& spans);

    /// Replaces the known customers by the contracts in `state`.
    void set_state(const std::shared_ptr<const fleet_state>& state);

    /// Refuses new requests from now on; requests in progress continue.
    void start_draining() { m_draining = true; }

    /// Returns the counts of each customer's requests at this entry over the availability window.
    std::map<std::string, availability_counts> availability();

    /// Handles one request of a caller.
    void handle(http_request request, const http_responder& respond);

private:
    /// A contract with the limits derived from it.
    struct known_customer {
        contract m_contract;
        customer_limits m_limits;
        std::uint32_t m_pending_limit{0};
    };

    /// Customers by the SHA-256 digest of their API key.
    using directory = std::map<std::string, known_customer>;

    std::shared_ptr<const directory> customers() const;
    void count(const std::string& customer, const outcome& result);
    tl::expected<call_ptr, refusal> make_call(const known_customer& customer,
                                              http_request& request) const;

    request_router& m_router;
    entry_metrics& m_metrics;
    span_store& m_spans;
    admission m_admission;
    std::atomic<bool> m_draining{false};
    mutable std::mutex m_mutex;
    std::shared_ptr<const directory> m_customers;
    std::mutex m_windows_mutex;
    std::map<std::string, availability_window> m_windows;
};

/// Returns the HTTP response for a caller whose request had the outcome `result`.
http_response to_response(const std::string& request_id, const outcome& result);

/// Returns the class that the `Priority` header asks for, limited to the contract's class.
work_class class_of(std::string_view priority, work_class highest);

/// Returns the response for callers whose requests arrive while the entry closes its connections.
http_response closing_response();

} // namespace peridotrudder
