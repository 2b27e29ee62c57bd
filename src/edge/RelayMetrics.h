#pragma once

#include "crocusmount/Reason.h"
#include "relay/RelayCounters.h"
#include "shell/LatencyHistogram.h"
#include "shell/StoreCalls.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace crocusmount {
class ClientConnections;
}

namespace crocusmount::relay {

/// Retry budget of one service on this instance, see RetryBudget.
struct RetryBudgetGauges {
    std::uint64_t spent = 0; ///< retries since the start of this process
    double tokens = 0; ///< left
    double capacity = 0; ///< in tokens
};

/// Metrics that are not among the reducer's counters, as of the time of their export.
struct RelayGauges {
    std::size_t openCalls = 0; ///< calls without a final answer
    std::size_t waitingCalls = 0; ///< open calls that wait for capacity
    std::size_t connections = 0; ///< callers' connections
    std::uint64_t requestsCutOff = 0; ///< callers' connections that ended inside a request
    std::uint64_t answersUnwritten = 0; ///< final answers that could not be written to the caller as a whole
    std::size_t servers = 0; ///< registered backend servers
    std::uint32_t instances = 0; ///< live instances, this one included
    bool isCutOff = false; ///< this instance reaches no backend server, although others do
    std::size_t cutOffInstances = 0; ///< instances in this state, this one included
    std::size_t directoryAddresses = 0; ///< instances that the directory sends callers to
    std::uint64_t configurationVersion = 0; ///< of the configuration in force; 0: none
    std::int64_t storeAgeMs = 0; ///< time since the store last answered
    StoreCalls storeCalls {};
    std::uint64_t logLinesDropped = 0;
    std::uint64_t peerBytesSent = 0; ///< payload of the datagrams to other instances
    std::uint64_t peerDatagramsReceived = 0;
    std::uint64_t peerDatagramsMalformed = 0;
    std::uint64_t copiesTaken = 0; ///< full copies of the store, received from other instances
    std::uint64_t copiesGiven = 0; ///< full copies of the store, sent to other instances
    std::uint64_t copiesFailed = 0; ///< requests for a full copy without a usable answer
    std::uint64_t unreadableValues = 0; ///< values in the store that could not be parsed
    std::size_t quarantined = 0; ///< requests that are not sent to any server
    std::uint64_t misdirectedPermitRequests = 0; ///< requests for permits that another instance has to answer
    std::map<std::string, std::uint64_t> unknownHeaders; ///< headers of answers that the relay does not know, by name
    std::map<std::string, RetryBudgetGauges> retryBudgets; ///< by service
    std::size_t serversInBackoff = 0; ///< backend servers that want no requests from this instance
    std::size_t limitedServers = 0; ///< backend servers that name a limit
    const ClientConnections* clients = nullptr; ///< null: not exported
    bool fedByPeer = false; ///< another instance forwards the changes of the store to this one
};

/// Latencies that callers observed on this instance.
struct RelayLatencies {
    LatencyHistogram firstEvent; ///< streams: from a call's arrival to the first event
    LatencyHistogram longestGap; ///< streams: longest time between two consecutive events
    LatencyHistogram movedSilence; ///< streams moved off lost stages: from the last event to the order
    LatencyHistogram completed; ///< from a call's arrival to the end of a successful answer
    LatencyHistogram standstill; ///< by how much ticks ran late: this process handled no event for as long
    LatencyHistogram startHold; ///< calls held while too little was known: from arrival to the end of the hold
    LatencyHistogram refused; ///< from a call's arrival to any other end
};

/// @return all metrics in the Prometheus text format
std::string renderMetrics(const RelayCounters&, const RelayGauges&, const RelayLatencies&);

} // namespace crocusmount::relay
