#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/LayerRange.h"

#include <cstdint>
#include <map>
#include <vector>

namespace crocusmount {

class HolderWeights;

/// Counts the holders of each layer per data centre and in the whole fleet, and values one more holder. A holder is an
/// engine that holds the layer. The first holder in a data centre has the highest value, because streams that cross to
/// another data centre share one network link. The value decays with each further holder.
///
/// Values are in layers: a first holder of one layer in its data centre is worth 1, plus its value for the fleet.
class LayerCoverage {
public:
    /// @param layers   number of layers of the model
    /// @param entries  holders of the first layer that each data centre should have
    /// @param weights  must outlive this object
    LayerCoverage(std::uint32_t layers, std::map<DataCentreId, double> entries, const HolderWeights& weights);

    /// @param kind    accelerator kind of the holder, see HolderWeights::indexOf
    /// @param change  1 to add a holder of these layers, -1 to remove one
    void add(const DataCentreId&, const LayerRange&, std::size_t kind, int change = 1);

    /// @param kind  accelerator kind of the additional holder
    /// @return the value of one more holder of a range, in layers
    double marginalValue(const DataCentreId&, const LayerRange&, std::size_t kind);
    /// @param kind  accelerator kind of the additional holder
    /// @return the range of `count` layers with the highest marginal value, or of all layers if the model has fewer
    LayerRange bestRange(const DataCentreId&, std::uint32_t count, std::size_t kind);

private:
    using Holders = std::vector<int>; ///< number of holders of one layer, by accelerator kind

    std::vector<Holders> emptyLayers() const;
    std::vector<Holders>& localHolders(const DataCentreId&);
    /// @param placed  accelerator kind of the additional holder
    /// @return the weighted number of holders
    double weightedCount(const Holders&, std::size_t placed) const;
    std::vector<double> layerValues(const DataCentreId&, std::size_t kind);
    double entryValue(const DataCentreId&, std::size_t kind);

    std::uint32_t m_layerCount;
    const HolderWeights& m_weights;
    std::vector<Holders> m_fleetHolders; ///< by layer
    std::map<DataCentreId, std::vector<Holders>> m_localHolders; ///< by layer
    std::map<DataCentreId, double> m_requiredEntries; ///< holders of the first layer that a data centre should have
};

} // namespace crocusmount
