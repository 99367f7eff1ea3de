#include "peridotrudder/telemetry/node_metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <tuple>

namespace peridotrudder {

namespace {

/// In seconds.
const prometheus::Histogram::BucketBoundaries latency_bounds{0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
                                                             0.5,   1.0,  1.7,  3.0,  6.0, 12.0};

double to_seconds(milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

class node_metrics::implementation {
public:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_answers =
        prometheus::BuildCounter()
            .Name("peridot_job_calls_total")
            .Help("Answers to callers, by kind of call and status")
            .Register(m_registry);
    prometheus::Family<prometheus::Histogram>& m_latencies =
        prometheus::BuildHistogram()
            .Name("peridot_job_call_seconds")
            .Help("Time from a caller's request to its answer, by kind of call")
            .Register(m_registry);
    prometheus::Family<prometheus::Counter>& m_decisions =
        prometheus::BuildCounter()
            .Name("peridot_decisions_total")
            .Help("Decisions, by the name of their log line")
            .Register(m_registry);
    /// Tenant, kind and event.
    using tenant_key = std::tuple<std::string, std::string, std::string>;
    /// Guards the members about tenants.
    std::mutex m_tenants_mutex;
    std::set<std::string, std::less<>> m_named_tenants;
    std::map<tenant_key, prometheus::Counter*> m_tenant_counters;
    prometheus::Family<prometheus::Counter>& m_tenant_decisions =
        prometheus::BuildCounter()
            .Name("peridot_tenant_jobs_total")
            .Help("Decisions about jobs of a tenant, by kind; an empty tenant stands for all that "
                  "are not named")
            .Register(m_registry);
    prometheus::Family<prometheus::Histogram>& m_take_overs =
        prometheus::BuildHistogram()
            .Name("peridot_take_over_seconds")
            .Help("Time from a claim until its owner served")
            .Register(m_registry);
    prometheus::Family<prometheus::Histogram>& m_durations =
        prometheus::BuildHistogram()
            .Name("peridot_duration_seconds")
            .Help("Time until a job began or ended, an append or a start was answered")
            .Register(m_registry);
    /// Found by name at each measurement, which comes with every start.
    std::map<std::string, prometheus::Histogram*, std::less<>> m_duration_by_name;
    prometheus::Family<prometheus::Gauge>& m_gauges = prometheus::BuildGauge()
                                                          .Name("peridot_node")
                                                          .Help("States of the node, by name")
                                                          .Register(m_registry);
    prometheus::Family<prometheus::Gauge>& m_tenants =
        prometheus::BuildGauge()
            .Name("peridot_tenant")
            .Help("Usage, quota and waiting jobs, by tenant and name")
            .Register(m_registry);
    /// Those of the last call; guarded by `m_tenants_mutex`.
    std::set<prometheus::Gauge*> m_tenant_gauges;

    prometheus::Family<prometheus::Gauge>& m_graded_workers =
        prometheus::BuildGauge()
            .Name("peridot_graded_workers")
            .Help("Workers by pool and grade, with the owner that grades them")
            .Register(m_registry);
    /// Those of the last call; guarded by `m_tenants_mutex`.
    std::set<prometheus::Gauge*> m_grade_gauges;

    void count_for_tenant(const tenant_key& key, double amount)
    {
        auto& counter = m_tenant_counters[key];
        if (counter == nullptr) {
            const auto& [tenant, kind, event] = key;
            counter =
                &m_tenant_decisions.Add({{"tenant", tenant}, {"kind", kind}, {"event", event}});
        }
        counter->Increment(amount);
    }
};

node_metrics::node_metrics() : m_implementation{std::make_unique<implementation>()} {}

node_metrics::~node_metrics() = default;

void node_metrics::answered(std::string_view kind, std::string_view status, milliseconds latency)
{
    m_implementation->m_answers.Add({{"kind", std::string{kind}}, {"status", std::string{status}}})
        .Increment();
    m_implementation->m_latencies.Add({{"kind", std::string{kind}}}, latency_bounds)
        .Observe(to_seconds(latency));
}

void node_metrics::decided(std::string_view event)
{
    m_implementation->m_decisions.Add({{"event", std::string{event}}}).Increment();
}

void node_metrics::decided_for(std::string_view tenant, std::string_view kind,
                               std::string_view event)
{
    const std::lock_guard lock{m_implementation->m_tenants_mutex};
    const bool named = m_implementation->m_named_tenants.count(tenant) != 0;
    m_implementation->count_for_tenant(
        {std::string{named ? tenant : ""}, std::string{kind}, std::string{event}}, 1.0);
}

void node_metrics::name_tenants(std::set<std::string, std::less<>> tenants)
{
    const std::lock_guard lock{m_implementation->m_tenants_mutex};
    auto& counters = m_implementation->m_tenant_counters;
    // The empty name stands for the others.
    tenants.erase("");
    for (const auto& name : m_implementation->m_named_tenants) {
        auto first = counters.lower_bound({name, "", ""});
        while (tenants.count(name) == 0 && first != counters.end() &&
               std::get<0>(first->first) == name) {
            const auto [key, counter] = *first;
            first = counters.erase(first);
            m_implementation->count_for_tenant({"", std::get<1>(key), std::get<2>(key)},
                                               counter->Value());
            m_implementation->m_tenant_decisions.Remove(counter);
        }
    }
    m_implementation->m_named_tenants = std::move(tenants);
}

void node_metrics::took_over(milliseconds time)
{
    m_implementation->m_take_overs.Add({}, latency_bounds).Observe(to_seconds(time));
}

void node_metrics::measured(std::string_view name, milliseconds time)
{
    auto& known = m_implementation->m_duration_by_name;
    auto position = known.find(name);
    if (position == known.end()) {
        auto& histogram =
            m_implementation->m_durations.Add({{"of", std::string{name}}}, latency_bounds);
        position = known.emplace(name, &histogram).first;
    }
    position->second->Observe(to_seconds(time));
}

void node_metrics::set_gauge(const std::string& name, double value)
{
    m_implementation->m_gauges.Add({{"name", name}}).Set(value);
}

void node_metrics::set_tenant_gauges(const std::vector<tenant_gauge>& gauges)
{
    const std::lock_guard lock{m_implementation->m_tenants_mutex};
    auto& known = m_implementation->m_tenant_gauges;
    for (auto* gauge : known) {
        m_implementation->m_tenants.Remove(gauge);
    }
    known.clear();
    for (const auto& gauge : gauges) {
        auto& added =
            m_implementation->m_tenants.Add({{"tenant", gauge.m_tenant}, {"name", gauge.m_name}});
        added.Set(gauge.m_value);
        known.insert(&added);
    }
}

void node_metrics::set_grade_gauges(const std::vector<grade_gauge>& gauges)
{
    const std::lock_guard lock{m_implementation->m_tenants_mutex};
    auto& known = m_implementation->m_grade_gauges;
    for (auto* gauge : known) {
        m_implementation->m_graded_workers.Remove(gauge);
    }
    known.clear();
    for (const auto& gauge : gauges) {
        auto& added = m_implementation->m_graded_workers.Add(
            {{"pool", gauge.m_pool}, {"grade", gauge.m_grade}});
        added.Set(gauge.m_workers);
        known.insert(&added);
    }
}

std::string node_metrics::expose() const
{
    return prometheus::TextSerializer{}.Serialize(m_implementation->m_registry.Collect());
}

} // namespace peridotrudder
