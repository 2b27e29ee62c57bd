#pragma once

#include "crocusmount/Ids.h"

#include <cstdint>
#include <map>
#include <vector>

namespace crocusmount::relay {

/// What calls hold on one engine.
struct EngineLoad {
    std::uint64_t engine = 0; ///< key of one start of it, see engineKey
    double tokenLayers = 0; ///< tokens times layers, estimated by the instances that sent the calls there
    double calls = 0; ///< that entered there: each takes one of its slots
    double avoiders = 0; ///< instances that send it no new work, because it failed, stalled or turned all away

    bool operator==(const EngineLoad&) const = default;
};

using EngineLoads = std::map<std::uint64_t, EngineLoad>; ///< by engine

/// Whose calls a report counts.
enum class LoadScope {
    Instance, ///< the sender's
    DataCentre, ///< those of all instances in the sender's data centre
    Fleet, ///< those of all instances
};

/// What one instance tells another of the load on engines.
struct LoadReport {
    InstanceId sender; ///< new with each start
    DataCentreId dataCentre; ///< of the sender
    std::uint64_t sequence = 0; ///< grows with each report of one sender
    LoadScope scope = LoadScope::Instance;
    std::uint32_t instances = 1; ///< whose calls are counted: fewer than all where some cannot be heard
    std::vector<EngineLoad> engines;
    std::vector<std::uint64_t> silentInstances; ///< listed but not heard in their data centre, see instanceKey
    std::uint32_t slice = 0; ///< index of the slice of engines that the report covers, by key hash
    std::uint32_t slices = 1; ///< number of slices, sent in rotation
};

/// @return a short name for one start of an instance in reports, the same in every process
std::uint64_t instanceKey(const InstanceId&);

/// @return a short name for one start of an engine in reports, the same in every process
std::uint64_t engineKey(const BackendId&, StartTime = {});

} // namespace crocusmount::relay
