// How RelayReducer checks engines, and how it reacts to dead, slow and closed ones.
//
// Load pattern: an engine stops answering while dozens of streams pass through it. If each stream waited for its own
// stall timeout, callers would time out first, and new calls would keep arriving at the engine. A check of the few
// stages that a silent stream depends on tells a dead engine from a busy one within milliseconds.

#include "relay/RelayReducer.h"
#include "relay/ScaledDuration.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// A stream is silent after this multiple of its mean event gap. Few healthy streams have a gap of twice the mean.
    constexpr double SilentGapFactor = 2.5;
    /// Shortest time without an event that counts as silence. The reducer runs every 20 ms.
    constexpr Duration MinSilence = std::chrono::milliseconds(60);
    /// Share of the route's objective after which a stream without a first event is silent. Engines read a prompt in
    /// about 60 ms.
    constexpr double FirstEventSilenceShare = 0.3;
    /// Time between two checks of one engine by this instance if it did not answer the first one, and if it did. An
    /// engine that has just answered is unlikely to be dead.
    constexpr Duration UnansweredCheckInterval = std::chrono::milliseconds(400);
    constexpr Duration AnsweredCheckInterval = std::chrono::milliseconds(1000);
    /// Engines that report a slowness above the threshold are checked again at the interval until they recover.
    constexpr double SlownessRecheckThreshold = 1.5;
    constexpr Duration SlowEngineCheckInterval = std::chrono::milliseconds(1000);
    /// Shortest time between any check of an engine and an urgent one. Engines answer within a few milliseconds.
    constexpr Duration UrgentCheckInterval = std::chrono::milliseconds(100);
    /// Age of the load figures in an engine's answer to a check, which is a few hundred milliseconds. A check that is
    /// sent this long after a rejection returns the load at about the time of the rejection.
    constexpr Duration ReportLag = std::chrono::milliseconds(300);
    /// Below this share of used memory an engine has room for any prompt, so memory is not why it rejects calls.
    constexpr double MaxMemoryShareWithRoom = 0.7;
    /// A dead engine is checked this long before calls would be sent to it again.
    constexpr Duration DeadRecheckLead = std::chrono::milliseconds(200);

} // namespace

/// @return whether a stream has been without an event long enough for its stages to be checked
bool RelayReducer::isSilent(const Call& call, TimePoint now)
{
    return !call.main.answerHeldUntil && !call.main.unprovenEnd && isPause(call, now - call.lastProgress);
}

/// @return whether a stream usually has an event within a shorter time
bool RelayReducer::isPause(const Call& call, Duration sinceProgress)
{
    if (!call.main.eventsDelivered)
        return sinceProgress > firstEventSilence(call);
    return sinceProgress > std::max(MinSilence, scaled(call.meanEventGap, SilentGapFactor));
}

/// @return the time without a first event after which a stream counts as silent
Duration RelayReducer::firstEventSilence(const Call& call)
{
    return scaled(call.route->objective, FirstEventSilenceShare);
}

/// Abandons the dead stages of a silent stream. If none is known to be dead, checks its stalled stages, unless
/// searchLosses() does so for all silent streams together.
void RelayReducer::checkSilentStages(Call& call, Context& context)
{
    if (!isStream(call.route->kind) || call.main.chain.hops().empty() || !isSilent(call, context.now))
        return;
    std::vector<BackendId> dead;
    for (const Hop& hop : call.main.chain.hops()) {
        const FleetServer* server = m_fleet.find(hop.backend);
        if (server && server->isDead(context.now))
            dead.push_back(hop.backend);
    }
    if (!dead.empty()) {
        abandonStages(call, dead, context);
        return;
    }
    if (findsGroupLosses())
        return;
    for (const BackendId& stage : stalledStages(call)) {
        if (FleetServer* server = m_fleet.find(stage))
            checkEngine(*server, context);
    }
}

/// Checks an engine unless it was checked recently or the check budget is spent.
void RelayReducer::checkEngine(FleetServer& server, Context& context)
{
    const Duration interval = server.unansweredChecks ? UnansweredCheckInterval : AnsweredCheckInterval;
    if (context.now >= server.lastCheckAt + interval && mayCheck(server) && m_checkBudget.spend())
        sendCheck(server, context);
}

