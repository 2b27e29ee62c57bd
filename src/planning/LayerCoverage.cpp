#include "planning/LayerCoverage.h"

#include "planning/HolderWeights.h"

#include <algorithm>
#include <cmath>

namespace crocusmount {

namespace {

    /// Factor by which each holder in a data centre reduces the value of one more holder there.
    constexpr double LocalDecay = 0.2;
    /// Factor by which each holder in the fleet reduces the value of one more holder for the fleet.
    constexpr double FleetDecay = 0.5;
    /// Value for the fleet of the first holder of a layer, where the value for the data centre is 1.
    constexpr double FleetWeight = 0.5;
    /// Additional value, in layers, of a holder of the first layer while a data centre has too few of them. Calls enter
    /// the chain at the first layer, and each takes one of the engine's slots for as long as it runs.
    constexpr double EntryValue = 2;
    /// Relative difference above which a range counts as better. Larger than the rounding errors of sums in different
    /// order, so that the first of several equally good ranges is chosen.
    constexpr double Tolerance = 1e-9;

} // namespace

LayerCoverage::LayerCoverage(std::uint32_t layers, std::map<DataCentreId, double> entries, const HolderWeights& weights)
    : m_layerCount(layers)
    , m_weights(weights)
    , m_fleetHolders(emptyLayers())
    , m_requiredEntries(std::move(entries))
{
}

std::vector<LayerCoverage::Holders> LayerCoverage::emptyLayers() const
{
    return std::vector<Holders>(m_layerCount, Holders(m_weights.kindCount()));
}

std::vector<LayerCoverage::Holders>& LayerCoverage::localHolders(const DataCentreId& dataCentre)
{
    return m_localHolders.try_emplace(dataCentre, emptyLayers()).first->second;
}

void LayerCoverage::add(const DataCentreId& dataCentre, const LayerRange& range, std::size_t kind, int change)
{
    std::vector<Holders>& holders = localHolders(dataCentre);
    for (std::uint32_t layer = range.begin; layer < std::min(range.end, m_layerCount); ++layer) {
        holders[layer][kind] += change;
        m_fleetHolders[layer][kind] += change;
    }
}

double LayerCoverage::marginalValue(const DataCentreId& dataCentre, const LayerRange& range, std::size_t kind)
{
    const std::vector<double> values = layerValues(dataCentre, kind);
    double sum = range.begin == 0 ? entryValue(dataCentre, kind) : 0;
    for (std::uint32_t layer = range.begin; layer < std::min(range.end, m_layerCount); ++layer)
        sum += values[layer];
    return sum;
}

LayerRange LayerCoverage::bestRange(const DataCentreId& dataCentre, std::uint32_t count, std::size_t kind)
{
    const std::vector<double> values = layerValues(dataCentre, kind);
    const std::uint32_t length = std::min(count, m_layerCount);
    double sum = 0;
    for (std::uint32_t layer = 0; layer < length; ++layer)
        sum += values[layer];
    LayerRange best { 0, length };
    double highestValue = sum + entryValue(dataCentre, kind);
    for (std::uint32_t begin = 1; begin + length <= m_layerCount; ++begin) {
        sum += values[begin + length - 1] - values[begin - 1];
        if (sum > highestValue * (1 + Tolerance)) {
            highestValue = sum;
            best = { begin, begin + length };
        }
    }
    return best;
}

/// @return the value of one more holder for each layer
std::vector<double> LayerCoverage::layerValues(const DataCentreId& dataCentre, std::size_t kind)
{
    const std::vector<Holders>& holders = localHolders(dataCentre);
    std::vector<double> values(m_layerCount);
    for (std::uint32_t layer = 0; layer < m_layerCount; ++layer) {
        values[layer] = std::pow(LocalDecay, weightedCount(holders[layer], kind))
            + FleetWeight * std::pow(FleetDecay, weightedCount(m_fleetHolders[layer], kind));
    }
    return values;
}

/// @return the additional value of a holder of the first layer: EntryValue while the data centre has too few of them
double LayerCoverage::entryValue(const DataCentreId& dataCentre, std::size_t kind)
{
    return weightedCount(localHolders(dataCentre)[0], kind) < m_requiredEntries[dataCentre] ? EntryValue : 0;
}

double LayerCoverage::weightedCount(const Holders& holders, std::size_t placed) const
{
    double sum = 0;
    for (std::size_t kind = 0; kind < holders.size(); ++kind)
        sum += holders[kind] ? holders[kind] * m_weights.weight(kind, placed) : 0;
    return sum;
}

} // namespace crocusmount
