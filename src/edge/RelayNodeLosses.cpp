// How RelayNode carries out the decisions about streams that leave a lost engine.

#include "edge/DecisionLog.h"
#include "edge/RelayNode.h"

namespace crocusmount::relay {

void RelayNode::on(const effect::RerouteAttempt& order)
{
    const auto found = m_openCalls.find(order.call);
    if (found == m_openCalls.end())
        return;
    if (order.silence.count() > 0)
        m_latencies.movedSilence.observe(order.silence);
    net::co_spawn(m_context.get_executor(), sendReroute(order, found->second.callId), net::detached);
}

void RelayNode::on(const effect::LogSuspicion& note)
{
    const auto ms = [](Duration span) { return std::chrono::duration_cast<std::chrono::milliseconds>(span).count(); };
    DecisionLog::state("engine_suspected",
        { { "engine", note.engine.value() }, { "silent", note.silentStreams }, { "overdue", note.overdueStreams },
            { "progressing", note.progressingStreams }, { "longest_silence_ms", ms(note.longestSilence) },
            { "since_alive_ms", ms(note.sinceAlive) }, { "users", note.users } });
}

} // namespace crocusmount::relay
