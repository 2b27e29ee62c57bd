#pragma once

#include "crocusmount/Time.h"
#include "relay/ServiceConfiguration.h"

#include <map>
#include <optional>

namespace crocusmount::relay {

/// Learns how long the calls of each route take, from their arrival to the end of a complete answer.
///
/// Keeps a moving mean and a moving mean deviation, as TCP does for round trips.
class RunTimes {
public:
    /// Notes a completed call.
    void record(const RouteId&, Duration);
    /// Forgets the routes that a configuration lacks.
    void forgetOthersThan(const std::vector<Route>&);

    /// @return the time that calls of a route take on average, or nothing if none has completed
    std::optional<Duration> mean(const RouteId&) const;
    /// @return a time that few calls of a route exceed, or nothing if none has completed
    std::optional<Duration> upperBound(const RouteId&) const;

private:
    struct Estimate {
        Duration mean {};
        Duration deviation {};
    };
    std::map<RouteId, Estimate> m_estimates;
};

} // namespace crocusmount::relay
