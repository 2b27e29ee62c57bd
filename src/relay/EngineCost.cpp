#include "relay/EngineCost.h"

#include <cmath>

namespace crocusmount::relay {

namespace {

    /// What a further stream costs with its share of the steps of all others: at full memory about three times as much
    /// as alone.
    constexpr double BatchGrowth = 2;
    /// Cost of an engine whose memory is full, over an empty one: streams are thrown back there and read again.
    constexpr double FullGrowth = 10;

} // namespace

EngineCost::EngineCost(const EngineModel& model, const AcceleratorKind& card, std::uint32_t heldLayers,
    double contextTokens, double slowness)
{
    const double eventMs = model.stride * model.stepMs * card.stepFactor * slowness;
    m_passMs = eventMs * heldLayers / model.layers;
    const double capacity = model.kvTokenLayers(card, heldLayers);
    m_fill = capacity > 0 ? contextTokens * heldLayers / capacity : 1;
    m_marginalMsPerLayer = eventMs / model.layers * (1 + BatchGrowth * m_fill + FullGrowth * std::pow(m_fill, 6));
}

} // namespace crocusmount::relay
