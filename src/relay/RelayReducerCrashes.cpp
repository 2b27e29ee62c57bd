// How RelayReducer detects and quarantines requests that crash servers.
//
// Load pattern: callers send a request that crashes each server that runs it, again and again, to any instance. Each
// crash ends all other streams through that server, which restarts empty. A few such requests keep a whole fleet from
// answering any caller.

#include "relay/RelayReducer.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Time between two checks whether a held call may be queued.
    constexpr Duration HoldCheckInterval = std::chrono::milliseconds(50);
    /// Time between two probes of a server if the first did not show whether it is alive.
    constexpr Duration ReprobeInterval = std::chrono::milliseconds(400);
    /// Longest time that a call is held. By then it is known whether each server end belongs to a group failure, or it
    /// will stay unknown.
    constexpr Duration MaxHold = std::chrono::milliseconds(1000);

    /// @return how strongly the end of a server suggests that an attempt there caused it
    CrashSign signOf(const Call& call, const Attempt& attempt)
    {
        if (!attempt.wasSent || call.wasHarmless)
            return CrashSign::None;
        // A plain service sends its answer as a whole, so nothing shows when the server began to run the call.
        if (!isStream(call.route->kind))
            return CrashSign::JustBegun;
        if (!attempt.answerBegunAt)
            return CrashSign::Waiting;
        const bool hasRun = attempt.eventsDelivered && call.lastProgress - *attempt.answerBegunAt >= MinHarmlessRun;
        return hasRun ? CrashSign::None : CrashSign::JustBegun;
    }

} // namespace

/// @return whether crashes count against requests; false if the quarantine is disabled
bool RelayReducer::countsCrashes() const { return !m_options.without.has(Mechanism::Quarantine); }

/// @return how strongly the end of a server suggests that an attempt there caused it; CrashSign::None if the request
///         recently ran without crashing a server
CrashSign RelayReducer::crashSign(const Call& call, const Attempt& attempt) const
{
    return m_harmlessRequests.contains(call.identity) ? CrashSign::None : signOf(call, attempt);
}

/// Records an attempt that broke off, or that was cancelled at a server that may be dead. It becomes evidence against
/// the request if one of its servers turns out to have ended.
void RelayReducer::recordLostAttempt(const Call& call, const Attempt& attempt, Context& context)
{
    const CrashSign sign = crashSign(call, attempt);
    if (sign == CrashSign::None || !countsCrashes())
        return;
    std::vector<std::uint64_t> servers;
    if (const FleetServer* first = m_fleet.find(attempt.server))
        servers.push_back(first->othersLoad.engine);
    for (const Hop& hop : attempt.chain.hops()) {
        const FleetServer* server = m_fleet.find(hop.backend);
        if (server && hop.backend != attempt.server && (server->beingChecked || server->isDead(context.now)))
            servers.push_back(server->othersLoad.engine);
    }
    m_crashEvidence.noteLost({ call.identity, sign }, std::move(servers), context.now);
    checkUnsettledServers(context);
}

/// Checks or probes the servers of attempts that broke off, to learn which are alive. A check that was sent before the
/// attempt broke off does not count.
void RelayReducer::checkUnsettledServers(Context& context)
{
    const auto unsettled = m_crashEvidence.unsettledServers();
    if (unsettled.empty())
        return;
    for (const auto& [id, server] : m_fleet.servers()) {
        const auto since = unsettled.find(server.othersLoad.engine);
        if (since == unsettled.end())
            continue;
        const bool isProbeDue = server.nextProbe && context.now >= *server.nextProbe;
        if (server.lastCheckAt >= since->second && !isProbeDue)
            continue;
        if (server.isEngine())
            checkUrgently(*m_fleet.find(id), context);
        else
            probe(*m_fleet.find(id), context);
    }
}

/// Sends a health check to a plain server, which answers no engine check. The answer names the start of its process.
void RelayReducer::probe(FleetServer& server, Context& context)
{
    const Service* service = m_routes ? m_routes->service(server.entry.service) : nullptr;
    if (server.beingChecked || server.backoff.isActive(context.now) || !service || service->healthPath.empty()
        || !m_checkBudget.spendUrgent())
        return;
    sendProbe(server, context);
}

