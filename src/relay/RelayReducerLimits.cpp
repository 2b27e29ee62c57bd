// How RelayReducer keeps to the limits that backend servers name.

#include "relay/RelayReducer.h"

namespace crocusmount::relay {

void RelayReducer::on(const event::ServerLimitSeen& seen, Context& context)
{
    Call* call = findByAttempt(seen.attempt);
    if (!call)
        return;
    if (seen.perSecond)
        ++m_counters.limitsSeen;
    const Attempt& attempt = call->attempt(seen.attempt);
    if (m_fleet.recordLimit(attempt.server, { seen.perSecond, attempt.startedAt }))
        context.effects.emplace_back(effect::LogServerLimit { attempt.server, seen.perSecond });
}

} // namespace crocusmount::relay
