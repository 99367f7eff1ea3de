#pragma once

/// @file
/// Prometheus metrics of a scheduler node.

#include "peridotrudder/base/clock.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace peridotrudder {

/// One value of a tenant.
struct tenant_gauge {
    std::string m_tenant;
    std::string m_name;
    double m_value{0.0};
};

/// How many workers of a pool have a grade.
struct grade_gauge {
    std::string m_pool;
    std::string m_grade;
    double m_workers{0.0};
};

/// Counts what a node does. Thread-safe.
class node_metrics {
public:
    node_metrics();
    node_metrics(const node_metrics&) = delete;
    node_metrics& operator=(const node_metrics&) = delete;
    node_metrics(node_metrics&&) = delete;
    node_metrics& operator=(node_metrics&&) = delete;
    ~node_metrics();

    /// Counts an answer to a caller, with the time from the request.
    void answered(std::string_view kind, std::string_view status, milliseconds latency);
    /// Counts a decision by the event name of its log line.
    void decided(std::string_view event);
    /// Counts a decision about a job of a tenant, by the kind of the job and the event name.
    /// Tenants that are not named are counted together.
    void decided_for(std::string_view tenant, std::string_view kind, std::string_view event);
    /// Sets the tenants that are counted by name. What was counted for others by name is added to
    /// the common counters, so that sums never decrease.
    void name_tenants(std::set<std::string, std::less<>> tenants);
    /// Records the time from a claim until the new owner served.
    void took_over(milliseconds time);
    /// Records a duration by the name of the decision or exchange that ended it.
    void measured(std::string_view name, milliseconds time);
    /// Sets a gauge, such as "owned_epoch" or "waiting_calls".
    void set_gauge(const std::string& name, double value);
    /// Replaces the gauges of all tenants.
    void set_tenant_gauges(const std::vector<tenant_gauge>& gauges);
    /// Replaces the gauges of all grades.
    void set_grade_gauges(const std::vector<grade_gauge>& gauges);

    /// Returns all metrics in Prometheus' text format.
    std::string expose() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace peridotrudder
