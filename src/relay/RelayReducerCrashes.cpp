// How RelayReducer detects and quarantines requests that crash servers.
//
// Load pattern: callers send a request that crashes each server that runs it, again and again, to any instance. Each
// crash ends all other streams through that server, which restarts empty. A few such requests keep a whole fleet from
// answering any caller.

#include "relay/RelayReducer.h"

#include <algorithm>
#include <iterator>

namespace crocusmount::relay {

namespace {

    /// Time between two probes of a server if the first did not show whether it is alive.
    constexpr Duration ReprobeInterval = std::chrono::milliseconds(400);
    /// Evidence at which one more crash may quarantine a trait.
    constexpr std::uint32_t MinPointsToRefute = 4;
    /// Shorter than the time that judgements wait.
    constexpr Duration MaxSoundRunDelay = std::chrono::milliseconds(60);

    /// @return how strongly the end of a server suggests that an attempt there caused it
    CrashSign signOf(const Call& call, const Attempt& attempt)
    {
        if (!attempt.wasSent || attempt.wasHarmless)
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

/// @return the call's content, then the parts of its prompt in order, each for its workspace and for all
std::vector<RequestTrait> RelayReducer::traitsOf(const Call& call) const
{
    std::vector<RequestTrait> traits { { call.workspace, call.spec.content } };
    if (m_options.without.has(Mechanism::PromptParts))
        return traits;
    for (const PromptPartId& part : call.spec.promptParts) {
        traits.push_back({ call.workspace, part });
        traits.push_back(traits.back().ofAllWorkspaces());
    }
    return traits;
}

/// @return the call as a suspect if a server of the attempt has ended; with CrashSign::None if it is not one
CrashSuspect RelayReducer::suspectOf(const Call& call, const Attempt& attempt, TimePoint now) const
{
    CrashSuspect suspect { {}, signOf(call, attempt) };
    if (suspect.sign == CrashSign::None)
        return suspect;
    suspect.traits = call.traits;
    std::copy_if(call.traits.begin(), call.traits.end(), std::back_inserter(suspect.ranLately),
        [&](const RequestTrait& trait) { return hasRunLately(trait, now); });
    return suspect;
}

/// @return whether a request with the trait ran here lately; for a part, a request of any workspace
bool RelayReducer::hasRunLately(const RequestTrait& trait, TimePoint now) const
{
    return m_harmlessTraits.contains(trait.isPromptPart() ? trait.ofAllWorkspaces() : trait, now);
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
        requestLifeSign(*m_fleet.find(id), server.entry.startedAt, context);
    }
}

/// @return whether the server can be asked for its id
bool RelayReducer::canProbe(const FleetServer& server) const
{
    const Service* service = m_routes ? m_routes->service(server.entry.service) : nullptr;
    return service && !service->healthPath.empty();
}

/// Sends a health check to a plain server, which answers no engine check, or to an engine that has to name its id. The
/// answer may name the start of the process, too.
void RelayReducer::probe(FleetServer& server, Context& context)
{
    if (server.beingChecked || server.backoff.isActive(context.now) || !canProbe(server)
        || !m_checkBudget.spendUrgent())
        return;
    sendProbe(server, context);
}

void RelayReducer::sendProbe(FleetServer& server, Context& context)
{
    const Service* service = m_routes->service(server.entry.service);
    server.beingChecked = true;
    server.lastCheckAt = context.now;
    server.lastProbeAt = context.now;
    context.effects.emplace_back(
        effect::ProbeServer { server.entry.id, server.entry.address, service->healthPath, server.entry.startedAt });
}

void RelayReducer::on(const event::ServerProbed& probed, Context& context)
{
    FleetServer* server = m_fleet.find(probed.server);
    if (!server || !server->beingChecked)
        return; // The server was replaced by a later start.
    using Finding = event::ServerProbed::Finding;
    if (server->isEngine() && probed.finding == Finding::Ended && !probed.responded) {
        on(event::EngineChecked { probed.server, false, 1, true, server->entry.startedAt }, context);
        return;
    }
    server->beingChecked = false;
    if (probed.responded)
        recordContactAnswered(probed.server, server->lastCheckAt, context);
    else
        recordContactFailed(probed.server, server->lastCheckAt, context);
    if (!applyReportedStart(probed.server, probed.answering, {}, context))
        return;
    server = m_fleet.find(probed.server); // A new start replaces the fleet's entry.
    if (!server)
        return;
    server->nextProbe.reset();
    LifeEvidence evidence { LifeSign::Silent, EndProof::Identity, true, probed.answering };
    if (probed.finding == Finding::Alive) {
        evidence.sign = LifeSign::Alive;
        recordLifeSign(*server, server->lastCheckAt, evidence, context);
    } else if (probed.finding == Finding::Ended && (probed.responded || !isPathInDoubt())) {
        recordServerEnded(*server, EndSign::RefusedConnection, context);
    } else if (!server->isEngine()) {
        server->nextProbe = context.now + ReprobeInterval;
    }
    if (probed.finding == Finding::Ended && probed.responded)
        evidence = { LifeSign::Replaced, EndProof::LaterStart };
    else if (probed.finding == Finding::Ended && !isPathInDoubt())
        evidence = { LifeSign::Ended, EndProof::Refusal };
    // A health check waits for a slot of a busy engine, so its silence alone shows nothing.
    if (!server->isEngine() || evidence.sign != LifeSign::Silent)
        settleUnprovenEnds(probed.server, server->lastCheckAt, evidence, context);
    else if (!probed.responded && !server->unansweredChecks)
        checkUrgently(*server, context);
}

/// Drops the suspicion that a server ended under the attempts that broke off there before it was asked for an answer.
/// An answer that may be of its successor at the address drops nothing, and the server is asked for its id.
void RelayReducer::recordLifeSign(
    FleetServer& server, TimePoint askedAt, const LifeEvidence& evidence, Context& context)
{
    if (!evidence.identifies(server.entry.startedAt) && canProbe(server)) {
        m_crashEvidence.noteAnswered(server.othersLoad.engine);
        server.nextProbe = std::max(context.now, server.lastProbeAt + ReprobeInterval);
        return;
    }
    const std::size_t cleared = m_crashEvidence.noteAlive(server.othersLoad.engine, askedAt);
    m_counters.suspectsCleared += cleared;
    if (cleared)
        context.effects.emplace_back(
            effect::LogSuspectsCleared { server.entry.id, server.entry.startedAt, cleared, evidence.proof });
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
    if (!m_crashEvidence.noteEnded(server.othersLoad.engine, std::move(running), context.now, server.lastAliveAt))
        return;
    m_trialRuns.noteEnd(context.now);
    context.effects.emplace_back(effect::LogServerState {
        effect::LogServerState::ServerStateChange::ProcessEnded, server.entry.id, server.entry.startedAt });
}

/// Counts the server ends that are now known to be crashes or group failures, and shares them with the other instances.
void RelayReducer::settleCrashes(Context& context)
{
    checkUnsettledServers(context);
    std::vector<CrashReport> reports = m_crashEvidence.classifyEnds(context.now);
    m_counters.suspectsExpired = m_crashEvidence.expiredCount();
    m_counters.suspectsLate = m_crashEvidence.lateCount();
    for (const CrashReport& report : reports) {
        countCrash(report, true, context);
        planSoundRuns(report.suspect.traits, context);
    }
    std::erase_if(reports,
        [](const CrashReport& each) { return !RequestQuarantine::pointsOf(each.suspect.sign, each.isGroupFailure); });
    if (!reports.empty())
        context.effects.emplace_back(effect::ShareCrashes { std::move(reports) });
    shareSoundRuns(context);
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
    m_counters.suspectsRanLately += report.suspect.ranLately.size();
    m_counters.crashesInGroups += report.isGroupFailure ? 1 : 0;
    if (isNews || report.isGroupFailure)
        context.effects.emplace_back(effect::LogCrash { report });
}

/// Plans to tell the other instances of runs of requests with these traits, if the traits may soon be quarantined and
/// the others do not know of the runs. Each instance waits for a random time, so that one or a few of them do so.
void RelayReducer::planSoundRuns(const std::vector<RequestTrait>& traits, Context& context)
{
    for (const RequestTrait& trait : traits) {
        if (m_quarantine.evidence(trait, context.now).points >= MinPointsToRefute && unsharedRun(trait, context.now))
            m_soundRunsDue.try_emplace(trait, context.now + Duration(context.entropy % MaxSoundRunDelay.count()));
    }
}

/// @return what the latest run of a request with the trait shows that is not known yet
std::optional<SoundRun> RelayReducer::unsharedRun(const RequestTrait& trait, TimePoint now) const
{
    const std::optional<TimePoint> begunAt = m_harmlessTraits.lastBegunAt(trait, now);
    if (!begunAt)
        return std::nullopt;
    SoundRun run { trait, m_quarantine.endsBefore(trait, *begunAt) };
    if (run.refutedEnds.empty() && m_quarantine.isKnownToHaveRun(trait))
        return std::nullopt;
    return run;
}

/// Counts the planned runs that are due, unless another instance has reported the same, and shares them.
void RelayReducer::shareSoundRuns(Context& context)
{
    std::vector<SoundRun> runs;
    std::erase_if(m_soundRunsDue, [&](const auto& each) {
        if (context.now < each.second)
            return false;
        if (auto run = unsharedRun(each.first, context.now))
            runs.push_back(*std::move(run));
        return true;
    });
    for (const SoundRun& run : runs)
        countSoundRun(run, ClearCause::Run, context);
    if (!runs.empty())
        context.effects.emplace_back(effect::ShareSoundRuns { std::move(runs) });
}

/// Drops the ends of servers that a run refutes, and lifts the quarantine if too few are left.
void RelayReducer::countSoundRun(const SoundRun& run, ClearCause cause, Context& context)
{
    const RequestQuarantine::Refutation refutation = m_quarantine.refute(run, context.now);
    if (!refutation.servers)
        return;
    ++m_counters.cleared.at(static_cast<std::size_t>(cause));
    context.effects.emplace_back(effect::ClearTrait { run.trait, cause, refutation.servers,
        m_quarantine.evidence(run.trait, context.now).points, refutation.liftsQuarantine, cause == ClearCause::Run });
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
        planSoundRuns(report.suspect.traits, context);
    }
}

void RelayReducer::on(const event::SoundRunsReported& reported, Context& context)
{
    if (!countsCrashes())
        return;
    for (const SoundRun& run : reported.runs)
        countSoundRun(run, ClearCause::OtherInstance, context);
}

void RelayReducer::on(const event::QuarantineListed& listed, Context& context)
{
    if (countsCrashes() && m_quarantine.quarantine(listed.trait, context.now))
        quarantine(listed.trait, false, context);
}

void RelayReducer::on(const event::QuarantineLifted& lifted, Context& context)
{
    const auto servers = static_cast<std::uint32_t>(m_quarantine.serverCount(lifted.trait));
    const bool wasQuarantined = m_quarantine.isQuarantined(lifted.trait, context.now);
    if (!m_quarantine.clear(lifted.trait))
        return;
    ++m_counters.cleared.at(static_cast<std::size_t>(ClearCause::Operator));
    context.effects.emplace_back(
        effect::ClearTrait { lifted.trait, ClearCause::Operator, servers, 0, wasQuarantined, false });
}

/// Records that a request is harmless: it ran longer than a request that crashes its server, or to its end. Servers
/// that ended under its traits before it began are no evidence against them.
void RelayReducer::recordHarmlessRequest(Call& call, Context& context)
{
    call.main.wasHarmless = true;
    m_harmlessTraits.add(call.traits, call.main.answerBegunAt.value_or(call.main.startedAt), context.now);
    planSoundRuns(call.traits, context);
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

} // namespace crocusmount::relay
