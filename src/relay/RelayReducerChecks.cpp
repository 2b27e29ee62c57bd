// What RelayReducer asks engines, and what it does with their answers: which engines are dead, which are slow.
//
// The load pattern that this answers: an engine falls silent while dozens of streams pass through it. Each of them
// waits for its own stall to be long enough, and new ones keep coming; the pause that callers accept is over by then. A
// check of the few stages that a silent stream depends on sharesDeath a dead one from a busy one within milliseconds.

#include "relay/RelayReducer.h"
#include "relay/ScaledDuration.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// A stream is silent after this multiple of its usual gap; few sound streams have a gap of twice the usual one.
    constexpr double SilentGapFactor = 2.5;
    /// Shortest silence. The reducer looks each 20 ms.
    constexpr Duration MinSilence = std::chrono::milliseconds(60);
    /// Part of the objective for which a first event is waited without a question; prompts are read in some 60 ms.
    constexpr double FirstEventSilenceShare = 0.3;
    /// Between two checks of one engine by this instance. One that has just answered is hardly dead.
    constexpr Duration CheckInterval = std::chrono::milliseconds(400);
    constexpr Duration AnsweredCheckInterval = std::chrono::milliseconds(1000);
    /// Engines that report more than this are checked again, each so often, until they are well.
    constexpr double SlownessRecheckThreshold = 1.5;
    constexpr Duration SlowEngineCheckInterval = std::chrono::milliseconds(1000);
    /// An engine with an event through it this shortly ago is taken to live.
    constexpr Duration GroupCheckSilence = std::chrono::milliseconds(100);
    /// How long after the death of one engine others are suspected to have died with it. All that died have been silent
    /// to their own calls by then, and all instances are told of them.
    constexpr Duration GroupFailureWindow = std::chrono::milliseconds(500);
    /// Between two urgent checks of one engine. Engines answer within a few milliseconds.
    constexpr Duration UrgentCheckInterval = std::chrono::milliseconds(100);
    /// How long a call is held for the answer of a stage to a check: a silent one has missed it by then.
    constexpr Duration MaxCheckWait = std::chrono::milliseconds(100);
    /// Reports are some hundred milliseconds old: one asked for this long after a call was turned away sharesDeath of
    /// then.
    constexpr Duration ReportLag = std::chrono::milliseconds(300);
    /// An engine that turns calls away with less of its memory taken is not short of it, whatever the prompt.
    constexpr double MaxMemoryShareWithRoom = 0.7;
    /// A dead engine is checked again this long before it would be used again.
    constexpr Duration DeadRecheckLead = std::chrono::milliseconds(200);

    bool isSilent(const Call& call, TimePoint now)
    {
        if (call.main.answerHeldUntil)
            return false;
        const Duration sinceProgress = now - call.lastProgress;
        if (!call.main.eventsDelivered)
            return sinceProgress > scaled(call.route->objective, FirstEventSilenceShare);
        return sinceProgress > std::max(MinSilence, scaled(call.meanEventGap, SilentGapFactor));
    }

} // namespace

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
    for (const BackendId& stage : stalledStages(call)) {
        if (FleetServer* server = m_fleet.find(stage))
            checkEngine(*server, context);
    }
}

void RelayReducer::checkEngine(FleetServer& server, Context& context)
{
    const Duration interval = server.unansweredChecks ? CheckInterval : AnsweredCheckInterval;
    if (context.now >= server.lastCheck + interval && mayCheck(server) && m_checkBudget.spend())
        sendCheck(server, context);
}

/// The same where there is a sign that it died: a check that it answered before does not count.
void RelayReducer::checkUrgently(FleetServer& server, Context& context)
{
    if (context.now >= server.lastCheck + UrgentCheckInterval && mayCheck(server) && m_checkBudget.spendUrgent())
        sendCheck(server, context);
}

bool RelayReducer::mayCheck(const FleetServer& server) const
{
    return server.isEngine() && !server.beingChecked && !m_options.without.has(Mechanism::EngineChecks);
}

void RelayReducer::sendCheck(FleetServer& server, Context& context)
{
    server.beingChecked = true;
    server.lastCheck = context.now;
    ++m_counters.engineChecks;
    context.effects.emplace_back(effect::CheckEngine { server.entry.id, server.entry.address, server.entry.startedAt });
}

