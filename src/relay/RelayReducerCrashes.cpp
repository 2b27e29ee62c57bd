// What RelayReducer does about requests under which servers end.
//
// The load pattern that this answers: callers send a request that crashes each server that runs it, again and again, to
// any instance. Each crash ends all other streams through that server, and it comes back empty: a few such requests
// keep a fleet from answering anybody.

#include "relay/RelayReducer.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// How often it is looked whether a held call may go on.
    constexpr Duration HoldCheckInterval = std::chrono::milliseconds(50);
    /// Between two probes of a server where the first did not tell whether it lives.
    constexpr Duration ReprobeInterval = std::chrono::milliseconds(400);
    /// A call is held so long at most: by then each end has been told from the loss of a group, or cannot be.
    constexpr Duration MaxHold = std::chrono::milliseconds(1000);

    /// @return what the end of a server tells of a call that had an attempt there
    CrashSign signOf(const Call& call, const Attempt& attempt)
    {
        if (!attempt.wasSent || call.hasRunSoundly)
            return CrashSign::None;
        // A plain service's answer comes whole: nothing shows that it has begun.
        if (!isStream(call.route->kind))
            return CrashSign::JustBegun;
        if (!attempt.answerBegunAt)
            return CrashSign::Waiting;
        const bool hasRun = attempt.eventsDelivered && call.lastProgress - *attempt.answerBegunAt >= SoundRun;
        return hasRun ? CrashSign::None : CrashSign::JustBegun;
    }

} // namespace

bool RelayReducer::countsCrashes() const { return !m_options.without.has(Mechanism::Quarantine); }

/// @return what the end of a server tells of a call that had an attempt there; nothing where its request lately ran
/// well
CrashSign RelayReducer::crashSign(const Call& call, const Attempt& attempt) const
{
    return m_soundRequests.contains(call.identity) ? CrashSign::None : signOf(call, attempt);
}

/// An attempt broke off, or was given up at a server that may be dead.
void RelayReducer::recordLostAttempt(const Call& call, const Attempt& attempt, Context& context)
{
    const CrashSign sign = crashSign(call, attempt);
    if (sign == CrashSign::None || !countsCrashes())
        return;
    std::vector<std::uint64_t> servers;
    if (const FleetServer* first = m_fleet.find(attempt.server))
        servers.push_back(first->others.engine);
    for (const Hop& hop : attempt.chain.hops()) {
        const FleetServer* server = m_fleet.find(hop.backend);
        if (server && hop.backend != attempt.server && (server->beingChecked || server->isDead(context.now)))
            servers.push_back(server->others.engine);
    }
    m_crashEvidence.noteLost({ call.identity, sign }, std::move(servers), context.now);
    checkUnsettledServers(context);
}

/// Servers under which attempts broke off are asked whether they live. The answer to an earlier question does not
/// count.
void RelayReducer::checkUnsettledServers(Context& context)
{
    const auto unsettled = m_crashEvidence.unsettledServers();
    if (unsettled.empty())
        return;
    for (const auto& [id, server] : m_fleet.servers()) {
        const auto since = unsettled.find(server.others.engine);
        if (since == unsettled.end())
            continue;
        const bool isProbeDue = server.nextProbe && context.now >= *server.nextProbe;
        if (server.lastCheck >= since->second && !isProbeDue)
            continue;
        if (server.isEngine())
            checkUrgently(*m_fleet.find(id), context);
        else
            probe(*m_fleet.find(id), context);
    }
}

/// A plain server gives no report; its health check names the start that answers.
void RelayReducer::probe(FleetServer& server, Context& context)
{
    const Service* service = m_routes ? m_routes->service(server.entry.service) : nullptr;
    if (server.beingChecked || !service || service->healthPath.empty() || !m_checkBudget.spendUrgent())
        return;
    server.beingChecked = true;
    server.lastCheck = context.now;
    context.effects.emplace_back(effect::ProbeServer { server.entry.id, server.entry.address, service->healthPath });
}

