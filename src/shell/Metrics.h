#pragma once

#include "crocusmount/Counters.h"

#include <chrono>
#include <memory>
#include <string>

namespace crocusmount {

class ClientConnections;

/// Records the latencies that the shell observes and renders all metrics of a daemon.
class Metrics {
public:
    Metrics();
    ~Metrics();

    /// @param span  from the arrival of a request to its first token
    void observeFirstToken(std::chrono::microseconds span);
    /// @param span  between two tokens of one answer
    void observeTokenGap(std::chrono::microseconds span);
    /// @param span  from the arrival of a request to its final answer
    void observeRequest(std::chrono::microseconds span);

    /// Values sampled when the metrics are rendered.
    struct Gauges {
        std::size_t openRequests = 0;
        std::size_t connections = 0; ///< of callers and operators
        const ClientConnections* clients = nullptr; ///< null: not exported
        std::size_t membersAlive = 0; ///< instances, this one included
        std::size_t backendsReachable = 0;
        std::int64_t configurationRevision = 0;
        std::uint64_t peerBytesSent = 0; ///< total since the start
        std::uint64_t peerBytesReceived = 0; ///< total since the start
        std::uint64_t storeCalls = 0; ///< total since the start
        std::uint64_t events = 0; ///< total of events that the reducer handled
    };

    /// @return all metrics in the Prometheus text format
    std::string render(const Counters&, const Gauges&) const;

private:
    struct Histograms;
    std::unique_ptr<Histograms> m_histograms;
};

} // namespace crocusmount
