#pragma once

#include "crocusmount/Reason.h"

#include <cstdint>
#include <prometheus/metric_family.h>
#include <string>
#include <utility>
#include <vector>

namespace crocusmount {

class LatencyHistogram;

/// Collects metrics and serializes them in the Prometheus text format. Metrics of one name must be added one after the
/// other, because each name forms one family.
class MetricFamilies {
public:
    /// Names and values of labels.
    using Labels = std::vector<std::pair<std::string, std::string>>;

    void addCounter(const char* name, const char* help, double value, const Labels& = {});
    void addGauge(const char* name, const char* help, double value, const Labels& = {});
    /// Adds a counter with the label "reason" for each reason, also for a count of zero.
    void addByReason(const char* name, const char* help, const std::array<std::uint64_t, ReasonCount>&);
    void addHistogram(const char* name, const char* help, const LatencyHistogram&, const Labels& = {});

    /// @return all added metrics in the Prometheus text format
    std::string serialize() const;

private:
    /// @return the last family if it has this name, otherwise a new one
    prometheus::MetricFamily& family(const char* name, const char* help, prometheus::MetricType);

    std::vector<prometheus::MetricFamily> m_families;
};

} // namespace crocusmount
