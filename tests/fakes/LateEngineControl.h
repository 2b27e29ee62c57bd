#pragma once

#include "edge/EngineControl.h"

namespace crocusmount {

/// Engine control that answers each check after a delay, and refuses orders.
class LateEngineControl final : public EngineControl {
public:
    LateEngineControl(net::io_context& context, std::chrono::milliseconds delay)
        : m_context(context)
        , m_delay(delay)
    {
    }

    std::size_t checks() const { return m_checks; }

private:
    Awaitable<EngineReport> onCheck(std::string, std::chrono::milliseconds timeout) override
    {
        ++m_checks;
        Timer timer(m_context.get_executor());
        timer.expires_after(std::min(m_delay, timeout));
        co_await timer.async_wait(net::as_tuple(useAwaitable));
        co_return EngineReport { m_delay < timeout ? CheckAnswer::Alive : CheckAnswer::Silent };
    }
    Awaitable<ServerIdentity> onIdentify(std::string, std::string, std::chrono::milliseconds) override
    {
        co_return ServerIdentity {};
    }
    Awaitable<StalledStage> onStalledStage(std::string, std::string) override { co_return StalledStage {}; }
    Awaitable<OrderReply> onReroute(std::string, std::string, Chain) override { co_return OrderReply {}; }
    Awaitable<OrderReply> onPlaceLayers(BackendId, std::string, LayerRange) override { co_return OrderReply {}; }

    net::io_context& m_context;
    std::chrono::milliseconds m_delay;
    std::size_t m_checks = 0;
};

} // namespace crocusmount
