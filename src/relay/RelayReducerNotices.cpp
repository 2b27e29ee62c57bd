// How RelayReducer applies what backend servers state about themselves in their answers.

#include "relay/RelayReducer.h"

#include <algorithm>
#include <utility>

namespace crocusmount::relay {

void RelayReducer::on(const event::ServerNoticeSeen& seen, Context& context)
{
    const ServerNotice& notice = seen.notice;
    m_counters.noticesUnreadable += notice.unreadable;
    m_counters.limitsSeen += notice.limitPerSecond ? 1 : 0;
    m_counters.backoffsRequested += notice.retryAfter ? 1 : 0;
    FleetServer* server = m_fleet.find(seen.server);
    if (!server || server->entry.startedAt != seen.startedAt)
        return; // The start that was asked has ended or is not registered.
    // A rejection may come before the server states its limit, so only signed answers show that it names none.
    const bool showsLimit = notice.limitPerSecond || notice.isSigned;
    if (showsLimit && learnLimit(*server, { notice.limitPerSecond, seen.askedAt }, context))
        sendPermitRequest(*server, 0, context);
    if (notice.retryAfter)
        applyBackoff(*server, notice, context);
    if (notice.isLeaving)
        applyLeaving(*server, context);
}

/// Applies a server's request to be sent nothing for a time.
void RelayReducer::applyBackoff(FleetServer& server, const ServerNotice& notice, Context& context)
{
    server.backoffUntil = std::max(server.backoffUntil, context.now + *notice.retryAfter);
    context.effects.emplace_back(
        effect::LogServerBackoff { server.entry.id, *notice.retryAfter, server.backoffUntil - context.now });
}

/// Applies a server's statement that it will exit.
void RelayReducer::applyLeaving(FleetServer& server, Context& context)
{
    if (std::exchange(server.hasAnnouncedLeaving, true))
        return;
    ++m_counters.leavesAnnounced;
    context.effects.emplace_back(effect::LogServerState {
        effect::LogServerState::ServerStateChange::AnnouncedLeaving, server.entry.id, server.entry.startedAt });
}

} // namespace crocusmount::relay
