// How RelayReducer finds out whether a stream is complete whose end proves nothing.
//
// A stream without length ends with its connection. If it ends between two events, its server may have finished the
// answer or died: the connections of a process that dies are closed in order, too. The caller has all events by then,
// so only the end of the answer waits for a sign that the server is alive. A second attempt may run meanwhile.

#include "relay/RelayReducer.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// An answer that a busy server begins within this time proves that it is alive, so no check is sent before.
    constexpr Duration CheckDelay = std::chrono::milliseconds(40);
    /// Longest time that the end of an answer waits for a sign of life.
    constexpr Duration MaxEndWait = std::chrono::milliseconds(500);
    /// Added for a check that is under way then. Checks end earlier, answered or not.
    constexpr Duration MaxCheckTime = std::chrono::milliseconds(300);
    /// Bytes that a process sent before it died may arrive for as long as TCP repeats lost packets. An event later than
    /// this after the end shows that the process lives.
    constexpr Duration ProgressMargin = std::chrono::milliseconds(250);

} // namespace

/// Keeps a call open until it is known whether its main attempt, which has ended, has answered it completely.
void RelayReducer::awaitEndProof(Call& call, Context& context)
{
    const Attempt& attempt = call.main;
    UnprovenEnd end { context.now, std::min(context.now + MaxEndWait, call.deadline), { attempt.server } };
    // A first stage cuts streams off that have waited too long for a stage that died.
    const bool wasPaused = isPause(call, context.now - call.lastDeliveredAt) || !attempt.pendingReroute.hops().empty();
    bool hasDied = attempt.hasLostStage || hasLostServer(attempt);
    for (const Hop& hop : attempt.chain.hops()) {
        hasDied = hasDied || (isGone(hop.backend) && !mayFinishCalls(hop.backend));
        if (wasPaused && hop.backend != attempt.server)
            end.unverified.push_back(hop.backend);
    }
    call.main.unprovenEnd = std::move(end);
    if (hasDied)
        settleEnd(call.id, EndVerdict::BrokenOff, context);
}

/// Checks each server that an unproven end depends on, again if it did not answer. A check that was sent before the end
/// does not count.
void RelayReducer::checkUnverified(const UnprovenEnd& end, Context& context)
{
    if (context.now < end.endedAt + CheckDelay)
        return;
    for (const BackendId& id : end.unverified) {
        FleetServer* server = m_fleet.find(id);
        if (!server || (server->lastCheckAt >= end.endedAt && !server->unansweredChecks))
            continue;
        if (server->isEngine())
            checkUrgently(*server, context);
        else
            probe(*server, context);
    }
}

/// Settles the unproven ends that wait for a server.
/// @param askedAt  when the server was sent what it has answered now, or has not
void RelayReducer::settleUnprovenEnds(const BackendId& id, TimePoint askedAt, LifeSign sign, Context& context)
{
    std::vector<std::pair<RequestId, EndVerdict>> settled;
    for (auto& [call, each] : m_calls) {
        if (each.state != CallState::Running || !each.main.unprovenEnd)
            continue;
        UnprovenEnd& end = *each.main.unprovenEnd;
        const auto waiting = std::find(end.unverified.begin(), end.unverified.end(), id);
        if (askedAt < end.endedAt || waiting == end.unverified.end())
            continue;
        if (sign == LifeSign::Alive) {
            end.unverified.erase(waiting);
            if (end.unverified.empty())
                settled.emplace_back(call, EndVerdict::Verified);
            continue;
        }
        // A busy server may miss a check, and a leaving one stops listening before its answers have ended. An answer
        // that cannot be continued elsewhere waits for another sign.
        const bool mayLive = sign == LifeSign::Silent || mayFinishCalls(id);
        if (!mayLive || isRepeatable(each.route->kind))
            settled.emplace_back(call, EndVerdict::BrokenOff);
    }
    for (const auto& [call, verdict] : settled)
        settleEnd(call, verdict, context);
}

/// Settles the unproven ends that have waited too long, or whose servers have sent later events, and sends checks that
/// are due. Without a sign of life the answer counts as broken off.
void RelayReducer::settleOverdueEnds(Context& context)
{
    std::vector<std::pair<RequestId, EndVerdict>> due;
    for (auto& [id, call] : m_calls) {
        if (call.state != CallState::Running || !call.main.unprovenEnd)
            continue;
        UnprovenEnd& end = *call.main.unprovenEnd;
        checkUnverified(end, context);
        bool isCheckUnderWay = false;
        std::erase_if(end.unverified, [&](const BackendId& each) {
            const FleetServer* server = m_fleet.find(each);
            isCheckUnderWay = isCheckUnderWay || (server && server->beingChecked);
            return server && server->lastProgress > end.endedAt + ProgressMargin;
        });
        const TimePoint decideBy = end.decideBy + (isCheckUnderWay ? MaxCheckTime : Duration(0));
        if (end.unverified.empty())
            due.emplace_back(id, EndVerdict::Verified);
        else if (context.now >= std::min(decideBy, call.deadline))
            due.emplace_back(id, EndVerdict::BrokenOff);
    }
    for (const auto& [id, verdict] : due)
        settleEnd(id, verdict, context);
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
    context.effects.emplace_back(effect::LogEndVerdict { id, call.main.server, verdict });
    if (verdict == EndVerdict::BrokenOff) {
        on(event::AttemptEnded { call.main.id, AttemptResult::Broken }, context);
        return;
    }
    context.effects.emplace_back(effect::CompleteAnswer { id });
    keepOnly(call, call.main.id, context);
    completeCall(call, context);
}

} // namespace crocusmount::relay
