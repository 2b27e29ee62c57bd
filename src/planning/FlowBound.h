#pragma once

#include "crocusmount/BackendReport.h"

#include <cstdint>
#include <vector>

namespace crocusmount {

/// Computes an upper bound on the throughput of a placement as a maximum flow. Each holding is an edge from its first
/// layer to the layer after its last one, with a capacity of slots per step time. The flow goes from the first layer to
/// the end of the model.
/// @param layerCount  number of layers of the model
/// @param holdings    reports of the engines that hold layers of this model
/// @return tokens per second; 0 if no chain of holdings covers all layers without overlap
double flowBound(std::uint32_t layerCount, const std::vector<BackendReport>& holdings);

} // namespace crocusmount
