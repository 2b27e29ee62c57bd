#pragma once

#include "relay/ServiceConfiguration.h"

namespace crocusmount::relay {

/// Estimates the cost of a further stream on an engine from the properties of the model and the engine's load. The
/// estimate avoids two kinds of overload. If many streams run on a few fast accelerators, each further stream slows
/// down all others. If the KV cache memory runs out, the engine evicts the newest stream and has to process its tokens
/// again.
class EngineCost {
public:
    /// @param heldLayers     number of layers that the engine holds
    /// @param contextTokens  estimated tokens in the KV cache of the engine, over the streams of all instances
    /// @param slowness       reported step time of the engine as a multiple of the usual one of its accelerator
    EngineCost(const EngineModel&, const AcceleratorKind&, std::uint32_t heldLayers, double contextTokens,
        double slowness = 1);

    /// @return duration of one pass through all held layers, in ms
    double passMs() const { return m_passMs; }
    /// @return used fraction of the KV cache memory; above 1 if overcommitted
    double fill() const { return m_fill; }
    /// @return cost of a further stream per layer, including the delay of other streams, in ms per event
    double marginalMsPerLayer() const { return m_marginalMsPerLayer; }

private:
    double m_passMs = 0;
    double m_fill = 0;
    double m_marginalMsPerLayer = 0;
};

} // namespace crocusmount::relay
