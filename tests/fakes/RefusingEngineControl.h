#pragma once

#include "edge/EngineControl.h"

namespace crocusmount {

/// Engine control that reports every engine as alive and refuses every order with status 409.
class RefusingEngineControl final : public EngineControl {
private:
    Awaitable<EngineReport> onCheck(std::string) override { co_return EngineReport { CheckAnswer::Alive }; }
    Awaitable<ServerIdentity> onIdentify(std::string, std::string) override { co_return ServerIdentity {}; }
    Awaitable<StalledStage> onStalledStage(std::string, std::string) override { co_return StalledStage {}; }
    Awaitable<OrderReply> onReroute(std::string, std::string, Chain) override { co_return refusal(); }
    Awaitable<OrderReply> onPlaceLayers(std::string, LayerRange) override { co_return refusal(); }

    static OrderReply refusal() { return { OrderAnswer::Refused, 409 }; }
};

} // namespace crocusmount
