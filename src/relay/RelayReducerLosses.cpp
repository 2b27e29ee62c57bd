// How RelayReducer finds engines that were lost together, and moves streams off them.
//
// Load pattern: three engines of a rack end without a word while several hundred streams pass through them. Streams
// that move off the first one that is found meet the next.

#include "relay/RelayReducer.h"
#include "relay/SilenceEvidence.h"
#include "relay/Spread.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusmount::relay {

namespace {

    /// An engine is assumed to be alive for this long after the last event through it.
    constexpr Duration AssumedAliveAfterEvent = std::chrono::milliseconds(100);
    /// For this time after the failure of one engine, others are suspected of having failed with it. By its end the
    /// calls through each failed engine have noticed its silence, and all instances have been told.
    constexpr Duration GroupFailureWindow = std::chrono::milliseconds(500);
    /// Longest time that a call waits for a stage to answer a check. A stage that has not answered by then has missed
    /// it.
    constexpr Duration MaxCheckWait = std::chrono::milliseconds(100);
    /// How long a suspected engine is avoided by new chains: until the check that it may be sent has failed, and its
    /// result has reached all instances.
    constexpr Duration SuspicionAvoidance = std::chrono::milliseconds(150);
    /// How long the stages of a chain for which an engine had no room are avoided. A few streams usually end within
    /// this time.
    constexpr Duration NoRoomAvoidance = std::chrono::milliseconds(250);
    /// HTTP status of a first stage that did not continue a stream over a chain because of one of its stages.
    constexpr unsigned Conflict = 409;

} // namespace

/// Checks engines that may have failed together with another one, as when a rack or a switch fails. A stream that moves
/// on before such failures are known reaches the next dead stage, and fails after three of them.
///
/// Engines that run calls of this instance are checked at once, and others only when a call would go there. If every
/// instance checked all engines, healthy ones would be busy with connections and be taken for dead.
///
/// @param isCertain  whether the failed engine is known to be dead. If it only did not answer, it may be overloaded
///                   instead, and calls do not wait for checks of other engines.
void RelayReducer::checkEnginesAfterFailure(bool isCertain, Context& context)
{
    if (isCertain)
        m_lastCertainFailureAt = context.now;
    if (!isCertain && findsGroupLosses()) {
        searchLosses(context);
        return;
    }
    for (const auto& [id, server] : m_fleet.servers()) {
        if (server.ownTokenLayers > 0)
            checkForGroupFailure(*m_fleet.find(id), context);
    }
}

/// Checks an engine urgently, unless an event passed through it recently or it is already known to be dead.
void RelayReducer::checkForGroupFailure(FleetServer& server, Context& context)
{
    if (server.lastProgress + AssumedAliveAfterEvent > context.now || server.isDead(context.now))
        return;
    server.groupCheckedAt = context.now;
    checkUrgently(server, context);
}

/// Checks the stages of a chain that may have failed together with another engine, see checkEnginesAfterFailure.
/// @return whether a stage has yet to answer such a check
bool RelayReducer::awaitsCheck(const Chain& chain, Context& context)
{
    const bool isWithinWindow = m_lastCertainFailureAt && context.now < *m_lastCertainFailureAt + GroupFailureWindow;
    bool isCheckPending = false;
    for (const Hop& hop : chain.hops()) {
        FleetServer* server = m_fleet.find(hop.backend);
        if (!server)
            continue;
        const bool isKnownSinceFailure
            = std::max(server->lastCheckAt, server->listedAt) >= m_lastCertainFailureAt.value_or(context.now);
        if (isWithinWindow && !isKnownSinceFailure)
            checkForGroupFailure(*server, context);
        const bool isSuspected = context.now < server->groupCheckedAt + MaxCheckWait
            || (m_suspects.contains(hop.backend) && context.now < server->lastCheckAt + MaxCheckWait);
        isCheckPending = isCheckPending || (server->beingChecked && isSuspected);
    }
    return isCheckPending;
}

