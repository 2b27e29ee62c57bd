#pragma once

#include "crocusmount/Chain.h"
#include "crocusmount/LayerRange.h"
#include "edge/EngineReport.h"
#include "edge/OrderReply.h"
#include "edge/ServerIdentity.h"
#include "edge/StalledStage.h"
#include "shell/Net.h"

#include <chrono>
#include <string>

namespace crocusmount {

/// Sends orders to engines and health checks to backend servers. Implemented by the platform's adapter.
class EngineControl {
public:
    virtual ~EngineControl() = default;

    /// Orders an engine to hold a range of layers and no others. The engine accepts no new calls for the layers that it
    /// gives up. It loads the new layers after the running calls through those layers have ended or moved elsewhere.
    /// @param engine   the only engine that may carry out the order; its successor at the address refuses it
    /// @param address  of the engine
    Awaitable<OrderReply> placeLayers(BackendId engine, std::string address, LayerRange layers)
    {
        return onPlaceLayers(std::move(engine), std::move(address), layers);
    }

    /// Orders the first stage of a running stream, and no other engine, to continue the stream over another chain.
    /// @param address  of the first stage
    /// @param call     the caller's id of the call, by which the engine identifies the stream
    /// @param chain    begins with the same first stage
    Awaitable<OrderReply> reroute(std::string address, std::string call, Chain chain)
    {
        return onReroute(std::move(address), std::move(call), std::move(chain));
    }

    /// Asks an engine for a report of its health and load.
    /// @param address  of the engine
    /// @param timeout  longest time to connect, and after that to get the answer
    Awaitable<EngineReport> check(std::string address, std::chrono::milliseconds timeout)
    {
        return onCheck(std::move(address), timeout);
    }

    /// Asks a server to identify itself, to find out whether it was restarted.
    /// @param address  of the server
    /// @param path     of its service's health check
    /// @param timeout  longest time to connect, and after that to get the answer
    /// @return the identity of the server that answers at the address; the id is a new one after a restart
    Awaitable<ServerIdentity> identify(std::string address, std::string path, std::chrono::milliseconds timeout)
    {
        return onIdentify(std::move(address), std::move(path), timeout);
    }

    /// Asks the first stage of a running stream which stage has stalled.
    /// @param address  of the first stage
    /// @param call     the caller's id of the call
    Awaitable<StalledStage> stalledStage(std::string address, std::string call)
    {
        return onStalledStage(std::move(address), std::move(call));
    }

private:
    virtual Awaitable<EngineReport> onCheck(std::string address, std::chrono::milliseconds timeout) = 0;
    virtual Awaitable<ServerIdentity> onIdentify(
        std::string address, std::string path, std::chrono::milliseconds timeout)
        = 0;
    virtual Awaitable<StalledStage> onStalledStage(std::string address, std::string call) = 0;
    virtual Awaitable<OrderReply> onReroute(std::string address, std::string call, Chain) = 0;
    virtual Awaitable<OrderReply> onPlaceLayers(BackendId engine, std::string address, LayerRange) = 0;
};

} // namespace crocusmount
