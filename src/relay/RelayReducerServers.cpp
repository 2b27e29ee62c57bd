// How RelayReducer reacts when backend servers register, restart or leave.
//
// Load pattern: engines restart while dozens of streams pass through each of them. Everything that ran there is lost at
// that moment, but the first stages still wait for the engine and report the loss only seconds later.

#include "relay/RelayReducer.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Maximum number of entries that fit no service and are kept for the next configuration. Other clients of the
    /// store may write any number of them.
    constexpr std::size_t MaxUnusableEntries = 1000;
    /// Time between two attempts to replace a lost stage. Each is a search over all engines.
    constexpr Duration LostStageRetryInterval = std::chrono::milliseconds(200);

} // namespace

void RelayReducer::on(const event::ServerRegistered& registered, Context& context)
{
    registerServer(registered.server, context);
}

/// Processes a server's entry, which may be new, changed or outdated, or not fit the configuration.
void RelayReducer::registerServer(const RegisteredServer& server, Context& context)
{
    using ServerStateChange = effect::LogServerState::ServerStateChange;
    if (!isUsable(server)) {
        keepUnusableEntry(server, context);
        return;
    }
    m_unusable.erase(server.id);
    const FleetServer* known = m_fleet.find(server.id);
    const bool movesLayers = known && known->entry.layers.size() && known->entry.layers != server.layers;
    const Registration registration = m_fleet.upsert(server, context.now);
    if (registration.outdated) {
        ++m_counters.entriesOutdated;
        context.effects.emplace_back(
            effect::LogServerState { ServerStateChange::EntryOutdated, server.id, server.startedAt });
        return;
    }
    for (const FleetServer& ended : registration.ended) {
        ++m_counters.startsEnded;
        context.effects.emplace_back(
            effect::LogServerState { ServerStateChange::StartEnded, ended.entry.id, server.startedAt });
        m_moveOffAt.erase(ended.entry.id);
        recordServerEnded(ended, EndSign::LaterStart, context);
        abandonEndedServer(ended.entry.id, EndSign::LaterStart, context);
    }
    // An engine that gives up layers waits for the streams through them before it loads others.
    if (movesLayers && registration.ended.empty())
        m_moveOffAt[server.id] = context.now;
    if (m_fleet.find(server.id)->entry.leaving)
        m_moveOffAt.try_emplace(server.id, context.now + m_options.rerouteDelay);
    if (registration.changed)
        dispatchAll(context);
}

/// @return whether the entry fits a service of the configuration; true before the first configuration
bool RelayReducer::isUsable(const RegisteredServer& server) const
{
    if (!m_routes)
        return true;
    const Service* service = m_routes->service(server.service);
    return service && (!service->engine || server.layers.end <= service->engine->layers);
}

/// Keeps an entry that does not fit the configuration for the next one, and unregisters the server that it replaces.
void RelayReducer::keepUnusableEntry(const RegisteredServer& server, Context& context)
{
    ++m_counters.entriesUnusable;
    context.effects.emplace_back(effect::LogServerState {
        effect::LogServerState::ServerStateChange::EntryUnusable, server.id, server.startedAt });
    if (m_fleet.find(server.id))
        on(event::ServerUnregistered { server.id }, context);
    if (m_unusable.size() < MaxUnusableEntries)
        m_unusable[server.id] = server;
}

void RelayReducer::on(const event::ServerUnregistered& gone, Context& context)
{
    m_unusable.erase(gone.server);
    m_contacts.forget(gone.server);
    // A server that leaves without notice still answers checks until its entry ends, so a missed check shows a crash.
    if (const FleetServer* server = m_fleet.find(gone.server); server && server->unansweredChecks)
        recordServerEnded(*server, EndSign::NoSignOfLife, context);
    if (m_fleet.remove(gone.server, context.now))
        context.effects.emplace_back(
            effect::LogServerState { effect::LogServerState::ServerStateChange::Reinstated, gone.server, {} });
    // Servers that leave without notice also keep serving for a while.
    m_moveOffAt.try_emplace(gone.server, context.now + m_options.rerouteDelay);
}