/// Marks an engine as dead if another instance found it dead and a stream of this instance is silent there. Without
/// such a stream the engine is checked.
void RelayReducer::on(const event::EnginesReportedDead& reported, Context& context)
{
    bool hasConfirmed = false;
    for (const auto& [id, server] : m_fleet.servers()) {
        const auto& keys = reported.engines;
        if (server.isDead(context.now) || std::find(keys.begin(), keys.end(), server.othersLoad.engine) == keys.end())
            continue;
        if (!hasSilentStreamThrough(id, context.now)) {
            checkUrgently(*m_fleet.find(id), context);
            continue;
        }
        hasConfirmed = true;
        m_fleet.recordReportedDead(id, context.now);
        context.effects.emplace_back(effect::LogServerState {
            effect::LogServerState::ServerStateChange::ReportedDead, id, server.entry.startedAt });
        abandonDeadEngine(id, context);
    }
    if (hasConfirmed)
        searchLosses(context);
}

/// @return whether a running stream of this instance uses the engine and is silent
bool RelayReducer::hasSilentStreamThrough(const BackendId& engine, TimePoint now) const
{
    return std::any_of(m_calls.begin(), m_calls.end(), [&](const auto& each) {
        const Call& call = each.second;
        return call.state == CallState::Running && isStream(call.route->kind) && call.main.chain.contains(engine)
            && isSilent(call, now);
    });
}

/// Moves all silent streams that may be repeated off a dead engine.
void RelayReducer::abandonDeadEngine(const BackendId& engine, Context& context)
{
    for (auto& [id, call] : m_calls) {
        const bool isMovable
            = call.state == CallState::Running && !call.second && call.main.pendingReroute.hops().empty();
        if (isMovable && isRepeatable(call.route->kind) && call.main.chain.contains(engine)
            && isSilent(call, context.now))
            abandonStages(call, { engine }, context);
    }
}

bool RelayReducer::findsGroupLosses() const
{
    return !m_options.without.has(Mechanism::GroupLosses) && !m_options.without.has(Mechanism::EngineChecks);
}

/// @return what the silence of a stream says about its stages. A stream without an event since its start or its last
///         reroute waits for engines to read its prompt.
StreamSilence RelayReducer::silenceOf(const Call& call, TimePoint now)
{
    if (call.main.answerHeldUntil || call.main.unprovenEnd)
        return StreamSilence::Progressing;
    const Duration since = now - call.lastProgress;
    if (!call.main.eventsDelivered || call.lastProgress > call.lastDeliveredAt)
        return since > firstEventSilence(call) ? StreamSilence::Silent : StreamSilence::Progressing;
    return SilenceEvidence::classify(since, call.meanEventGap);
}

/// Checks the engines that explain best why streams of this instance are silent, without the streams that pass through
/// an engine already known to be dead. Suspected engines get no new streams until they are cleared.
void RelayReducer::searchLosses(Context& context)
{
    m_suspects.clear();
    if (!findsGroupLosses() || isCutOff())
        return;
    SilenceEvidence evidence;
    std::vector<const Call*> progressing;
    for (const auto& [id, call] : m_calls) {
        if (call.state != CallState::Running || !isStream(call.route->kind) || !call.main.pendingReroute.hops().empty())
            continue;
        const StreamSilence silence = silenceOf(call, context.now);
        if (silence == StreamSilence::Progressing)
            progressing.push_back(&call);
        else if (!call.main.hasLostStage)
            addSilentStream(evidence, call, silence, context.now);
    }
    if (evidence.isEmpty())
        return;
    for (const Call* call : progressing) {
        for (const Hop& hop : call->main.chain.hops())
            evidence.addProgressing(hop.backend);
    }
    for (const SilenceSuspect& suspect : evidence.explain(context.entropy)) {
        FleetServer* server = m_fleet.find(suspect.engine);
        if (!server)
            continue;
        // The stages of a single stream may all be sound, so other streams still use them.
        if (suspect.isStrong && suspect.silentStreams + suspect.overdueStreams > 1) {
            m_suspects.insert(suspect.engine);
            server->avoidUntil = std::max(server->avoidUntil, context.now + SuspicionAvoidance);
        }
        if (suspect.isStrong || suspect.silentStreams)
            checkSuspect(*server, suspect, context);
    }
}

