#pragma once

/// @file
/// Prometheus metrics of an entry. Only this module and `node_metrics` depend on prometheus-cpp.

#include "peridotrudder/contracts/contract.hpp"
#include "peridotrudder/requests/outcome.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace peridotrudder {

/// Counts what an entry does. Thread-safe.
class entry_metrics {
public:
    entry_metrics();
    entry_metrics(const entry_metrics&) = delete;
    entry_metrics& operator=(const entry_metrics&) = delete;
    entry_metrics(entry_metrics&&) = delete;
    entry_metrics& operator=(entry_metrics&&) = delete;
    ~entry_metrics();

    /// Counts an answer to a caller.
    void answered(std::string_view customer, const outcome& result);

    /// Records the time that a request waited for a slot.
    void waited(work_class priority, std::chrono::steady_clock::duration wait);

    /// Counts a request that was sent upstream again.
    void retried(std::string_view customer);

    /// Sets a gauge, such as "log_next_offset" or "peer_sent_bytes".
    void set_gauge(const std::string& name, double value);

    /// Returns all metrics in Prometheus' text format.
    std::string expose() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace peridotrudder
