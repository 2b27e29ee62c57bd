#include "relay/ServiceConfiguration.h"

#include <algorithm>

namespace crocusmount::relay {

const AcceleratorKind* EngineModel::kind(const std::string& name) const
{
    const auto found = std::find_if(kinds.begin(), kinds.end(), [&](const auto& each) { return each.name == name; });
    return found == kinds.end() ? nullptr : &*found;
}

double EngineModel::kvTokenLayers(const AcceleratorKind& accelerator, std::uint32_t heldLayers) const
{
    constexpr double BytesPerMb = 1e6; // The platform configures memory in decimal megabytes.
    const double freeMb = accelerator.memoryMb - heldLayers * layerMb;
    if (freeMb <= 0 || kvBytesPerToken <= 0)
        return 0;
    return freeMb * BytesPerMb / (kvBytesPerToken / layers);
}

} // namespace crocusmount::relay
