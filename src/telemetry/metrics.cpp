#include "peridotrudder/telemetry/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace peridotrudder {

class entry_metrics::implementation {
public:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_answers =
        prometheus::BuildCounter()
            .Name("peridot_answers_total")
            .Help("Answers to callers, by customer, fate and reason")
            .Register(m_registry);
    prometheus::Family<prometheus::Counter>& m_retries =
        prometheus::BuildCounter()
            .Name("peridot_retries_total")
            .Help("Requests sent upstream again, by customer")
            .Register(m_registry);
    prometheus::Family<prometheus::Histogram>& m_waits =
        prometheus::BuildHistogram()
            .Name("peridot_wait_seconds")
            .Help("Time that requests waited for a slot, by class")
            .Register(m_registry);
    prometheus::Family<prometheus::Gauge>& m_gauges = prometheus::BuildGauge()
                                                          .Name("peridot_gauge")
                                                          .Help("States of the entry, by name")
                                                          .Register(m_registry);
};

entry_metrics::entry_metrics() : m_implementation{std::make_unique<implementation>()} {}

entry_metrics::~entry_metrics() = default;

void entry_metrics::answered(std::string_view customer, const outcome& result)
{
    m_implementation->m_answers
        .Add({{"customer", std::string{customer}},
              {"fate", std::string{to_string(result.m_execution_status)}},
              {"reason", std::string{to_string(result.m_refusal)}}})
        .Increment();
}

void entry_metrics::waited(work_class priority, std::chrono::steady_clock::duration wait)
{
    static const prometheus::Histogram::BucketBoundaries bounds{
        0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.7, 5.0, 15.0, 60.0};
    m_implementation->m_waits.Add({{"class", std::string{to_string(priority)}}}, bounds)
        .Observe(std::chrono::duration<double>(wait).count());
}

void entry_metrics::retried(std::string_view customer)
{
    m_implementation->m_retries.Add({{"customer", std::string{customer}}}).Increment();
}

void entry_metrics::set_gauge(const std::string& name, double value)
{
    m_implementation->m_gauges.Add({{"name", name}}).Set(value);
}

std::string entry_metrics::expose() const
{
    return prometheus::TextSerializer{}.Serialize(m_implementation->m_registry.Collect());
}

} // namespace peridotrudder
