#include "planning/HolderWeights.h"

#include "relay/ServiceConfiguration.h"

#include <algorithm>

namespace crocusmount {

HolderWeights::HolderWeights(const relay::EngineModel& model, double meanSlowness)
    : m_model(model)
    , m_meanSlowness(meanSlowness)
{
}

std::size_t HolderWeights::kindCount() const { return m_model.kinds.size() + 1; }

std::size_t HolderWeights::indexOf(const std::string& accelerator) const
{
    const relay::AcceleratorKind* kind = m_model.kind(accelerator);
    return kind ? static_cast<std::size_t>(kind - m_model.kinds.data()) : m_model.kinds.size();
}

double HolderWeights::weight(std::size_t holder, std::size_t placed) const
{
    const double reference = std::min(m_meanSlowness, slownessOf(placed));
    return m_countsAllAlike ? 1 : std::min(1.0, reference / slownessOf(holder));
}

double HolderWeights::slownessOf(std::size_t kind) const
{
    return kind < m_model.kinds.size() ? m_model.kinds[kind].stepFactor : m_meanSlowness;
}

} // namespace crocusmount
