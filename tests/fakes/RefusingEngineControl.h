#pragma once

#include "edge/EngineControl.h"

namespace crocusmount {

/// Engine control that answers every check in the same way and refuses every order with status 409.
class RefusingEngineControl final : public EngineControl {
public:
    explicit RefusingEngineControl(CheckAnswer checkAnswer = CheckAnswer::Alive)
        : m_checkAnswer(checkAnswer)
    {
    }

private:
    Awaitable<EngineReport> onCheck(std::string, std::chrono::milliseconds) override
    {
        co_return EngineReport { m_checkAnswer };
    }
    Awaitable<ServerIdentity> onIdentify(std::string, std::string) override { co_return ServerIdentity {}; }
    Awaitable<StalledStage> onStalledStage(std::string, std::string) override { co_return StalledStage {}; }
    Awaitable<OrderReply> onReroute(std::string, std::string, Chain) override { co_return refusal(); }
    Awaitable<OrderReply> onPlaceLayers(std::string, LayerRange) override { co_return refusal(); }

    CheckAnswer m_checkAnswer;

    static OrderReply refusal() { return { OrderAnswer::Refused, 409 }; }
};

} // namespace crocusmount
