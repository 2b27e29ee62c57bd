// How RelayReducer accepts and ends calls between the request to exit and the end of the process.

#include "relay/RelayReducer.h"

namespace crocusmount::relay {

void RelayReducer::on(const event::DrainRequested&, Context& context)
{
    m_drainRequestedAt = m_drainRequestedAt.value_or(context.now);
}

/// Gives each call its final answer, because the process exits: nothing answers it later.
void RelayReducer::on(const event::CallsMustEnd&, Context& context)
{
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

} // namespace crocusmount::relay
