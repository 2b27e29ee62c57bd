#pragma once

#include "crocusmount/Ids.h"
#include "relay/PromisedReturn.h"

#include <cstdint>
#include <map>
#include <vector>

namespace crocusmount::relay {

/// The load that the running calls of one or more instances put on one engine.
struct EngineLoad {
    std::uint64_t engine = 0; ///< key of one start of the engine, see engineKey
    double tokenLayers = 0; ///< KV cache in use, in tokens times layers, as estimated by the instances
    double calls = 0; ///< calls that enter the model's chain at this engine; each takes one of the engine's slots
    double avoiders = 0; ///< instances that send no new work there because the engine failed, stalled or was full
    double contacts = 0; ///< instances whose new connections it answered lately

    bool operator==(const EngineLoad&) const = default;
};

using EngineLoads = std::map<std::uint64_t, EngineLoad>; ///< by engine

/// The instances whose calls a report includes.
enum class LoadScope {
    Instance, ///< only the sender
    DataCentre, ///< all instances in the sender's data centre
    Fleet, ///< all instances
};

/// A message from one instance to another about the load on engines.
struct LoadReport {
    InstanceId sender; ///< each start of an instance has a new id
    DataCentreId dataCentre; ///< the sender's data centre
    std::uint64_t sequence = 0; ///< increases with each round of the sender
    LoadScope scope = LoadScope::Instance;
    std::uint32_t instances = 1; ///< number of instances whose calls are included; silent ones are missing
    std::vector<EngineLoad> engines;
    std::vector<std::uint64_t> silentInstances; ///< keys of listed instances that stopped reporting, see instanceKey
    std::uint32_t slice = 0; ///< index of the slice of engines that the report covers, by hash of the engine's key
    std::uint32_t slices = 1; ///< number of slices, sent in rotation
    /// Keys of instances that reach no backend server, although others do; in the report of an instance, its own key.
    std::vector<std::uint64_t> cutOffInstances {};
    /// Calls whose refused callers were given a time to return at, see ReturnAnnouncements.
    std::vector<PromisedReturn> promisedReturns {};
};

/// @return a key for one start of an instance in reports; every process computes an equal key
std::uint64_t instanceKey(const InstanceId&);

/// @return a key for one start of an engine or other backend server; every process computes an equal key
std::uint64_t engineKey(const BackendId&, StartTime = {});

} // namespace crocusmount::relay
