// How RelayNode logs and measures who waits, who is refused for lack of capacity, and who returns.

#include "edge/DecisionLog.h"
#include "edge/PeerSink.h"
#include "edge/RelayNode.h"

namespace crocusmount::relay {

namespace {

    std::int64_t toMs(Duration span) { return std::chrono::duration_cast<std::chrono::milliseconds>(span).count(); }

} // namespace

void RelayNode::on(const effect::LogShortage& note)
{
    m_latencies.refusedWaits.observe(note.waited);
    const auto found = m_openCalls.find(note.call);
    if (found == m_openCalls.end())
        return;
    boost::json::object fields { { "cause", toString(note.cause) }, { "waited_ms", toMs(note.waited) },
        { "waiting", note.waiting }, { "ends_per_s", note.rates.room }, { "arrivals_per_s", note.rates.arrivals },
        { "newcomers_per_s", note.rates.newcomers }, { "by_slots", note.usesSlots } };
    if (note.usesSlots) {
        fields["slot_room"] = note.offer.room;
        fields["slot_booked"] = note.offer.booked;
        fields["has_slot"] = note.slotIn.has_value();
    }
    if (note.slotIn)
        fields["slot_in_ms"] = toMs(*note.slotIn);
    DecisionLog::call("shortage", found->second.callId, fields);
}

void RelayNode::on(const effect::RecordWait& wait) { m_latencies.startedWaits.observe(wait.waited); }

void RelayNode::on(const effect::LogReturn& note)
{
    if (!note.isEarly)
        m_latencies.returnsLate.observe(note.late);
    if (const auto found = m_openCalls.find(note.call); found != m_openCalls.end())
        DecisionLog::call(
            "caller_returned", found->second.callId, { { "early", note.isEarly }, { "late_ms", toMs(note.late) } });
}

void RelayNode::on(const effect::ShareReturn& share)
{
    if (m_peers)
        m_peers->shareReturn(share);
}

} // namespace crocusmount::relay
