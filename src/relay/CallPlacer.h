#pragma once

#include "relay/Call.h"
#include "relay/PredictedTimes.h"
#include "relay/RelayOptions.h"
#include "relay/ServerFleet.h"

#include <optional>

namespace crocusmount::relay {

/// The server or chain that runs an attempt.
struct Placement {
    BackendId server; ///< first stage of the chain, or the only server
    std::string address; ///< of that server, "ip:port"
    Chain chain; ///< empty for a plain service
    std::optional<PredictedTimes> predicted {}; ///< absent without a model of the engines
};

class StageTimes;

/// Chooses backend servers for attempts by registered capacity, the load of all instances and recent failures.
class CallPlacer {
public:
    CallPlacer(const RelayOptions&, const ServerFleet&);

    void setInstances(std::uint32_t instances) { m_instances = instances; }
    /// @return number of instances that share the backend servers, including this one
    std::uint32_t instances() const { return m_instances; }

    /// Chooses where to run the next attempt of a call.
    /// @param entropy  uniformly random, varies the choice between servers of similar cost
    /// @return the cheapest server or chain with free capacity, or nothing if there is none
    std::optional<Placement> place(const Call&, TimePoint now, std::uint64_t entropy) const;
    /// Finds another chain for a running attempt.
    /// @param excluded  servers that the chain must not contain
    /// @param entropy   uniformly random, varies the choice between engines of similar cost
    /// @return the cheapest chain that begins with the attempt's first stage, or nothing if there is none or if it
    ///         contains an excluded server
    std::optional<Chain> reroute(const Call&, const Attempt&, const std::vector<BackendId>& excluded, TimePoint now,
        std::uint64_t entropy) const;

private:
    std::optional<Chain> findChain(
        const Call&, const EngineModel&, const Attempt* running, TimePoint now, std::uint64_t entropy) const;
    /// Finds a chain for a new attempt by predicted times.
    std::optional<Placement> findByTimes(
        const Call&, const EngineModel&, const EngineTimes&, TimePoint now, std::uint64_t entropy) const;
    std::optional<Placement> findServer(const Call&, TimePoint now, std::uint64_t entropy) const;
    EngineLoad estimatedLoad(const FleetServer&, TimePoint now) const;
    double entryPriceMs(const FleetServer&, const StageTimes&, double calls, double rejectionMs, TimePoint now) const;
    double firstStagePenaltyMs(const FleetServer&, double calls, TimePoint now) const;
    double penaltyMs(const Call&, const FleetServer&, TimePoint now) const;

    const RelayOptions& m_options;
    const ServerFleet& m_fleet;
    std::uint32_t m_instances = 1;
};

} // namespace crocusmount::relay