void RelayReducer::sendProbe(FleetServer& server, Context& context)
{
    const Service* service = m_routes->service(server.entry.service);
    server.beingChecked = true;
    server.lastCheckAt = context.now;
    context.effects.emplace_back(
        effect::ProbeServer { server.entry.id, server.entry.address, service->healthPath, server.entry.startedAt });
}

void RelayReducer::on(const event::ServerProbed& probed, Context& context)
{
    FleetServer* server = m_fleet.find(probed.server);
    if (!server || !server->beingChecked)
        return; // The server was replaced by a later start.
    using Finding = event::ServerProbed::Finding;
    server->beingChecked = false;
    if (probed.responded)
        recordContactAnswered(probed.server, server->lastCheckAt, context);
    else
        recordContactFailed(probed.server, server->lastCheckAt, context);
    server->nextProbe.reset();
    if (probed.finding == Finding::Alive)
        m_crashEvidence.noteAlive(server->othersLoad.engine);
    else if (probed.finding == Finding::Ended && (probed.responded || !isPathInDoubt()))
        recordServerEnded(*server, context);
    else
        server->nextProbe = context.now + ReprobeInterval;
    const LifeSign sign = probed.finding == Finding::Alive                           ? LifeSign::Alive
        : probed.finding == Finding::Ended && (probed.responded || !isPathInDoubt()) ? LifeSign::Ended
                                                                                     : LifeSign::Silent;
    settleUnprovenEnds(probed.server, server->lastCheckAt, sign, context);
}

/// Records that a server's process has ended, with the calls that it was running. A leaving server ends on purpose and
/// is not counted.
void RelayReducer::recordServerEnded(const FleetServer& server, Context& context)
{
    if (server.entry.leaving || !countsCrashes())
        return;
    std::vector<CrashSuspect> running;
    const auto consider = [&](const Call& call, const Attempt& attempt) {
        const CrashSign sign = attempt.usesServer(server.entry.id) ? crashSign(call, attempt) : CrashSign::None;
        if (sign != CrashSign::None)
            running.push_back({ call.identity, sign });
    };
    for (const auto& [id, call] : m_calls) {
        if (call.state != CallState::Running)
            continue;
        consider(call, call.main);
        if (call.second)
            consider(call, *call.second);
    }
    if (m_crashEvidence.noteEnded(server.othersLoad.engine, std::move(running), context.now, server.lastAliveAt))
        context.effects.emplace_back(effect::LogServerState {
            effect::LogServerState::ServerStateChange::ProcessEnded, server.entry.id, server.entry.startedAt });
}

/// Counts the server ends that are now known to be crashes, and shares them with the other instances.
void RelayReducer::settleCrashes(Context& context)
{
    checkUnsettledServers(context);
    CrashEvidence::Findings findings = m_crashEvidence.classifyEnds(context.now);
    m_counters.crashesDismissed += findings.dismissed.size();
    for (const CrashReport& report : findings.dismissed)
        context.effects.emplace_back(effect::LogCrash { report, false });
    for (const CrashReport& report : findings.crashes)
        countCrash(report, true, context);
    if (!findings.crashes.empty())
        context.effects.emplace_back(effect::ShareCrashes { std::move(findings.crashes) });
    m_quarantine.removeExpired(context.now);
    releaseHeldCalls(context);
}

/// Counts a crash against its request, and quarantines the request if there is enough evidence.
/// @param isOwn  whether this instance saw the crash, rather than learning of it from another one
void RelayReducer::countCrash(const CrashReport& report, bool isOwn, Context& context)
{
    const RequestQuarantine::Change change = m_quarantine.add(report, context.now);
    if (change == RequestQuarantine::Change::None)
        return;
    ++m_counters.crashesCounted;
    if (isOwn)
        context.effects.emplace_back(effect::LogCrash { report, true });
    if (change == RequestQuarantine::Change::Quarantined)
        quarantine(report.suspect.request, isOwn, context);
}