void RelayReducer::addSilentStream(SilenceEvidence& evidence, const Call& call, StreamSilence silence, TimePoint now)
{
    std::vector<SilenceEvidence::Stage> stages;
    for (const Hop& hop : call.main.chain.hops()) {
        const FleetServer* server = m_fleet.find(hop.backend);
        if (!server)
            continue;
        if (server->isDead(now) || server->refusedCheck)
            return;
        stages.push_back({ hop.backend, server->lastAliveAt });
    }
    evidence.addSilent(stages, call.lastProgress, call.meanEventGap, silence, now);
}

/// @return the number of instances that may suspect an engine at this moment: those with a stream through it
/// @param ownStreams  streams of this instance through it
double RelayReducer::estimatedUsers(const FleetServer& server, std::uint32_t ownStreams) const
{
    const double instances = m_placer.instances();
    if (!m_fleet.knowsOthersLoad() || !ownStreams || server.ownTokenLayers <= 0)
        return instances;
    const double othersStreams = server.othersLoad.tokenLayers * ownStreams / server.ownTokenLayers;
    // Streams fall to instances at random, so some instances have several.
    return std::max(1.0, instances * (1 - std::exp(-(ownStreams + othersStreams) / instances)));
}

/// Checks a suspected engine, or leaves the check to one of the other instances that suspect it.
void RelayReducer::checkSuspect(FleetServer& server, const SilenceSuspect& suspect, Context& context)
{
    const std::uint32_t ownStreams = suspect.silentStreams + suspect.overdueStreams + suspect.progressingStreams;
    const double users = estimatedUsers(server, ownStreams);
    if (!drawsCheck(server, EngineCheckBudget::suspectCheckChance(users), context))
        return;
    if (!(suspect.isStrong ? m_checkBudget.spendByEvidence() : m_checkBudget.spend())) {
        ++m_counters.evidenceChecksDenied;
        return;
    }
    ++m_counters.evidenceChecks;
    context.effects.emplace_back(effect::LogSuspicion { suspect.engine, suspect.silentStreams, suspect.overdueStreams,
        suspect.progressingStreams, suspect.longestSilence, context.now - server.lastAliveAt, users });
    sendCheck(server, context);
}

/// Decides at random whether this instance is one of those that check an engine now. Each instance draws at most once
/// in a window, so that the instances together keep within EngineCheckBudget::MaxChecksPerWindow.
/// @param chance  of this instance
bool RelayReducer::drawsCheck(FleetServer& server, double chance, Context& context) const
{
    const TimePoint nextDraw = std::max(server.checkDrawnAt, server.lastCheckAt) + EngineCheckBudget::CheckWindow;
    if (context.now < nextDraw || !mayCheck(server))
        return false;
    server.checkDrawnAt = context.now;
    return uniformFraction(context.entropy, server.othersLoad.engine) < chance;
}

void RelayReducer::on(const event::RerouteAnswered& answered, Context& context)
{
    Call* call = findByAttempt(answered.attempt);
    if (!call)
        return;
    Attempt& attempt = call->attempt(answered.attempt);
    if (attempt.pendingReroute.hops().empty())
        return;
    if (!answered.accepted)
        ++m_counters.reroutesRefused;
    m_fleet.unbook(answered.accepted ? attempt.chain : attempt.pendingReroute, call->tokens);
    const Chain ordered = std::exchange(attempt.pendingReroute, Chain());
    if (answered.accepted) {
        attempt.chain = ordered;
        attempt.hasLostStage = hasEndedStage(attempt.chain);
    } else if (findsGroupLosses()) {
        recordRefusedReroute(*call, attempt, ordered, answered, context);
        if (rerouteAgain(*call, attempt, answered, context))
            return;
    }
    const bool canContinue = answered.accepted || !attempt.hasLostStage || call->second || call->main.unprovenEnd;
    if (!canContinue)
        replaceOrEndAttempt(*call, context);
}