void RelayReducer::on(const event::EngineStartSeen& seen, Context& context)
{
    applyReportedStart(seen.engine, seen.startedAt, {}, context);
}

/// Processes the start time that an engine reports. If it is later than in the engine's entry, the entry is outdated
/// and is replaced by one with the reported start and layers.
/// @param layers  layers that the engine holds now; empty if it did not say
/// @return whether the reported start is the one that is known from now on
bool RelayReducer::applyReportedStart(
    const BackendId& id, StartTime startedAt, const LayerRange& layers, Context& context)
{
    const FleetServer* server = m_fleet.find(id);
    if (!server)
        return false;
    if (!startedAt.value() || startedAt == server->entry.startedAt)
        return true;
    if (startedAt < server->entry.startedAt)
        return false;
    RegisteredServer entry = server->entry;
    entry.startedAt = startedAt;
    entry.layers = layers;
    entry.leaving = false; // Only the start before is known to leave.
    registerServer(entry, context);
    return true;
}

/// Handles the lost stage of each running call that uses a server whose process has ended.
void RelayReducer::abandonEndedServer(const BackendId& ended, EndSign sign, Context& context)
{
    std::vector<RequestId> lost;
    for (const auto& [id, call] : m_calls) {
        if (call.state != CallState::Running)
            continue;
        if (call.main.usesServer(ended) || (call.second && call.second->usesServer(ended)))
            lost.push_back(id);
    }
    for (const RequestId& id : lost) {
        if (const auto call = m_calls.find(id); call != m_calls.end())
            handleLostStage(call->second, ended, sign, context);
    }
}

/// @return whether the process of a stage is known to have ended
bool RelayReducer::hasEndedStage(const Chain& chain) const
{
    return std::any_of(chain.hops().begin(), chain.hops().end(), [&](const Hop& hop) { return isGone(hop.backend); });
}

/// @return whether a server's process is known to have ended: a later start replaced it, or its port refuses
///         connections
bool RelayReducer::isGone(const BackendId& id) const
{
    const auto server = m_fleet.servers().find(id);
    return server == m_fleet.servers().end() ? m_fleet.hasEnded(id) : server->second.refusedCheck;
}

/// @return whether the process that accepted the attempt has ended. A new process may have the same id.
bool RelayReducer::hasLostServer(const Attempt& attempt) const
{
    return attempt.hasServerEnded || (isGone(attempt.server) && !mayFinishCalls(attempt.server));
}

/// A leaving server stops listening before its calls have ended. Ending them for a refused connection would lose
/// answers that the server still sends.
/// @return whether a server that refuses connections may still run calls
bool RelayReducer::mayFinishCalls(const BackendId& id) const
{
    const auto server = m_fleet.servers().find(id);
    return server != m_fleet.servers().end() && server->second.entry.leaving;
}

/// Handles a running call that uses a server whose process has ended: replaces the stage by a reroute, continues with
/// another attempt, or ends the call with the actual cause. An attempt whose own server refuses connections goes on
/// until its connection ends or the call stalls.
void RelayReducer::handleLostStage(Call& call, const BackendId& lost, EndSign sign, Context& context)
{
    if (call.second && call.second->usesServer(lost) && !call.second->mayOutlive(lost, sign)) {
        cancelLostAttempt(call, *call.second, context);
        endSecondAttempt(call, context);
    }
    if (call.main.unprovenEnd) {
        const bool hasEnded = sign == EndSign::LaterStart || !mayFinishCalls(lost);
        if (call.main.unprovenEnd->dependsOn(lost) && hasEnded)
            settleEnd(call.id, EndVerdict::BrokenOff,
                sign == EndSign::LaterStart ? EndProof::LaterStart : EndProof::Refusal, context);
        return;
    }
    if (!call.main.usesServer(lost) || call.main.mayOutlive(lost, sign)
        || (call.main.server == lost && mayFinishCalls(lost)))
        return;
    call.main.hasLostStage = true;
    call.main.hasServerEnded = call.main.hasServerEnded || call.main.server == lost;
    if (call.second) {
        // The second attempt may still be rejected, so a partly delivered answer is kept until the second one delivers.
        if (call.hasPartialAnswer && !hasLostServer(call.main))
            return;
        cancelLostAttempt(call, call.main, context);
        call.main = *call.second;
        call.second.reset();
        return;
    }
    const bool isAlreadyMoving = !call.main.pendingReroute.hops().empty() && !call.main.pendingReroute.contains(lost);
    if (!isAlreadyMoving && reroute(call, { lost }, context) == MoveResult::Impossible)
        replaceOrEndAttempt(call, context);
}

