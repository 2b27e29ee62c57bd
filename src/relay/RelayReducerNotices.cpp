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
    FleetServer* server = m_fleet.findStart(seen.server, seen.startedAt);
    if (!server)
        return; // The start that was asked has ended.
    // A rejection may come before the server states its limit, so only signed answers show that it names none.
    const bool showsLimit = notice.limitPerSecond || notice.isSigned;
    if (showsLimit && learnLimit(*server, { notice.limitPerSecond, seen.askedAt }, context))
        sendPermitRequest(*server, 0, context);
    if (notice.retryAfter)
        applyBackoff(*server, seen, context);
    else if (notice.isSigned)
        server->backoff.attemptAccepted(seen.askedAt);
    if (notice.isLeaving)
        applyLeaving(*server, context);
}

/// Applies a server's request to be sent nothing for a time.
void RelayReducer::applyBackoff(FleetServer& server, const event::ServerNoticeSeen& seen, Context& context)
{
    const Duration retryAfter = *seen.notice.retryAfter;
    server.backoff.requested(retryAfter, seen.askedAt, context.now, context.entropy);
    const Duration remaining = std::max(Duration(0), server.backoff.endsAt() - context.now);
    context.effects.emplace_back(effect::LogServerBackoff { server.entry.id, retryAfter, remaining });
    withdrawUnsentAttempts(server.entry.id, context);
}

/// Cancels the attempts at a server that are still connecting, and starts others in their place. The server has
/// received nothing of them, so they count against no limit.
void RelayReducer::withdrawUnsentAttempts(const BackendId& server, Context& context)
{
    std::vector<RequestId> calls;
    for (const auto& [id, call] : m_calls) {
        const auto isUnsent = [&](const Attempt& attempt) { return attempt.server == server && !attempt.wasSent; };
        if (call.state == CallState::Running && (isUnsent(call.main) || (call.second && isUnsent(*call.second))))
            calls.push_back(id);
    }
    for (const RequestId& id : calls) {
        Call& call = m_calls.at(id);
        const bool withdrawsSecond = call.second && call.second->server == server && !call.second->wasSent;
        const Attempt withdrawn = withdrawsSecond ? *call.second : call.main;
        ++m_counters.attemptsWithdrawn;
        context.effects.emplace_back(effect::CancelAttempt { withdrawn.id, CancelCause::Backoff });
        release(call, withdrawn, context);
        if (withdrawsSecond || call.hasPartialAnswer)
            budgetOf(call.service).refund();
        if (call.second) {
            if (!withdrawsSecond)
                call.main = *call.second;
            endSecondAttempt(call, context);
        } else if (call.hasPartialAnswer) {
            interrupt(call, Reason::RefusedByBackend, context);
        } else {
            requeue(call, context);
        }
    }
}

/// Applies a server's statement that it will exit.
void RelayReducer::applyLeaving(FleetServer& server, Context& context)
{
    if (std::exchange(server.hasAnnouncedLeaving, true))
        return;
    ++m_counters.leavesAnnounced;
    context.effects.emplace_back(effect::LogServerState {
        effect::LogServerState::ServerStateChange::AnnouncedLeaving, server.entry.id, server.entry.startedAt });
    if (&server == m_fleet.find(server.entry.id))
        registerServer(RegisteredServer(server.entry), context);
}

} // namespace crocusmount::relay
