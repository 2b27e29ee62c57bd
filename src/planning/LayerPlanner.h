#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/LayerRange.h"
#include "relay/Mechanism.h"
#include "relay/ServiceConfiguration.h"

#include <optional>
#include <string>
#include <vector>

namespace crocusmount {

/// Decides which layers each engine of a service holds. The planner is stateless and does no I/O.
class LayerPlanner {
public:
    /// One engine of the model's service.
    struct Engine {
        BackendId id;
        DataCentreId dataCentre;
        std::string accelerator;
        LayerRange held; ///< layers that the engine reports to hold; empty if none
        std::optional<LayerRange> ordered; ///< layers that the engine has been ordered to load and does not hold yet
        bool leaving = false; ///< the engine is about to shut down and gets no orders
        std::uint32_t slots = 1; ///< maximum number of concurrent calls that enter the chain at this engine
        double tokenLayers = 0; ///< KV cache in use by calls of all instances, in tokens times layers
    };

    /// An order to an engine to hold a range of layers in place of its present ones.
    struct Order {
        BackendId engine;
        LayerRange layers;

        bool operator==(const Order&) const = default;
    };

    /// Assigns a range to each engine without layers, and moves engines from ranges with enough other holders to ranges
    /// that lack holders. An engine never gets more layers than fit into its memory.
    /// @param engines   all registered engines of the service
    /// @param disabled  mechanisms that are switched off
    /// @return the orders to send now; empty if the placement stays as it is
    static std::vector<Order> plan(const relay::EngineModel& model, const std::vector<Engine>& engines,
        const relay::DisabledMechanisms& disabled = {});

    /// @param kvTokens  KV cache to keep free for each layer held, in tokens
    /// @return the number of layers that fit into the memory of an accelerator beside its KV cache, at most all layers
    static std::uint32_t layersThatFit(const relay::EngineModel&, const relay::AcceleratorKind&, double kvTokens);
};

} // namespace crocusmount
