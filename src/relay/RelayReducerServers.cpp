// What RelayReducer does as backend servers come, start again and go.
//
// The load pattern that this answers: engines start again while dozens of streams pass through each of them. Whatever
// ran there is lost at that moment, though the first stages still wait for it and say so only seconds later.

#include "relay/RelayReducer.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Entries that fit no service and are kept for the next configuration. Another client of the store may write any
    /// number of them.
    constexpr std::size_t MaxUnusableEntries = 1000;
    /// Between two tries to replace a lost stage; each is a search over all engines.
    constexpr Duration LostStageRetryInterval = std::chrono::milliseconds(200);

} // namespace

void RelayReducer::on(const event::ServerRegistered& registered, Context& context)
{
    registerServer(registered.server, context);
}

void RelayReducer::registerServer(const RegisteredServer& server, Context& context)
{
    using Belief = effect::NoteBelief::Belief;
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
        context.effects.emplace_back(effect::NoteBelief { Belief::EntryOutdated, server.id, server.startedAt });
        return;
    }
    for (const FleetServer& ended : registration.ended) {
        ++m_counters.startsEnded;
        context.effects.emplace_back(effect::NoteBelief { Belief::StartEnded, ended.entry.id, server.startedAt });
        m_moveOffAt.erase(ended.entry.id);
        recordServerEnded(ended, context);
        abandonEndedServer(ended.entry.id, context);
    }
    // An engine that gives up layers waits for the streams through them before it takes others.
    if (movesLayers && registration.ended.empty())
        m_moveOffAt[server.id] = context.now;
    if (server.leaving)
        m_moveOffAt.try_emplace(server.id, context.now + m_options.rerouteDelay);
    if (registration.changed)
        dispatchAll(context);
}

bool RelayReducer::isUsable(const RegisteredServer& server) const
{
    if (!m_routes)
        return true;
    const Service* service = m_routes->service(server.service);
    return service && (!service->engine || server.layers.end <= service->engine->layers);
}

/// Such an entry names no server, also where it replaces one that did; a later configuration may give it a meaning.
void RelayReducer::keepUnusableEntry(const RegisteredServer& server, Context& context)
{
    ++m_counters.entriesUnusable;
    context.effects.emplace_back(
        effect::NoteBelief { effect::NoteBelief::Belief::EntryUnusable, server.id, server.startedAt });
    if (m_fleet.find(server.id))
        on(event::ServerUnregistered { server.id }, context);
    if (m_unusable.size() < MaxUnusableEntries)
        m_unusable[server.id] = server;
}

void RelayReducer::on(const event::ServerUnregistered& gone, Context& context)
{
    m_unusable.erase(gone.server);
    // One that leaves without a word answers until its entry ends.
    if (const FleetServer* server = m_fleet.find(gone.server); server && server->unansweredChecks)
        recordServerEnded(*server, context);
    if (m_fleet.remove(gone.server, context.now))
        context.effects.emplace_back(effect::NoteBelief { effect::NoteBelief::Belief::Reinstated, gone.server, {} });
    // Some servers leave without a word; they too go on serving for a while.
    m_moveOffAt.try_emplace(gone.server, context.now + m_options.rerouteDelay);
}

void RelayReducer::on(const event::EngineStartSeen& seen, Context& context)
{
    applyReportedStart(seen.engine, seen.startedAt, {}, context);
}

/// Takes in that an engine named its start. One that is later than its entry's holds what it says now, not what the
/// entry says, and the entry follows.
/// @return whether that start is the one that is known from now on
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
    registerServer(entry, context);
    return true;
}

void RelayReducer::abandonEndedServer(const BackendId& ended, Context& context)
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
            handleLostStage(call->second, ended, context);
    }
}

/// @return whether a stage is gone for certain
bool RelayReducer::hasEndedStage(const Chain& chain) const
{
    return std::any_of(chain.hops().begin(), chain.hops().end(), [&](const Hop& hop) { return isGone(hop.backend); });
}

