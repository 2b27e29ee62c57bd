#pragma once

#include "crocusmount/Chain.h"

#include <optional>
#include <vector>

namespace crocusmount::relay {

/// An engine as the search sees it. It may be asked to run any part of the layers that it holds.
struct ChainCandidate {
    BackendId backend;
    std::string address;
    LayerRange layers; ///< held
    std::uint32_t dataCentre = 0; ///< a small index
    double msPerLayer = 0; ///< one event through one layer, load and slowness included
    double penaltyMs = 0; ///< once, if the chain uses it
    double entryPenaltyMs = 0; ///< once, if the chain begins there
};

/// What crossing costs, as time of one event.
struct ChainCosts {
    double hopMs = 2; ///< each further stage
    double crossingMs = 40; ///< each crossing between data centres; prompts share one pipe there
    double entryCrossingMs = 3; ///< the first stage in another data centre than this instance
};

/// Finds the chain of least cost through engines whose ranges may overlap.
class ChainFinder {
public:
    /// @param layerCount  the layers of the model
    /// @param home        data centre from which the chain is entered, as an index like the candidates'
    /// @return a chain that runs each layer once and in order, or nothing where no candidates tile the model
    /// @param first       if set, the chain begins with this stage as it is
    static std::optional<Chain> find(std::uint32_t layerCount, const std::vector<ChainCandidate>&, std::uint32_t home,
        const Hop* first = nullptr, const ChainCosts& = {});
};

} // namespace crocusmount::relay
