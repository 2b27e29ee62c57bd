#include "shell/MetricFamilies.h"

#include "shell/LatencyHistogram.h"

#include <prometheus/text_serializer.h>

namespace crocusmount {

prometheus::MetricFamily& MetricFamilies::family(const char* name, const char* help, prometheus::MetricType type)
{
    if (m_families.empty() || m_families.back().name != name)
        m_families.push_back({ name, help, type, {} });
    return m_families.back();
}

void MetricFamilies::addCounter(const char* name, const char* help, double value, const Labels& labels)
{
    prometheus::ClientMetric metric;
    for (const auto& [label, text] : labels)
        metric.label.push_back({ label, text });
    metric.counter.value = value;
    family(name, help, prometheus::MetricType::Counter).metric.push_back(std::move(metric));
}

void MetricFamilies::addGauge(const char* name, const char* help, double value, const Labels& labels)
{
    prometheus::ClientMetric metric;
    for (const auto& [label, text] : labels)
        metric.label.push_back({ label, text });
    metric.gauge.value = value;
    family(name, help, prometheus::MetricType::Gauge).metric.push_back(std::move(metric));
}

void MetricFamilies::addByReason(
    const char* name, const char* help, const std::array<std::uint64_t, ReasonCount>& counts)
{
    for (std::size_t reason = 0; reason < ReasonCount; ++reason) {
        prometheus::ClientMetric metric;
        metric.label.push_back({ "reason", toString(static_cast<Reason>(reason)) });
        metric.counter.value = static_cast<double>(counts.at(reason));
        family(name, help, prometheus::MetricType::Counter).metric.push_back(std::move(metric));
    }
}

void MetricFamilies::addHistogram(
    const char* name, const char* help, const LatencyHistogram& latency, const Labels& labels)
{
    prometheus::ClientMetric metric;
    for (const auto& [label, value] : labels)
        metric.label.push_back({ label, value });
    double cumulative = latency.count(-1);
    for (int bin = 0; bin < static_cast<int>(LatencyHistogram::BinCount); ++bin) {
        cumulative += latency.count(bin);
        prometheus::ClientMetric::Bucket bucket;
        bucket.cumulative_count = static_cast<std::uint64_t>(cumulative);
        bucket.upper_bound = latency.upperBound(bin);
        metric.histogram.bucket.push_back(bucket);
    }
    cumulative += latency.count(static_cast<int>(LatencyHistogram::BinCount));
    metric.histogram.sample_count = static_cast<std::uint64_t>(cumulative);
    metric.histogram.sample_sum = latency.sum();
    family(name, help, prometheus::MetricType::Histogram).metric.push_back(std::move(metric));
}

std::string MetricFamilies::serialize() const { return prometheus::TextSerializer().Serialize(m_families); }

} // namespace crocusmount