/// Checks an engine that shows a sign of failure. The shorter interval applies even if it answered the last check.
void RelayReducer::checkUrgently(FleetServer& server, Context& context)
{
    if (context.now >= server.lastCheckAt + UrgentCheckInterval && mayCheck(server) && m_checkBudget.spendUrgent())
        sendCheck(server, context);
}

/// @return whether the server is an engine without a check under way that takes requests, and checks are enabled
bool RelayReducer::mayCheck(const FleetServer& server) const
{
    return server.isEngine() && !server.beingChecked && !server.backoff.isActive(m_now)
        && !m_options.without.has(Mechanism::EngineChecks);
}

void RelayReducer::sendCheck(FleetServer& server, Context& context)
{
    server.beingChecked = true;
    server.lastCheckAt = context.now;
    ++m_counters.engineChecks;
    context.effects.emplace_back(effect::CheckEngine { server.entry.id, server.entry.address, server.entry.startedAt });
}

void RelayReducer::recheckDeadAndSlowEngines(Context& context)
{
    for (const BackendId& id : m_fleet.checkCandidates(context.now)) {
        FleetServer& server = *m_fleet.find(id);
        const bool seemsDead = server.isDead(context.now) || server.refusedCheck;
        const bool isDeadCheckDue = seemsDead && context.now + DeadRecheckLead >= server.deadUntil;
        const bool isSlowCheckDue
            = server.slowness > SlownessRecheckThreshold && context.now >= server.lastCheckAt + SlowEngineCheckInterval;
        if (isDeadCheckDue || isSlowCheckDue)
            checkEngine(server, context);
    }
}

/// Checks engines that other instances avoid because they failed, stalled or were full. Such a report alone marks no
/// engine as dead, because the reporting instance may itself be behind a network partition.
void RelayReducer::checkAvoidedEngines(Context& context)
{
    for (const auto& [id, server] : m_fleet.servers()) {
        if (server.othersLoad.avoiders >= 1 && !server.isDead(context.now))
            checkEngine(*m_fleet.find(id), context);
    }
}

/// Checks the stage that a failed answer names, which may be full or dead. New calls learn at once that a stage is
/// dead, but running streams notice only that no events arrive.
void RelayReducer::checkNamedEngine(const Attempt& attempt, const event::AttemptEnded& ended, Context& context)
{
    FleetServer* named = ended.culprit.empty() ? nullptr : m_fleet.findByAddress(ended.culprit);
    if (named && !attempt.chain.hops().empty() && !named->isDead(context.now))
        checkUrgently(*named, context);
}

void RelayReducer::on(const event::EngineChecked& checked, Context& context)
{
    FleetServer* server = m_fleet.find(checked.engine);
    if (!server || checked.asked != server->entry.startedAt)
        return; // The engine has restarted or was unregistered since the check was sent.
    server->beingChecked = false;
    if (checked.answered)
        recordContactAnswered(checked.engine, server->lastCheckAt, context);
    else
        recordContactFailed(checked.engine, server->lastCheckAt, context);
    if (!applyReportedStart(checked.engine, checked.answering, checked.layers, context))
        return;
    server = m_fleet.find(checked.engine); // A new start replaces the fleet's entry.
    if (!server)
        return;
    if (checked.answered) {
        const LifeEvidence evidence { LifeSign::Alive, EndProof::Report, false, checked.answering };
        recordLifeSign(*server, server->lastCheckAt, evidence, context);
        m_fleet.recordAnsweredCheck(checked.engine, checked.slowness);
        m_namedStages.clearEvidence(checked.engine);
        recordClosed(checked, context);
        settleUnprovenEnds(checked.engine, server->lastCheckAt, evidence, context);
        dispatchAll(context);
        return;
    }
    // A partition may answer for the servers behind it, by refusing connections.
    const bool hasEnded = checked.refused && !isPathInDoubt();
    m_crashEvidence.noteSilent(server->othersLoad.engine, context.now, server->lastAliveAt);
    if (hasEnded)
        recordServerEnded(*server, EndSign::RefusedConnection, context);
    m_fleet.recordMissedCheck(checked.engine, hasEnded, context.now);
    ++m_counters.deadEngines;
    server = m_fleet.find(checked.engine);
    const bool sharesDeath = !m_options.without.has(Mechanism::DeadReports) && !isPathInDoubt();
    if (sharesDeath && server && server->unansweredChecks == 1)
        context.effects.emplace_back(effect::ReportEngineState { checked.engine, server->entry.startedAt });
    if (server && server->unansweredChecks == 1)
        checkEnginesAfterFailure(hasEnded, context);
    if (server) {
        const LifeEvidence evidence { hasEnded ? LifeSign::Ended : LifeSign::Silent, EndProof::Refusal };
        settleUnprovenEnds(checked.engine, server->lastCheckAt, evidence, context);
    }
    // Streams through an ended process hold memory at all other stages until their callers time out.
    if (hasEnded)
        abandonEndedServer(checked.engine, EndSign::RefusedConnection, context);
    else
        abandonDeadEngine(checked.engine, context);
    dispatchAll(context);
}