/// @return whether a server is gone for certain: a later start took its place, or nobody listens there
bool RelayReducer::isGone(const BackendId& id) const
{
    const auto server = m_fleet.servers().find(id);
    return server == m_fleet.servers().end() ? m_fleet.hasEnded(id) : server->second.refusedCheck;
}

/// @return whether the start of the server that took the attempt has ended; another one may bear its id
bool RelayReducer::hasLostServer(const Attempt& attempt) const
{
    return attempt.hasServerEnded || (isGone(attempt.server) && !mayFinishCalls(attempt.server));
}

/// A server that leaves stops listening before the calls that it took have ended: to cut them for that would lose
/// answers that it goes on sending.
/// @return whether a server that takes no connection may still run calls
bool RelayReducer::mayFinishCalls(const BackendId& id) const
{
    const auto server = m_fleet.servers().find(id);
    return server != m_fleet.servers().end() && server->second.entry.leaving;
}

/// A running attempt lost a stage: that is replaced, or the call goes on elsewhere, or it ends with a true word.
void RelayReducer::handleLostStage(Call& call, const BackendId& lost, Context& context)
{
    if (call.second && call.second->usesServer(lost)) {
        cancelLostAttempt(call, *call.second, context);
        endSecondAttempt(call, context);
    }
    if (!call.main.usesServer(lost) || (call.main.server == lost && mayFinishCalls(lost)))
        return;
    call.main.hasLostStage = true;
    call.main.hasServerEnded = call.main.hasServerEnded || call.main.server == lost;
    if (call.second) {
        // An answer that the caller has a part of is kept until the other attempt delivers: it may be turned away yet.
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

/// Goes on with attempts whose lost stage could not be replaced at once.
void RelayReducer::retryLostStages(Context& context)
{
    std::vector<RequestId> waiting;
    for (const auto& [id, call] : m_calls) {
        const bool isLost = call.state == CallState::Running && call.main.hasLostStage && !call.second;
        if (isLost && call.main.pendingReroute.hops().empty() && context.now >= call.main.nextReplacementAt)
            waiting.push_back(id);
    }
    for (const RequestId& id : waiting) {
        const auto call = m_calls.find(id);
        if (call != m_calls.end() && reroute(call->second, {}, context) == MoveResult::Impossible)
            replaceOrEndAttempt(call->second, context);
    }
}

/// An answer that the caller has a part of is given up only for an attempt that begins now: without one its server ends
/// it, or its caller. Cut here it would break the promise that planned work loses nothing.
void RelayReducer::replaceOrEndAttempt(Call& call, Context& context)
{
    if (!call.hasPartialAnswer) {
        cancelLostAttempt(call, call.main, context);
        retryOrFinish(call, Reason::ConnectionLost, context);
        return;
    }
    call.main.nextReplacementAt = context.now + LostStageRetryInterval;
    const std::uint32_t counted = hasLostServer(call.main) ? 0 : 1;
    // The caller's part of the answer shows that this attempt has run, though it has not ended.
    if (!isRepeatable(call.route->kind))
        return;
    if (awaitsCrashVerdict(call) || countedAttempts(call) + counted >= call.route->maxAttempts
        || retryLimit(call, context) || !budgetOf(call.service).hasOne())
        return;
    auto next = startAttempt(call, AttemptPurpose::LostStage, context);
    if (!next)
        return;
    budgetOf(call.service).spend();
    ++m_counters.retried.at(static_cast<std::size_t>(Reason::ConnectionLost));
    // A first stage that lives may still end the answer, and the next server may turn the call away: the first to go on
    // is kept, or an answer could end midway for a rejection.
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

/// Cancels an attempt that has lost a stage. The route's limit leaves it out only where the server that took the call
/// is the one that ended: the others can still run it.
void RelayReducer::cancelLostAttempt(Call& call, const Attempt& attempt, Context& context)
{
    context.effects.emplace_back(effect::CancelAttempt { attempt.id, CancelCause::LostStage });
    call.mayHaveRun = call.mayHaveRun || attempt.wasSent;
    if (!hasLostServer(attempt))
        call.mayHaveRunOn.push_back(attempt.server);
    release(call, attempt, context);
}

} // namespace crocusmount::relay
