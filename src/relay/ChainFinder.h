#pragma once

#include "crocusmount/Chain.h"

#include <optional>
#include <vector>

namespace crocusmount::relay {

/// An engine that a chain may use. A stage may run any contiguous part of the layers that its engine holds.
struct ChainCandidate {
    BackendId backend;
    std::string address; ///< "ip:port"
    LayerRange layers; ///< held by the engine
    std::uint32_t dataCentre = 0; ///< index of the data centre; small, because it sizes a table
    double msPerLayer = 0; ///< time of one event in one layer, including load and slowness
    double penaltyMs = 0; ///< added once if the chain uses this engine
    double entryPenaltyMs = 0; ///< added once if this engine is the first stage; infinite if it must not be
};

/// Costs of passing events between stages, as added time per event.
struct ChainCosts {
    double hopMs = 2; ///< per stage
    double crossingMs = 40; ///< per crossing between data centres, where prompts share one link
    double entryCrossingMs = 3; ///< if the first stage is in another data centre than this instance
};

/// Finds the cheapest chain of engines, whose layer ranges may overlap.
class ChainFinder {
public:
    /// @param layerCount       number of layers of the model
    /// @param startDataCentre  index of the data centre of this instance, or of the given first stage
    /// @param first            if set, the chain begins with exactly this stage
    /// @return the cheapest chain that runs each layer once and in order, or nothing if the candidates do not cover all
    ///         layers or no chain was found that uses each engine at most once
    static std::optional<Chain> find(std::uint32_t layerCount, const std::vector<ChainCandidate>&,
        std::uint32_t startDataCentre, const Hop* first = nullptr, const ChainCosts& = {});
};

} // namespace crocusmount::relay
