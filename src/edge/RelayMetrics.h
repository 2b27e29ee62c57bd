#pragma once

#include "crocusmount/Reason.h"
#include "relay/RelayCounters.h"
#include "shell/LatencyHistogram.h"
#include "shell/StoreCalls.h"

#include <array>
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
    StoreCalls storeCalls {};
    std::uint64_t logLinesDropped = 0;
    std::uint64_t peerBytesSent = 0; ///< in datagrams to other instances, without their headers
    std::uint64_t peerDatagramsReceived = 0;
    std::uint64_t peerDatagramsMalformed = 0;
    std::uint64_t copiesTaken = 0; ///< whole copies of the store, from other instances
    std::uint64_t copiesGiven = 0; ///< likewise, to other instances
    std::uint64_t copiesFailed = 0; ///< questions for one without a usable answer
    std::uint64_t unreadableValues = 0; ///< of the store
    std::size_t quarantined = 0; ///< requests that are sent to no server
    bool fedByPeer = false; ///< another instance passes the store's changes on
};

/// Spans of time that callers saw on this instance.
struct RelayLatencies {
    LatencyHistogram firstEvent; ///< of streams, from arrival
    LatencyHistogram longestGap; ///< of each stream
    LatencyHistogram completed; ///< from arrival to the end of a success
    LatencyHistogram refused; ///< from arrival to a final answer of this instance's own
};

/// @return all figures in the Prometheus text format
std::string renderMetrics(const RelayCounters&, const RelayGauges&, const RelayLatencies&);

} // namespace crocusmount::relay