/// Tries again to replace lost stages that could not be replaced at once.
void RelayReducer::retryLostStages(Context& context)
{
    std::vector<RequestId> waiting;
    for (const auto& [id, call] : m_calls) {
        const bool isLost
            = call.state == CallState::Running && call.main.hasLostStage && !call.second && !call.main.unprovenEnd;
        if (isLost && call.main.pendingReroute.hops().empty() && context.now >= call.main.nextReplacementAt)
            waiting.push_back(id);
    }
    for (const RequestId& id : waiting) {
        const auto call = m_calls.find(id);
        if (call != m_calls.end() && reroute(call->second, {}, context) == MoveResult::Impossible)
            replaceOrEndAttempt(call->second, context);
    }
}

/// Continues a call whose main attempt lost a stage that no reroute can replace.
///
/// A call without a delivered event is retried or finished. A partly delivered answer is given up only for an attempt
/// that starts now. Without one, its server or its caller ends it, because ending it here would break the guarantee
/// that planned maintenance loses no answers.
void RelayReducer::replaceOrEndAttempt(Call& call, Context& context)
{
    if (!call.hasPartialAnswer) {
        cancelLostAttempt(call, call.main, context);
        retryOrFinish(call, Reason::ConnectionLost, context);
        return;
    }
    call.main.nextReplacementAt = context.now + LostStageRetryInterval;
    const std::uint32_t countedForMain = hasLostServer(call.main) ? 0 : 1;
    // The partial answer shows that this attempt has run, although it has not ended.
    if (!isRepeatable(call.route->kind))
        return;
    if (awaitsCrashVerdict(call) || countedAttempts(call) + countedForMain >= call.route->maxAttempts
        || retryLimit(call, context) || !budgetOf(call.service).hasToken())
        return;
    auto next = startAttempt(call, AttemptPurpose::LostStage, context);
    if (!next)
        return;
    budgetOf(call.service).spend();
    ++m_counters.retried.at(static_cast<std::size_t>(Reason::ConnectionLost));
    // A live first stage may still complete the answer, and the new server may reject the call. The first attempt to
    // deliver is kept, so that a rejection does not break off the answer.
    if (!hasLostServer(call.main)) {
        call.second = *std::move(next);
        return;
    }
    ++m_counters.resumed;
    cancelLostAttempt(call, call.main, context);
    call.main = *std::move(next);
    call.lastProgress = context.now;
    call.meanEventGap = Duration(0);
}

/// Cancels an attempt that has lost a stage. It counts against the route's limit unless the lost stage is the server
/// that accepted the call, because the other servers can then still run the call.
void RelayReducer::cancelLostAttempt(Call& call, const Attempt& attempt, Context& context)
{
    context.effects.emplace_back(effect::CancelAttempt { attempt.id, CancelCause::LostStage });
    call.mayHaveRun = call.mayHaveRun || attempt.wasSent;
    if (!hasLostServer(attempt))
        call.mayHaveRunOn.push_back(attempt.server);
    release(call, attempt, context);
}

} // namespace crocusmount::relay
