#pragma once

#include "crocusmount/Chain.h"
#include "crocusmount/LayerRange.h"
#include "edge/EngineReport.h"
#include "edge/OrderReply.h"
#include "edge/ServerIdentity.h"
#include "shell/Net.h"

#include <string>

namespace crocusmount {

/// Gives orders to engines and asks servers how they are. Implemented by the platform's adapter.
class EngineControl {
public:
    virtual ~EngineControl() = default;

    /// Orders an engine to hold a range of layers, and no others. Layers that it gives up take no new calls; those that
    /// pass through them end, or are moved off, before the new layers are loaded.
    Awaitable<OrderReply> placeLayers(std::string address, LayerRange layers)
    {
        return onPlaceLayers(std::move(address), layers);
    }

    /// Orders the first stage of a running stream to go on over another chain.
    /// @param call  the caller's id of the call, under which the engine knows it
    Awaitable<OrderReply> reroute(std::string address, std::string call, Chain chain)
    {
        return onReroute(std::move(address), std::move(call), std::move(chain));
    }

    /// Asks an engine how it is.
    Awaitable<EngineReport> check(std::string address) { return onCheck(std::move(address)); }

    /// Asks a plain server which start of it answers.
    /// @param path  of its service's health check
    /// @return what answered at the address; its id is that of another start where one has taken the server's place
    Awaitable<ServerIdentity> identify(std::string address, std::string path)
    {
        return onIdentify(std::move(address), std::move(path));
    }

    /// Asks the first stage of a running stream at which stage it stands still.
    /// @return that stage's address, the asked engine's own where it does not answer, or nothing where it knows of none
    Awaitable<std::string> stalledStage(std::string address, std::string call)
    {
        return onStalledStage(std::move(address), std::move(call));
    }

private:
    virtual Awaitable<EngineReport> onCheck(std::string address) = 0;
    virtual Awaitable<ServerIdentity> onIdentify(std::string address, std::string path) = 0;
    virtual Awaitable<std::string> onStalledStage(std::string address, std::string call) = 0;
    virtual Awaitable<OrderReply> onReroute(std::string address, std::string call, Chain) = 0;
    virtual Awaitable<OrderReply> onPlaceLayers(std::string address, LayerRange) = 0;
};

} // namespace crocusmount
