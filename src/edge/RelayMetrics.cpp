#include "edge/RelayMetrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace crocusmount::relay {

namespace {

    using Families = std::vector<prometheus::MetricFamily>;

    void add(Families& families, const char* name, const char* help, prometheus::MetricType type, double value)
    {
        prometheus::ClientMetric metric;
        if (type == prometheus::MetricType::Counter)
            metric.counter.value = value;
        else
            metric.gauge.value = value;
        families.push_back({ name, help, type, { std::move(metric) } });
    }

    void addByReason(
        Families& families, const char* name, const char* help, const std::array<std::uint64_t, ReasonCount>& counts)
    {
        prometheus::MetricFamily family { name, help, prometheus::MetricType::Counter, {} };
        for (std::size_t reason = 0; reason < ReasonCount; ++reason) {
            if (!counts.at(reason))
                continue;
            prometheus::ClientMetric metric;
            metric.label = { { "reason", toString(static_cast<Reason>(reason)) } };
            metric.counter.value = static_cast<double>(counts.at(reason));
            family.metric.push_back(std::move(metric));
        }
        families.push_back(std::move(family));
    }

} // namespace

std::string renderMetrics(const RelayCounters& counters, const RelayGauges& gauges)
{
    constexpr auto counter = prometheus::MetricType::Counter;
    constexpr auto gauge = prometheus::MetricType::Gauge;
    Families families;
    add(families, "crocusmount_calls_total", "Calls read", counter, double(counters.calls));
    add(families, "crocusmount_calls_completed_total", "Calls answered with a success", counter,
        double(counters.completed));
    add(families, "crocusmount_attempts_total", "Attempts at backend servers", counter, double(counters.attempts));
    add(families, "crocusmount_streams_resumed_total", "Streams that went on elsewhere", counter,
        double(counters.resumed));
    add(families, "crocusmount_streams_rerouted_total", "Running streams ordered onto another chain", counter,
        double(counters.rerouted));
    add(families, "crocusmount_reroutes_refused_total", "Such orders that no engine took", counter,
        double(counters.reroutesRefused));
    add(families, "crocusmount_callers_left_total", "Callers gone before the answer", counter,
        double(counters.callersLeft));
    addByReason(families, "crocusmount_refused_total", "Final answers of this instance's own", counters.refused);
    addByReason(
        families, "crocusmount_retried_total", "Further attempts, by the reason of the one before", counters.retried);
    add(families, "crocusmount_open_calls", "Calls without a final answer", gauge, double(gauges.openCalls));
    add(families, "crocusmount_waiting_calls", "Calls that wait for room", gauge, double(gauges.waitingCalls));
    add(families, "crocusmount_connections", "Callers' connections", gauge, double(gauges.connections));
    add(families, "crocusmount_backend_servers", "Registered backend servers", gauge, double(gauges.servers));
    add(families, "crocusmount_instances", "Live instances", gauge, gauges.instances);
    add(families, "crocusmount_configuration_version", "In force", gauge, double(gauges.configurationVersion));
    add(families, "crocusmount_store_age_ms", "Since the store last answered", gauge, double(gauges.storeAgeMs));
    add(families, "crocusmount_store_calls_total", "Calls to the store", counter, double(gauges.storeCalls));
    add(families, "crocusmount_log_lines_dropped_total", "Log lines left out", counter, double(gauges.logLinesDropped));
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace crocusmount::relay
