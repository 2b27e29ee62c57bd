// How RelayReducer finds out that this instance is cut off from the backend servers, and what it does then.
//
// Load pattern: a network partition separates some instances from all servers, while callers, the store and the other
// instances still reach them. Every call that such an instance accepts fails, although the others could serve it.

#include "relay/RelayReducer.h"
#include "relay/Spread.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Time between two checks that clear up whether the path or a server has failed.
    constexpr Duration DoubtCheckInterval = std::chrono::milliseconds(100);
    /// The same while the cause stays unknown, because no other instance has contact with the servers either.
    constexpr Duration LongDoubtCheckInterval = std::chrono::milliseconds(1000);
    constexpr Duration MaxShortDoubt = std::chrono::milliseconds(1500);
    /// Time between two checks of a cut-off instance whether its path is back.
    constexpr Duration CutOffCheckInterval = std::chrono::milliseconds(200);

} // namespace

void RelayReducer::recordContactAnswered(const BackendId& id, TimePoint askedAt, Context& context)
{
    m_contacts.recordAnswer(id, askedAt, context.now);
    if (FleetServer* server = m_fleet.find(id))
        server->lastContactAt = context.now;
}

void RelayReducer::recordContactFailed(const BackendId& id, TimePoint askedAt, Context& context)
{
    m_contacts.recordFailure(id, askedAt, context.now);
}

PathEvidence RelayReducer::pathEvidence(TimePoint now) const
{
    PathEvidence evidence;
    evidence.failed = m_contacts.failed().size();
    evidence.failingFor = m_contacts.failingFor(now);
    const ServerContacts::Recent recent = m_contacts.recent(now);
    evidence.contacts = recent.contacts;
    evidence.answered = recent.answered;
    evidence.answeringServers = recent.answeringServers;
    evidence.knowsOthers = m_fleet.knowsOthersLoad() && m_placer.instances() > 1;
    if (!evidence.knowsOthers)
        return evidence;
    evidence.silentForAll = m_othersAnsweredAt ? now - *m_othersAnsweredAt : Duration(0);
    for (const BackendId& id : m_contacts.failed()) {
        const auto server = m_fleet.servers().find(id);
        if (server != m_fleet.servers().end() && server->second.othersLoad.contacts > 0)
            ++evidence.failedHereOnly;
    }
    return evidence;
}

bool RelayReducer::isPathInDoubt() const { return relay::isPathInDoubt(pathEvidence(m_now), m_path); }

std::vector<EngineLoad> RelayReducer::ownLoads(TimePoint now) const
{
    std::vector<EngineLoad> loads = m_fleet.ownLoads(now);
    // What this instance concluded about servers may be due to its own path.
    if (isPathInDoubt()) {
        for (EngineLoad& load : loads)
            load.avoiders = 0;
    }
    return loads;
}

/// Updates what is known of the path, and sends the checks that this needs.
void RelayReducer::updatePath(Context& context)
{
    if (m_options.without.has(Mechanism::PathDetection))
        return;
    const PathEvidence evidence = pathEvidence(context.now);
    const ServerPath before = std::exchange(m_path, classifyPath(evidence, m_path));
    if (before != m_path && (isCutOff() || before == ServerPath::CutOff)) {
        ++(isCutOff() ? m_counters.pathsLost : m_counters.pathsRestored);
        context.effects.emplace_back(effect::LogServerPath { before, m_path, evidence });
        if (isCutOff()) {
            m_contacts.forgetRecent(); // Answers from before do not show that the path is back.
        } else {
            m_contacts.forgetFailures();
            m_fleet.forgetFailures();
        }
    }
    checkPath(evidence, context);
    if (isCutOff())
        endCallsWithoutPath(context);
}

/// Checks a server that has not failed to answer yet, to tell a broken path from a broken server, or to find out that
/// the path is back. Servers that answer other instances come first.
void RelayReducer::checkPath(const PathEvidence& evidence, Context& context)
{
    const bool isDoubtful = evidence.failed && evidence.knowsOthers;
    if (!isDoubtful && !isCutOff())
        return;
    const Duration interval = isCutOff()      ? CutOffCheckInterval
        : evidence.failingFor < MaxShortDoubt ? DoubtCheckInterval
                                              : LongDoubtCheckInterval;
    if (context.now < m_lastPathCheckAt + interval)
        return;
    FleetServer* best = nullptr;
    double bestPriority = 0;
    std::uint64_t index = 0;
    for (const auto& [id, known] : m_fleet.servers()) {
        ++index;
        if (!mayContact(known))
            continue;
        const double priority = (m_contacts.failed().count(id) ? 0 : 1) + (known.othersLoad.contacts > 0 ? 2 : 0)
            + uniformFraction(context.entropy, index);
        if (!best || priority > bestPriority) {
            best = m_fleet.find(id);
            bestPriority = priority;
        }
    }
    if (!best)
        return;
    m_lastPathCheckAt = context.now;
    if (best->isEngine())
        sendCheck(*best, context);
    else
        sendProbe(*best, context);
}

/// @return whether a check or probe of the server may be sent now
bool RelayReducer::mayContact(const FleetServer& server) const
{
    if (server.beingChecked || server.entry.leaving || server.backoff.isActive(m_now))
        return false;
    if (server.isEngine())
        return !m_options.without.has(Mechanism::EngineChecks);
    const Service* service = m_routes ? m_routes->service(server.entry.service) : nullptr;
    return service && !service->healthPath.empty();
}

/// A path is judged by silence, which servers short of processor time cause, too. So what a server may be running, or
/// the caller has in part, is not given up: it ends with its connection, its caller or its deadline.
/// @return whether a call of a cut-off instance can only be served by another instance
bool RelayReducer::needsOtherInstance(const Call& call)
{
    if (call.hasPartialAnswer)
        return false;
    return call.state == CallState::Waiting || (!call.main.wasSent && !call.second);
}

/// Refuses the calls of a cut-off instance that no server runs. Their callers can go to another instance at once.
void RelayReducer::endCallsWithoutPath(Context& context)
{
    std::vector<RequestId> lost;
    for (const auto& [id, call] : m_calls) {
        if (needsOtherInstance(call))
            lost.push_back(id);
    }
    for (const RequestId& id : lost) {
        Call& call = m_calls.at(id);
        keepOnly(call, AttemptId(), context);
        finishUnanswered(call, Reason::NoPathToServers, context);
    }
}

} // namespace crocusmount::relay
