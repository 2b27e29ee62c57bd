#include "planning/LayerCoverage.h"

#include "planning/HolderWeights.h"

#include <algorithm>
#include <cmath>

namespace crocusmount {

namespace {

    /// What one more holder of a layer is worth after each holder in the same data centre.
    constexpr double LocalDecay = 0.2;
    /// The same after each holder anywhere.
    constexpr double GlobalDecay = 0.5;
    constexpr double GlobalWeight = 0.5;
    /// What each holder of the first layer is worth, in layers, while a data centre has too few of them. Calls enter
    /// there, and each takes a slot for as long as it runs.
    constexpr double EntryWorth = 2;
    /// Sums in another order differ by less; of ranges worth the same the first is taken.
    constexpr double Tolerance = 1e-9;

} // namespace

LayerCoverage::LayerCoverage(std::uint32_t layers, std::map<DataCentreId, double> entries, const HolderWeights& weights)
    : m_layers(layers)
    , m_weights(weights)
    , m_all(emptyLayers())
    , m_entries(std::move(entries))
{
}

std::vector<LayerCoverage::Holders> LayerCoverage::emptyLayers() const
{
    return std::vector<Holders>(m_layers, Holders(m_weights.kinds()));
}

std::vector<LayerCoverage::Holders>& LayerCoverage::local(const DataCentreId& dataCentre)
{
    return m_local.try_emplace(dataCentre, emptyLayers()).first->second;
}

void LayerCoverage::add(const DataCentreId& dataCentre, const LayerRange& range, std::size_t kind, int change)
{
    std::vector<Holders>& holders = local(dataCentre);
    for (std::uint32_t layer = range.begin; layer < std::min(range.end, m_layers); ++layer) {
        holders[layer][kind] += change;
        m_all[layer][kind] += change;
    }
}

double LayerCoverage::worth(const DataCentreId& dataCentre, const LayerRange& range, std::size_t kind)
{
    const std::vector<double> layers = layerWorths(dataCentre, kind);
    double sum = range.begin == 0 ? entryWorth(dataCentre, kind) : 0;
    for (std::uint32_t layer = range.begin; layer < std::min(range.end, m_layers); ++layer)
        sum += layers[layer];
    return sum;
}

LayerRange LayerCoverage::best(const DataCentreId& dataCentre, std::uint32_t count, std::size_t kind)
{
    const std::vector<double> layers = layerWorths(dataCentre, kind);
    const std::uint32_t length = std::min(count, m_layers);
    double sum = 0;
    for (std::uint32_t layer = 0; layer < length; ++layer)
        sum += layers[layer];
    LayerRange chosen { 0, length };
    double most = sum + entryWorth(dataCentre, kind);
    for (std::uint32_t begin = 1; begin + length <= m_layers; ++begin) {
        sum += layers[begin + length - 1] - layers[begin - 1];
        if (sum > most * (1 + Tolerance)) {
            most = sum;
            chosen = { begin, begin + length };
        }
    }
    return chosen;
}

/// @return what one more holder of each layer is worth
std::vector<double> LayerCoverage::layerWorths(const DataCentreId& dataCentre, std::size_t kind)
{
    const std::vector<Holders>& holders = local(dataCentre);
    std::vector<double> worths(m_layers);
    for (std::uint32_t layer = 0; layer < m_layers; ++layer) {
        worths[layer] = std::pow(LocalDecay, count(holders[layer], kind))
            + GlobalWeight * std::pow(GlobalDecay, count(m_all[layer], kind));
    }
    return worths;
}

/// @return what the first layer is worth besides, while a data centre has too few holders of it
double LayerCoverage::entryWorth(const DataCentreId& dataCentre, std::size_t kind)
{
    return count(local(dataCentre)[0], kind) < m_entries[dataCentre] ? EntryWorth : 0;
}

double LayerCoverage::count(const Holders& holders, std::size_t placed) const
{
    double sum = 0;
    for (std::size_t kind = 0; kind < holders.size(); ++kind)
        sum += holders[kind] ? holders[kind] * m_weights.weight(kind, placed) : 0;
    return sum;
}

} // namespace crocusmount