/// An engine that answers late stays avoided like a dead one, as callers would wait for it, but the path to it is
/// sound, and what it was asked after an end without proof it lived to answer.
void RelayReducer::on(const event::CheckAnsweredLate& late, Context& context)
{
    FleetServer* server = m_fleet.find(late.server);
    if (!server)
        return;
    ++m_counters.checksAnsweredLate;
    recordContactAnswered(late.server, late.askedAt, context);
    if (late.answering.value() && late.answering != server->entry.startedAt)
        return;
    const EndProof proof = late.isIdentified ? EndProof::Identity : EndProof::Report;
    const LifeEvidence evidence { LifeSign::Alive, proof, late.isIdentified, late.answering };
    recordLifeSign(*server, late.askedAt, evidence, context);
    settleUnprovenEnds(late.server, late.askedAt, evidence, context);
}

/// Checks engines that rejected calls, to learn whether they had room at that time.
///
/// Load pattern: engines leave while the store does not answer, so their entries do not show that they leave. Each
/// instance is rejected by each of these engines again and again, which spends the retries of all instances.
void RelayReducer::checkClosedEngines(Context& context)
{
    for (const BackendId& id : m_fleet.checkCandidates(context.now)) {
        FleetServer& suspect = *m_fleet.find(id);
        if (!suspect.closedCheckDue || context.now < suspect.lastRejectedAt + ReportLag)
            continue;
        suspect.closedCheckDue = false;
        const bool isResolved = suspect.lastAcceptedAt > suspect.lastRejectedAt || suspect.isClosed(context.now);
        if (!isResolved && !suspect.isDead(context.now))
            checkUrgently(suspect, context);
    }
}

/// Marks an engine as closed, that is, accepting no new work, if it rejected a call, has accepted none since and has
/// room. The finding is shared, because each other instance would otherwise need a rejected call to learn of it.
void RelayReducer::recordClosed(const event::EngineChecked& checked, Context& context)
{
    const FleetServer* server = m_fleet.find(checked.engine);
    const bool hasRoom = !checked.queued && checked.memoryUsed < MaxMemoryShareWithRoom;
    if (!server || !hasRoom || m_options.without.has(Mechanism::ClosedEngines) || server->isClosed(context.now))
        return;
    const Duration since = context.now - server->lastRejectedAt;
    if (since < ReportLag || since > 2 * ReportLag || server->lastAcceptedAt > server->lastRejectedAt)
        return;
    m_fleet.markClosed(checked.engine, context.now);
    ++m_counters.closedEngines;
    context.effects.emplace_back(effect::LogServerState {
        effect::LogServerState::ServerStateChange::Closed, checked.engine, server->entry.startedAt });
    context.effects.emplace_back(effect::ReportEngineState {
        checked.engine, server->entry.startedAt, effect::ReportEngineState::Finding::Closed });
}

void RelayReducer::on(const event::EnginesReportedClosed& reported, Context& context)
{
    if (m_options.without.has(Mechanism::ClosedEngines))
        return;
    for (const auto& [id, server] : m_fleet.servers()) {
        const auto& keys = reported.engines;
        if (server.isClosed(context.now) || std::find(keys.begin(), keys.end(), server.othersLoad.engine) == keys.end())
            continue;
        m_fleet.markClosed(id, context.now);
        context.effects.emplace_back(effect::LogServerState {
            effect::LogServerState::ServerStateChange::ReportedClosed, id, server.entry.startedAt });
    }
}

} // namespace crocusmount::relay
