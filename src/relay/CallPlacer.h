#pragma once

#include "relay/Call.h"
#include "relay/RelayOptions.h"
#include "relay/ServerFleet.h"

#include <optional>

namespace crocusmount::relay {

/// Where an attempt is to run.
struct Placement {
    BackendId server;
    std::string address;
    Chain chain; ///< empty for a plain service
};

/// Chooses backend servers for attempts, from what is registered and what this instance has in flight there.
class CallPlacer {
public:
    CallPlacer(const RelayOptions&, const ServerFleet&);

    void setInstances(std::uint32_t instances) { m_instances = instances; }
    /// @return instances that share the backend servers, this one included
    std::uint32_t instances() const { return m_instances; }

    /// @param entropy  uniform; spreads choices of equal cost
    /// @return the cheapest server or chain with room, or nothing
    std::optional<Placement> place(const Call&, TimePoint now, std::uint64_t entropy) const;
    /// @return a chain that begins with the attempt's first stage and leaves out some servers, or nothing
    std::optional<Chain> reroute(
        const Call&, const Attempt&, const std::vector<BackendId>& away, TimePoint now, std::uint64_t entropy) const;

private:
    std::optional<Chain> findChain(
        const Call&, const EngineModel&, const Attempt* running, TimePoint now, std::uint64_t entropy) const;
    std::optional<Placement> findServer(const Call&, TimePoint now, std::uint64_t entropy) const;
    EngineLoad loadOn(const FleetServer&, TimePoint now) const;
    double penaltyMs(const Call&, const FleetServer&, TimePoint now) const;

    const RelayOptions& m_options;
    const ServerFleet& m_fleet;
    std::uint32_t m_instances = 1;
};

} // namespace crocusmount::relay
