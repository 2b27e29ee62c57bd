#include "relay/CarriedCalls.h"

#include <algorithm>

namespace crocusmount::relay {

double carriedCalls(const ServerFleet& fleet, const Service& service)
{
    double slots = 0;
    std::vector<double> callsOfLayer(service.engine ? service.engine->layers : 0);
    for (const auto& [id, server] : fleet.servers()) {
        const RegisteredServer& entry = server.entry;
        if (entry.service != service.id || !server.isAvailable())
            continue;
        if (!service.engine) {
            slots += entry.slots;
            continue;
        }
        const AcceleratorKind* kind = service.engine->kind(entry.accelerator);
        if (!kind || !entry.layers.size() || entry.layers.end > callsOfLayer.size())
            continue;
        if (!entry.layers.begin)
            slots += entry.slots;
        const double tokens = service.engine->kvTokenLayers(*kind, entry.layers.size()) / entry.layers.size();
        for (std::uint32_t layer = entry.layers.begin; layer < entry.layers.end; ++layer)
            callsOfLayer[layer] += tokens / std::max(1.0, service.engine->usualTokens);
    }
    const auto weakest = std::min_element(callsOfLayer.begin(), callsOfLayer.end());
    return weakest == callsOfLayer.end() ? slots : std::min(slots, *weakest);
}

} // namespace crocusmount::relay
