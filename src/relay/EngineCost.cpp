#include "relay/EngineCost.h"

#include <cmath>

namespace crocusmount::relay {

namespace {

    /// Weight of the delay that a further stream causes to other streams: with full memory, and without EvictionWeight,
    /// the stream costs three times as much as on an idle engine.
    constexpr double BatchingWeight = 2;
    /// Weight of the cost of evictions. An engine with full memory evicts streams and processes their tokens again.
    constexpr double EvictionWeight = 10;

} // namespace

EngineCost::EngineCost(const EngineModel& model, const AcceleratorKind& accelerator, std::uint32_t heldLayers,
    double contextTokens, double slowness)
{
    const double eventMs = model.stride * model.stepMs * accelerator.stepFactor * slowness;
    m_passMs = eventMs * heldLayers / model.layers;
    const double capacity = model.kvTokenLayers(accelerator, heldLayers);
    m_fill = capacity > 0 ? contextTokens * heldLayers / capacity : 1;
    m_marginalMsPerLayer
        = eventMs / model.layers * (1 + BatchingWeight * m_fill + EvictionWeight * std::pow(m_fill, 6));
}

} // namespace crocusmount::relay
