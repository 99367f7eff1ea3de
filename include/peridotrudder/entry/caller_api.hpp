#pragma once

/// @file
/// The HTTP interface for callers: who is calling, what for, and how outcomes are told.

#include "peridotrudder/contracts/availability.hpp"
#include "peridotrudder/entry/request_router.hpp"
#include "peridotrudder/links/http_server.hpp"
#include "peridotrudder/routing/admission.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace peridotrudder {

/// Turns callers' HTTP requests into calls. Thread-safe.
class caller_api {
public:
    caller_api(request_router& router, entry_metrics& metrics, span_store& spans);

    /// Takes over the contracts in `state`.
    void set_state(const std::shared_ptr<const fleet_state>& state);

    /// Refuses new requests from now on; those under way go on.
    void start_draining() { m_draining = true; }

    /// Returns each customer's requests over the last minutes, as this entry saw them.
    std::map<std::string, availability_counts> availability();

    /// Handles one request of a caller.
    void handle(http_request request, const http_responder& respond);

private:
    /// A contract as the request path needs it.
    struct known_customer {
        contract m_contract;
        customer_limits m_limits;
        std::uint32_t m_pending_limit{0};
    };

    /// Customers by the digest of their API key.
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

/// Returns the response that tells `result` to a caller.
http_response to_response(const std::string& request_id, const outcome& result);

} // namespace peridotrudder
