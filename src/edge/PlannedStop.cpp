#include "edge/PlannedStop.h"

#include "edge/DecisionLog.h"
#include "edge/FrontServer.h"
#include "edge/RelayNode.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    constexpr std::chrono::milliseconds CheckInterval { 50 };
    /// Shares of the grace after which calls end, and after which the process exits. Answers are written in between.
    constexpr double CallsEndShare = 0.925;
    constexpr double ExitShare = 0.965;

    PlannedStopTimes::Span shareOf(PlannedStopTimes::Span grace, double share)
    {
        return std::chrono::duration_cast<PlannedStopTimes::Span>(share * grace);
    }

} // namespace

PlannedStopTimes PlannedStopTimes::within(Span grace)
{
    PlannedStopTimes times;
    times.callsEnd = shareOf(grace, CallsEndShare);
    times.exit = shareOf(grace, ExitShare);
    times.callersCome = std::min(times.callersCome, times.callsEnd);
    return times;
}

PlannedStop::PlannedStop(net::io_context& context, RelayNode& node, FrontServer& front, PlannedStopTimes times)
    : m_node(node)
    , m_front(front)
    , m_times(times)
    , m_start(std::chrono::steady_clock::now())
    , m_timer(context.get_executor())
{
}

bool PlannedStop::hasPassed(PlannedStopTimes::Span span) const
{
    return std::chrono::steady_clock::now() >= m_start + span;
}

Awaitable<void> PlannedStop::sleep()
{
    m_timer.expires_after(CheckInterval);
    co_await m_timer.async_wait(net::as_tuple(useAwaitable));
}

Awaitable<void> PlannedStop::run()
{
    m_node.post(event::DrainRequested { m_times.callsEnd });
    m_front.announceClose();
    while (!hasPassed(m_times.callsEnd)) {
        co_await sleep();
        if (hasPassed(m_times.closeIdle))
            m_front.closeIdle(m_times.firstCall);
        if (hasPassed(m_times.callersCome) && !m_front.activeConnections())
            break;
    }
    DecisionLog::state("stop",
        { { "open_calls", m_node.reducer().openCalls() }, { "active_connections", m_front.activeConnections() } });
    m_front.stopAccepting();
    m_node.post(event::CallsMustEnd {});
    while (m_front.busyCalls() && !hasPassed(m_times.exit))
        co_await sleep();
    m_node.recordProcessStop();
}

} // namespace crocusmount::relay
