// How RelayReducer finds out whether a stream is complete whose end proves nothing.
//
// A stream without length ends with its connection. If it ends between two events, its server may have finished the
// answer or died: the connections of a process that dies are closed in order, too. The caller has all events by then,
// so only the end of the answer waits for a check of the server.

#include "relay/RelayReducer.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Longest time that the end of an answer waits for checks. Engines answer within a few milliseconds, and a check
    /// that is not answered ends earlier.
    constexpr Duration MaxEndWait = std::chrono::milliseconds(500);

} // namespace

/// Keeps a call open until it is known whether its main attempt, which has ended, has answered it completely.
void RelayReducer::awaitEndProof(Call& call, Context& context)
{
    UnprovenEnd end { context.now, context.now + MaxEndWait, { call.main.server } };
    // A first stage cuts streams off that have waited too long for a stage that died.
    if (isSilent(call, context.now)) {
        for (const Hop& hop : call.main.chain.hops()) {
            if (hop.backend != call.main.server)
                end.unverified.push_back(hop.backend);
        }
    }
    const bool hasDied = std::any_of(end.unverified.begin(), end.unverified.end(),
        [&](const BackendId& id) { return isGone(id) && !mayFinishCalls(id); });
    const bool canCheck = std::any_of(
        end.unverified.begin(), end.unverified.end(), [&](const BackendId& id) { return isCheckable(id); });
    call.main.unprovenEnd = std::move(end);
    if (hasDied || hasLostServer(call.main))
        settleEnd(call.id, EndVerdict::ServerDied, context);
    else if (!canCheck)
        settleEnd(call.id, EndVerdict::Unverified, context);
    else
        checkUnverified(*call.main.unprovenEnd, context);
}

/// @return whether checks of a server are answered in general
bool RelayReducer::isCheckable(const BackendId& id)
{
    const FleetServer* server = m_fleet.find(id);
    return server && server->isEngine() && !m_options.without.has(Mechanism::EngineChecks);
}

/// Checks each server that an unproven end depends on. A check that was sent before the end does not count.
void RelayReducer::checkUnverified(const UnprovenEnd& end, Context& context)
{
    for (const BackendId& id : end.unverified) {
        FleetServer* server = m_fleet.find(id);
        if (server && server->lastCheckAt < end.endedAt)
            checkUrgently(*server, context);
    }
}

/// Settles the unproven ends that wait for a server.
/// @param isAlive  whether the server has answered the latest check
void RelayReducer::settleUnprovenEnds(const BackendId& id, bool isAlive, Context& context)
{
    const FleetServer* server = m_fleet.find(id);
    if (!server)
        return;
    const bool hasDied = !isAlive && !mayFinishCalls(id);
    std::vector<RequestId> settled;
    for (auto& [call, each] : m_calls) {
        if (each.state != CallState::Running || !each.main.unprovenEnd)
            continue;
        UnprovenEnd& end = *each.main.unprovenEnd;
        const bool waited = server->lastCheckAt >= end.endedAt && std::erase(end.unverified, id);
        if (waited && (hasDied || end.unverified.empty()))
            settled.push_back(call);
    }
    const EndVerdict aliveVerdict = isAlive ? EndVerdict::Verified : EndVerdict::Unverified;
    for (const RequestId& call : settled)
        settleEnd(call, hasDied ? EndVerdict::ServerDied : aliveVerdict, context);
}

/// Settles the unproven ends whose checks took too long, and repeats checks that could not be sent before.
void RelayReducer::settleOverdueEnds(Context& context)
{
    std::vector<RequestId> due;
    for (const auto& [id, call] : m_calls) {
        if (call.state != CallState::Running || !call.main.unprovenEnd)
            continue;
        checkUnverified(*call.main.unprovenEnd, context);
        if (context.now >= call.main.unprovenEnd->decideBy)
            due.push_back(id);
    }
    for (const RequestId& id : due) {
        const auto call = m_calls.find(id);
        if (call == m_calls.end() || !call->second.main.unprovenEnd)
            continue;
        const UnprovenEnd& end = *call->second.main.unprovenEnd;
        const bool isUnanswered = std::any_of(end.unverified.begin(), end.unverified.end(), [&](const BackendId& each) {
            const FleetServer* server = m_fleet.find(each);
            return server && server->lastCheckAt >= end.endedAt;
        });
        settleEnd(id, isUnanswered ? EndVerdict::ServerDied : EndVerdict::Unverified, context);
    }
}

/// Ends a call whose main attempt has ended unproven as complete, or continues it as after any broken attempt.
void RelayReducer::settleEnd(RequestId id, EndVerdict verdict, Context& context)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end() || !found->second.main.unprovenEnd)
        return;
    Call& call = found->second;
    ++m_counters.unprovenEnds.at(static_cast<std::size_t>(verdict));
    call.main.unprovenEnd.reset();
    if (verdict == EndVerdict::ServerDied) {
        on(event::AttemptEnded { call.main.id, AttemptResult::Broken }, context);
        return;
    }
    context.effects.emplace_back(effect::CompleteAnswer { call.id, verdict });
    completeCall(call, context);
}

} // namespace crocusmount::relay
