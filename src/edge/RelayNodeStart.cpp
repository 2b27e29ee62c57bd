// What RelayNode logs of calls that are held while this instance knows too little.

#include "edge/DecisionLog.h"
#include "edge/RelayNode.h"

#include <cmath>

namespace crocusmount::relay {

namespace {

    std::int64_t toMs(Duration span) { return std::chrono::duration_cast<std::chrono::milliseconds>(span).count(); }

    /// @return the rate, or null if there is no limit, since JSON has no infinity
    boost::json::value rateValue(double perSecond)
    {
        return std::isfinite(perSecond) ? boost::json::value(perSecond) : boost::json::value(nullptr);
    }

} // namespace

void RelayNode::on(const effect::LogStartKnowledge& note)
{
    DecisionLog::state("start_knowledge",
        { { "service", note.service }, { "before", toString(note.before) }, { "now", toString(note.now) },
            { "unknown_ms", toMs(note.unknownFor) }, { "held", note.held }, { "instances", note.instances },
            { "carried", note.carried }, { "per_second", rateValue(note.callsPerSecond) } });
}

void RelayNode::on(const effect::LogStartHold& note)
{
    m_latencies.startHold.observe(note.waited);
    const auto found = m_openCalls.find(note.call);
    if (found == m_openCalls.end())
        return;
    DecisionLog::call("start_hold", found->second.callId,
        { { "end", toString(note.end) }, { "knowledge", toString(note.knowledge) }, { "waited_ms", toMs(note.waited) },
            { "held", note.held }, { "unknown_ms", toMs(note.unknownFor) },
            { "per_second", rateValue(note.callsPerSecond) }, { "retry_after_ms", toMs(note.retryAfter) } });
}

} // namespace crocusmount::relay
