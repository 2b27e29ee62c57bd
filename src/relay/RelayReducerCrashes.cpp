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
    /// Evidence at which one more crash may quarantine a trait.
    constexpr std::uint32_t MinPointsToContradict = 4;
    /// Shorter than the time that judgements wait.
    constexpr Duration MaxContradictionDelay = std::chrono::milliseconds(60);

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

/// @return the call's content, then the parts of its prompt in order
std::vector<RequestTrait> RelayReducer::traitsOf(const Call& call) const
{
    std::vector<RequestTrait> traits { { call.workspace, call.spec.content } };
    if (m_options.without.has(Mechanism::PromptParts))
        return traits;
    for (const PromptPartId& part : call.spec.promptParts)
        traits.push_back({ call.workspace, part });
    return traits;
}

TraitStanding RelayReducer::standingOf(const RequestTrait& trait, TimePoint now) const
{
    TraitEvidence evidence = m_quarantine.evidence(trait, now);
    evidence.hasRun = m_harmlessTraits.contains(trait, now);
    return classifyTrait(evidence);
}

/// @return the call as a suspect if a server of the attempt has ended; with CrashSign::None if it is not one
CrashSuspect RelayReducer::suspectOf(const Call& call, const Attempt& attempt, TimePoint now) const
{
    CrashSuspect suspect { {}, signOf(call, attempt) };
    if (suspect.sign == CrashSign::None)
        return suspect;
    if (standingOf(call.traits.front(), now) == TraitStanding::Harmless)
        return {};
    for (const RequestTrait& trait : call.traits) {
        const bool isHarmless = standingOf(trait, now) == TraitStanding::Harmless;
        (isHarmless ? suspect.exempt : suspect.traits).push_back(trait);
    }
    return suspect;
}

/// Records an attempt that broke off, or that was cancelled at a server that may be dead. It becomes evidence against
/// the request if one of its servers turns out to have ended.
void RelayReducer::recordLostAttempt(const Call& call, const Attempt& attempt, Context& context)
{
    CrashSuspect suspect = suspectOf(call, attempt, context.now);
    if (suspect.sign == CrashSign::None || !countsCrashes())
        return;
    std::vector<std::uint64_t> servers;
    if (const FleetServer* first = m_fleet.find(attempt.server))
        servers.push_back(first->othersLoad.engine);
    for (const Hop& hop : attempt.chain.hops()) {
        const FleetServer* server = m_fleet.find(hop.backend);
        if (server && hop.backend != attempt.server && (server->beingChecked || server->isDead(context.now)))
            servers.push_back(server->othersLoad.engine);
    }
    m_crashEvidence.noteLost(suspect, std::move(servers), context.now);
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
        recordServerEnded(*server, EndSign::RefusedConnection, context);
    else
        server->nextProbe = context.now + ReprobeInterval;
    const LifeSign sign = probed.finding == Finding::Alive                           ? LifeSign::Alive
        : probed.finding == Finding::Ended && (probed.responded || !isPathInDoubt()) ? LifeSign::Ended
                                                                                     : LifeSign::Silent;
    settleUnprovenEnds(probed.server, server->lastCheckAt, sign, context);
}

