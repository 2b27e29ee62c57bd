#pragma once

#include "relay/RelayCounters.h"

#include <cstdint>
#include <string>

namespace crocusmount::relay {

/// Figures beside the reducer's counters.
struct RelayGauges {
    std::size_t openCalls = 0;
    std::size_t waitingCalls = 0;
    std::size_t connections = 0;
    std::size_t servers = 0;
    std::uint32_t instances = 0;
    std::uint64_t configurationVersion = 0;
    std::int64_t storeAgeMs = 0;
    std::uint64_t storeCalls = 0;
    std::uint64_t logLinesDropped = 0;
};

/// @return counters and gauges in the Prometheus text format
std::string renderMetrics(const RelayCounters&, const RelayGauges&);

} // namespace crocusmount::relay
