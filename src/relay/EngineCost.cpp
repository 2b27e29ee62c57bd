#include "relay/EngineCost.h"

namespace crocusmount::relay {

namespace {

    /// How fast the cost of an engine grows with the fill of its memory: when full, it counts this many times more. It
    /// stands for the larger batch, and for the streams that are thrown back when memory runs out.
    constexpr double FillGrowth = 8;

} // namespace

EngineCost::EngineCost(
    const EngineModel& model, const AcceleratorKind& card, std::uint32_t heldLayers, double contextTokens)
{
    const double eventMs = model.stride * model.stepMs * card.stepFactor;
    m_passMs = eventMs * heldLayers / model.layers;
    const double capacity = model.kvTokenLayers(card, heldLayers);
    m_fill = capacity > 0 ? contextTokens * heldLayers / capacity : 1;
    m_marginalMsPerLayer = eventMs / model.layers * (1 + FillGrowth * m_fill * m_fill);
}

} // namespace crocusmount::relay