void RelayReducer::recheckDeadAndSlowEngines(Context& context)
{
    for (const BackendId& id : m_fleet.checkCandidates(context.now)) {
        FleetServer& server = *m_fleet.find(id);
        const bool dead = server.isDead(context.now) && context.now + DeadRecheckLead >= server.deadUntil;
        const bool slow
            = server.slowness > SlownessRecheckThreshold && context.now >= server.lastCheck + SlowEngineCheckInterval;
        if (dead || slow)
            checkEngine(server, context);
    }
}

/// Others' word that an engine is in trouble is a reason to look, never a verdict: they may be cut off themselves.
void RelayReducer::checkAvoidedEngines(Context& context)
{
    for (const auto& [id, server] : m_fleet.servers()) {
        if (server.others.avoiders >= 1 && !server.isDead(context.now))
            checkEngine(*m_fleet.find(id), context);
    }
}

/// A stage that an answer blames may be full or dead. New calls learn of a dead one at once, streams only by silence.
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
        return; // It started again meanwhile, or is gone.
    server->beingChecked = false;
    if (!applyReportedStart(checked.engine, checked.answering, checked.layers, context))
        return;
    server = m_fleet.find(checked.engine); // A new start stands at another place.
    if (!server)
        return;
    if (checked.answered) {
        m_crashEvidence.noteAlive(server->others.engine);
        m_fleet.answeredCheck(checked.engine, checked.slowness);
        recordClosed(checked, context);
        dispatchAll(context);
        return;
    }
    m_crashEvidence.noteSilent(server->others.engine, context.now, server->lastAliveAt);
    if (checked.refused)
        recordServerEnded(*server, context);
    m_fleet.missedCheck(checked.engine, checked.refused, context.now);
    ++m_counters.deadEngines;
    server = m_fleet.find(checked.engine);
    const bool sharesDeath = !m_options.without.has(Mechanism::DeadReports);
    if (sharesDeath && server && server->unansweredChecks == 1)
        context.effects.emplace_back(effect::ShareFinding { checked.engine, server->entry.startedAt });
    if (server && server->unansweredChecks == 1)
        checkEnginesAfterFailure(checked.refused, context);
    // Streams through a process that is gone hold memory at all other stages until their callers give up on them.
    if (checked.refused)
        abandonEndedServer(checked.engine, context);
    else
        abandonDeadEngine(checked.engine, context);
    dispatchAll(context);
}

/// Asks engines that turned calls away whether they had room then.
///
/// The load pattern that this answers: engines leave while the store is silent, so that no list says so. Each instance
/// is turned away by each of them again and again, which spends the retries of all.
void RelayReducer::checkClosedEngines(Context& context)
{
    for (const BackendId& id : m_fleet.checkCandidates(context.now)) {
        FleetServer& suspect = *m_fleet.find(id);
        if (!suspect.closedCheckDue || context.now < suspect.turnedAwayAt + ReportLag)
            continue;
        suspect.closedCheckDue = false;
        const bool isSettled = suspect.acceptedAt > suspect.turnedAwayAt || suspect.isClosed(context.now);
        if (!isSettled && !suspect.isDead(context.now))
            checkUrgently(suspect, context);
    }
}

/// An engine that turned a call away, has accepted none since and has room takes no new work. All are told, since each
/// would find out by a call that is turned away.
void RelayReducer::recordClosed(const event::EngineChecked& checked, Context& context)
{
    const FleetServer* server = m_fleet.find(checked.engine);
    const bool hasRoom = !checked.queued && checked.memoryUsed < MaxMemoryShareWithRoom;
    if (!server || !hasRoom || m_options.without.has(Mechanism::ClosedEngines) || server->isClosed(context.now))
        return;
    const Duration since = context.now - server->turnedAwayAt;
    if (since < ReportLag || since > 2 * ReportLag || server->acceptedAt > server->turnedAwayAt)
        return;
    m_fleet.closed(checked.engine, context.now);
    ++m_counters.closedEngines;
    context.effects.emplace_back(
        effect::NoteBelief { effect::NoteBelief::Belief::Closed, checked.engine, server->entry.startedAt });
    context.effects.emplace_back(
        effect::ShareFinding { checked.engine, server->entry.startedAt, effect::ShareFinding::Finding::Closed });
}