void RelayReducer::on(const event::ServerProbed& probed, Context& context)
{
    FleetServer* server = m_fleet.find(probed.server);
    if (!server || !server->beingChecked)
        return; // Another start has taken its place.
    using Finding = event::ServerProbed::Finding;
    server->beingChecked = false;
    server->nextProbe.reset();
    if (probed.finding == Finding::Alive)
        m_crashEvidence.noteAlive(server->others.engine);
    else if (probed.finding == Finding::Ended)
        recordServerEnded(*server, context);
    else
        server->nextProbe = context.now + ReprobeInterval;
}

/// A server's process has ended. One that was leaving has done so by itself.
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
    if (m_crashEvidence.noteEnded(server.others.engine, std::move(running), context.now, server.lastAliveAt))
        context.effects.emplace_back(
            effect::NoteBelief { effect::NoteBelief::Belief::ProcessEnded, server.entry.id, server.entry.startedAt });
}

void RelayReducer::settleCrashes(Context& context)
{
    checkUnsettledServers(context);
    CrashEvidence::Findings findings = m_crashEvidence.settle(context.now);
    m_counters.crashesDismissed += findings.dismissed.size();
    for (const CrashReport& report : findings.dismissed)
        context.effects.emplace_back(effect::NoteCrash { report, false });
    for (const CrashReport& report : findings.crashes)
        countCrash(report, true, context);
    if (!findings.crashes.empty())
        context.effects.emplace_back(effect::ShareCrashes { std::move(findings.crashes) });
    m_quarantine.forgetOld(context.now);
    releaseHeldCalls(context);
}

void RelayReducer::countCrash(const CrashReport& report, bool isOwn, Context& context)
{
    const RequestQuarantine::Change change = m_quarantine.add(report, context.now);
    if (change == RequestQuarantine::Change::None)
        return;
    ++m_counters.crashesCounted;
    if (isOwn)
        context.effects.emplace_back(effect::NoteCrash { report, true });
    if (change == RequestQuarantine::Change::Quarantined)
        quarantine(report.suspect.request, isOwn, context);
}

void RelayReducer::quarantine(const RequestIdentity& request, bool isOwn, Context& context)
{
    ++m_counters.quarantined;
    const auto servers = static_cast<std::uint32_t>(m_quarantine.servers(request));
    context.effects.emplace_back(effect::QuarantineRequest { request, servers, m_quarantine.points(request), isOwn });
    std::vector<RequestId> open;
    for (const auto& [id, call] : m_calls) {
        // A stream whose caller has a part of it speaks for the request: it may end by itself.
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

void RelayReducer::on(const event::SoundRequestsReported& reported, Context& context)
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

/// @return whether anything was held against the request
bool RelayReducer::clearRequest(const RequestIdentity& request, bool isOwn, Context& context)
{
    const bool wasQuarantined = m_quarantine.isQuarantined(request, context.now);
    if (!m_quarantine.clear(request))
        return false;
    ++m_counters.requestsCleared;
    context.effects.emplace_back(effect::ClearRequest { request, wasQuarantined, isOwn });
    return true;
}

/// A request that runs for longer than one that crashes its server does, or to its end, is sound, whatever ended beside
/// it.
void RelayReducer::recordSoundRequest(Call& call, Context& context)
{
    call.hasRunSoundly = true;
    m_soundRequests.add(call.identity);
    if (!m_quarantine.empty() && clearRequest(call.identity, true, context))
        context.effects.emplace_back(effect::ShareSoundRequest { call.identity });
}

/// @return whether the ends of servers that are not judged yet may be enough to quarantine the request: then one more
///         server for it could be one too many
bool RelayReducer::awaitsCrashVerdict(const Call& call) const
{
    if (!countsCrashes() || call.hasRunSoundly)
        return false;
    const std::size_t open = m_crashEvidence.openCases(call.identity);
    const std::uint32_t each = RequestQuarantine::pointsOf(CrashSign::JustBegun);
    return open && m_quarantine.points(call.identity) + each * open >= RequestQuarantine::Limit;
}

/// Keeps a call out of the queue, where it would hold up those behind it.
void RelayReducer::holdCall(Call& call, Context& context)
{
    call.state = CallState::Waiting;
    call.holdDeadline = std::min(call.deadline, context.now + MaxHold);
    call.nextHoldCheckAt = context.now + HoldCheckInterval;
    call.waitUntil = std::max(call.waitUntil, *call.holdDeadline);
    ++m_counters.held;
}

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