/// Applies what the refusal of a reroute says about its stages to all calls of this instance.
void RelayReducer::recordRefusedReroute(const Call& call, const Attempt& attempt, const Chain& ordered,
    const event::RerouteAnswered& refusal, Context& context)
{
    FleetServer* named = refusal.culprit.empty() ? nullptr : m_fleet.findByAddress(refusal.culprit);
    if (named) {
        recordNamedStage(*named, call, attempt.server, context);
        return;
    }
    if (refusal.status != Conflict)
        return;
    for (const Hop& hop : ordered.hops()) {
        FleetServer* server = attempt.chain.contains(hop.backend) ? nullptr : m_fleet.find(hop.backend);
        if (server)
            server->avoidUntil = std::max(server->avoidUntil, context.now + NoRoomAvoidance);
    }
}

/// Avoids and checks a stage that a first stage says is not there. If others say so, too, it counts as dead.
void RelayReducer::recordNamedStage(FleetServer& stage, const Call& call, const BackendId& firstStage, Context& context)
{
    ++m_counters.reroutesRefusedByNamedStage;
    const BackendId id = stage.entry.id;
    m_namedStages.record(id, firstStage, call.id, context.now);
    stage.avoidUntil = std::max(stage.avoidUntil, context.now + SuspicionAvoidance);
    if (stage.isDead(context.now))
        return;
    if (!m_namedStages.isConfirmed(id, context.now)) {
        SilenceSuspect suspect { id, 1 };
        suspect.longestSilence = context.now - call.lastDeliveredAt;
        suspect.isStrong = true;
        checkSuspect(stage, suspect, context);
        return;
    }
    if (isPathInDoubt() || !hasSilentStreamThrough(id, context.now))
        return;
    m_fleet.recordReportedDead(id, context.now);
    context.effects.emplace_back(
        effect::LogServerState { effect::LogServerState::ServerStateChange::ReportedDead, id, stage.entry.startedAt });
    if (!m_options.without.has(Mechanism::DeadReports))
        context.effects.emplace_back(effect::ReportEngineState { id, stage.entry.startedAt });
    abandonDeadEngine(id, context);
    searchLosses(context);
}

/// Continues a stream whose reroute was refused because of a named stage, at once and over other stages.
/// @return whether the stream has been handled
bool RelayReducer::rerouteAgain(
    Call& call, const Attempt& attempt, const event::RerouteAnswered& refusal, Context& context)
{
    const bool isMain = call.main.id == attempt.id && !call.second && !call.main.unprovenEnd;
    if (refusal.culprit.empty() || !isMain || !isRepeatable(call.route->kind))
        return false;
    if (!attempt.pendingReroute.hops().empty())
        return true; // Ordered while the named stage was recorded.
    // A stream that leaves a stage by plan still progresses there.
    if (!attempt.hasLostStage && !isPause(call, context.now - call.lastDeliveredAt))
        return false;
    std::vector<BackendId> left;
    for (const Hop& hop : attempt.chain.hops()) {
        const auto& avoided = call.avoidedServers;
        if (std::find(avoided.begin(), avoided.end(), hop.backend) != avoided.end())
            left.push_back(hop.backend);
    }
    if (const FleetServer* named = m_fleet.findByAddress(refusal.culprit)) {
        call.addAvoided(named->entry.id);
        left.push_back(named->entry.id);
    }
    if (reroute(call, left, context) != MoveResult::Impossible)
        return true;
    return !attempt.hasLostStage && startSecondAttempt(call, AttemptPurpose::Stalled, context);
}

} // namespace crocusmount::relay