void RelayReducer::on(const event::EnginesReportedClosed& reported, Context& context)
{
    if (m_options.without.has(Mechanism::ClosedEngines))
        return;
    for (const auto& [id, server] : m_fleet.servers()) {
        const auto& keys = reported.engines;
        if (server.isClosed(context.now) || std::find(keys.begin(), keys.end(), server.others.engine) == keys.end())
            continue;
        m_fleet.closed(id, context.now);
        context.effects.emplace_back(
            effect::NoteBelief { effect::NoteBelief::Belief::ReportedClosed, id, server.entry.startedAt });
    }
}

/// The death of one engine raises the chance that others died with it, as with their rack or switch. A stream that is
/// sent on before that is known meets the next dead stage, and after three of these it is given up. Engines that own
/// calls pass through are asked at once, the others where a call would go there: if each instance asked all, sound
/// engines would be busy with connections and taken for dead.
///
/// @param isCertain  the engine is dead for certain; one that only did not answer may be overloaded, and then it does
///                   not keep calls from going elsewhere at once
void RelayReducer::checkEnginesAfterFailure(bool isCertain, Context& context)
{
    if (isCertain)
        m_lastCertainFailureAt = context.now;
    for (const auto& [id, server] : m_fleet.servers()) {
        if (server.ownTokenLayers > 0)
            checkForGroupFailure(*m_fleet.find(id), context);
    }
}

void RelayReducer::checkForGroupFailure(FleetServer& server, Context& context)
{
    if (server.lastProgress + GroupCheckSilence > context.now || server.isDead(context.now))
        return;
    server.sweptAt = context.now;
    checkUrgently(server, context);
}

/// @return whether a stage is suspected for the death of another one, and is about to answer whether it lives
bool RelayReducer::awaitsCheck(const Chain& chain, Context& context)
{
    const bool isSuspicious = m_lastCertainFailureAt && context.now < *m_lastCertainFailureAt + GroupFailureWindow;
    bool awaits = false;
    for (const Hop& hop : chain.hops()) {
        FleetServer* server = m_fleet.find(hop.backend);
        if (!server)
            continue;
        const bool isKnownSinceFailure
            = std::max(server->lastCheck, server->listedAt) >= m_lastCertainFailureAt.value_or(context.now);
        if (isSuspicious && !isKnownSinceFailure)
            checkForGroupFailure(*server, context);
        awaits = awaits || (server->beingChecked && context.now < server->sweptAt + MaxCheckWait);
    }
    return awaits;
}

/// Another instance's check and an own stream that is silent there are proof enough; without such a stream it is
/// checked.
void RelayReducer::on(const event::EnginesReportedDead& reported, Context& context)
{
    for (const auto& [id, server] : m_fleet.servers()) {
        const auto& keys = reported.engines;
        if (server.isDead(context.now) || std::find(keys.begin(), keys.end(), server.others.engine) == keys.end())
            continue;
        if (!hasSilentStreamThrough(id, context.now)) {
            checkUrgently(*m_fleet.find(id), context);
            continue;
        }
        m_fleet.reportedDead(id, context.now);
        context.effects.emplace_back(
            effect::NoteBelief { effect::NoteBelief::Belief::ReportedDead, id, server.entry.startedAt });
        abandonDeadEngine(id, context);
    }
}

bool RelayReducer::hasSilentStreamThrough(const BackendId& engine, TimePoint now) const
{
    return std::any_of(m_calls.begin(), m_calls.end(), [&](const auto& each) {
        const Call& call = each.second;
        return call.state == CallState::Running && isStream(call.route->kind) && call.main.chain.contains(engine)
            && isSilent(call, now);
    });
}

void RelayReducer::abandonDeadEngine(const BackendId& engine, Context& context)
{
    for (auto& [id, call] : m_calls) {
        const bool runs = call.state == CallState::Running && !call.second && call.main.pendingReroute.hops().empty();
        if (runs && isRepeatable(call.route->kind) && call.main.chain.contains(engine) && isSilent(call, context.now))
            abandonStages(call, { engine }, context);
    }
}

} // namespace crocusmount::relay
