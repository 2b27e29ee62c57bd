#pragma once

#include "crocusmount/Reason.h"

#include <cstdint>
#include <prometheus/metric_family.h>
#include <string>
#include <utility>
#include <vector>

namespace crocusmount {

class LatencyHistogram;

/// Collects figures and writes them in the Prometheus text format.
class MetricFamilies {
public:
    using Labels = std::vector<std::pair<std::string, std::string>>;

    void addCounter(const char* name, const char* help, double value, const Labels& = {});
    void addGauge(const char* name, const char* help, double value);
    /// One counter for each reason, those at zero included.
    void addByReason(const char* name, const char* help, const std::array<std::uint64_t, ReasonCount>&);
    /// Histograms of one name come one after the other.
    void addHistogram(const char* name, const char* help, const LatencyHistogram&, const Labels& = {});

    std::string serialize() const;

private:
    prometheus::MetricFamily& family(const char* name, const char* help, prometheus::MetricType);

    std::vector<prometheus::MetricFamily> m_families;
};

} // namespace crocusmount
