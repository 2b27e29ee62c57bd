#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/LayerRange.h"
#include "relay/Mechanism.h"
#include "relay/ServiceConfiguration.h"

#include <optional>
#include <string>
#include <vector>

namespace crocusmount {

/// Decides which layers each engine is to hold. A function of what is known; it keeps no state and does no I/O.
class LayerPlanner {
public:
    /// One engine of the model's service.
    struct Engine {
        BackendId id;
        DataCentreId dataCentre;
        std::string accelerator;
        LayerRange held; ///< as reported; empty if none
        std::optional<LayerRange> ordered; ///< an order under way
        bool leaving = false;
        std::uint32_t slots = 1; ///< calls that may enter there at once
        double tokenLayers = 0; ///< KV cache in use there, of all instances
    };

    struct Order {
        BackendId engine;
        LayerRange layers;

        bool operator==(const Order&) const = default;
    };

    /// @param model    figures of the model
    /// @param engines  all that are registered
    /// @return a range for each engine that holds nothing, and moves of engines whose range others hold too, to where
    ///         holders are missing; never more layers than fit
    static std::vector<Order> plan(const relay::EngineModel& model, const std::vector<Engine>& engines,
        const relay::DisabledMechanisms& without = {});

    /// @return how many layers an engine of that kind is to hold beside a KV cache for so many tokens
    static std::uint32_t layersFor(const relay::EngineModel&, const relay::AcceleratorKind&, double kvTokens);
};

} // namespace crocusmount
