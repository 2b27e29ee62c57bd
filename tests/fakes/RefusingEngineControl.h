#pragma once

#include "edge/EngineControl.h"

#include <map>
#include <string>

namespace crocusmount {

/// Engine control that answers every check in the same way, and refuses every order with status 409. Servers that were
/// added answer health checks with their ids, and others are silent.
class RefusingEngineControl final : public EngineControl {
public:
    explicit RefusingEngineControl(CheckAnswer checkAnswer = CheckAnswer::Alive)
        : m_checkAnswer(checkAnswer)
    {
    }

    void addServer(const std::string& address, const BackendId& id) { m_ids[address] = id; }

private:
    Awaitable<EngineReport> onCheck(std::string, std::chrono::milliseconds) override
    {
        co_return EngineReport { m_checkAnswer };
    }
    Awaitable<ServerIdentity> onIdentify(std::string address, std::string, std::chrono::milliseconds) override
    {
        const auto id = m_ids.find(address);
        if (id == m_ids.end())
            co_return ServerIdentity {};
        co_return ServerIdentity { m_checkAnswer, id->second, {} };
    }
    Awaitable<StalledStage> onStalledStage(std::string, std::string) override { co_return StalledStage {}; }
    Awaitable<OrderReply> onReroute(std::string, std::string, Chain) override { co_return refusal(); }
    Awaitable<OrderReply> onPlaceLayers(BackendId, std::string, LayerRange) override { co_return refusal(); }

    CheckAnswer m_checkAnswer;
    std::map<std::string, BackendId> m_ids; ///< by address

    static OrderReply refusal() { return { OrderAnswer::Refused, 409 }; }
};

} // namespace crocusmount
