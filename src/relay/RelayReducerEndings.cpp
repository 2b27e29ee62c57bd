// How RelayReducer finds out whether a stream is complete whose end proves nothing.
//
// A stream without length ends with its connection. If it ends between two events, its server may have finished the
// answer or died: the connections of a process that dies are closed in order, too. The caller has all events by then,
// so only the end of the answer waits for a sign that the server is alive. A second attempt may run meanwhile.

#include "relay/RelayReducer.h"

#include <algorithm>
#include <tuple>

namespace crocusmount::relay {

namespace {

    /// An answer that a busy server begins within this time proves that it is alive, so no check is sent before.
    constexpr Duration CheckDelay = std::chrono::milliseconds(40);
    /// How long a call that may be repeated waits for a sign of life before it is also sent to another server.
    constexpr Duration ContinueDelay = std::chrono::milliseconds(500);
    /// Added for a check that is under way then. Checks end earlier, answered or not.
    constexpr Duration MaxCheckTime = std::chrono::milliseconds(300);
    /// Time between two searches for another server.
    constexpr Duration ContinueInterval = std::chrono::milliseconds(100);
    /// Time between two checks of a server that does not answer. It grows with the wait, between these bounds.
    constexpr Duration MinCheckInterval = std::chrono::milliseconds(100);
    constexpr Duration MaxCheckInterval = std::chrono::milliseconds(1000);
    constexpr int CheckIntervalDivisor = 4;
    /// Bytes that a process sent before it died may arrive for as long as TCP repeats lost packets. An event later than
    /// this after the end shows that the process lives.
    constexpr Duration ProgressMargin = std::chrono::milliseconds(250);

} // namespace

/// Keeps a call open until it is known whether its main attempt, which has ended, has answered it completely: until a
/// sign of life or a proof that the server has ended, until the caller leaves or the deadline passes. A call that may
/// be repeated is continued elsewhere meanwhile, and ends with what comes first.
void RelayReducer::awaitEndProof(Call& call, Context& context)
{
    const Attempt& attempt = call.main;
    UnprovenEnd end { context.now, context.now + ContinueDelay, { { attempt.server, attempt.serverStart } } };
    // A first stage cuts streams off that have waited too long for a stage that died.
    const bool wasPaused = isPause(call, context.now - call.lastDeliveredAt) || !attempt.pendingReroute.hops().empty();
    const auto startOf = [&](const BackendId& id) {
        const FleetServer* server = m_fleet.find(id);
        return server ? server->entry.startedAt : StartTime();
    };
    bool hasDied = attempt.hasLostStage || hasLostServer(attempt);
    for (const Hop& hop : attempt.chain.hops()) {
        hasDied = hasDied || (isGone(hop.backend) && !mayFinishCalls(hop.backend));
        if (wasPaused && hop.backend != attempt.server)
            end.unverified.push_back({ hop.backend, startOf(hop.backend) });
    }
    call.main.unprovenEnd = std::move(end);
    if (hasDied)
        settleEnd(call.id, EndVerdict::BrokenOff, EndProof::LostStage, context);
}

/// Makes the second attempt, which has ended unproven, too, the one that a sign of life completes. Its server was alive
/// after the first one had become silent.
void RelayReducer::replaceUnproven(Call& call, Context& context)
{
    noteVerdict(call, EndVerdict::Undecided, EndProof::None, context);
    const Attempt replaced = std::exchange(call.main, *call.second);
    call.second.reset();
    cancel(call, replaced, CancelCause::Superseded, context);
}

/// Checks each server that an unproven end depends on, again if it did not answer. A check that was sent before the end
/// does not count.
void RelayReducer::checkUnverified(const UnprovenEnd& end, Context& context)
{
    const Duration waited = context.now - end.endedAt;
    if (waited < CheckDelay)
        return;
    const Duration interval = std::clamp(waited / CheckIntervalDivisor, MinCheckInterval, MaxCheckInterval);
    for (const UnverifiedServer& each : end.unverified) {
        FleetServer* server = m_fleet.find(each.id);
        if (!server || (server->lastCheckAt >= end.endedAt && context.now < server->lastCheckAt + interval))
            continue;
        requestLifeSign(*server, each.start, context);
    }
}

/// Asks a server for an answer that shows which server gave it. The report of an engine names its start at most, and
/// its successor answers at the same address, so that engines without start times are probed for their id.
/// @param start  that the answer is needed of; zero if the server's id is used for one start only
void RelayReducer::requestLifeSign(FleetServer& server, StartTime start, Context& context)
{
    const bool suffices = start.value() || !canProbe(server) || m_options.without.has(Mechanism::EngineChecks);
    if (server.isEngine() && suffices)
        checkUrgently(server, context);
    else
        probe(server, context);
}

/// Settles the unproven ends that wait for a server.
/// @param askedAt   when the server was sent what it has answered now, or has not
/// @param answered  the call that it has answered, if any: what follows shows whether its answer was complete
void RelayReducer::settleUnprovenEnds(
    const BackendId& id, TimePoint askedAt, const LifeEvidence& evidence, Context& context, RequestId answered)
{
    std::vector<std::pair<RequestId, EndVerdict>> settled;
    for (auto& [call, each] : m_calls) {
        if (each.state != CallState::Running || !each.main.unprovenEnd || call == answered)
            continue;
        UnprovenEnd& end = *each.main.unprovenEnd;
        const auto waiting = std::find_if(
            end.unverified.begin(), end.unverified.end(), [&](const auto& server) { return server.id == id; });
        if (askedAt < end.endedAt || waiting == end.unverified.end())
            continue;
        if (evidence.sign == LifeSign::Alive) {
            // Another start, or another server at the address, may have begun after the end.
            if (!evidence.identifies(waiting->start))
                continue;
            end.unverified.erase(waiting);
            if (end.unverified.empty())
                settled.emplace_back(call, EndVerdict::Verified);
            continue;
        }
        // A busy server may miss a check, and a leaving one stops listening before its answers have ended.
        const bool mayLive
            = evidence.sign == LifeSign::Silent || (evidence.sign == LifeSign::Ended && mayFinishCalls(id));
        if (!mayLive) {
            settled.emplace_back(call, EndVerdict::BrokenOff);
            continue;
        }
        end.continueFrom = std::min(end.continueFrom, context.now);
        continueBeside(each, context);
    }
    for (const auto& [call, verdict] : settled)
        settleEnd(call, verdict, evidence.proof, context);
}

/// Continues a call with an unproven end at another server, if it may be repeated, while the end still waits for a sign
/// of life.
void RelayReducer::continueBeside(Call& call, Context& context)
{
    UnprovenEnd& end = *call.main.unprovenEnd;
    if (call.second || context.now < end.continueFrom || !isRepeatable(call.route->kind))
        return;
    end.continueFrom = context.now + ContinueInterval;
    for (const UnverifiedServer& each : end.unverified)
        call.addAvoided(each.id);
    startSecondAttempt(call, AttemptPurpose::UnprovenEnd, context);
}

/// @return whether an event of another answer arrived so late that the server was alive after the answer's end.
///
/// The server itself sends the answers of which it is the first stage. Where it starts again under its id, such an
/// answer must have begun before the end. So must one of which it is a later stage, as its successor at the address may
/// run others, and that answer must never have been rerouted: an order without an answer may be carried out.
bool RelayReducer::hasProgressed(const UnverifiedServer& server, const UnprovenEnd& end) const
{
    if (!m_fleet.servers().count(server.id))
        return false;
    return std::any_of(m_calls.begin(), m_calls.end(), [&](const auto& each) {
        const Call& call = each.second;
        const Attempt& attempt = call.main;
        if (call.state != CallState::Running || !attempt.eventsDelivered
            || call.lastDeliveredAt <= end.endedAt + ProgressMargin)
            return false;
        const bool hasBegunBefore = attempt.answerBegunAt.value_or(attempt.startedAt) + ProgressMargin < end.endedAt;
        if (attempt.server == server.id)
            return hasBegunBefore || !server.start.value();
        return hasBegunBefore && attempt.chain.contains(server.id) && !attempt.rerouteCount;
    });
}

/// Sends checks that are due for unproven ends, settles those whose servers have sent later events or have started
/// again, and continues calls elsewhere whose servers have been silent for long.
void RelayReducer::settleOverdueEnds(Context& context)
{
    std::vector<std::tuple<RequestId, EndVerdict, EndProof>> settled;
    for (auto& [id, call] : m_calls) {
        if (call.state != CallState::Running || !call.main.unprovenEnd)
            continue;
        UnprovenEnd& end = *call.main.unprovenEnd;
        checkUnverified(end, context);
        bool isCheckUnderWay = false;
        bool hasEnded = false;
        std::erase_if(end.unverified, [&](const UnverifiedServer& each) {
            const FleetServer* server = m_fleet.find(each.id);
            isCheckUnderWay = isCheckUnderWay || (server && server->beingChecked);
            hasEnded = hasEnded || (server && each.start.value() && each.start < server->entry.startedAt);
            return hasProgressed(each, end);
        });
        if (hasEnded)
            settled.emplace_back(id, EndVerdict::BrokenOff, EndProof::LaterStart);
        else if (end.unverified.empty())
            settled.emplace_back(id, EndVerdict::Verified, EndProof::LaterEvent);
        else if (!isCheckUnderWay || context.now >= end.endedAt + ContinueDelay + MaxCheckTime)
            continueBeside(call, context);
    }
    for (const auto& [id, verdict, proof] : settled)
        settleEnd(id, verdict, proof, context);
}

/// Counts and logs what was found out about the end of the main attempt, which then waits for nothing more.
void RelayReducer::noteVerdict(Call& call, EndVerdict verdict, EndProof proof, Context& context)
{
    ++m_counters.unprovenEnds.at(static_cast<std::size_t>(verdict));
    call.main.unprovenEnd.reset();
    context.effects.emplace_back(effect::LogEndVerdict { call.id, call.main.server, verdict, proof });
}

/// Ends a call whose main attempt has ended unproven as complete, or continues it as after any broken attempt.
void RelayReducer::settleEnd(RequestId id, EndVerdict verdict, EndProof proof, Context& context)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end() || !found->second.main.unprovenEnd)
        return;
    Call& call = found->second;
    noteVerdict(call, verdict, proof, context);
    if (verdict == EndVerdict::BrokenOff) {
        on(event::AttemptEnded { call.main.id, AttemptResult::Broken }, context);
        return;
    }
    context.effects.emplace_back(effect::CompleteAnswer { id });
    keepOnly(call, call.main.id, context);
    completeCall(call, context);
}

} // namespace crocusmount::relay
