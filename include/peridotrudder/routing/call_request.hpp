#pragma once

/// @file
/// A customer's request as entries forward it to each other.

#include "peridotrudder/contracts/limits.hpp"

#include <string>

namespace peridotrudder {

/// One request of a customer. Does not say which entry handles it, or when.
struct call_request {
    std::string m_request_id;
    std::string m_customer;
    std::string m_pool;
    std::string m_method;
    /// Path and query that are sent upstream.
    std::string m_path;
    std::string m_content_type;
    std::string m_body;
    /// Empty if the caller sent none.
    std::string m_idempotency_key;
    work_class m_class{work_class::normal};
    milliseconds m_declared_run_time{0};
    /// Limits under which the request was admitted.
    customer_limits m_limits;

    bool is_keyed() const { return !m_idempotency_key.empty(); }

    /// Returns whether RFC 9110 defines the method as idempotent.
    bool is_idempotent() const;

    /// Returns whether the request may run at most once for its idempotency key.
    bool must_run_at_most_once() const { return is_keyed() && !is_idempotent(); }

    /// Returns "customer/key", which identifies the key's record. Unambiguous, since a customer's
    /// name has no slash.
    std::string record_key() const { return m_customer + "/" + m_idempotency_key; }

    /// Returns the route by which `run_time_estimator` groups requests: customer, method, pool and
    /// path without the query.
    std::string route() const;

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("request_id", self.m_request_id);
        archive.field("customer", self.m_customer);
        archive.field("pool", self.m_pool);
        archive.field("method", self.m_method);
        archive.field("path", self.m_path);
        archive.field("content_type", self.m_content_type);
        archive.field("body", self.m_body);
        archive.field("idempotency_key", self.m_idempotency_key);
        archive.field("class", self.m_class);
        archive.field("declared_run_time_ms", self.m_declared_run_time);
        archive.field("limits", self.m_limits);
    }
};

} // namespace peridotrudder
