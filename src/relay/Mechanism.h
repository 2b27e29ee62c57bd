#pragma once

#include <absl/status/statusor.h>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crocusmount::relay {

/// A part of the relay's decisions that can be disabled separately to measure its effect (tools/rounds --without).
enum class Mechanism {
    EngineChecks, ///< health checks of engines
    ClosedEngines, ///< no new calls to engines that reject calls despite free capacity
    DeadReports, ///< reports of dead engines to the other instances
    SlownessPrice, ///< higher cost of engines that report to be slow
    EarlyReplacement, ///< placement of a dead engine's layers on other engines before the registry drops it
    HolderWeights, ///< weight by speed of the engines that hold a layer when layers are placed
    Moves, ///< moves of engines to layers that too few engines hold
    EntryPrice, ///< higher cost of first stages whose slots are in use
    LoadExchange, ///< costs by the load of all instances
    OthersAvoidance, ///< avoidance of servers that many other instances avoid
    StreamLimit, ///< adaptive limit of concurrent streams
    ComeBackTime, ///< retry times for callers that depend on how long a shortage has lasted
    SecondAttempts, ///< a second attempt while the first one is stalled
    Reroutes, ///< orders to continue running streams over another chain
    StallQuestions, ///< queries to the first stage for the stage where a stream is stalled
    Quarantine, ///< quarantine of requests that crash servers
    PromptParts, ///< quarantine of parts of prompts, not only of whole requests
    PathDetection, ///< detection that this instance is cut off from all servers
    StoreFeed, ///< updates of the local store copy from another instance
    StartAdmission, ///< admission of calls by what an instance knows after its start or an outage of the store
    GroupLosses, ///< search for engines that were lost together, and reroutes that avoid them
};

/// The set of disabled mechanisms, from the settings or the command line.
class DisabledMechanisms {
public:
    /// @param names  comma-separated names as returned by mechanismNames()
    /// @return the set, or InvalidArgument with the first unknown name
    static absl::StatusOr<DisabledMechanisms> make(std::string_view names);

    /// @return the mechanisms that either set disables
    DisabledMechanisms mergedWith(const DisabledMechanisms& other) const;

    /// @return whether a mechanism is disabled
    bool has(Mechanism mechanism) const { return m_disabled.count(mechanism) != 0; }
    bool operator==(const DisabledMechanisms&) const = default;

private:
    std::set<Mechanism> m_disabled;
};

/// @return the names of all mechanisms in order of declaration
std::vector<std::string> mechanismNames();

} // namespace crocusmount::relay
