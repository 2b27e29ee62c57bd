#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/LayerRange.h"

#include <cstdint>
#include <map>
#include <vector>

namespace crocusmount {

class HolderWeights;

/// Holders of each layer, by data centre and in all, and what one more is worth: much where a data centre has none,
/// ever less after each, since streams that cross to another data centre share one pipe.
class LayerCoverage {
public:
    /// @param layers   of the model
    /// @param entries  holders of the first layer that each data centre should have
    /// @param weights  must outlive this
    LayerCoverage(std::uint32_t layers, std::map<DataCentreId, double> entries, const HolderWeights& weights);

    /// @param kind    index of the holder's card
    /// @param change  1 for one more holder of those layers, -1 for one less
    void add(const DataCentreId&, const LayerRange&, std::size_t kind, int change = 1);

    /// @return what one more holder of that range is worth, in layers
    double worth(const DataCentreId&, const LayerRange&, std::size_t kind);
    /// @return the range of so many layers with which one more engine is worth most
    LayerRange best(const DataCentreId&, std::uint32_t count, std::size_t kind);

private:
    using Holders = std::vector<int>; ///< of one layer, by kind of card

    std::vector<Holders> emptyLayers() const;
    std::vector<Holders>& local(const DataCentreId&);
    double count(const Holders&, std::size_t placed) const;
    std::vector<double> layerWorths(const DataCentreId&, std::size_t kind);
    double entryWorth(const DataCentreId&, std::size_t kind);

    std::uint32_t m_layers;
    const HolderWeights& m_weights;
    std::vector<Holders> m_all;
    std::map<DataCentreId, std::vector<Holders>> m_local;
    std::map<DataCentreId, double> m_entries;
};

} // namespace crocusmount
