// How RelayReducer accepts and ends calls between the request to exit and the end of the process.

#include "relay/RelayReducer.h"

namespace crocusmount::relay {

void RelayReducer::on(const event::DrainRequested& requested, Context& context)
{
    if (m_drainRequestedAt)
        return;
    m_drainRequestedAt = context.now;
    if (requested.remaining)
        m_callsMustEndAt = context.now + *requested.remaining;
}

/// Gives each call its final answer, because the process exits: nothing answers it later.
void RelayReducer::on(const event::CallsMustEnd&, Context& context)
{
    m_callsMustEndAt = context.now;
    for (const EarlyCall& early : std::exchange(m_earlyCalls, {})) {
        ++m_counters.refused.at(static_cast<std::size_t>(Reason::Draining));
        context.effects.emplace_back(effect::Refuse {
            early.arrival.call, Reason::Draining, RunState::NotRun, retryAfterFor(Reason::Draining, context) });
    }
    std::vector<RequestId> open;
    for (const auto& [id, call] : m_calls)
        open.push_back(id);
    for (const RequestId& id : open) {
        Call& call = m_calls.at(id);
        keepOnly(call, AttemptId(), context);
        finishUnanswered(call, Reason::Draining, context);
    }
}

/// Tells whether a new call is likely to end before the process does. A call that may be repeated is sent again by its
/// caller if it is cut, so most of them may begin; one that may not is lost with its answer.
/// @return whether the call may be accepted although this instance drains
bool RelayReducer::canEndBeforeExit(const Route& route, TimePoint now) const
{
    if (now > *m_drainRequestedAt + m_options.acceptAfterDrainStart)
        return false;
    if (!m_callsMustEndAt)
        return true;
    const auto expected = isRepeatable(route.kind) ? m_runTimes.mean(route.id) : m_runTimes.upperBound(route.id);
    return now + expected.value_or(Duration(0)) < *m_callsMustEndAt;
}

} // namespace crocusmount::relay