/// Ends the open calls of a request that was just quarantined.
/// @param isOwn  whether this instance came to the verdict first
void RelayReducer::quarantine(const RequestIdentity& request, bool isOwn, Context& context)
{
    ++m_counters.quarantined;
    const auto servers = static_cast<std::uint32_t>(m_quarantine.serverCount(request));
    context.effects.emplace_back(effect::QuarantineRequest { request, servers, m_quarantine.points(request), isOwn });
    std::vector<RequestId> open;
    for (const auto& [id, call] : m_calls) {
        // A partly delivered stream is evidence in favour of the request, so it may complete.
        if (call.identity == request && !call.hasPartialAnswer)
            open.push_back(id);
    }
    for (const RequestId& id : open) {
        Call& call = m_calls.at(id);
        keepOnly(call, AttemptId(), context);
        finishUnanswered(call, Reason::CrashesServers, context);
    }
}

void RelayReducer::on(const event::CrashesReported& reported, Context& context)
{
    if (!countsCrashes())
        return;
    for (const CrashReport& report : reported.crashes)
        countCrash(report, false, context);
}

void RelayReducer::on(const event::HarmlessRequestsReported& reported, Context& context)
{
    for (const RequestIdentity& request : reported.requests)
        clearRequest(request, false, context);
}

void RelayReducer::on(const event::QuarantineListed& listed, Context& context)
{
    if (countsCrashes() && m_quarantine.quarantine(listed.request, context.now))
        quarantine(listed.request, false, context);
}

void RelayReducer::on(const event::QuarantineLifted& lifted, Context& context)
{
    clearRequest(lifted.request, false, context);
}

/// Forgets all evidence against a request, and its quarantine.
/// @param isOwn  whether this instance saw the request run without crashing a server
/// @return whether there was any evidence
bool RelayReducer::clearRequest(const RequestIdentity& request, bool isOwn, Context& context)
{
    const bool wasQuarantined = m_quarantine.isQuarantined(request, context.now);
    if (!m_quarantine.clear(request))
        return false;
    ++m_counters.requestsCleared;
    context.effects.emplace_back(effect::ClearRequest { request, wasQuarantined, isOwn });
    return true;
}

/// Records that a request is harmless: it ran longer than a request that crashes its server, or to its end. Evidence
/// from servers that ended while it was there is dropped.
void RelayReducer::recordHarmlessRequest(Call& call, Context& context)
{
    call.wasHarmless = true;
    m_harmlessRequests.add(call.identity);
    if (!m_quarantine.empty() && clearRequest(call.identity, true, context))
        context.effects.emplace_back(effect::ShareHarmlessRequest { call.identity });
}

/// Further attempts wait while this holds, because the next server could be one crash too many.
/// @return whether server ends that are not settled yet may be enough to quarantine the request
bool RelayReducer::awaitsCrashVerdict(const Call& call) const
{
    if (!countsCrashes() || call.wasHarmless)
        return false;
    const std::size_t open = m_crashEvidence.unclassifiedEndCount(call.identity);
    const std::uint32_t each = RequestQuarantine::pointsOf(CrashSign::JustBegun);
    return open && m_quarantine.points(call.identity) + each * open >= RequestQuarantine::Limit;
}

/// Keeps a call out of the queue until there is a verdict on its request. In the queue it would block those behind it.
void RelayReducer::holdCall(Call& call, Context& context)
{
    call.state = CallState::Waiting;
    call.holdDeadline = std::min(call.deadline, context.now + MaxHold);
    call.nextHoldCheckAt = context.now + HoldCheckInterval;
    call.waitUntil = std::max(call.waitUntil, *call.holdDeadline);
    ++m_counters.held;
}

/// Queues held calls whose request has a verdict, or that were held for long enough.
void RelayReducer::releaseHeldCalls(Context& context)
{
    std::vector<RequestId> due;
    for (const auto& [id, call] : m_calls) {
        if (call.nextHoldCheckAt && context.now >= *call.nextHoldCheckAt)
            due.push_back(id);
    }
    for (const RequestId& id : due) {
        Call& call = m_calls.at(id);
        if (awaitsCrashVerdict(call) && context.now < *call.holdDeadline) {
            call.nextHoldCheckAt = context.now + HoldCheckInterval;
            continue;
        }
        call.nextHoldCheckAt.reset();
        requeue(call, context);
    }
}

} // namespace crocusmount::relay