/// Records that a server's process has ended, with the calls that it was running. A leaving server ends on purpose and
/// is not counted.
void RelayReducer::recordServerEnded(const FleetServer& server, EndSign sign, Context& context)
{
    if (server.entry.leaving || !countsCrashes())
        return;
    std::vector<CrashSuspect> running;
    const auto consider = [&](const Call& call, const Attempt& attempt) {
        if (!attempt.usesServer(server.entry.id) || attempt.mayOutlive(server.entry.id, sign))
            return; // An attempt that goes on becomes a suspect if its connection ends.
        CrashSuspect suspect = suspectOf(call, attempt, context.now);
        if (suspect.sign != CrashSign::None)
            running.push_back(std::move(suspect));
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

/// Counts the server ends that are now known to be crashes or group failures, and shares them with the other instances.
void RelayReducer::settleCrashes(Context& context)
{
    checkUnsettledServers(context);
    std::vector<CrashReport> reports = m_crashEvidence.classifyEnds(context.now);
    for (const CrashReport& report : reports)
        countCrash(report, true, context);
    std::erase_if(reports,
        [](const CrashReport& each) { return !RequestQuarantine::pointsOf(each.suspect.sign, each.isGroupFailure); });
    if (!reports.empty())
        context.effects.emplace_back(effect::ShareCrashes { std::move(reports) });
    contradict(context);
    for (const RequestQuarantine::Verdict& verdict : m_quarantine.judge(context.now))
        quarantine(verdict.trait, verdict.isOwn, context);
    m_quarantine.removeExpired(context.now);
    releaseHeldCalls(context);
}

/// Counts a crash against the traits of its request.
/// @param isOwn  whether this instance saw the crash, rather than learning of it from another one
void RelayReducer::countCrash(const CrashReport& report, bool isOwn, Context& context)
{
    const bool isNews = m_quarantine.add(report, isOwn, context.now);
    if (isNews && !report.isGroupFailure)
        ++m_counters.crashesCounted;
    if (!isOwn)
        return;
    m_counters.suspectsExempt += report.suspect.exempt.size();
    m_counters.crashesInGroups += report.isGroupFailure ? 1 : 0;
    if (isNews || report.isGroupFailure)
        context.effects.emplace_back(effect::LogCrash { report });
}

/// Plans to contradict the other instances if they may soon quarantine traits of requests that ran here. Each instance
/// waits for a random time, so that one or a few of them answer.
void RelayReducer::planContradictions(const CrashReport& report, Context& context)
{
    for (const RequestTrait& trait : report.suspect.traits) {
        const TraitEvidence evidence = m_quarantine.evidence(trait, context.now);
        if (!evidence.isQuarantined && evidence.points >= MinPointsToContradict
            && m_harmlessTraits.contains(trait, context.now))
            m_contradictions.try_emplace(
                trait, context.now + Duration(context.entropy % MaxContradictionDelay.count()));
    }
}

/// Tells the other instances of suspected traits that are harmless. A trait that became harmful lately must not be
/// defended again, so it counts as harmless here only after its next run.
void RelayReducer::contradict(Context& context)
{
    std::vector<RequestTrait> due;
    std::erase_if(m_contradictions, [&](const auto& each) {
        const bool isDue = context.now >= each.second;
        if (isDue)
            due.push_back(each.first);
        return isDue;
    });
    for (const RequestTrait& trait : due)
        m_harmlessTraits.remove(trait);
    clearAndShare(due, ClearCause::EarlierRun, context);
}

/// Ends the open calls with a trait that was just quarantined.
/// @param isOwn  whether this instance saw one of the crashes, so it writes the store entry first
void RelayReducer::quarantine(const RequestTrait& trait, bool isOwn, Context& context)
{
    ++m_counters.quarantined;
    const auto servers = static_cast<std::uint32_t>(m_quarantine.serverCount(trait));
    context.effects.emplace_back(
        effect::QuarantineTrait { trait, servers, m_quarantine.evidence(trait, context.now).points, isOwn });
    std::vector<RequestId> open;
    for (const auto& [id, call] : m_calls) {
        const bool hasTrait = std::find(call.traits.begin(), call.traits.end(), trait) != call.traits.end();
        // A partly delivered stream is evidence in favour of its traits, so it may complete.
        if (hasTrait && !call.hasPartialAnswer)
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
    for (const CrashReport& report : reported.crashes) {
        countCrash(report, false, context);
        planContradictions(report, context);
    }
}

void RelayReducer::on(const event::HarmlessTraitsReported& reported, Context& context)
{
    for (const RequestTrait& trait : reported.traits)
        clearTrait(trait, ClearCause::OtherInstance, context);
}

void RelayReducer::on(const event::QuarantineListed& listed, Context& context)
{
    if (countsCrashes() && m_quarantine.quarantine(listed.trait, context.now))
        quarantine(listed.trait, false, context);
}

void RelayReducer::on(const event::QuarantineLifted& lifted, Context& context)
{
    clearTrait(lifted.trait, ClearCause::Operator, context);
}

/// Forgets all evidence against a trait, and its quarantine.
/// @return whether there was any evidence
bool RelayReducer::clearTrait(const RequestTrait& trait, ClearCause cause, Context& context)
{
    const auto servers = static_cast<std::uint32_t>(m_quarantine.serverCount(trait));
    const std::uint32_t points = m_quarantine.evidence(trait, context.now).points;
    const bool wasQuarantined = m_quarantine.isQuarantined(trait, context.now);
    if (!m_quarantine.clear(trait))
        return false;
    ++m_counters.cleared.at(static_cast<std::size_t>(cause));
    const bool isOwn = cause == ClearCause::Run || cause == ClearCause::EarlierRun;
    context.effects.emplace_back(effect::ClearTrait { trait, cause, servers, points, wasQuarantined, isOwn });
    return true;
}

/// Records that a request is harmless: it ran longer than a request that crashes its server, or to its end. Evidence
/// against its traits from servers that ended while it or others with them were there is dropped.
void RelayReducer::recordHarmlessRequest(Call& call, Context& context)
{
    call.wasHarmless = true;
    m_harmlessTraits.add(call.traits, context.now);
    clearAndShare(call.traits, ClearCause::Run, context);
}

/// Clears traits that this instance found to be harmless, and tells the other instances of those with any evidence.
void RelayReducer::clearAndShare(const std::vector<RequestTrait>& harmless, ClearCause cause, Context& context)
{
    std::vector<RequestTrait> cleared;
    for (const RequestTrait& trait : harmless) {
        if (clearTrait(trait, cause, context))
            cleared.push_back(trait);
    }
    if (!cleared.empty())
        context.effects.emplace_back(effect::ShareHarmlessTraits { std::move(cleared) });
}

/// Further attempts wait while this holds, because the next server could be one crash too many.
/// @return whether server ends that are not settled yet may be enough to quarantine a trait of the request
bool RelayReducer::awaitsCrashVerdict(const Call& call) const
{
    if (!countsCrashes() || call.wasHarmless)
        return false;
    return std::any_of(call.traits.begin(), call.traits.end(), [&](const RequestTrait& trait) {
        const std::size_t open = m_crashEvidence.unclassifiedEndCount(trait);
        const std::uint32_t each = RequestQuarantine::pointsOf(CrashSign::JustBegun);
        const TraitEvidence evidence = m_quarantine.evidence(trait, m_now);
        return (open || evidence.points) && each * open >= missingPoints(evidence);
    });
}

/// Refuses a call without an answer.
/// @param limit  what forbade another attempt, or nothing if no attempt failed
void RelayReducer::refuse(const Call& call, Reason reason, RunState run, Duration retryAfter,
    std::optional<RetryLimit> limit, Context& context)
{
    effect::Refuse refusal { call.id, reason, run, retryAfter, limit };
    if (const RequestTrait* cause = m_quarantine.findQuarantined(call.traits, context.now)) {
        refusal.quarantinedTrait = *cause;
        refusal.crashedServers = static_cast<std::uint32_t>(m_quarantine.serverCount(*cause));
    }
    context.effects.emplace_back(std::move(refusal));
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
