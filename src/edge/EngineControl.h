#pragma once

#include "crocusmount/LayerRange.h"
#include "shell/Net.h"

#include <string>

namespace crocusmount {

/// How an engine answered an order.
enum class OrderAnswer {
    Begun,
    Holds, ///< the state is already as ordered
    Refused, ///< it does not fit the engine's state
    Unknown, ///< no answer: it may still be carried out, also later
};

/// Gives orders to engines. Implemented by the platform's adapter.
class EngineControl {
public:
    virtual ~EngineControl() = default;

    /// Orders an engine to hold a range of layers, and no others.
    Awaitable<OrderAnswer> placeLayers(std::string address, LayerRange layers)
    {
        return onPlaceLayers(std::move(address), layers);
    }

private:
    virtual Awaitable<OrderAnswer> onPlaceLayers(std::string address, LayerRange) = 0;
};

} // namespace crocusmount
